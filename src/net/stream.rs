//! A client's connection below HTTP: it is served through one handle, and its end is seen through another.

use gullpulley::TcpConnection;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// After its end a connection is read on until nothing has come for so long. To close over unread bytes resets it, and
/// what the system has not yet delivered goes with it: time for that to be sent once more, and read ...
const LINGER_GAP: Duration = Duration::from_millis(300);
/// ... and no longer than this in all: it keeps its descriptor meanwhile.
const MAX_LINGER: Duration = Duration::from_secs(2);
/// Bytes thrown away at once.
const DISCARD_BUFFER: usize = 4096;

/// One handle of a client's connection, which closes with the last of them.
#[derive(Clone)]
pub struct ClientStream(Rc<TcpConnection>);

impl ClientStream {
    /// The first handle; what is written goes out at once.
    pub fn new(stream: TcpStream) -> Self {
        ClientStream(Rc::new(TcpConnection::new(stream)))
    }

    /// Waits until the client has closed or reset it, or ended its side, while `matters` holds. The HTTP library
    /// would not look as long as it has bytes of a next request.
    pub async fn client_left(&self, relevant: impl Fn() -> bool) {
        // Nothing is urgent here, so that only the end of the other side makes this ready.
        let mut ended = pin!(self.0.ready(Interest::PRIORITY));
        let mut ended_seen = false;
        poll_fn(|context| {
            ended_seen = ended_seen || ended.as_mut().poll(context).is_ready();
            if ended_seen && relevant() { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }

    /// Ends the writing side, and reads on until the client ends its own or rests.
    pub async fn close(self) {
        let deadline = Instant::now() + MAX_LINGER;
        let mut buffer = [0; DISCARD_BUFFER];
        let _ = self.0.end_writing(); // fails where the client has gone, which the next read tells
        let readable = || self.0.ready(Interest::READABLE);
        while let Ok(Ok(_)) = timeout_at(deadline.min(Instant::now() + LINGER_GAP), readable()).await {
            match self.0.try_read(&mut buffer) {
                Ok(1..) => yield_now().await, // a flood must not hold up others
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Ok(0) | Err(_) => return,
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.poll_read_some(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_write_some(context, &[io::IoSlice::new(data)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write_some(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // nothing is held back here
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.end_writing())
    }
}
