//! Probes: whether endpoints take requests by their own word, where the list does not say it any more. It
//! may know the list, the lease on it, and when each endpoint was probed and what it said.

use super::Balancer;
use super::choice::Eligibility;
use super::continuity::MAX_ANSWER_GAP;
use super::endpoint_list::Endpoint;
use crate::api::*;
use std::time::Duration;

/// A health check that passed speaks for its endpoint so long from when it was asked: an endpoint that
/// began to drain since then does not count as known to drain yet.
const HEALTH_VALID_FOR: Duration = Duration::from_secs(1);
/// One that requests go to is asked again after this, so that it stays in use.
const HEALTH_RENEWED_AFTER: Duration = Duration::from_millis(600);
/// A probe is not repeated sooner, whatever became of it: endpoints take few of them.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Between two batches of them, where those that fail are replaced: when all endpoints fail, this bounds
/// the probes.
const BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Endpoints whose health is kept known while the lease on the list is out: enough for d samples, and few,
/// as all processes ask at once.
const MAX_CHECKED: usize = 3;
/// Draws for each of them that is missing, of which some meet one that was just asked.
const DRAWS_PER_MISSING: usize = 8;
/// Pools to draw them from: most of this balancer's own part of its zone, but where all of that fails also
/// others.
const POOL_WEIGHTS: [usize; 8] = [0, 0, 0, 0, 0, 2, 1, 3];
/// Endpoints are asked from so long before the end of the lease on the list.
const PROBE_BEFORE_END: Duration = Duration::from_secs(3);
/// While the list is doubted one endpoint that is left out is probed so often.
const EXCLUDED_PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl Balancer {
    /// Asks endpoints how they are, where the list does not say it any more.
    pub(super) fn probe_endpoints(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.settings.limits.probes {
            return;
        }
        // From before the end of the lease on: only what is seen without a break is sent to after it.
        let lease = self.schedule.lease();
        if let Some((end, complete)) = lease.end().zip(lease.complete_until())
            && now + PROBE_BEFORE_END >= end.at
        {
            self.probe_for_health(now, complete, out);
        }
        match self.eligibility {
            Eligibility::AllListed | Eligibility::ContinuouslyHealthy { .. } => {}
            Eligibility::NotRefusing | Eligibility::RecentlyAccepting => self.probe_excluded(now, out),
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
        endpoint.probe_in_flight = false;
        endpoint.healthy_at = (outcome == Outcome::Ok).then_some(asked);
        if outcome == Outcome::Ok {
            endpoint.accepted = Some(asked);
            self.dispatch_queued(now, out);
        } else {
            endpoint.continuity.broken(now);
        }
    }

    /// Keeps the health known of a few endpoints that have gone on without a break since then, and of
    /// others in place of those that fail.
    fn probe_for_health(&mut self, now: Duration, since: Duration, out: &mut Vec<Action>) {
        if now < self.next_probe_at {
            return;
        }
        let recent = now.saturating_sub(MAX_ANSWER_GAP);
        let unbroken = |endpoint: &Endpoint| endpoint.continuity.covers(since, since.max(recent));
        let mut checked = std::mem::take(&mut self.health_checked);
        checked.retain(|id| {
            let endpoint = self.index.get(id).map(|&i| &self.endpoints[i]);
            endpoint.is_some_and(|endpoint| endpoint.is_checked(now) && unbroken(endpoint))
        });
        for _ in 0..DRAWS_PER_MISSING * (MAX_CHECKED - checked.len().min(MAX_CHECKED)) {
            if checked.len() >= MAX_CHECKED {
                break;
            }
            let pool = POOL_WEIGHTS[self.rng.below(POOL_WEIGHTS.len())];
            if self.pools[pool].is_empty() {
                continue;
            }
            let i = self.pools[pool][self.rng.below(self.pools[pool].len())];
            let endpoint = &self.endpoints[i];
            if !checked.contains(&endpoint.info.id) && endpoint.may_be_probed(now) && unbroken(endpoint) {
                checked.push(endpoint.info.id);
            }
        }
        for id in &checked {
            let endpoint = &mut self.endpoints[self.index[id]];
            if endpoint.may_be_probed(now) {
                (endpoint.probed_at, endpoint.probe_in_flight) = (Some(now), true);
                self.next_probe_at = now + BATCH_PAUSE;
                out.push(Action::Probe { endpoint: *id });
            }
        }
        self.health_checked = checked;
    }

    /// Asks one of those left out whether it takes calls: what refused for another reason has to come back,
    /// however long discovery is away.
    fn probe_excluded(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.next_excluded_probe_at {
            return;
        }
        self.next_excluded_probe_at = now + EXCLUDED_PROBE_INTERVAL;
        let valid_for = self.schedule.acceptance_valid_for();
        let included =
            |e: &&Endpoint| !e.is_ready() || e.satisfies(now, Eligibility::RecentlyAccepting, valid_for);
        let excluded = self.endpoints.iter().filter(|e| !included(e));
        let excluded: Vec<EndpointId> = excluded.map(|e| e.info.id).collect();
        if !excluded.is_empty() {
            out.push(Action::Probe { endpoint: excluded[self.rng.below(excluded.len())] });
        }
    }
}

impl Endpoint {
    /// Until when its health check speaks for it; none where it did not pass.
    pub(super) fn healthy_until(&self) -> Option<Duration> {
        self.healthy_at.map(|asked| asked + HEALTH_VALID_FOR)
    }

    /// Whether its health check has passed of late.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        self.healthy_until().is_some_and(|until| now < until)
    }

    /// Whether its health is known as good, or being asked.
    fn is_checked(&self, now: Duration) -> bool {
        let asked = self.probe_in_flight && self.probed_at.is_some_and(|at| now < at + PROBE_PAUSE);
        self.is_ready() && (asked || self.is_healthy(now))
    }

    /// Whether it may be asked, and what it said last is not known for long yet.
    fn may_be_probed(&self, now: Duration) -> bool {
        let known = self.healthy_at.is_some_and(|asked| now < asked + HEALTH_RENEWED_AFTER);
        !known && self.probed_at.is_none_or(|at| now >= at + PROBE_PAUSE)
    }
}
