//! What the parts on the sockets tell the driver, and a request and its answer as they pass between them.

use super::list_translator::ListUpdate;
use super::manual_ejections::ManualEjections;
use super::outbound::{AttemptEnd, StreamedAnswer, set_time_left};
use super::progress::Progress;
use super::streamed_body::{AttemptBody, Upload};
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

/// Where the rest of the sidecar reports to the driver.
pub type Inbox = UnboundedSender<Input>;

/// Something that happened on a socket.
pub enum Input {
    /// A request has come whole.
    Request(Box<IncomingRequest>),
    /// The body of a request that was passing has gone on whole; its answer must be on its way by then.
    BodyComplete(RequestId, Instant),
    /// Its client has gone.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptNo, AttemptEnd),
    /// A probe ended; it took so long.
    ProbeEnded(EndpointId, AttemptEnd, Duration),
    /// News from discovery.
    ListUpdate(ListUpdate),
    /// The operators ask whether anybody has this uid.
    IsKnown(String, oneshot::Sender<bool>),
    /// What the operators have said of endpoints, as it stands now; confirmed once it is in force.
    ManualEjections(ManualEjections, oneshot::Sender<()>),
    /// So many processes are this sidecar together.
    SidecarProcesses(usize),
    /// So many balancers share the work.
    BalancerCount(u32),
    /// The operators ask how many endpoints there are.
    Stats(oneshot::Sender<BalancerStats>),
    /// The process must end: fail what is still open.
    FailPending,
}

/// A request as it came in.
pub struct IncomingRequest {
    /// For the module; its time left is set here.
    pub request: gullpulley::Request,
    /// When the answer must be on its way.
    pub deadline: Instant,
    /// What goes on to an endpoint.
    pub forward: ForwardedRequest,
    /// Where the final answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// A request as it goes on to an endpoint.
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
    /// Held whole.
    Buffered(Bytes),
    /// Passed on as it comes.
    Streamed(Rc<Upload>),
}

impl RequestBody {
    /// It has begun to go out, and can't be sent again.
    pub fn is_send_started(&self) -> bool {
        matches!(self, RequestBody::Streamed(upload) if upload.is_send_started())
    }

    /// It came to no proper end.
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
    /// Refused: trying again is harmless, after this long if it is stated.
    Refused(Option<Duration>),
    /// Failed.
    Failed,
    /// Failed by a fault of the request's own.
    BadRequest,
}

impl ForwardedRequest {
    /// Its X-Request-ID.
    pub fn x_request_id(&self) -> &str {
        self.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// As an attempt: to this address. One that is held is told its time as it is written.
    pub fn attempt_request(&self, address: SocketAddr, progress: &Rc<Progress>) -> Request<AttemptBody> {
        let body = match &self.body {
            RequestBody::Buffered(body) => AttemptBody::Buffered(Full::new(body.clone())),
            RequestBody::Streamed(upload) => {
                let (body, progress) = (None, progress.clone());
                AttemptBody::Streamed { upload: upload.clone(), body, progress }
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static(""));
        headers.insert(header::HOST, host);
        if let RequestBody::Streamed(upload) = &self.body {
            set_time_left(headers, upload.answer_time);
        }
        request
    }
}
