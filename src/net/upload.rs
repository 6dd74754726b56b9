//! A client's large body on its way to an endpoint: by when its request has to be answered, and the request body of an
//! attempt.

use super::abort_on_drop::AbortOnDrop;
use super::body_limits::MAX_BODY_TIME;
use super::monitored_connection::{StallTimeout, WriteProgress};
use super::progress::Progress;
use super::read_ahead::ReadAhead;
use super::streamed_body::{BodyError, StreamedBody};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// An endpoint that accepts no more of a body for this long is taken to be unreachable.
const UPLOAD_STALL_TIMEOUT: StallTimeout =
    StallTimeout { min: Duration::from_secs(5), max: Duration::from_secs(30), min_rate: 32_000.0 };

/// The times of a client that sends a large body.
#[derive(Clone, Copy)]
pub struct ClientTimes {
    /// How long it waits after its last byte.
    pub patience: Duration,
    /// The part of that after which the answer has to be on its way.
    pub answer_time: Duration,
}

/// How far a large body has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UploadEvent {
    /// Its last byte has been received; its request must be answered by this time.
    Received(Instant),
    /// Its last byte has been handed to the connection to an endpoint; the same time.
    Forwarded(Instant),
}

/// Why a large body is waited for no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UploadEnd {
    /// The client's time is up.
    TimeUp,
    /// The endpoint takes no more of it.
    EndpointStalled,
    /// It broke, stalled or grew too long at its client.
    ClientFailed,
}

impl UploadEnd {
    /// Its name in the log and the metrics.
    pub fn name(self) -> &'static str {
        match self {
            UploadEnd::TimeUp => "client's time is up",
            UploadEnd::EndpointStalled => "endpoint stalled",
            UploadEnd::ClientFailed => "client failed",
        }
    }
}

/// A client's large body, and how much of it an attempt has forwarded.
pub struct Upload {
    read_ahead: Rc<ReadAhead>,
    /// Reads the body until the upload is dropped.
    _reading: AbortOnDrop,
    started_at: Instant,
    send_started: Cell<bool>,
    forwarded: Cell<bool>,
    times: ClientTimes,
    /// When the attempt that may forward it began.
    attempt_started_at: Cell<Instant>,
    /// How the writes to that attempt's endpoint proceed; none until it is connected.
    write_progress: RefCell<Option<Rc<WriteProgress>>>,
    on_event: Rc<dyn Fn(UploadEvent)>,
}

impl Upload {
    /// A body that no attempt has begun to forward, and is read ahead from now on. `on_event` is called as it proceeds.
    pub fn start(
        body: StreamedBody,
        read_ahead: Rc<ReadAhead>,
        times: ClientTimes,
        on_event: impl Fn(UploadEvent) + 'static,
    ) -> Rc<Self> {
        let on_event: Rc<dyn Fn(UploadEvent)> = Rc::new(on_event);
        let (reading, received) = (read_ahead.clone(), on_event.clone());
        let task = spawn_local(async move {
            reading.clone().run(body).await;
            if reading.is_received() {
                received(UploadEvent::Received(reading.sending_until() + times.answer_time));
            }
        });
        let (send_started, forwarded, write_progress) = Default::default();
        let now = Instant::now();
        Rc::new(Upload {
            read_ahead,
            _reading: AbortOnDrop::new(task.abort_handle()),
            started_at: now,
            send_started,
            forwarded,
            times,
            attempt_started_at: Cell::new(now),
            write_progress,
            on_event,
        })
    }

    /// Sending has begun, so the body can't be sent again.
    pub fn is_send_started(&self) -> bool {
        self.send_started.get()
    }

    /// The body did not end properly.
    pub fn failed_at_client(&self) -> bool {
        self.read_ahead.has_failed()
    }

    /// All of it has been received.
    pub fn is_received(&self) -> bool {
        self.read_ahead.is_received()
    }

    /// When the answer must be on its way, as far as is known: moves on while the client is still sending.
    pub fn answer_deadline(&self) -> Instant {
        self.read_ahead.sending_until() + self.times.answer_time
    }

    /// When the client stops waiting, as far as is known: moves on while it is still sending.
    pub fn client_deadline(&self) -> Instant {
        (self.read_ahead.sending_until() + self.times.patience).min(self.latest_deadline())
    }

    /// When its client has to be answered however slowly it sends.
    pub fn latest_deadline(&self) -> Instant {
        self.started_at + MAX_BODY_TIME
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

    /// Waits until an attempt at it has to end, and returns why.
    pub async fn attempt_over(&self) -> UploadEnd {
        self.over(Upload::attempt_end_due).await
    }

    /// Waits until its client has to be answered, and returns why.
    pub async fn client_over(&self) -> UploadEnd {
        self.over(|upload| (upload.client_deadline(), UploadEnd::TimeUp)).await
    }

    /// Waits for an end that may be put off while it is waited for.
    async fn over(&self, due: impl Fn(&Upload) -> (Instant, UploadEnd)) -> UploadEnd {
        loop {
            let (at, end) = due(self);
            if self.failed_at_client() {
                return UploadEnd::ClientFailed;
            }
            if at <= Instant::now() {
                return end;
            }
            tokio::select! {
                () = sleep_until(at) => {}
                () = self.read_ahead.ended(), if !self.is_received() => {}
            }
        }
    }

    fn attempt_end_due(&self) -> (Instant, UploadEnd) {
        let deadline = (self.answer_deadline(), UploadEnd::TimeUp);
        let stalled_at = self.endpoint_stalls_at();
        if self.forwarded.get() || deadline.0 <= stalled_at {
            return deadline;
        }
        (stalled_at, UploadEnd::EndpointStalled)
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

    /// Reads and drops the rest of a body that was answered before it was complete.
    pub async fn discard(&self) {
        self.read_ahead.discard().await;
    }

    /// Logs why an attempt at it ended before its endpoint had answered.
    pub fn log_end(&self, request: &str, end: UploadEnd) {
        let milliseconds_since = |at: Instant| at.elapsed().as_millis() as u64;
        let blocked_since =
            self.write_progress.borrow().as_ref().and_then(|progress| progress.blocked_since());
        info!(
            request,
            reason = end.name(),
            received = self.is_received(),
            received_bytes = self.read_ahead.received_bytes(),
            forwarded = self.forwarded.get(),
            ms = milliseconds_since(self.started_at),
            client_sent_ms_ago = milliseconds_since(self.read_ahead.sending_until()),
            reading_paused_ms = self.read_ahead.paused_for().map(|paused| paused.as_millis() as u64),
            endpoint_blocked_ms = blocked_since.map(milliseconds_since),
            "attempt at a large body ended"
        );
    }

    fn set_forwarded(&self) {
        self.forwarded.set(true);
        (self.on_event)(UploadEvent::Forwarded(self.answer_deadline()));
    }
}

/// The request body of an attempt.
pub enum AttemptBody {
    /// Buffered, and can be sent again.
    Buffered(Full<Bytes>),
    /// Streamed once, by the first attempt that gets to write it.
    Streamed(StreamedAttempt),
}

/// The body of an attempt that may stream a large one.
pub struct StreamedAttempt {
    /// The body.
    pub upload: Rc<Upload>,
    /// Of this attempt: set to written with the last frame.
    pub progress: Rc<Progress>,
    owns_body: bool,
    forwarded_bytes: u64,
}

impl StreamedAttempt {
    /// An attempt that has not begun to write.
    pub fn new(upload: Rc<Upload>, progress: Rc<Progress>) -> Self {
        StreamedAttempt { upload, progress, owns_body: false, forwarded_bytes: 0 }
    }

    fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.owns_body = self.owns_body || !self.upload.send_started.replace(true);
        if !self.owns_body {
            return Poll::Ready(Some(Err(BodyError::Consumed)));
        }
        if self.progress.is_written() {
            return Poll::Ready(None);
        }
        let read_ahead = &self.upload.read_ahead;
        let piece = ready!(read_ahead.poll_piece(context));
        if piece.is_none() || read_ahead.is_drained() {
            self.progress.set_written(true);
            self.upload.set_forwarded();
        }
        Poll::Ready(piece.map(|piece| {
            piece.map(|bytes| {
                self.forwarded_bytes += bytes.len() as u64;
                Frame::data(bytes)
            })
        }))
    }

    /// What is still to be written, as far as it is known.
    fn size_hint(&self) -> SizeHint {
        let size = self.upload.read_ahead.size();
        let mut left = SizeHint::new();
        left.set_lower(size.lower().saturating_sub(self.forwarded_bytes));
        if let Some(upper) = size.upper() {
            left.set_upper(upper.saturating_sub(self.forwarded_bytes));
        }
        left
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
            AttemptBody::Streamed(attempt) => {
                attempt.poll_frame(context).map(|frame| frame.map(|frame| frame.map_err(Into::into)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streamed(attempt) => attempt.progress.is_written(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streamed(attempt) => attempt.size_hint(),
        }
    }
}
