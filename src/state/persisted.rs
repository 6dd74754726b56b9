//! What a process must not forget, as plain values: what is there, how it changes, and what can't be true of it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use thiserror::Error;

/// Who a process is to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn once for a folder: one that comes back empty, or from elsewhere, is somebody else.
    pub folder: u128,
    /// The process's name in its configuration.
    pub name: String,
    /// Starts on this folder, this one included. Only goes up.
    pub incarnation: u64,
}

impl Identity {
    /// Somebody new: the first start of the process of this name on a new folder.
    pub fn drawn(name: &str) -> Self {
        // Keys of the standard library's hash tables are random, and differ each time.
        let half = || u128::from(RandomState::new().build_hasher().finish());
        Identity { folder: half() << 64 | half(), name: name.to_owned(), incarnation: 1 }
    }
}

/// What a voter has promised, and how far it knows the log to be agreed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term it has seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<u64>,
    /// Everything up to this index is agreed.
    pub commit: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was proposed.
    pub term: u64,
    /// What it says, in its sender's words.
    pub bytes: Vec<u8>,
}

/// The agreed state as it was after an index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that is in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The state, in its owner's words.
    pub bytes: Vec<u8>,
}

/// One thing to remember.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Who this process is.
    Identity(Identity),
    /// What it has promised as a voter.
    HardState(HardState),
    /// The log from `first` on is these entries, and nothing behind them.
    Log {
        /// Index of the first of them.
        first: u64,
        /// They, in order.
        entries: Vec<Entry>,
    },
    /// The agreed state at an index: what the log holds up to there is no longer needed.
    Snapshot(Snapshot),
    /// The highest epoch seen of a duty. A lower one than known changes nothing.
    Epoch {
        /// Which duty.
        duty: String,
        /// Its epoch.
        epoch: u64,
    },
    /// A grant in force, in its giver's words; none once it is over.
    Grant {
        /// Its name.
        name: String,
        /// What was granted.
        bytes: Option<Vec<u8>>,
    },
}

/// Everything that is remembered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Who this process is; none on a folder that is new.
    pub identity: Option<Identity>,
    /// What it has promised.
    pub hard_state: HardState,
    /// The last agreed state kept; its index is 0 where there is none.
    pub snapshot: Snapshot,
    /// The log behind the snapshot, by index.
    pub log: BTreeMap<u64, Entry>,
    /// The highest epoch seen, by duty.
    pub epochs: BTreeMap<String, u64>,
    /// Grants in force, by name.
    pub grants: BTreeMap<String, Vec<u8>>,
}

/// Why what is remembered can't be true: a voter with such a memory must not vote.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Inconsistency {
    /// The log has a hole, or does not begin where the snapshot ends.
    #[error("the log has no entry {missing}, though it goes on to {last}")]
    Gap {
        /// The first index that is not there.
        missing: u64,
        /// The last that is.
        last: u64,
    },
    /// An entry is from a later term than the one that follows it, or than any seen.
    #[error("entry {index} of the log is from term {term}, but the term before it or promised is {known}")]
    Term {
        /// The entry's index.
        index: u64,
        /// Its term.
        term: u64,
        /// The term that it contradicts.
        known: u64,
    },
    /// More is agreed than is there.
    #[error("agreed up to {commit}, but the log ends at {last}")]
    Commit {
        /// What is agreed.
        commit: u64,
        /// What is there.
        last: u64,
    },
    /// A folder knows of votes or entries, but not whose they are.
    #[error("there is a log or a promise, but not whose")]
    NoIdentity,
}

impl PersistedState {
    /// All of it as changes to an empty one.
    pub fn changes(&self) -> Vec<Change> {
        let identity = self.identity.clone().map(Change::Identity);
        let first = self.snapshot.index + 1;
        let log = Change::Log { first, entries: self.log.values().cloned().collect() };
        let fixed = [Change::HardState(self.hard_state), Change::Snapshot(self.snapshot.clone()), log];
        let epochs =
            self.epochs.iter().map(|(duty, epoch)| Change::Epoch { duty: duty.clone(), epoch: *epoch });
        let grants = self
            .grants
            .iter()
            .map(|(name, bytes)| Change::Grant { name: name.clone(), bytes: Some(bytes.clone()) });
        identity.into_iter().chain(fixed).chain(epochs).chain(grants).collect()
    }

    /// Takes a change.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Identity(identity) => self.identity = Some(identity),
            Change::HardState(promise) => self.hard_state = promise,
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

    /// The last index of the log, or of the snapshot where nothing is behind it.
    pub fn last(&self) -> u64 {
        self.log.last_key_value().map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// Whether all of it can be true at once.
    pub fn check(&self) -> Result<(), Inconsistency> {
        let mut known = self.snapshot.term;
        for (wanted, (&index, entry)) in (self.snapshot.index + 1..).zip(&self.log) {
            if index != wanted {
                return Err(Inconsistency::Gap { missing: wanted, last: self.last() });
            }
            if entry.term < known {
                return Err(Inconsistency::Term { index, term: entry.term, known });
            }
            known = entry.term;
        }
        if known > self.hard_state.term {
            return Err(Inconsistency::Term {
                index: self.last(),
                term: known,
                known: self.hard_state.term,
            });
        }
        if self.hard_state.commit > self.last() {
            return Err(Inconsistency::Commit { commit: self.hard_state.commit, last: self.last() });
        }
        let spoken = self.hard_state != HardState::default() || self.last() > 0;
        if spoken && self.identity.is_none() { Err(Inconsistency::NoIdentity) } else { Ok(()) }
    }
}
