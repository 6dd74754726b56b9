//! Which loopback address each part of a deployment has.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports of one deployment: endpoints and copies at most.
pub(super) const PORTS: u16 = 4000;
/// The first port; above those of well-known services, and below those that the system gives out.
const PORT: u16 = 4100;
/// Deployments of one process that can stand at once.
const DEPLOYMENTS: u16 = 7;
static STOOD: AtomicU16 = AtomicU16::new(0);

/// Sorts of parts, above the zones' numbers.
pub(super) const ENDPOINT: usize = 200;
pub(super) const CLIENTS: usize = 201;
pub(super) const DOOR: usize = 202;
pub(super) const DISCOVERY: usize = 203;
pub(super) const ECHO: usize = 204;
pub(super) const DISCOVERY_MOVED: usize = 205;
pub(super) const KNOWN: usize = 206;
/// Below them, a copy's own: so many can be told apart by where they connect from.
const COPIES: usize = 20;
const COPIES_APART: usize = 180;

/// The addresses of one deployment: an IP address for each sort of part, a port for each part.
pub(super) struct Addresses {
    process: [u8; 2],
    base: u16,
}

impl Addresses {
    pub(super) fn new() -> Self {
        let process = std::process::id();
        let turn = STOOD.fetch_add(1, Ordering::SeqCst) % DEPLOYMENTS;
        Addresses { process: [1 + (process >> 8) as u8 % 250, process as u8], base: PORT + turn * PORTS }
    }

    /// Where a copy takes what others say to it, and from where it speaks.
    pub(super) fn of_copy(&self, number: usize) -> SocketAddr {
        self.at(COPIES + number % COPIES_APART, number)
    }

    pub(super) fn at(&self, sort: usize, number: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.process[0], self.process[1], 1 + sort as u8);
        SocketAddr::from((ip, self.base + number as u16))
    }
}
