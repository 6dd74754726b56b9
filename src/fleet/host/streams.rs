//! The thread that carries the log's frames, over connections that each go one way: who has something to say connects.
//! A peer that does not read holds up what is for it, and nothing else.

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
use tokio::sync::mpsc::{self, error::TrySendError as Unqueued};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tracing::warn;

/// Frames that may wait for one peer: at more the newest is dropped, as any may be lost on its way.
pub const PEER_FRAME_CAPACITY: usize = 64;
/// Connections taken at most.
const TAKEN_MOST: usize = 2048;
/// A connection that is not up by then has failed, and what waits for it is dropped: it is said again.
const CONNECT: Duration = Duration::from_secs(1);
/// A frame that is not taken by then is lost, with its connection.
const WRITE: Duration = Duration::from_secs(3);
/// Wait after a failed connect or accept, and between two looks at an address that is in use.
const PAUSE: Duration = Duration::from_millis(100);
/// A connection on which nothing is said for so long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// Connections that wait to be taken.
const BACKLOG: u32 = 128;

/// A frame, and where it goes.
pub(super) type Posted = (SocketAddr, Vec<u8>);

/// Carries frames until the process ends.
pub(super) fn work(
    listen: SocketAddr,
    posted: mpsc::Receiver<Posted>,
    came: &Sender<Vec<u8>>,
    stats: &Arc<Stats>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return warn!("fleet: {e}; this process has no part in the log"),
    };
    LocalSet::new().block_on(&runtime, async {
        spawn_local(take(listen, came.clone(), stats.clone()));
        post(listen, posted, stats).await;
    });
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Takes connections, and the frames that come over them.
async fn take(listen: SocketAddr, came: Sender<Vec<u8>>, stats: Arc<Stats>) {
    let listener = bind(listen).await;
    let taken = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        if taken.get() >= TAKEN_MOST {
            continue; // dropped
        }
        taken.set(taken.get() + 1);
        let (taken, came, stats) = (taken.clone(), came.clone(), stats.clone());
        spawn_local(async move {
            let mut frames = FramedRead::new(TcpConnection::new(stream), codec());
            // A frame that is too long, or cut short, ends its connection.
            while let Ok(Some(Ok(frame))) = timeout(IDLE, frames.next()).await {
                stats.frames[0].fetch_add(1, Relaxed);
                if let Err(TrySendError::Full(_)) = came.try_send(frame.to_vec()) {
                    stats.frames_lost.fetch_add(1, Relaxed);
                }
            }
            taken.set(taken.get() - 1);
        });
    }
}

/// During an upgrade the older process has the address until it ends.
async fn bind(listen: SocketAddr) -> TcpListener {
    let mut told = None;
    loop {
        match listen_at(listen) {
            Ok(listener) => return listener,
            Err(e) => {
                if told.replace(e.kind()) != Some(e.kind()) && e.kind() != ErrorKind::AddrInUse {
                    warn!(
                        "fleet: {listen}: {e}; this process hears nothing of the log until that is mended"
                    );
                }
                sleep(PAUSE).await;
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

/// Hands each frame to the task of its peer.
async fn post(own: SocketAddr, mut posted: mpsc::Receiver<Posted>, stats: &Arc<Stats>) {
    let mut peers: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>> = HashMap::new();
    while let Some((to, frame)) = posted.recv().await {
        let peer = peers.entry(to).or_insert_with(|| begin(own, to, stats));
        match peer.try_send(frame) {
            Ok(()) => {}
            Err(Unqueued::Full(_)) => drop(stats.frames_lost.fetch_add(1, Relaxed)),
            // Its task has ended as nothing was said for long.
            Err(Unqueued::Closed(frame)) => {
                peers.retain(|_, peer| !peer.is_closed());
                let peer = peers.entry(to).or_insert_with(|| begin(own, to, stats));
                let _ = peer.try_send(frame); // it is empty
            }
        }
    }
}

fn begin(own: SocketAddr, to: SocketAddr, stats: &Arc<Stats>) -> mpsc::Sender<Vec<u8>> {
    let (frames, waiting) = mpsc::channel(PEER_FRAME_CAPACITY);
    spawn_local(deliver(own, to, waiting, stats.clone()));
    frames
}

/// Delivers to one peer until nothing has been for it for long.
async fn deliver(own: SocketAddr, to: SocketAddr, mut waiting: mpsc::Receiver<Vec<u8>>, stats: Arc<Stats>) {
    while let Ok(Some(first)) = timeout(IDLE, waiting.recv()).await {
        let Ok(Ok(stream)) = timeout(CONNECT, connect(own, to)).await else {
            stats.frames_lost.fetch_add(1, Relaxed);
            sleep(PAUSE).await;
            continue;
        };
        let (mut frames, mut next) = (FramedWrite::new(TcpConnection::new(stream), codec()), Some(first));
        while let Some(frame) = next {
            stats.frames[1].fetch_add(1, Relaxed);
            if !matches!(timeout(WRITE, frames.send(Bytes::from(frame))).await, Ok(Ok(()))) {
                stats.frames_lost.fetch_add(1, Relaxed);
                break;
            }
            next = timeout(IDLE, waiting.recv()).await.ok().flatten();
        }
    }
}

/// From the address at which this process is in the fleet: there it is known.
async fn connect(own: SocketAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if own.is_ipv4() == to.is_ipv4() && !own.ip().is_unspecified() {
        socket.bind(SocketAddr::new(own.ip(), 0))?;
    }
    socket.connect(to).await
}
