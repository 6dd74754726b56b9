//! The persisted state as plain values: its content, the changes to it, and the check of its consistency.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use thiserror::Error;

/// The identity of a process to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Random id, drawn once per folder: a process whose folder is emptied or replaced gets another
    /// identity.
    pub folder: u128,
    /// The process's name in its configuration.
    pub name: String,
    /// Number of starts on this folder, including this one. Never decreases.
    pub incarnation: u64,
}

impl Identity {
    /// A new identity, for the first start of the process of this name on a new folder.
    pub fn drawn(name: &str) -> Self {
        // Each `RandomState` of the standard library has different random keys.
        let half = || u128::from(RandomState::new().build_hasher().finish());
        Identity { folder: half() << 64 | half(), name: name.to_owned(), incarnation: 1 }
    }
}

/// The Raft hard state of a voter: its term, its vote and its commit index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term it has seen.
    pub term: u64,
    /// The candidate that got its vote in that term.
    pub vote: Option<u64>,
    /// Everything up to this index is committed.
    pub commit: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was proposed.
    pub term: u64,
    /// The content, encoded by the proposer.
    pub bytes: Vec<u8>,
}

/// The replicated state after applying the log up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last log index included.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The state, encoded by its owner.
    pub bytes: Vec<u8>,
}

/// One change to the persisted state.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Sets the identity of this process.
    Identity(Identity),
    /// Sets the hard state.
    HardState(HardState),
    /// Replaces the log from `first` on by these entries.
    Log {
        /// Index of the first entry.
        first: u64,
        /// The entries, in order.
        entries: Vec<Entry>,
    },
    /// Sets the snapshot and drops the log entries that it includes.
    Snapshot(Snapshot),
    /// Raises the highest epoch seen for a duty; an epoch that is not higher changes nothing.
    Epoch {
        /// The name of the duty.
        duty: String,
        /// Its epoch.
        epoch: u64,
    },
    /// Sets a grant in force, encoded by its issuer, or removes it once it has ended.
    Grant {
        /// The name of the grant.
        name: String,
        /// The grant; `None` removes it.
        bytes: Option<Vec<u8>>,
    },
}

/// The whole persisted state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// The identity of this process; `None` on a new folder.
    pub identity: Option<Identity>,
    /// The hard state of the voter.
    pub hard_state: HardState,
    /// The latest snapshot; its index is 0 if there is none.
    pub snapshot: Snapshot,
    /// The log after the snapshot, by index.
    pub log: BTreeMap<u64, Entry>,
    /// The highest epoch seen, by duty.
    pub epochs: BTreeMap<String, u64>,
    /// Grants in force, by name.
    pub grants: BTreeMap<String, Vec<u8>>,
}

/// An inconsistency in the persisted state: a voter with such a state must not vote.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Inconsistency {
    /// The log has a gap, or does not begin where the snapshot ends.
    #[error("log entry {missing} is missing; the last entry is {last}")]
    Gap {
        /// The first missing index.
        missing: u64,
        /// The last index present.
        last: u64,
    },
    /// An entry has a lower term than the one before it, or a higher one than the hard state.
    #[error(
        "log entry {index} has term {term}, which is inconsistent with term {known} of the entry before it or of the hard state"
    )]
    Term {
        /// The entry's index.
        index: u64,
        /// Its term.
        term: u64,
        /// The term of the entry before it, or of the hard state.
        known: u64,
    },
    /// The commit index is beyond the end of the log.
    #[error("commit index {commit} is beyond the end of the log at {last}")]
    Commit {
        /// The commit index.
        commit: u64,
        /// The last index of the log.
        last: u64,
    },
    /// There is a hard state or a log, but no identity.
    #[error("there is a log or a hard state, but no identity")]
    NoIdentity,
}

impl PersistedState {
    /// The whole state as changes to an empty one.
    pub fn changes(&self) -> Vec<Change> {
        let identity = self.identity.clone().map(Change::Identity);
        let first = self.snapshot.index + 1;
        let log = Change::Log { first, entries: self.log.values().cloned().collect() };
        let single_values =
            [Change::HardState(self.hard_state), Change::Snapshot(self.snapshot.clone()), log];
        let epochs =
            self.epochs.iter().map(|(duty, epoch)| Change::Epoch { duty: duty.clone(), epoch: *epoch });
        let grants = self
            .grants
            .iter()
            .map(|(name, bytes)| Change::Grant { name: name.clone(), bytes: Some(bytes.clone()) });
        identity.into_iter().chain(single_values).chain(epochs).chain(grants).collect()
    }

    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Identity(identity) => self.identity = Some(identity),
            Change::HardState(hard_state) => self.hard_state = hard_state,
            Change::Log { first, entries } => {
                drop(self.log.split_off(&first));
                self.log.extend((first..).zip(entries));
            }
            Change::Snapshot(snapshot) => {
                self.log = self.log.split_off(&(snapshot.index + 1));
                self.snapshot = snapshot;
            }
            Change::Epoch { duty, epoch } => {
                let highest = self.epochs.entry(duty).or_default();
                *highest = epoch.max(*highest);
            }
            Change::Grant { name, bytes: Some(bytes) } => drop(self.grants.insert(name, bytes)),
            Change::Grant { name, bytes: None } => drop(self.grants.remove(&name)),
        }
    }

    /// The last index of the log, or of the snapshot if the log is empty.
    pub fn last(&self) -> u64 {
        self.log.last_key_value().map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// Checks that the parts are consistent with each other.
    pub fn check(&self) -> Result<(), Inconsistency> {
        let mut previous_term = self.snapshot.term;
        for (expected, (&index, entry)) in (self.snapshot.index + 1..).zip(&self.log) {
            if index != expected {
                return Err(Inconsistency::Gap { missing: expected, last: self.last() });
            }
            if entry.term < previous_term {
                return Err(Inconsistency::Term { index, term: entry.term, known: previous_term });
            }
            previous_term = entry.term;
        }
        if previous_term > self.hard_state.term {
            return Err(Inconsistency::Term {
                index: self.last(),
                term: previous_term,
                known: self.hard_state.term,
            });
        }
        if self.hard_state.commit > self.last() {
            return Err(Inconsistency::Commit { commit: self.hard_state.commit, last: self.last() });
        }
        let has_voter_state = self.hard_state != HardState::default() || self.last() > 0;
        if has_voter_state && self.identity.is_none() { Err(Inconsistency::NoIdentity) } else { Ok(()) }
    }
}
