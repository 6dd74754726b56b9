//! What lies between zones, and the relays through which all traffic between parts goes, so that a fault needs no
//! privileges: [`relay`] for connections, [`datagrams`] and [`streams`] for what copies say to each other.
//!
//! What it can't do: lose the first packet of a connection. The system completes every handshake on loopback, so a
//! connection through a path that is cut off comes up, and stays silent.

pub mod datagrams;
pub mod relay;
pub mod streams;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::time::sleep;

/// An address may still be held for a moment by a process that is just being started.
const BIND_TRIES: u32 = 100;
const BIND_WAIT: Duration = Duration::from_millis(10);

/// The way from one place to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// What is sent arrives so much later.
    pub delay: Duration,
    /// This part of the pieces of a connection is lost, and comes when it has been sent again; of datagrams for good.
    pub loss: f64,
    /// This part of the datagrams comes twice.
    pub duplicate: f64,
    /// This part of the datagrams comes after later ones.
    pub reorder: f64,
    /// At this part of its pieces a connection is reset.
    pub breaks: f64,
    /// Nothing comes through: a connection's bytes are held back until it does, datagrams are lost.
    pub cut: bool,
    /// Nothing comes through until all of it does: bytes and datagrams are held back.
    pub stalled: bool,
    /// What is sent is lost, and the connections that it was sent on stay silent for good.
    pub hole: bool,
    /// Connections are reset, and refused.
    pub reset: bool,
}

impl Way {
    /// One way after the other.
    pub fn then(self, next: Way) -> Way {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Way {
            delay: self.delay + next.delay,
            loss: either(self.loss, next.loss),
            duplicate: either(self.duplicate, next.duplicate),
            reorder: either(self.reorder, next.reorder),
            breaks: either(self.breaks, next.breaks),
            cut: self.cut || next.cut,
            stalled: self.stalled || next.stalled,
            hole: self.hole || next.hole,
            reset: self.reset || next.reset,
        }
    }
}

/// All ways: between zones, and what a fault adds between two copies.
pub struct Network {
    zones: usize,
    ways: Vec<watch::Sender<Way>>,
    between: Mutex<HashMap<(usize, usize), Way>>,
}

impl Network {
    /// Ways with these delays, by the numbers of the zones that they lead from and to.
    pub fn new(zones: usize, delay: impl Fn(usize, usize) -> Duration) -> Arc<Self> {
        let way = |i: usize| Way { delay: delay(i / zones, i % zones), ..Way::default() };
        let ways = (0..zones * zones).map(|i| watch::Sender::new(way(i))).collect();
        Arc::new(Network { zones, ways, between: Mutex::default() })
    }

    /// The way from one zone to another.
    pub fn way(&self, from: usize, to: usize) -> watch::Receiver<Way> {
        self.ways[from * self.zones + to].subscribe()
    }

    /// Changes the way from one zone to another.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut Way)) {
        self.ways[from * self.zones + to].send_modify(change);
    }

    /// Changes what lies between two copies, by their numbers, on top of their zones' way.
    pub fn change_between(&self, from: usize, to: usize, change: impl FnOnce(&mut Way)) {
        let mut between = self.between.lock().unwrap_or_else(PoisonError::into_inner);
        change(between.entry((from, to)).or_default());
    }

    /// The way from one copy to another, each with its number and its zone's.
    pub fn between(&self, from: (usize, usize), to: (usize, usize)) -> Way {
        let zones = *self.ways[from.1 * self.zones + to.1].borrow();
        let between = self.between.lock().unwrap_or_else(PoisonError::into_inner);
        between.get(&(from.0, to.0)).map_or(zones, |more| zones.then(*more))
    }
}

/// Binds an address that may still be in use for a moment.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    for _ in 0..BIND_TRIES {
        match bind() {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => sleep(BIND_WAIT).await,
            done => return done,
        }
    }
    bind()
}
