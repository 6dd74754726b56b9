//! Client of a running sidecar's admin API, for the command line.

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

/// A sidecar that has not answered by then is not going to: the slowest command waits for the disk.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of the longest answer that is accepted; the admin API sends none that is longer.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call to the admin API failed.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The request can't be built, for example because the uid has characters that a path can't hold.
    #[error("invalid request to the admin API: {0}")]
    InvalidRequest(String),
    /// No complete answer arrived in time.
    #[error("no valid answer from the admin API at {0}: {1}")]
    NoAnswer(SocketAddr, String),
    /// The answer's status says no.
    #[error("the admin API at {0} answers {1}: {2}")]
    Refused(SocketAddr, u16, String),
}

/// Whether a sidecar accepts clients, and its metrics: one per line, or as one JSON object.
pub fn status(address: SocketAddr, json: bool) -> Result<String, AdminError> {
    let (ready, text) = call(address, Method::GET, "/v1/readyz")?;
    let metrics = expect_ok(address, call(address, Method::GET, "/v1/metrics")?)?;
    let metrics = metrics.lines().filter_map(|line| line.strip_prefix("svc.")?.split_once('='));
    if json {
        let mut object = serde_json::Map::new();
        object.insert("ready".to_owned(), (ready == StatusCode::OK).into());
        object.extend(metrics.map(|(name, value)| (name.to_owned(), value.parse::<u64>().ok().into())));
        return Ok(serde_json::Value::Object(object).to_string());
    }
    let lines = std::iter::once(("clients", text.trim_end())).chain(metrics);
    Ok(lines.map(|(name, value)| format!("{name:<44} {value}\n")).collect())
}

/// Posts a command, such as `endpoints/UID/suspend`, and returns the text of the answer.
pub fn post(address: SocketAddr, command: &str) -> Result<String, AdminError> {
    expect_ok(address, call(address, Method::POST, &format!("/v1/{command}"))?)
}

fn expect_ok(address: SocketAddr, (status, text): (StatusCode, String)) -> Result<String, AdminError> {
    let refused = || AdminError::Refused(address, status.as_u16(), text.trim_end().to_owned());
    if status.is_success() { Ok(text) } else { Err(refused()) }
}

fn call(address: SocketAddr, method: Method, path: &str) -> Result<(StatusCode, String), AdminError> {
    let request = Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
    let request =
        request.body(Empty::<Bytes>::new()).map_err(|e| AdminError::InvalidRequest(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| AdminError::NoAnswer(address, e.to_string()))?;
    match runtime.block_on(async { timeout(REQUEST_TIMEOUT, send(address, request)).await }) {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(AdminError::NoAnswer(address, error)),
        Err(_) => {
            Err(AdminError::NoAnswer(address, format!("no answer within {} s", REQUEST_TIMEOUT.as_secs())))
        }
    }
}

async fn send(address: SocketAddr, request: Request<Empty<Bytes>>) -> Result<(StatusCode, String), String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(TcpConnection::new(stream))).await.map_err(|e| e.to_string())?;
    tokio::spawn(connection); // dropped with the runtime
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let body =
        Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await.map_err(|e| e.to_string())?;
    Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}
