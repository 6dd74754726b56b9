//! Serves one request: receives it, has it forwarded, and returns its reply.

use super::Inbound;
use crate::net::body_limits::{MAX_BODY, MAX_BUFFERED_BODY};
use crate::net::budget::{Holder, Permit};
use crate::net::connection_state::{ConnectionState, FIRST_HEAD_TIMEOUT};
use crate::net::counters::{End, PendingRequest};
use crate::net::early_end::EarlyEnd;
use crate::net::message::{Answer, ForwardedRequest, IncomingRequest, Input, RequestBody};
use crate::net::outbound::StreamedAnswer;
use crate::net::process_phase::Phase;
use crate::net::read_ahead::ReadAhead;
use crate::net::reply::{
    BufferedReply, InFlightRequest, Reply, ReplyBody, StreamedReply, set_retry_after, text_reply,
};
use crate::net::request::{buffer_body, drop_hop_headers};
use crate::net::streamed_body::{ClientDeadline, StreamedBody};
use crate::net::upload::{ClientTimes, Upload, UploadEnd};
use gullpulley::{ClassId, RequestId};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, timeout_at};
use tracing::{Level, debug, enabled};

/// Subtracted from the client's time-out, so that the answer reaches it in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// A body of up to this many bytes takes no memory worth counting.
const TINY_BODY: u64 = 8 * 1024;

/// Why a request is not taken, as its client is told.
type NotTaken = (StatusCode, &'static str);

/// There is no memory for another request.
const BUSY: NotTaken = (StatusCode::SERVICE_UNAVAILABLE, "too many requests");

/// The permits for the memory of a request.
struct RequestMemory {
    /// For its answer.
    answer: Permit,
    /// For its body; none for a tiny one.
    _body: Option<Permit>,
    /// It is counted among large bodies and answers.
    is_large: bool,
}

/// A request that has been received, apart from the rest of a large body.
struct ReceivedRequest {
    head: Parts,
    request: gullpulley::Request,
    /// How long the client waits after its last byte.
    patience: Duration,
    /// When the buffered part of the body had arrived.
    received_at: Instant,
    buffered: Bytes,
    rest: Option<Incoming>,
    memory: RequestMemory,
}

/// A request that waits for its answer.
struct Exchange {
    class: ClassId,
    /// When the client of a buffered body stops waiting.
    client_deadline: Instant,
    /// A large body.
    upload: Option<Rc<Upload>>,
    memory: RequestMemory,
    pending_count: PendingRequest,
    in_flight: InFlightRequest,
    answer: oneshot::Receiver<Answer>,
}

impl Inbound {
    /// Serves one request.
    pub(super) async fn handle_request(
        self: &Rc<Self>,
        request: Request<Incoming>,
        shed: bool,
        state: &Rc<ConnectionState>,
    ) -> Result<Reply, Infallible> {
        state.answering.set(true);
        state.takes_chunks.set(request.version() >= Version::HTTP_11);
        state.write_progress.start_message();
        let is_readiness_check = request.uri().path() == "/-/ready";
        let mut reply = if is_readiness_check {
            let status = if self.is_serving() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            text_reply(status, "")
        } else {
            let class = self.parser.class(request.uri());
            let request_id = enabled!(Level::DEBUG).then(|| request.headers().get("x-request-id").cloned());
            let served = if shed {
                Err((StatusCode::SERVICE_UNAVAILABLE, "too many connections"))
            } else {
                self.serve_request(request, state).await
            };
            if let (Some(request_id), Err((status, problem))) = (request_id, &served) {
                let request = request_id.as_ref().and_then(|id| id.to_str().ok());
                debug!(request, status = status.as_u16(), problem, "not taken");
            }
            match served {
                Ok(reply) => reply,
                Err((StatusCode::SERVICE_UNAVAILABLE, problem)) => {
                    class.into_iter().for_each(|class| self.counters.record_end(class, End::Rejected));
                    self.overload_reply(problem)
                }
                // An invalid request is not counted under any class.
                Err((status, problem)) => text_reply(status, problem),
            }
        };
        if matches!(reply.body(), ReplyBody::Buffered(_)) {
            // A connection full of requests that are answered without a wait would keep the thread from all others.
            yield_now().await;
            state.answer_finished();
        }
        // A client that only checks readiness and keeps its connection occupies a slot that requests need
        // when few are left.
        let occupies_scarce_slot = is_readiness_check && self.budget.clients_near_limit();
        if self.phase.get().is_ending() || shed || state.close_after_answer.get() || occupies_scarce_slot {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// A refusal by the sidecar itself: slots become free once the first silent connections have been
    /// closed.
    fn overload_reply(&self, text: &'static str) -> Reply {
        let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, text);
        if self.parser.settings.limits.retry_after {
            set_retry_after(
                &mut reply,
                FIRST_HEAD_TIMEOUT.min(self.parser.settings.limits.max_retry_after),
            );
        }
        reply
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        state: &Rc<ConnectionState>,
    ) -> Result<Reply, NotTaken> {
        let received = self.receive(request, state).await?;
        let mut exchange = self.forward(received, state)?;
        let answer = exchange.wait().await;
        let answer = self.hold_back(answer).await;
        Ok(self.reply(exchange, answer, state))
    }

    /// Receives a request, and as much of its body as is buffered.
    async fn receive(
        &self,
        request: Request<Incoming>,
        state: &ConnectionState,
    ) -> Result<ReceivedRequest, NotTaken> {
        let (head, body) = request.into_parts();
        // An invalid request is rejected before its body, which may be large, is read.
        let (request, patience) = self.parser.parse(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > MAX_BODY {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        let mut memory = self.reserve_memory(&body)?;
        let (buffered, rest) = buffer_body(body, state.body_deadline()).await?;
        if memory.is_large && rest.is_none() {
            memory = self.small_request_memory(0)?; // its length was not known
        }
        if self.phase.get() == Phase::DrainTimedOut {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
        }
        // A request that was sent behind another one had arrived while that was answered.
        let received_at = state.read_progress.last_input_at();
        if Instant::now() >= received_at + patience {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "out of time"));
        }
        Ok(ReceivedRequest { head, request, patience, received_at, buffered, rest, memory })
    }

    /// Large bodies have a part of the memory to themselves, and small requests have the rest.
    fn reserve_memory(&self, body: &Incoming) -> Result<RequestMemory, NotTaken> {
        let size = body.size_hint();
        match size.upper() {
            Some(length) if length <= MAX_BUFFERED_BODY as u64 => self.small_request_memory(length),
            _ => {
                let [answer, body] = [Holder::Stream; 2].map(|holder| self.budget.take(holder).ok_or(BUSY));
                Ok(RequestMemory { answer: answer?, _body: Some(body?), is_large: true })
            }
        }
    }

    fn small_request_memory(&self, body_length: u64) -> Result<RequestMemory, NotTaken> {
        let answer = self.budget.take(Holder::Request).ok_or(BUSY)?;
        let body = match body_length {
            0..=TINY_BODY => None,
            _ => Some(self.budget.take(Holder::Request).ok_or(BUSY)?),
        };
        Ok(RequestMemory { answer, _body: body, is_large: false })
    }

    /// Hands a request to the driver.
    fn forward(&self, received: ReceivedRequest, state: &ConnectionState) -> Result<Exchange, NotTaken> {
        let ReceivedRequest { mut head, mut request, patience, received_at, buffered, rest, memory } =
            received;
        let x_request_id = head.headers.get("x-request-id").and_then(|id| id.to_str().ok());
        let x_request_id = x_request_id.unwrap_or_default().to_owned();
        // A request with an id that has been sent is not a new request: its endpoint might run it twice.
        if let Err(not_fresh) = self.request_ids.begin(&x_request_id) {
            self.counters.record_repeated_id();
            return Err((StatusCode::CONFLICT, not_fresh.text()));
        }
        let class = request.class;
        let pending_count = self.counters.start_request(class.0);
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        request.id = id;
        let (request_ids, inbox) = (self.request_ids.clone(), self.inbox.clone());
        let in_flight = InFlightRequest { request_ids, inbox, id, x_request_id, answered: false };
        drop_hop_headers(&mut head.headers);
        let times = ClientTimes { patience, answer_time: patience - ANSWER_MARGIN.min(patience / 10) };
        let upload = rest.map(|rest| {
            self.start_upload(id, StreamedBody::from_client(buffered.clone(), rest), times, state)
        });
        request.streamed_body = upload.is_some();
        let (body, deadline) = match &upload {
            // The client's time-out counts from the last byte of its request.
            None => (RequestBody::Buffered(buffered), received_at + times.answer_time),
            Some(upload) => (RequestBody::Streamed(upload.clone()), upload.latest_deadline()),
        };
        let forward = ForwardedRequest { method: head.method, uri: head.uri, headers: head.headers, body };
        let may_run_for = self.parser.may_run_for(class);
        let (to, answer) = oneshot::channel();
        let incoming = IncomingRequest { request, deadline, forward, may_run_for, answer: to };
        let _ = self.inbox.send(Input::Request(Box::new(incoming))); // fails only while the process ends
        let client_deadline = received_at + patience;
        Ok(Exchange { class, client_deadline, upload, memory, pending_count, in_flight, answer })
    }

    /// The answer once it may be passed on; one that broke before that has failed.
    async fn hold_back(&self, answer: Result<Answer, UploadEnd>) -> Result<Answer, UploadEnd> {
        let Ok(Answer::Streamed(mut streamed)) = answer else { return answer };
        if streamed.hold_back().await.is_ok() {
            return Ok(Answer::Streamed(streamed));
        }
        let _ = self.inbox.send(Input::AnswerBroken(streamed.endpoint())); // fails only while the process ends
        Ok(Answer::Failed)
    }

    /// The reply to a request, and the end of its count.
    fn reply(
        &self,
        exchange: Exchange,
        answer: Result<Answer, UploadEnd>,
        state: &Rc<ConnectionState>,
    ) -> Reply {
        let (end, reply) = match answer {
            Ok(Answer::Streamed(streamed)) => return self.streamed_reply(exchange, *streamed, state),
            Ok(Answer::Served(body)) => {
                let reply = BufferedReply::new(body, exchange.memory.answer, state.write_progress.clone());
                (End::Completed, Response::new(ReplyBody::Buffered(reply)))
            }
            Ok(Answer::Refused(retry_after)) => {
                let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "refused");
                retry_after.into_iter().for_each(|wait| set_retry_after(&mut reply, wait));
                (End::Rejected, reply)
            }
            Ok(Answer::BadRequest) => {
                (End::Failed, text_reply(StatusCode::BAD_REQUEST, "the request is at fault"))
            }
            Ok(Answer::Failed) => (End::Failed, text_reply(StatusCode::BAD_GATEWAY, "failed")),
            Err(UploadEnd::ClientFailed) => {
                (End::Failed, text_reply(StatusCode::BAD_REQUEST, "body broken"))
            }
            Err(_) => (End::Failed, text_reply(StatusCode::GATEWAY_TIMEOUT, "out of time")),
        };
        exchange.pending_count.end(end);
        reply
    }

    /// The reply with a large answer, if there is memory for one more.
    fn streamed_reply(
        &self,
        exchange: Exchange,
        mut answer: StreamedAnswer,
        state: &Rc<ConnectionState>,
    ) -> Reply {
        answer.body.set_client_deadline(exchange.client_deadline());
        let Exchange { class, memory, pending_count, in_flight, .. } = exchange;
        let memory = if memory.is_large { Some(memory.answer) } else { self.budget.take(Holder::Stream) };
        let Some(memory) = memory else {
            debug!(request = in_flight.x_request_id, "no memory for a large answer");
            return self.refuse_large_answer(class, pending_count);
        };
        let state = state.clone();
        state.frame_asked_at.set(Some(Instant::now()));
        let has_length = answer.body.size_hint().exact().is_some();
        state.set_answer_ended_by_close(!has_length && !state.takes_chunks.get());
        state.streaming_client.replace(Some(self.streaming_clients.register()));
        state.streaming_changed.notify_one();
        let reply = StreamedReply::new(answer, pending_count, state, memory, in_flight);
        Response::new(ReplyBody::Streamed(Box::new(reply)))
    }

    /// The request has run: only where it may run again is its client told so.
    fn refuse_large_answer(&self, class: ClassId, pending_count: PendingRequest) -> Reply {
        const PROBLEM: &str = "too many large answers";
        pending_count.record_early_end(EarlyEnd::OutOfMemoryBudget);
        if self.parser.is_safe_to_repeat(class) {
            pending_count.end(End::Rejected);
            return self.overload_reply(PROBLEM);
        }
        pending_count.end(End::Failed);
        text_reply(StatusCode::BAD_GATEWAY, PROBLEM)
    }

    /// Starts to read a large body ahead of the endpoint that will take it.
    fn start_upload(
        &self,
        id: RequestId,
        body: StreamedBody,
        times: ClientTimes,
        state: &ConnectionState,
    ) -> Rc<Upload> {
        let read_ahead = ReadAhead::new(body.size_hint(), self.budget.clone(), state.read_progress.clone());
        let inbox = self.inbox.clone();
        Upload::start(body, read_ahead, times, move |event| {
            let _ = inbox.send(Input::Upload(id, event)); // fails only while the process ends
        })
    }
}

impl Exchange {
    /// Waits for the answer, and in case the policy loses track of the request for the end of its client's time.
    async fn wait(&mut self) -> Result<Answer, UploadEnd> {
        let answer = match &self.upload {
            None => timeout_at(self.client_deadline, &mut self.answer).await.map_err(|_| UploadEnd::TimeUp),
            Some(upload) => tokio::select! {
                biased;
                answer = &mut self.answer => Ok(answer),
                end = upload.client_over() => Err(end),
            },
        };
        self.in_flight.answered = answer.is_ok();
        if let Some(upload) = self.upload.clone().filter(|upload| !upload.is_received()) {
            spawn_local(async move { upload.discard().await });
        }
        answer.map(|answer| answer.unwrap_or(Answer::Failed)) // no answer only while the process ends
    }

    /// Tells when the client stops waiting.
    fn client_deadline(&self) -> ClientDeadline {
        match &self.upload {
            Some(upload) if !upload.is_received() => {
                let upload = upload.clone();
                Box::new(move || upload.client_deadline())
            }
            // What has been read ahead is not kept for the answer.
            upload => {
                let at = upload.as_ref().map_or(self.client_deadline, |upload| upload.client_deadline());
                Box::new(move || at)
            }
        }
    }
}
