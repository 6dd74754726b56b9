//! A single call to discovery, with logging and counting, and the reasons for which a call or a watch ends.

use super::abort_on_drop::AbortOnDrop;
use super::discovery_health::{DiscoveryHealth, Outcome};
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

/// Time-out for connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out for the answer to a call. Discovery serves calls one after another, queues the others under
/// load, and rejects a call that has waited 3 s. A shorter time-out would keep it busy with abandoned
/// calls, and would leave open whether the call was lost.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(3100);
/// A call refused within this has not waited in discovery's queue.
const IMMEDIATE_REFUSAL: Duration = Duration::from_millis(250);

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchEnd {
    /// Nothing was received for too long.
    #[error("the watch fell silent")]
    Silent,
    /// The call that opens it failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// It was closed or reset, or delivered data that is not a list.
    #[error("{0}")]
    Broken(String),
    /// It delivered a list that is older than one received before.
    #[error("answered with list version {received}, older than version {held} received before")]
    Outdated {
        /// The version that it delivered.
        received: u64,
        /// The version received before.
        held: u64,
    },
}

impl WatchEnd {
    /// The failure of discovery that follows from the end of a watch after this long.
    pub fn failure(&self, lasted: Duration) -> DiscoveryFailure {
        match self {
            WatchEnd::Call(CallError::NotConnected(error))
                if error.kind() == io::ErrorKind::ConnectionRefused =>
            {
                DiscoveryFailure::NotListening
            }
            WatchEnd::Call(CallError::ConnectTimedOut | CallError::NotConnected(_)) => {
                DiscoveryFailure::NotConnected
            }
            WatchEnd::Call(_) if lasted < IMMEDIATE_REFUSAL => DiscoveryFailure::RefusedAtOnce,
            WatchEnd::Call(CallError::Status(StatusCode::SERVICE_UNAVAILABLE)) => {
                DiscoveryFailure::SentAway
            }
            WatchEnd::Silent => DiscoveryFailure::WatchSilent,
            _ => DiscoveryFailure::Unanswered,
        }
    }
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection was not established in time.
    #[error("connecting timed out")]
    ConnectTimedOut,
    /// The connection was refused, or the address is unreachable.
    #[error("{0}")]
    NotConnected(io::Error),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// A status other than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The connection was reset, or delivered an invalid answer.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The request could not be built.
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

/// Why fetching the whole list failed.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The call failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The call was answered, but the list did not arrive in time.
    #[error("the body of the answer timed out")]
    TimedOut,
    /// The answer was truncated or is too long.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The body is not a valid list.
    #[error("invalid list: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// A call in progress; logs a line when it is dropped before it has ended.
struct PendingCall {
    started: Instant,
    address: SocketAddr,
    ended: bool,
}

impl PendingCall {
    fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.ended {
            info!(address = %self.address, outcome = "dropped", ms = self.ms(), "call");
        }
    }
}

/// Makes a call, and logs and counts its outcome. A call that is dropped has no outcome: discovery's
/// address has changed or another call has delivered the list.
pub async fn call(
    address: SocketAddr,
    path: &str,
    health: &DiscoveryHealth,
) -> Result<(Response<Incoming>, AbortOnDrop), CallError> {
    let mut pending = PendingCall { started: Instant::now(), address, ended: false };
    let result = send_call(address, path).await;
    pending.ended = true;
    let outcome = result.as_ref().map_or_else(CallError::outcome, |_| Outcome::Answered);
    health.record_call(outcome);
    info!(%address, path, outcome = outcome.name(), ms = pending.ms(), "call");
    result
}

async fn send_call(
    address: SocketAddr,
    path: &str,
) -> Result<(Response<Incoming>, AbortOnDrop), CallError> {
    let connect = timeout(CONNECT_TIMEOUT, TcpConnection::connect(address)).await;
    let connection = connect.map_err(|_| CallError::ConnectTimedOut)?.map_err(CallError::NotConnected)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(connection)).await?;
    let task = spawn_local(connection);
    let guard = AbortOnDrop::new(task.abort_handle());
    let request =
        Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = timeout(ANSWER_TIMEOUT, sender.send_request(request)).await;
    let response = answer.map_err(|_| CallError::TimedOut)??;
    match response.status() {
        StatusCode::OK => Ok((response, guard)),
        status => Err(CallError::Status(status)),
    }
}
