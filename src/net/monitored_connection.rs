//! A connection that records whether the other side still takes what is written to it.

use gullpulley::TcpConnection;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Whether the writes to a connection proceed.
#[derive(Default)]
pub struct WriteProgress {
    blocked_since: Cell<Option<Instant>>,
}

impl WriteProgress {
    /// Since when the system has taken no byte though there was one to write; none while it takes them.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get()
    }

    fn record(&self, write: &Poll<io::Result<usize>>) {
        let blocked_since = match write {
            Poll::Pending => self.blocked_since.get().or_else(|| Some(Instant::now())),
            Poll::Ready(_) => None,
        };
        self.blocked_since.set(blocked_since);
    }
}

/// A connection whose writes are recorded.
pub struct MonitoredConnection {
    connection: TcpConnection,
    progress: Rc<WriteProgress>,
}

impl MonitoredConnection {
    /// Wraps a connection on which nothing has been written.
    pub fn new(connection: TcpConnection) -> Self {
        MonitoredConnection { connection, progress: Rc::default() }
    }

    /// Wraps an accepted stream.
    pub fn accepted(stream: TcpStream) -> Self {
        MonitoredConnection::new(TcpConnection::new(stream))
    }

    /// The connection itself.
    pub fn connection(&self) -> &TcpConnection {
        &self.connection
    }

    /// The record of its writes.
    pub fn write_progress(&self) -> Rc<WriteProgress> {
        self.progress.clone()
    }

    /// Writes from buffers, waiting until there is space.
    pub fn poll_write_some(
        &self,
        context: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = self.connection.poll_write_some(context, data);
        self.progress.record(&write);
        write
    }
}
