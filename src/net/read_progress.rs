//! What is known of the other side of a connection by what has been read from it, and by what waits to be read.

use gullpulley::TcpConnection;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// With no more than this unread the receive buffer has room, so the other side's system keeps nothing back.
const MAX_UNREAD_BYTES: u64 = 64 * 1024;

/// Whether the other side has sent more than has been read.
pub struct ReadProgress {
    connection: Weak<TcpConnection>,
    /// The last read has found nothing.
    empty: Cell<bool>,
    /// The receive buffer was empty until then, as far as reads have shown.
    empty_until: Cell<Instant>,
    /// When input was last found.
    last_input_at: Cell<Instant>,
    /// When the first bytes since the last answer were read.
    message_began_at: Cell<Option<Instant>>,
}

impl ReadProgress {
    /// Nothing has been read yet from this connection.
    pub fn new(connection: &Rc<TcpConnection>) -> Self {
        let (connection, now) = (Rc::downgrade(connection), Instant::now());
        let (empty, message_began_at) = Default::default();
        let (empty_until, last_input_at) = (Cell::new(now), Cell::new(now));
        ReadProgress { connection, empty, empty_until, last_input_at, message_began_at }
    }

    /// Whether the last read has found nothing. While nobody waits for input, that says nothing about the present; and the
    /// HTTP library reads on when it has a whole message, to see the connection's end.
    pub fn is_empty(&self) -> bool {
        self.empty.get()
    }

    /// Until when the receive buffer was empty, before the bytes that were read last began to arrive.
    pub fn empty_until(&self) -> Instant {
        self.empty_until.get()
    }

    /// When input was last found: all that has been read had arrived by then, however much later it is looked at.
    pub fn last_input_at(&self) -> Instant {
        self.last_input_at.get()
    }

    /// Whether anything has been read since the last answer.
    pub fn message_has_begun(&self) -> bool {
        self.message_began_at.get().is_some()
    }

    /// An answer has been given: what is read from now on is another message.
    pub fn message_answered(&self) {
        self.message_began_at.set(None);
    }

    /// Waits until a message has begun this long ago while its head is awaited. Must be polled after the connection, in
    /// the same task.
    pub async fn head_stalled(&self, timeout: Duration, awaits_head: impl Fn() -> bool) {
        let mut timer = pin!(sleep(timeout));
        poll_fn(|context| {
            let Some(began_at) = self.message_began_at.get().filter(|_| awaits_head()) else {
                return Poll::Pending;
            };
            if timer.deadline() != began_at + timeout {
                timer.as_mut().reset(began_at + timeout);
            }
            timer.as_mut().poll(context)
        })
        .await;
    }

    /// Records the result of a read.
    pub fn record(&self, read: &Poll<io::Result<()>>) {
        if read.is_ready() && self.message_began_at.get().is_none() {
            self.message_began_at.set(Some(Instant::now()));
        }
        if read.is_pending() {
            self.empty.set(true);
            return;
        }
        let now = Instant::now();
        self.last_input_at.set(now);
        if self.empty.replace(false) {
            self.empty_until.set(now);
        }
    }

    /// Bytes that have arrived and have not been read; none if that can't be told.
    fn unread_bytes(&self) -> Option<u64> {
        self.connection.upgrade()?.unread_bytes().ok()
    }
}

/// Watches what arrives on a connection while nobody reads from it, which shows that the other side is still sending.
pub struct ArrivalWatch {
    reads: Rc<ReadProgress>,
    /// Bytes that waited at the last look; none if the other side may have been kept from sending before it.
    unread_bytes: Option<u64>,
}

impl ArrivalWatch {
    /// Reading pauses now.
    pub fn start(reads: Rc<ReadProgress>) -> Self {
        ArrivalWatch { reads, unread_bytes: None }
    }

    /// Looks at what has arrived. A look must come so long after the last read that what the other side's system had kept
    /// back until then has arrived.
    pub fn look(&mut self) {
        let unread_bytes = self.reads.unread_bytes();
        match (self.unread_bytes, unread_bytes) {
            (Some(before), Some(now)) if now > before => self.reads.empty_until.set(Instant::now()),
            (None, Some(now)) if now > MAX_UNREAD_BYTES => return,
            _ => {}
        }
        self.unread_bytes = unread_bytes;
    }
}
