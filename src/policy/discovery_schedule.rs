//! When a process that has no watch calls discovery. Time is handed in, and there is no I/O: where lists
//! are asked for the balancer follows the schedule, where an agent beside the process pushes them the
//! network side does.
//!
//! The lease on the endpoint list (`list_lease`) says by when the next list has to come; calls are spent so
//! that one more can be answered before that, whatever becomes of each.
//!
//! What limits them is discovery itself. It takes callers in turn, and a call that it sends away for having
//! waited too long has used up its turn all the same: N processes that each call every p seconds keep it
//! busy for good once N / p calls a second are more than it can take. So between two calls of a process
//! that cost discovery work lies a pause that grows with the number of processes, up to a whole period, and
//! each process has a slot of its own in it, drawn once. A call that is refused at once costs nothing, and
//! one that is lost says nothing of a crowd: after these a process has three slots in a pause. Where the
//! pause is shorter than the wait for an answer, a second call goes out beside one that is silent, and the
//! first list to come ends the other.

use super::list_lease::{ListLease, WatchMessage};
use crate::stats::SeededRng;
use crate::{Discovery, DiscoveryFailure, Settings};
use std::time::Duration;

/// The longest pause: what the 6 s of a lease leave when the answer takes half a second.
const MAX_PAUSE: Duration = Duration::from_millis(5500);
/// The settings' time for asking counts as no longer: a change counts as known after it whatever the
/// settings say.
const MAX_ASK_WITHIN: Duration = Duration::from_secs(6);
/// So many processes or more pause for a whole period. With fewer, discovery has as much time for each
/// call: one call of each of hundreds was measured to take it 3 to 6 s.
const FULL_PAUSE_AT: u32 = 10;
/// The shortest pause, and that beside an agent, which serves no crowd.
const MIN_PAUSE: Duration = Duration::from_millis(1100);
/// Slots in a pause after a call that no crowd has sent away. More, or waits that are drawn anew, bring all
/// processes at once when calls are taken again, and most are sent away.
const UNCROWDED_SLOTS: u32 = 3;
/// Calls out at a time at the most.
const MAX_CALLS: u32 = 2;
/// What a call needs at the least to be answered before the deadline.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Processes spread their first calls over so long for each of them, and over no longer in all: nothing
/// is sent by the list that they start with, and discovery sends away most of hundreds that call at once.
const FIRST_CALL_SPREAD: Duration = Duration::from_millis(10);
const MAX_FIRST_CALL_SPREAD: Duration = Duration::from_secs(3);
/// No period or term of the settings counts as shorter.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Before a call that is made again promptly, spread from half to one and a half: after a watch was lost,
/// before the deadline, and always beside an agent.
const PROMPT_RETRY: Duration = Duration::from_millis(500);
/// The same after a watch was lost on which lists are pushed: what the agent has counts as known at once.
const PUSHED_PROMPT_RETRY: Duration = Duration::from_millis(50);

/// When one process calls discovery for a watch.
pub struct DiscoverySchedule {
    mode: Discovery,
    rng: SeededRng,
    /// The least between two calls that cost discovery work, and one of its slots.
    pause: Duration,
    slot: Duration,
    /// How long after the start the first call begins.
    first_call_delay: Duration,
    /// Discovery can bear more than one call of each process in a period.
    few_processes: bool,
    /// The settings' time for asking: a change counts so long after it was made where no call was made.
    ask_within: Duration,
    /// A watch is up.
    watch_open: bool,
    lease: ListLease,
    open_calls: u32,
    /// When the next call begins.
    next_call_at: Option<Duration>,
}

impl DiscoverySchedule {
    /// The schedule of a process that starts at `now` with no watch; its slot is drawn from the seed.
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
        // After a call that failed the settings give four times as long.
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

    /// The lease on the list that these calls are to renew.
    pub fn lease(&self) -> &ListLease {
        &self.lease
    }

    /// How long to wait before the first call; no time beside an older process of this balancer, which
    /// clients are to leave for this one, nor beside an agent.
    pub fn first_call_delay(&self, has_predecessor: bool) -> Duration {
        match self.mode {
            Discovery::Ask if !has_predecessor => self.first_call_delay,
            _ => Duration::ZERO,
        }
    }

    /// A call begins: how long to wait before another beside it, should neither list nor failure come; none
    /// where no further one may be out.
    pub fn on_call_start(&mut self, now: Duration) -> Option<Duration> {
        self.open_calls += 1;
        let hedge_after = (self.few_processes && self.open_calls < MAX_CALLS).then_some(self.pause);
        self.next_call_at = hedge_after.map(|wait| now + wait);
        hedge_after
    }

    /// A watch is up, has told a list that says something new, and all other calls are over.
    pub fn on_list_update(&mut self, now: Duration) {
        self.on_watch_message(now, WatchMessage::ListUpdate);
    }

    /// The same, where what it told held nothing newer than the list before.
    pub fn on_unchanged_list(&mut self, now: Duration) {
        self.on_watch_message(now, WatchMessage::NoChange);
    }

    /// The same at an address that discovery has moved to: it has yet to show that it tells what discovery
    /// has.
    pub fn on_unconfirmed_list(&mut self, now: Duration) {
        self.on_watch_message(now, WatchMessage::Unconfirmed);
    }

    fn on_watch_message(&mut self, now: Duration, message: WatchMessage) {
        self.lease.on_watch_message(now, message);
        (self.watch_open, self.open_calls, self.next_call_at) = (true, 0, None);
    }

    /// Discovery is at another address from now on, and is to be called there at once; calls at the old one
    /// are over.
    pub fn on_address_change(&mut self, now: Duration) {
        self.lease.on_address_change(now);
        (self.watch_open, self.open_calls, self.next_call_at) = (false, 0, None);
    }

    /// A call failed, or the watch is over, on which nothing had come for `silent_for`: how long to wait
    /// before the next call.
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
        // Beside another call: its failure puts off nothing that was planned after this one's.
        let next = self.next_call_at.filter(|at| *at > now).map_or(due, |at| at.min(due));
        self.next_call_at = Some(next);
        next - now
    }

    fn wait_after(&mut self, now: Duration, was_open: bool, failure: DiscoveryFailure) -> Duration {
        let sent_away = failure == DiscoveryFailure::SentAway;
        let slots = if sent_away { 1 } else { UNCROWDED_SLOTS };
        let wait = self.until_slot(now, self.pause / slots);
        match self.mode {
            // A watch may end instead of telling, and what it would have told counts 2 s later.
            Discovery::Push if was_open => self.jittered(PUSHED_PROMPT_RETRY),
            Discovery::Push => self.jittered(PROMPT_RETRY),
            Discovery::Ask if was_open => self.jittered(PROMPT_RETRY),
            Discovery::Ask if self.is_too_late(now, wait) && self.may_leave_slot(failure) => {
                self.jittered(PROMPT_RETRY)
            }
            Discovery::Ask => wait,
        }
    }

    /// Whether a call after so long would be answered after the lease has run out. Hundreds of processes
    /// whose lease has run out keep to their slots, but for a second call that has to show that nothing
    /// listens.
    fn is_too_late(&self, now: Duration, wait: Duration) -> bool {
        let end = self.lease.list_due().map_or(Duration::MAX, |end| end.at);
        let may_call_early = self.few_processes || now < end || self.lease.awaits_second_refusal();
        may_call_early && now + wait + MIN_ANSWER_TIME > end
    }

    /// Whether a call out of its slot makes no crowd: of a few processes, or of those whose call was lost,
    /// or found nothing listening, which a second call has to prove.
    fn may_leave_slot(&self, failure: DiscoveryFailure) -> bool {
        self.few_processes
            || !matches!(failure, DiscoveryFailure::RefusedAtOnce | DiscoveryFailure::SentAway)
    }

    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(0.5 + self.rng.uniform())
    }

    /// For so long a call that was accepted speaks for its endpoint, where the list is doubted: half of the
    /// time until a change counts. It proves nothing, but most endpoints that leave refuse calls.
    pub(super) fn acceptance_valid_for(&self) -> Duration {
        self.ask_within / 2
    }

    /// How long it is to the next of the slots that lie so far apart.
    fn until_slot(&self, now: Duration, interval: Duration) -> Duration {
        let elapsed = (now + self.pause).saturating_sub(self.slot).as_nanos() % interval.as_nanos();
        interval - Duration::from_nanos(elapsed as u64) // less than what lies between two
    }
}
