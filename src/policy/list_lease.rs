//! Until when requests may be sent by the endpoint list: one bound, computed from what this process knows
//! of its list and of discovery.
//!
//! A change that discovery had at a time `t` counts as told to this process, whatever became of its calls,
//! at the earliest of these:
//!
//! | sentence | counts as told |
//! | --- | --- |
//! | 6 s after discovery had it and could be reached | `t` + `known_within` |
//! | 4 s after the signal that moved discovery at `m` | `m` + 4 s, where `t` is before that |
//! | what a watch that ended at `w` had to tell | `w` + 2 s, where no call was refused since |
//! | counted anew when discovery is back | not while nothing listens there |
//!
//! The list may lack any change since the time up to which it is known to be complete. So it may be sent
//! by until the earliest of these times over all such `t`, and [`ListLease::end`] computes that each time
//! anew. What moves it later is only what shows that nothing was missed: a watch that told on, or news on
//! it. What a failed call was like says when to make the next one, never how long the list is good. A
//! process that starts with the list of an earlier one has no lease: nothing says how old that list is.
//! Time is handed in, and there is no I/O.

use crate::{DiscoveryEvidence, DiscoveryFailure, Settings};
use std::fmt;
use std::time::Duration;

/// What discovery has to tell counts as told so long after the signal that moved it (terms).
const KNOWN_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
/// What a watch had to tell as it ended counts as told so long after its end, where discovery has refused no
/// call since: seen in service, and stricter than the terms.
const KNOWN_AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// A watch may bring a change this much later than discovery had it, and end before that.
pub const LISTING_DELAY: Duration = Duration::from_secs(1);
/// A watch that is up has told something within this: it brings a line every 2 s.
const WATCH_SILENCE_MAX: Duration = Duration::from_millis(2200);
/// A process that has heard nothing so long after its start doubts the list that it started with: an answer
/// takes no longer in a crowd.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_millis(2250);

/// Which sentence ends a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEndReason {
    /// The process started with a list that may be old.
    CachedList,
    /// No watch is up that would bring changes.
    NoWatch,
    /// A watch has ended, and discovery has refused no call since.
    WatchEnded,
    /// Discovery has moved.
    AddressChanged,
    /// Nothing listened at discovery when it was last called.
    DiscoveryDown,
}

impl fmt::Display for LeaseEndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeaseEndReason::CachedList => "nothing says how old the list is that this process started with",
            LeaseEndReason::NoWatch => "a change counts as known this long after the watch last told",
            LeaseEndReason::WatchEnded => {
                "what a watch had to tell counts as known this long after its end"
            }
            LeaseEndReason::AddressChanged => "what discovery has counts as known this long after it moved",
            LeaseEndReason::DiscoveryDown => {
                "nothing listens at discovery, and a change counts from its return"
            }
        })
    }
}

/// The end of a lease, and what it follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEnd {
    /// From then on nothing may be sent by the list.
    pub at: Duration,
    /// Why.
    pub reason: LeaseEndReason,
}

/// What a watch has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMessage {
    /// A list that says something new.
    ListUpdate,
    /// A list that says nothing new, or an empty line.
    NoChange,
    /// A list that says nothing new, at an address that discovery has moved to: it may be behind.
    Unconfirmed,
}

/// A watch that is up.
#[derive(Clone, Copy, Debug)]
struct Watch {
    opened: Duration,
    /// It has told something new.
    delivered_update: bool,
    /// The list is current for as long as it is up.
    confirms_list: bool,
}

/// What calls have proven of an outage of discovery since the list was complete.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    /// When the last call found nothing listening, if the last call did.
    refused_at: Option<Duration>,
    /// A call has failed that does not prove that discovery was down.
    maybe_up: bool,
    /// What began to count before the first of these counts anew up to the second.
    extension: Option<(Duration, Duration)>,
}

/// The lease on the endpoint list of one process.
pub struct ListLease {
    known_within: Duration,
    /// The list is doubted so long after the watch last told.
    stale_after: Duration,
    /// Until when the list may be sent by that the process started with.
    cached_list_end: Duration,
    /// Up to when the list is known to be complete; none where this process was never told one.
    complete_until: Option<Duration>,
    /// From then on the list may lack a change that counts as known by the settings' time for asking.
    stale_at: Duration,
    /// The moves of discovery whose 4 s the list is not known to cover.
    address_changes: Vec<Duration>,
    /// The last move, where no watch has told on for a while since.
    unconfirmed_address_change: Option<Duration>,
    watch: Option<Watch>,
    /// When the first watch ended that may have had more to tell than the list holds, where discovery has
    /// refused no call since.
    watch_ended_at: Option<Duration>,
    outage: Outage,
    /// For how long the lease had been out of force, up to `lapsed_at`.
    expired: Duration,
    expired_until: Duration,
}

impl ListLease {
    /// The lease of a process that starts at `now` with the list that an earlier one had.
    pub fn new(settings: &Settings, stale_after: Duration, now: Duration) -> Self {
        let cached_for = settings.rules.cached_list_for;
        let permanent = Watch { opened: now, delivered_update: true, confirms_list: true };
        ListLease {
            known_within: settings.rules.known_within,
            stale_after,
            cached_list_end: now + cached_for.unwrap_or_default(),
            complete_until: None,
            stale_at: now + FIRST_ANSWER_WITHIN,
            address_changes: Vec::new(),
            unconfirmed_address_change: None,
            watch: cached_for.is_none().then_some(permanent),
            watch_ended_at: None,
            outage: Outage::default(),
            expired: Duration::ZERO,
            expired_until: now,
        }
    }

    /// A watch is up, and has told this. Until what discovery had at a move counts as known, only one that
    /// has told on for a while vouches for the list: one that ends before that may have ended instead of
    /// telling.
    pub fn on_watch_message(&mut self, now: Duration, message: WatchMessage) {
        self.count_expired(now);
        let recently_moved =
            self.unconfirmed_address_change.is_some_and(|moved| now < moved + KNOWN_AFTER_ADDRESS_CHANGE);
        let watch =
            self.watch.get_or_insert(Watch { opened: now, delivered_update: false, confirms_list: false });
        let long_enough = now >= watch.opened + LISTING_DELAY;
        watch.delivered_update |= message == WatchMessage::ListUpdate;
        if message != WatchMessage::Unconfirmed && (long_enough || !recently_moved) {
            watch.confirms_list = true;
            self.unconfirmed_address_change = None;
        }
    }

    /// No watch is up, and for `silent_for` the last one had told nothing. Says nothing new where none was.
    pub fn on_watch_end(&mut self, now: Duration, silent_for: Duration) {
        self.count_expired(now);
        let Some(watch) = self.watch.take() else { return };
        if self.proves_complete(&watch, now) {
            let last_message = now.saturating_sub(silent_for);
            self.set_complete_until(last_message.saturating_sub(LISTING_DELAY));
            self.stale_at = last_message + self.stale_after;
        }
        self.watch_ended_at.get_or_insert(now);
    }

    /// Discovery is at another address from now on.
    pub fn on_address_change(&mut self, now: Duration) {
        self.count_expired(now);
        let known_at = now + KNOWN_AFTER_ADDRESS_CHANGE;
        if let Some(watch) = self.watch.take().filter(|watch| self.proves_complete(watch, now)) {
            // It is read until the address before closes it, and may have been silent for so long.
            let silent_since = now.saturating_sub(WATCH_SILENCE_MAX);
            self.set_complete_until(silent_since.max(watch.opened.saturating_sub(LISTING_DELAY)));
            self.stale_at = known_at;
        }
        self.stale_at = self.stale_at.min(known_at);
        self.outage.refused_at = None;
        self.address_changes.push(now);
        self.unconfirmed_address_change = Some(now);
    }

    /// What a failed call proves. Between two calls in a row that found nothing listening discovery was
    /// down, and a change counts from its return: one alone may be a fault on the way. Where discovery
    /// may have been up since the list was complete it may have had a change by then, and so the end
    /// stays; what counts as known by now is not taken back either. A process that was never told a list
    /// begins to serve by the one it started with: it must not wait for good where there is no discovery
    /// to ask.
    pub fn on_call_failure(&mut self, now: Duration, failure: DiscoveryFailure) {
        self.count_expired(now);
        let Some(end) = self.end() else { return };
        if now < end.at && failure.is_refusal() {
            self.watch_ended_at = None; // more time is allowed after a call that failed
        }
        let known_within =
            if self.address_changes.is_empty() { self.known_within } else { KNOWN_AFTER_ADDRESS_CHANGE };
        self.outage.maybe_up |= failure.evidence() != DiscoveryEvidence::Down;
        let was_valid_at = |at: Duration| at < end.at || self.complete_until.is_none();
        let down_since = self.outage.refused_at.filter(|at| was_valid_at(*at));
        let counts_as_known = down_since.is_none() && !was_valid_at(now);
        self.outage.refused_at = (!self.outage.maybe_up && !counts_as_known).then_some(now);
        if let Some(down_since) = down_since.filter(|_| !self.outage.maybe_up) {
            self.outage.extension = Some((now, down_since + known_within));
        }
    }

    /// When it runs out, and by which sentence; none while a watch keeps the list current.
    pub fn end(&self) -> Option<LeaseEnd> {
        let due = self.list_due()?;
        let by_watch = self.watch_ended_at.map(|at| at + KNOWN_AFTER_WATCH_END);
        let by_watch = by_watch.map(|at| LeaseEnd { at, reason: LeaseEndReason::WatchEnded });
        by_watch.into_iter().chain([due]).min_by_key(|end| end.at)
    }

    /// By when the next list has to come: what discovery has counts as told then, whatever became of the
    /// calls.
    pub fn list_due(&self) -> Option<LeaseEnd> {
        if self.watch.is_some_and(|watch| watch.confirms_list) {
            return None;
        }
        let by_list = match self.complete_until {
            Some(at) => (at, LeaseEnd { at: at + self.known_within, reason: LeaseEndReason::NoWatch }),
            None => {
                (Duration::ZERO, LeaseEnd { at: self.cached_list_end, reason: LeaseEndReason::CachedList })
            }
        };
        let by_address_change = |at: &Duration| {
            (*at, LeaseEnd { at: *at + KNOWN_AFTER_ADDRESS_CHANGE, reason: LeaseEndReason::AddressChanged })
        };
        let ends = self.address_changes.iter().map(by_address_change).chain([by_list]);
        ends.map(|(begins, end)| self.after_outage(begins, end)).min_by_key(|end| end.at)
    }

    /// Up to when the list is known to be complete while no watch keeps it current; none where nothing is
    /// known.
    pub fn complete_until(&self) -> Option<Duration> {
        self.complete_until
    }

    /// Whether the last call found nothing listening, and a second one has to show that it was no fault
    /// on the way.
    pub fn awaits_second_refusal(&self) -> bool {
        let by_refusal = self.end().is_none_or(|end| end.reason == LeaseEndReason::DiscoveryDown);
        self.outage.refused_at.is_some() && !by_refusal
    }

    /// Whether requests may be sent by the list.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.end().is_none_or(|end| now < end.at)
    }

    /// Whether the list may lack a change by now: of what it names, only what shows that it takes calls is
    /// sent to.
    pub fn may_be_stale(&self, now: Duration) -> bool {
        self.end().is_some() && now >= self.stale_at
    }

    /// For how long it has been out of force since the start.
    pub fn expired_for(&self, now: Duration) -> Duration {
        let since = self.end().map_or(now, |end| end.at.max(self.expired_until));
        self.expired + now.saturating_sub(since)
    }

    fn count_expired(&mut self, now: Duration) {
        (self.expired, self.expired_until) = (self.expired_for(now), now);
    }

    /// Whether a watch that is over shows that nothing was missed up to its last word. One that told nothing
    /// new, and ended soon, may have been behind; but the first list that a process is told is news,
    /// whatever it says.
    fn proves_complete(&self, watch: &Watch, now: Duration) -> bool {
        let long_enough = now >= watch.opened + LISTING_DELAY;
        watch.confirms_list && (watch.delivered_update || long_enough || self.complete_until.is_none())
    }

    /// The list holds all changes up to then.
    fn set_complete_until(&mut self, at: Duration) {
        let complete = self.complete_until.map_or(at, |before| before.max(at));
        self.complete_until = Some(complete);
        self.watch_ended_at = None;
        self.address_changes.retain(|moved| complete < *moved + KNOWN_AFTER_ADDRESS_CHANGE);
        self.outage = Outage::default();
    }

    /// The end of what began to count at `begins`: anew where an outage has been proven since.
    fn after_outage(&self, begins: Duration, end: LeaseEnd) -> LeaseEnd {
        match self.outage.extension {
            Some((proven_at, until)) if begins < proven_at && end.at < until => {
                LeaseEnd { at: until, reason: LeaseEndReason::DiscoveryDown }
            }
            _ => end,
        }
    }
}
