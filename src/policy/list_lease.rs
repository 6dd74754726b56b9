//! The lease on the endpoint list: until when requests may be sent by it. It is a single time, computed
//! from what this process knows of its list and of discovery.
//!
//! A change that discovery had at a time `t` counts as known to this process, whatever the result of its
//! calls, at the earliest of these:
//!
//! | rule | counts as known |
//! | --- | --- |
//! | 6 s after discovery had it and was reachable | `t` + `known_within` |
//! | 4 s after the signal that discovery moved at `m` | `m` + 4 s, if `t` is before that |
//! | what a watch that ended at `w` had still to deliver | `w` + 2 s, if no call was refused since |
//! | the time starts again when discovery is back | not while nothing listens there |
//!
//! The list may lack any change since the time up to which it is known to be complete. So requests may be
//! sent by it until the earliest of these times over all such `t`; [`ListLease::end`] computes that anew
//! at each call. Only evidence that nothing was missed extends the lease: a watch that continues to
//! deliver, or a list update on it. The kind of failure of a call determines when the next one is made,
//! never how long the list is valid. A process that starts with the list of an earlier process has no
//! lease: nothing says how old that list is. Sans I/O; the caller passes in the time.

use crate::{DiscoveryEvidence, DiscoveryFailure, Settings};
use std::fmt;
use std::time::Duration;

/// What discovery has counts as known this long after the signal that it has moved to another address, by
/// the terms of service.
const KNOWN_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
/// What a watch had still to deliver when it ended counts as known this long after its end, if discovery
/// has refused no call since: observed in service, and stricter than the terms of service.
const KNOWN_AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// A watch may deliver a change up to this long after discovery had it, and may end before that.
pub const LISTING_DELAY: Duration = Duration::from_secs(1);
/// Longest time between two lines on an open watch: discovery sends one every 2 s.
const WATCH_SILENCE_MAX: Duration = Duration::from_millis(2200);
/// If a process has received nothing this long after its start, the list that it started with may be
/// stale: even when many processes call discovery, an answer takes no longer.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_millis(2250);

/// The rule that determines when a lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEndReason {
    /// The process started with a list that may be old.
    CachedList,
    /// No watch is open that would deliver changes.
    NoWatch,
    /// A watch has ended, and discovery has refused no call since.
    WatchEnded,
    /// Discovery has moved to another address.
    AddressChanged,
    /// Nothing listened at discovery when it was last called.
    DiscoveryDown,
}

impl fmt::Display for LeaseEndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeaseEndReason::CachedList => "the age of the list that this process started with is unknown",
            LeaseEndReason::NoWatch => {
                "a change counts as known this long after the last line on the watch"
            }
            LeaseEndReason::WatchEnded => {
                "what a watch had still to deliver counts as known this long after its end"
            }
            LeaseEndReason::AddressChanged => "what discovery has counts as known this long after it moved",
            LeaseEndReason::DiscoveryDown => {
                "nothing listens at discovery; a change counts as known some time after its return"
            }
        })
    }
}

/// The end of a lease, and the rule that it follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEnd {
    /// From this time on no request may be sent by the list.
    pub at: Duration,
    /// The rule that determines this time.
    pub reason: LeaseEndReason,
}

/// A message on a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMessage {
    /// A list that contains changes.
    ListUpdate,
    /// A list without changes, or an empty line.
    NoChange,
    /// A list without changes, at an address that discovery has moved to: it may be out of date.
    Unconfirmed,
}

/// An open watch.
#[derive(Clone, Copy, Debug)]
struct Watch {
    opened: Duration,
    /// It has delivered changes.
    delivered_update: bool,
    /// The list is current for as long as the watch is open.
    confirms_list: bool,
}

/// What calls have shown of an outage of discovery since the list was complete.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    /// When the last call was made, if it found nothing listening.
    refused_at: Option<Duration>,
    /// A call has failed in a way that doesn't prove that discovery was down.
    maybe_up: bool,
    /// Times that started before the first of these run until the second, if they end earlier.
    extension: Option<(Duration, Duration)>,
}

/// The lease on the endpoint list of one process.
pub struct ListLease {
    known_within: Duration,
    /// The list may be stale this long after the last line on the watch.
    stale_after: Duration,
    /// Until when requests may be sent by the list that the process started with.
    cached_list_end: Duration,
    /// Time up to which the list is known to be complete; none if this process has never received one.
    complete_until: Option<Duration>,
    /// From this time on the list may lack a change that counts as known by the settings' `ask_within`.
    stale_at: Duration,
    /// The address changes of discovery whose 4 s the list is not known to cover.
    address_changes: Vec<Duration>,
    /// The last address change, if no watch has delivered for long enough since to confirm the list.
    unconfirmed_address_change: Option<Duration>,
    watch: Option<Watch>,
    /// When the first watch ended that may have had more to deliver than the list contains, if discovery
    /// has refused no call since.
    watch_ended_at: Option<Duration>,
    outage: Outage,
    /// For how long the lease had been expired in total, up to `expired_until`.
    expired: Duration,
    expired_until: Duration,
}

impl ListLease {
    /// The lease of a process that starts at `now` with the cached list of an earlier process.
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

    /// A message has arrived on an open watch. Until what discovery had at an address change counts as
    /// known, only a watch that has delivered for at least `LISTING_DELAY` confirms the list: one that
    /// ends sooner may have ended instead of delivering a change.
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

    /// No watch is open, and the last one had sent nothing for `silent_for`. No effect if none was open.
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

    /// Discovery has moved to another address.
    pub fn on_address_change(&mut self, now: Duration) {
        self.count_expired(now);
        let known_at = now + KNOWN_AFTER_ADDRESS_CHANGE;
        if let Some(watch) = self.watch.take().filter(|watch| self.proves_complete(watch, now)) {
            // It is read until the previous address closes it, and may have been silent for this long.
            let silent_since = now.saturating_sub(WATCH_SILENCE_MAX);
            self.set_complete_until(silent_since.max(watch.opened.saturating_sub(LISTING_DELAY)));
            self.stale_at = known_at;
        }
        self.stale_at = self.stale_at.min(known_at);
        self.outage.refused_at = None;
        self.address_changes.push(now);
        self.unconfirmed_address_change = Some(now);
    }

    /// A call has failed. If two calls in a row found nothing listening, discovery was down between them,
    /// and the time until a change counts as known starts at its return; a single such call may be due to
    /// a network fault. If discovery may have been up since the list was complete, it may have had a
    /// change by then, so the end of the lease stays; nor does what already counts as known become
    /// unknown again. A process that has never received a list starts to serve by its cached one: it must
    /// not wait forever if there is no discovery to ask.
    pub fn on_call_failure(&mut self, now: Duration, failure: DiscoveryFailure) {
        self.count_expired(now);
        let Some(end) = self.end() else { return };
        if now < end.at && failure.is_refusal() {
            self.watch_ended_at = None; // more time is allowed after a failed call
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

    /// When the lease expires, and by which rule; none while a watch keeps the list current.
    pub fn end(&self) -> Option<LeaseEnd> {
        let due = self.list_due()?;
        let by_watch = self.watch_ended_at.map(|at| at + KNOWN_AFTER_WATCH_END);
        let by_watch = by_watch.map(|at| LeaseEnd { at, reason: LeaseEndReason::WatchEnded });
        by_watch.into_iter().chain([due]).min_by_key(|end| end.at)
    }

    /// By when the next list is due: what discovery has counts as known then, whatever the result of the
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

    /// Time up to which the list is known to be complete while no watch keeps it current; none if that is
    /// unknown.
    pub fn complete_until(&self) -> Option<Duration> {
        self.complete_until
    }

    /// Whether the last call found nothing listening, and a second one has to rule out a network fault.
    pub fn awaits_second_refusal(&self) -> bool {
        let by_refusal = self.end().is_none_or(|end| end.reason == LeaseEndReason::DiscoveryDown);
        self.outage.refused_at.is_some() && !by_refusal
    }

    /// Whether requests may be sent by the list.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.end().is_none_or(|end| now < end.at)
    }

    /// Whether the list may be stale: requests are then sent only to listed endpoints that show that they
    /// accept calls.
    pub fn may_be_stale(&self, now: Duration) -> bool {
        self.end().is_some() && now >= self.stale_at
    }

    /// For how long in total the lease has been expired since the start.
    pub fn expired_for(&self, now: Duration) -> Duration {
        let since = self.end().map_or(now, |end| end.at.max(self.expired_until));
        self.expired + now.saturating_sub(since)
    }

    fn count_expired(&mut self, now: Duration) {
        (self.expired, self.expired_until) = (self.expired_for(now), now);
    }

    /// Whether a watch that has ended shows that nothing was missed up to its last message. One that
    /// delivered no changes, and ended soon, may have been out of date; but the first list that a process
    /// receives counts as an update, whatever it contains.
    fn proves_complete(&self, watch: &Watch, now: Duration) -> bool {
        let long_enough = now >= watch.opened + LISTING_DELAY;
        watch.confirms_list && (watch.delivered_update || long_enough || self.complete_until.is_none())
    }

    /// The list contains all changes up to this time.
    fn set_complete_until(&mut self, at: Duration) {
        let complete = self.complete_until.map_or(at, |before| before.max(at));
        self.complete_until = Some(complete);
        self.watch_ended_at = None;
        self.address_changes.retain(|moved| complete < *moved + KNOWN_AFTER_ADDRESS_CHANGE);
        self.outage = Outage::default();
    }

    /// The end of a time that started at `begins`: extended if an outage has been proven since.
    fn after_outage(&self, begins: Duration, end: LeaseEnd) -> LeaseEnd {
        match self.outage.extension {
            Some((proven_at, until)) if begins < proven_at && end.at < until => {
                LeaseEnd { at: until, reason: LeaseEndReason::DiscoveryDown }
            }
            _ => end,
        }
    }
}
