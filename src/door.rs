//! Calls at the operators' door of a running sidecar, for the command line.

use gullpulley::TcpConnection;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A door that has not answered after this is not going to: an order waits for a disk, at the most.
const PATIENCE: Duration = Duration::from_secs(10);
/// No answer of a door is longer.
const ANSWER_MOST: usize = 4 << 20;

/// Why a call brought nothing.
#[derive(Debug, Error)]
pub enum DoorError {
    /// There is no such call: a uid that no path can hold, say.
    #[error("this can't be asked of a door: {0}")]
    Call(String),
    /// Nobody answered.
    #[error("the door at {0}: {1}")]
    Unreached(SocketAddr, String),
    /// The answer is no.
    #[error("the door at {0} answers {1}: {2}")]
    Refused(SocketAddr, u16, String),
}

/// Whether a sidecar takes clients, and its figures: a line each, or one JSON object.
pub fn status(door: SocketAddr, json: bool) -> Result<String, DoorError> {
    let (ready, said) = call(door, Method::GET, "/v1/readyz")?;
    let figures = granted(door, call(door, Method::GET, "/v1/metrics")?)?;
    let figures = figures.lines().filter_map(|line| line.strip_prefix("svc.")?.split_once('='));
    if json {
        let mut object = serde_json::Map::new();
        object.insert("ready".to_owned(), (ready == StatusCode::OK).into());
        object.extend(figures.map(|(name, value)| (name.to_owned(), value.parse::<u64>().ok().into())));
        return Ok(serde_json::Value::Object(object).to_string());
    }
    let lines = std::iter::once(("clients", said.trim_end())).chain(figures);
    Ok(lines.map(|(name, value)| format!("{name:<44} {value}\n")).collect())
}

/// Gives an order, such as `endpoints/UID/suspend`; what the door answers.
pub fn post(door: SocketAddr, order: &str) -> Result<String, DoorError> {
    granted(door, call(door, Method::POST, &format!("/v1/{order}"))?)
}

fn granted(door: SocketAddr, (status, said): (StatusCode, String)) -> Result<String, DoorError> {
    let refused = || DoorError::Refused(door, status.as_u16(), said.trim_end().to_owned());
    if status == StatusCode::OK { Ok(said) } else { Err(refused()) }
}

fn call(door: SocketAddr, method: Method, path: &str) -> Result<(StatusCode, String), DoorError> {
    let request = Request::builder().method(method).uri(path).header(header::HOST, door.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|e| DoorError::Call(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| DoorError::Unreached(door, e.to_string()))?;
    match runtime.block_on(async { timeout(PATIENCE, exchange(door, request)).await }) {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(problem)) => Err(DoorError::Unreached(door, problem)),
        Err(_) => Err(DoorError::Unreached(door, format!("no answer within {} s", PATIENCE.as_secs()))),
    }
}

async fn exchange(
    door: SocketAddr,
    request: Request<Empty<Bytes>>,
) -> Result<(StatusCode, String), String> {
    let stream = TcpStream::connect(door).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(TcpConnection::new(stream))).await.map_err(|e| e.to_string())?;
    tokio::spawn(connection); // ends with the runtime
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let body =
        Limited::new(response.into_body(), ANSWER_MOST).collect().await.map_err(|e| e.to_string())?;
    Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}
