//! Client connections: accepts requests, returns final answers, and drains on shutdown.

use super::budget::{Budget, Holder, Permit};
use super::connection_state::{
    CLIENT_READ_TIMEOUT, ConnectionState, FIRST_HEAD_TIMEOUT, UNLIMITED_READ_TIMEOUT,
};
use super::counters::{Counters, End};
use super::early_end::EarlyEnd;
use super::message::{Answer, ForwardedRequest, Inbox, IncomingRequest, Input, RequestBody};
use super::outbound::{MAX_CONNECTION_BUFFER, Outbound};
use super::process_phase::Phase;
use super::reply::{InFlightRequest, Reply, ReplyBody, StreamedReply, set_retry_after, text_reply};
use super::request::{RequestParser, buffer_body, drop_hop_headers};
use super::stream::ClientStream;
use super::streamed_body::{MAX_BODY, StreamedBody, Upload};
use super::streaming_clients::StreamingClients;
use gullpulley::{RequestId, is_local_failure};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::Signal;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tracing::{Level, debug, enabled, error, info};

/// Subtracted from the client's time-out, so that the answer reaches it in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// A connection over the limit has this long to send the head that is answered with a refusal.
const SHED_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// The head of a later request must arrive within this of the previous answer, so that a silent client does
/// not hold its socket forever.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for a streamed body: the largest one at the slowest rate.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(1100);
/// Wait after a failed accept: without free descriptors the next call would fail at once, in a busy loop.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Wait after a connection that was aborted before it was accepted.
const ABORTED_ACCEPT_DELAY: Duration = Duration::from_millis(1);
/// Failed accepts after which the listener is closed regardless: a shortage that lasts this long will not
/// pass soon.
const MAX_CLOSE_ERRORS: u32 = 64;
/// New connections arrive for up to 0.4 s after SIGTERM, so accepting goes on slightly longer than that.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The backlog counts as empty once no connection has come from it for this long.
const BACKLOG_IDLE_TIME: Duration = Duration::from_millis(30);
/// When slots are needed, only connections that have been idle between requests for this long are closed.
const MIN_IDLE_TIME: Duration = Duration::from_secs(1);
/// While draining, a connection on which nothing has arrived yet is closed after this.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// SIGKILL comes no sooner than the longest deadline, but at most `MAX_DRAIN_DEADLINE`, plus 0.7 s. What is
/// pending this long after that deadline is failed, which leaves time to send the answers.
const DRAIN_MARGIN: Duration = Duration::from_millis(450);
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// Time for the last answers to be sent.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(150);

/// How a connection is to be closed.
#[derive(PartialEq)]
enum CloseMode {
    /// The client may still be sending, or have an answer to read.
    Graceful,
    /// The client has left, or does not read its answer.
    Immediate,
}

/// State shared by all client connections.
pub struct Inbound {
    parser: RequestParser,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next_id: Cell<u64>,
    /// The client-chosen X-Request-IDs of the requests in progress.
    request_ids: Rc<RefCell<HashSet<String>>>,
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
        inbox: Inbox,
    ) -> Rc<Self> {
        Rc::new(Inbound {
            parser,
            budget,
            counters,
            outbound,
            inbox,
            next_id: Cell::new(0),
            request_ids: Rc::default(),
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

    /// Serves until SIGTERM or a drain request, then drains: every connection that the kernel has accepted
    /// is answered, and large answers that have begun go on until they end or SIGKILL comes. `on_drain` is
    /// called when the drain begins.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut term: Signal, on_drain: impl FnOnce()) {
        self.phase.set(Phase::Serving);
        loop {
            tokio::select! {
                _ = term.recv() => break,
                () = self.drain_requested.notified() => break,
                () = self.accept(&listener) => {}
            }
        }
        let drain_started = Instant::now();
        info!(clients = self.budget.clients(), "draining");
        self.phase.set(Phase::Draining);
        on_drain();
        let longest = self.parser.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = drain_started + longest.min(MAX_DRAIN_DEADLINE) + DRAIN_MARGIN;
        // Connections still in the backlog count as accepted by then: closing the listener would reset
        // them.
        while Instant::now() < until && !self.other_process_serving.get() {
            let wait = (drain_started + DRAIN_ACCEPT_TIME).max(Instant::now() + BACKLOG_IDLE_TIME);
            if timeout_at(wait, self.accept(&listener)).await.is_err() {
                break;
            }
        }
        // A successor process may be noticed only now. Accepting beside it for as long as clients come
        // would leave requests unfinished when the drain time is up.
        self.accept_backlog_and_close(listener);
        self.close_signal.send_replace(());
        if timeout_at(until, self.clients_gone()).await.is_err() {
            self.phase.set(Phase::DrainTimedOut);
            let _ = self.inbox.send(Input::FailPending);
            self.close_signal.send_replace(());
            let _ = timeout(FINAL_ANSWERS_TIME, self.clients_gone()).await;
            let streaming = self.streaming_clients.count();
            if streaming > 0 {
                info!(clients = streaming, "waiting for the ends of large answers");
            }
            self.streaming_clients.gone().await;
        }
        info!(ms = drain_started.elapsed().as_millis() as u64, "drained");
    }

    /// Accepts everything in the backlog and closes the listener without yielding: later connections are
    /// refused, or go to the process that listens beside this one. A wait in between would let more
    /// connections in, only to be reset.
    fn accept_backlog_and_close(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        let mut errors = 0;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let converted = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = converted {
                        self.admit(stream, self.budget.take(Holder::Client));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The fault of one connection, or of the call: others may be queued behind it, which
                // closing would reset.
                Err(e) if !is_local_failure(&e) => errors += 1,
                Err(_) => {
                    errors += 1;
                    self.outbound.close_oldest_idle();
                }
            }
            if errors > MAX_CLOSE_ERRORS {
                return;
            }
        }
    }

    async fn clients_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.client_released().await;
        }
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
                self.outbound.close_oldest_idle();
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
            while self.budget.blocked_by_endpoints() && self.outbound.close_oldest_idle() {}
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

    async fn handle_connection(
        self: Rc<Self>,
        stream: TcpStream,
        shed: bool,
        mut close_signal: watch::Receiver<()>,
        _permit: Permit,
    ) {
        let stream = ClientStream::new(stream);
        let close_mode = self.serve_connection(&stream, shed, &mut close_signal).await;
        // If slots are scarce, an answered client must not keep one while the connection lingers: it is
        // closed at once.
        if close_mode == CloseMode::Graceful && !self.budget.clients_near_limit() {
            tokio::select! {
                () = stream.close() => {}
                () = self.slot_needed(&mut close_signal) => {}
            }
        }
    }

    /// Waits until connections are to free their slots, and not only to close for the drain.
    async fn slot_needed(&self, close_signal: &mut watch::Receiver<()>) {
        // The sender lives as long as self.
        while close_signal.changed().await.is_ok() && self.phase.get().is_ending() {}
    }

    async fn serve_connection(
        self: &Rc<Self>,
        stream: &ClientStream,
        shed: bool,
        close_signal: &mut watch::Receiver<()>,
    ) -> CloseMode {
        let state = Rc::new(ConnectionState::new(stream.connection().write_progress()));
        let service = service_fn(|request| self.handle_request(request, shed, &state));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .keep_alive(!shed)
            .max_buf_size(MAX_CONNECTION_BUFFER)
            .serve_connection(TokioIo::new(stream.connection().clone()), service);
        let client_left = stream.client_left(|| state.answering.get());
        let client_stalled = state.write_progress.stalled(CLIENT_READ_TIMEOUT);
        tokio::pin!(connection, client_left, client_stalled);
        // Over the limit there are few slots even for refusals: silent connections must not take them.
        let first_head_deadline =
            if shed { state.accepted_at + SHED_HEAD_TIMEOUT } else { state.first_head_deadline() };
        let (mut first_head_until, mut new_connection_until) = (Some(first_head_deadline), None);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return CloseMode::Graceful, // an error: the client left
                // A client that has left gets no answer, whatever else it had sent.
                () = client_left.as_mut() => {
                    state.close_reason.set(Some(EarlyEnd::ClientLeft));
                    return CloseMode::Immediate;
                }
                _ = close_signal.changed() => {
                    // SIGKILL may come any moment.
                    if self.phase.get() == Phase::DrainTimedOut {
                        stream.unlimit_unsent();
                        client_stalled.set(state.write_progress.stalled(UNLIMITED_READ_TIMEOUT));
                    }
                    match state.idle_time() {
                        _ if state.answering.get() => state.close_after_answer.set(true),
                        // On a new connection the first request is probably already on its way: closing
                        // now would lose what the client is just sending.
                        None if self.phase.get().is_ending() => {
                            new_connection_until = Some(Instant::now() + NEW_CONNECTION_GRACE);
                        }
                        // A connection used recently is likely to be used again at once, and a request that
                        // crosses the close is lost, or sent twice: the next answer announces the close
                        // instead.
                        Some(idle) if self.phase.get().is_ending() || idle >= MIN_IDLE_TIME => {
                            connection.as_mut().graceful_shutdown();
                        }
                        _ => state.close_after_answer.set(true),
                    }
                }
                () = sleep_until_some(first_head_until) => {
                    first_head_until = None;
                    // The part of a head that has arrived by now is not a request.
                    if state.awaits_first_request() {
                        return CloseMode::Graceful;
                    }
                }
                // The previous answer did not announce that it was the last one.
                () = state.streaming_changed.notified() => {
                    if state.close_after_answer.get() && !state.answering.get() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
                () = client_stalled.as_mut() => {
                    state.close_reason.set(Some(EarlyEnd::ClientStalled));
                    return CloseMode::Immediate;
                }
                () = sleep_until_some(new_connection_until) => {
                    new_connection_until = None;
                    if !state.answering.get() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
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
        let memory = self.budget.take(Holder::Request).ok_or(busy)?;
        let (mut head, body) = request.into_parts();
        // An invalid request is rejected before its body, which may be large, is read.
        let (mut request, time) = self.parser.parse(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > MAX_BODY {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        let (buffered, rest) = buffer_body(body, state.body_deadline()).await?;
        // A streamed body has its own buffers in both directions.
        let _buffers = match &rest {
            Some(_) => Some(self.budget.take(Holder::Request).ok_or(busy)?),
            None => None,
        };
        if self.phase.get() == Phase::DrainTimedOut {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
        }
        // The client's time-out counts from the last byte of its request.
        let received_at = Instant::now();
        let x_request_id =
            head.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default();
        // A request with the id of one in progress is not a new request: endpoints would answer 400.
        if !self.request_ids.borrow_mut().insert(x_request_id.to_owned()) {
            return Err((StatusCode::CONFLICT, "X-Request-ID is not fresh"));
        }
        let pending_count = self.counters.start_request(request.class.0);
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
        let mut upload_in_progress = None;
        let (body, deadline, answer_by) = match rest {
            None => (RequestBody::Buffered(buffered), received_at + forward_time, received_at + time),
            Some(rest) => {
                request.streamed_body = true;
                let body = StreamedBody::from_client(buffered, rest);
                let inbox = self.inbox.clone();
                let upload = Upload::new(body, forward_time, move |deadline| {
                    let _ = inbox.send(Input::BodyComplete(id, deadline)); // fails only while the process ends
                });
                upload_in_progress = Some(upload.clone());
                (
                    RequestBody::Streamed(upload),
                    received_at + MAX_UPLOAD_TIME,
                    received_at + MAX_UPLOAD_TIME,
                )
            }
        };
        let forward = ForwardedRequest { method: head.method, uri: head.uri, headers: head.headers, body };
        let incoming = IncomingRequest { request, deadline, forward, answer };
        let _ = self.inbox.send(Input::Request(Box::new(incoming)));
        // Answers the client in time even if the policy were to lose track of the request.
        let answer = timeout_at(answer_by, answered).await;
        in_flight.answered = answer.is_ok();
        if let Some(upload) = upload_in_progress.filter(|upload| !upload.is_complete()) {
            spawn_local(async move { upload.discard().await });
        }
        if let Ok(Ok(Answer::Streamed(mut streamed))) = answer {
            streamed.body.set_deadline(answer_by);
            let (answer, state) = (*streamed, state.clone());
            state.frame_asked_at.set(Some(Instant::now()));
            state.streaming_client.replace(Some(self.streaming_clients.register()));
            state.streaming_changed.notify_one();
            let streamed = StreamedReply::new(answer, pending_count, state, memory, in_flight);
            return Ok(Response::new(ReplyBody::Streamed(Box::new(streamed))));
        }
        pending_count.end(match &answer {
            Ok(Ok(Answer::Served(_))) => End::Completed,
            Ok(Ok(Answer::Refused(_))) => End::Rejected,
            _ => End::Failed,
        });
        Ok(match answer {
            Ok(Ok(Answer::Served(body))) => Response::new(ReplyBody::Buffered(Full::new(body))),
            Ok(Ok(Answer::Refused(retry_after))) => {
                let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "refused");
                retry_after.into_iter().for_each(|wait| set_retry_after(&mut reply, wait));
                reply
            }
            Ok(Ok(Answer::BadRequest)) => text_reply(StatusCode::BAD_REQUEST, "the request is at fault"),
            Ok(Ok(Answer::Failed | Answer::Streamed(_)) | Err(_)) => {
                text_reply(StatusCode::BAD_GATEWAY, "failed")
            }
            Err(_) => text_reply(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }
}

/// Waits until the given time, or forever if there is none.
async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
