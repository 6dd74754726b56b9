//! The latest starts seen on other processes' state folders. A folder that was restored from an older copy,
//! or copied, is consistent in itself: only a process that saw later starts on it can detect this.

use super::peer::Start;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

/// Retention of a folder that is no longer reported, once more than [`MIN_FOLDERS`] are remembered.
const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Number of folders that are remembered without expiry.
const MIN_FOLDERS: usize = 1024;

/// The latest start on each folder, and when it was last reported.
#[derive(Default)]
pub(super) struct StartHistory {
    latest: HashMap<u128, (Start, Duration)>,
}

impl StartHistory {
    /// Records a start that a process claims; returns the remembered one if it contradicts the claim.
    pub(super) fn record(&mut self, now: Duration, start: Start) -> Option<Start> {
        if self.latest.len() > MIN_FOLDERS {
            self.latest.retain(|_, (_, last_seen)| now.saturating_sub(*last_seen) < RETENTION);
        }
        match self.latest.entry(start.folder) {
            Entry::Vacant(entry) => drop(entry.insert((start, now))),
            Entry::Occupied(entry) => {
                let (latest, last_seen) = entry.into_mut();
                if contradicts(start, *latest) {
                    return Some(*latest);
                }
                *last_seen = now;
                if start.number > latest.number {
                    *latest = start;
                }
            }
        }
        None
    }
}

/// Whether a start contradicts the remembered one: it was made later, but its number is not higher. A start
/// made earlier with a lower number is only reported late.
pub(super) fn contradicts(start: Start, latest: Start) -> bool {
    start.folder == latest.folder && start.number <= latest.number && start.at > latest.at
}
