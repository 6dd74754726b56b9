//! Clients' connections: takes requests, gives final answers, and drains at the end.

use super::budget::{Budget, Holder, Permit};
use super::counters::{Counters, End, Taken};
use super::driver::{Answer, Arrival, Content, Forward, Inbox, Input};
use super::outbound::{BODY_MOST, BUFFER_MOST, Outbound, Passing};
use super::passing::{LARGE_MOST, PassError, Pieces, Upload};
use gullpulley::{ClassId, RequestId, Semantics, Settings, TenantId};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::Signal;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Kept back from a client's time, for the answer to reach it.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// The head of a connection's first request must have come within this of the accept: a client may take 2 s
/// for it, and a peer that sends none is owed an error or a close within 3 s.
const FIRST_MOST: Duration = Duration::from_millis(2500);
/// Its body may lag behind its pace until this after the accept, for the same reason ...
const FIRST_BODY: Duration = Duration::from_millis(2800);
/// ... or for this long after a head that itself came late.
const BODY_LAG: Duration = Duration::from_millis(800);
/// Bytes a second that a body must keep to besides: half of the slowest that clients send.
const BODY_PACE: f64 = 32_000.0;
/// A connection over the cap has this long to bring the head that is answered with a refusal.
const SHED_FIRST_MOST: Duration = Duration::from_millis(500);
/// The head of a later request must have come within this of the answer before it: a silent client does
/// not keep its socket for good.
const HEAD_MOST: Duration = Duration::from_secs(30);
/// A later request's body may lag behind its pace by this.
const BODY_TIME: Duration = Duration::from_secs(2);
/// A body that passes through may take so long: the largest at the slowest pace.
const UPLOAD_MOST: Duration = Duration::from_secs(1100);
/// A client that takes nothing of a large answer for this long is not reading it any more.
const READ_MOST: Duration = Duration::from_secs(20);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
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

/// What all clients' connections share.
pub struct Inbound {
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next: Cell<u64>,
    /// The X-Request-IDs of the requests in work, as clients choose them.
    ids: RefCell<HashSet<String>>,
    /// Clients are let in.
    serving: Cell<bool>,
    draining: Cell<bool>,
    /// Told when the operators want it to end.
    asked_to_drain: Notify,
    /// Another process of this sidecar takes clients too.
    succeeded: Cell<bool>,
    /// Accepting fails; said once in the log until it works again.
    failing: Cell<bool>,
    /// Each change says that connections are to make room, or while draining, to end.
    close: watch::Sender<()>,
}

/// A request in work: tells the driver when its client leaves before its answer.
struct Waiting {
    inbound: Rc<Inbound>,
    id: RequestId,
    named: String,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.inbound.ids.borrow_mut().remove(&self.named);
        if !self.answered {
            let _ = self.inbound.inbox.send(Input::ClientGone(self.id));
        }
    }
}

/// Where a client's connection stands.
struct Turn {
    accepted: Instant,
    /// A request is being answered.
    busy: Cell<bool>,
    /// When the last answer was given; none on a new connection.
    answered: Cell<Option<Instant>>,
    /// The next answer is the connection's last, and says so.
    last: Cell<bool>,
    /// When a piece of a large answer was last asked for; none while there is no such answer.
    moved: Cell<Option<Instant>>,
    /// A large answer has come to its end, or begun.
    turned: Notify,
}

impl Turn {
    /// A connection just accepted.
    fn new() -> Self {
        let (busy, answered, last, moved) = Default::default();
        Turn { accepted: Instant::now(), busy, answered, last, moved, turned: Notify::new() }
    }

    /// When the head of the first request must have come.
    fn first_until(&self) -> Instant {
        self.accepted + FIRST_MOST
    }

    /// Nothing that could be answered has come yet.
    fn unasked(&self) -> bool {
        !self.busy.get() && self.answered.get().is_none()
    }

    /// Until when the body of the request whose head has just come may lag behind its pace.
    fn body_until(&self) -> Instant {
        match self.answered.get() {
            None => (self.accepted + FIRST_BODY).max(Instant::now() + BODY_LAG),
            Some(_) => Instant::now() + BODY_TIME,
        }
    }

    /// When a client that reads nothing of a large answer has had its time.
    fn stuck_at(&self) -> Option<Instant> {
        self.moved.get().map(|at| at + READ_MOST)
    }

    /// An answer has been given.
    fn over(&self) {
        self.busy.set(false);
        self.answered.set(Some(Instant::now()));
    }

    /// How long it has been between requests; none before the first.
    fn idle(&self) -> Option<Duration> {
        self.answered.get().map(|at| at.elapsed())
    }
}

type Reply = Response<ReplyBody>;

/// The body of an answer.
enum ReplyBody {
    Held(Full<Bytes>),
    Passing(Box<PassingAnswer>),
}

/// A large answer on its way to the client. Dropped before its end it has lost its client.
struct PassingAnswer {
    /// Gone once it is over.
    answer: Option<Passing>,
    taken: Option<Taken>,
    turn: Rc<Turn>,
    _memory: Permit,
    _waiting: Waiting,
}

impl PassingAnswer {
    fn over(&mut self, end: End) {
        if let Some(taken) = self.taken.take() {
            taken.end(end);
        }
        if let Some(answer) = self.answer.take()
            && end == End::Completed
        {
            answer.whole();
        }
        self.turn.over();
        self.turn.moved.set(None);
        self.turn.turned.notify_one();
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = PassError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PassError>>> {
        let passing = match self.get_mut() {
            ReplyBody::Held(body) => {
                return Pin::new(body).poll_frame(context).map_err(|never| match never {});
            }
            ReplyBody::Passing(passing) => passing,
        };
        let Some(answer) = &mut passing.answer else { return Poll::Ready(None) };
        passing.turn.moved.set(Some(Instant::now()));
        let piece = ready!(answer.pieces.poll(context));
        let over = answer.pieces.over();
        match &piece {
            // The client can tell: what is announced, or the last chunk, never comes.
            Some(Err(_)) => passing.over(End::Failed),
            None => passing.over(End::Completed),
            Some(Ok(_)) if over => passing.over(End::Completed),
            Some(Ok(_)) => {}
        }
        Poll::Ready(piece)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Held(body) => body.is_end_stream(),
            ReplyBody::Passing(passing) => passing.answer.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Held(body) => body.size_hint(),
            ReplyBody::Passing(passing) => {
                passing.answer.as_ref().map_or_else(|| SizeHint::with_exact(0), |a| a.pieces.size())
            }
        }
    }
}

impl Inbound {
    /// No clients yet.
    pub fn new(
        settings: Settings,
        classes: Vec<String>,
        tenants: Vec<String>,
        budget: Rc<Budget>,
        counters: Rc<Counters>,
        outbound: Rc<Outbound>,
        inbox: Inbox,
    ) -> Rc<Self> {
        Rc::new(Inbound {
            classes,
            tenants,
            settings,
            budget,
            counters,
            outbound,
            inbox,
            next: Cell::new(0),
            ids: RefCell::default(),
            serving: Cell::new(false),
            draining: Cell::new(false),
            asked_to_drain: Notify::new(),
            succeeded: Cell::new(false),
            failing: Cell::new(false),
            close: watch::Sender::new(()),
        })
    }

    /// Whether this process takes clients.
    pub fn takes_clients(&self) -> bool {
        self.serving.get() && !self.draining.get()
    }

    /// Ends it as SIGTERM does.
    pub fn drain(&self) {
        self.asked_to_drain.notify_one();
    }

    /// Whether another process of this sidecar takes clients too.
    pub fn succeeded(&self, by_another: bool) {
        self.succeeded.set(by_another);
    }

    /// Serves until told to end, then drains: all that the kernel has accepted is answered.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut term: Signal) {
        self.serving.set(true);
        loop {
            tokio::select! {
                _ = term.recv() => break,
                () = self.asked_to_drain.notified() => break,
                () = self.accept(&listener) => {}
            }
        }
        let asked = Instant::now();
        eprintln!("draining: {} clients connected", self.budget.clients());
        self.draining.set(true);
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = asked + longest.min(DEADLINE_MOST) + DRAIN_SLACK;
        if self.succeeded.get() {
            self.hand_over(listener);
        } else {
            while timeout_at(asked + DRAIN_ACCEPT, self.accept(&listener)).await.is_ok() {}
            // What still waits in the backlog counts as taken: closing the listener would reset it.
            while Instant::now() < until && timeout(BACKLOG_EMPTY, self.accept(&listener)).await.is_ok() {}
            drop(listener);
        }
        self.close.send_replace(());
        if timeout_at(until, self.all_gone()).await.is_err() {
            let _ = self.inbox.send(Input::GiveUp);
            let _ = timeout(LAST_ANSWERS, self.all_gone()).await;
        }
        eprintln!("drained in {} ms", asked.elapsed().as_millis());
    }

    /// Takes what waits in the backlog and closes the listener in one go: all that comes later goes to the
    /// process that listens beside this one. A wait in between would let more in, only to be reset.
    fn hand_over(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            let taken = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = taken {
                self.admit(stream, self.budget.take(Holder::Client));
            }
        }
    }

    async fn all_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.freed().await;
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
            Err(e) => {
                if !self.failing.replace(true) {
                    eprintln!("accept: {e}");
                }
                self.outbound.close_oldest_idle();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    /// Serves a connection; without a permit only to say that there is no room.
    fn admit(self: &Rc<Self>, stream: TcpStream, permit: Option<Permit>) {
        let shed = permit.is_none();
        let permit = permit.or_else(|| self.budget.take(Holder::Shed));
        let this = self.clone();
        spawn_local(async move { this.connection(stream, shed, permit).await });
    }

    /// A permit for one more client; none where it can only be told that there is no room.
    async fn room(&self) -> Option<Permit> {
        loop {
            while self.budget.endpoints_crowd() && self.outbound.close_oldest_idle() {}
            if let Some(permit) = self.budget.take(Holder::Client) {
                return Some(permit);
            }
            // Idle clients make room for new ones.
            self.close.send_replace(());
            if let Some(permit) = self.budget.take(Holder::Shed) {
                drop(permit);
                return None;
            }
            self.budget.freed().await;
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, shed: bool, _permit: Option<Permit>) {
        let _ = stream.set_nodelay(true);
        let mut close = self.close.subscribe();
        let turn = Rc::new(Turn::new());
        let service = service_fn(|request| self.answer(request, shed, &turn));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_MOST)
            .keep_alive(!shed)
            .max_buf_size(BUFFER_MOST)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        // Over the cap there are few places even to say so: silence must not take them.
        let first = if shed { turn.accepted + SHED_FIRST_MOST } else { turn.first_until() };
        let (mut first_until, mut fresh_until) = (Some(first), None);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return, // an error here is the client's leaving
                _ = close.changed() => match turn.idle() {
                    _ if turn.busy.get() => turn.last.set(true),
                    // On a new connection the first request is as good as taken: to close it now
                    // would lose what the client is just writing.
                    None if self.draining.get() => fresh_until = Some(Instant::now() + FRESH_WAIT),
                    // One just used is likely to be used again at once, and a request that crosses
                    // our closing is lost, or sent twice: the next answer says that it is the last.
                    Some(idle) if self.draining.get() || idle >= IDLE_LEAST => {
                        connection.as_mut().graceful_shutdown();
                    }
                    _ => turn.last.set(true),
                },
                () = reached(first_until) => {
                    first_until = None;
                    // What has come of a head by now is no request.
                    if turn.unasked() {
                        return;
                    }
                }
                // Its answer did not yet say that it would be the last.
                () = turn.turned.notified() => if turn.last.get() && !turn.busy.get() {
                    connection.as_mut().graceful_shutdown();
                },
                () = reached(turn.stuck_at()) => if turn.stuck_at().is_some_and(|at| at <= Instant::now()) {
                    return;
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
            let status =
                if self.takes_clients() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            plain(status, "")
        } else {
            let class = self.class(request.uri());
            let served = if shed {
                Err((StatusCode::SERVICE_UNAVAILABLE, "too many connections"))
            } else {
                self.serve_request(request, turn).await
            };
            match served {
                Ok(reply) => reply,
                Err((StatusCode::SERVICE_UNAVAILABLE, problem)) => {
                    class.into_iter().for_each(|class| self.counters.ended(class, End::Rejected));
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
        let in_the_way = asks_ready && self.budget.crowded();
        if self.draining.get() || shed || turn.last.get() || in_the_way {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// A refusal of our own: there is room once the first silent connections have been closed.
    fn no_room(&self, text: &'static str) -> Reply {
        let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, text);
        if self.settings.limits.retry_after {
            say_when(&mut reply, FIRST_MOST.min(self.settings.limits.max_retry_after));
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
        let (mut request, time) = self.read(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > LARGE_MOST {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        let (first, rest) = hold(body, turn.body_until()).await?;
        // What passes through has buffers of its own on both sides.
        let _buffers = match &rest {
            Some(_) => Some(self.budget.take(Holder::Request).ok_or(busy)?),
            None => None,
        };
        // The client counts from its last byte.
        let came = Instant::now();
        let named = head.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default();
        // Whoever sends another client's id sends no request of its own: endpoints would answer 400.
        if !self.ids.borrow_mut().insert(named.to_owned()) {
            return Err((StatusCode::CONFLICT, "X-Request-ID is not fresh"));
        }
        let taken = self.counters.taken(request.class.0);
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        let mut waiting = Waiting { inbound: self.clone(), id, named: named.to_owned(), answered: false };
        drop_hop_headers(&mut head.headers);
        let (answer, answered) = oneshot::channel();
        let ours = time - ANSWER_MARGIN.min(time / 10);
        let mut passed = None;
        let (body, deadline, latest) = match rest {
            None => (Content::Held(first), came + ours, came + time),
            Some(rest) => {
                request.passing = true;
                let pieces = Pieces::of_client(first, rest);
                let inbox = self.inbox.clone();
                let upload = Upload::new(pieces, ours, move |deadline| {
                    let _ = inbox.send(Input::Whole(id, deadline)); // fails only while the process ends
                });
                passed = Some(upload.clone());
                (Content::Passed(upload), came + UPLOAD_MOST, came + UPLOAD_MOST)
            }
        };
        let forward = Forward { method: head.method, uri: head.uri, headers: head.headers, body };
        let arrival = Arrival { request, deadline, forward, answer };
        let _ = self.inbox.send(Input::Arrived(Box::new(arrival)));
        // Where the module were to forget a request, its client would still be told in time.
        let answer = timeout_at(latest, answered).await;
        waiting.answered = answer.is_ok();
        if let Some(upload) = passed.filter(|upload| !upload.is_whole()) {
            spawn_local(async move { upload.discard().await });
        }
        if let Ok(Ok(Answer::Passing(passing))) = answer {
            let (answer, turn) = (Some(*passing), turn.clone());
            turn.moved.set(Some(Instant::now()));
            turn.turned.notify_one();
            let (taken, _memory, _waiting) = (Some(taken), memory, waiting);
            let passing = PassingAnswer { answer, taken, turn, _memory, _waiting };
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

    /// The class that a path names.
    fn class(&self, uri: &hyper::Uri) -> Option<usize> {
        let name = uri.path().split('/').nth(1).unwrap_or_default();
        self.classes.iter().position(|class| class == name)
    }

    /// What the module is to know of a request, and the client's time.
    fn read(
        &self,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Result<(gullpulley::Request, Duration), (StatusCode, &'static str)> {
        let bad = |problem| (StatusCode::BAD_REQUEST, problem);
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let class = self.class(uri).ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        if text("x-request-id").is_none_or(str::is_empty) {
            return Err(bad("X-Request-ID is missing"));
        }
        let keyed = headers.contains_key("idempotency-key");
        let (wanted, key_wanted) = match self.settings.classes[class].semantics {
            Semantics::Safe => (Method::GET, keyed),
            Semantics::Keyed { .. } => (Method::POST, true),
            Semantics::Unsafe => (Method::POST, false),
        };
        if *method != wanted {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the class's method"));
        }
        if keyed != key_wanted {
            return Err(bad("Idempotency-Key does not go with the class"));
        }
        let time = text("x-timeout").and_then(parse_timeout).ok_or(bad("X-Timeout is missing or bad"))?;
        // However long a client says that it waits: what is kept for a request must not pile up.
        let time = time.min(self.settings.classes[class].deadline);
        let tenant = match text("x-tenant-id") {
            _ if self.tenants.is_empty() => 0,
            Some(name) => {
                self.tenants.iter().position(|tenant| tenant == name).ok_or(bad("unknown tenant"))?
            }
            None => return Err(bad("X-Tenant-Id is missing")),
        };
        let query = uri.query().unwrap_or_default().split('&');
        let user = query.filter_map(|pair| pair.strip_prefix("user=")).next();
        let work_hint =
            text("x-cost").map(|cost| micros(cost, 1.0).ok_or(bad("X-Cost is bad"))).transpose()?;
        let request = gullpulley::Request {
            id: RequestId(0),
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left: Duration::ZERO,
            work_hint,
            key: user.and_then(|user| u64::from_str_radix(user, 16).ok()),
            passing: false,
            client_retry: text("x-retried") == Some("1"),
            write: text("x-attrs")
                .is_some_and(|attrs| attrs.split(',').any(|attr| attr.trim() == "write=1")),
        };
        Ok((request, time))
    }
}

/// Reads a body as far as it is held; with the rest of a longer one.
async fn hold(
    mut body: Incoming,
    lag_until: Instant,
) -> Result<(Bytes, Option<Incoming>), (StatusCode, &'static str)> {
    let mut text = Vec::new();
    while text.len() <= BODY_MOST {
        let until = lag_until + Duration::from_secs_f64(text.len() as f64 / BODY_PACE);
        match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => text.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Ok(Some(Err(_))) => return Err((StatusCode::BAD_REQUEST, "body broken")),
            Ok(None) => return Ok((text.into(), None)),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body never came")),
        }
    }
    Ok((text.into(), Some(body)))
}

/// Waits for a time; for ever if there is none.
async fn reached(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::Held(Full::new(Bytes::from_static(text.as_bytes()))));
    *reply.status_mut() = status;
    reply
}

/// Says after how long to come back.
fn say_when(reply: &mut Reply, wait: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// A number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix('m') {
        Some(number) => micros(number, 1000.0),
        None => micros(text.strip_suffix('u')?, 1.0),
    };
    time.filter(|time| !time.is_zero())
}

/// A number of units of so many microseconds.
fn micros(number: &str, unit: f64) -> Option<Duration> {
    let micros = number.parse::<f64>().ok()? * unit;
    (micros >= 0.0 && micros.is_finite()).then(|| Duration::from_micros(micros as u64))
}

/// Removes what concerns the client's connection alone, and what is set anew for each attempt.
fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != "x-request-id" && *name != "idempotency-key")
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
