//! Whose turn it is on a client's connection, and since when: what may be closed under whom.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The head of a connection's first request must have come within this of the accept: a client may take 2 s
/// for it, and a peer that sends none is owed an error or a close within 3 s.
pub const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Its body may lag behind its pace until this after the accept, for the same reason ...
const FIRST_BODY_GRACE: Duration = Duration::from_millis(2800);
/// ... or for this long after a head that itself came late.
const LATE_HEAD_BODY_GRACE: Duration = Duration::from_millis(800);
/// A later request's body may lag behind its pace by this.
const BODY_GRACE: Duration = Duration::from_secs(2);
/// A client that takes nothing of a large answer for this long is not reading it any more.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Where a client's connection stands.
pub struct ConnectionState {
    /// When it was accepted.
    pub accepted_at: Instant,
    /// A request is being answered.
    pub answering: Cell<bool>,
    /// When the last answer was given; none on a new connection.
    pub last_answer_at: Cell<Option<Instant>>,
    /// The next answer is the connection's last, and says so.
    pub close_after_answer: Cell<bool>,
    /// When a piece of a large answer was last asked for; none while there is no such answer.
    pub last_progress: Cell<Option<Instant>>,
    /// A large answer has come to its end, or begun.
    pub streaming_changed: Notify,
}

impl ConnectionState {
    /// A connection just accepted.
    pub fn new() -> Self {
        let (answering, last_answer_at, close_after_answer, last_progress) = Default::default();
        ConnectionState {
            accepted_at: Instant::now(),
            answering,
            last_answer_at,
            close_after_answer,
            last_progress,
            streaming_changed: Notify::new(),
        }
    }

    /// When the head of the first request must have come.
    pub fn first_head_deadline(&self) -> Instant {
        self.accepted_at + FIRST_HEAD_TIMEOUT
    }

    /// Nothing that could be answered has come yet.
    pub fn awaits_first_request(&self) -> bool {
        !self.answering.get() && self.last_answer_at.get().is_none()
    }

    /// Until when the body of the request whose head has just come may lag behind its pace.
    pub fn body_deadline(&self) -> Instant {
        match self.last_answer_at.get() {
            None => (self.accepted_at + FIRST_BODY_GRACE).max(Instant::now() + LATE_HEAD_BODY_GRACE),
            Some(_) => Instant::now() + BODY_GRACE,
        }
    }

    /// When a client that reads nothing of a large answer has had its time.
    pub fn client_stalled_at(&self) -> Option<Instant> {
        self.last_progress.get().map(|at| at + CLIENT_READ_TIMEOUT)
    }

    /// An answer has been given.
    pub fn answer_finished(&self) {
        self.answering.set(false);
        self.last_answer_at.set(Some(Instant::now()));
    }

    /// How long it has been between requests; none before the first.
    pub fn idle_time(&self) -> Option<Duration> {
        self.last_answer_at.get().map(|at| at.elapsed())
    }
}
