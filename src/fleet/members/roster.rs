//! The known members, and the number of processes that share the work.
//!
//! Each process uses an equal share of the capacity of a zone's endpoints. Counting too few processes
//! overloads the endpoints, so members that join count at once, and lost members are left out only where
//! that is safe:
//!
//! | event | counted | sum of all shares |
//! | --- | --- | --- |
//! | a member joins | it counts at once | 1 or less |
//! | a member announces that it leaves | it no longer counts, at once | 1 |
//! | members are lost, more than half are up | those that are up | less than 1.5: each lost one counts all that it knew |
//! | half or more are lost | all that were known | 1 or less on this side; less than 1.5 in all, as above |
//! | all start, no member known yet | the configured number | 1 |
//! | a majority has been without some members for [`FORGET_LOST_AFTER`] | those are forgotten: half of the rest is the next bound | less than 2 with two partitions, one inside the other |
//!
//! The policy sends endpoints in slow start half of the load that makes them fail (`SLOW_START_CAUTION`), so a sum
//! of up to 2 is safe.

use super::peer::Peer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The view has converged once there was no change for this long and no member is suspected.
const CONVERGED_AFTER: Duration = Duration::from_secs(2);
/// A majority forgets members that have been lost for this long. Longer than most partitions, and shorter
/// than the time in which half of the known members would be crashed machines that were replaced under
/// other addresses.
const FORGET_LOST_AFTER: Duration = Duration::from_secs(300);
/// A process that starts reports no split for this long, while it learns of the other members.
const STARTUP_GRACE: Duration = Duration::from_secs(5);
/// Limit on the names of lost members in a view.
const MAX_LOST_NAMES: usize = 8;

/// Whether the view of the fleet has converged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Membership is stable, and more than half of the known members are up.
    Converged,
    /// A member joined, left or was lost less than 2 s ago, or is suspected.
    Converging,
    /// Half or more of the known members are lost, or this process is cut off.
    Split,
}

/// The membership as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Whether the membership has converged ...
    pub standing: Standing,
    /// ... and since when, on the caller's clock.
    pub since: Duration,
    /// Number of processes that are up, including this one.
    pub living: usize,
    /// Number of those that are suspected to be down.
    pub suspects: usize,
    /// Number of processes that count as the fleet: those up, and those lost that may come back.
    pub known: usize,
    /// Number of processes that share the work, as passed to the policy.
    pub balancers: usize,
    /// Names of some of the lost members; there are `known - living` in all.
    pub away: Vec<String>,
    /// Names that two processes that are up have in common.
    pub duplicate_names: Vec<String>,
}

/// A change in the membership of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Change {
    Joined(Peer),
    Left(Peer),
    Lost(Peer),
}

/// All members that have been up, by address.
pub(super) struct Roster {
    me: Peer,
    started: Duration,
    /// The configured number of processes, until they are known.
    expected: usize,
    others: BTreeMap<SocketAddr, Entry>,
    duplicate_names: Vec<String>,
    check: u64,
    suspects: usize,
    last_change: Duration,
    standing: Standing,
    since: Duration,
}

struct Entry {
    peer: Peer,
    up: bool,
    /// The last check at which it was up.
    check: u64,
}

impl Roster {
    pub(super) fn new(me: Peer, expected: usize, now: Duration) -> Self {
        let standing = if expected > 1 { Standing::Converging } else { Standing::Converged };
        let (others, duplicate_names, check, suspects) = Default::default();
        Roster {
            me,
            started: now,
            expected,
            others,
            duplicate_names,
            check,
            suspects,
            last_change: now,
            standing,
            since: now,
        }
    }

    /// Updates the members with those that are up or have announced leaving; returns the changes.
    pub(super) fn update<'a>(
        &mut self,
        now: Duration,
        members: impl Iterator<Item = &'a Peer>,
        suspects: usize,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        self.check += 1;
        for peer in members {
            match self.others.get_mut(&peer.address) {
                // It has left as soon as it announces so, even if messages from it still arrive.
                Some(entry) if peer.leaving => entry.peer.leaving = true,
                None if peer.leaving => {}
                Some(entry) => {
                    if entry.peer != *peer {
                        entry.peer = peer.clone();
                    }
                    if !std::mem::replace(&mut entry.up, true) {
                        changes.push(Change::Joined(peer.clone()));
                    }
                    entry.check = self.check;
                }
                None => {
                    let entry = Entry { peer: peer.clone(), up: true, check: self.check };
                    self.others.insert(peer.address, entry);
                    changes.push(Change::Joined(peer.clone()));
                }
            }
        }
        let (check, expected) = (self.check, &mut self.expected);
        self.others.retain(|_, entry| {
            if entry.peer.leaving {
                changes.push(Change::Left(entry.peer.clone()));
                *expected = expected.saturating_sub(1);
            } else if entry.check != check && std::mem::replace(&mut entry.up, false) {
                changes.push(Change::Lost(entry.peer.clone()));
            }
            !entry.peer.leaving
        });
        if !changes.is_empty() {
            self.duplicate_names = self.find_duplicate_names();
        }
        if !changes.is_empty() || suspects > self.suspects {
            self.last_change = now;
        }
        self.suspects = suspects;
        self.update_standing(now);
        changes
    }

    fn update_standing(&mut self, now: Duration) {
        let stable_for = now.saturating_sub(self.last_change);
        if stable_for >= FORGET_LOST_AFTER && self.is_majority() {
            self.others.retain(|_, entry| entry.up);
            self.expected = self.living();
        }
        let stable = stable_for >= CONVERGED_AFTER && self.suspects == 0;
        let starting = now.saturating_sub(self.started) < STARTUP_GRACE;
        let standing = match self.is_majority() {
            true if stable => Standing::Converged,
            false if !starting => Standing::Split,
            _ => Standing::Converging,
        };
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.since = now;
        }
    }

    fn living(&self) -> usize {
        1 + self.others.values().filter(|entry| entry.up).count()
    }

    fn known(&self) -> usize {
        self.expected.max(1 + self.others.len())
    }

    fn is_majority(&self) -> bool {
        self.living() * 2 > self.known()
    }

    fn find_duplicate_names(&self) -> Vec<String> {
        let up = self.others.values().filter(|entry| entry.up).map(|entry| &entry.peer);
        let mut names: Vec<&str> = up.chain([&self.me]).map(|peer| peer.name.as_str()).collect();
        names.sort_unstable();
        let pairs = names.windows(2).filter(|pair| pair[0] == pair[1]);
        let mut duplicate_names: Vec<String> = pairs.map(|pair| pair[0].to_owned()).collect();
        duplicate_names.dedup();
        duplicate_names
    }

    pub(super) fn view(&self) -> View {
        let (living, known) = (self.living(), self.known());
        let away = self.others.values().filter(|entry| !entry.up).map(|entry| entry.peer.name.clone());
        View {
            standing: self.standing,
            since: self.since,
            living,
            suspects: self.suspects,
            known,
            balancers: if self.is_majority() { living } else { known },
            away: away.take(MAX_LOST_NAMES).collect(),
            duplicate_names: self.duplicate_names.clone(),
        }
    }
}
