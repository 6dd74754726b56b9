//! How far an attempt has come, and what that makes of its end.

use super::counters::Counters;
use gullpulley::Outcome;
use std::cell::Cell;
use std::rc::Rc;

/// How far an attempt has come: what is stopped before anything was written never ran.
#[derive(Default)]
pub struct Progress {
    written: Cell<bool>,
    /// Where it counts; a probe counts nowhere.
    counters: Option<Rc<Counters>>,
}

impl Progress {
    /// Of an attempt that is to be made and counted.
    pub fn counted(counters: Rc<Counters>) -> Self {
        Progress { written: Cell::new(false), counters: Some(counters) }
    }

    /// The outcome of no longer waiting: nothing written proves that it never ran.
    pub fn outcome_on_timeout(&self) -> Outcome {
        if self.written.get() { Outcome::TimedOut } else { Outcome::ConnectFailed }
    }

    /// The outcome of being called off: nothing written means not sent.
    pub fn outcome_on_cancel(&self) -> Outcome {
        if self.written.get() { Outcome::Cancelled } else { Outcome::NotSent }
    }

    /// Whether it has been written.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// The outcome of a connection that broke.
    pub fn outcome_on_reset(&self) -> Outcome {
        if self.written.get() { Outcome::Reset } else { Outcome::ConnectFailed }
    }

    /// It is being written, or was handed back.
    pub fn set_written(&self, written: bool) {
        if self.written.replace(written) != written
            && let Some(counters) = &self.counters
        {
            counters.record_attempt(written);
        }
    }
}
