//! The clock that the policy is driven by.

use std::time::Duration;
use tokio::time::Instant;

/// The clock's reading when it starts, so that earlier events have non-negative times.
const ORIGIN: Duration = Duration::from_secs(24 * 3600);

/// A monotonic clock, independent of the wall clock, which may be stepped at any time.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.at(Instant::now())
    }

    /// The time at an instant.
    pub fn at(&self, instant: Instant) -> Duration {
        ORIGIN + instant.duration_since(self.start)
    }
}
