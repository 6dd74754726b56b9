//! The identity of a process in its fleet.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Limit on the name of a process and on the name of its zone, each, in bytes: two of each fit into a
/// datagram together with gossip about other members.
pub const MAX_NAME_BYTES: usize = 120;
/// Limit on the exponent of the step by which a process raises its generation when its peers know a later
/// one; enough for any clock error.
const MAX_STEP_EXPONENT: u8 = 48;

/// A start of a process on its state folder, once it is durable there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Random id, drawn once per folder.
    pub folder: u128,
    /// Number of starts on the folder, including this one.
    pub number: u64,
    /// Milliseconds since 1970 by the process's clock; distinguishes two starts with the same number.
    pub at: u64,
}

/// The identity that a process of the fleet announces. Two with one address are starts of one process: the
/// later one counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The address at which others reach it.
    pub address: SocketAddr,
    /// Its name in its configuration.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Increases with each start of the process: the milliseconds since 1970 at its start, by its clock.
    pub generation: u64,
    /// How often it had to take a later generation because its peers had declared this one down.
    pub claims: u8,
    /// It has announced that it leaves.
    pub leaving: bool,
    /// Its start, if it persists state.
    pub start: Option<Start>,
}

impl Peer {
    /// A peer of which only the address is known.
    pub(super) fn at(address: SocketAddr) -> Self {
        let (name, zone, generation, claims, leaving, start) = Default::default();
        Peer { address, name, zone, generation, claims, leaving, start }
    }
}

impl Identity for Peer {
    type Addr = SocketAddr;

    /// Called when peers have declared this generation down. The clock may have been set back since the
    /// generation that they remember: the steps double, so that it is soon exceeded however far the clock
    /// was set back.
    fn renew(&self) -> Option<Self> {
        let step = 1 << self.claims.min(MAX_STEP_EXPONENT);
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
