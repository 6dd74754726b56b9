//! When a process without a watch calls discovery. Sans I/O, and the caller passes in the time: when
//! lists are requested (`Discovery::Ask`) the balancer follows the schedule; when an agent on the same
//! machine pushes them (`Discovery::Push`) the network code does.
//!
//! The lease on the endpoint list (`list_lease`) says by when the next list is due. Calls are scheduled
//! so that one more can be answered before that, whatever the result of each.
//!
//! What limits the calls is the capacity of discovery. It serves callers in turn, and a call that it
//! turns away for having waited too long has used up its turn all the same: N processes that each call
//! every p seconds overload it permanently once N / p calls a second exceed its capacity. So two calls of
//! a process that cost discovery work are separated by a pause. The pause grows with the number of
//! processes, up to `MAX_PAUSE`, and each process has its own slot in it, drawn once at random. A call
//! that is refused at once costs discovery nothing, and a lost call is no sign of overload: after these a
//! process has three slots in a pause. If the pause is shorter than the wait for an answer, a second call
//! is made beside one that got no answer yet, and the first list to arrive ends the other call.

use super::list_lease::{ListLease, WatchMessage};
use crate::stats::SeededRng;
use crate::{Discovery, DiscoveryFailure, Settings};
use std::time::Duration;

/// The longest pause: what remains of the 6 s of a lease if the answer takes half a second.
const MAX_PAUSE: Duration = Duration::from_millis(5500);
/// Upper bound of `ask_within`: a change counts as known after this time whatever the settings say.
const MAX_ASK_WITHIN: Duration = Duration::from_secs(6);
/// From this number of processes on, each makes the longest pause. With fewer, the pause is shortened in
/// proportion, so that discovery has as much time for each call: with hundreds of processes, one call of
/// each takes it 3 to 6 s.
const FULL_PAUSE_AT: u32 = 10;
/// The shortest pause, also used with an agent, which serves few processes.
const MIN_PAUSE: Duration = Duration::from_millis(1100);
/// Slots in a pause after a call that was not turned away for overload. With more slots, or with waits
/// that are drawn anew, all processes call at the same time when discovery accepts calls again, and most
/// are turned away.
const UNCROWDED_SLOTS: u32 = 3;
/// Maximum number of concurrent calls.
const MAX_CALLS: u32 = 2;
/// Minimum time that a call needs to be answered before the list is due.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(500);
/// First calls are spread over this time multiplied by the number of processes, up to
/// `MAX_FIRST_CALL_SPREAD`. The bound is needed as no request is sent by the list that a process starts
/// with; the spread, as discovery turns away most of hundreds of simultaneous calls.
const FIRST_CALL_SPREAD: Duration = Duration::from_millis(10);
const MAX_FIRST_CALL_SPREAD: Duration = Duration::from_secs(3);
/// Lower bound of the intervals in the settings.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Mean delay of a prompt call, with jitter from half to one and a half of it: after a watch was lost,
/// when the list is due soon, and always with an agent.
const PROMPT_RETRY: Duration = Duration::from_millis(500);
/// The same after a watch was lost on which lists are pushed: what the agent has received counts as known
/// at once.
const PUSHED_PROMPT_RETRY: Duration = Duration::from_millis(50);

/// Schedules the calls by which one process opens a watch at discovery.
pub struct DiscoverySchedule {
    mode: Discovery,
    rng: SeededRng,
    /// Minimum time between two calls that cost discovery work, and the time of one of its slots.
    pause: Duration,
    slot: Duration,
    /// Delay of the first call after the start.
    first_call_delay: Duration,
    /// There are so few processes that discovery can serve more than one call of each in `MAX_PAUSE`.
    few_processes: bool,
    /// The bounded `ask_within` of the settings: without a call, a change counts as known this long after
    /// it was made.
    ask_within: Duration,
    /// A watch is open.
    watch_open: bool,
    lease: ListLease,
    open_calls: u32,
    /// When the next call is due.
    next_call_at: Option<Duration>,
}

impl DiscoverySchedule {
    /// The schedule of a process that starts at `now` without a watch; its slot is drawn from the seed.
    pub fn new(settings: &Settings, seed: u64, now: Duration) -> Self {
        let mode = settings.discovery;
        let mut rng = SeededRng::new(seed);
        let ask_within = match mode {
            Discovery::Push => MAX_ASK_WITHIN,
            Discovery::Ask => MAX_ASK_WITHIN.min(settings.rules.ask_within).max(MIN_INTERVAL),
        };
        let few_processes = mode == Discovery::Push || settings.balancers < FULL_PAUSE_AT;
        let pause = match mode {
            Discovery::Push => MIN_PAUSE,
            Discovery::Ask => {
                (MAX_PAUSE * settings.balancers.min(FULL_PAUSE_AT) / FULL_PAUSE_AT).max(MIN_PAUSE)
            }
        };
        // After a failed call the settings allow four times as long.
        let pause = pause.min(ask_within * 4);
        let slot = now + pause.min(ask_within).mul_f64(rng.uniform());
        let first_call_delay =
            (FIRST_CALL_SPREAD * settings.balancers).min(MAX_FIRST_CALL_SPREAD).mul_f64(rng.uniform());
        let lease = ListLease::new(settings, ask_within, now);
        let (watch_open, open_calls, next_call_at) = Default::default();
        DiscoverySchedule {
            mode,
            rng,
            pause,
            slot,
            first_call_delay,
            few_processes,
            ask_within,
            watch_open,
            lease,
            open_calls,
            next_call_at,
        }
    }

    /// The lease on the list that these calls renew.
    pub fn lease(&self) -> &ListLease {
        &self.lease
    }

    /// Delay before the first call. Zero with an agent, and during a hot restart, as clients are to move
    /// from the predecessor process to this one.
    pub fn first_call_delay(&self, has_predecessor: bool) -> Duration {
        match self.mode {
            Discovery::Ask if !has_predecessor => self.first_call_delay,
            _ => Duration::ZERO,
        }
    }

    /// A call was started. Returns how long to wait for a list or a failure before starting another one
    /// beside it; none if no further concurrent call is allowed.
    pub fn on_call_start(&mut self, now: Duration) -> Option<Duration> {
        self.open_calls += 1;
        let hedge_after = (self.few_processes && self.open_calls < MAX_CALLS).then_some(self.pause);
        self.next_call_at = hedge_after.map(|wait| now + wait);
        hedge_after
    }

    /// A watch is open and has delivered a list update; all other calls have ended.
    pub fn on_list_update(&mut self, now: Duration) {
        self.on_watch_message(now, WatchMessage::ListUpdate);
    }

    /// The same, if what it delivered was not newer than the current list.
    pub fn on_unchanged_list(&mut self, now: Duration) {
        self.on_watch_message(now, WatchMessage::NoChange);
    }

    /// The same at an address that discovery has moved to: the watch has not yet shown that it delivers
    /// the current state.
    pub fn on_unconfirmed_list(&mut self, now: Duration) {
        self.on_watch_message(now, WatchMessage::Unconfirmed);
    }

    fn on_watch_message(&mut self, now: Duration, message: WatchMessage) {
        self.lease.on_watch_message(now, message);
        (self.watch_open, self.open_calls, self.next_call_at) = (true, 0, None);
    }

    /// Discovery has moved to another address and is to be called there at once; calls to the previous
    /// address have ended.
    pub fn on_address_change(&mut self, now: Duration) {
        self.lease.on_address_change(now);
        (self.watch_open, self.open_calls, self.next_call_at) = (false, 0, None);
    }

    /// A call failed, or the watch ended, on which nothing had been received for `silent_for`. Returns
    /// how long to wait before the next call.
    pub fn on_failure(
        &mut self,
        now: Duration,
        silent_for: Duration,
        failure: DiscoveryFailure,
    ) -> Duration {
        let was_open = std::mem::replace(&mut self.watch_open, false);
        self.open_calls = if was_open { 0 } else { self.open_calls.saturating_sub(1) };
        self.lease.on_watch_end(now, silent_for);
        if !was_open {
            self.lease.on_call_failure(now, failure);
        }
        let due = now + self.wait_after(now, was_open, failure);
        // With a second call in flight, the next call may be scheduled already: this failure doesn't
        // delay it.
        let next = self.next_call_at.filter(|at| *at > now).map_or(due, |at| at.min(due));
        self.next_call_at = Some(next);
        next - now
    }

    fn wait_after(&mut self, now: Duration, was_open: bool, failure: DiscoveryFailure) -> Duration {
        let sent_away = failure == DiscoveryFailure::SentAway;
        let slots = if sent_away { 1 } else { UNCROWDED_SLOTS };
        let wait = self.until_slot(now, self.pause / slots);
        match self.mode {
            // A watch may end instead of delivering a change, which then counts as known 2 s later.
            Discovery::Push if was_open => self.jittered(PUSHED_PROMPT_RETRY),
            Discovery::Push => self.jittered(PROMPT_RETRY),
            Discovery::Ask if was_open => self.jittered(PROMPT_RETRY),
            Discovery::Ask if self.is_too_late(now, wait) && self.may_leave_slot(failure) => {
                self.jittered(PROMPT_RETRY)
            }
            Discovery::Ask => wait,
        }
    }

    /// Whether a call after `wait` would be answered after the lease has expired. Many processes whose
    /// lease has already expired keep to their slots, except for a second call to confirm that nothing
    /// listens.
    fn is_too_late(&self, now: Duration, wait: Duration) -> bool {
        let end = self.lease.list_due().map_or(Duration::MAX, |end| end.at);
        let may_call_early = self.few_processes || now < end || self.lease.awaits_second_refusal();
        may_call_early && now + wait + MIN_ANSWER_TIME > end
    }

    /// Whether a call outside the slot is no risk of overload: with few processes, or if the last call
    /// was lost, or found nothing listening, which a second call has to confirm.
    fn may_leave_slot(&self, failure: DiscoveryFailure) -> bool {
        self.few_processes
            || !matches!(failure, DiscoveryFailure::RefusedAtOnce | DiscoveryFailure::SentAway)
    }

    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(0.5 + self.rng.uniform())
    }

    /// While the list may be stale, how long an accepted call counts as evidence that its endpoint is not
    /// leaving: half of the time until a change counts as known. It is no proof, but most endpoints that
    /// are leaving refuse calls.
    pub(super) fn acceptance_valid_for(&self) -> Duration {
        self.ask_within / 2
    }

    /// Time until the next of the slots that are `interval` apart.
    fn until_slot(&self, now: Duration, interval: Duration) -> Duration {
        let elapsed = (now + self.pause).saturating_sub(self.slot).as_nanos() % interval.as_nanos();
        interval - Duration::from_nanos(elapsed as u64) // `elapsed` is less than `interval`, so it fits
    }
}
