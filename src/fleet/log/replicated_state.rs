//! The agreed state: cells that are changed by orders, each applied once however often it comes, in one order for all.

use super::wire::VoterChange;
use crate::fleet::sequence_window::{SequenceWindow, WINDOW};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Cells there may be.
pub const MAX_KEYS: usize = 10_000;
/// Bytes of all cells together: the whole state goes to others in one frame.
pub const MAX_STATE_BYTES: usize = 8 << 20;
/// Bytes of a cell's name and content together.
pub const MAX_KEY_VALUE_BYTES: usize = 64 << 10;
/// Clients that are remembered: beyond them the one that has ordered nothing for longest is forgotten.
const MAX_CLIENTS: usize = 4096;

/// What is to be changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The cell's name.
    #[serde(rename = "cell")]
    pub key: String,
    /// What it is to hold; none to remove it.
    pub bytes: Option<Vec<u8>>,
    /// Only if its last change was at this index, 0 for a cell that is not there; none for in any case.
    pub expected: Option<u64>,
}

/// An order: it is carried out once, however often it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Who orders: drawn at each start of a process.
    pub client: u128,
    /// The orders of a client are numbered from 1.
    pub number: u64,
    /// What is to be changed.
    pub put: Put,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is carried out, at this index.
    Done(u64),
    /// The cell was last changed at this index, not as expected; nothing was changed.
    Changed(u64),
    /// There are too many cells, or it is too large; nothing was changed.
    TooMuch,
}

/// A cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The index of its last change.
    pub index: u64,
    /// What it holds.
    pub bytes: Vec<u8>,
}

/// What was carried out for a client.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Client {
    seen: SequenceWindow,
    /// The index of its last order.
    #[serde(rename = "at")]
    last_index: u64,
    /// What became of its latest, by number: for those that hear of it by a snapshot only.
    outcomes: BTreeMap<u64, Outcome>,
}

/// Everything that is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The names of those with a part in the vote, by number.
    pub names: BTreeMap<u64, String>,
    #[serde(rename = "cells")]
    values: BTreeMap<String, Value>,
    /// Bytes of all cells.
    size: usize,
    clients: BTreeMap<u128, Client>,
}

impl ReplicatedState {
    /// The state at a founding.
    pub(super) fn founded(members: &BTreeMap<String, u64>) -> Self {
        let names = members.iter().map(|(name, id)| (*id, name.clone())).collect();
        ReplicatedState { names, ..ReplicatedState::default() }
    }

    /// Who votes or learns has changed: what the one that it is about is called, and who has left. By the entry alone, as
    /// those that follow know nothing else of it.
    pub(super) fn apply_voter_changes(&mut self, changes: &[VoterChange], context: &[u8]) {
        if let Ok((id, name)) = postcard::from_bytes::<(u64, String)>(context) {
            self.names.insert(id, name);
        }
        for change in changes {
            if let VoterChange::Remove(id) = change {
                self.names.remove(id);
            }
        }
    }

    /// What a cell holds, and since when.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// All cells whose names begin so, by name.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let from = self.values.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(key, value)| (key.as_str(), value))
    }

    /// What became of a client's order, where it is still known.
    pub fn outcome(&self, client: u128, number: u64) -> Option<Outcome> {
        self.clients.get(&client)?.outcomes.get(&number).copied()
    }

    /// Carries out an order; none where it has been before, or is too old to tell.
    pub(super) fn apply(&mut self, index: u64, command: Command) -> Option<Outcome> {
        let Command { client, number, put } = command;
        if !self.is_new(index, client, number) {
            return None;
        }
        let outcome = self.put(index, put);
        if let Some(client) = self.clients.get_mut(&client) {
            client.outcomes.insert(number, outcome);
            while client.outcomes.len() > WINDOW as usize {
                client.outcomes.pop_first();
            }
        }
        Some(outcome)
    }

    fn is_new(&mut self, index: u64, id: u128, number: u64) -> bool {
        // Of a client that is not known only its first ones: the others may have been carried out before it was forgotten.
        if number == 0 || !self.clients.contains_key(&id) && number > WINDOW {
            return false;
        }
        let client = self.clients.entry(id).or_default();
        client.last_index = index;
        let new = client.seen.insert(number);
        if self.clients.len() > MAX_CLIENTS {
            let least_recent =
                self.clients.iter().min_by_key(|(_, client)| client.last_index).map(|(id, _)| *id);
            least_recent.and_then(|id| self.clients.remove(&id));
        }
        new
    }

    fn put(&mut self, index: u64, put: Put) -> Outcome {
        let Put { key, bytes, expected } = put;
        let current = self.values.get(&key).map_or(0, |value| value.index);
        if expected.is_some_and(|expected| expected != current) {
            return Outcome::Changed(current);
        }
        let before = self.values.get(&key).map_or(0, |known| key.len() + known.bytes.len());
        let size = bytes.as_ref().map_or(0, |bytes| key.len() + bytes.len());
        let fits = current > 0 || self.values.len() < MAX_KEYS;
        if size > 0 && (!fits || size > MAX_KEY_VALUE_BYTES || self.size - before + size > MAX_STATE_BYTES)
        {
            return Outcome::TooMuch;
        }
        self.size = self.size - before + size;
        match bytes {
            None => drop(self.values.remove(&key)),
            Some(bytes) => drop(self.values.insert(key, Value { index, bytes })),
        }
        Outcome::Done(index)
    }
}
