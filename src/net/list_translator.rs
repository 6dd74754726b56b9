//! Lists as discovery words them, in the module's terms.

use super::clock::Clock;
use super::start_times::StartTimes;
use gullpulley::config::{List, Names, State, Target};
use gullpulley::{
    CellId, EndpointId, EndpointInfo, EndpointNames, EndpointState, KindId, Membership, ZoneId,
};
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// An update of the list in the module's terms, and where the endpoints are.
pub struct ListUpdate {
    /// For the module.
    pub membership: Membership,
    /// Addresses of those named.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

impl ListUpdate {
    /// An update that names no endpoint's address.
    pub fn of(membership: Membership) -> Self {
        ListUpdate { membership, addresses: Vec::new() }
    }

    /// The list is current as it is.
    pub fn unchanged() -> Self {
        ListUpdate::of(Membership::Delta(Vec::new()))
    }
}

/// Gives endpoints their ids, and lists their meaning.
pub struct ListTranslator {
    names: Names,
    clock: Clock,
    ids: RefCell<EndpointNames>,
    starts: RefCell<StartTimes>,
}

impl ListTranslator {
    /// One that knows the names of zones and kinds, and no endpoint yet.
    pub fn new(names: Names, clock: Clock) -> Self {
        ListTranslator { names, clock, ids: RefCell::default(), starts: RefCell::default() }
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.ids.borrow().name(id).to_owned()
    }

    /// The id of a uid, known or not.
    pub fn id(&self, uid: &str) -> EndpointId {
        self.ids.borrow_mut().id(uid)
    }

    /// A list in the module's terms. Of an endpoint named twice the last word counts.
    pub fn news(&self, list: List) -> ListUpdate {
        let (mut entries, mut addresses, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        let (mut starts, now) = (self.starts.borrow_mut(), self.clock.now());
        starts.take(list.targets.iter().map(|target| target.boot_ms as u64), now);
        for target in list.targets.into_iter().rev() {
            let id = self.id(&target.uid);
            if !seen.insert(id) {
                continue;
            }
            addresses.push((id, target.endpoint));
            let started = starts.started(id, target.boot_ms as u64, now);
            entries.push(self.entry(id, started, &target));
        }
        entries.reverse();
        if list.all {
            starts.retain(|id| seen.contains(&id));
        }
        let membership = if list.all { Membership::Full(entries) } else { Membership::Delta(entries) };
        ListUpdate { membership, addresses }
    }

    fn entry(&self, id: EndpointId, started: Option<Duration>, target: &Target) -> EndpointInfo {
        EndpointInfo {
            id,
            zone: ZoneId(place(&self.names.areas, &target.az)),
            kind: KindId(place(&self.names.kinds, &target.model)),
            cell: CellId(target.pod_group),
            state: match target.state {
                State::Up => EndpointState::Ready,
                State::Draining => EndpointState::Draining,
                State::Removed => EndpointState::Gone,
            },
            weight: target.capacity_hint,
            started,
        }
    }
}

/// A name's place among those of the settings; the one behind the last where it is not among them.
fn place(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).unwrap_or(names.len()) as u32
}
