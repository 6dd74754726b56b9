//! Bodies too large to be buffered: they are streamed frame by frame in both directions. Unread data stays
//! in the sockets, so that memory use is bounded however slow the reader is.

use super::early_end::EarlyEnd;
use super::monitored_connection::{StallTimeout, WriteProgress};
use super::progress::Progress;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout_at};

/// Longest body on the wire, in bytes.
pub const MAX_BODY: u64 = 32 << 20;
/// A client whose body makes no progress for this long has stopped sending it.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// An endpoint that accepts no more of a body for this long is taken to be unreachable.
const UPLOAD_STALL_TIMEOUT: StallTimeout =
    StallTimeout { min: Duration::from_secs(5), max: Duration::from_secs(30), min_rate: 32_000.0 };
/// An endpoint whose answer makes no progress for this long has stopped sending it.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes per second that an answer of unknown length must reach once its client's time is up, and how far
/// it may fall behind: half the rate of the slowest body. One that trickles on would never end.
const MIN_ANSWER_RATE: f64 = 32_000.0;
const MAX_ANSWER_LAG: Duration = Duration::from_secs(3);

/// How often, and at what interval, the unread rest of a body is looked for.
const DISCARD_TRIES: u32 = 50;
const DISCARD_INTERVAL: Duration = Duration::from_millis(10);

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
        StreamedBody::new(buffered, rest, CLIENT_STALL_TIMEOUT)
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
            let stalled = Instant::now() + self.stall_timeout;
            let until = endless.map_or(stalled, |at| at.min(stalled));
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

/// A client's large body, and how much of it an attempt has forwarded.
pub struct Upload {
    /// The whole body before an attempt takes it, and what that attempt left unread afterwards.
    body: RefCell<Option<StreamedBody>>,
    send_started: Cell<bool>,
    /// It broke, stalled or grew too long, which is the client's fault and no endpoint's.
    failed_at_client: Cell<bool>,
    size: SizeHint,
    /// The time the client waits after its last byte, less the margin for returning the answer.
    pub answer_time: Duration,
    /// When the answer must be on its way; known once the body is complete.
    deadline: watch::Sender<Option<Instant>>,
    /// When the attempt that may forward it began.
    attempt_started_at: Cell<Instant>,
    /// How the writes to that attempt's endpoint proceed; none until it is connected.
    write_progress: RefCell<Option<Rc<WriteProgress>>>,
    /// Called with the deadline once the body is complete.
    on_complete: Box<dyn Fn(Instant)>,
}

impl Upload {
    /// A body that no attempt has begun to forward; `on_complete` is called with the deadline once its last
    /// byte has arrived.
    pub fn new(
        body: StreamedBody,
        answer_time: Duration,
        on_complete: impl Fn(Instant) + 'static,
    ) -> Rc<Self> {
        let (size, deadline) = (body.size_hint(), watch::Sender::new(None));
        let (body, attempt_started_at) = (RefCell::new(Some(body)), Cell::new(Instant::now()));
        let (send_started, failed_at_client, write_progress) = Default::default();
        let on_complete = Box::new(on_complete);
        Rc::new(Upload {
            body,
            send_started,
            failed_at_client,
            size,
            answer_time,
            deadline,
            attempt_started_at,
            write_progress,
            on_complete,
        })
    }

    /// Sending has begun, so the body can't be sent again.
    pub fn is_send_started(&self) -> bool {
        self.send_started.get()
    }

    /// The body did not end properly.
    pub fn failed_at_client(&self) -> bool {
        self.failed_at_client.get()
    }

    /// All of it has arrived and been forwarded.
    pub fn is_complete(&self) -> bool {
        self.deadline.borrow().is_some()
    }

    /// An attempt that may forward it begins.
    pub fn attempt_started(&self) {
        self.attempt_started_at.set(Instant::now());
        self.write_progress.replace(None);
    }

    /// It is about to be written to a connection to an endpoint.
    pub fn connected(&self, write_progress: Rc<WriteProgress>) {
        write_progress.start_message();
        self.write_progress.replace(Some(write_progress));
    }

    /// Waits until the deadline of a complete body, or until the endpoint of an incomplete one has stalled.
    pub async fn timed_out(&self) {
        let mut deadline = self.deadline.subscribe();
        while Instant::now() < self.endpoint_stalls_at() {
            let known = timeout_at(self.endpoint_stalls_at(), deadline.wait_for(Option::is_some)).await;
            match known.map(|known| known.ok().and_then(|at| *at)) {
                Ok(Some(at)) => return sleep_until(at).await,
                Ok(None) => return,
                Err(_) => {} // looked at again: more may have been taken meanwhile
            }
        }
    }

    /// When the endpoint counts as stalled if it takes no more.
    fn endpoint_stalls_at(&self) -> Instant {
        match &*self.write_progress.borrow() {
            None => self.attempt_started_at.get() + UPLOAD_STALL_TIMEOUT.min,
            Some(progress) => progress
                .stalled_at(UPLOAD_STALL_TIMEOUT)
                .unwrap_or_else(|| Instant::now() + UPLOAD_STALL_TIMEOUT.min),
        }
    }

    /// Reads and drops the rest of a body that was answered before it was complete: its client is still
    /// sending, and closing the connection would lose the answer.
    pub async fn discard(&self) {
        for _ in 0..DISCARD_TRIES {
            let body = self.body.borrow_mut().take();
            if let Some(mut body) = body {
                while let Some(Ok(_)) = poll_fn(|context| body.poll_frame(context)).await {}
                return;
            }
            sleep(DISCARD_INTERVAL).await; // until the attempt that took it has ended
        }
    }

    /// The last byte has arrived and been forwarded.
    fn complete(&self) {
        let deadline = Instant::now() + self.answer_time;
        self.deadline.send_replace(Some(deadline));
        (self.on_complete)(deadline);
    }
}

/// The request body of an attempt.
pub enum AttemptBody {
    /// Buffered, and can be sent again.
    Buffered(Full<Bytes>),
    /// Streamed once, by the first attempt that gets to write it.
    Streamed {
        /// Where it waits until then.
        upload: Rc<Upload>,
        /// The body while it is being streamed.
        body: Option<StreamedBody>,
        /// Of this attempt: set to written with the last frame.
        progress: Rc<Progress>,
    },
}

impl Drop for AttemptBody {
    fn drop(&mut self) {
        if let AttemptBody::Streamed { upload, body, .. } = self {
            let unsent = body.take().filter(|body| !body.is_complete());
            if unsent.is_some() {
                upload.send_started.set(true);
                upload.body.replace(unsent);
            }
        }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            AttemptBody::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            AttemptBody::Streamed { upload, body, progress } => {
                if body.is_none() && !upload.send_started.replace(true) {
                    *body = upload.body.borrow_mut().take();
                }
                let Some(stream) = body else { return Poll::Ready(Some(Err(BodyError::Consumed.into()))) };
                if progress.is_written() {
                    return Poll::Ready(None);
                }
                let frame = ready!(stream.poll_frame(context));
                upload.failed_at_client.set(matches!(frame, Some(Err(_))));
                if frame.is_none() || stream.is_complete() {
                    progress.set_written(true);
                    upload.complete();
                }
                Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streamed { progress, .. } => progress.is_written(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streamed { upload, body, .. } => {
                body.as_ref().map_or_else(|| upload.size, StreamedBody::size_hint)
            }
        }
    }
}
