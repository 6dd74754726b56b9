//! Whose turn it is on a client's connection, and since when: what may be closed under whom.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The head of a connection's first request must have come within this of the accept: a client may take 2 s
/// for it, and a peer that sends none is owed an error or a close within 3 s.
pub const FIRST_MOST: Duration = Duration::from_millis(2500);
/// Its body may lag behind its pace until this after the accept, for the same reason ...
const FIRST_BODY: Duration = Duration::from_millis(2800);
/// ... or for this long after a head that itself came late.
const BODY_LAG: Duration = Duration::from_millis(800);
/// A later request's body may lag behind its pace by this.
const BODY_TIME: Duration = Duration::from_secs(2);
/// A client that takes nothing of a large answer for this long is not reading it any more.
const READ_MOST: Duration = Duration::from_secs(20);

/// Where a client's connection stands.
pub struct Turn {
    /// When it was accepted.
    pub accepted: Instant,
    /// A request is being answered.
    pub busy: Cell<bool>,
    /// When the last answer was given; none on a new connection.
    pub answered: Cell<Option<Instant>>,
    /// The next answer is the connection's last, and says so.
    pub last: Cell<bool>,
    /// When a piece of a large answer was last asked for; none while there is no such answer.
    pub moved: Cell<Option<Instant>>,
    /// A large answer has come to its end, or begun.
    pub turned: Notify,
}

impl Turn {
    /// A connection just accepted.
    pub fn new() -> Self {
        let (busy, answered, last, moved) = Default::default();
        Turn { accepted: Instant::now(), busy, answered, last, moved, turned: Notify::new() }
    }

    /// When the head of the first request must have come.
    pub fn first_until(&self) -> Instant {
        self.accepted + FIRST_MOST
    }

    /// Nothing that could be answered has come yet.
    pub fn unasked(&self) -> bool {
        !self.busy.get() && self.answered.get().is_none()
    }

    /// Until when the body of the request whose head has just come may lag behind its pace.
    pub fn body_until(&self) -> Instant {
        match self.answered.get() {
            None => (self.accepted + FIRST_BODY).max(Instant::now() + BODY_LAG),
            Some(_) => Instant::now() + BODY_TIME,
        }
    }

    /// When a client that reads nothing of a large answer has had its time.
    pub fn stuck_at(&self) -> Option<Instant> {
        self.moved.get().map(|at| at + READ_MOST)
    }

    /// An answer has been given.
    pub fn over(&self) {
        self.busy.set(false);
        self.answered.set(Some(Instant::now()));
    }

    /// How long it has been between requests; none before the first.
    pub fn idle(&self) -> Option<Duration> {
        self.answered.get().map(|at| at.elapsed())
    }
}
