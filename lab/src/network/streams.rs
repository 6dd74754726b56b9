//! Relays of connections between copies, beside those of datagrams and at the same addresses. A copy connects from the
//! address at which it listens, by which it is told apart.

use super::datagrams::Post;
use super::relay::{PIECE, PIECES, RETRANSMITTED};
use super::{Network, Way, listen};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// How often a piece that is held back looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);

/// Passes connections among copies until the tasks are dropped.
pub async fn pass(posts: &[Post], network: &Arc<Network>, tasks: &mut JoinSet<()>) -> io::Result<()> {
    let posts: Arc<[Post]> = posts.into();
    for to in 0..posts.len() {
        let listener = listen(posts[to].known).await?;
        tasks.spawn(relay(listener, to, posts.clone(), network.clone()));
    }
    Ok(())
}

async fn relay(listener: TcpListener, to: usize, posts: Arc<[Post]>, network: Arc<Network>) {
    loop {
        let Ok((stream, source)) = listener.accept().await else { continue };
        let Some(from) = posts.iter().position(|post| post.own.ip() == source.ip()) else { continue };
        let (own, between) = (posts[to].own, ((from, posts[from].zone), (to, posts[to].zone)));
        let network = network.clone();
        tokio::spawn(async move {
            // An error: one of the two has gone, or the way broke; both ends are dropped.
            let _ = carry(stream, own, || network.between(between.0, between.1)).await;
        });
    }
}

/// Carries what one says to the other: later, again, or not until the way is open, as the way says.
async fn carry(mut from: TcpStream, own: std::net::SocketAddr, way: impl Fn() -> Way) -> io::Result<()> {
    let to = TcpStream::connect(own).await?;
    for stream in [&from, &to] {
        stream.set_nodelay(true)?;
        stream.set_zero_linger()?;
    }
    let (mut back, mut to) = to.into_split();
    let (pieces, mut waiting) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let read = async {
        let mut piece = vec![0; PIECE];
        loop {
            let size = from.read(&mut piece).await?;
            let Way { delay, loss, breaks, reset, .. } = way();
            let falls = |part: f64| part > 0.0 && rand::random::<f64>() < part;
            if size == 0 || reset || falls(breaks) {
                return Err(io::Error::from(io::ErrorKind::ConnectionReset));
            }
            let again = if falls(loss) { RETRANSMITTED + 2 * delay } else { Duration::ZERO };
            if pieces.send((Instant::now() + delay + again, piece[..size].to_vec())).await.is_err() {
                return Ok(());
            }
        }
    };
    let write = async {
        while let Some((due, piece)) = waiting.recv().await {
            sleep_until(due).await;
            while matches!(
                way(),
                Way { cut: true, .. } | Way { stalled: true, .. } | Way { hole: true, .. }
            ) {
                sleep(LOOK).await;
            }
            to.write_all(&piece).await?;
        }
        Ok(())
    };
    let ended = async {
        // Nothing is said this way: it only ends.
        let _ = back.read(&mut [0; 1]).await?;
        Err::<(), io::Error>(io::Error::from(io::ErrorKind::ConnectionReset))
    };
    tokio::try_join!(read, write, ended)?;
    Ok(())
}
