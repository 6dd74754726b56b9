//! Endpoints: applies list updates, and what operators suspend and resume.

use super::Driver;
use crate::net::list_translator::ListUpdate;
use crate::net::log_text::log_unavailable;
use crate::net::manual_ejections::ManualEjections;
use gullpulley::{EndpointId, EndpointState, Event, Membership};
use std::collections::HashSet;
use tracing::info;

impl Driver {
    /// Whether the uid is listed, or is suspended and can be resumed.
    pub(super) fn is_known(&self, uid: &str) -> bool {
        self.manual_ejections.suspended.contains(uid)
            || self.addresses.contains_key(&self.context.discovery.id(uid))
    }

    /// Tells the policy which endpoints operators have suspended or resumed since the previous state.
    pub(super) fn apply_manual_ejections(&mut self, ejections: ManualEjections) {
        let before = std::mem::replace(&mut self.manual_ejections, ejections.clone());
        for uid in ejections.suspended.difference(&before.suspended) {
            info!(endpoint = uid, "endpoint {uid} suspended by an operator");
            let id = self.context.discovery.id(uid);
            self.context.outbound.block_unwritten(id);
            self.handle_event(Event::Suspend(id));
        }
        for (uid, _) in ejections.resumed.iter().filter(|(uid, at)| before.resumed.get(*uid) != Some(at)) {
            info!(endpoint = uid, "endpoint {uid} resumed by an operator");
            // Counted from when this process learns of it: its wall clock may have been stepped since.
            let (endpoint, at) = (self.context.discovery.id(uid), self.clock.now());
            self.handle_event(Event::Resume { endpoint, at });
        }
    }

    /// Applies a list update to the addresses and connections, and passes it to the policy.
    pub(super) fn apply_list_update(&mut self, update: ListUpdate) {
        for (id, address) in &update.addresses {
            let before = self.addresses.insert(*id, *address);
            if before.is_some_and(|before| before != *address) {
                self.context.outbound.pool.close_idle(*id);
            }
        }
        let (complete, entries) = match &update.membership {
            Membership::Full(entries) | Membership::Cached(entries) => (true, entries),
            Membership::Delta(entries) => (false, entries),
            Membership::FromPreviousAddress { whole, entries }
            | Membership::Unconfirmed { whole, entries } => (*whole, entries),
            Membership::Failed { .. } => {
                self.count_unusual("discovery failed");
                return self.handle_event(Event::Membership(update.membership));
            }
            Membership::Moved => return self.handle_event(Event::Membership(update.membership)),
        };
        let mut unavailable: [Vec<String>; 2] = Default::default();
        // These endpoints get no new attempts.
        for entry in entries.iter().filter(|entry| entry.state != EndpointState::Ready) {
            self.context.outbound.block_unwritten(entry.id);
            let gone = entry.state == EndpointState::Gone;
            unavailable[usize::from(gone)].push(self.context.discovery.uid(entry.id));
            if gone {
                self.addresses.remove(&entry.id);
            }
        }
        if complete {
            let outbound = &self.context.outbound;
            let listed_ids: HashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            self.addresses.retain(|id, _| {
                let listed = listed_ids.contains(id);
                if !listed {
                    outbound.block_unwritten(*id);
                }
                listed
            });
        }
        unavailable.iter().zip(["draining", "gone"]).for_each(|(uids, state)| log_unavailable(uids, state));
        self.handle_event(Event::Membership(update.membership));
    }
}
