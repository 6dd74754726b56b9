//! Start times of endpoints on this process's monotonic clock. The wall clock is not used: it may be
//! stepped.

use gullpulley::EndpointId;
use std::collections::HashMap;
use std::time::Duration;

/// Start times received from discovery. They come from a single remote clock: two of them can be compared
/// with each other, but not with the local time.
#[derive(Default)]
pub struct StartTimes {
    /// The latest start time received for each endpoint, and the local time that it corresponds to.
    known: HashMap<EndpointId, (u64, Duration)>,
    /// The latest start time of any endpoint, and when it was first received: at that moment the remote
    /// clock showed this time or a later one.
    latest: Option<(u64, Duration)>,
}

impl StartTimes {
    /// Records the start times of a list, in milliseconds of the remote clock. Call it before
    /// [`Self::started_at`] for that list.
    pub fn observe(&mut self, starts: impl Iterator<Item = u64>, now: Duration) {
        let latest = starts.max().filter(|latest| *latest > self.remote_now_at_least(now));
        self.latest = latest.map(|latest| (latest, now)).or(self.latest);
    }

    /// The local time at which an endpoint with this start time counts as started; none if it started long
    /// ago (0). Its age is the least that is proven: the time since its start time was first received, plus
    /// the distance of its start time from the latest known one. A start time earlier than one received
    /// before, or 0, comes from an outdated list and doesn't replace the later one.
    pub fn started_at(&mut self, endpoint: EndpointId, start: u64, now: Duration) -> Option<Duration> {
        if let Some((known_start, at)) = self.known.get(&endpoint)
            && *known_start >= start
        {
            return Some(*at);
        }
        if start == 0 {
            return None;
        }
        let age = Duration::from_millis(self.remote_now_at_least(now).saturating_sub(start));
        let at = now.saturating_sub(age);
        self.known.insert(endpoint, (start, at));
        Some(at)
    }

    /// Removes endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(EndpointId) -> bool) {
        self.known.retain(|endpoint, _| listed(*endpoint));
    }

    /// A lower bound of the remote clock's current time.
    fn remote_now_at_least(&self, now: Duration) -> u64 {
        self.latest.map_or(0, |(start, received)| start + now.saturating_sub(received).as_millis() as u64)
    }
}

#[cfg(test)]
mod tests;
