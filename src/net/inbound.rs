//! Clients' connections: takes requests, gives final answers, and drains at the end.

use super::budget::{Budget, Holder, Permit};
use super::client_connection::{FIRST_MOST, Turn};
use super::counters::{Counters, End};
use super::message::{Answer, Arrival, Content, Forward, Inbox, Input};
use super::outbound::{MAX_CONNECTION_BUFFER, Outbound};
use super::process_phase::Phase;
use super::reply::{PassingAnswer, Reply, ReplyBody, Waiting, plain, say_when};
use super::request::{RequestParser, drop_hop_headers, hold};
use super::stream::ClientStream;
use super::streamed_body::{LARGE_MOST, Pieces, Upload};
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
const SHED_FIRST_MOST: Duration = Duration::from_millis(500);
/// The head of a later request must have come within this of the answer before it: a silent client does
/// not keep its socket for good.
const HEAD_MOST: Duration = Duration::from_secs(30);
/// A body that passes through may take so long: the largest at the slowest pace.
const UPLOAD_MOST: Duration = Duration::from_secs(1100);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Wait after a connection that was gone before it was accepted.
const ABORTED_PAUSE: Duration = Duration::from_millis(1);
/// Failed accepts after which a listener is closed all the same: what lacks that often does not come back at once.
const CLOSE_TRIES: u32 = 64;
/// New connections come for up to 0.4 s after SIGTERM, so we accept for a little longer.
const DRAIN_ACCEPT: Duration = Duration::from_millis(500);
/// The backlog is empty once nothing has come out of it for this long.
const BACKLOG_EMPTY: Duration = Duration::from_millis(30);
/// Where room is wanted, only connections that have been between requests for this long are closed.
const IDLE_LEAST: Duration = Duration::from_secs(1);
/// While draining, a connection on which nothing has come yet is closed after this.
const FRESH_WAIT: Duration = Duration::from_millis(200);
/// SIGKILL comes no sooner than the longest deadline, but at most `DEADLINE_MOST`, and 0.7 s more:
/// what is open this long after it is failed, which leaves the answers time to go out.
const DRAIN_SLACK: Duration = Duration::from_millis(450);
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// The last answers go out within this.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

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
    next: Cell<u64>,
    /// The X-Request-IDs of the requests in work, as clients choose them.
    ids: Rc<RefCell<HashSet<String>>>,
    phase: Cell<Phase>,
    /// Told when the operators want it to end.
    asked_to_drain: Notify,
    /// Another process of this sidecar takes clients too.
    other_process_serving: Cell<bool>,
    /// Accepting fails; said once in the log until it works again.
    failing: Cell<bool>,
    /// Each change says that connections are to make room, or while draining, to end.
    close: watch::Sender<()>,
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
            next: Cell::new(0),
            ids: Rc::default(),
            phase: Cell::new(Phase::Starting),
            asked_to_drain: Notify::new(),
            other_process_serving: Cell::new(false),
            failing: Cell::new(false),
            close: watch::Sender::new(()),
        })
    }

    /// Whether this process takes clients.
    pub fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Ends it as SIGTERM does.
    pub fn drain(&self) {
        self.asked_to_drain.notify_one();
    }

    /// Whether another process of this sidecar takes clients too.
    pub fn set_other_process_serving(&self, serving: bool) {
        self.other_process_serving.set(serving);
    }

    /// Serves until told to end, then drains: all that the kernel has accepted is answered.
    /// `ending` is called as the drain begins.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut term: Signal, ending: impl FnOnce()) {
        self.phase.set(Phase::Serving);
        loop {
            tokio::select! {
                _ = term.recv() => break,
                () = self.asked_to_drain.notified() => break,
                () = self.accept(&listener) => {}
            }
        }
        let asked = Instant::now();
        info!(clients = self.budget.clients(), "draining");
        self.phase.set(Phase::Draining);
        ending();
        let longest = self.parser.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = asked + longest.min(DEADLINE_MOST) + DRAIN_SLACK;
        // What still waits in the backlog then counts as taken: closing the listener would reset it.
        while Instant::now() < until && !self.other_process_serving.get() {
            let wait = (asked + DRAIN_ACCEPT).max(Instant::now() + BACKLOG_EMPTY);
            if timeout_at(wait, self.accept(&listener)).await.is_err() {
                break;
            }
        }
        // A successor may be seen only now. To accept beside it for as long as clients come would end with what is in
        // work when the time is up.
        self.close_listener(listener);
        self.close.send_replace(());
        if timeout_at(until, self.all_gone()).await.is_err() {
            self.phase.set(Phase::GivenUp);
            let _ = self.inbox.send(Input::FailPending);
            let _ = timeout(LAST_ANSWERS, self.all_gone()).await;
        }
        info!(ms = asked.elapsed().as_millis() as u64, "drained");
    }

    /// Takes what waits in the backlog and closes the listener in one go: all that comes later is refused, or goes
    /// to the process that listens beside this one. A wait in between would let more in, only to be reset.
    fn close_listener(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        let mut lacking = 0;
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
                Err(e) if !is_local(&e) => lacking += 1,
                Err(_) => {
                    lacking += 1;
                    self.outbound.close_oldest_idle();
                }
            }
            if lacking > CLOSE_TRIES {
                return;
            }
        }
    }

    async fn all_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.client_released().await;
        }
    }

    /// Accepts one connection, once there is room for it.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let permit = self.room().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                self.failing.set(false);
                self.admit(stream, permit.or_else(|| self.budget.take(Holder::Client)));
            }
            // Of one connection that is gone, or a signal: nothing is lacking, and the next one waits.
            Err(e) if !is_local(&e) => {
                debug!("accept: {e}");
                sleep(ABORTED_PAUSE).await; // one that lasts must not keep the thread
            }
            Err(e) => {
                if !self.failing.replace(true) {
                    error!("accept: {e}; said once until it works again");
                }
                self.outbound.close_oldest_idle();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    /// Serves a connection; without a permit only to say that there is no room.
    fn admit(self: &Rc<Self>, stream: TcpStream, permit: Option<Permit>) {
        let shed = permit.is_none();
        // What has been accepted takes its descriptor, and is waited for at the end, whether there was room or not.
        let permit = permit.unwrap_or_else(|| self.budget.take_unconditionally(Holder::Shed));
        // Heard from now on, not from when the task first runs: the call to close may come in between.
        let (this, close) = (self.clone(), self.close.subscribe());
        spawn_local(async move { this.connection(stream, shed, close, permit).await });
    }

    /// A permit for one more client; none where it can only be told that there is no room.
    async fn room(&self) -> Option<Permit> {
        loop {
            while self.budget.blocked_by_endpoints() && self.outbound.close_oldest_idle() {}
            if let Some(permit) = self.budget.take(Holder::Client) {
                return Some(permit);
            }
            // Idle clients make room for new ones.
            self.close.send_replace(());
            if let Some(permit) = self.budget.take(Holder::Shed) {
                drop(permit);
                return None;
            }
            self.budget.client_released().await;
        }
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        shed: bool,
        mut close: watch::Receiver<()>,
        _permit: Permit,
    ) {
        let stream = ClientStream::new(stream);
        let close_mode = self.talk(&stream, shed, &mut close).await;
        // Who has been answered must not keep a place that others want: there it is let go at once.
        if close_mode == CloseMode::Graceful && !self.budget.clients_near_limit() {
            tokio::select! {
                () = stream.close() => {}
                () = self.room_wanted(&mut close) => {}
            }
        }
    }

    /// Waits until connections are to make room, and not only to end.
    async fn room_wanted(&self, close: &mut watch::Receiver<()>) {
        // The sender lives as long as this does.
        while close.changed().await.is_ok() && self.phase.get().ending() {}
    }

    async fn talk(
        self: &Rc<Self>,
        stream: &ClientStream,
        shed: bool,
        close: &mut watch::Receiver<()>,
    ) -> CloseMode {
        let turn = Rc::new(Turn::new());
        let service = service_fn(|request| self.answer(request, shed, &turn));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_MOST)
            .keep_alive(!shed)
            .max_buf_size(MAX_CONNECTION_BUFFER)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let left = stream.left(|| turn.busy.get());
        tokio::pin!(connection, left);
        // Over the cap there are few places even to say so: silence must not take them.
        let first = if shed { turn.accepted + SHED_FIRST_MOST } else { turn.first_until() };
        let (mut first_until, mut fresh_until) = (Some(first), None);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return CloseMode::Graceful, // an error here is the client's leaving
                // Whoever has left waits for no answer, whatever else it had written.
                () = left.as_mut() => return CloseMode::Immediate,
                _ = close.changed() => match turn.idle() {
                    _ if turn.busy.get() => turn.last.set(true),
                    // On a new connection the first request is as good as taken: to close it now
                    // would lose what the client is just writing.
                    None if self.phase.get().ending() => fresh_until = Some(Instant::now() + FRESH_WAIT),
                    // One just used is likely to be used again at once, and a request that crosses
                    // our closing is lost, or sent twice: the next answer says that it is the last.
                    Some(idle) if self.phase.get().ending() || idle >= IDLE_LEAST => {
                        connection.as_mut().graceful_shutdown();
                    }
                    _ => turn.last.set(true),
                },
                () = reached(first_until) => {
                    first_until = None;
                    // What has come of a head by now is no request.
                    if turn.unasked() {
                        return CloseMode::Graceful;
                    }
                }
                // Its answer did not yet say that it would be the last.
                () = turn.turned.notified() => if turn.last.get() && !turn.busy.get() {
                    connection.as_mut().graceful_shutdown();
                },
                () = reached(turn.stuck_at()) => if turn.stuck_at().is_some_and(|at| at <= Instant::now()) {
                    return CloseMode::Immediate;
                },
                () = reached(fresh_until) => {
                    fresh_until = None;
                    if !turn.busy.get() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        shed: bool,
        turn: &Rc<Turn>,
    ) -> Result<Reply, Infallible> {
        turn.busy.set(true);
        let asks_ready = request.uri().path() == "/-/ready";
        let mut reply = if asks_ready {
            let status = if self.is_serving() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            plain(status, "")
        } else {
            let class = self.parser.class(request.uri());
            let named = enabled!(Level::DEBUG).then(|| request.headers().get("x-request-id").cloned());
            let served = if shed {
                Err((StatusCode::SERVICE_UNAVAILABLE, "too many connections"))
            } else {
                self.serve_request(request, turn).await
            };
            if let (Some(named), Err((status, problem))) = (named, &served) {
                let request = named.as_ref().and_then(|id| id.to_str().ok());
                debug!(request, status = status.as_u16(), problem, "not taken");
            }
            match served {
                Ok(reply) => reply,
                Err((StatusCode::SERVICE_UNAVAILABLE, problem)) => {
                    class.into_iter().for_each(|class| self.counters.record_end(class, End::Rejected));
                    self.no_room(problem)
                }
                // What is no proper request ends nothing that would count.
                Err((status, problem)) => plain(status, problem),
            }
        };
        if matches!(reply.body(), ReplyBody::Held(_)) {
            turn.over();
        }
        // Who only asks whether we are ready and stays takes a place that requests want, where few are left.
        let in_the_way = asks_ready && self.budget.clients_near_limit();
        if self.phase.get().ending() || shed || turn.last.get() || in_the_way {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// A refusal of our own: there is room once the first silent connections have been closed.
    fn no_room(&self, text: &'static str) -> Reply {
        let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, text);
        if self.parser.settings.limits.retry_after {
            say_when(&mut reply, FIRST_MOST.min(self.parser.settings.limits.max_retry_after));
        }
        reply
    }

    async fn serve_request(
        self: &Rc<Self>,
        request: Request<Incoming>,
        turn: &Rc<Turn>,
    ) -> Result<Reply, (StatusCode, &'static str)> {
        let busy = (StatusCode::SERVICE_UNAVAILABLE, "too many requests");
        let memory = self.budget.take(Holder::Request).ok_or(busy)?;
        let (mut head, body) = request.into_parts();
        // What is no proper request is told so before its body, of which there may be much.
        let (mut request, time) = self.parser.parse(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > LARGE_MOST {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        let (first, rest) = hold(body, turn.body_until()).await?;
        // What passes through has buffers of its own on both sides.
        let _buffers = match &rest {
            Some(_) => Some(self.budget.take(Holder::Request).ok_or(busy)?),
            None => None,
        };
        if self.phase.get() == Phase::GivenUp {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
        }
        // The client counts from its last byte.
        let came = Instant::now();
        let named = head.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default();
        // Whoever sends another client's id sends no request of its own: endpoints would answer 400.
        if !self.ids.borrow_mut().insert(named.to_owned()) {
            return Err((StatusCode::CONFLICT, "X-Request-ID is not fresh"));
        }
        let taken = self.counters.start_request(request.class.0);
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        let (ids, inbox) = (self.ids.clone(), self.inbox.clone());
        let mut waiting = Waiting { ids, inbox, id, named: named.to_owned(), answered: false };
        drop_hop_headers(&mut head.headers);
        let (answer, answered) = oneshot::channel();
        let ours = time - ANSWER_MARGIN.min(time / 10);
        let mut passed = None;
        let (body, deadline, latest) = match rest {
            None => (Content::Held(first), came + ours, came + time),
            Some(rest) => {
                request.streamed_body = true;
                let pieces = Pieces::of_client(first, rest);
                let inbox = self.inbox.clone();
                let upload = Upload::new(pieces, ours, move |deadline| {
                    let _ = inbox.send(Input::BodyComplete(id, deadline)); // fails only while the process ends
                });
                passed = Some(upload.clone());
                (Content::Passed(upload), came + UPLOAD_MOST, came + UPLOAD_MOST)
            }
        };
        let forward = Forward { method: head.method, uri: head.uri, headers: head.headers, body };
        let arrival = Arrival { request, deadline, forward, answer };
        let _ = self.inbox.send(Input::Request(Box::new(arrival)));
        // Where the module were to forget a request, its client would still be told in time.
        let answer = timeout_at(latest, answered).await;
        waiting.answered = answer.is_ok();
        if let Some(upload) = passed.filter(|upload| !upload.is_whole()) {
            spawn_local(async move { upload.discard().await });
        }
        if let Ok(Ok(Answer::Passing(mut passing))) = answer {
            passing.pieces.owed_by(latest);
            let (answer, turn) = (Some(*passing), turn.clone());
            turn.moved.set(Some(Instant::now()));
            turn.turned.notify_one();
            let passing =
                PassingAnswer { answer, taken: Some(taken), turn, _memory: memory, _waiting: waiting };
            return Ok(Response::new(ReplyBody::Passing(Box::new(passing))));
        }
        taken.end(match &answer {
            Ok(Ok(Answer::Served(_))) => End::Completed,
            Ok(Ok(Answer::Refused(_))) => End::Rejected,
            _ => End::Failed,
        });
        Ok(match answer {
            Ok(Ok(Answer::Served(body))) => Response::new(ReplyBody::Held(Full::new(body))),
            Ok(Ok(Answer::Refused(retry_after))) => {
                let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                retry_after.into_iter().for_each(|wait| say_when(&mut reply, wait));
                reply
            }
            Ok(Ok(Answer::Rejected)) => plain(StatusCode::BAD_REQUEST, "the request is at fault"),
            Ok(Ok(Answer::Failed | Answer::Passing(_)) | Err(_)) => {
                plain(StatusCode::BAD_GATEWAY, "failed")
            }
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }
}

/// Waits for a time; for ever if there is none.
async fn reached(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
