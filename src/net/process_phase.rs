//! The phases of a process.

/// A process goes through these in order, and never back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Phase {
    /// Not accepting clients yet.
    Starting,
    /// Accepting clients.
    Serving,
    /// Draining: answers the requests it has accepted, and each answer is the last one on its connection.
    Draining,
    /// The drain time is over: pending requests have been failed. Requests that become complete from now on
    /// are refused; if forwarded, they would be lost when the process exits.
    DrainTimedOut,
}

impl Phase {
    /// Whether the process is shutting down.
    pub fn is_ending(self) -> bool {
        self >= Phase::Draining
    }
}
