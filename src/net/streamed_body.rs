//! Bodies too large to be held: they pass through piece by piece, each way. What is not read waits in the
//! sockets, so that memory stays bounded however slow the reader is.

use super::progress::Progress;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout_at};

/// No body on the wire is longer.
pub const LARGE_MOST: u64 = 32 << 20;
/// A client whose body stands still for this long is not sending it any more.
const BODY_STALL: Duration = Duration::from_secs(3);
/// An endpoint that takes nothing more of a body for this long does not stand there any more.
const STUCK_MOST: Duration = Duration::from_secs(5);
/// An endpoint whose answer stands still for this long is not giving it any more.
const ANSWER_STALL: Duration = Duration::from_secs(10);
/// Bytes a second that an answer of no stated length has to come at once its client's time is up, and what it may lag
/// behind that: half of the slowest body. One that trickles on would never end.
const ANSWER_PACE: f64 = 32_000.0;
const ANSWER_LAG: Duration = Duration::from_secs(3);

/// How often and how long what is left of a body is looked for.
const RETURN_LOOKS: u32 = 50;
const RETURN_LOOK: Duration = Duration::from_millis(10);

/// Why a body ends before its time.
#[derive(Debug, Error)]
pub enum PassError {
    /// Its sender broke off, or broke the framing.
    #[error("the body broke: {0}")]
    Broken(#[from] hyper::Error),
    /// Its sender stands still.
    #[error("the body stalled")]
    Stalled,
    /// It is longer than any may be.
    #[error("the body is too long")]
    TooLong,
    /// Its time is up, and it does not come to an end.
    #[error("the body does not end")]
    Endless,
    /// It has been passed on before.
    #[error("the body is spent")]
    Spent,
}

/// Pieces as they come: those read already, then the rest.
pub struct Pieces {
    first: Option<Bytes>,
    rest: Incoming,
    passed: u64,
    stall: Duration,
    /// Set while a piece is waited for, and only then: it is the reader's matter when it asks for one.
    waiting: Option<Pin<Box<Sleep>>>,
    /// When the reader's time is up; known for an answer.
    owed_by: Option<Instant>,
    /// For how long its sender was waited for.
    waited: Duration,
    /// Since when it is.
    waits: Option<Instant>,
}

impl Pieces {
    /// A client's body.
    pub fn of_client(first: Bytes, rest: Incoming) -> Self {
        Pieces::new(first, rest, BODY_STALL)
    }

    /// An endpoint's answer.
    pub fn of_endpoint(first: Bytes, rest: Incoming) -> Self {
        Pieces::new(first, rest, ANSWER_STALL)
    }

    fn new(first: Bytes, rest: Incoming, stall: Duration) -> Self {
        let first = Some(first).filter(|b| !b.is_empty());
        let (owed_by, waited, waits) = Default::default();
        Pieces { first, rest, passed: 0, stall, waiting: None, owed_by, waited, waits }
    }

    /// Says when the reader's time is up.
    pub fn owed_by(&mut self, at: Instant) {
        self.owed_by = Some(at);
    }

    /// When it is plain that it never ends, if it goes on as it does.
    fn endless_at(&self) -> Option<Instant> {
        let owed_by = self.owed_by.filter(|_| self.rest.size_hint().exact().is_none())?;
        let allowed = ANSWER_LAG + Duration::from_secs_f64(self.passed as f64 / ANSWER_PACE);
        let since = self.waits.unwrap_or_else(Instant::now);
        Some(owed_by.max(since + allowed.saturating_sub(self.waited)))
    }

    /// All of it has been handed on.
    pub fn over(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    /// What is still to come, as far as it is known.
    pub fn size(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |b| b.len() as u64);
        let rest = self.rest.size_hint();
        let mut size = SizeHint::new();
        size.set_lower(first + rest.lower());
        if let Some(upper) = rest.upper() {
            size.set_upper(first + upper);
        }
        size
    }

    /// The next piece.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, PassError>>> {
        if let Some(first) = self.first.take() {
            self.passed += first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Poll::Ready(piece) = Pin::new(&mut self.rest).poll_frame(context) else {
            self.waits.get_or_insert_with(Instant::now);
            let endless = self.endless_at();
            let stalled = Instant::now() + self.stall;
            let until = endless.map_or(stalled, |at| at.min(stalled));
            let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep_until(until)));
            ready!(waiting.as_mut().poll(context));
            let over = endless.is_some_and(|at| at <= Instant::now());
            return Poll::Ready(Some(Err(if over { PassError::Endless } else { PassError::Stalled })));
        };
        self.waiting = None;
        self.waited += self.waits.take().map(|since| since.elapsed()).unwrap_or_default();
        if piece.is_some() && self.endless_at().is_some_and(|at| at < Instant::now()) {
            return Poll::Ready(Some(Err(PassError::Endless)));
        }
        let Some(piece) = piece else { return Poll::Ready(None) };
        let piece = piece?;
        self.passed += piece.data_ref().map_or(0, |data| data.len() as u64);
        if self.passed > LARGE_MOST {
            return Poll::Ready(Some(Err(PassError::TooLong)));
        }
        Poll::Ready(Some(Ok(piece)))
    }
}

/// A client's large body, until an attempt begins to pass it on.
pub struct Upload {
    /// All of it before an attempt has it, and what the attempt has left after that.
    pieces: RefCell<Option<Pieces>>,
    spent: Cell<bool>,
    /// It broke off, stalled or grew too long: the client's fault, and no endpoint's.
    faulty: Cell<bool>,
    size: SizeHint,
    /// What the client gives from its last byte on, less what is kept back for the answer.
    pub time: Duration,
    /// When the answer must be on its way; known once the body has come whole.
    deadline: watch::Sender<Option<Instant>>,
    /// When a piece last went on.
    moved: Cell<Instant>,
    /// Told the deadline once the body has come whole.
    when_whole: Box<dyn Fn(Instant)>,
}

impl Upload {
    /// One that nobody has begun to pass on; `when_whole` is told the deadline once its last byte has come.
    pub fn new(pieces: Pieces, time: Duration, when_whole: impl Fn(Instant) + 'static) -> Rc<Self> {
        let (size, deadline) = (pieces.size(), watch::Sender::new(None));
        let (pieces, moved) = (RefCell::new(Some(pieces)), Cell::new(Instant::now()));
        let (spent, faulty) = Default::default();
        let when_whole = Box::new(when_whole);
        Rc::new(Upload { pieces, spent, faulty, size, time, deadline, moved, when_whole })
    }

    /// It has begun to go out, and can't be sent again.
    pub fn spent(&self) -> bool {
        self.spent.get()
    }

    /// It came to no proper end.
    pub fn faulty(&self) -> bool {
        self.faulty.get()
    }

    /// All of it has come and been handed on.
    pub fn is_whole(&self) -> bool {
        self.deadline.borrow().is_some()
    }

    /// Waits until the time of a body that came whole is up, or until one stands still on its way.
    pub async fn out_of_time(&self) {
        let mut deadline = self.deadline.subscribe();
        self.moved.set(Instant::now());
        loop {
            let stuck = self.moved.get() + STUCK_MOST;
            match timeout_at(stuck, deadline.wait_for(Option::is_some))
                .await
                .map(|known| known.ok().and_then(|at| *at))
            {
                Ok(Some(at)) => return sleep_until(at).await,
                Err(_) if self.moved.get() + STUCK_MOST > Instant::now() => {}
                _ => return,
            }
        }
    }

    /// Reads what is left of a body that was answered before it had come whole, and drops it: its client is
    /// still writing, and to close on it would cost it the answer.
    pub async fn discard(&self) {
        for _ in 0..RETURN_LOOKS {
            let pieces = self.pieces.borrow_mut().take();
            if let Some(mut pieces) = pieces {
                while let Some(Ok(_)) = poll_fn(|context| pieces.poll(context)).await {}
                return;
            }
            sleep(RETURN_LOOK).await; // until the attempt that had it has ended
        }
    }

    /// The last byte has come, and been handed on.
    fn whole(&self) {
        let deadline = Instant::now() + self.time;
        self.deadline.send_replace(Some(deadline));
        (self.when_whole)(deadline);
    }
}

/// The body of an attempt.
pub enum Payload {
    /// Held whole, and can be sent again.
    Held(Full<Bytes>),
    /// Passed on once, by the first attempt that gets to write it.
    Passed {
        /// Where it waits until then.
        upload: Rc<Upload>,
        /// What is being passed on.
        pieces: Option<Pieces>,
        /// Of this attempt: it is written once the last piece is.
        progress: Rc<Progress>,
    },
}

impl Drop for Payload {
    fn drop(&mut self) {
        if let Payload::Passed { upload, pieces, .. } = self {
            let left = pieces.take().filter(|pieces| !pieces.over());
            if left.is_some() {
                upload.spent.set(true);
                upload.pieces.replace(left);
            }
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Payload::Held(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Payload::Passed { upload, pieces, progress } => {
                if pieces.is_none() && !upload.spent.replace(true) {
                    *pieces = upload.pieces.borrow_mut().take();
                }
                let Some(passing) = pieces else { return Poll::Ready(Some(Err(PassError::Spent.into()))) };
                if progress.is_written() {
                    return Poll::Ready(None);
                }
                let piece = ready!(passing.poll(context));
                upload.moved.set(Instant::now());
                upload.faulty.set(matches!(piece, Some(Err(_))));
                if piece.is_none() || passing.over() {
                    progress.set(true);
                    upload.whole();
                }
                Poll::Ready(piece.map(|piece| piece.map_err(Into::into)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Held(body) => body.is_end_stream(),
            Payload::Passed { progress, .. } => progress.is_written(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Held(body) => body.size_hint(),
            Payload::Passed { upload, pieces, .. } => {
                pieces.as_ref().map_or_else(|| upload.size, Pieces::size)
            }
        }
    }
}
