//! Detection of duplicate sequence numbers: of the datagrams that a process sends between two starts, and of a client's
//! commands.

use serde::{Deserialize, Serialize};

/// How far numbers may arrive out of order: one further behind the newest counts as a duplicate.
pub(super) const WINDOW: u64 = 64;

/// The newest number received, and a bit for each of those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SequenceWindow {
    newest: u64,
    before: u64,
}

impl SequenceWindow {
    /// A window that has received only this number.
    pub(super) fn first(number: u64) -> Self {
        SequenceWindow { newest: number, before: 0 }
    }

    /// Records a number; true if it is not a duplicate.
    pub(super) fn insert(&mut self, number: u64) -> bool {
        let shift = |bits: u64, by: u64| if by < WINDOW { bits << by } else { 0 };
        if number > self.newest {
            let ahead = number - self.newest;
            self.before = shift(self.before, ahead) | shift(1, ahead - 1);
            self.newest = number;
            return true;
        }
        let behind = self.newest - number;
        let bit = if (1..=WINDOW).contains(&behind) { 1 << (behind - 1) } else { return false };
        let new = self.before & bit == 0;
        self.before |= bit;
        new
    }
}
