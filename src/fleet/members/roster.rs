//! What is known of whom, and how many share the work.
//!
//! Each process takes one part in so many of what a zone's endpoints can do. To count too few is to send too much, so
//! whoever comes counts at once, and who is not heard of only where that is safe:
//!
//! | what happened | counted | parts of all add up to |
//! | --- | --- | --- |
//! | somebody joins | at once | 1 or less |
//! | somebody has said that it leaves | no longer, at once | 1 |
//! | some are lost, more than half are here | those that are here | less than 1.5: who is away counts all that it knew |
//! | half or more are lost | all that were known | 1 or less here; less than 1.5 in all, as above |
//! | all of a start: nobody heard yet | as configured | 1 |
//! | a majority has been without some for [`SETTLED`] | those are forgotten: half of the rest is the next bound | less than 2 with two cuts, one inside the other |
//!
//! The policy sends cold endpoints half of what makes them fall (`COLD_CAUTION`), so 2 is what may be.

use super::peer::Peer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// With no change for so long, and nobody suspected, the view has converged.
const CALM: Duration = Duration::from_secs(2);
/// A majority that has been without some for so long goes on without them. Longer than most cuts, shorter than the time
/// in which machines that crashed are replaced under other addresses until half would be such.
const SETTLED: Duration = Duration::from_secs(300);
/// A process that starts gives the others so long to be heard of before it speaks of a split.
const GATHER: Duration = Duration::from_secs(5);
/// Names that a view tells of those that are away.
const NAMED: usize = 8;

/// How the view of the fleet stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing changes, and more than half are here.
    Converged,
    /// Somebody came, went or is suspected, less than 2 s ago.
    Converging,
    /// Half or more of those known are away, or this process is.
    Split,
}

/// How things are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// How the view stands ...
    pub standing: Standing,
    /// ... and since when, on the caller's clock.
    pub since: Duration,
    /// Processes that are here, this one included.
    pub living: usize,
    /// Those among them that somebody suspects to be gone.
    pub suspects: usize,
    /// Processes that count as the fleet: those here, and those away that may come back.
    pub known: usize,
    /// Processes that share the work, as the policy is told.
    pub balancers: usize,
    /// Names of some that are away; there are `known - living`.
    pub away: Vec<String>,
    /// Names that two processes here have.
    pub duplicate_names: Vec<String>,
}

/// What became of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Change {
    Joined(Peer),
    Left(Peer),
    Lost(Peer),
}

/// Everybody that was here, by address.
pub(super) struct Roster {
    me: Peer,
    began: Duration,
    /// As many as there should be, before they are heard of.
    expected: usize,
    others: BTreeMap<SocketAddr, Entry>,
    duplicate_names: Vec<String>,
    look: u64,
    suspects: usize,
    changed: Duration,
    standing: Standing,
    since: Duration,
}

struct Entry {
    peer: Peer,
    here: bool,
    /// The last look at which it was.
    look: u64,
}

impl Roster {
    pub(super) fn new(me: Peer, expected: usize, now: Duration) -> Self {
        let standing = if expected > 1 { Standing::Converging } else { Standing::Converged };
        let (others, duplicate_names, look, suspects) = Default::default();
        Roster {
            me,
            began: now,
            expected,
            others,
            duplicate_names,
            look,
            suspects,
            changed: now,
            standing,
            since: now,
        }
    }

    /// Takes who is here now, or has said that it leaves, and says what has changed.
    pub(super) fn take<'a>(
        &mut self,
        now: Duration,
        here: impl Iterator<Item = &'a Peer>,
        suspects: usize,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        self.look += 1;
        for peer in here {
            match self.others.get_mut(&peer.address) {
                // It has gone as soon as it says so, whatever still comes of it.
                Some(entry) if peer.leaving => entry.peer.leaving = true,
                None if peer.leaving => {}
                Some(entry) => {
                    if entry.peer != *peer {
                        entry.peer = peer.clone();
                    }
                    if !std::mem::replace(&mut entry.here, true) {
                        changes.push(Change::Joined(peer.clone()));
                    }
                    entry.look = self.look;
                }
                None => {
                    let entry = Entry { peer: peer.clone(), here: true, look: self.look };
                    self.others.insert(peer.address, entry);
                    changes.push(Change::Joined(peer.clone()));
                }
            }
        }
        let (look, expected) = (self.look, &mut self.expected);
        self.others.retain(|_, entry| {
            if entry.peer.leaving {
                changes.push(Change::Left(entry.peer.clone()));
                *expected = expected.saturating_sub(1);
            } else if entry.look != look && std::mem::replace(&mut entry.here, false) {
                changes.push(Change::Lost(entry.peer.clone()));
            }
            !entry.peer.leaving
        });
        if !changes.is_empty() {
            self.duplicate_names = self.names_twice();
        }
        if !changes.is_empty() || suspects > self.suspects {
            self.changed = now;
        }
        self.suspects = suspects;
        self.settle(now);
        changes
    }

    fn settle(&mut self, now: Duration) {
        let calm = now.saturating_sub(self.changed);
        if calm >= SETTLED && self.is_majority() {
            self.others.retain(|_, entry| entry.here);
            self.expected = self.living();
        }
        let quiet = calm >= CALM && self.suspects == 0;
        let gathering = now.saturating_sub(self.began) < GATHER;
        let standing = match self.is_majority() {
            true if quiet => Standing::Converged,
            false if !gathering => Standing::Split,
            _ => Standing::Converging,
        };
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.since = now;
        }
    }

    fn living(&self) -> usize {
        1 + self.others.values().filter(|entry| entry.here).count()
    }

    fn known(&self) -> usize {
        self.expected.max(1 + self.others.len())
    }

    fn is_majority(&self) -> bool {
        self.living() * 2 > self.known()
    }

    fn names_twice(&self) -> Vec<String> {
        let here = self.others.values().filter(|entry| entry.here).map(|entry| &entry.peer);
        let mut names: Vec<&str> = here.chain([&self.me]).map(|peer| peer.name.as_str()).collect();
        names.sort_unstable();
        let pairs = names.windows(2).filter(|pair| pair[0] == pair[1]);
        let mut duplicate_names: Vec<String> = pairs.map(|pair| pair[0].to_owned()).collect();
        duplicate_names.dedup();
        duplicate_names
    }

    pub(super) fn view(&self) -> View {
        let (living, known) = (self.living(), self.known());
        let away = self.others.values().filter(|entry| !entry.here).map(|entry| entry.peer.name.clone());
        View {
            standing: self.standing,
            since: self.since,
            living,
            suspects: self.suspects,
            known,
            balancers: if self.is_majority() { living } else { known },
            away: away.take(NAMED).collect(),
            duplicate_names: self.duplicate_names.clone(),
        }
    }
}
