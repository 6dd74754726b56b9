//! Lets the faults of an experiment strike, and lifts them.

use super::{Deployment, DeploymentError};
use crate::copies::Copy;
use crate::endpoint::{Condition, Endpoint, Leaving};
use crate::experiment::{Fault, What};
use crate::network::Way;
use nix::sys::signal::Signal;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Between two signals in a series.
const SIGNALS_APART: Duration = Duration::from_millis(100);

impl Deployment {
    /// Lets a fault begin.
    pub async fn strike(&self, fault: &Fault) -> Result<(), DeploymentError> {
        self.turn(fault, true);
        match fault.what {
            What::Kill => self.end(self.copy(&fault.of).cloned(), Signal::SIGKILL).await,
            What::Term => self.terminate(fault, 1).await,
            What::Signals => {
                for _ in 0..2 {
                    self.reload(fault)?;
                    sleep(SIGNALS_APART).await;
                }
                self.terminate(fault, 2).await;
            }
            What::Reload => self.reload(fault)?,
            What::PowerCut => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.stop());
                let mut cutting: JoinSet<()> = JoinSet::new();
                for (number, copy) in self.struck_copies(fault).into_iter().enumerate() {
                    let seed = self.experiment.seed.wrapping_mul(1009) + number as u64;
                    cutting.spawn(async move { copy.cut(seed).await });
                }
                while cutting.join_next().await.is_some() {}
                self.tell(&struck, "removed", false).await;
            }
            What::ZoneLost | What::Gone => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.stop());
                let beside = struck.iter().filter_map(|endpoint| endpoint.behind.clone());
                let zone = self.in_lost(fault);
                self.end(beside.chain(zone), Signal::SIGKILL).await;
                self.tell(&struck, "removed", false).await;
            }
            What::DiskFlipped => {
                for (number, copy) in self.struck_copies(fault).into_iter().enumerate() {
                    let seed = self.experiment.seed.wrapping_mul(1009) + number as u64;
                    copy.flip(seed).map_err(|e| DeploymentError::Io(copy.name.clone(), e))?;
                }
            }
            What::DiskOlder => {
                for copy in self.struck_copies(fault) {
                    copy.keep_state().map_err(|e| DeploymentError::Io(copy.name.clone(), e))?;
                }
            }
            What::DiscoveryMissing => {
                self.tell(&self.struck(fault), "removed", false).await;
            }
            What::Drain => {
                let struck = self.struck(fault);
                let rev = self.tell(&struck, "draining", false).await;
                let drawn = self.experiment.draw.as_ref().is_some_and(|draw| draw.vary);
                for endpoint in &struck {
                    let manner =
                        if drawn { Leaving::drawn(self.experiment.seed, fault.at) } else { Leaving::STAYS };
                    endpoint.change(|c| c.draining = rev.map(|rev| manner.since(rev)));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Lets a fault end.
    pub async fn lift(&self, fault: &Fault) -> Result<(), DeploymentError> {
        self.turn(fault, false);
        match fault.what {
            What::Kill | What::Term | What::Signals => self.start(self.copy(&fault.of).cloned()).await?,
            What::PowerCut => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.start());
                self.start(self.struck_copies(fault)).await?;
                self.tell(&struck, "up", true).await;
            }
            What::DiskOlder => {
                let copies = self.struck_copies(fault);
                self.end(copies.clone(), Signal::SIGKILL).await;
                for copy in &copies {
                    copy.put_state_back().map_err(|e| DeploymentError::Io(copy.name.clone(), e))?;
                }
                self.start(copies).await?;
            }
            What::ZoneLost | What::Gone => {
                let struck = self.struck(fault);
                self.start(struck.iter().filter_map(|endpoint| endpoint.behind.clone())).await?;
                struck.iter().for_each(|endpoint| endpoint.start());
                self.start(self.in_lost(fault)).await?;
                self.tell(&struck, "up", true).await;
            }
            What::DiscoveryMissing => {
                self.tell(&self.struck(fault), "up", false).await;
            }
            What::Drain => {
                let struck = self.struck(fault);
                struck.iter().for_each(|e| e.change(|c| c.draining = None));
                self.tell(&struck, "up", false).await;
            }
            _ => {}
        }
        Ok(())
    }

    /// What is one thing at a fault's beginning and its opposite at the end.
    fn turn(&self, fault: &Fault, on: bool) {
        match fault.what {
            What::Pause => self.copy(&fault.of).into_iter().for_each(|copy| copy.pause(on)),
            What::DiskFull => self.order(fault, if on { "full on" } else { "full off" }),
            What::DiskLying => self.order(fault, if on { "lying on" } else { "lying off" }),
            What::DiskFailing => self.order(fault, if on { "failing on" } else { "failing off" }),
            What::DiskSlow => self.order(fault, &format!("slow {}", if on { fault.by as u64 } else { 0 })),
            What::DiscoveryDown => self.table.send_modify(|table| {
                (table.down, table.downs) = (on, table.downs + u64::from(on));
                self.tellings.turn(on);
            }),
            What::DiscoveryTorn => self.table.send_modify(|table| table.torn = on),
            What::DiscoverySilent => {
                if on {
                    self.tellings.silenced();
                }
                self.table.send_modify(|table| table.silenced += u64::from(on));
            }
            What::DiscoveryTroubled => self.table.send_modify(|table| {
                table.troubled = if on { fault.by } else { 0.0 };
            }),
            What::DiscoveryCrowded => self.table.send_modify(|table| {
                let struck: BTreeSet<usize> =
                    self.struck_copies(fault).iter().map(|copy| copy.number).collect();
                table.crowds += u64::from(on);
                table.crowded = if on { &table.crowded | &struck } else { &table.crowded - &struck };
            }),
            What::DiscoveryBehind => self.table.send_modify(|table| table.behind = on),
            What::DiscoveryReset => self.table.send_modify(|table| table.resets += u64::from(on)),
            What::DiscoveryStale => self.table.send_modify(|table| {
                let Some(zone) = self.zone(&fault.of) else { return };
                let now = (table.rev, table.entries.clone());
                drop(if on { table.stale.insert(zone, now) } else { table.stale.remove(&zone) });
            }),
            _ if fault.of_way() => self.change_ways(fault, on),
            _ => self.struck(fault).iter().for_each(|e| e.change(|condition| spoil(condition, fault, on))),
        }
    }

    /// Changes the ways between a fault's zone or copy and the others, or the one that it names.
    fn change_ways(&self, fault: &Fault, on: bool) {
        let both = fault.what != What::CutOffOneWay;
        let number = |name: &String| self.copies.iter().position(|copy| copy.name == *name);
        let (count, from, to, zones) = match self.zone(&fault.of) {
            Some(zone) => (
                self.experiment.zone.len(),
                Some(zone),
                fault.to.as_ref().and_then(|to| self.zone(to)),
                true,
            ),
            None => (self.copies.len(), number(&fault.of), fault.to.as_ref().and_then(number), false),
        };
        let Some(from) = from else { return };
        for other in (0..count).filter(|&other| other != from && to.is_none_or(|to| to == other)) {
            for (a, b) in [(from, other), (other, from)].into_iter().take(if both { 2 } else { 1 }) {
                if zones {
                    self.network.change(a, b, |way| bend(way, fault, on));
                } else {
                    self.network.change_between(a, b, |way| bend(way, fault, on));
                }
            }
        }
    }

    /// Changes the list for some endpoints, once discovery tells it; the version that it has then.
    async fn tell(&self, of: &[Arc<Endpoint>], state: &'static str, boot: bool) -> Option<u64> {
        let first = of.first()?;
        let what = match of.len() {
            1 => format!("{state} {}", first.name),
            many => format!("{state} {} and {} more", first.name, many - 1),
        };
        sleep(self.experiment.discovery.late).await;
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut rev = 0;
        self.table.send_modify(|table| {
            table.rev += 1;
            rev = table.rev;
            for entry in table.entries.iter_mut().filter(|entry| of.iter().any(|e| e.name == entry.uid)) {
                (entry.state, entry.rev) = (state, table.rev);
                if boot {
                    entry.boot_ms = boot_ms;
                }
            }
            // Before anybody can be told of it.
            self.tellings.had(rev, what, of.iter().map(|endpoint| endpoint.tier()).collect(), table.down);
        });
        Some(rev)
    }

    async fn terminate(&self, fault: &Fault, times: u32) {
        if let Some(copy) = self.copy(&fault.of) {
            copy.terminate(times).await;
        }
    }

    fn reload(&self, fault: &Fault) -> Result<(), DeploymentError> {
        for copy in self.struck_copies(fault) {
            copy.reload().map_err(|e| DeploymentError::Io(copy.name.clone(), e))?;
            self.tellings.moved(copy.number);
        }
        Ok(())
    }

    async fn end(&self, copies: impl IntoIterator<Item = Arc<Copy>>, how: Signal) {
        let mut ending: JoinSet<()> = JoinSet::new();
        for copy in copies {
            ending.spawn(async move { copy.end(how).await });
        }
        while ending.join_next().await.is_some() {}
    }

    async fn start(&self, copies: impl IntoIterator<Item = Arc<Copy>>) -> Result<(), DeploymentError> {
        let mut starting: JoinSet<_> = JoinSet::new();
        for copy in copies {
            starting.spawn(async move { copy.start().await });
        }
        while let Some(started) = starting.join_next().await {
            started.map_err(super::lost_task)??;
        }
        Ok(())
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.experiment.zone.iter().position(|zone| zone.name == name)
    }

    /// The copies that a fault strikes: one by its name, all of a zone, or all where it names none.
    fn struck_copies(&self, fault: &Fault) -> Vec<Arc<Copy>> {
        let zone = self.zone(&fault.of);
        let hit =
            |copy: &&Arc<Copy>| fault.of.is_empty() || copy.name == fault.of || Some(copy.zone) == zone;
        self.copies.iter().filter(hit).cloned().collect()
    }

    fn order(&self, fault: &Fault, order: &str) {
        self.struck_copies(fault).iter().for_each(|copy| copy.disk(order));
    }

    /// The copies of a zone that is lost.
    fn in_lost(&self, fault: &Fault) -> impl Iterator<Item = Arc<Copy>> {
        let zone = self.zone(&fault.of).filter(|_| fault.what == What::ZoneLost);
        self.copies.iter().filter(move |copy| Some(copy.zone) == zone).cloned()
    }

    /// The endpoints that a fault strikes: one by its name, or all of a zone.
    fn struck(&self, fault: &Fault) -> Vec<Arc<Endpoint>> {
        let zone = self.zone(&fault.of);
        let hit = |e: &&Arc<Endpoint>| e.name == fault.of || Some(e.zone) == zone;
        self.endpoints.iter().filter(hit).cloned().collect()
    }

    fn copy(&self, name: &str) -> Option<&Arc<Copy>> {
        self.copies.iter().find(|copy| copy.name == name)
    }
}

/// What a fault makes of a way, and its end of it again.
fn bend(way: &mut Way, fault: &Fault, on: bool) {
    let part = if on { fault.by } else { 0.0 };
    match fault.what {
        What::CutOff | What::CutOffOneWay => way.cut = on,
        What::Stall => way.stalled = on,
        What::BlackHole => way.hole = on,
        What::Reset => way.reset = on,
        What::Resets => way.breaks = part,
        What::Loss => way.loss = part,
        What::Duplicate => way.duplicate = part,
        What::Reorder => way.reorder = part,
        What::Delay => {
            let more = Duration::from_secs_f64(fault.by.max(0.0) / 1e3);
            way.delay = if on { way.delay + more } else { way.delay.saturating_sub(more) };
        }
        _ => {}
    }
}

/// What a fault makes of an endpoint, and its end of it again.
fn spoil(condition: &mut Condition, fault: &Fault, on: bool) {
    match fault.what {
        What::Slow => condition.slow = if on { fault.by.max(0.01) } else { 1.0 },
        What::Failing => condition.failing = if on { fault.by } else { 0.0 },
        What::Silent => condition.silent = on,
        _ => {}
    }
}
