//! A TCP connection as every part of the program uses it: short reads and writes lose nothing.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A connect that this machine fails is tried so often, ...
const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// ... so far apart: what lacks for a moment is there again, and nothing is told of the other side by then.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A connection that is only taken for empty or full when the system says so.
///
/// Tokio's own stream takes a read or write that is shorter than its buffer to mean that the socket is empty or full,
/// and then waits for the next event. Linux may return less than there is, and for bytes that already lie there no
/// further event comes: they would be read with the next ones, or never.
#[derive(Debug)]
pub struct TcpConnection(TcpStream);

impl TcpConnection {
    /// Of a stream that is up. What is written goes out at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // fails only where the other side has gone
        TcpConnection(stream)
    }

    /// Connects. What this machine lacks for a moment says nothing of the other side, and is tried again.
    ///
    /// # Errors
    /// Those of `socket` and `connect`, where they last.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut attempts = 1;
        loop {
            match TcpStream::connect(address).await {
                Err(e) if attempts < MAX_CONNECT_ATTEMPTS && is_local(&e) => {
                    attempts += 1;
                    sleep(CONNECT_RETRY_DELAY).await;
                }
                connected => return connected.map(TcpConnection::new),
            }
        }
    }

    /// Waits for what the system tells of it.
    ///
    /// # Errors
    /// Those of the runtime's driver, where it has been shut down.
    pub async fn ready(&self, interest: Interest) -> io::Result<tokio::io::Ready> {
        self.0.ready(interest).await
    }

    /// Reads what is there.
    ///
    /// # Errors
    /// `WouldBlock` where nothing is, and those of `recv`.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.try_read(buffer)
    }

    /// Ends its writing side.
    ///
    /// # Errors
    /// Those of `shutdown`, as where the other side has gone.
    pub fn end_writing(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.0).shutdown(Shutdown::Write)
    }

    /// Reads into a buffer, waiting until there is something.
    pub fn poll_read_some(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(e) if is_retryable(&e) => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }

    /// Writes from buffers, waiting until there is room.
    pub fn poll_write_some(
        &self,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(data) {
                Err(e) if is_retryable(&e) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

/// Whether a call failed for what this machine lacks: descriptors, memory, ports, or a way out.
pub fn is_local(error: &io::Error) -> bool {
    let local_errors = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ENETDOWN,
    ];
    error.raw_os_error().is_some_and(|code| local_errors.contains(&code))
}

/// Whether a call is to be made again: at once after a signal, and once the socket is ready again otherwise.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl AsyncRead for TcpConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_some(context, buffer)
    }
}

impl AsyncWrite for TcpConnection {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_some(context, &[io::IoSlice::new(data)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_some(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // nothing is held back here
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.end_writing())
    }
}
