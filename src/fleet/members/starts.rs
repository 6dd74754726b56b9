//! What is remembered of others' state folders. One that was put back to an older copy, or copied, is whole and well by
//! itself: only who saw later starts on it can tell.

use super::peer::Start;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

/// A folder of which nothing was heard for so long is forgotten, if there are many.
const FORGET: Duration = Duration::from_secs(24 * 3600);
/// Folders that are remembered in any case.
const FOLDERS: usize = 1024;

/// The latest start on each folder, and when it was last heard of.
#[derive(Default)]
pub(super) struct Starts {
    latest: HashMap<u128, (Start, Duration)>,
}

impl Starts {
    /// Takes a start that a process claims; the one that is remembered, where both can't be.
    pub(super) fn take(&mut self, now: Duration, start: Start) -> Option<Start> {
        if self.latest.len() > FOLDERS {
            self.latest.retain(|_, (_, heard)| now.saturating_sub(*heard) < FORGET);
        }
        match self.latest.entry(start.folder) {
            Entry::Vacant(entry) => drop(entry.insert((start, now))),
            Entry::Occupied(entry) => {
                let (latest, heard) = entry.into_mut();
                if contradicts(start, *latest) {
                    return Some(*latest);
                }
                *heard = now;
                if start.number > latest.number {
                    *latest = start;
                }
            }
        }
        None
    }
}

/// Whether a start can't be, as another is remembered: it was made later, and counts no more of them. One made earlier
/// that counts fewer is only heard of late.
pub(super) fn contradicts(start: Start, latest: Start) -> bool {
    start.folder == latest.folder && start.number <= latest.number && start.at > latest.at
}
