//! The state of a client's connection, and the deadlines after which it may be closed.

use super::early_end::EarlyEnd;
use super::monitored_connection::{MonitoredConnection, StallTimeout, WriteProgress};
use super::read_progress::ReadProgress;
use super::streaming_clients::Registration;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Time from accept within which the head of a connection's first request must arrive: a client may take 2
/// s for it, and a peer that sends none must get an error or a close within 3 s.
pub const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time from accept until which that request's body may fall behind the minimum rate, for the same reason
/// ...
const FIRST_BODY_GRACE: Duration = Duration::from_millis(2800);
/// ... or for this long after the head, if that came late.
const LATE_HEAD_BODY_GRACE: Duration = Duration::from_millis(800);
/// How long the body of a later request may fall behind the minimum rate.
const BODY_GRACE: Duration = Duration::from_secs(2);
/// A client whose system takes nothing of its answers for this long has stopped reading them.
pub const CLIENT_READ_TIMEOUT: StallTimeout =
    StallTimeout { min: Duration::from_secs(20), max: Duration::from_secs(60), min_rate: 64_000.0 };
/// The same once the system may hold as much unsent as it likes: then it asks for more more seldom.
pub const UNLIMITED_READ_TIMEOUT: StallTimeout =
    StallTimeout { min: Duration::from_secs(60), ..CLIENT_READ_TIMEOUT };

/// The state of a client's connection.
pub struct ConnectionState {
    /// When it was accepted.
    pub accepted_at: Instant,
    /// A request is being answered.
    pub answering: Cell<bool>,
    /// When the last answer was given; none on a new connection.
    pub last_answer_at: Cell<Option<Instant>>,
    /// The next answer is the last one on this connection, and announces the close.
    pub close_after_answer: Cell<bool>,
    /// When a frame of a streamed answer was last asked for; none while no answer is being streamed.
    pub frame_asked_at: Cell<Option<Instant>>,
    /// Whether the client has sent more than has been read.
    pub read_progress: Rc<ReadProgress>,
    /// Whether the client takes what is written to it.
    pub write_progress: Rc<WriteProgress>,
    /// Why the connection is being closed amid an answer; none while it is not.
    pub close_reason: Cell<Option<EarlyEnd>>,
    /// The client of the current request takes answers in chunks, as HTTP/1.1 has them.
    pub takes_chunks: Cell<bool>,
    /// The answer under way has neither a length nor chunks.
    answer_ended_by_close: Cell<bool>,
    connection: MonitoredConnection,
    /// Registers the client from its first large answer on, until the connection ends.
    pub streaming_client: Registration,
    /// Notified when a streamed answer begins or ends.
    pub streaming_changed: Notify,
}

impl ConnectionState {
    /// The state of a connection just accepted.
    pub fn new(connection: &MonitoredConnection) -> Self {
        let (answering, last_answer_at, close_after_answer, frame_asked_at) = Default::default();
        let (takes_chunks, answer_ended_by_close) = Default::default();
        ConnectionState {
            accepted_at: Instant::now(),
            answering,
            last_answer_at,
            close_after_answer,
            frame_asked_at,
            read_progress: connection.read_progress(),
            write_progress: connection.write_progress(),
            close_reason: Cell::new(None),
            takes_chunks,
            answer_ended_by_close,
            connection: connection.clone(),
            streaming_client: Registration::default(),
            streaming_changed: Notify::new(),
        }
    }

    /// When the head of the first request must have arrived.
    pub fn first_head_deadline(&self) -> Instant {
        self.accepted_at + FIRST_HEAD_TIMEOUT
    }

    /// Whether a request is being answered, or has begun to arrive.
    pub fn has_request(&self) -> bool {
        self.answering.get() || self.read_progress.message_has_begun()
    }

    /// Whether no request has arrived yet.
    pub fn awaits_first_request(&self) -> bool {
        !self.answering.get() && self.last_answer_at.get().is_none()
    }

    /// Until when the body of the request whose head has just arrived may fall behind the minimum rate.
    pub fn body_deadline(&self) -> Instant {
        match self.last_answer_at.get() {
            None => (self.accepted_at + FIRST_BODY_GRACE).max(Instant::now() + LATE_HEAD_BODY_GRACE),
            Some(_) => Instant::now() + BODY_GRACE,
        }
    }

    /// Sets whether an answer with neither a length nor chunks is under way. Until it is complete only a reset tells its
    /// client that it is not, so the connection is reset however it closes, also if the process is killed.
    pub fn set_answer_ended_by_close(&self, under_way: bool) {
        if self.answer_ended_by_close.replace(under_way) != under_way {
            let _ = self.connection.tcp().reset_on_close(under_way); // fails only if the client has left
        }
    }

    /// Whether such an answer is under way.
    pub fn is_answer_ended_by_close(&self) -> bool {
        self.answer_ended_by_close.get()
    }

    /// Records that an answer has been given.
    pub fn answer_finished(&self) {
        self.answering.set(false);
        self.read_progress.message_answered();
        self.last_answer_at.set(Some(Instant::now()));
    }

    /// Waits until it has been idle between requests for this long. Must be polled after the connection, in the same task.
    pub async fn idle_for(&self, timeout: Duration) {
        let mut timer = pin!(sleep(timeout));
        poll_fn(|context| {
            let Some(idle_since) = self.last_answer_at.get().filter(|_| !self.has_request()) else {
                return Poll::Pending;
            };
            if timer.deadline() != idle_since + timeout {
                timer.as_mut().reset(idle_since + timeout);
            }
            timer.as_mut().poll(context)
        })
        .await;
    }

    /// How long it has been idle between requests; none before the first one.
    pub fn idle_time(&self) -> Option<Duration> {
        self.last_answer_at.get().map(|at| at.elapsed())
    }
}
