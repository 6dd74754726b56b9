//! When endpoints started, on this process's own clock. No wall clock is asked: this machine's may be stepped.

use gullpulley::EndpointId;
use std::collections::HashMap;
use std::time::Duration;

/// What has been told of starts. The times that endpoints are told with come from one clock, which is not ours: two of
/// them can be compared, and none with the time here.
#[derive(Default)]
pub struct StartTimes {
    /// The latest start that each endpoint was told with, and when that was for this process.
    known: HashMap<EndpointId, (u64, Duration)>,
    /// The latest start of any, and when it was first told: by then that clock stood there or later.
    latest: Option<(u64, Duration)>,
}

impl StartTimes {
    /// Takes the starts of a list, in milliseconds of that clock, before any of them is asked for.
    pub fn take(&mut self, starts: impl Iterator<Item = u64>, now: Duration) {
        let latest = starts.max().filter(|latest| *latest > self.at_least(now));
        self.latest = latest.map(|latest| (latest, now)).or(self.latest);
    }

    /// When an endpoint told with this start counts as started; none where that was long ago. It is as old as it must be:
    /// at least since it was first told, and by as much as its start lies before the latest. An earlier start than it
    /// was told with before, or one long ago, is an older list's: what has started since stays so.
    pub fn started(&mut self, endpoint: EndpointId, start: u64, now: Duration) -> Option<Duration> {
        if let Some((told, at)) = self.known.get(&endpoint)
            && *told >= start
        {
            return Some(*at);
        }
        if start == 0 {
            return None;
        }
        let age = Duration::from_millis(self.at_least(now).saturating_sub(start));
        let at = now.saturating_sub(age);
        self.known.insert(endpoint, (start, at));
        Some(at)
    }

    /// Forgets endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(EndpointId) -> bool) {
        self.known.retain(|endpoint, _| listed(*endpoint));
    }

    /// What the other clock shows now, at least.
    fn at_least(&self, now: Duration) -> u64 {
        self.latest.map_or(0, |(start, told)| start + now.saturating_sub(told).as_millis() as u64)
    }
}

#[cfg(test)]
mod tests;
