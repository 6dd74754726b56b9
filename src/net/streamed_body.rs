//! Bodies too large to be buffered: they are read frame by frame in both directions. Unread data stays
//! in the sockets, so that memory use is bounded however slow the reader is.

use super::body_limits::{MAX_BODY, MAX_BODY_TIME, MAX_BUFFERED_BODY};
use super::early_end::EarlyEnd;
use super::endless_answer::AnswerPace;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

/// A client whose body makes no progress for this long has stopped sending it: it is owed an error within 3 s.
pub const CLIENT_STALL_TIMEOUT: Duration = Duration::from_millis(2400);
/// Bytes per second that a client's body must arrive at: half the rate of the slowest client.
pub const MIN_BODY_RATE: f64 = 32_000.0;
/// How far the rest of a large body may fall behind that rate.
const MAX_BODY_LAG: Duration = Duration::from_millis(2800);
/// An endpoint whose answer makes no progress for this long has stopped sending it.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Why a body ends early.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The sender closed the connection or broke the framing.
    #[error("body ended early: {0}")]
    Broken(#[from] hyper::Error),
    /// The sender made no progress.
    #[error("body made no progress within the time limit")]
    Stalled,
    /// It exceeds the maximum length.
    #[error("body exceeds the maximum length")]
    TooLong,
    /// The reader's time is up, and the body does not end.
    #[error("body did not end within the client's time")]
    Endless,
    /// It has already been forwarded.
    #[error("body was already forwarded and cannot be sent again")]
    Consumed,
}

impl BodyError {
    /// What it means of an answer that is being forwarded.
    pub fn early_end(&self) -> EarlyEnd {
        match self {
            BodyError::Broken(_) | BodyError::Consumed => EarlyEnd::EndpointBroke,
            BodyError::Stalled => EarlyEnd::EndpointStalled,
            BodyError::TooLong => EarlyEnd::TooLong,
            BodyError::Endless => EarlyEnd::Endless,
        }
    }
}

/// A body as a stream of frames: the bytes read already, then the rest.
pub struct StreamedBody {
    buffered: Option<Bytes>,
    rest: Incoming,
    received_bytes: u64,
    sender: Sender,
    /// Set only while a frame is being waited for: when the reader asks for the next one is up to the
    /// reader.
    timer: Option<Pin<Box<Sleep>>>,
    /// Total time spent waiting for the sender, before the current wait.
    total_wait: Duration,
    /// Start of the current wait.
    waiting_since: Option<Instant>,
}

/// Tells when the client stops waiting for an answer; moves on while it is still sending its request.
pub type ClientDeadline = Box<dyn Fn() -> Instant>;

/// Who sends a body.
enum Sender {
    /// A client, which has to keep to a rate.
    Client,
    /// An endpoint, with the pace of its answer and the time by which a small one has to end; none until that is known.
    Endpoint(AnswerPace, Option<ClientDeadline>),
}

impl StreamedBody {
    /// A client's body.
    pub fn from_client(buffered: Bytes, rest: Incoming) -> Self {
        StreamedBody::new(buffered, rest, Sender::Client)
    }

    /// An endpoint's answer, of which some has been received at this pace.
    pub fn from_endpoint(buffered: Bytes, rest: Incoming, pace: AnswerPace) -> Self {
        StreamedBody::new(buffered, rest, Sender::Endpoint(pace, None))
    }

    fn new(buffered: Bytes, rest: Incoming, sender: Sender) -> Self {
        let buffered = Some(buffered).filter(|b| !b.is_empty());
        let (timer, total_wait, waiting_since) = Default::default();
        StreamedBody { buffered, rest, received_bytes: 0, sender, timer, total_wait, waiting_since }
    }

    /// Sets when the client stops waiting for this answer.
    pub fn set_client_deadline(&mut self, deadline: ClientDeadline) {
        if let Sender::Endpoint(_, client_deadline) = &mut self.sender {
            *client_deadline = Some(deadline);
        }
    }

    /// When the body ends early if no more arrives, and why.
    fn ends_early_at(&self, waiting_since: Instant) -> (Instant, BodyError) {
        match &self.sender {
            Sender::Client => {
                let rate_time = Duration::from_secs_f64(self.received_bytes as f64 / MIN_BODY_RATE);
                let allowed = (MAX_BODY_LAG + rate_time).saturating_sub(self.total_wait);
                (waiting_since + CLIENT_STALL_TIMEOUT.min(allowed), BodyError::Stalled)
            }
            Sender::Endpoint(pace, client_deadline) => {
                let stalled_at = waiting_since + ANSWER_STALL_TIMEOUT;
                let endless_at = |at: &ClientDeadline| self.endless_at(pace, at(), waiting_since);
                match client_deadline.as_ref().and_then(endless_at) {
                    Some(endless_at) if endless_at < stalled_at => (endless_at, BodyError::Endless),
                    _ => (stalled_at, BodyError::Stalled),
                }
            }
        }
    }

    /// When an answer without a stated length counts as endless; none for one that has its length.
    fn endless_at(
        &self,
        pace: &AnswerPace,
        client_deadline: Instant,
        waiting_since: Instant,
    ) -> Option<Instant> {
        if self.rest.size_hint().exact().is_some() {
            return None;
        }
        let longest = waiting_since + MAX_BODY_TIME.saturating_sub(self.total_wait);
        Some(pace.endless_at(client_deadline, waiting_since).map_or(longest, |at| at.min(longest)))
    }

    /// How long its sender has been silent; none while no more has been asked for.
    pub fn silent_for(&self) -> Option<Duration> {
        self.waiting_since.map(|since| since.elapsed())
    }

    /// When the client stops waiting for this answer, as far as is known; none for a client's own body.
    pub fn client_deadline(&self) -> Option<Instant> {
        match &self.sender {
            Sender::Client => None,
            Sender::Endpoint(_, deadline) => deadline.as_ref().map(|deadline| deadline()),
        }
    }

    /// Whether all of it has been read.
    pub fn is_complete(&self) -> bool {
        self.buffered.is_none() && self.rest.is_end_stream()
    }

    /// Bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// What is still to come, as far as it is known.
    pub fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, |b| b.len() as u64);
        let rest = self.rest.size_hint();
        let mut size = SizeHint::new();
        size.set_lower(buffered + rest.lower());
        if let Some(upper) = rest.upper() {
            size.set_upper(buffered + upper);
        }
        size
    }

    /// The next frame.
    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            self.received_bytes += buffered.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) else {
            return self.poll_early_end(context).map(|error| Some(Err(error)));
        };
        self.timer = None;
        let waited = self.waiting_since.take().map(|since| since.elapsed()).unwrap_or_default();
        self.total_wait += waited;
        let Some(frame) = frame else { return Poll::Ready(None) };
        let frame = frame?;
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        self.received_bytes += bytes as u64;
        if let Sender::Endpoint(pace, _) = &mut self.sender {
            pace.record(bytes, waited);
        }
        if self.received_bytes > MAX_BODY {
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        Poll::Ready(Some(Ok(frame)))
    }

    /// Reads on until this time, or until it ends or is large, and keeps what comes for the next frames.
    ///
    /// # Errors
    /// Those of a frame.
    pub async fn read_until(&mut self, time: Instant) -> Result<(), BodyError> {
        let mut buffered = self.buffered.take().unwrap_or_default().to_vec();
        while buffered.len() <= MAX_BUFFERED_BODY && !self.is_complete() {
            match timeout_at(time, poll_fn(|context| self.poll_frame(context))).await {
                Ok(Some(frame)) => {
                    buffered.extend_from_slice(frame?.data_ref().map_or(&[][..], |data| data))
                }
                Ok(None) | Err(_) => break,
            }
        }
        // They are counted as they are passed on.
        self.received_bytes = 0;
        self.buffered = Some(Bytes::from(buffered)).filter(|bytes| !bytes.is_empty());
        Ok(())
    }

    /// Waits for the sender until the body ends early.
    fn poll_early_end(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        let (at, error) = self.ends_early_at(waiting_since);
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
        // The client's deadline may have moved on.
        if timer.deadline() != at {
            timer.as_mut().reset(at);
        }
        ready!(timer.as_mut().poll(context));
        Poll::Ready(error)
    }
}
