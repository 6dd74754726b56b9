//! Relays of datagrams between copies. Others know a copy by an address of the lab's; what comes there goes on to the
//! copy's own, as from the address that the sender is known by. So both ways of each pair go through the lab, and a
//! copy that others tell of is still reached through it.

use super::{Network, Way};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// No datagram is longer.
const LONGEST: usize = 65_536;
/// One that comes after later ones does so by up to this and twice the delay.
const REORDERED: Duration = Duration::from_millis(20);

/// How often a datagram that is held back looks whether it may go on.
const STALL_LOOK: Duration = Duration::from_millis(5);

/// Where a copy takes datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Post {
    /// Where it listens itself.
    pub own: SocketAddr,
    /// By which address others know it.
    pub known: SocketAddr,
    /// Its zone's number.
    pub zone: usize,
}

/// What a copy sent to others, whatever became of it.
#[derive(Debug, Default)]
pub struct Sent {
    /// Datagrams.
    pub datagrams: AtomicU64,
    /// Their bytes, without headers.
    pub bytes: AtomicU64,
}

struct Line {
    post: Post,
    socket: UdpSocket,
    sent: Arc<Sent>,
}

/// Passes datagrams among copies, in the order of their numbers, until the tasks are dropped; what each sent.
pub async fn pass(
    posts: &[Post],
    network: &Arc<Network>,
    tasks: &mut JoinSet<()>,
) -> io::Result<Vec<Arc<Sent>>> {
    let mut lines = Vec::new();
    for &post in posts {
        let socket = UdpSocket::bind(post.known).await?;
        lines.push(Line { post, socket, sent: Arc::default() });
    }
    let sent = lines.iter().map(|line| line.sent.clone()).collect();
    let senders: HashMap<SocketAddr, usize> =
        posts.iter().enumerate().map(|(i, post)| (post.own, i)).collect();
    let (lines, senders) = (Arc::new(lines), Arc::new(senders));
    for to in 0..lines.len() {
        tasks.spawn(relay(to, lines.clone(), senders.clone(), network.clone()));
    }
    Ok(sent)
}

/// Passes on what comes for one copy. Who is no copy is not heard: it can send to the copy's own address.
async fn relay(
    to: usize,
    lines: Arc<Vec<Line>>,
    senders: Arc<HashMap<SocketAddr, usize>>,
    network: Arc<Network>,
) {
    let mut datagram = vec![0; LONGEST];
    loop {
        let Ok((size, source)) = lines[to].socket.recv_from(&mut datagram).await else { continue };
        let Some(&from) = senders.get(&source) else { continue };
        lines[from].sent.datagrams.fetch_add(1, Ordering::Relaxed);
        lines[from].sent.bytes.fetch_add(size as u64, Ordering::Relaxed);
        let way = network.between((from, lines[from].post.zone), (to, lines[to].post.zone));
        let falls = |part: f64| part > 0.0 && rand::random::<f64>() < part;
        let Way { delay, loss, duplicate, reorder, cut, stalled, hole, .. } = way;
        if cut || hole || falls(loss) {
            continue;
        }
        for _ in 0..if falls(duplicate) { 2 } else { 1 } {
            let later = (REORDERED + 2 * delay).mul_f64(rand::random());
            let delay = delay + if falls(reorder) { later } else { Duration::ZERO };
            if delay.is_zero() && !stalled {
                // One that nobody takes is lost, as datagrams are.
                let _ = lines[from].socket.send_to(&datagram[..size], lines[to].post.own).await;
                continue;
            }
            let (lines, datagram) = (lines.clone(), datagram[..size].to_vec());
            let network = network.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                while network.between((from, lines[from].post.zone), (to, lines[to].post.zone)).stalled {
                    sleep(STALL_LOOK).await;
                }
                let _ = lines[from].socket.send_to(&datagram, lines[to].post.own).await;
            });
        }
    }
}
