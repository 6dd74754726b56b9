//! Clients' connections to the copies, what goes over them, and single calls.

use crate::experiment::{Class, Repeats};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::request::Builder;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// No answer is longer.
const ANSWER_MOST: usize = 4 << 20;

/// Which copy the lab sent a request to, by its number: copies pass it on, and the endpoint sees whose request it is.
pub const COPY: &str = "x-lab-copy";

/// Until when a request's client waits, in microseconds of the lab's own clock; passed on like [`COPY`].
pub const UNTIL: &str = "x-lab-until";

/// A time as [`UNTIL`] has it.
pub fn until_text(until: Instant) -> String {
    until.saturating_duration_since(*CLOCK).as_micros().to_string()
}

/// What is left until a time of [`UNTIL`]; none where it is no such time.
pub fn left_until(text: &str) -> Option<Duration> {
    let until = *CLOCK + Duration::from_micros(text.parse().ok()?);
    Some(until.saturating_duration_since(Instant::now()))
}

/// Where the lab's own clock begins.
static CLOCK: LazyLock<Instant> = LazyLock::new(Instant::now);

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// After how long to come back, where it says so.
    pub retry_after: Option<Duration>,
    /// Its body.
    pub body: String,
}

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoAnswer {
    /// No connection came up: nothing was sent.
    Unreached,
    /// The connection ended, or what came is no answer.
    Broken,
}

/// Connections to one address that wait to be used again.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Pool {
    /// No connections yet.
    pub fn new(address: SocketAddr) -> Self {
        Pool { address, idle: Mutex::default() }
    }

    /// Sends a request, on a connection that is there or on a new one. One that was closed under the request without
    /// an answer gets it once more on a new connection, as the protocol has clients do.
    pub async fn ask(&self, request: Request<Full<Bytes>>) -> Result<Answer, NoAnswer> {
        let kept = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if let Some(sender) = kept.filter(|sender| !sender.is_closed()) {
            match self.exchange(sender, request.clone()).await {
                Err(NoAnswer::Broken) => {}
                answered => return answered,
            }
        }
        let sender = connect(self.address).await.ok_or(NoAnswer::Unreached)?;
        self.exchange(sender, request).await
    }

    async fn exchange(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, NoAnswer> {
        sender.ready().await.map_err(|_| NoAnswer::Broken)?;
        let response = sender.send_request(request).await.map_err(|_| NoAnswer::Broken)?;
        let (head, body) = response.into_parts();
        let seconds =
            head.headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
        let body = Limited::new(body, ANSWER_MOST).collect().await.map_err(|_| NoAnswer::Broken)?;
        if !sender.is_closed() {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
        }
        Ok(Answer {
            status: head.status,
            retry_after: seconds.map(|s: f64| Duration::from_secs_f64(s.clamp(0.0, 60.0))),
            body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        })
    }

    /// Closes what waits.
    pub fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

impl Class {
    /// A request of this class under an id, for a caller that waits for so long; its key goes along where the class has
    /// keys.
    pub fn request(&self, id: &str, key: &str, left: Duration) -> Builder {
        let method = if self.repeats == Repeats::Safe { Method::GET } else { Method::POST };
        let request = Request::builder()
            .method(method)
            .uri(format!("/{}/x?user={id}", self.name))
            .header(header::HOST, "origin.svc")
            .header("x-request-id", id)
            .header("x-timeout", format!("{}u", left.as_micros().max(1)));
        if self.repeats == Repeats::Keyed { request.header("idempotency-key", key) } else { request }
    }
}

/// One call on a connection of its own; none without an answer in time.
pub async fn get(address: SocketAddr, path: &str, within: Duration) -> Option<Answer> {
    let request = Request::get(path).header(header::HOST, address.to_string());
    let request = request.header(header::CONNECTION, "close").body(Full::default()).ok()?;
    timeout(within, Pool::new(address).ask(request)).await.ok()?.ok()
}
