//! The operators' door: readiness, figures, and taking endpoints out and back. One call to a connection.

use super::counters::Counters;
use super::guard::Guard;
use super::inbound::Inbound;
use super::manual_ejections::{ManualEjectionError, ManualEjectionStore, ManualEjections, Order, Version};
use super::message::{Inbox, Input};
use gullpulley::config::DOOR_MOST;
use gullpulley::{BalancerStats, TcpConnection};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, oneshot};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::{error, info};

/// A call must have come whole within this of its connection.
const CALL_MOST: Duration = Duration::from_secs(2);
/// A connection is over within this: who does not read its answer must not keep a place.
const TALK_MOST: Duration = Duration::from_secs(5);
/// The body of a call says nothing, and is no longer than this.
const BODY_MOST: usize = 16 * 1024;
/// Buffer of a connection; also bounds a call's head.
const BUFFER_MOST: usize = 16 * 1024;
/// How often what other processes of this sidecar were ordered is looked up.
const FOLLOW: Duration = Duration::from_millis(50);
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The type of OpenMetrics text.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the door needs of the rest of the sidecar.
pub struct AdminApi {
    ejections: ManualEjectionStore,
    counters: Rc<Counters>,
    inbound: Rc<Inbound>,
    inbox: Inbox,
    /// Orders are carried out one after another.
    ordering: Mutex<()>,
    callers: RefCell<VecDeque<Caller>>,
}

/// How far a process has followed the file of orders; none is the version of a file that is not there.
#[derive(Clone, Copy, PartialEq)]
pub enum Followed {
    /// This version is in force.
    InForce(Option<Version>),
    /// This version could not be read when last looked at, which the log says once: it is looked at again until it can be.
    Unread(Option<Version>),
}

struct Caller {
    /// Its call has come whole.
    asked: Rc<Cell<bool>>,
    over: Rc<Cell<bool>>,
    /// Dropping it ends the connection.
    _talk: Guard,
}

type Reply = Response<Full<Bytes>>;

/// What a path stands for.
enum Place<'a> {
    Ready,
    Metrics,
    Fleet,
    Drain,
    Endpoint(&'a str, Order),
}

impl<'a> Place<'a> {
    fn of(path: &'a str) -> Option<Self> {
        let mut parts = path.strip_prefix("/v1/")?.split('/');
        let place = match (parts.next()?, parts.next(), parts.next()) {
            ("readyz", None, None) => Place::Ready,
            ("metrics", None, None) => Place::Metrics,
            ("fleet", None, None) => Place::Fleet,
            ("drain", None, None) => Place::Drain,
            ("endpoints", Some(uid), Some("suspend")) => Place::Endpoint(uid, Order::Suspend),
            ("endpoints", Some(uid), Some("resume")) => Place::Endpoint(uid, Order::Resume),
            _ => return None,
        };
        parts.next().is_none().then_some(place)
    }

    fn method(&self) -> Method {
        match self {
            Place::Ready | Place::Metrics | Place::Fleet => Method::GET,
            Place::Drain | Place::Endpoint(..) => Method::POST,
        }
    }
}

impl AdminApi {
    /// A door onto these.
    pub fn new(
        ejections: ManualEjectionStore,
        counters: Rc<Counters>,
        inbound: Rc<Inbound>,
        inbox: Inbox,
    ) -> Rc<Self> {
        let (ordering, callers) = Default::default();
        Rc::new(AdminApi { ejections, counters, inbound, inbox, ordering, callers })
    }

    /// Takes calls for as long as the process lives.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(_) => sleep(ACCEPT_PAUSE).await, // out of descriptors, say; the clients' side logs it
            }
        }
    }

    /// Carries out what other processes of this sidecar were ordered, from here on.
    pub async fn follow(self: Rc<Self>, mut followed: Followed) {
        loop {
            sleep(FOLLOW).await;
            followed = self.look(followed).await;
        }
    }

    /// Has the orders in force as the file says them, where they are not yet; how far that came.
    pub async fn look(&self, followed: Followed) -> Followed {
        let version = self.ejections.version();
        if followed == Followed::InForce(version) {
            return followed;
        }
        let _turn = self.ordering.lock().await;
        match self.ejections.read() {
            Ok(standing) => {
                self.enforce(standing).await;
                Followed::InForce(version)
            }
            Err(problem) => {
                let unread = Followed::Unread(version);
                if followed != unread {
                    error!("suspended endpoints: {problem}; what is in force stays");
                }
                unread
            }
        }
    }

    /// Makes room where it is wanted, at the cost of the caller that has been silent longest.
    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let mut callers = self.callers.borrow_mut();
        callers.retain(|caller| !caller.over.get());
        if callers.len() >= DOOR_MOST {
            match callers.iter().position(|caller| !caller.asked.get()) {
                Some(silent) => drop(callers.remove(silent)),
                None => return, // all are being answered
            }
        }
        let (asked, over) = <(Rc<Cell<bool>>, Rc<Cell<bool>>)>::default();
        let (this, flags) = (self.clone(), (asked.clone(), over.clone()));
        let talk = spawn_local(async move {
            let _ = timeout(TALK_MOST, this.talk(stream, &flags.0)).await;
            flags.1.set(true);
        });
        callers.push_back(Caller { asked, over, _talk: Guard::new(talk.abort_handle()) });
    }

    async fn talk(&self, stream: TcpStream, asked: &Cell<bool>) {
        let service = service_fn(|request| self.answer(request, asked));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(CALL_MOST)
            .keep_alive(false)
            .max_buf_size(BUFFER_MOST)
            .serve_connection(TokioIo::new(TcpConnection::new(stream)), service);
        let _ = connection.await; // an error here is the caller's
    }

    async fn answer(&self, request: Request<Incoming>, asked: &Cell<bool>) -> Result<Reply, Infallible> {
        let (head, body) = request.into_parts();
        // A call that breaks off is none: it must not be carried out.
        let reply = match timeout(CALL_MOST, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(_)) => {
                asked.set(true);
                self.call(&head.method, &head.uri).await
            }
            Ok(Err(_)) => text(StatusCode::BAD_REQUEST, "the body is broken or too long\n"),
            Err(_) => text(StatusCode::REQUEST_TIMEOUT, "the body never came\n"),
        };
        Ok(reply)
    }

    async fn call(&self, method: &Method, uri: &Uri) -> Reply {
        let Some(place) = Place::of(uri.path()) else {
            return text(StatusCode::NOT_FOUND, "no such path\n");
        };
        if *method != place.method() {
            let mut reply = text(StatusCode::METHOD_NOT_ALLOWED, "not this path's method\n");
            let allowed = if place.method() == Method::GET { "GET" } else { "POST" };
            reply.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
            return reply;
        }
        match place {
            Place::Ready if self.inbound.takes_clients() => text(StatusCode::OK, "ready\n"),
            Place::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n"),
            Place::Metrics => match self.ask(Input::Stats).await {
                Some(stats) => self.figures(stats, uri.query()),
                None => text(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
            },
            Place::Fleet => match self.counters.fleet() {
                Some(report) => text(StatusCode::OK, report),
                None => text(StatusCode::NOT_FOUND, "this process is in no fleet\n"),
            },
            Place::Drain => {
                info!("operators: drain");
                self.inbound.drain();
                text(StatusCode::OK, "draining\n")
            }
            Place::Endpoint(uid, order) => self.order(uid, order).await,
        }
    }

    /// The figures, in the form that is asked for.
    fn figures(&self, stats: BalancerStats, query: Option<&str>) -> Reply {
        match query.and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("format="))) {
            None => text(StatusCode::OK, self.counters.report(stats)),
            Some("openmetrics") => {
                let mut reply = text(StatusCode::OK, self.counters.open_metrics(stats));
                reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS));
                reply
            }
            Some(_) => text(StatusCode::BAD_REQUEST, "format is openmetrics, or left out\n"),
        }
    }

    async fn order(&self, uid: &str, order: Order) -> Reply {
        let _turn = self.ordering.lock().await;
        if self.ask(|to| Input::Known(uid.to_owned(), to)).await != Some(true) {
            return text(StatusCode::NOT_FOUND, "no endpoint has this id\n");
        }
        let (ejections, kept) = (self.ejections.clone(), uid.to_owned());
        // A slow disk must not hold up requests.
        match spawn_blocking(move || ejections.keep(&kept, order)).await {
            Ok(Ok(standing)) => {
                self.enforce(standing).await;
                text(StatusCode::OK, if order == Order::Suspend { "suspended\n" } else { "in use\n" })
            }
            Ok(Err(ManualEjectionError::NotDurable(standing, problem))) => {
                error!(endpoint = uid, "operators: {uid}: in force, and not durable: {problem}");
                self.enforce(standing).await;
                text(StatusCode::INTERNAL_SERVER_ERROR, "this is in force, and a power cut may lose it\n")
            }
            Ok(Err(problem)) => {
                error!(endpoint = uid, "operators: {uid}: {problem}");
                text(StatusCode::INTERNAL_SERVER_ERROR, "this could not be recorded, and is not in force\n")
            }
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "this was not carried out\n"),
        }
    }

    /// Puts a standing in force.
    async fn enforce(&self, standing: ManualEjections) {
        let _ = self.ask(|done| Input::Standing(standing, done)).await; // fails only while the process ends
    }

    /// Asks the driver; none while the process ends.
    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (to, answer) = oneshot::channel();
        self.inbox.send(input(to)).ok()?;
        answer.await.ok()
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply
}
