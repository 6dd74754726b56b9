//! Which numbers of a sender have come: of a life's datagrams, and of a client's orders.

use serde::{Deserialize, Serialize};

/// Numbers that may overtake each other: one further behind the newest counts as come.
pub(super) const WINDOW: u64 = 64;

/// The newest, and a bit for each of those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SequenceWindow {
    newest: u64,
    before: u64,
}

impl SequenceWindow {
    /// Only this one.
    pub(super) fn first(number: u64) -> Self {
        SequenceWindow { newest: number, before: 0 }
    }

    /// Takes a number; whether it had not come before.
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
