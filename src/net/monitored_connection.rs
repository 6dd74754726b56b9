//! A connection that records whether the other side still takes what is written to it, and whether it has sent more
//! than has been read.
//!
//! Two buffers lie between a write and the program that reads it. Without a limit Linux lets the send buffer
//! grow to several MiB, and reports it as writable again only once a third of it is free: a reader that takes
//! long for a third would look like one that has stopped. So the system is told to hold few unsent bytes. The
//! receive buffer is the other side's, and its system tells of reads only in steps that grow with it, to
//! several hundred KiB: a reader gets the time that it needs for such a step, and longer than it has needed
//! for any before.

use super::read_progress::ReadProgress;
use gullpulley::TcpConnection;
use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep};

/// The receive buffer that is asked for on connections of clients, in bytes. Without a limit Linux lets it grow to many
/// MiB, and so much of a request could have been sent long before it is seen.
pub const CLIENT_RECEIVE_BUFFER: u32 = 256 * 1024;
/// Unsent bytes that the system holds for one connection. What is under way to the other side does not
/// count, so this does not limit the speed.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;
/// So many bytes may be read before the other side's system tells of any of them, ...
const UNREPORTED_BYTES: f64 = 128.0 * 1024.0;
/// ... and this share of what it took at once, in a burst of at most `BURST_TIME`.
const UNREPORTED_SHARE: f64 = 0.25;
const BURST_TIME: Duration = Duration::from_secs(3);
/// How many times as long as ever before a reader may take for a step: pauses and steps add up unevenly.
const MAX_WAIT_GROWTH: u32 = 3;

/// Whether the writes to a connection proceed.
#[derive(Default)]
pub struct WriteProgress {
    blocked_since: Cell<Option<Instant>>,
    /// Start of the current burst.
    burst_started_at: Cell<Option<Instant>>,
    burst_bytes: Cell<usize>,
    largest_burst: Cell<usize>,
    /// The longest that writes have been blocked before more bytes were taken.
    longest_wait: Cell<Duration>,
    /// Woken when a write that was blocked proceeds.
    waiting: Cell<Option<Waker>>,
}

/// After how long without a byte taken a reader counts as stopped.
#[derive(Clone, Copy)]
pub struct StallTimeout {
    /// Where the other side's receive buffer is small.
    pub min: Duration,
    /// However large it is.
    pub max: Duration,
    /// Bytes per second that a reader with a large buffer reads at least.
    pub min_rate: f64,
}

impl WriteProgress {
    /// Since when the system has taken no byte though there was one to write; none while it takes them.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get()
    }

    /// Waits while the system takes no byte.
    pub fn poll_unblocked(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.blocked_since().is_none() {
            return Poll::Ready(());
        }
        self.waiting.set(Some(context.waker().clone()));
        Poll::Pending
    }

    /// A new message begins: what was taken of earlier ones says nothing about the buffer by now.
    pub fn start_message(&self) {
        self.burst_started_at.set(None);
        self.largest_burst.set(0);
        self.longest_wait.set(Duration::ZERO);
    }

    /// When the reader counts as stopped; none while bytes are being taken.
    pub fn stalled_at(&self, timeout: StallTimeout) -> Option<Instant> {
        let unreported_bytes = UNREPORTED_BYTES + self.largest_burst.get() as f64 * UNREPORTED_SHARE;
        let reading_time = Duration::from_secs_f64(unreported_bytes / timeout.min_rate);
        let allowed = reading_time.max(self.longest_wait.get() * MAX_WAIT_GROWTH);
        self.blocked_since().map(|since| since + allowed.clamp(timeout.min, timeout.max))
    }

    /// Waits until the reader counts as stopped. Must be polled after the connection, in the same task: the
    /// writes of another task don't wake it.
    pub async fn stalled(&self, timeout: StallTimeout) {
        let mut timer = pin!(sleep(timeout.min));
        poll_fn(|context| {
            let Some(at) = self.stalled_at(timeout) else { return Poll::Pending };
            if timer.deadline() != at {
                timer.as_mut().reset(at);
            }
            timer.as_mut().poll(context)
        })
        .await;
    }

    fn record(&self, write: &Poll<io::Result<usize>>) {
        match write {
            Poll::Pending if self.blocked_since.get().is_none() => {
                self.blocked_since.set(Some(Instant::now()));
            }
            Poll::Pending => {}
            Poll::Ready(taken) => {
                let waited = self.blocked_since.take().map_or(Duration::ZERO, |since| since.elapsed());
                self.longest_wait.set(self.longest_wait.get().max(waited));
                self.add_to_burst(*taken.as_ref().unwrap_or(&0));
                self.waiting.take().into_iter().for_each(Waker::wake);
            }
        }
    }

    fn add_to_burst(&self, bytes: usize) {
        if self.burst_started_at.get().is_none_or(|at| at.elapsed() > BURST_TIME) {
            self.burst_started_at.set(Some(Instant::now()));
            self.burst_bytes.set(0);
        }
        self.burst_bytes.set(self.burst_bytes.get() + bytes);
        self.largest_burst.set(self.largest_burst.get().max(self.burst_bytes.get()));
    }
}

/// A handle to a connection whose reads and writes are recorded; it closes when the last handle is dropped.
#[derive(Clone)]
pub struct MonitoredConnection {
    connection: Rc<TcpConnection>,
    progress: Rc<WriteProgress>,
    reads: Rc<ReadProgress>,
}

impl MonitoredConnection {
    /// The first handle to a connection on which nothing has been written.
    pub fn new(connection: TcpConnection) -> Self {
        let _ = connection.limit_unsent(Some(MAX_UNSENT_BYTES)); // without it, progress shows less often
        let connection = Rc::new(connection);
        let (progress, reads) = (Rc::default(), Rc::new(ReadProgress::new(&connection)));
        MonitoredConnection { connection, progress, reads }
    }

    /// The connection itself.
    pub fn tcp(&self) -> &TcpConnection {
        &self.connection
    }

    /// The record of its reads.
    pub fn read_progress(&self) -> Rc<ReadProgress> {
        self.reads.clone()
    }

    /// The record of its writes.
    pub fn write_progress(&self) -> Rc<WriteProgress> {
        self.progress.clone()
    }
}

impl AsyncRead for MonitoredConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.connection.poll_read_some(context, buffer);
        self.reads.record(&read);
        read
    }
}

impl AsyncWrite for MonitoredConnection {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(data)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = self.connection.poll_write_some(context, data);
        self.progress.record(&write);
        write
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // nothing is buffered here
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.connection.shutdown_write())
    }
}
