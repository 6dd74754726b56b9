//! The admin API: readiness, metrics, drain, and suspending and resuming endpoints. One call per
//! connection.

use super::abort_on_drop::AbortOnDrop;
use super::counters::Counters;
use super::inbound::Inbound;
use super::manual_ejections::Order;
use super::message::{Inbox, Input};
use super::orders::{OrderOutcome, Orders};
use gullpulley::config::ADMIN_MAX_CONNECTIONS;
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
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::info;

/// Time-out for receiving a call, from when its connection is accepted.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum lifetime of a connection: a caller that does not read its answer must not occupy a slot.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length in bytes of a call's body, which is ignored.
const MAX_BODY: usize = 16 * 1024;
/// Buffer size in bytes of a connection; also limits a call's head.
const BUFFER_SIZE: usize = 16 * 1024;
/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The content type of OpenMetrics text.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The admin API of one process.
pub struct AdminApi {
    orders: Rc<Orders>,
    counters: Rc<Counters>,
    inbound: Rc<Inbound>,
    inbox: Inbox,
    connections: RefCell<VecDeque<Connection>>,
}

struct Connection {
    /// Its call has been received completely.
    received: Rc<Cell<bool>>,
    closed: Rc<Cell<bool>>,
    /// Dropping it closes the connection.
    _task: AbortOnDrop,
}

type Reply = Response<Full<Bytes>>;

/// The resource that a path names.
enum Resource<'a> {
    Ready,
    Metrics,
    Fleet,
    Drain,
    Endpoint(&'a str, Order),
}

impl<'a> Resource<'a> {
    fn of(path: &'a str) -> Option<Self> {
        let mut parts = path.strip_prefix("/v1/")?.split('/');
        let resource = match (parts.next()?, parts.next(), parts.next()) {
            ("readyz", None, None) => Resource::Ready,
            ("metrics", None, None) => Resource::Metrics,
            ("fleet", None, None) => Resource::Fleet,
            ("drain", None, None) => Resource::Drain,
            ("endpoints", Some(uid), Some("suspend")) => Resource::Endpoint(uid, Order::Suspend),
            ("endpoints", Some(uid), Some("resume")) => Resource::Endpoint(uid, Order::Resume),
            _ => return None,
        };
        parts.next().is_none().then_some(resource)
    }

    fn method(&self) -> Method {
        match self {
            Resource::Ready | Resource::Metrics | Resource::Fleet => Method::GET,
            Resource::Drain | Resource::Endpoint(..) => Method::POST,
        }
    }
}

impl AdminApi {
    /// Creates the admin API on these parts of the sidecar.
    pub fn new(orders: Rc<Orders>, counters: Rc<Counters>, inbound: Rc<Inbound>, inbox: Inbox) -> Rc<Self> {
        Rc::new(AdminApi { orders, counters, inbound, inbox, connections: RefCell::default() })
    }

    /// Accepts calls for as long as the process lives.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(_) => sleep(ACCEPT_PAUSE).await, // e.g. out of descriptors; the clients' listener logs it
            }
        }
    }

    /// Accepts a connection; at the limit it closes the oldest one whose call has not been received yet.
    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.closed.get());
        if connections.len() >= ADMIN_MAX_CONNECTIONS {
            match connections.iter().position(|connection| !connection.received.get()) {
                Some(unanswered) => drop(connections.remove(unanswered)),
                None => return, // all calls are being answered
            }
        }
        let (received, closed) = <(Rc<Cell<bool>>, Rc<Cell<bool>>)>::default();
        let (this, flags) = (self.clone(), (received.clone(), closed.clone()));
        let task = spawn_local(async move {
            let _ = timeout(CONNECTION_TIMEOUT, this.handle_connection(stream, &flags.0)).await;
            flags.1.set(true);
        });
        connections.push_back(Connection {
            received,
            closed,
            _task: AbortOnDrop::new(task.abort_handle()),
        });
    }

    async fn handle_connection(&self, stream: TcpStream, received: &Cell<bool>) {
        let service = service_fn(|request| self.answer(request, received));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(CALL_TIMEOUT)
            .keep_alive(false)
            .max_buf_size(BUFFER_SIZE)
            .serve_connection(TokioIo::new(TcpConnection::new(stream)), service);
        let _ = connection.await; // an error here is the caller's
    }

    async fn answer(&self, request: Request<Incoming>, received: &Cell<bool>) -> Result<Reply, Infallible> {
        let (head, body) = request.into_parts();
        // A truncated call must not be carried out.
        let reply = match timeout(CALL_TIMEOUT, Limited::new(body, MAX_BODY).collect()).await {
            Ok(Ok(_)) => {
                received.set(true);
                self.dispatch(&head.method, &head.uri).await
            }
            Ok(Err(_)) => text(StatusCode::BAD_REQUEST, "the body is broken or too long\n"),
            Err(_) => text(StatusCode::REQUEST_TIMEOUT, "the body never came\n"),
        };
        Ok(reply)
    }

    async fn dispatch(&self, method: &Method, uri: &Uri) -> Reply {
        let Some(resource) = Resource::of(uri.path()) else {
            return text(StatusCode::NOT_FOUND, "no such path\n");
        };
        if *method != resource.method() {
            let mut reply = text(StatusCode::METHOD_NOT_ALLOWED, "not this path's method\n");
            let allowed = if resource.method() == Method::GET { "GET" } else { "POST" };
            reply.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
            return reply;
        }
        match resource {
            Resource::Ready if self.inbound.is_serving() => text(StatusCode::OK, "ready\n"),
            Resource::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n"),
            Resource::Metrics => match self.stats().await {
                Some(stats) => self.metrics(stats, uri.query()),
                None => text(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
            },
            Resource::Fleet => match self.counters.fleet() {
                Some(report) => text(StatusCode::OK, report),
                None => text(StatusCode::NOT_FOUND, "this process is in no fleet\n"),
            },
            Resource::Drain => {
                info!("operators: drain requested");
                self.inbound.drain();
                text(StatusCode::OK, "draining\n")
            }
            Resource::Endpoint(uid, order) => self.handle_order(uid, order).await,
        }
    }

    /// The metrics in the requested format.
    fn metrics(&self, stats: BalancerStats, query: Option<&str>) -> Reply {
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

    async fn handle_order(&self, uid: &str, order: Order) -> Reply {
        match self.orders.carry_out(uid, order).await {
            OrderOutcome::Recorded if order == Order::Suspend => text(StatusCode::OK, "suspended\n"),
            OrderOutcome::Recorded => text(StatusCode::OK, "in use\n"),
            OrderOutcome::NotRecordedYet => {
                text(StatusCode::ACCEPTED, "this is in force, and still to be recorded\n")
            }
            OrderOutcome::NotDurable => {
                text(StatusCode::INTERNAL_SERVER_ERROR, "this is in force, and a power cut may lose it\n")
            }
            OrderOutcome::NotRecorded => {
                text(StatusCode::INTERNAL_SERVER_ERROR, "this could not be recorded, and is not in force\n")
            }
            OrderOutcome::TooMany => {
                text(StatusCode::SERVICE_UNAVAILABLE, "too many orders wait; this is not in force\n")
            }
            OrderOutcome::UnknownEndpoint => text(StatusCode::NOT_FOUND, "no endpoint has this id\n"),
            OrderOutcome::Ending => text(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        }
    }

    /// The figures of the policy; none while the process ends.
    async fn stats(&self) -> Option<BalancerStats> {
        let (to, stats) = oneshot::channel();
        self.inbox.send(Input::Stats(to)).ok()?;
        stats.await.ok()
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply
}
