//! When each change of the list came to each copy, and from when on it counts as told.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A change of the list and a copy that is to hear of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Telling {
    /// The copy's number.
    pub copy: usize,
    /// What changed.
    pub change: String,
    /// When discovery had it, in seconds from the start of the load.
    pub had: f64,
    /// Seconds from when discovery had it and could be reached until it was written to the copy, or until the run's
    /// end where it was not.
    pub after: f64,
    /// Whether it was written.
    pub written: bool,
}

/// All changes so far.
pub struct Tellings {
    /// A change counts as told so long after discovery had it and could be reached, or once it is written.
    counts_after: Duration,
    /// The tier that each copy sends to.
    tiers: Vec<usize>,
    changes: Mutex<Vec<Change>>,
    /// For each copy since when its watch is silent; none while it hears.
    silent: Mutex<Vec<Option<Instant>>>,
}

/// What discovery has to tell counts as told to a copy so long after its new configuration (terms).
const KNOWN_AFTER_MOVE: Duration = Duration::from_secs(4);
/// What a silent watch misses counts as told so long after it fell silent (standing page).
const KNOWN_AFTER_SILENCE: Duration = Duration::from_secs(6);

struct Change {
    rev: u64,
    what: String,
    /// The tiers of the endpoints that changed.
    tiers: Vec<usize>,
    had: Instant,
    /// Since when discovery can be reached with it; none while it is down.
    reachable: Option<Instant>,
    /// From when on it counts as told to all; none while it is down and that was not yet so.
    counts: Option<Instant>,
    /// For each copy from when on it counts as told to it, where its own move or silence says so.
    due: Vec<Option<Instant>>,
    /// For each copy when it was written to it, and how long that took.
    written: Vec<Option<(Instant, Duration)>>,
}

impl Tellings {
    /// No change yet; `tiers` are those that the copies send to, by the copies' numbers.
    pub fn new(counts_after: Duration, tiers: Vec<usize>) -> Self {
        let silent = Mutex::new(vec![None; tiers.len()]);
        Tellings { counts_after, tiers, changes: Mutex::default(), silent }
    }

    fn changes(&self) -> MutexGuard<'_, Vec<Change>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn silent(&self) -> MutexGuard<'_, Vec<Option<Instant>>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A copy has a new configuration: all that discovery has by then, and was not told before, counts as told 4 s later.
    pub fn moved(&self, copy: usize) {
        let now = Instant::now();
        let counts = now + KNOWN_AFTER_MOVE;
        self.silent()[copy] = None;
        for change in self.changes().iter_mut().filter(|change| change.reachable.is_some()) {
            let told = change.due[copy].filter(|due| *due <= now);
            change.due[copy] = told.or(Some(counts));
        }
    }

    /// All watches that are open have fallen silent.
    pub fn silenced(&self) {
        let now = Instant::now();
        for silent in self.silent().iter_mut() {
            silent.get_or_insert(now);
        }
    }

    /// A watch of a copy has brought something.
    pub fn opened(&self, copy: usize) {
        self.silent()[copy] = None;
    }

    /// Discovery has a change of endpoints of these tiers, with this version of the list.
    pub fn had(&self, rev: u64, what: String, tiers: Vec<usize>, down: bool) {
        let had = Instant::now();
        let reachable = (!down).then_some(had);
        let counts = reachable.map(|at| at + self.counts_after);
        let written = vec![None; self.tiers.len()];
        let after_silence = |since: &Option<Instant>| {
            since.filter(|_| reachable.is_some()).map(|since| had.max(since + KNOWN_AFTER_SILENCE))
        };
        let due = self.silent().iter().map(after_silence).collect();
        self.changes().push(Change { rev, what, tiers, had, reachable, counts, due, written });
    }

    /// Discovery went down, or can be reached again.
    pub fn turn(&self, down: bool) {
        let now = Instant::now();
        for change in self.changes().iter_mut() {
            change.reachable = (!down).then_some(now);
            if down {
                change.counts = change.counts.filter(|counts| *counts <= now);
            } else {
                change.counts.get_or_insert(now + self.counts_after);
            }
        }
    }

    /// The list up to this version has been written to a copy.
    pub fn written(&self, copy: usize, rev: u64) {
        let now = Instant::now();
        let tier = self.tiers[copy];
        for change in self.changes().iter_mut() {
            if change.rev <= rev && change.tiers.contains(&tier) {
                let took = change.reachable.map_or(Duration::ZERO, |at| now.duration_since(at));
                change.written[copy].get_or_insert((now, took));
            }
        }
    }

    /// From when on the change with this version counts as told to a copy, or to one that is not known; none as long
    /// as it can't be told.
    pub fn counts(&self, rev: u64, copy: Option<usize>) -> Option<Instant> {
        let changes = self.changes();
        let change = changes.iter().find(|change| change.rev == rev)?;
        let written = copy.and_then(|copy| *change.written.get(copy)?).map(|(at, _)| at);
        let due = copy.and_then(|copy| *change.due.get(copy)?).filter(|_| change.counts.is_some());
        written.into_iter().chain(change.counts).chain(due).min()
    }

    /// All of them, for copies that `lived` ever since discovery had a change; left out are those that can't be told.
    pub fn so_far(&self, start: Instant, lived: impl Fn(usize, Instant) -> bool) -> Vec<Telling> {
        let now = Instant::now();
        let mut all = Vec::new();
        for change in self.changes().iter() {
            for (copy, written) in change.written.iter().enumerate() {
                let took = written.map(|(_, took)| took);
                let Some(after) = took.or(change.reachable.map(|at| now.duration_since(at))) else {
                    continue;
                };
                if change.tiers.contains(&self.tiers[copy]) && lived(copy, change.had) {
                    all.push(Telling {
                        copy,
                        change: change.what.clone(),
                        had: change.had.saturating_duration_since(start).as_secs_f64(),
                        after: after.as_secs_f64(),
                        written: written.is_some(),
                    });
                }
            }
        }
        all
    }
}

/// Seconds within which this part of the tellings came, from 0 to 1 for the slowest; none without any.
pub fn within<'a>(tellings: impl Iterator<Item = &'a Telling>, part: f64) -> Option<f64> {
    let mut took: Vec<f64> = tellings.map(|telling| telling.after).collect();
    took.sort_by(f64::total_cmp);
    let last = took.len().checked_sub(1)?;
    took.get((took.len() as f64 * part) as usize).or(took.get(last)).copied()
}

#[cfg(test)]
mod tests;
