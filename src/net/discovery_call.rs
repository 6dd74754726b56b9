//! One call at discovery: made, logged and counted, and why it or the watch that it opened ended.

use super::discovery_health::{DiscoveryHealth, Outcome};
use super::guard::Guard;
use gullpulley::{DiscoveryFailure, TcpConnection};
use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use tracing::info;

/// A connection to discovery that is not up after this long has failed.
const CONNECT: Duration = Duration::from_secs(1);
/// A call not answered after this long has failed. Discovery answers one call after another, a crowd of
/// callers waits, and it sends away after 3 s: to give up sooner, again and again, would keep it busy with what nobody
/// waits for, and leave unknown whether the call was lost.
pub const ANSWER: Duration = Duration::from_millis(3100);
/// A call refused sooner has not waited for its turn at discovery.
const AT_ONCE: Duration = Duration::from_millis(250);

/// Why a watch is over.
#[derive(Debug, Error)]
pub enum Over {
    /// Nothing came for too long.
    #[error("the watch fell silent")]
    Silent,
    /// The call for it failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// It ended, or brought what is no list.
    #[error("{0}")]
    Broken(String),
    /// It told of a list that was superseded before.
    #[error("answered with version {told} of the list, older than version {held} that was told before")]
    Older {
        /// What it told.
        told: u64,
        /// What was told before.
        held: u64,
    },
}

impl Over {
    /// What a watch that lasted so long says of discovery.
    pub fn failure(&self, lasted: Duration) -> DiscoveryFailure {
        match self {
            Over::Call(CallError::NotConnected(error))
                if error.kind() == io::ErrorKind::ConnectionRefused =>
            {
                DiscoveryFailure::NotListening
            }
            Over::Call(CallError::ConnectTimedOut | CallError::NotConnected(_)) => {
                DiscoveryFailure::NotConnected
            }
            Over::Call(_) if lasted < AT_ONCE => DiscoveryFailure::RefusedAtOnce,
            Over::Call(CallError::Status(StatusCode::SERVICE_UNAVAILABLE)) => DiscoveryFailure::SentAway,
            Over::Silent => DiscoveryFailure::WatchSilent,
            _ => DiscoveryFailure::Unanswered,
        }
    }
}

/// Why a call has failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection did not come up.
    #[error("no connection in time")]
    ConnectTimedOut,
    /// The connection was refused, or nothing leads there.
    #[error("{0}")]
    NotConnected(io::Error),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// Another status than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The connection broke, or brought what is no answer.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The request could not be worded.
    #[error("{0}")]
    Unsendable(#[from] hyper::http::Error),
}

impl CallError {
    fn outcome(&self) -> Outcome {
        match self {
            CallError::ConnectTimedOut | CallError::TimedOut => Outcome::TimedOut,
            CallError::NotConnected(_) => Outcome::NotConnected,
            CallError::Status(StatusCode::SERVICE_UNAVAILABLE) => Outcome::Unavailable,
            CallError::Status(_) => Outcome::OtherStatus,
            CallError::Broken(_) | CallError::Unsendable(_) => Outcome::Broken,
        }
    }
}

/// Why the whole list did not come.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The call failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// It was answered, and the list did not come in time.
    #[error("the list never came")]
    TimedOut,
    /// The answer broke off, or is too long.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// What came is no list.
    #[error("no list: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// A call that has begun. Dropped before it has ended, it says so in the log.
struct PendingCall {
    began: Instant,
    address: SocketAddr,
    ended: bool,
}

impl PendingCall {
    fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.ended {
            info!(address = %self.address, outcome = "dropped", ms = self.ms(), "call");
        }
    }
}

/// Makes a call, and logs what became of it. One that is dropped, as discovery has moved or another call has brought
/// the list, has no outcome.
pub async fn call(
    address: SocketAddr,
    path: &str,
    health: &DiscoveryHealth,
) -> Result<(Response<Incoming>, Guard), CallError> {
    let mut pending = PendingCall { began: Instant::now(), address, ended: false };
    let answered = attempt(address, path).await;
    pending.ended = true;
    let outcome = answered.as_ref().map_or_else(CallError::outcome, |_| Outcome::Answered);
    health.called(outcome);
    info!(%address, path, outcome = outcome.name(), ms = pending.ms(), "call");
    answered
}

async fn attempt(address: SocketAddr, path: &str) -> Result<(Response<Incoming>, Guard), CallError> {
    let connect = timeout(CONNECT, TcpConnection::connect(address)).await;
    let connection = connect.map_err(|_| CallError::ConnectTimedOut)?.map_err(CallError::NotConnected)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(connection)).await?;
    let task = spawn_local(connection);
    let guard = Guard::new(task.abort_handle());
    let request =
        Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = timeout(ANSWER, sender.send_request(request)).await;
    let response = answer.map_err(|_| CallError::TimedOut)??;
    match response.status() {
        StatusCode::OK => Ok((response, guard)),
        status => Err(CallError::Status(status)),
    }
}
