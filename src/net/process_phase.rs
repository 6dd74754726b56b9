//! How far a process is from its first client to its last.

/// A process goes through these in turn, and never back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Phase {
    /// It takes no clients yet.
    Starting,
    /// It takes clients.
    Serving,
    /// It was told to end: answers what it has taken, and each answer is its connection's last.
    Draining,
    /// Its time is up: what was open has been failed. What comes whole from now on is refused; sent on, it would be lost
    /// as the process ends.
    DrainTimedOut,
}

impl Phase {
    /// Told to end.
    pub fn is_ending(self) -> bool {
        self >= Phase::Draining
    }
}
