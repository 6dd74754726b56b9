//! Attempts at endpoints and probes, and how they end.

use super::body_limits::{MAX_BODY, MAX_BUFFERED_BODY};
use super::budget::Budget;
use super::connection_pool::{ConnectionPool, EndpointConnection, Purpose};
use super::counters::Counters;
use super::endless_answer::AnswerPace;
use super::progress::Progress;
use super::streamed_body::{BodyError, StreamedBody};
use super::upload::AttemptBody;
use gullpulley::{EndpointId, LoadField, Outcome, Settings};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode, Version};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// No attempt takes longer than this to be written, so a block need not be remembered beyond it.
const BLOCK_RETENTION: Duration = Duration::from_secs(60);
/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest gap within an answer, which even an endpoint that pauses briefly keeps to: one that stalls for
/// longer is broken, and waiting on would use up the time for another attempt.
const ANSWER_GAP_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer of unknown length is streamed if it has not ended after this: it may be a large one, and the
/// client waits for its first bytes.
const STREAM_AFTER: Duration = Duration::from_millis(250);
/// So long before its attempt's time is up, at the latest, it counts as the answer, and is held back for the rest of
/// `STREAM_AFTER` beyond that time.
const STREAM_MARGIN: Duration = Duration::from_millis(20);

/// Where an attempt or a probe goes, and its limits.
#[derive(Clone, Copy)]
pub struct Dispatch {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// When the send was decided: a list update or ejection that arrives later applies to it, even before
    /// the connection work starts.
    pub decided_at: Instant,
    /// Not written later than this, if set.
    pub write_by: Option<Instant>,
    /// How long the answer is waited for, as announced to the endpoint; none if the request already
    /// announces it.
    pub announced_deadline: Option<Instant>,
}

/// Sets the header that tells an endpoint how long its answer is waited for.
pub fn set_time_left(headers: &mut HeaderMap, left: Duration) {
    let text = format!("{}u", left.as_micros());
    let value = HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("")); // always valid
    headers.insert(HeaderName::from_static("x-timeout"), value);
}

/// The result of an attempt or a probe.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The body of a 200, if it is buffered.
    pub body: Bytes,
    /// The rest of a large answer, to be streamed to the client.
    pub streamed: Option<Box<StreamedAnswer>>,
    /// The endpoint says that the request itself is invalid: no other endpoint would accept it either.
    pub bad_request: bool,
    /// The load report, if one came.
    pub report: Option<Vec<f64>>,
    /// How long the connection that brought the answer had been open; none without an answer.
    pub connected_for: Option<Duration>,
}

impl AttemptResult {
    /// The result of an attempt or a probe without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        let (body, streamed, bad_request, report, connected_for) = Default::default();
        AttemptResult { outcome, body, streamed, bad_request, report, connected_for }
    }
}

/// A large answer that has begun, and its connection.
pub struct StreamedAnswer {
    /// What remains to be read.
    pub body: StreamedBody,
    endpoint: EndpointId,
    connection: EndpointConnection,
    reusable: bool,
    pool: Rc<ConnectionPool>,
    /// Until when it is held back, in case it ends or breaks; none if it has been already.
    held_until: Option<Instant>,
}

impl StreamedAnswer {
    /// Waits until it may be passed on.
    ///
    /// # Errors
    /// Why it broke before that.
    pub async fn hold_back(&mut self) -> Result<(), BodyError> {
        match self.held_until.take() {
            Some(until) => self.body.read_until(until).await,
            None => Ok(()),
        }
    }

    /// The endpoint that sends it.
    pub fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    /// The answer is complete: makes its connection available again.
    pub fn complete(self) {
        if self.reusable {
            self.pool.return_idle(self.endpoint, self.connection);
        }
    }
}

/// Sends attempts and probes.
pub struct Outbound {
    /// The connections to endpoints.
    pub pool: Rc<ConnectionPool>,
    /// When an endpoint was last blocked: attempts decided until then that are not yet written are not
    /// sent.
    blocked_at: RefCell<HashMap<EndpointId, Instant>>,
    counters: Rc<Counters>,
    load_fields: Vec<LoadField>,
}

impl Outbound {
    /// Starts without connections.
    pub fn new(settings: &Settings, budget: Rc<Budget>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Outbound {
            pool: ConnectionPool::new(settings, budget),
            blocked_at: RefCell::default(),
            counters,
            load_fields: settings.load_reports.fields.clone(),
        })
    }

    /// The progress of a new attempt.
    pub fn new_progress(&self) -> Progress {
        Progress::counted(self.counters.clone())
    }

    /// Sends one attempt and waits for its end. It is written at most once: only a request that provably
    /// was never written is tried on another connection.
    pub async fn attempt(
        self: &Rc<Self>,
        dispatch: Dispatch,
        mut request: Request<AttemptBody>,
        progress: &Progress,
    ) -> AttemptResult {
        let Dispatch { endpoint, address, decided_at, write_by, announced_deadline } = dispatch;
        let purpose = match request.body() {
            AttemptBody::Buffered(_) => Purpose::SmallBody,
            AttemptBody::Streamed(_) => Purpose::LargeBody,
        };
        let past_write_by = || write_by.is_some_and(|by| Instant::now() >= by);
        let (connection, response, deadline) = loop {
            let (mut connection, fresh) = match self.pool.take_idle(endpoint, address, purpose).await {
                Some(connection) => (connection, false),
                None => match self.pool.connect(address, purpose, write_by).await {
                    Some(connection) => (connection, true),
                    None if past_write_by() => return AttemptResult::without_answer(Outcome::NotSent),
                    None => return AttemptResult::without_answer(Outcome::ConnectFailed),
                },
            };
            // Connecting takes time; an update that arrived meanwhile applies before anything is written.
            if self.blocked_at.borrow().get(&endpoint).is_some_and(|at| *at >= decided_at) {
                return AttemptResult::without_answer(Outcome::ConnectFailed);
            }
            if past_write_by() {
                self.pool.return_idle(endpoint, connection);
                return AttemptResult::without_answer(Outcome::NotSent);
            }
            // Connecting took part of the client's remaining time: the endpoint is told what is left now.
            let upload = match request.body() {
                AttemptBody::Buffered(_) => None,
                AttemptBody::Streamed(attempt) => Some(attempt.upload.clone()),
            };
            let deadline = || upload.as_ref().map(|upload| upload.answer_deadline()).or(announced_deadline);
            let announced_deadline = deadline();
            if let Some(announced_deadline) = announced_deadline {
                set_time_left(
                    request.headers_mut(),
                    announced_deadline.saturating_duration_since(Instant::now()),
                );
            }
            // A streamed body counts as written only with its last frame, and sets this itself.
            match request.body() {
                AttemptBody::Buffered(_) => progress.set_written(true),
                AttemptBody::Streamed(attempt) => {
                    progress.set_written(false);
                    attempt.upload.connected(connection.write_progress.clone());
                }
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => break (connection, response, deadline()),
                Err(mut error) => match error.take_message() {
                    // Returned unsent.
                    Some(unsent) => {
                        progress.set_written(false);
                        request = unsent;
                        if fresh {
                            return AttemptResult::without_answer(Outcome::ConnectFailed);
                        }
                    }
                    // Part of it may have been written, so the endpoint may have received all of it.
                    None => return AttemptResult::without_answer(progress.outcome_on_reset()),
                },
            }
        };
        let reusable = keeps_connection(&response);
        let (mut result, rest) = self.read_answer(response, deadline).await;
        result.connected_for = Some(connection.opened.elapsed());
        match rest {
            Some(BegunBody { body, held_until }) if result.outcome == Outcome::Ok => {
                let pool = self.pool.clone();
                let answer = StreamedAnswer { body, endpoint, connection, reusable, pool, held_until };
                result.streamed = Some(Box::new(answer));
            }
            // The rest of an error's body is not needed.
            Some(_) => {}
            // After an answer to half a request body the other half is still unwritten, and the connection
            // unusable.
            None if reusable && result.outcome != Outcome::Reset && progress.is_written() => {
                self.pool.return_idle(endpoint, connection)
            }
            None => {}
        }
        result
    }

    /// The outcome of an answer. A small answer is read to its end first, so that a break half-way becomes
    /// an outcome and the client never gets a truncated answer. A large one returns the rest of its body,
    /// and its outcome is that of its head.
    async fn read_answer(
        &self,
        response: Response<Incoming>,
        deadline: Option<Instant>,
    ) -> (AttemptResult, Option<BegunBody>) {
        let (head, body) = response.into_parts();
        let not_processed = head.headers.get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
                Outcome::NotProcessed
            }
            _ => Outcome::Error,
        };
        let bad_request = matches!(head.status, StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND);
        let report = self.inline_report(&head.headers);
        let result =
            |body| AttemptResult { body, bad_request, report, ..AttemptResult::without_answer(outcome) };
        match buffer_answer(body, deadline).await {
            Some(AnswerBody::Buffered(body)) => (result(body), None),
            Some(AnswerBody::Streamed(begun)) => (result(Bytes::new()), Some(begun)),
            // The head of a refusal is enough, even if its body did not arrive.
            None if outcome == Outcome::NotProcessed => {
                (AttemptResult::without_answer(Outcome::NotProcessed), None)
            }
            None => (AttemptResult::without_answer(Outcome::Reset), None),
        }
    }

    /// Asks an endpoint for its health, and for its load if load reports are configured.
    pub async fn probe(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr) -> AttemptResult {
        let path = if self.load_fields.is_empty() { "/-/healthy" } else { "/-/load" };
        let request = Request::get(path).header(header::HOST, address.to_string());
        let Ok(request) = request.body(AttemptBody::Buffered(Full::default())) else {
            return AttemptResult::without_answer(Outcome::Error);
        };
        let (progress, decided_at) = (Progress::default(), Instant::now());
        let dispatch = Dispatch { endpoint, address, decided_at, write_by: None, announced_deadline: None };
        match timeout(PROBE_TIMEOUT, self.attempt(dispatch, request, &progress)).await {
            Ok(mut result) => {
                let body = std::mem::take(&mut result.body);
                let in_body = std::str::from_utf8(&body).ok().and_then(|text| self.parse_report(text));
                result.report = in_body.or(result.report);
                result
            }
            Err(_) => AttemptResult::without_answer(progress.outcome_on_timeout()),
        }
    }

    /// Prevents attempts at an endpoint that are not yet written from being sent.
    pub fn block_unwritten(&self, endpoint: EndpointId) {
        self.pool.close_idle(endpoint);
        self.blocked_at.borrow_mut().insert(endpoint, Instant::now());
    }

    /// Periodically closes connections that were idle for too long or closed by the endpoint, and forgets
    /// old blocks.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.pool.sweep();
            // Not done at each block: a list may block all endpoints at once, and scanning all for each
            // would take quadratic time.
            self.blocked_at.borrow_mut().retain(|_, at| at.elapsed() < BLOCK_RETENTION);
        }
    }

    fn inline_report(&self, headers: &HeaderMap) -> Option<Vec<f64>> {
        self.parse_report(headers.get("x-server-load")?.to_str().ok()?)
    }

    /// The values of the configured fields, in their order; none unless all are present.
    fn parse_report(&self, text: &str) -> Option<Vec<f64>> {
        let value = |field: &LoadField| {
            let pairs = text.trim().split(',').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.into_iter().find(|(name, _)| *name == report_key(*field))?;
            value.trim().parse::<f64>().ok().filter(|v| v.is_finite())
        };
        if self.load_fields.is_empty() {
            return None;
        }
        self.load_fields.iter().map(value).collect()
    }
}

/// Whether the endpoint keeps the connection open after this answer.
fn keeps_connection(response: &Response<Incoming>) -> bool {
    let tokens =
        response.headers().get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let closes =
        tokens.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"));
    response.version() == Version::HTTP_11 && !closes
}

/// An answer's body, as read by `buffer_answer`.
enum AnswerBody {
    Buffered(Bytes),
    Streamed(BegunBody),
}

/// The body of an answer that is streamed.
struct BegunBody {
    body: StreamedBody,
    /// Until when it is held back; none if it has been already, or need not be.
    held_until: Option<Instant>,
}

/// Reads an answer into a buffer; one that is large or of unknown length is streamed from there on. None if
/// it breaks or stalls. At the deadline, if there is one, the attempt is given up.
async fn buffer_answer(mut body: Incoming, deadline: Option<Instant>) -> Option<AnswerBody> {
    let size = body.size_hint();
    if size.lower() > MAX_BODY {
        return None; // no endpoint sends this much: the stated length is invalid
    }
    let mut pace = AnswerPace::default();
    if size.lower() > MAX_BUFFERED_BODY as u64 {
        let body = StreamedBody::from_endpoint(Bytes::new(), body, pace);
        return Some(AnswerBody::Streamed(BegunBody { body, held_until: None }));
    }
    let pass_on_at = Instant::now() + STREAM_AFTER;
    let latest = deadline.and_then(|deadline| deadline.checked_sub(STREAM_MARGIN));
    let stream_at = latest.map_or(pass_on_at, |latest| latest.min(pass_on_at));
    let mut buffer = Vec::new();
    loop {
        let asked_at = Instant::now();
        let gap_deadline = asked_at + ANSWER_GAP_TIMEOUT;
        let until = if size.exact().is_some() { gap_deadline } else { gap_deadline.min(stream_at) };
        match timeout_at(until, body.frame()).await {
            Ok(Some(frame)) => {
                let frame = frame.ok()?;
                let data = frame.data_ref().map_or(&[][..], |data| data);
                buffer.extend_from_slice(data);
                pace.record(data.len(), asked_at.elapsed());
            }
            Ok(None) => return Some(AnswerBody::Buffered(buffer.into())),
            Err(_) if until < gap_deadline => {
                pace.record(0, asked_at.elapsed());
                break;
            }
            Err(_) => return None,
        }
        if buffer.len() > MAX_BUFFERED_BODY {
            break;
        }
    }
    let held_until =
        Some(pass_on_at).filter(|at| *at > Instant::now() && buffer.len() <= MAX_BUFFERED_BODY);
    let body = StreamedBody::from_endpoint(buffer.into(), body, pace);
    Some(AnswerBody::Streamed(BegunBody { body, held_until }))
}

/// The key of a load report's field on the wire.
fn report_key(field: LoadField) -> &'static str {
    match field {
        LoadField::Outstanding => "inflight",
        LoadField::Backlog => "queue",
        LoadField::Utilization => "util",
        LoadField::RecentMs => "latency_ms",
        LoadField::Throughput => "qps",
        LoadField::ErrorsPerS => "eps",
        LoadField::Other => "",
    }
}
