//! Probes: whether endpoints take requests by their own word, where the list does not say it any more. It
//! may know the list, the lease on it, and when each endpoint was probed and what it said.

use super::Balancer;
use super::choice::ListTrust;
use super::list::Endpoint;
use crate::api::*;
use std::time::Duration;

/// A health check that passed speaks for its endpoint so long from when it was asked: an endpoint that
/// began to drain since then does not count as known to drain yet.
const HEALTH_HOLDS: Duration = Duration::from_secs(1);
/// One that requests go to is asked again after this, so that it stays in use.
const HEALTH_RENEWED: Duration = Duration::from_millis(600);
/// A probe is not repeated sooner, whatever became of it: endpoints take few of them.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Endpoints that are kept known as healthy while the lease on the list is out: enough for d samples, and
/// few, as all processes ask at once.
const HEALTHY_WANTED: usize = 3;
/// Endpoints looked at for that: work must not grow with the fleet.
const LOOKED_AT: usize = 32;
/// While the list is doubted one endpoint that is left out is probed so often.
const PROBE_EVERY: Duration = Duration::from_secs(1);

impl Balancer {
    /// Asks endpoints how they are, where the list does not say it any more.
    pub(super) fn probe_endpoints(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.settings.limits.probes {
            return;
        }
        match self.trust {
            ListTrust::Listed => {}
            ListTrust::Healthy => self.probe_for_health(now, out),
            ListTrust::NotRefusing | ListTrust::Accepting => self.probe_left_out(now, out),
        }
    }

    /// What an endpoint answered to a probe.
    pub(super) fn on_probe_ended(
        &mut self,
        now: Duration,
        id: EndpointId,
        outcome: Outcome,
        elapsed: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(&i) = self.index.get(&id) else { return };
        let asked = now.saturating_sub(elapsed);
        let endpoint = &mut self.endpoints[i];
        endpoint.healthy = (outcome == Outcome::Ok).then_some(asked);
        if outcome == Outcome::Ok {
            endpoint.accepted = Some(asked);
            self.release_held(now, out);
        }
    }

    /// Keeps some endpoints known as healthy: of the own zone, or of others where it has none.
    fn probe_for_health(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(pool) = [0, 2, 1, 3].into_iter().find(|pool| !self.pools[*pool].is_empty()) else {
            return;
        };
        let size = self.pools[pool].len();
        let first = self.draws.below(size);
        let looked_at = (0..size.min(LOOKED_AT)).map(|k| self.pools[pool][(first + k) % size]);
        let looked_at: Vec<usize> = looked_at.collect();
        let known = looked_at.iter().filter(|i| self.endpoints[**i].is_known_for_long(now)).count();
        let asked = looked_at.into_iter().filter(|i| self.endpoints[*i].may_be_probed(now));
        let asked: Vec<usize> = asked.take(HEALTHY_WANTED.saturating_sub(known)).collect();
        for i in asked {
            self.endpoints[i].probed = Some(now);
            out.push(Action::Probe { endpoint: self.endpoints[i].info.id });
        }
    }

    /// Asks one of those left out whether it takes calls: what refused for another reason has to come back,
    /// however long discovery is away.
    fn probe_left_out(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.probe_at {
            return;
        }
        self.probe_at = now + PROBE_EVERY;
        let proof = self.schedule.proof();
        let taken = |e: &&Endpoint| !e.is_ready() || e.is_trusted(now, ListTrust::Accepting, proof);
        let left_out = self.endpoints.iter().filter(|e| !taken(e));
        let left_out: Vec<EndpointId> = left_out.map(|e| e.info.id).collect();
        if !left_out.is_empty() {
            out.push(Action::Probe { endpoint: left_out[self.draws.below(left_out.len())] });
        }
    }
}

impl Endpoint {
    /// Until when its health check speaks for it; none where it did not pass.
    pub(super) fn healthy_until(&self) -> Option<Duration> {
        self.healthy.map(|asked| asked + HEALTH_HOLDS)
    }

    /// Whether its health check has passed of late.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        self.healthy_until().is_some_and(|until| now < until)
    }

    /// Whether it is known as healthy for some time yet, or is being asked.
    fn is_known_for_long(&self, now: Duration) -> bool {
        let within = |at: Option<Duration>, time: Duration| at.is_some_and(|at| now < at + time);
        within(self.healthy, HEALTH_RENEWED)
            || within(self.probed, PROBE_PAUSE) && self.healthy <= self.probed
    }

    fn may_be_probed(&self, now: Duration) -> bool {
        self.probed.is_none_or(|at| now >= at + PROBE_PAUSE) && !self.is_known_for_long(now)
    }
}
