//! Until when requests may be sent by the endpoint list: a lease that discovery alone renews.
//!
//! A change counts as known to this process a fixed time after discovery had it and could be reached,
//! whatever became of the calls in between. So the lease runs out that long after the time up to which the
//! list is known to be complete, and nothing is sent by a list whose lease has run out. What a failed call
//! was like says when to make the next one, never how long the list is good. Only two things put the end
//! off: a list, and proof that nothing listens at discovery, where no change can be had from. Time is
//! handed in, and there is no I/O.

use crate::{Discovery, DiscoveryEvidence, Settings};
use std::fmt;
use std::time::Duration;

/// What discovery has at a move counts as known so long after it (terms).
const KNOWN_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A watch may bring a change this much later than discovery had it, and end before that.
pub const LISTING_DELAY: Duration = Duration::from_secs(1);
/// A process that has heard nothing so long after its start doubts the list that it started with: an answer
/// takes no longer in a crowd.
const ANSWER_IN_CROWD: Duration = Duration::from_millis(2250);

/// Which term ends a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseTerm {
    /// The process started with a list that may be old.
    SinceStart,
    /// No watch is up that would bring changes.
    SinceWatch,
    /// Discovery has moved.
    SinceMove,
    /// Nothing listened at discovery when it was last called.
    SinceRefusal,
}

impl fmt::Display for LeaseTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeaseTerm::SinceStart => "a change counts as known this long after the start",
            LeaseTerm::SinceWatch => "a change counts as known this long after the watch last told",
            LeaseTerm::SinceMove => "what discovery has counts as known this long after it moved",
            LeaseTerm::SinceRefusal => "nothing listens at discovery, and a change counts from its return",
        })
    }
}

/// The end of a lease, and what it follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEnd {
    /// From then on nothing may be sent by the list.
    pub at: Duration,
    /// Why.
    pub term: LeaseTerm,
}

/// The lease on the endpoint list of one process.
pub struct ListLease {
    /// A change counts as known so long after discovery had it and could be reached.
    known_within: Duration,
    /// When the process started, with the list that it had before; none once discovery has told one.
    started: Option<Duration>,
    /// The list is doubted so long after the watch last told.
    doubted_within: Duration,
    /// None while a watch keeps the list current.
    end: Option<LeaseEnd>,
    /// From then on the list may lack a change that counts as known by the settings' time for asking.
    doubted_at: Option<Duration>,
    /// Discovery has moved, and has not shown since that its list is current.
    moved: bool,
    /// When the last call found nothing listening, if the last call did.
    refused: Option<Duration>,
    /// For how long it has been out of force, up to its last renewal.
    lapsed: Duration,
}

impl ListLease {
    /// The lease of a process that starts at `now` with the list that it had before.
    pub fn new(settings: &Settings, doubted_within: Duration, now: Duration) -> Self {
        let known_within = settings.rules.known_within;
        // Where lists are pushed an agent beside the process holds the current one.
        let asked = settings.discovery == Discovery::Ask;
        let end = asked.then_some(LeaseEnd { at: now + known_within, term: LeaseTerm::SinceStart });
        ListLease {
            known_within,
            started: Some(now),
            doubted_within,
            end,
            doubted_at: asked.then(|| now + ANSWER_IN_CROWD),
            moved: false,
            refused: None,
            lapsed: Duration::ZERO,
        }
    }

    /// A watch is up, and by what it told the list is current.
    pub fn grant(&mut self, now: Duration) {
        self.lapsed = self.lapsed(now);
        (self.end, self.doubted_at, self.started, self.refused) = (None, None, None, None);
        self.moved = false;
    }

    /// No watch is up, and for `unheard` the last one had told nothing. Says nothing new where none was.
    pub fn watch_ended(&mut self, now: Duration, unheard: Duration) {
        let complete = self.started.unwrap_or(now.saturating_sub(unheard + LISTING_DELAY));
        let end = LeaseEnd { at: complete + self.known_within, term: LeaseTerm::SinceWatch };
        self.end.get_or_insert(end);
        self.doubted_at.get_or_insert((now + self.doubted_within).saturating_sub(unheard));
    }

    /// Discovery is at another address from now on.
    pub fn discovery_moved(&mut self, now: Duration) {
        let moved = LeaseEnd { at: now + KNOWN_AFTER_MOVE, term: LeaseTerm::SinceMove };
        self.end = Some(self.end.map_or(moved, |end| if end.at <= moved.at { end } else { moved }));
        self.doubted_at = Some(self.doubted_at.map_or(moved.at, |at| at.min(moved.at)));
        (self.moved, self.refused) = (true, None);
    }

    /// What a failed call proves. Between two calls in a row that found nothing listening discovery was
    /// down, and a change counts from its return. One alone may be a fault on the way: it puts the end off
    /// only until the next call. What counts as known by now is not taken back.
    pub fn call_failed(&mut self, now: Duration, evidence: DiscoveryEvidence) {
        if evidence != DiscoveryEvidence::Down || !self.holds(now) {
            self.refused = None;
            return;
        }
        if let Some(down_since) = self.refused.replace(now) {
            let from_return = self.end_by_refusal(down_since);
            self.end = self.end.map(|end| if end.at < from_return.at { from_return } else { end });
        }
    }

    fn end_by_refusal(&self, refused: Duration) -> LeaseEnd {
        let known_within = if self.moved { KNOWN_AFTER_MOVE } else { self.known_within };
        LeaseEnd { at: refused + known_within, term: LeaseTerm::SinceRefusal }
    }

    /// When it runs out, and by which term; none while a watch keeps the list current.
    pub fn end(&self) -> Option<LeaseEnd> {
        let end = self.end?;
        let by_refusal = self.refused.map(|at| self.end_by_refusal(at)).filter(|later| later.at > end.at);
        Some(by_refusal.unwrap_or(end))
    }

    /// Whether requests may be sent by the list.
    pub fn holds(&self, now: Duration) -> bool {
        self.end().is_none_or(|end| now < end.at)
    }

    /// Whether the list may lack a change by now: of what it names, only what shows that it takes calls is
    /// sent to.
    pub fn is_doubted(&self, now: Duration) -> bool {
        self.doubted_at.is_some_and(|at| now >= at)
    }

    /// For how long it has been out of force since the start.
    pub fn lapsed(&self, now: Duration) -> Duration {
        self.lapsed + self.end().map_or(Duration::ZERO, |end| now.saturating_sub(end.at))
    }
}
