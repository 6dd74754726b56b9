//! Reads a client's large body ahead of the endpoint that takes it, within a bound on memory.
//!
//! A client's time runs from the moment it has written its last byte, which the process can't see: bytes may wait in
//! the client's send buffer and in the receive buffer here. What it can see is that the client was still sending:
//! whenever a read finds nothing and the body is incomplete, or while more is missing than all buffers hold. The last
//! such moment is taken for the end of the request. Reading ahead keeps the receive buffer empty, so that this moment
//! is close to the true one. Where the memory is used up, reading pauses, and what the last read has found says nothing
//! about the present: then bytes that arrive show that the client is still sending, for as long as the receive buffer has room for
//! them. It may still be sending later: its request then ends too early rather than too late.

use super::budget::{Budget, Holder, Permit, SEGMENT_KIB};
use super::monitored_connection::CLIENT_RECEIVE_BUFFER;
use super::read_progress::{ArrivalWatch, ReadProgress};
use super::streamed_body::{BodyError, StreamedBody};
use hyper::body::{Bytes, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

/// Size of the pieces in which a body is kept.
const SEGMENT_BYTES: usize = SEGMENT_KIB * 1024;
/// The most that the receive buffer here holds: the system allows twice of what it is asked for.
const MAX_RECEIVE_BUFFER: u64 = CLIENT_RECEIVE_BUFFER as u64 * 2;
/// The most that the buffers between a client's writes and this process hold: its send buffer, as large as systems let
/// it grow by themselves, and the receive buffer here.
const MAX_BUFFERED_BYTES: u64 = (4 << 20) + MAX_RECEIVE_BUFFER;

/// How often a body that is not read is looked at: whether more has arrived, and whether there is memory again.
const PAUSED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A piece of a body that waits to be forwarded.
struct Segment {
    data: Vec<u8>,
    _permit: Permit,
}

/// How the reading of a body has ended.
enum End {
    Reading,
    Complete,
    /// With the error until it has been passed on.
    Failed(Option<BodyError>),
}

/// The part of a body that has been read and not yet forwarded, and what is known of the rest.
pub struct ReadAhead {
    segments: RefCell<VecDeque<Segment>>,
    end: RefCell<End>,
    size: SizeHint,
    received_bytes: Cell<u64>,
    budget: Rc<Budget>,
    reads: Rc<ReadProgress>,
    /// The client was certainly still sending then.
    sending_until: Cell<Instant>,
    /// All that the HTTP library has read has been taken from it, and it goes on reading.
    awaiting_frame: Cell<bool>,
    /// Since when nothing has been read for lack of memory; none while the body is being read.
    paused_since: Cell<Option<Instant>>,
    /// Nobody will take the rest.
    discarding: Cell<bool>,
    /// Woken when there is more to forward.
    reader: Cell<Option<Waker>>,
    /// Notified when a segment has been taken.
    taken: Notify,
    /// Notified when the end has come.
    ended: Notify,
}

impl ReadAhead {
    /// Nothing has been read yet of a body of this size, which arrives on a connection with this record of reads.
    pub fn new(size: SizeHint, budget: Rc<Budget>, reads: Rc<ReadProgress>) -> Rc<Self> {
        let sending_until = Cell::new(reads.empty_until());
        Rc::new(ReadAhead {
            segments: RefCell::default(),
            end: RefCell::new(End::Reading),
            size,
            received_bytes: Cell::default(),
            budget,
            reads,
            sending_until,
            awaiting_frame: Cell::default(),
            paused_since: Cell::default(),
            discarding: Cell::default(),
            reader: Cell::default(),
            taken: Notify::new(),
            ended: Notify::new(),
        })
    }

    /// Reads the body to its end, as far ahead as the budget allows.
    pub async fn run(self: Rc<Self>, mut body: StreamedBody) {
        let end = loop {
            self.wait_for_space().await;
            match poll_fn(|context| self.poll_frame(&mut body, context)).await {
                Some(Ok(frame)) => self.push(frame.data_ref().map_or(&[][..], |data| data)),
                Some(Err(error)) => break End::Failed(Some(error)),
                None => break End::Complete,
            }
            if body.is_complete() {
                break End::Complete;
            }
        };
        self.sending_until.set(self.reads.empty_until().max(self.sending_until.get()));
        self.end.replace(end);
        self.ended.notify_waiters();
        self.wake_reader();
    }

    fn poll_frame(
        &self,
        body: &mut StreamedBody,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = body.poll_frame(context);
        self.awaiting_frame.set(frame.is_pending());
        frame
    }

    /// Until when the client was certainly still sending; the present if it still is.
    pub fn sending_until(&self) -> Instant {
        if self.is_reading() {
            let found_nothing = self.awaiting_frame.get() && self.reads.is_empty();
            let sending = found_nothing || self.exceeds_buffers();
            let until = if sending { Instant::now() } else { self.reads.empty_until() };
            self.sending_until.set(until.max(self.sending_until.get()));
        }
        self.sending_until.get()
    }

    /// Whether the end of the body has been received.
    pub fn is_received(&self) -> bool {
        matches!(*self.end.borrow(), End::Complete)
    }

    /// Whether the body did not end properly, which is the client's fault and no endpoint's.
    pub fn has_failed(&self) -> bool {
        matches!(*self.end.borrow(), End::Failed(_))
    }

    /// Whether the end of the body has been received, and all of it has been taken.
    pub fn is_drained(&self) -> bool {
        self.is_received() && self.segments.borrow().is_empty()
    }

    /// Bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// For how long nothing has been read for lack of memory; none while the body is being read.
    pub fn paused_for(&self) -> Option<Duration> {
        self.paused_since.get().map(|since| since.elapsed())
    }

    /// The size of the body, as far as it is known.
    pub fn size(&self) -> &SizeHint {
        &self.size
    }

    /// Waits until the body has ended or failed.
    pub async fn ended(&self) {
        let ended = self.ended.notified();
        if self.is_reading() {
            ended.await;
        }
    }

    /// Reads the rest only to drop it: its client is still sending, and closing the connection would lose the answer.
    pub async fn discard(&self) {
        self.discarding.set(true);
        self.segments.borrow_mut().clear();
        self.taken.notify_one();
        self.ended().await;
    }

    /// The next piece.
    pub fn poll_piece(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(segment) = self.segments.borrow_mut().pop_front() {
            self.taken.notify_one();
            return Poll::Ready(Some(Ok(segment.data.into())));
        }
        match &mut *self.end.borrow_mut() {
            End::Reading => {
                self.reader.set(Some(context.waker().clone()));
                Poll::Pending
            }
            End::Complete => Poll::Ready(None),
            End::Failed(error) => Poll::Ready(Some(Err(error.take().unwrap_or(BodyError::Consumed)))),
        }
    }

    fn is_reading(&self) -> bool {
        matches!(*self.end.borrow(), End::Reading)
    }

    /// Whether more is missing than can have been written already.
    fn exceeds_buffers(&self) -> bool {
        let missing = self.size.lower().saturating_sub(self.received_bytes.get());
        missing > MAX_BUFFERED_BYTES
    }

    /// A body may always be read if nothing of it waits to be forwarded.
    async fn wait_for_space(&self) {
        if !self.must_pause() {
            return;
        }
        let mut arrivals = ArrivalWatch::start(self.reads.clone());
        self.paused_since.set(Some(Instant::now()));
        let mut check = interval_at(Instant::now() + PAUSED_CHECK_INTERVAL, PAUSED_CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.must_pause() {
            tokio::select! {
                () = self.taken.notified() => {}
                _ = check.tick() => arrivals.look(),
            }
        }
        self.paused_since.set(None);
    }

    fn must_pause(&self) -> bool {
        !self.discarding.get() && !self.segments.borrow().is_empty() && !self.has_space()
    }

    fn has_space(&self) -> bool {
        self.budget.allows_read_ahead(self.segments.borrow().len())
    }

    fn push(&self, mut data: &[u8]) {
        self.received_bytes.set(self.received_bytes.get() + data.len() as u64);
        let mut segments = self.segments.borrow_mut();
        while !data.is_empty() && !self.discarding.get() {
            if segments.back().is_none_or(|last| last.data.len() == SEGMENT_BYTES) {
                let permit = self.budget.take_unconditionally(Holder::ReadAhead);
                segments.push_back(Segment { data: Vec::with_capacity(SEGMENT_BYTES), _permit: permit });
            }
            let Some(last) = segments.back_mut() else { return };
            let (fits, rest) = data.split_at(data.len().min(SEGMENT_BYTES - last.data.len()));
            last.data.extend_from_slice(fits);
            data = rest;
        }
        drop(segments);
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}
