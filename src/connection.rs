//! The TCP connection that all parts of the program use: short reads and writes lose no data.

use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Attempts at a connect that fails for a local reason, ...
const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// ... this far apart: a local shortage is often over by then, and it says nothing about the remote side.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A connection that counts as empty or full only when the system says so.
///
/// Tokio's own stream takes a read or write shorter than its buffer as a sign that the socket is empty or
/// full, and then waits for the next event. Linux may return less than is available, and for bytes that are
/// already there no further event comes: they would be read with the next ones, or never.
#[derive(Debug)]
pub struct TcpConnection(TcpStream);

impl TcpConnection {
    /// Wraps a connected stream. Written data is sent without delay.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // fails only if the remote side has left
        TcpConnection(stream)
    }

    /// Connects. A failure for lack of a local resource says nothing about the remote side, and is retried.
    ///
    /// # Errors
    /// Those of `socket` and `connect`, if they persist.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut attempts = 1;
        loop {
            match TcpStream::connect(address).await {
                Err(e) if attempts < MAX_CONNECT_ATTEMPTS && is_local_failure(&e) => {
                    attempts += 1;
                    sleep(CONNECT_RETRY_DELAY).await;
                }
                connected => return connected.map(TcpConnection::new),
            }
        }
    }

    /// Waits until the system reports readiness.
    ///
    /// # Errors
    /// Those of the runtime's I/O driver, if it has been shut down.
    pub async fn ready(&self, interest: Interest) -> io::Result<tokio::io::Ready> {
        self.0.ready(interest).await
    }

    /// Reads the available data.
    ///
    /// # Errors
    /// `WouldBlock` if there is none, and those of `recv`.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.try_read(buffer)
    }

    /// Whether data, the end or an error has come that nobody asked for. What is found is read and lost, as the connection
    /// can't be used then.
    pub fn has_unexpected_input(&self) -> bool {
        loop {
            match self.read_unexpected() {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => return !matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock),
            }
        }
    }

    /// The same as far as the system has reported it already, mostly without a call.
    pub fn has_reported_input(&self) -> bool {
        let read = self.0.try_io(Interest::READABLE, || self.read_unexpected());
        !matches!(read, Err(e) if is_retryable(&e))
    }

    fn read_unexpected(&self) -> io::Result<usize> {
        socket2::SockRef::from(&self.0).recv(&mut [MaybeUninit::uninit()])
    }

    /// Bytes that have arrived and have not been read.
    ///
    /// # Errors
    /// Those of `ioctl`.
    pub fn unread_bytes(&self) -> io::Result<u64> {
        Ok(rustix::io::ioctl_fionread(&self.0)?)
    }

    /// Limits how many bytes that have not been sent yet the system holds before it reports the socket as
    /// full; without a limit the system's own settings hold.
    ///
    /// # Errors
    /// Those of `setsockopt`, where the system has no such limit.
    pub fn limit_unsent(&self, bytes: Option<u32>) -> io::Result<()> {
        const SYSTEM_DEFAULT: u32 = 0;
        socket2::SockRef::from(&self.0).set_tcp_notsent_lowat(bytes.unwrap_or(SYSTEM_DEFAULT))
    }

    /// Sets whether the connection is reset as it closes, also if the process is killed, rather than ended in order.
    ///
    /// # Errors
    /// Those of `setsockopt`.
    pub fn reset_on_close(&self, reset: bool) -> io::Result<()> {
        socket2::SockRef::from(&self.0).set_linger(reset.then_some(Duration::ZERO))
    }

    /// Shuts down the writing side.
    ///
    /// # Errors
    /// Those of `shutdown`, for example if the remote side has left.
    pub fn shutdown_write(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.0).shutdown(Shutdown::Write)
    }

    /// Reads into a buffer, waiting until data is available.
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

    /// Writes from buffers, waiting until there is space.
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

/// Whether a call failed for lack of a local resource: descriptors, memory, ports, or a route.
pub fn is_local_failure(error: &io::Error) -> bool {
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

/// Whether a call is to be repeated: at once after a signal, otherwise when the socket is ready again.
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
        Poll::Ready(Ok(())) // nothing is buffered here
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}
