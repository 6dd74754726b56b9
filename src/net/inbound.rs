//! Clients' connections: takes requests, gives final answers, and drains at the end.

use super::budget::{Budget, Holder, Permit};
use super::connection_state::{ConnectionState, FIRST_HEAD_TIMEOUT};
use super::counters::{Counters, End};
use super::message::{Answer, ForwardedRequest, Inbox, IncomingRequest, Input, RequestBody};
use super::outbound::{MAX_CONNECTION_BUFFER, Outbound};
use super::process_phase::Phase;
use super::reply::{InFlightRequest, Reply, ReplyBody, StreamedReply, set_retry_after, text_reply};
use super::request::{RequestParser, buffer_body, drop_hop_headers};
use super::stream::ClientStream;
use super::streamed_body::{MAX_BODY, StreamedBody, Upload};
use gullpulley::{RequestId, is_local};
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

/// Kept back from a client's time, for the answer to reach it.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// A connection over the cap has this long to bring the head that is answered with a refusal.
const SHED_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// The head of a later request must have come within this of the answer before it: a silent client does
/// not keep its socket for good.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// A body that passes through may take so long: the largest at the slowest pace.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(1100);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Wait after a connection that was gone before it was accepted.
const ABORTED_ACCEPT_DELAY: Duration = Duration::from_millis(1);
/// Failed accepts after which a listener is closed all the same: what lacks that often does not come back at once.
const MAX_CLOSE_ERRORS: u32 = 64;
/// New connections come for up to 0.4 s after SIGTERM, so we accept for a little longer.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The backlog is empty once nothing has come out of it for this long.
const BACKLOG_IDLE_TIME: Duration = Duration::from_millis(30);
/// Where room is wanted, only connections that have been between requests for this long are closed.
const MIN_IDLE_TIME: Duration = Duration::from_secs(1);
/// While draining, a connection on which nothing has come yet is closed after this.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// SIGKILL comes no sooner than the longest deadline, but at most `DEADLINE_MOST`, and 0.7 s more:
/// what is open this long after it is failed, which leaves the answers time to go out.
const DRAIN_MARGIN: Duration = Duration::from_millis(450);
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// The last answers go out within this.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(150);

/// How a connection is to be let go.
#[derive(PartialEq)]
enum CloseMode {
    /// The client may still be writing, or have an answer to read.
    Graceful,
    /// It has left, or takes nothing of its answer.
    Immediate,
}

/// What all clients' connections share.
pub struct Inbound {
    parser: RequestParser,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next_id: Cell<u64>,
    /// The X-Request-IDs of the requests in work, as clients choose them.
    request_ids: Rc<RefCell<HashSet<String>>>,
    phase: Cell<Phase>,
    /// Told when the operators want it to end.
    drain_requested: Notify,
    /// Another process of this sidecar takes clients too.
    other_process_serving: Cell<bool>,
    /// Accepting fails; said once in the log until it works again.
    accept_failing: Cell<bool>,
    /// Each change says that connections are to make room, or while draining, to end.
    close_signal: watch::Sender<()>,
}

impl Inbound {
    /// No clients yet.
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
            drain_requested: Notify::new(),
            other_process_serving: Cell::new(false),
            accept_failing: Cell::new(false),
            close_signal: watch::Sender::new(()),
        })
    }

    /// Whether this process takes clients.
    pub fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Ends it as SIGTERM does.
    pub fn drain(&self) {
        self.drain_requested.notify_one();
    }

    /// Whether another process of this sidecar takes clients too.
    pub fn set_other_process_serving(&self, serving: bool) {
        self.other_process_serving.set(serving);
    }

    /// Serves until told to end, then drains: all that the kernel has accepted is answered.
    /// `ending` is called as the drain begins.
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
        // What still waits in the backlog then counts as taken: closing the listener would reset it.
        while Instant::now() < until && !self.other_process_serving.get() {
            let wait = (drain_started + DRAIN_ACCEPT_TIME).max(Instant::now() + BACKLOG_IDLE_TIME);
            if timeout_at(wait, self.accept(&listener)).await.is_err() {
                break;
            }
        }
        // A successor may be seen only now. To accept beside it for as long as clients come would end with what is in
        // work when the time is up.
        self.accept_backlog_and_close(listener);
        self.close_signal.send_replace(());
        if timeout_at(until, self.clients_gone()).await.is_err() {
            self.phase.set(Phase::DrainTimedOut);
            let _ = self.inbox.send(Input::FailPending);
            let _ = timeout(FINAL_ANSWERS_TIME, self.clients_gone()).await;
        }
        info!(ms = drain_started.elapsed().as_millis() as u64, "drained");
    }

    /// Takes what waits in the backlog and closes the listener in one go: all that comes later is refused, or goes
    /// to the process that listens beside this one. A wait in between would let more in, only to be reset.
    fn accept_backlog_and_close(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        let mut errors = 0;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let taken = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = taken {
                        self.admit(stream, self.budget.take(Holder::Client));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Of one connection, or of the call: behind it others may wait, which a close would reset.
                Err(e) if !is_local(&e) => errors += 1,
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

    /// Accepts one connection, once there is room for it.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let permit = self.client_permit().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                self.accept_failing.set(false);
                self.admit(stream, permit.or_else(|| self.budget.take(Holder::Client)));
            }
            // Of one connection that is gone, or a signal: nothing is lacking, and the next one waits.
            Err(e) if !is_local(&e) => {
                debug!("accept: {e}");
                sleep(ABORTED_ACCEPT_DELAY).await; // one that lasts must not keep the thread
            }
            Err(e) => {
                if !self.accept_failing.replace(true) {
                    error!("accept: {e}; said once until it works again");
                }
                self.outbound.close_oldest_idle();
                sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }

    /// Serves a connection; without a permit only to say that there is no room.
    fn admit(self: &Rc<Self>, stream: TcpStream, permit: Option<Permit>) {
        let shed = permit.is_none();
        // What has been accepted takes its descriptor, and is waited for at the end, whether there was room or not.
        let permit = permit.unwrap_or_else(|| self.budget.take_unconditionally(Holder::Shed));
        // Heard from now on, not from when the task first runs: the call to close may come in between.
        let (this, close_signal) = (self.clone(), self.close_signal.subscribe());
        spawn_local(async move { this.handle_connection(stream, shed, close_signal, permit).await });
    }

    /// A permit for one more client; none where it can only be told that there is no room.
    async fn client_permit(&self) -> Option<Permit> {
        loop {
            while self.budget.blocked_by_endpoints() && self.outbound.close_oldest_idle() {}
            if let Some(permit) = self.budget.take(Holder::Client) {
                return Some(permit);
            }
            // Idle clients make room for new ones.
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
        // Who has been answered must not keep a place that others want: there it is let go at once.
        if close_mode == CloseMode::Graceful && !self.budget.clients_near_limit() {
            tokio::select! {
                () = stream.close() => {}
                () = self.room_needed(&mut close_signal) => {}
            }
        }
    }

    /// Waits until connections are to make room, and not only to end.
    async fn room_needed(&self, close_signal: &mut watch::Receiver<()>) {
        // The sender lives as long as this does.
        while close_signal.changed().await.is_ok() && self.phase.get().is_ending() {}
    }

    async fn serve_connection(
        self: &Rc<Self>,
        stream: &ClientStream,
        shed: bool,
        close_signal: &mut watch::Receiver<()>,
    ) -> CloseMode {
        let state = Rc::new(ConnectionState::new());
        let service = service_fn(|request| self.handle_request(request, shed, &state));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .keep_alive(!shed)
            .max_buf_size(MAX_CONNECTION_BUFFER)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let client_left = stream.client_left(|| state.answering.get());
        tokio::pin!(connection, client_left);
        // Over the cap there are few places even to say so: silence must not take them.
        let first_head_deadline =
            if shed { state.accepted_at + SHED_HEAD_TIMEOUT } else { state.first_head_deadline() };
        let (mut first_head_until, mut new_connection_until) = (Some(first_head_deadline), None);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return CloseMode::Graceful, // an error here is the client's leaving
                // Whoever has left waits for no answer, whatever else it had written.
                () = client_left.as_mut() => return CloseMode::Immediate,
                _ = close_signal.changed() => match state.idle_time() {
                    _ if state.answering.get() => state.close_after_answer.set(true),
                    // On a new connection the first request is as good as taken: to close it now
                    // would lose what the client is just writing.
                    None if self.phase.get().is_ending() => new_connection_until = Some(Instant::now() + NEW_CONNECTION_GRACE),
                    // One just used is likely to be used again at once, and a request that crosses
                    // our closing is lost, or sent twice: the next answer says that it is the last.
                    Some(idle) if self.phase.get().is_ending() || idle >= MIN_IDLE_TIME => {
                        connection.as_mut().graceful_shutdown();
                    }
                    _ => state.close_after_answer.set(true),
                },
                () = sleep_until_some(first_head_until) => {
                    first_head_until = None;
                    // What has come of a head by now is no request.
                    if state.awaits_first_request() {
                        return CloseMode::Graceful;
                    }
                }
                // Its answer did not yet say that it would be the last.
                () = state.streaming_changed.notified() => if state.close_after_answer.get() && !state.answering.get() {
                    connection.as_mut().graceful_shutdown();
                },
                () = sleep_until_some(state.client_stalled_at()) => if state.client_stalled_at().is_some_and(|at| at <= Instant::now()) {
                    return CloseMode::Immediate;
                },
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
                // What is no proper request ends nothing that would count.
                Err((status, problem)) => text_reply(status, problem),
            }
        };
        if matches!(reply.body(), ReplyBody::Buffered(_)) {
            state.answer_finished();
        }
        // Who only asks whether we are ready and stays takes a place that requests want, where few are left.
        let occupies_scarce_slot = is_readiness_check && self.budget.clients_near_limit();
        if self.phase.get().is_ending() || shed || state.close_after_answer.get() || occupies_scarce_slot {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// A refusal of our own: there is room once the first silent connections have been closed.
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
        // What is no proper request is told so before its body, of which there may be much.
        let (mut request, time) = self.parser.parse(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > MAX_BODY {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        let (buffered, rest) = buffer_body(body, state.body_deadline()).await?;
        // What passes through has buffers of its own on both sides.
        let _buffers = match &rest {
            Some(_) => Some(self.budget.take(Holder::Request).ok_or(busy)?),
            None => None,
        };
        if self.phase.get() == Phase::DrainTimedOut {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
        }
        // The client counts from its last byte.
        let received_at = Instant::now();
        let x_request_id =
            head.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default();
        // Whoever sends another client's id sends no request of its own: endpoints would answer 400.
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
        // Where the module were to forget a request, its client would still be told in time.
        let answer = timeout_at(answer_by, answered).await;
        in_flight.answered = answer.is_ok();
        if let Some(upload) = upload_in_progress.filter(|upload| !upload.is_complete()) {
            spawn_local(async move { upload.discard().await });
        }
        if let Ok(Ok(Answer::Streamed(mut streamed))) = answer {
            streamed.body.set_deadline(answer_by);
            let (answer, state) = (Some(*streamed), state.clone());
            state.last_progress.set(Some(Instant::now()));
            state.streaming_changed.notify_one();
            let streamed = StreamedReply {
                answer,
                pending_count: Some(pending_count),
                state,
                _memory: memory,
                _request: in_flight,
            };
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

/// Waits for a time; for ever if there is none.
async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
