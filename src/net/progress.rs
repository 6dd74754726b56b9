//! How far an attempt has come, and the outcome that follows from it.

use super::counters::Counters;
use gullpulley::Outcome;
use std::cell::Cell;
use std::rc::Rc;

/// How far an attempt has come: one that is stopped before anything was written never ran.
#[derive(Default)]
pub struct Progress {
    written: Cell<bool>,
    /// Counts written attempts; none for a probe.
    counters: Option<Rc<Counters>>,
}

impl Progress {
    /// The progress of an attempt that is counted in the metrics.
    pub fn counted(counters: Rc<Counters>) -> Self {
        Progress { written: Cell::new(false), counters: Some(counters) }
    }

    /// The outcome when the wait is given up: if nothing was written, the attempt provably never ran.
    pub fn outcome_on_timeout(&self) -> Outcome {
        if self.written.get() { Outcome::TimedOut } else { Outcome::ConnectFailed }
    }

    /// The outcome of a cancellation: if nothing was written, the attempt was not sent.
    pub fn outcome_on_cancel(&self) -> Outcome {
        if self.written.get() { Outcome::Cancelled } else { Outcome::NotSent }
    }

    /// Whether it has been written.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// The outcome of a broken connection.
    pub fn outcome_on_reset(&self) -> Outcome {
        if self.written.get() { Outcome::Reset } else { Outcome::ConnectFailed }
    }

    /// Set when it is being written, and cleared when it was returned unsent.
    pub fn set_written(&self, written: bool) {
        if self.written.replace(written) != written
            && let Some(counters) = &self.counters
        {
            counters.record_attempt(written);
        }
    }
}
