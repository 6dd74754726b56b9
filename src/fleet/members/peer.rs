//! Who a process is to the others of its fleet.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of a process's name and of its zone's, each: two of them and what is told of others fit a datagram.
pub const MAX_NAME_BYTES: usize = 120;
/// A process that its peers believe to be an older one gains on them by doubling steps; these are enough for any clock.
const STEPS_MOST: u8 = 48;

/// A start of a process on its state folder, once it is durable there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Drawn once for a folder.
    pub folder: u128,
    /// Starts on it, this one included.
    pub number: u64,
    /// Milliseconds since 1970 by the process's clock: tells two starts of one number apart.
    pub at: u64,
}

/// A process of the fleet, as it says of itself. Two with one address are lives of one process: the later one counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its name in its configuration.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Goes up with each life of it: the milliseconds since 1970 at its start, where its clock was right.
    pub generation: u64,
    /// How often it had to claim a later generation, as its peers remembered this one as gone.
    pub claims: u8,
    /// It has said that it leaves.
    pub leaving: bool,
    /// Its start, where it keeps a state.
    pub start: Option<Start>,
}

impl Peer {
    /// Somebody at this address, of whom nothing else is known.
    pub(super) fn at(address: SocketAddr) -> Self {
        let (name, zone, generation, claims, leaving, start) = Default::default();
        Peer { address, name, zone, generation, claims, leaving, start }
    }
}

impl Identity for Peer {
    type Addr = SocketAddr;

    /// Peers remember this life as gone. Its clock may have been put back since the one that they remember: the steps
    /// double, so that it passes that one soon however far back.
    fn renew(&self) -> Option<Self> {
        let step = 1 << self.claims.min(STEPS_MOST);
        let generation = self.generation.saturating_add(step);
        (!self.leaving).then(|| Peer { generation, claims: self.claims.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.generation, self.leaving) > (other.generation, other.leaving)
    }
}
