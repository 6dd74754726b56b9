//! Inputs of the driver, and requests and answers as they are exchanged with it.

use super::list_translator::ListUpdate;
use super::manual_ejections::ManualEjections;
use super::outbound::{AttemptResult, StreamedAnswer};
use super::progress::Progress;
use super::upload::{AttemptBody, StreamedAttempt, Upload, UploadEvent};
use gullpulley::{AttemptNo, BalancerStats, EndpointId, RequestId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Where the rest of the sidecar sends inputs to the driver.
pub type Inbox = UnboundedSender<Input>;

/// Something that the driver has to handle.
pub enum Input {
    /// A request has arrived; its body is complete or will be streamed.
    Request(Box<IncomingRequest>),
    /// The streamed body of a request has been received, or forwarded, completely.
    Upload(RequestId, UploadEvent),
    /// The client of a request, with this X-Request-ID, has left.
    ClientGone(RequestId, String),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    /// A large answer that had begun failed at this endpoint.
    AnswerBroken(EndpointId),
    /// A probe ended, after this time.
    ProbeEnded(EndpointId, AttemptResult, Duration),
    /// An update from discovery.
    ListUpdate(ListUpdate),
    /// Asks whether an endpoint has this uid.
    IsKnown(String, oneshot::Sender<bool>),
    /// The current manual ejections and resumptions; confirmed once they are in effect.
    ManualEjections(ManualEjections, oneshot::Sender<()>),
    /// Number of processes that this sidecar consists of.
    SidecarProcesses(usize),
    /// Number of balancers that share the load.
    BalancerCount(u32),
    /// Asks for the number of endpoints and other figures.
    Stats(oneshot::Sender<BalancerStats>),
    /// The process must exit: fail the pending requests.
    FailPending,
}

/// A request as it arrived.
pub struct IncomingRequest {
    /// As the policy sees it; the driver sets its remaining time.
    pub request: gullpulley::Request,
    /// When the answer must be on its way.
    pub deadline: Instant,
    /// What is forwarded to an endpoint.
    pub forward: ForwardedRequest,
    /// How long an endpoint may go on with an attempt that nobody waits for; none where it may run twice.
    pub may_run_for: Option<Duration>,
    /// Receives the final answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A request as it is forwarded to an endpoint.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
}

/// The body of a request.
pub enum RequestBody {
    /// Complete in memory.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streamed(Rc<Upload>),
}

impl RequestBody {
    /// Sending has begun, so the body can't be sent again.
    pub fn is_send_started(&self) -> bool {
        matches!(self, RequestBody::Streamed(upload) if upload.is_send_started())
    }

    /// The body did not end properly.
    pub fn failed_at_client(&self) -> bool {
        matches!(self, RequestBody::Streamed(upload) if upload.failed_at_client())
    }
}

/// A final answer.
pub enum Answer {
    /// Served, with the body of an endpoint's answer.
    Served(Bytes),
    /// Served, with a large answer that has begun.
    Streamed(Box<StreamedAnswer>),
    /// Refused: a retry is harmless, after this time if one is given.
    Refused(Option<Duration>),
    /// Failed.
    Failed,
    /// Failed because the request itself is invalid.
    BadRequest,
}

impl ForwardedRequest {
    /// Its X-Request-ID.
    pub fn x_request_id(&self) -> &str {
        self.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// The request of an attempt at this address. The time-out header is set when it is written.
    pub fn attempt_request(&self, address: SocketAddr, progress: &Rc<Progress>) -> Request<AttemptBody> {
        let body = match &self.body {
            RequestBody::Buffered(body) => AttemptBody::Buffered(Full::new(body.clone())),
            RequestBody::Streamed(upload) => {
                AttemptBody::Streamed(StreamedAttempt::new(upload.clone(), progress.clone()))
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static(""));
        headers.insert(header::HOST, host);
        request
    }
}
