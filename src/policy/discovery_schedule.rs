//! When a process that has no watch calls discovery, and from when on the list that it has must count as
//! stale. Time is handed in, and there is no I/O: where lists are asked for the balancer follows the
//! schedule, where an agent beside the process pushes them the network side does.
//!
//! Discovery takes callers in turn, and a call that it sends away for having waited too long has used up
//! its turn all the same. N processes that each call every p seconds keep it busy for good once N / p calls
//! a second are more than it can take: all of them are sent away, and all come again. What it can take was
//! seen to grow with the number of processes. So each process has a slot of its own in a period, drawn
//! once: it calls then, and again a period later, where discovery sent its call away. A call that is
//! refused at once takes nothing of discovery's time, and one that is lost says nothing of a crowd: after
//! these a process has three slots in a period, or one of them would cost all that is left until a change
//! counts as known.

use crate::stats::Draws;
use crate::{Discovery, DiscoveryFailure, Settings};
use std::time::Duration;

/// A change counts as known so long after discovery had it and could be reached (protocol).
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// The same after discovery has moved (terms).
const KNOWN_AFTER_MOVE: Duration = Duration::from_secs(4);
/// From one slot to the next: what `KNOWN_WITHIN` leaves when the answer takes half a second.
const PERIOD: Duration = Duration::from_millis(5500);
/// Slots in a period after a call that no crowd has sent away: so two of them lie within `KNOWN_AFTER_MOVE`,
/// and a call that was lost leaves time for another. More, or waits that are drawn anew, bring all processes
/// at once when calls are taken again, and most are sent away.
const SLOTS_WITHOUT_CROWD: u32 = 3;
/// An answer takes no longer in a crowd: a process that has heard nothing so long after its start mistrusts
/// the list that it started with.
const CROWD: Duration = Duration::from_millis(2250);
/// No period or term of the settings counts as shorter.
const LEAST: Duration = Duration::from_millis(250);
/// Before a call that is made again promptly, spread from half to one and a half: after a watch was lost,
/// after a move, and always where an agent beside the process serves no crowd.
const PROMPTLY: Duration = Duration::from_millis(500);

/// When one process calls discovery for a watch.
pub struct DiscoverySchedule {
    mode: Discovery,
    draws: Draws,
    /// One of its slots, and how long it is to the next.
    slot: Duration,
    period: Duration,
    /// A change counts as known so long after it was made, where nothing came and no call failed.
    known_within: Duration,
    /// No watch is up, and a change that was not heard of counts as known from then on.
    stale_at: Option<Duration>,
    /// Discovery has moved, and what calls bring by then is known in time: a lost one is made again promptly.
    in_time_until: Duration,
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
        let stale_at = (mode == Discovery::Ask).then(|| now + CROWD);
        // After a call that failed the settings give four times as long.
        let period = PERIOD.min(known_within * 4);
        let slot = now + period.min(known_within).mul_f64(draws.uniform());
        DiscoverySchedule { mode, draws, slot, period, known_within, stale_at, in_time_until: now }
    }

    /// How long to wait before the first call; no time where no endpoint is known to serve by until then, nor
    /// beside an older process of this balancer, which clients are to leave for this one.
    pub fn first(&self, now: Duration, known: usize, beside: bool) -> Duration {
        match self.mode {
            Discovery::Ask if known > 0 && !beside => self.until_slot(now, self.period),
            _ => Duration::ZERO,
        }
    }

    /// Discovery has spoken: a watch is up.
    pub fn heard(&mut self) {
        self.stale_at = None;
    }

    /// Discovery is at another address from now on, and is to be called there at once.
    pub fn moved(&mut self, now: Duration) {
        self.in_time_until = now + KNOWN_AFTER_MOVE;
        let stale_at = self.stale_at.unwrap_or(Duration::MAX);
        self.stale_at = Some(stale_at.min(self.in_time_until));
    }

    /// A call failed, or the watch is over, on which nothing had come for `unheard`: how long to wait
    /// before the next.
    pub fn failed(&mut self, now: Duration, unheard: Duration, failure: DiscoveryFailure) -> Duration {
        let watched = self.stale_at.is_none();
        self.stale_at.get_or_insert((now + self.known_within).saturating_sub(unheard));
        match failure {
            // A watch may end instead of telling, and what it would have told counts 2 s later.
            _ if watched || self.mode == Discovery::Push => self.promptly(),
            DiscoveryFailure::Unanswered if now < self.in_time_until => self.promptly(),
            DiscoveryFailure::RefusedAtOnce
            | DiscoveryFailure::Unanswered
            | DiscoveryFailure::WatchSilent => self.until_slot(now, self.period / SLOTS_WITHOUT_CROWD),
            DiscoveryFailure::SentAway => self.until_slot(now, self.period),
        }
    }

    fn promptly(&mut self) -> Duration {
        PROMPTLY.mul_f64(0.5 + self.draws.uniform())
    }

    /// Whether a change that was never heard of may count as known by now.
    pub fn overdue(&self, now: Duration) -> bool {
        self.stale_at.is_some_and(|at| now >= at)
    }

    /// For so long a call that was accepted says that its endpoint is not leaving: half of the time until
    /// that counts, as one that is listed as draining was seen to take calls for 2.3 s more.
    pub(super) fn proof(&self) -> Duration {
        self.known_within / 2
    }

    /// How long it is to the next of the slots that lie so far apart.
    fn until_slot(&self, now: Duration, apart: Duration) -> Duration {
        let past = (now + self.period).saturating_sub(self.slot).as_nanos() % apart.as_nanos();
        apart - Duration::from_nanos(past as u64) // less than what lies between two
    }
}
