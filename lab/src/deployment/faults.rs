//! Lets the faults of an experiment strike, and lifts them.

use super::{Deployment, DeploymentError};
use crate::copies::Copy;
use crate::endpoint::Endpoint;
use crate::experiment::{Fault, What};
use crate::network;
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

impl Deployment {
    /// Changes the list for some endpoints, once discovery tells it.
    async fn tell(&self, of: &[Arc<Endpoint>], state: &'static str, boot: bool) {
        sleep(self.experiment.discovery.late).await;
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.table.send_modify(|table| {
            table.rev += 1;
            for entry in table.entries.iter_mut().filter(|entry| of.iter().any(|e| e.name == entry.uid)) {
                (entry.state, entry.rev) = (state, table.rev);
                if boot {
                    entry.boot_ms = boot_ms;
                }
            }
        });
    }

    /// The endpoints that a fault strikes: one by its name, or all of a zone.
    fn struck(&self, fault: &Fault) -> Vec<Arc<Endpoint>> {
        let zone = self.experiment.zone.iter().position(|zone| zone.name == fault.of);
        let hit = |e: &&Arc<Endpoint>| e.name == fault.of || Some(e.zone) == zone;
        self.endpoints.iter().filter(hit).cloned().collect()
    }

    fn copy(&self, name: &str) -> Option<&Arc<Copy>> {
        self.copies.iter().find(|copy| copy.name == name)
    }

    /// Changes the ways between a fault's zone and the others, or the one that it names.
    fn change_ways(&self, fault: &Fault, both: bool, change: impl Fn(&mut network::Way)) {
        let number = |name: &String| self.experiment.zone.iter().position(|zone| zone.name == *name);
        let Some(from) = number(&fault.of) else { return };
        let to = fault.to.as_ref().and_then(number);
        for other in (0..self.experiment.zone.len()).filter(|&z| z != from && to.is_none_or(|to| to == z)) {
            self.network.change(from, other, &change);
            if both {
                self.network.change(other, from, &change);
            }
        }
    }

    /// Lets a fault begin.
    pub async fn strike(&self, fault: &Fault) -> Result<(), DeploymentError> {
        match fault.what {
            What::Kill | What::Term => {
                if let Some(copy) = self.copy(&fault.of) {
                    copy.end(if fault.what == What::Kill { Signal::SIGKILL } else { Signal::SIGTERM })
                        .await;
                }
            }
            What::Pause => self.copy(&fault.of).into_iter().for_each(|copy| copy.pause(true)),
            What::ZoneLost => {
                let zone = self.experiment.zone.iter().position(|zone| zone.name == fault.of);
                let copies = self.copies.iter().filter(|copy| Some(copy.zone) == zone);
                let mut ending: JoinSet<()> = JoinSet::new();
                for copy in copies.map(Arc::clone) {
                    ending.spawn(async move { copy.end(Signal::SIGKILL).await });
                }
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.stop());
                while ending.join_next().await.is_some() {}
                self.tell(&struck, "removed", false).await;
            }
            What::CutOff => self.change_ways(fault, true, |way| way.open = false),
            What::CutOffOneWay => self.change_ways(fault, false, |way| way.open = false),
            What::Reset => self.change_ways(fault, true, |way| way.reset = true),
            What::Loss => self.change_ways(fault, true, |way| way.loss = fault.by),
            What::Delay => {
                let more = Duration::from_secs_f64(fault.by.max(0.0) / 1e3);
                self.change_ways(fault, true, |way| way.delay += more);
            }
            What::Slow => self.struck(fault).iter().for_each(|e| e.change(|c| c.slow = fault.by.max(0.01))),
            What::Failing => self.struck(fault).iter().for_each(|e| e.change(|c| c.failing = fault.by)),
            What::Silent => self.struck(fault).iter().for_each(|e| e.change(|c| c.silent = true)),
            What::Gone => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.stop());
                self.tell(&struck, "removed", false).await;
            }
            What::Drain => {
                let struck = self.struck(fault);
                self.tell(&struck, "draining", false).await;
                struck.iter().for_each(|e| e.change(|c| c.draining = Some(Instant::now())));
            }
            What::DiscoveryDown => self.table.send_modify(|table| table.down = true),
            What::DiscoveryStale => {
                if let Some(zone) = self.experiment.zone.iter().position(|zone| zone.name == fault.of) {
                    self.table.send_modify(|table| {
                        let now = (table.rev, table.entries.clone());
                        table.stale.insert(zone, now);
                    });
                }
            }
        }
        Ok(())
    }

    /// Lets a fault end.
    pub async fn lift(&self, fault: &Fault) -> Result<(), DeploymentError> {
        match fault.what {
            What::Kill | What::Term => {
                if let Some(copy) = self.copy(&fault.of) {
                    copy.start().await?;
                }
            }
            What::Pause => self.copy(&fault.of).into_iter().for_each(|copy| copy.pause(false)),
            What::ZoneLost => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.start());
                let zone = self.experiment.zone.iter().position(|zone| zone.name == fault.of);
                for copy in self.copies.iter().filter(|copy| Some(copy.zone) == zone) {
                    copy.start().await?;
                }
                self.tell(&struck, "up", true).await;
            }
            What::CutOff => self.change_ways(fault, true, |way| way.open = true),
            What::CutOffOneWay => self.change_ways(fault, false, |way| way.open = true),
            What::Reset => self.change_ways(fault, true, |way| way.reset = false),
            What::Loss => self.change_ways(fault, true, |way| way.loss = 0.0),
            What::Delay => {
                let more = Duration::from_secs_f64(fault.by.max(0.0) / 1e3);
                self.change_ways(fault, true, |way| way.delay = way.delay.saturating_sub(more));
            }
            What::Slow => self.struck(fault).iter().for_each(|e| e.change(|c| c.slow = 1.0)),
            What::Failing => self.struck(fault).iter().for_each(|e| e.change(|c| c.failing = 0.0)),
            What::Silent => self.struck(fault).iter().for_each(|e| e.change(|c| c.silent = false)),
            What::Gone => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.start());
                self.tell(&struck, "up", true).await;
            }
            What::Drain => {
                let struck = self.struck(fault);
                struck.iter().for_each(|e| e.change(|c| c.draining = None));
                self.tell(&struck, "up", false).await;
            }
            What::DiscoveryDown => self.table.send_modify(|table| table.down = false),
            What::DiscoveryStale => {
                if let Some(zone) = self.experiment.zone.iter().position(|zone| zone.name == fault.of) {
                    self.table.send_modify(|table| drop(table.stale.remove(&zone)));
                }
            }
        }
        Ok(())
    }
}
