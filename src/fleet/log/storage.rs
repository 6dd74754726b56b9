//! The log as a voter persists it, in the form that the crate reads: a snapshot, and the entries after it that are
//! written or being written. Every change of it is also returned as a change for the disk.

use super::wire::{Entry, Payload, Snapshot};
use crate::state::persisted::{self, Change, HardState, PersistedState};
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, StorageError};
use std::cell::Cell;
use std::collections::VecDeque;
use thiserror::Error;

/// Reason why the persisted log can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoadError {
    /// The snapshot has a format that this build does not know.
    #[error("the log's snapshot at index {0} has an unknown format")]
    Snapshot(u64),
    /// An entry has a format that this build does not know.
    #[error("entry {0} of the log has an unknown format")]
    Entry(u64),
}

/// A snapshot, the entries after it, and the Raft promise (term, vote and commit index).
#[derive(Debug, Default)]
pub(super) struct LogStorage {
    promise: HardState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// The crate has asked for a later snapshot, or for one whose configuration includes the receiver.
    snapshot_requested: Cell<bool>,
}

impl LogStorage {
    pub(super) fn load(memory: &PersistedState) -> Result<Self, LoadError> {
        let index = memory.snapshot.index;
        let snapshot = match index {
            0 => Snapshot::default(),
            _ => postcard::from_bytes(&memory.snapshot.bytes).map_err(|_| LoadError::Snapshot(index))?,
        };
        let entries = memory.log.iter().map(|(&index, entry)| {
            let payload: Payload =
                postcard::from_bytes(&entry.bytes).map_err(|_| LoadError::Entry(index))?;
            Ok(Entry { term: entry.term, index, payload })
        });
        let entries = entries.collect::<Result<_, _>>()?;
        Ok(LogStorage {
            promise: memory.hard_state,
            snapshot,
            entries,
            snapshot_requested: Cell::new(false),
        })
    }

    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(super) fn last_stored(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Entries after one index and up to another, as many as fit the limit; none if the log no longer holds the first.
    pub(super) fn entries_between(&self, after: u64, to: u64, max_bytes: usize) -> Option<Vec<Entry>> {
        let skipped = after.checked_sub(self.snapshot.index)? as usize;
        let mut remaining = max_bytes;
        let fits = |entry: &&Entry| {
            let size = match &entry.payload {
                Payload::Command(bytes) => bytes.len(),
                Payload::Empty | Payload::ChangeVoters(..) => 0,
            } + 64;
            let fits = remaining > 0;
            remaining = remaining.saturating_sub(size);
            fits
        };
        let entries =
            self.entries.iter().skip(skipped).take_while(|entry| entry.index <= to).take_while(fits);
        Some(entries.cloned().collect())
    }

    /// Stores what the crate wants persisted, and returns the changes for the disk.
    pub(super) fn store(
        &mut self,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
        promise: Option<HardState>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(snapshot) = snapshot {
            changes.push(snapshot_change(&snapshot));
            // Entries after the snapshot were never committed.
            changes.push(Change::Log { first: snapshot.index + 1, entries: Vec::new() });
            self.entries.clear();
            self.snapshot = snapshot;
        }
        if let Some(first) = entries.first().map(|entry| entry.index) {
            self.entries.truncate((first - self.snapshot.index - 1) as usize);
            let stored = entries.iter().map(|entry| persisted::Entry {
                term: entry.term,
                bytes: postcard::to_stdvec(&entry.payload).unwrap_or_default(), // serializing to memory does not fail
            });
            changes.push(Change::Log { first, entries: stored.collect() });
            self.entries.extend(entries);
        }
        if let Some(promise) = promise {
            self.promise = promise;
            changes.push(Change::HardState(promise));
        }
        changes
    }

    /// Replaces the entries up to the index of this snapshot by it. The index must be in the log.
    pub(super) fn compact(&mut self, snapshot: Snapshot) -> Change {
        self.entries.drain(..((snapshot.index - self.snapshot.index) as usize).min(self.entries.len()));
        self.snapshot = snapshot;
        self.snapshot_requested.set(false);
        snapshot_change(&self.snapshot)
    }

    pub(super) fn snapshot_requested(&self) -> bool {
        self.snapshot_requested.get()
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.snapshot.index + 1)? as usize)
    }
}

fn snapshot_change(snapshot: &Snapshot) -> Change {
    let bytes = postcard::to_stdvec(snapshot).unwrap_or_default(); // cannot fail
    Change::Snapshot(persisted::Snapshot { index: snapshot.index, term: snapshot.term, bytes })
}

impl raft::Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let HardState { term, vote, commit } = self.promise;
        let hard_state =
            eraftpb::HardState { term, vote: vote.unwrap_or(0), commit, ..eraftpb::HardState::default() };
        Ok(RaftState { hard_state, conf_state: self.snapshot.voters.clone().into_raft() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.snapshot.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.last_stored() + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let mut entries: Vec<_> =
            (low..high).filter_map(|index| self.entry(index).cloned().map(Entry::into_raft)).collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        let error =
            if index < self.snapshot.index { StorageError::Compacted } else { StorageError::Unavailable };
        self.entry(index).map(|entry| entry.term).ok_or(raft::Error::Store(error))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_stored())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<eraftpb::Snapshot> {
        if self.snapshot.index < request_index || !self.snapshot.voters.contains(to) {
            self.snapshot_requested.set(true);
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone().into_raft())
    }
}
