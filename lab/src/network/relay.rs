//! Relays of connections: they delay bytes, hold them back or lose them, and reset or refuse connections.

use super::{Way, listen};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Pieces on their way through one direction of a relay.
pub(super) const PIECES: usize = 256;
/// The least time after which the system sends a lost piece again.
pub(super) const RETRANSMITTED: Duration = Duration::from_millis(200);
/// Bytes read at once.
pub(super) const PIECE: usize = 16 * 1024;

/// Where a relay stands, and between which zones.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Where it listens.
    pub at: SocketAddr,
    /// What it leads to.
    pub target: SocketAddr,
}

/// Relays connections for as long as the target is `up`: while it is not, they are refused, as a machine without the
/// process does, and those that stand are reset. It begins with a listener at its place.
pub async fn relay(
    first: TcpListener,
    place: Place,
    there: watch::Receiver<Way>,
    back: watch::Receiver<Way>,
    mut up: watch::Receiver<bool>,
) -> io::Result<()> {
    let (mut reset, mut first) = (there.clone(), Some(first));
    loop {
        let gone = up.wait_for(|up| *up).await.is_err();
        if gone || reset.wait_for(|way| !way.reset).await.is_err() {
            return Ok(()); // the world is being taken down
        }
        let listener = match first.take() {
            Some(listener) => listener,
            None => listen(place.at).await?,
        };
        let ended = watch::Sender::new(());
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((client, _)) = accepted {
                    let (there, back, mut end) = (there.clone(), back.clone(), ended.subscribe());
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = pass(client, place.target, there, back) => {}
                            _ = end.changed() => {}
                        }
                    });
                },
                down = up.wait_for(|up| !*up) => { if down.is_err() { return Ok(()) } break }
                cut = reset.wait_for(|way| way.reset) => { if cut.is_err() { return Ok(()) } break }
            }
        }
        drop(listener);
        ended.send_replace(());
    }
}

/// What a relay without a delay adds to a round trip, at the median over so many of them to an echo and back, half
/// directly and half through a relay, in turn.
pub async fn overhead(direct: SocketAddr, relayed: SocketAddr, trips: usize) -> io::Result<Duration> {
    let echo = listen(direct).await?;
    let echoing = tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await; // until the caller leaves
            });
        }
    });
    let way = watch::Sender::new(Way::default());
    let up = watch::Sender::new(true);
    let place = Place { at: relayed, target: direct };
    let first = listen(relayed).await?;
    let relaying = tokio::spawn(relay(first, place, way.subscribe(), way.subscribe(), up.subscribe()));
    let mut streams = [TcpStream::connect(direct).await?, TcpStream::connect(relayed).await?];
    for stream in &streams {
        stream.set_nodelay(true)?;
    }
    let mut times: [Vec<Duration>; 2] = Default::default();
    for _ in 0..trips {
        for (stream, times) in streams.iter_mut().zip(&mut times) {
            let began = Instant::now();
            stream.write_all(&[0; 200]).await?;
            stream.read_exact(&mut [0; 200]).await?;
            times.push(began.elapsed());
        }
    }
    echoing.abort();
    relaying.abort();
    let [direct, through] = times.map(|mut times| {
        times.sort();
        times.get(times.len() / 2).copied().unwrap_or_default()
    });
    Ok(through.saturating_sub(direct))
}

/// Passes one connection through; dropped midway it resets both sides.
async fn pass(
    client: TcpStream,
    target: SocketAddr,
    there: watch::Receiver<Way>,
    back: watch::Receiver<Way>,
) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    for stream in [&client, &server] {
        stream.set_nodelay(true)?;
        stream.set_zero_linger()?;
    }
    let ((client_in, client_out), (server_in, server_out)) = (client.into_split(), server.into_split());
    // Where one way breaks both ends are dropped, which resets them.
    tokio::try_join!(pump(client_in, server_out, there), pump(server_in, client_out, back))?;
    Ok(())
}

/// Passes bytes one way, each piece as much later as the way says when it comes; an error where the connection breaks.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut way: watch::Receiver<Way>,
) -> io::Result<()> {
    let now = way.clone();
    let (pieces, mut waiting) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let read = async move {
        let (mut piece, mut swallowed) = (vec![0; PIECE], false);
        while let Ok(size @ 1..) = from.read(&mut piece).await {
            let Way { delay, loss, breaks, hole, .. } = *now.borrow();
            let falls = |part: f64| part > 0.0 && rand::random::<f64>() < part;
            if falls(breaks) {
                return Err(io::Error::from(io::ErrorKind::ConnectionReset));
            }
            swallowed |= hole;
            if swallowed {
                continue;
            }
            let again = if falls(loss) { RETRANSMITTED + 2 * delay } else { Duration::ZERO };
            if pieces.send((Instant::now() + delay + again, piece[..size].to_vec())).await.is_err() {
                break;
            }
        }
        if swallowed {
            std::future::pending::<()>().await; // nobody hears of the end either
        }
        Ok(())
    };
    let write = async move {
        while let Some((due, piece)) = waiting.recv().await {
            if due > Instant::now() {
                sleep_until(due).await;
            }
            if way.wait_for(|way| !way.cut && !way.stalled).await.is_err()
                || to.write_all(&piece).await.is_err()
            {
                return Ok(());
            }
        }
        let _ = to.shutdown().await; // an orderly end goes on as one
        Ok(())
    };
    tokio::try_join!(read, write)?;
    Ok(())
}
