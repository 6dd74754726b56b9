//! Input from discovery: endpoints, updates of the endpoint list, and failures of calls to discovery.

use super::{CellId, EndpointId, KindId, ZoneId};
use std::time::Duration;

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// The kind of machine that it runs on.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state in the list.
    pub state: EndpointState,
    /// Its weight, see [`WeightKind`](crate::WeightKind).
    pub weight: f64,
    /// When its process last started; `None` if so long ago that its slow start is over.
    pub started: Option<Duration>,
}

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// May get requests.
    Ready,
    /// Finishes the requests that it has; must get no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An update of the endpoint list, or a change of the connection to discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The complete list: endpoints missing from it are removed.
    Full(Vec<EndpointInfo>),
    /// The cached endpoint list, complete but possibly stale; read at the start.
    Cached(Vec<EndpointInfo>),
    /// The changed entries only.
    Delta(Vec<EndpointInfo>),
    /// An update that still came from the address that discovery has moved away from. It does not mean that
    /// a watch is up.
    FromPreviousAddress {
        /// Whether the list is complete: endpoints missing from it are removed.
        whole: bool,
        /// Its entries.
        entries: Vec<EndpointInfo>,
    },
    /// The first list from a watch at the address that discovery has moved to, of no newer version than the
    /// list held. A discovery server that has just taken over may be behind: the watch is up, but whether
    /// the list is current is not known yet.
    Unconfirmed {
        /// Whether the list is complete: endpoints missing from it are removed.
        whole: bool,
        /// Its entries.
        entries: Vec<EndpointInfo>,
    },
    /// A call to discovery failed, or the watch ended. The list stays as it is.
    Failed {
        /// How long the watch had been silent when it ended; zero if that is not known.
        silent_for: Duration,
        /// The kind of failure.
        failure: DiscoveryFailure,
    },
    /// Discovery has moved to another address, and the watch at the old one is over. The list stays as it
    /// is.
    Moved,
}

/// A failure of a call to discovery, or of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// The connection was refused: nothing listens at the address.
    NotListening,
    /// The call was refused at once: it has not waited in discovery's queue, and has cost discovery no
    /// time.
    RefusedAtOnce,
    /// The call was refused after it had waited in discovery's queue, as discovery serves other callers in
    /// turn.
    SentAway,
    /// No connection could be established.
    NotConnected,
    /// The call was accepted but got no complete answer, or the watch ended.
    Unanswered,
    /// An open watch became silent. Changes that it fails to deliver count as known to this process all the
    /// same.
    WatchSilent,
}

/// What a failure proves about the state of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryEvidence {
    /// It was down at that time, so that no process can have got anything from it.
    Down,
    /// Nothing: it may be up, but behind a full listen queue or a network partition.
    Unknown,
    /// Discovery or a proxy in front of it answered or accepted a connection: it may be up.
    Up,
}

impl DiscoveryFailure {
    /// Whether discovery, or the host at its address, has refused a call. A connection that could not be
    /// established and an incomplete or outdated answer are no refusals.
    pub fn is_refusal(self) -> bool {
        use DiscoveryFailure::{NotListening, RefusedAtOnce, SentAway};
        matches!(self, NotListening | RefusedAtOnce | SentAway)
    }

    /// What this failure proves about the state of discovery.
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
    /// A ready endpoint of zone 0 that is past its slow start, for tests and examples.
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
