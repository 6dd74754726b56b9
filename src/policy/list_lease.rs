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
    /// When discovery moved, where it has not shown since that its list is current.
    moved: Option<Duration>,
    /// When the watch that is up first told something after that move.
    told_since_move: Option<Duration>,
    /// When the last call found nothing listening, if the last call did.
    refused: Option<Duration>,
    /// A call has failed since the list was current that does not prove that discovery was down.
    maybe_up: bool,
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
            moved: None,
            told_since_move: None,
            refused: None,
            maybe_up: false,
            lapsed: Duration::ZERO,
        }
    }

    /// A watch is up, and by what it told the list is current. Until what discovery had at a move counts as
    /// known, that takes a watch that tells on for a while: one that ends before that may have ended
    /// instead of telling.
    pub fn grant(&mut self, now: Duration) {
        if self.moved.is_some_and(|moved| now < moved + KNOWN_AFTER_MOVE) {
            let first_told = *self.told_since_move.get_or_insert(now);
            if now < first_told + LISTING_DELAY {
                return;
            }
        }
        self.lapsed = self.lapsed(now);
        (self.end, self.doubted_at, self.started, self.refused) = (None, None, None, None);
        (self.moved, self.told_since_move, self.maybe_up) = (None, None, false);
    }

    /// A watch is up, and has told nothing newer since a move: that does not make the list current yet.
    pub fn watch_told(&mut self, now: Duration) {
        self.told_since_move.get_or_insert(now);
    }

    /// No watch is up, and for `unheard` the last one had told nothing. Says nothing new where none was.
    pub fn watch_ended(&mut self, now: Duration, unheard: Duration) {
        self.told_since_move = None;
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
        (self.moved, self.told_since_move, self.refused) = (Some(now), None, None);
    }

    /// What a failed call proves. Between two calls in a row that found nothing listening discovery was
    /// down, and a change counts from its return: one alone may be a fault on the way. Where discovery may
    /// have been up since the list was current it may have had a change by then, and so the end stays; what
    /// counts as known by now is not taken back either.
    pub fn call_failed(&mut self, now: Duration, evidence: DiscoveryEvidence) {
        self.maybe_up |= evidence != DiscoveryEvidence::Down;
        if self.maybe_up || !self.holds(now) {
            self.refused = None;
            return;
        }
        let Some(down_since) = self.refused.replace(now) else { return };
        let known_within = if self.moved.is_some() { KNOWN_AFTER_MOVE } else { self.known_within };
        let from_return = LeaseEnd { at: down_since + known_within, term: LeaseTerm::SinceRefusal };
        self.end = self.end.map(|end| if end.at < from_return.at { from_return } else { end });
    }

    /// When it runs out, and by which term; none while a watch keeps the list current.
    pub fn end(&self) -> Option<LeaseEnd> {
        self.end
    }

    /// Whether requests may be sent by the list.
    pub fn holds(&self, now: Duration) -> bool {
        self.end.is_none_or(|end| now < end.at)
    }

    /// Whether the list may lack a change by now: of what it names, only what shows that it takes calls is
    /// sent to.
    pub fn is_doubted(&self, now: Duration) -> bool {
        self.doubted_at.is_some_and(|at| now >= at)
    }

    /// For how long it has been out of force since the start.
    pub fn lapsed(&self, now: Duration) -> Duration {
        self.lapsed + self.end.map_or(Duration::ZERO, |end| now.saturating_sub(end.at))
    }
}
