//! What discovery brings: endpoints, changes of the list, and how a call fails.

use super::{CellId, EndpointId, KindId, ZoneId};
use std::time::Duration;

/// What discovery says of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Which endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it may be sent to.
    pub state: EndpointState,
    /// Its weight, see [`WeightKind`](crate::WeightKind).
    pub weight: f64,
    /// When its process last started; `None` means long ago.
    pub started: Option<Duration>,
}

/// An endpoint's standing in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// May be sent to.
    Ready,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// What discovery brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The complete list: what is missing from it is gone.
    Full(Vec<EndpointInfo>),
    /// The complete list as last held, possibly stale; brought at the start.
    Cached(Vec<EndpointInfo>),
    /// Changed entries only.
    Delta(Vec<EndpointInfo>),
    /// What the discovery which was moved from had still to tell; no watch is up by it.
    FromPreviousAddress {
        /// The complete list: what is missing from it is gone.
        whole: bool,
        /// Its entries.
        entries: Vec<EndpointInfo>,
    },
    /// The list as a watch at an address that discovery has moved to first tells it, with no newer version: it may be
    /// behind, as one that has just taken over is. The watch is up; whether the list is current is not known yet.
    Unconfirmed {
        /// The complete list: what is missing from it is gone.
        whole: bool,
        /// Its entries.
        entries: Vec<EndpointInfo>,
    },
    /// A call to discovery failed or the subscription broke; the list stays.
    Failed {
        /// How long the watch that broke had brought nothing; zero where that is not known.
        silent_for: Duration,
        /// What failed.
        failure: DiscoveryFailure,
    },
    /// Discovery is at another address from now on, and the watch at the old one is over; the list stays.
    Moved,
}

/// What failed at discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// A call found that nothing listens there.
    NotListening,
    /// A call was refused at once: it has taken nothing of discovery's time.
    RefusedAtOnce,
    /// A call was sent away after it had waited: others are served, in their turn.
    SentAway,
    /// No connection for a call came up.
    NotConnected,
    /// A call was taken and got no whole answer, or the watch is over.
    Unanswered,
    /// A watch that was up has fallen silent: what it misses counts as known whether or not it comes.
    WatchSilent,
}

/// What a failure proves of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryEvidence {
    /// It was down at that time: it can tell nobody anything.
    Down,
    /// Nothing: it may be up behind a full queue of connections, or a link that is cut.
    Unknown,
    /// It, or what stands before it, answered or took a connection: it may be up.
    Up,
}

impl DiscoveryFailure {
    /// Whether discovery, or the machine where it should be, has turned a call away. No connection and an
    /// answer that is not whole or out of date are none.
    pub fn is_refusal(self) -> bool {
        use DiscoveryFailure::{NotListening, RefusedAtOnce, SentAway};
        matches!(self, NotListening | RefusedAtOnce | SentAway)
    }

    /// What this failure proves.
    pub fn evidence(self) -> DiscoveryEvidence {
        match self {
            DiscoveryFailure::NotListening => DiscoveryEvidence::Down,
            DiscoveryFailure::NotConnected => DiscoveryEvidence::Unknown,
            DiscoveryFailure::RefusedAtOnce
            | DiscoveryFailure::SentAway
            | DiscoveryFailure::Unanswered
            | DiscoveryFailure::WatchSilent => DiscoveryEvidence::Up,
        }
    }
}

impl EndpointInfo {
    /// A warm, ready endpoint of zone 0, for tests and first steps.
    pub fn ready(id: u64) -> Self {
        EndpointInfo {
            id: EndpointId(id),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: EndpointState::Ready,
            weight: 1.0,
            started: None,
        }
    }
}
