//! Replies to clients, buffered or streamed, and the requests that wait for them.

use super::budget::Permit;
use super::connection_state::ConnectionState;
use super::counters::{End, PendingRequest};
use super::early_end::EarlyEnd;
use super::message::{Inbox, Input};
use super::monitored_connection::WriteProgress;
use super::outbound::StreamedAnswer;
use super::request_ids::RequestIds;
use super::streamed_body::BodyError;
use gullpulley::RequestId;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info};

/// A request in progress: when dropped, tells the driver if the client left before its answer.
pub struct InFlightRequest {
    /// The X-Request-IDs that may not come again.
    pub request_ids: Rc<RequestIds>,
    /// Where the client's leaving is reported.
    pub inbox: Inbox,
    /// The request.
    pub id: RequestId,
    /// Its X-Request-ID.
    pub x_request_id: String,
    /// Whether it has its answer.
    pub answered: bool,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let x_request_id = std::mem::take(&mut self.x_request_id);
        if self.answered {
            return self.request_ids.end(&x_request_id);
        }
        // The driver knows whether an endpoint may still be working on it. It is gone only while the process ends.
        let _ = self.inbox.send(Input::ClientGone(self.id, x_request_id));
    }
}

/// A response to a client.
pub type Reply = Response<ReplyBody>;

/// The body of a reply.
pub enum ReplyBody {
    /// Complete in memory.
    Buffered(BufferedReply),
    /// Forwarded as it arrives.
    Streamed(Box<StreamedReply>),
}

/// Bytes of a buffered reply that are handed over at once: so many may wait beside the connection's own permit.
const REPLY_PIECE_BYTES: usize = 16 * 1024;

/// A reply that is complete in memory, and is handed over as the client's system takes it.
pub struct BufferedReply {
    rest: Bytes,
    /// The permit for its memory, and what tells whether the client's system takes more; none for a short text.
    held: Option<(Permit, Rc<WriteProgress>)>,
}

impl BufferedReply {
    /// A reply whose memory is counted until all of it has been handed over.
    pub fn new(body: Bytes, memory: Permit, write_progress: Rc<WriteProgress>) -> Self {
        BufferedReply { rest: body, held: Some((memory, write_progress)) }
    }

    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        if self.rest.len() <= REPLY_PIECE_BYTES || self.held.is_none() {
            // A copy, so that the rest of the memory is free.
            let last = Bytes::copy_from_slice(&std::mem::take(&mut self.rest));
            self.held = None;
            return Poll::Ready(Some(last));
        }
        if let Some((_, write_progress)) = &self.held {
            ready!(write_progress.poll_unblocked(context));
        }
        Poll::Ready(Some(Bytes::copy_from_slice(&self.rest.split_to(REPLY_PIECE_BYTES))))
    }
}

/// A large answer being streamed to the client. If it is dropped before its end, the client has left.
pub struct StreamedReply {
    /// None once the answer has ended.
    answer: Option<StreamedAnswer>,
    /// Counts the request as pending; none once the answer has ended.
    pending_count: Option<PendingRequest>,
    /// The state of the client's connection.
    state: Rc<ConnectionState>,
    started_at: Instant,
    /// The permit for the memory it may use.
    _memory: Permit,
    /// Keeps the request in progress until the end.
    request: InFlightRequest,
}

impl StreamedReply {
    /// An answer of which nothing has been forwarded.
    pub fn new(
        answer: StreamedAnswer,
        pending_count: PendingRequest,
        state: Rc<ConnectionState>,
        memory: Permit,
        request: InFlightRequest,
    ) -> Self {
        StreamedReply {
            answer: Some(answer),
            pending_count: Some(pending_count),
            state,
            started_at: Instant::now(),
            _memory: memory,
            request,
        }
    }

    /// Logs and counts that the answer has ended before it was complete.
    fn report_early_end(&self, reason: EarlyEnd) {
        if let Some(pending_count) = &self.pending_count {
            pending_count.record_early_end(reason);
        }
        let milliseconds = |time: Duration| time.as_millis() as i64;
        let (request, reason_name) = (&self.request.x_request_id, reason.name());
        let answer = self.answer.as_ref();
        let bytes = answer.map(|answer| answer.body.received_bytes());
        let ms = milliseconds(self.started_at.elapsed());
        let asked_ms_ago = self.state.frame_asked_at.get().map(|at| milliseconds(at.elapsed()));
        let silent_ms = answer.and_then(|answer| answer.body.silent_for()).map(milliseconds);
        let client_deadline = answer.and_then(|answer| answer.body.client_deadline());
        let after_client_time_ms = client_deadline.map(milliseconds_after);
        let blocked_ms = self.state.write_progress.blocked_since().map(|at| milliseconds(at.elapsed()));
        macro_rules! log_at {
            ($level:ident) => {
                $level!(
                    request,
                    reason = reason_name,
                    bytes,
                    ms,
                    asked_ms_ago,
                    silent_ms,
                    after_client_time_ms,
                    blocked_ms,
                    "answer ended early"
                )
            };
        }
        if reason.is_usual() { log_at!(debug) } else { log_at!(info) }
    }

    /// Tells the policy that the endpoint failed, if it did: the attempt has counted as successful so far.
    fn report_endpoint_failure(&self, reason: EarlyEnd) {
        if let Some(answer) = self.answer.as_ref().filter(|_| reason.is_endpoint_failure()) {
            // Fails only while the process ends.
            let _ = self.request.inbox.send(Input::AnswerBroken(answer.endpoint()));
        }
    }

    fn finish(&mut self, end: End) {
        if let Some(pending_count) = self.pending_count.take() {
            pending_count.end(end);
        }
        if let Some(answer) = self.answer.take()
            && end == End::Completed
        {
            answer.complete();
        }
        self.state.answer_finished();
        if end == End::Completed {
            self.state.set_answer_ended_by_close(false);
        }
        self.state.frame_asked_at.set(None);
        self.state.streaming_changed.notify_one();
    }
}

impl Drop for StreamedReply {
    fn drop(&mut self) {
        if self.answer.is_some() {
            self.report_early_end(self.state.close_reason.get().unwrap_or(EarlyEnd::ConnectionClosed));
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let reply = match self.get_mut() {
            ReplyBody::Buffered(body) => {
                return body.poll_piece(context).map(|piece| piece.map(|piece| Ok(Frame::data(piece))));
            }
            ReplyBody::Streamed(reply) => reply,
        };
        let Some(answer) = &mut reply.answer else { return Poll::Ready(None) };
        // What the client's system does not take yet stays with the endpoint rather than in memory here.
        ready!(reply.state.write_progress.poll_unblocked(context));
        reply.state.frame_asked_at.set(Some(Instant::now()));
        let frame = ready!(answer.body.poll_frame(context));
        let complete = answer.body.is_complete();
        match &frame {
            // The client notices the failure: the announced length, or the last chunk, never arrives.
            Some(Err(error)) => {
                let reason = error.early_end();
                reply.report_early_end(reason);
                reply.report_endpoint_failure(reason);
                reply.finish(End::Failed);
            }
            None => reply.finish(End::Completed),
            Some(Ok(_)) if complete => reply.finish(End::Completed),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Buffered(body) => body.rest.is_empty(),
            ReplyBody::Streamed(reply) => reply.answer.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Buffered(body) => SizeHint::with_exact(body.rest.len() as u64),
            ReplyBody::Streamed(reply) => {
                reply.answer.as_ref().map_or_else(|| SizeHint::with_exact(0), |a| a.body.size_hint())
            }
        }
    }
}

/// How long ago this was, in milliseconds; negative if it is still to come.
fn milliseconds_after(at: Instant) -> i64 {
    let now = Instant::now();
    let (after, before) = (now.saturating_duration_since(at), at.saturating_duration_since(now));
    after.as_millis() as i64 - before.as_millis() as i64
}

/// A reply with a short text.
pub fn text_reply(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::Buffered(BufferedReply {
        rest: Bytes::from_static(text.as_bytes()),
        held: None,
    }));
    *reply.status_mut() = status;
    reply
}

/// Sets the Retry-After header, in seconds.
pub fn set_retry_after(reply: &mut Reply, wait: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
