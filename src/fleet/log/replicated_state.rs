//! The replicated state: a key-value map that is changed by commands. Each command is applied once, however often it
//! is sent, and in the same order in all processes.

use super::wire::VoterChange;
use crate::fleet::sequence_window::{SequenceWindow, WINDOW};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limit on the number of keys.
pub const MAX_KEYS: usize = 10_000;
/// Limit on the bytes of all keys and values together: a snapshot has to fit in one frame.
pub const MAX_STATE_BYTES: usize = 8 << 20;
/// Limit on the bytes of one key and its value together.
pub const MAX_KEY_VALUE_BYTES: usize = 64 << 10;
/// Clients that are remembered; beyond this limit, the one without a command for the longest time is forgotten.
const MAX_CLIENTS: usize = 4096;

/// A write to one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    #[serde(rename = "cell")]
    pub key: String,
    /// The new value; none removes the key.
    pub bytes: Option<Vec<u8>>,
    /// Condition: the index of the last change, 0 for a missing key. None writes unconditionally.
    pub expected: Option<u64>,
}

/// A command of a client: applied once, however often it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Client id, drawn at each start of a process.
    pub client: u128,
    /// Number of the command, from 1 for each client.
    pub number: u64,
    /// The requested change.
    pub put: Put,
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied, at this index.
    Done(u64),
    /// Condition failed: the key was last changed at this index. Nothing was changed.
    Changed(u64),
    /// There are too many keys, or the value or the whole state is too large. Nothing was changed.
    TooMuch,
}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Index of its last change.
    pub index: u64,
    /// Content.
    pub bytes: Vec<u8>,
}

/// The commands that were applied for one client.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Client {
    seen: SequenceWindow,
    /// Index of its last command.
    #[serde(rename = "at")]
    last_index: u64,
    /// Outcomes of its latest commands by number, for processes that learn of them only from a snapshot.
    outcomes: BTreeMap<u64, Outcome>,
}

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Names of the voters and learners, by id.
    pub names: BTreeMap<u64, String>,
    #[serde(rename = "cells")]
    values: BTreeMap<String, Value>,
    /// Total bytes of keys and values.
    size: usize,
    clients: BTreeMap<u128, Client>,
}

impl ReplicatedState {
    /// The state at the beginning of a log.
    pub(super) fn founded(members: &BTreeMap<String, u64>) -> Self {
        let names = members.iter().map(|(name, id)| (*id, name.clone())).collect();
        ReplicatedState { names, ..ReplicatedState::default() }
    }

    /// Applies a change of voters or learners: adds the name of the new one and removes those that left. It uses only
    /// the entry itself, because followers know nothing else of the change.
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

    /// The value of a key, with the index of its last change.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// All keys with this prefix, in order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let from = self.values.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(key, value)| (key.as_str(), value))
    }

    /// The outcome of a client's command, if it is still remembered.
    pub fn outcome(&self, client: u128, number: u64) -> Option<Outcome> {
        self.clients.get(&client)?.outcomes.get(&number).copied()
    }

    /// Applies a command. Returns none if it was applied before, or is too old to tell.
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
        // Of an unknown client only the first commands are accepted: later ones may have been applied before the
        // client was forgotten.
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
