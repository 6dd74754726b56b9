//! When a process that has no watch asks discovery: one of hundreds that do so at the same instant, at a
//! start, as discovery returns, as watches fall silent. Made time, no I/O; where lists are asked for the
//! balancer follows it, where an agent beside the process pushes them the sockets' side does.
//!
//! Discovery takes callers in turn, and one that it sends away for having waited too long has used up its
//! turn all the same. N processes that each ask every p seconds keep it busy for good once N / p calls a
//! second are more than it can take: all of them are sent away, and all come again. So each process has a
//! turn of its own, drawn once: it asks then, and again so much later, whatever fails. All together never
//! ask more than N calls in [`TURN`], which discovery must be able to take where it is to tell all of them
//! in time.

use crate::Discovery;
use crate::stats::Draws;
use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached (the operators' term).
const TOLD: Duration = Duration::from_secs(6);
/// From one turn to the next: what that term leaves when the answer takes half a second.
const TURN: Duration = Duration::from_millis(5500);
/// An answer takes no longer in a crowd: a process that has heard nothing so long after its start mistrusts
/// the list that it started with.
const CROWD: Duration = Duration::from_millis(2250);
/// No period or term of the settings counts as shorter.
const LEAST: Duration = Duration::from_millis(250);
/// Before the first call after a watch was lost, and between all where an agent beside the process serves no
/// crowd; spread from half to one and a half.
const SOON: Duration = Duration::from_millis(500);

/// When one process asks discovery for a watch.
pub struct DiscoverySchedule {
    mode: Discovery,
    draws: Draws,
    /// One of its turns, and how long it is to the next.
    turn: Duration,
    period: Duration,
    /// A change counts as told so long after it was made, where nothing came and no call failed.
    told: Duration,
    /// No watch is up, and nothing was heard since then.
    lost: Option<Duration>,
}

impl DiscoverySchedule {
    /// A process that starts at `now` with no watch; its turn is drawn from the seed. `ask_within` is the
    /// settings'.
    pub fn new(mode: Discovery, ask_within: Duration, seed: u64, now: Duration) -> Self {
        let mut draws = Draws::new(seed);
        let told = match mode {
            Discovery::Push => TOLD,
            Discovery::Ask => TOLD.min(ask_within).max(LEAST),
        };
        let turn = now + TURN.min(told).mul_f64(draws.uniform());
        // After a call that failed the settings give four times as long.
        let period = TURN.min(told * 4);
        // The list that it starts with may be old, where no agent beside it holds a newer one.
        let lost = (mode == Discovery::Ask).then(|| (now + CROWD).saturating_sub(told));
        DiscoverySchedule { mode, draws, turn, period, told, lost }
    }

    /// How long to wait before the first call; no time where no endpoint is known to serve by until then, nor
    /// beside an older process of this balancer, which clients are to leave for this one.
    pub fn first(&self, now: Duration, known: usize, beside: bool) -> Duration {
        match self.mode {
            Discovery::Ask if known > 0 && !beside => self.until_turn(now),
            _ => Duration::ZERO,
        }
    }

    /// Discovery has spoken: a watch is up.
    pub fn heard(&mut self) {
        self.lost = None;
    }

    /// A call failed, or the watch is over, on which nothing had come for `unheard`: how long to wait
    /// before the next.
    pub fn failed(&mut self, now: Duration, unheard: Duration) -> Duration {
        let watched = self.lost.is_none();
        self.lost.get_or_insert(now.saturating_sub(unheard));
        // A watch may end instead of telling, and what it would have told counts 2 s later.
        if watched || self.mode == Discovery::Push {
            SOON.mul_f64(0.5 + self.draws.uniform())
        } else {
            self.until_turn(now)
        }
    }

    /// Whether a change that was never heard of may count as told by now.
    pub fn overdue(&self, now: Duration) -> bool {
        self.lost.is_some_and(|at| now >= at + self.told)
    }

    /// For so long a call that was accepted says that its endpoint is not leaving: half of the time until
    /// that counts, as one that is listed as draining was seen to take calls for 2.3 s more.
    pub(super) fn proof(&self) -> Duration {
        self.told / 2
    }

    fn until_turn(&self, now: Duration) -> Duration {
        if now < self.turn {
            return self.turn - now;
        }
        let past = (now - self.turn).as_nanos() % self.period.as_nanos();
        self.period - Duration::from_nanos(past as u64) // less than a period
    }
}
