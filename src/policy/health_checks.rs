//! Health checks: probes that ask endpoints whether they take requests when the endpoint list no longer
//! tells. Depends on the list, the lease on it, and the time and result of each endpoint's probes.

use super::Balancer;
use super::choice::Eligibility;
use super::continuity::MAX_ANSWER_GAP;
use super::endpoint_list::Endpoint;
use crate::api::*;
use std::time::Duration;

/// How long a passed health check is valid, from when it was sent: an endpoint that has begun to drain
/// since then does not yet count as known to drain.
const HEALTH_VALID_FOR: Duration = Duration::from_secs(1);
/// A passed health check is repeated after this, before it expires, so that its endpoint stays in use.
const HEALTH_RENEWED_AFTER: Duration = Duration::from_millis(600);
/// An endpoint is not probed again sooner, whatever the result: endpoints accept few probes.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two batches of probes, in which endpoints that failed are replaced: limits the number of
/// probes when all endpoints fail.
const BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Endpoints that are health-checked regularly while the lease on the list has expired: enough for d
/// samples, and few, as all processes probe at the same time.
const MAX_CHECKED: usize = 3;
/// Random draws for each missing one of them: some draws hit an endpoint that was just probed.
const DRAWS_PER_MISSING: usize = 8;
/// Pools to draw them from, with equal probability for each entry: mostly this balancer's subset of its
/// own zone, but also the others in case all of that subset fails.
const POOL_WEIGHTS: [usize; 8] = [0, 0, 0, 0, 0, 2, 1, 3];
/// Health checks start this long before the end of the lease on the list.
const PROBE_BEFORE_END: Duration = Duration::from_secs(3);
/// While the list may be stale, one excluded endpoint is probed at this interval.
const EXCLUDED_PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl Balancer {
    /// Probes endpoints if the endpoint list is no longer sufficient.
    pub(super) fn probe_endpoints(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.settings.limits.probes {
            return;
        }
        // Starts before the end of the lease: after it, only endpoints observed without interruption are
        // sent to.
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

    /// Records the result of a probe.
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

    /// Health-checks a few endpoints that have run without interruption since `since`, and replaces those
    /// that fail.
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

    /// Probes one excluded endpoint: an endpoint that refused a call for a reason other than draining
    /// must be used again, however long discovery is unavailable.
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
    /// Until when its last health check is valid; none if that did not pass.
    pub(super) fn healthy_until(&self) -> Option<Duration> {
        self.healthy_at.map(|asked| asked + HEALTH_VALID_FOR)
    }

    /// Whether it has a valid, passed health check.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        self.healthy_until().is_some_and(|until| now < until)
    }

    /// Whether it is ready and its health check has passed or is in flight.
    fn is_checked(&self, now: Duration) -> bool {
        let asked = self.probe_in_flight && self.probed_at.is_some_and(|at| now < at + PROBE_PAUSE);
        self.is_ready() && (asked || self.is_healthy(now))
    }

    /// Whether it may be probed now: no probe was sent recently, and a passed one is due to be renewed.
    fn may_be_probed(&self, now: Duration) -> bool {
        let known = self.healthy_at.is_some_and(|asked| now < asked + HEALTH_RENEWED_AFTER);
        !known && self.probed_at.is_none_or(|at| now >= at + PROBE_PAUSE)
    }
}
