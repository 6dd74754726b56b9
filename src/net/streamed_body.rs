//! Bodies too large to be buffered: they are read frame by frame in both directions. Unread data stays
//! in the sockets, so that memory use is bounded however slow the reader is.

use super::early_end::EarlyEnd;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

/// Longest body on the wire, in bytes.
pub const MAX_BODY: u64 = 32 << 20;
/// A client whose body makes no progress for this long has stopped sending it: it is owed an error within 3 s.
pub const CLIENT_STALL_TIMEOUT: Duration = Duration::from_millis(2400);
/// Bytes per second that a client's body must arrive at: half the rate of the slowest client.
pub const MIN_BODY_RATE: f64 = 32_000.0;
/// How far the rest of a large body may fall behind that rate.
const MAX_BODY_LAG: Duration = Duration::from_millis(2800);
/// An endpoint whose answer makes no progress for this long has stopped sending it.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes per second that an answer of unknown length must reach once its client's time is up, and how far
/// it may fall behind: half the rate of the slowest body. One that trickles on would never end.
const MIN_ANSWER_RATE: f64 = 32_000.0;
const MAX_ANSWER_LAG: Duration = Duration::from_secs(3);

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
    stall_timeout: Duration,
    /// The sender is a client, which has to keep to a rate.
    from_client: bool,
    /// Set only while a frame is being waited for: when the reader asks for the next one is up to the
    /// reader.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// When the reader's time is up; set for an answer.
    deadline: Option<Instant>,
    /// Total time spent waiting for the sender.
    total_wait: Duration,
    /// Start of the current wait.
    waiting_since: Option<Instant>,
}

impl StreamedBody {
    /// A client's body.
    pub fn from_client(buffered: Bytes, rest: Incoming) -> Self {
        StreamedBody { from_client: true, ..StreamedBody::new(buffered, rest, CLIENT_STALL_TIMEOUT) }
    }

    /// An endpoint's answer.
    pub fn from_endpoint(buffered: Bytes, rest: Incoming) -> Self {
        StreamedBody::new(buffered, rest, ANSWER_STALL_TIMEOUT)
    }

    fn new(buffered: Bytes, rest: Incoming, stall_timeout: Duration) -> Self {
        let buffered = Some(buffered).filter(|b| !b.is_empty());
        let (deadline, total_wait, waiting_since) = Default::default();
        StreamedBody {
            buffered,
            rest,
            received_bytes: 0,
            stall_timeout,
            from_client: false,
            stall_timer: None,
            deadline,
            total_wait,
            waiting_since,
        }
    }

    /// Sets when the reader's time is up.
    pub fn set_deadline(&mut self, at: Instant) {
        self.deadline = Some(at);
    }

    /// When the body counts as endless if no more arrives.
    fn endless_at(&self) -> Option<Instant> {
        let deadline = self.deadline.filter(|_| self.rest.size_hint().exact().is_none())?;
        let allowed =
            MAX_ANSWER_LAG + Duration::from_secs_f64(self.received_bytes as f64 / MIN_ANSWER_RATE);
        let since = self.waiting_since.unwrap_or_else(Instant::now);
        Some(deadline.max(since + allowed.saturating_sub(self.total_wait)))
    }

    /// When the sender counts as stopped if no more arrives.
    fn stalls_at(&self) -> Instant {
        let now = Instant::now();
        let stalled_at = now + self.stall_timeout;
        if !self.from_client {
            return stalled_at;
        }
        let allowed = MAX_BODY_LAG + Duration::from_secs_f64(self.received_bytes as f64 / MIN_BODY_RATE);
        let since = self.waiting_since.unwrap_or(now);
        stalled_at.min(since + allowed.saturating_sub(self.total_wait))
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
            self.waiting_since.get_or_insert_with(Instant::now);
            let endless = self.endless_at();
            let stalled_at = self.stalls_at();
            let until = endless.map_or(stalled_at, |at| at.min(stalled_at));
            let stall_timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep_until(until)));
            ready!(stall_timer.as_mut().poll(context));
            let endless_now = endless.is_some_and(|at| at <= Instant::now());
            return Poll::Ready(Some(Err(if endless_now {
                BodyError::Endless
            } else {
                BodyError::Stalled
            })));
        };
        self.stall_timer = None;
        self.total_wait += self.waiting_since.take().map(|since| since.elapsed()).unwrap_or_default();
        if frame.is_some() && self.endless_at().is_some_and(|at| at < Instant::now()) {
            return Poll::Ready(Some(Err(BodyError::Endless)));
        }
        let Some(frame) = frame else { return Poll::Ready(None) };
        let frame = frame?;
        self.received_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        if self.received_bytes > MAX_BODY {
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        Poll::Ready(Some(Ok(frame)))
    }
}
