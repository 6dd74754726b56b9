//! Answers to clients, held or passing, and the requests that wait for them.

use super::budget::Permit;
use super::client_connection::Turn;
use super::counters::{End, PendingRequest};
use super::message::{Inbox, Input};
use super::outbound::Passing;
use super::streamed_body::PassError;
use gullpulley::RequestId;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::cell::RefCell;
use std::collections::HashSet;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Instant;

/// A request in work: tells the driver when its client leaves before its answer.
pub struct Waiting {
    /// The X-Request-IDs of all requests in work.
    pub ids: Rc<RefCell<HashSet<String>>>,
    /// Told where the client leaves.
    pub inbox: Inbox,
    /// The request.
    pub id: RequestId,
    /// Its X-Request-ID.
    pub named: String,
    /// It has its answer.
    pub answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.named);
        if !self.answered {
            let _ = self.inbox.send(Input::ClientGone(self.id));
        }
    }
}

/// An answer to a client.
pub type Reply = Response<ReplyBody>;

/// The body of an answer.
pub enum ReplyBody {
    /// Held whole.
    Held(Full<Bytes>),
    /// Passed on as it comes.
    Passing(Box<PassingAnswer>),
}

/// A large answer on its way to the client. Dropped before its end it has lost its client.
pub struct PassingAnswer {
    /// Gone once it is over.
    pub answer: Option<Passing>,
    /// Counts it as taken; gone once it is over.
    pub taken: Option<PendingRequest>,
    /// Of its connection.
    pub turn: Rc<Turn>,
    /// What it may take.
    pub _memory: Permit,
    /// Its request, in work until the end.
    pub _waiting: Waiting,
}

impl PassingAnswer {
    fn over(&mut self, end: End) {
        if let Some(taken) = self.taken.take() {
            taken.end(end);
        }
        if let Some(answer) = self.answer.take()
            && end == End::Completed
        {
            answer.whole();
        }
        self.turn.over();
        self.turn.moved.set(None);
        self.turn.turned.notify_one();
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = PassError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PassError>>> {
        let passing = match self.get_mut() {
            ReplyBody::Held(body) => {
                return Pin::new(body).poll_frame(context).map_err(|never| match never {});
            }
            ReplyBody::Passing(passing) => passing,
        };
        let Some(answer) = &mut passing.answer else { return Poll::Ready(None) };
        passing.turn.moved.set(Some(Instant::now()));
        let piece = ready!(answer.pieces.poll(context));
        let over = answer.pieces.over();
        match &piece {
            // The client can tell: what is announced, or the last chunk, never comes.
            Some(Err(_)) => passing.over(End::Failed),
            None => passing.over(End::Completed),
            Some(Ok(_)) if over => passing.over(End::Completed),
            Some(Ok(_)) => {}
        }
        Poll::Ready(piece)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Held(body) => body.is_end_stream(),
            ReplyBody::Passing(passing) => passing.answer.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Held(body) => body.size_hint(),
            ReplyBody::Passing(passing) => {
                passing.answer.as_ref().map_or_else(|| SizeHint::with_exact(0), |a| a.pieces.size())
            }
        }
    }
}

/// An answer of a few words.
pub fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::Held(Full::new(Bytes::from_static(text.as_bytes()))));
    *reply.status_mut() = status;
    reply
}

/// Says after how long to come back.
pub fn say_when(reply: &mut Reply, wait: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
