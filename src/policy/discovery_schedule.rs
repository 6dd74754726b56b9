//! When a process that has no watch calls discovery, and how far the list that it has is still good. Time is
//! handed in, and there is no I/O: where lists are asked for the balancer follows the schedule, where an
//! agent beside the process pushes them the network side does.
//!
//! Three times bound how long a list stands in for what discovery has: 4 s after discovery has moved, 6 s
//! after a watch fell silent, and 6 s after discovery had a change and could be reached. The earliest of them
//! is the deadline; calls are spent so that one more can be answered before it, whatever becomes of each.
//!
//! What limits them is discovery itself. It takes callers in turn, and a call that it sends away for having
//! waited too long has used up its turn all the same: N processes that each call every p seconds keep it busy
//! for good once N / p calls a second are more than it can take. So between two calls of a process that cost
//! discovery work lies a pause that grows with the number of processes, up to a whole period, and each
//! process has a slot of its own in it, drawn once. A call that is refused at once costs nothing, and one
//! that is lost says nothing of a crowd: after these a process has three slots in a pause. Where the pause is
//! shorter than the wait for an answer, a second call goes out beside one that is silent, and the first list
//! to come ends the other.

use crate::stats::Draws;
use crate::{Discovery, DiscoveryFailure, Settings};
use std::time::Duration;

/// A change counts as known so long after discovery had it and could be reached (protocol).
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// The same after discovery has moved (terms).
const KNOWN_AFTER_MOVE: Duration = Duration::from_secs(4);
/// The longest pause: what `KNOWN_WITHIN` leaves when the answer takes half a second.
const PERIOD: Duration = Duration::from_millis(5500);
/// So many processes or more pause for a whole period. With fewer, discovery has as much time for each call:
/// one call of each of hundreds was measured to take it 3 to 6 s.
const CROWD: u32 = 10;
/// The shortest pause, and that beside an agent, which serves no crowd.
const LEAST_PAUSE: Duration = Duration::from_millis(1100);
/// Slots in a pause after a call that no crowd has sent away. More, or waits that are drawn anew, bring all
/// processes at once when calls are taken again, and most are sent away.
const SLOTS_WITHOUT_CROWD: u32 = 3;
/// Calls out at a time at the most.
const CALLS_OUT: u32 = 2;
/// What a call needs at the least to be answered before the deadline.
const ANSWER_TAKES: Duration = Duration::from_millis(500);
/// An answer takes no longer in a crowd: a process that has heard nothing so long after its start mistrusts
/// the list that it started with.
const ANSWER_IN_CROWD: Duration = Duration::from_millis(2250);
/// No period or term of the settings counts as shorter.
const LEAST: Duration = Duration::from_millis(250);
/// Before a call that is made again promptly, spread from half to one and a half: after a watch was lost,
/// before the deadline, and always beside an agent.
const PROMPTLY: Duration = Duration::from_millis(500);
/// The same after a watch was lost on which lists are pushed: what the agent has counts as known at once.
const PUSHED_PROMPTLY: Duration = Duration::from_millis(50);
/// A list that counts as superseded is not sent by for so long. A process that has called in vain all that
/// time can't reach discovery, and serves on by what endpoints show.
const HOLD_AT_MOST: Duration = Duration::from_secs(12);

/// When one process calls discovery for a watch.
pub struct DiscoverySchedule {
    mode: Discovery,
    draws: Draws,
    /// The least between two calls that cost discovery work, and one of its slots.
    pause: Duration,
    slot: Duration,
    /// Discovery can bear more than one call of each process in a period.
    few: bool,
    /// A change counts as known so long after it was made, where nothing came and no call failed.
    known_within: Duration,
    /// A watch is up.
    watched: bool,
    /// No watch is up, and a change that was not heard of may count as known from then on.
    stale_at: Option<Duration>,
    /// What discovery had to tell counts as known from then on, whether or not it came.
    superseded_at: Option<Duration>,
    /// The same, if discovery can be reached; and whether it took the last call that failed.
    known_at: Option<Duration>,
    reached: bool,
    calls_out: u32,
    /// When the next call begins.
    planned: Option<Duration>,
}

impl DiscoverySchedule {
    /// The schedule of a process that starts at `now` with no watch; its slot is drawn from the seed.
    pub fn new(settings: &Settings, seed: u64, now: Duration) -> Self {
        let mode = settings.discovery;
        let mut draws = Draws::new(seed);
        let known_within = match mode {
            Discovery::Push => KNOWN_WITHIN,
            Discovery::Ask => KNOWN_WITHIN.min(settings.rules.ask_within).max(LEAST),
        };
        // The list that it starts with may be old, where no agent beside it holds a newer one.
        let stale_at = (mode == Discovery::Ask).then(|| now + ANSWER_IN_CROWD);
        let few = mode == Discovery::Push || settings.balancers < CROWD;
        let pause = match mode {
            Discovery::Push => LEAST_PAUSE,
            Discovery::Ask => (PERIOD * settings.balancers.min(CROWD) / CROWD).max(LEAST_PAUSE),
        };
        // After a call that failed the settings give four times as long.
        let pause = pause.min(known_within * 4);
        let slot = now + pause.min(known_within).mul_f64(draws.uniform());
        let known_at = stale_at.map(|_| now + KNOWN_WITHIN);
        let (watched, reached, superseded_at, calls_out, planned) = Default::default();
        DiscoverySchedule {
            mode,
            draws,
            pause,
            slot,
            few,
            known_within,
            watched,
            stale_at,
            superseded_at,
            known_at,
            reached,
            calls_out,
            planned,
        }
    }

    /// How long to wait before the first call; no time where no endpoint is known to serve by until then, nor
    /// beside an older process of this balancer, which clients are to leave for this one.
    pub fn first(&self, now: Duration, known: usize, beside: bool) -> Duration {
        match self.mode {
            Discovery::Ask if known > 0 && !beside => self.until_slot(now, self.pause),
            _ => Duration::ZERO,
        }
    }

    /// A call begins: how long to wait before another beside it, should neither list nor failure come; none
    /// where no further one may be out.
    pub fn called(&mut self, now: Duration) -> Option<Duration> {
        self.calls_out += 1;
        let beside = (self.few && self.calls_out < CALLS_OUT).then_some(self.pause);
        self.planned = beside.map(|wait| now + wait);
        beside
    }

    /// Discovery has spoken: a watch is up, and all other calls are over.
    pub fn heard(&mut self) {
        (self.watched, self.reached) = (true, false);
        (self.calls_out, self.planned) = (0, None);
        (self.stale_at, self.superseded_at, self.known_at) = (None, None, None);
    }

    /// Discovery is at another address from now on, and is to be called there at once; calls at the old one
    /// are over.
    pub fn moved(&mut self, now: Duration) {
        let known = now + KNOWN_AFTER_MOVE;
        self.stale_at = Some(self.stale_at.unwrap_or(Duration::MAX).min(known));
        self.superseded_at = Some(known);
        (self.watched, self.calls_out, self.planned) = (false, 0, None);
    }

    /// A call failed, or the watch is over, on which nothing had come for `unheard`: how long to wait
    /// before the next call.
    pub fn failed(&mut self, now: Duration, unheard: Duration, failure: DiscoveryFailure) -> Duration {
        let watched = std::mem::replace(&mut self.watched, false);
        self.calls_out = if watched { 0 } else { self.calls_out.saturating_sub(1) };
        let known_at = (now + KNOWN_WITHIN).saturating_sub(unheard);
        self.stale_at.get_or_insert((now + self.known_within).saturating_sub(unheard));
        self.known_at.get_or_insert(known_at);
        if watched && failure == DiscoveryFailure::WatchSilent {
            self.superseded_at.get_or_insert(known_at);
        }
        let unanswered = matches!(failure, DiscoveryFailure::Unanswered | DiscoveryFailure::WatchSilent);
        self.reached = !watched && unanswered;
        let due = now + self.wait_after(now, watched, failure);
        // Beside another call: its failure puts off nothing that was planned after this one's.
        let planned = self.planned.filter(|at| *at > now).map_or(due, |at| at.min(due));
        self.planned = Some(planned);
        planned - now
    }

    fn wait_after(&mut self, now: Duration, watched: bool, failure: DiscoveryFailure) -> Duration {
        let crowded = failure == DiscoveryFailure::SentAway;
        let slots = if crowded { 1 } else { SLOTS_WITHOUT_CROWD };
        let wait = self.until_slot(now, self.pause / slots);
        match self.mode {
            // A watch may end instead of telling, and what it would have told counts 2 s later.
            Discovery::Push if watched => self.spread(PUSHED_PROMPTLY),
            Discovery::Push => self.spread(PROMPTLY),
            Discovery::Ask if watched => self.spread(PROMPTLY),
            Discovery::Ask if self.is_too_late(now, wait) && self.may_hurry(failure) => {
                self.spread(PROMPTLY)
            }
            Discovery::Ask => wait,
        }
    }

    /// Whether a call after so long would be answered after the deadline, and one before that in time.
    fn is_too_late(&self, now: Duration, wait: Duration) -> bool {
        let deadline = self.superseded_at.or(self.stale_at).unwrap_or(Duration::MAX);
        now < deadline && now + wait + ANSWER_TAKES > deadline
    }

    /// Whether a call out of its slot makes no crowd: of a few processes, or of those whose call was lost.
    fn may_hurry(&self, failure: DiscoveryFailure) -> bool {
        self.few || !matches!(failure, DiscoveryFailure::RefusedAtOnce | DiscoveryFailure::SentAway)
    }

    fn spread(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(0.5 + self.draws.uniform())
    }

    /// Whether a change that was never heard of may count as known by now.
    pub fn overdue(&self, now: Duration) -> bool {
        self.stale_at.is_some_and(|at| now >= at)
    }

    /// Whether all that discovery had to tell counts as known by now, though nothing came: nothing that an
    /// endpoint shows proves that it is not leaving, as one listed as draining was seen to take calls for 8.8
    /// s and more.
    pub fn is_superseded(&self, now: Duration) -> bool {
        let known_at = self.known_at.filter(|_| self.reached);
        let superseded_at = self.superseded_at.into_iter().chain(known_at).min();
        superseded_at.is_some_and(|at| now >= at && now < at + HOLD_AT_MOST)
    }

    /// For so long a call that was accepted speaks for its endpoint, where a change may count as known: half
    /// of the time until that. It proves nothing, but most endpoints that leave refuse calls.
    pub(super) fn proof(&self) -> Duration {
        self.known_within / 2
    }

    /// How long it is to the next of the slots that lie so far apart.
    fn until_slot(&self, now: Duration, apart: Duration) -> Duration {
        let past = (now + self.pause).saturating_sub(self.slot).as_nanos() % apart.as_nanos();
        apart - Duration::from_nanos(past as u64) // less than what lies between two
    }
}
