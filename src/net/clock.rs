//! The time that the module is told.

use std::time::Duration;
use tokio::time::Instant;

/// A monotonic clock. It knows nothing of the wall clock, which may be stepped at any time.
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
        instant.duration_since(self.start)
    }
}
