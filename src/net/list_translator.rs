//! Translates endpoint lists from discovery's format into the policy's types.

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

/// An update of the endpoint list in the policy's types, with the addresses of the endpoints.
pub struct ListUpdate {
    /// For the policy.
    pub membership: Membership,
    /// Addresses of the endpoints in the update.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

impl ListUpdate {
    /// An update without addresses.
    pub fn of(membership: Membership) -> Self {
        ListUpdate { membership, addresses: Vec::new() }
    }

    /// States that the list is current as it is.
    pub fn unchanged() -> Self {
        ListUpdate::of(Membership::Delta(Vec::new()))
    }
}

/// Assigns ids to endpoints and translates lists.
pub struct ListTranslator {
    names: Names,
    clock: Clock,
    ids: RefCell<EndpointNames>,
    starts: RefCell<StartTimes>,
}

impl ListTranslator {
    /// A translator with the configured names of zones and kinds, and no endpoints yet.
    pub fn new(names: Names, clock: Clock) -> Self {
        ListTranslator { names, clock, ids: RefCell::default(), starts: RefCell::default() }
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.ids.borrow().name(id).to_owned()
    }

    /// The id of a uid; a new one is assigned to an unknown uid.
    pub fn id(&self, uid: &str) -> EndpointId {
        self.ids.borrow_mut().id(uid)
    }

    /// Translates a list. If it names an endpoint twice, the last entry counts.
    pub fn translate(&self, list: List) -> ListUpdate {
        let (mut entries, mut addresses, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        let (mut starts, now) = (self.starts.borrow_mut(), self.clock.now());
        starts.observe(list.targets.iter().map(|target| target.boot_ms as u64), now);
        for target in list.targets.into_iter().rev() {
            let id = self.id(&target.uid);
            if !seen.insert(id) {
                continue;
            }
            addresses.push((id, target.endpoint));
            let started = starts.started_at(id, target.boot_ms as u64, now);
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
            zone: ZoneId(index_of(&self.names.areas, &target.az)),
            kind: KindId(index_of(&self.names.kinds, &target.model)),
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

/// The index of a name among the configured ones; an unknown name gets the index after the last.
fn index_of(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).unwrap_or(names.len()) as u32
}
