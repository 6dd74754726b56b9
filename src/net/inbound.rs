//! Client connections: accepts requests, returns final answers, and drains on shutdown.
//!
//! `connection` serves one connection, `drain` all of them until the process ends; requests and answers are here.

mod connection;
mod drain;

use super::budget::{Budget, Holder, Permit};
use super::connection_state::{ConnectionState, FIRST_HEAD_TIMEOUT};
use super::counters::{Counters, End};
use super::early_end::EarlyEnd;
use super::message::{Answer, ForwardedRequest, Inbox, IncomingRequest, Input, RequestBody};
use super::outbound::{MAX_BUFFERED_BODY, Outbound};
use super::process_phase::Phase;
use super::read_ahead::ReadAhead;
use super::reply::{
    BufferedReply, InFlightRequest, Reply, ReplyBody, StreamedReply, set_retry_after, text_reply,
};
use super::request::{RequestParser, buffer_body, drop_hop_headers};
use super::request_ids::RequestIds;
use super::streamed_body::{MAX_BODY, StreamedBody};
use super::streaming_clients::StreamingClients;
use super::upload::{ClientTimes, Upload, UploadEnd};
use gullpulley::{RequestId, is_local_failure};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{Level, debug, enabled, error};

/// Subtracted from the client's time-out, so that the answer reaches it in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// A body of up to this many bytes takes no memory worth counting.
const TINY_BODY: u64 = 8 * 1024;
/// Wait after a failed accept: without free descriptors the next call would fail at once, in a busy loop.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Wait after a connection that was aborted before it was accepted.
const ABORTED_ACCEPT_DELAY: Duration = Duration::from_millis(1);

/// State shared by all client connections.
pub struct Inbound {
    parser: RequestParser,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next_id: Cell<u64>,
    request_ids: Rc<RequestIds>,
    phase: Cell<Phase>,
    streaming_clients: StreamingClients,
    /// Notified when an operator requests a drain.
    drain_requested: Notify,
    /// Another process of this sidecar is serving clients too.
    other_process_serving: Cell<bool>,
    /// Accept is failing; logged once until it succeeds again.
    accept_failing: Cell<bool>,
    /// Each change tells connections to free their slots or, while draining, to close.
    close_signal: watch::Sender<()>,
}

impl Inbound {
    /// Starts without connections.
    pub fn new(
        parser: RequestParser,
        budget: Rc<Budget>,
        counters: Rc<Counters>,
        outbound: Rc<Outbound>,
        request_ids: Rc<RequestIds>,
        inbox: Inbox,
    ) -> Rc<Self> {
        Rc::new(Inbound {
            parser,
            budget,
            counters,
            outbound,
            inbox,
            next_id: Cell::new(0),
            request_ids,
            phase: Cell::new(Phase::Starting),
            streaming_clients: StreamingClients::new(),
            drain_requested: Notify::new(),
            other_process_serving: Cell::new(false),
            accept_failing: Cell::new(false),
            close_signal: watch::Sender::new(()),
        })
    }

    /// Whether this process serves clients.
    pub fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Starts a drain, as SIGTERM does.
    pub fn drain(&self) {
        self.drain_requested.notify_one();
    }

    /// Sets whether another process of this sidecar is serving clients too.
    pub fn set_other_process_serving(&self, serving: bool) {
        self.other_process_serving.set(serving);
    }

    /// Accepts one connection, once there is a slot for it.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let permit = self.client_permit().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                self.accept_failing.set(false);
                self.admit(stream, permit.or_else(|| self.budget.take(Holder::Client)));
            }
            // One aborted connection or a signal: no resource is lacking, and the next connection may be
            // waiting.
            Err(e) if !is_local_failure(&e) => {
                debug!("accept: {e}");
                sleep(ABORTED_ACCEPT_DELAY).await; // an error that persists must not block the thread
            }
            Err(e) => {
                if !self.accept_failing.replace(true) {
                    error!("accept: {e}; further failures are not logged until accept succeeds");
                }
                self.outbound.pool.close_oldest_idle();
                sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }

    /// Serves a connection; one without a permit is only told that the limit is reached.
    fn admit(self: &Rc<Self>, stream: TcpStream, permit: Option<Permit>) {
        let shed = permit.is_none();
        // An accepted connection has a descriptor and is waited for on shutdown, whether it is within the
        // limit or not.
        let permit = permit.unwrap_or_else(|| self.budget.take_unconditionally(Holder::Shed));
        // Subscribed here rather than when the task first runs: a close signal may come in between.
        let (this, close_signal) = (self.clone(), self.close_signal.subscribe());
        spawn_local(async move { this.handle_connection(stream, shed, close_signal, permit).await });
    }

    /// A permit for one more client; none if the client can only be told that the limit is reached.
    async fn client_permit(&self) -> Option<Permit> {
        loop {
            while self.budget.blocked_by_endpoints() && self.outbound.pool.close_oldest_idle() {}
            if let Some(permit) = self.budget.take(Holder::Client) {
                return Some(permit);
            }
            // Idle clients free their slots for new ones.
            self.close_signal.send_replace(());
            if let Some(permit) = self.budget.take(Holder::Shed) {
                drop(permit);
                return None;
            }
            self.budget.client_released().await;
        }
    }

    async fn handle_request(
        self: &Rc<Self>,
        request: Request<Incoming>,
        shed: bool,
        state: &Rc<ConnectionState>,
    ) -> Result<Reply, Infallible> {
        state.answering.set(true);
        state.write_progress.start_message();
        let is_readiness_check = request.uri().path() == "/-/ready";
        let mut reply = if is_readiness_check {
            let status = if self.is_serving() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            text_reply(status, "")
        } else {
            let class = self.parser.class(request.uri());
            let request_id = enabled!(Level::DEBUG).then(|| request.headers().get("x-request-id").cloned());
            let served = if shed {
                Err((StatusCode::SERVICE_UNAVAILABLE, "too many connections"))
            } else {
                self.serve_request(request, state).await
            };
            if let (Some(request_id), Err((status, problem))) = (request_id, &served) {
                let request = request_id.as_ref().and_then(|id| id.to_str().ok());
                debug!(request, status = status.as_u16(), problem, "not taken");
            }
            match served {
                Ok(reply) => reply,
                Err((StatusCode::SERVICE_UNAVAILABLE, problem)) => {
                    class.into_iter().for_each(|class| self.counters.record_end(class, End::Rejected));
                    self.overload_reply(problem)
                }
                // An invalid request is not counted under any class.
                Err((status, problem)) => text_reply(status, problem),
            }
        };
        if matches!(reply.body(), ReplyBody::Buffered(_)) {
            // A connection full of requests that are answered without a wait would keep the thread from all others.
            yield_now().await;
            state.answer_finished();
        }
        // A client that only checks readiness and keeps its connection occupies a slot that requests need
        // when few are left.
        let occupies_scarce_slot = is_readiness_check && self.budget.clients_near_limit();
        if self.phase.get().is_ending() || shed || state.close_after_answer.get() || occupies_scarce_slot {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// A refusal by the sidecar itself: slots become free once the first silent connections have been
    /// closed.
    fn overload_reply(&self, text: &'static str) -> Reply {
        let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, text);
        if self.parser.settings.limits.retry_after {
            set_retry_after(
                &mut reply,
                FIRST_HEAD_TIMEOUT.min(self.parser.settings.limits.max_retry_after),
            );
        }
        reply
    }

    async fn serve_request(
        self: &Rc<Self>,
        request: Request<Incoming>,
        state: &Rc<ConnectionState>,
    ) -> Result<Reply, (StatusCode, &'static str)> {
        let busy = (StatusCode::SERVICE_UNAVAILABLE, "too many requests");
        let (mut head, body) = request.into_parts();
        // An invalid request is rejected before its body, which may be large, is read.
        let (mut request, time) = self.parser.parse(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > MAX_BODY {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        // Large bodies have a part of the memory to themselves, and small requests have the rest.
        let (stated, longest) = (body.size_hint().lower(), body.size_hint().upper());
        let may_be_large = longest.is_none_or(|length| length > MAX_BUFFERED_BODY as u64);
        let holder = if may_be_large { Holder::Stream } else { Holder::Request };
        let mut memory = self.budget.take(holder).ok_or(busy)?;
        let mut body_memory = None;
        if may_be_large || stated > TINY_BODY {
            body_memory = Some(self.budget.take(holder).ok_or(busy)?);
        }
        let (buffered, rest) = buffer_body(body, state.body_deadline()).await?;
        let is_large = rest.is_some();
        if may_be_large && !is_large {
            memory = self.budget.take(Holder::Request).ok_or(busy)?;
            body_memory = None;
        }
        if self.phase.get() == Phase::DrainTimedOut {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
        }
        // The client's time-out counts from the last byte of its request.
        let received_at = Instant::now();
        let x_request_id =
            head.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default();
        // A request with an id that has been sent is not a new request: its endpoint might run it twice.
        if let Err(not_fresh) = self.request_ids.begin(x_request_id) {
            self.counters.record_repeated_id();
            return Err((StatusCode::CONFLICT, not_fresh.text()));
        }
        let class = request.class;
        let pending_count = self.counters.start_request(class.0);
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        request.id = id;
        let (request_ids, inbox) = (self.request_ids.clone(), self.inbox.clone());
        let mut in_flight = InFlightRequest {
            request_ids,
            inbox,
            id,
            x_request_id: x_request_id.to_owned(),
            answered: false,
        };
        drop_hop_headers(&mut head.headers);
        let (answer, answered) = oneshot::channel();
        let forward_time = time - ANSWER_MARGIN.min(time / 10);
        let (body, deadline) = match rest {
            None => (RequestBody::Buffered(buffered), received_at + forward_time),
            Some(rest) => {
                request.streamed_body = true;
                let times = ClientTimes { patience: time, answer_time: forward_time };
                let upload = self.start_upload(id, StreamedBody::from_client(buffered, rest), times, state);
                let deadline = upload.latest_deadline();
                (RequestBody::Streamed(upload), deadline)
            }
        };
        let upload = match &body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload.clone()),
        };
        let forward = ForwardedRequest { method: head.method, uri: head.uri, headers: head.headers, body };
        let may_run_for = self.parser.may_run_for(class);
        let incoming = IncomingRequest { request, deadline, forward, may_run_for, answer };
        let _ = self.inbox.send(Input::Request(Box::new(incoming)));
        // Answers the client in time even if the policy were to lose track of the request.
        let answer = match &upload {
            None => timeout_at(received_at + time, answered).await.map_err(|_| UploadEnd::TimeUp),
            Some(upload) => tokio::select! {
                biased;
                answer = answered => Ok(answer),
                end = upload.client_over() => Err(end),
            },
        };
        in_flight.answered = answer.is_ok();
        let answer_by = upload.as_ref().map_or(received_at + time, |upload| upload.client_deadline());
        if let Some(upload) = upload.filter(|upload| !upload.is_received()) {
            spawn_local(async move { upload.discard().await });
        }
        if let Ok(Ok(Answer::Streamed(mut streamed))) = answer {
            let memory = if is_large { Some(memory) } else { self.budget.take(Holder::Stream) };
            let Some(memory) = memory else {
                debug!(request = in_flight.x_request_id, "no memory for a large answer");
                pending_count.record_early_end(EarlyEnd::OutOfMemoryBudget);
                let harmless = self.parser.is_safe_to_repeat(class);
                pending_count.end(if harmless { End::Rejected } else { End::Failed });
                return Ok(if harmless {
                    self.overload_reply("too many large answers")
                } else {
                    text_reply(StatusCode::BAD_GATEWAY, "too many large answers")
                });
            };
            streamed.body.set_deadline(answer_by);
            let (answer, state) = (*streamed, state.clone());
            state.frame_asked_at.set(Some(Instant::now()));
            state.streaming_client.replace(Some(self.streaming_clients.register()));
            state.streaming_changed.notify_one();
            let streamed = StreamedReply::new(answer, pending_count, state, memory, in_flight);
            return Ok(Response::new(ReplyBody::Streamed(Box::new(streamed))));
        }
        drop(body_memory);
        pending_count.end(match &answer {
            Ok(Ok(Answer::Served(_))) => End::Completed,
            Ok(Ok(Answer::Refused(_))) => End::Rejected,
            _ => End::Failed,
        });
        Ok(match answer {
            Ok(Ok(Answer::Served(body))) => {
                let reply = BufferedReply::new(body, memory, state.write_progress.clone());
                Response::new(ReplyBody::Buffered(reply))
            }
            Ok(Ok(Answer::Refused(retry_after))) => {
                let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "refused");
                retry_after.into_iter().for_each(|wait| set_retry_after(&mut reply, wait));
                reply
            }
            Ok(Ok(Answer::BadRequest)) => text_reply(StatusCode::BAD_REQUEST, "the request is at fault"),
            Ok(Ok(Answer::Failed | Answer::Streamed(_)) | Err(_)) => {
                text_reply(StatusCode::BAD_GATEWAY, "failed")
            }
            Err(UploadEnd::ClientFailed) => text_reply(StatusCode::BAD_REQUEST, "body broken"),
            Err(_) => text_reply(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }

    /// Starts to read a large body ahead of the endpoint that will take it.
    fn start_upload(
        &self,
        id: RequestId,
        body: StreamedBody,
        times: ClientTimes,
        state: &ConnectionState,
    ) -> Rc<Upload> {
        let read_ahead = ReadAhead::new(body.size_hint(), self.budget.clone(), state.read_progress.clone());
        let inbox = self.inbox.clone();
        Upload::start(body, read_ahead, times, move |event| {
            let _ = inbox.send(Input::Upload(id, event)); // fails only while the process ends
        })
    }
}
