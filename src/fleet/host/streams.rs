//! The thread that carries the log's frames over one-way connections, each opened by the sender. A peer
//! that does not read delays its own frames only.

use super::Stats;
use crate::TcpConnection;
use crate::fleet::log::MAX_FRAME_BYTES;
use crossbeam_channel::{Sender, TrySendError};
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::mpsc::{self, error::TrySendError as QueueError};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tracing::warn;

/// Frames that may be queued for one peer; when the queue is full the newest is dropped, as any may be lost
/// in transit.
pub const PEER_FRAME_CAPACITY: usize = 64;
/// Limit on incoming connections.
const MAX_CONNECTIONS: usize = 2048;
/// Connect timeout; the frame that waits for the connection is then dropped, as its sender repeats it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Write timeout of a frame; the frame is then lost, and its connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed connect or accept, and between attempts to bind an address in use.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Backlog of connections not yet accepted.
const BACKLOG: u32 = 128;

/// A frame and its destination.
pub(super) type OutgoingFrame = (SocketAddr, Vec<u8>);

/// Carries frames until the process ends.
pub(super) fn run(
    listen: SocketAddr,
    outgoing: mpsc::Receiver<OutgoingFrame>,
    received: &Sender<Vec<u8>>,
    stats: &Arc<Stats>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            return warn!(
                "fleet: could not start the streams runtime: {e}; this process takes no part in the log"
            );
        }
    };
    LocalSet::new().block_on(&runtime, async {
        spawn_local(accept(listen, received.clone(), stats.clone()));
        dispatch(listen, outgoing, stats).await;
    });
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Accepts connections and queues the frames received on them.
async fn accept(listen: SocketAddr, received: Sender<Vec<u8>>, stats: Arc<Stats>) {
    let listener = bind(listen).await;
    let connections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if connections.get() >= MAX_CONNECTIONS {
            continue; // closes the new connection
        }
        connections.set(connections.get() + 1);
        let (connections, received, stats) = (connections.clone(), received.clone(), stats.clone());
        spawn_local(async move {
            let mut frames = FramedRead::new(TcpConnection::new(stream), codec());
            // A frame that is too long or truncated ends its connection.
            while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, frames.next()).await {
                stats.frames[0].fetch_add(1, Relaxed);
                if let Err(TrySendError::Full(_)) = received.try_send(frame.to_vec()) {
                    stats.frames_lost.fetch_add(1, Relaxed);
                }
            }
            connections.set(connections.get() - 1);
        });
    }
}

/// Binds the address, retrying: during a hot restart the predecessor holds it until it ends.
async fn bind(listen: SocketAddr) -> TcpListener {
    let mut last_error = None;
    loop {
        match listen_at(listen) {
            Ok(listener) => return listener,
            Err(e) => {
                if last_error.replace(e.kind()) != Some(e.kind()) && e.kind() != ErrorKind::AddrInUse {
                    warn!(
                        "fleet: {listen}: bind failed: {e}; retrying, this process receives no log frames until it succeeds"
                    );
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn listen_at(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

/// Passes each frame to the task of its peer.
async fn dispatch(own: SocketAddr, mut outgoing: mpsc::Receiver<OutgoingFrame>, stats: &Arc<Stats>) {
    let mut peers: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>> = HashMap::new();
    while let Some((to, frame)) = outgoing.recv().await {
        let peer = peers.entry(to).or_insert_with(|| start_delivery(own, to, stats));
        match peer.try_send(frame) {
            Ok(()) => {}
            Err(QueueError::Full(_)) => drop(stats.frames_lost.fetch_add(1, Relaxed)),
            // The task of the peer has ended after the idle timeout.
            Err(QueueError::Closed(frame)) => {
                peers.retain(|_, peer| !peer.is_closed());
                let peer = peers.entry(to).or_insert_with(|| start_delivery(own, to, stats));
                let _ = peer.try_send(frame); // a new queue is empty
            }
        }
    }
}

fn start_delivery(own: SocketAddr, to: SocketAddr, stats: &Arc<Stats>) -> mpsc::Sender<Vec<u8>> {
    let (sender, queue) = mpsc::channel(PEER_FRAME_CAPACITY);
    spawn_local(deliver(own, to, queue, stats.clone()));
    sender
}

/// Delivers frames to one peer until none arrived for the idle timeout.
async fn deliver(own: SocketAddr, to: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>, stats: Arc<Stats>) {
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connect(own, to)).await else {
            stats.frames_lost.fetch_add(1, Relaxed);
            sleep(RETRY_DELAY).await;
            continue;
        };
        let (mut frames, mut next) = (FramedWrite::new(TcpConnection::new(stream), codec()), Some(first));
        while let Some(frame) = next {
            stats.frames[1].fetch_add(1, Relaxed);
            if !matches!(timeout(WRITE_TIMEOUT, frames.send(Bytes::from(frame))).await, Ok(Ok(()))) {
                stats.frames_lost.fetch_add(1, Relaxed);
                break;
            }
            next = timeout(IDLE_TIMEOUT, queue.recv()).await.ok().flatten();
        }
    }
}

/// Connects from the IP address that this process listens on, by which its peers know it.
async fn connect(own: SocketAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if own.is_ipv4() == to.is_ipv4() && !own.ip().is_unspecified() {
        socket.bind(SocketAddr::new(own.ip(), 0))?;
    }
    socket.connect(to).await
}
