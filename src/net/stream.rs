//! A client's connection below HTTP: requests are served through one handle, and its end is detected
//! through another.

use super::monitored_connection::MonitoredConnection;
use gullpulley::TcpConnection;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// After the last answer a connection is read until nothing has arrived for this long. Closing it with
/// unread bytes resets it and discards what the system has not yet delivered: this leaves time for one
/// retransmission, and for the client to read it ...
const LINGER_GAP: Duration = Duration::from_millis(300);
/// ... but no longer than this in total: the connection holds a descriptor meanwhile.
const MAX_LINGER: Duration = Duration::from_secs(2);
/// Bytes read and discarded at once.
const DISCARD_BUFFER: usize = 4096;

/// A handle to a client's connection, which closes when the last handle is dropped.
#[derive(Clone)]
pub struct ClientStream(MonitoredConnection);

impl ClientStream {
    /// The first handle. Written data is sent without delay.
    pub fn new(stream: TcpStream) -> Self {
        ClientStream(MonitoredConnection::new(TcpConnection::new(stream)))
    }

    /// The connection, to be served.
    pub fn connection(&self) -> &MonitoredConnection {
        &self.0
    }

    /// Lets the system hold as much unsent as it likes, which it goes on sending when this process has ended.
    pub fn unlimit_unsent(&self) {
        let _ = self.0.tcp().limit_unsent(None); // the limit stays, and more is lost if the process is killed
    }

    /// Waits until the client has closed, reset or half-closed the connection while `relevant` holds. The
    /// HTTP library does not check for this as long as it has buffered bytes of a next request.
    pub async fn client_left(&self, relevant: impl Fn() -> bool) {
        // No urgent data is expected, so that only the end of the other side makes this ready.
        let mut ended = pin!(self.0.tcp().ready(Interest::PRIORITY));
        let mut ended_seen = false;
        poll_fn(|context| {
            ended_seen = ended_seen || ended.as_mut().poll(context).is_ready();
            if ended_seen && relevant() { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }

    /// Shuts down the writing side, and reads until the client closes its own or is silent.
    pub async fn close(self) {
        let deadline = Instant::now() + MAX_LINGER;
        let connection = self.0.tcp();
        let _ = connection.shutdown_write(); // fails if the client has left, which the next read reports
        let readable = || connection.ready(Interest::READABLE);
        while let Ok(Ok(_)) = timeout_at(deadline.min(Instant::now() + LINGER_GAP), readable()).await {
            match discard_input(connection) {
                Ok(1..) => yield_now().await, // a flood of data must not delay other tasks
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Ok(0) | Err(_) => return,
            }
        }
    }
}

/// Reads and discards what has come. The buffer isn't kept while more is waited for: very many connections close at once.
fn discard_input(connection: &TcpConnection) -> io::Result<usize> {
    connection.try_read(&mut [0; DISCARD_BUFFER])
}
