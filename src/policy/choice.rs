//! The choice of an endpoint by SQ(d), the power of d choices: sample `SAMPLE_SIZE` ready endpoints at
//! random, send to the one with the fewest of this balancer's own calls in flight, break ties at random.
//! Each exception either narrows the eligible set or adds to an endpoint's occupancy; none is a second
//! selection algorithm. Depends only on what was observed of each endpoint.

use super::Balancer;
use super::endpoint_list::Endpoint;
use super::limits::INITIAL_LIMIT;
use super::requests::Pending;
use crate::api::*;
use std::time::Duration;

/// Endpoints sampled for a call, the d of SQ(d): two gives most of the gain.
const SAMPLE_SIZE: usize = 2;
/// Endpoints of a pool examined for one choice, eligible or not: the work for a request must not grow
/// with the fleet.
const MAX_EXAMINED: usize = 16;
/// A failure counts as this many calls in flight; otherwise an endpoint that fails fast would look idle
/// and win every sample.
const FAILURE_PENALTY: f64 = 1.0;
/// Upper bound of the failure penalty, in calls in flight, so that it decays within some seconds.
const FAILURE_PENALTY_MAX: f64 = 12.0;
/// A failure penalty below this counts as zero: a remainder would lose every tie and exclude an idle
/// endpoint for good.
const FAILURE_PENALTY_MIN: f64 = 0.5;
/// Time constant, in seconds, in which the failure penalty falls to a third: long enough for a run of
/// failures to add up.
const FAILURE_PENALTY_DECAY_S: f64 = 4.0;
/// Latency above the unloaded mean counts only beyond this multiple of that mean.
const LATENCY_TOLERANCE: f64 = 0.5;
/// Weight of one answer in an endpoint's latency penalty, and in the share of late answers.
pub(super) const LATENCY_WEIGHT: f64 = 0.15;
/// Time constant, in seconds, in which the latency penalty falls to a third, so that a slow endpoint is
/// tried again.
pub(super) const LATENCY_DECAY_S: f64 = 6.0;
/// An endpoint of another zone must be less occupied by this much: crossing zones costs time and money.
const CROSS_ZONE_MARGIN: f64 = 1.0;

/// Which endpoints of the list may be sent to: the longer discovery is unreachable, the stronger the
/// evidence that an endpoint has to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// All that are listed as ready.
    AllListed,
    /// Those whose last call was not refused.
    NotRefusing,
    /// Those that recently accepted a call.
    RecentlyAccepting,
    /// The lease on the list has expired, and any endpoint may by now be known to be leaving, except
    /// those that have run without interruption since the list was complete and have recently passed
    /// their own health check. None if this process never received a list.
    ContinuouslyHealthy {
        /// Time up to which the list is known to be complete.
        since: Option<Duration>,
    },
}

impl Balancer {
    /// Samples d endpoints of the eligible set and returns the least occupied, breaking ties at random.
    pub(super) fn pick_endpoint(&mut self, now: Duration, id: RequestId) -> Option<usize> {
        self.common_penalty = self.common_failure_penalty(now);
        self.eligibility = self.current_eligibility(now);
        // Samples this balancer's subset, or all endpoints if too few of the subset can take the call. A
        // balancer with several times the mean load would overload its subset of a zone: beyond C calls
        // for each endpoint there, it uses the whole zone.
        let exceeds_subset = |side: usize| {
            f64::from(self.windows[side].in_flight) >= INITIAL_LIMIT * self.pools[side].len() as f64
        };
        let first_pool = [0, 1].map(|side| if exceeds_subset(side) { 2 } else { 0 });
        for pool in [0, 2] {
            let own_zone = self.sample(now, id, pool.max(first_pool[0]));
            let other_zones = self.sample(now, id, pool.max(first_pool[1]) + 1);
            if pool == 0 && own_zone.1 + other_zones.1 < SAMPLE_SIZE {
                continue;
            }
            // Prefer the own zone: the best sample of another zone must be better by a clear margin.
            match (own_zone.0, other_zones.0) {
                (Some((_, a)), Some((j, b))) if b + CROSS_ZONE_MARGIN < a => return Some(j),
                (Some((i, _)), _) | (None, Some((i, _))) => return Some(i),
                (None, None) => {}
            }
        }
        None
    }

    /// Returns which endpoints may be sent to. Once the lease on the list has expired: those that have
    /// run without interruption since the list was complete and whose health check passes. While the list
    /// may be stale: those that recently accepted calls or, if there are none, those that did not refuse
    /// the last one.
    fn current_eligibility(&self, now: Duration) -> Eligibility {
        let lease = self.schedule.lease();
        if !lease.is_valid(now) {
            return Eligibility::ContinuouslyHealthy { since: lease.complete_until() };
        }
        if !lease.may_be_stale(now) {
            return Eligibility::AllListed;
        }
        let valid_for = self.schedule.acceptance_valid_for();
        let any_satisfies = |rule: &Eligibility| {
            self.endpoints.iter().any(|e| e.is_ready() && e.satisfies(now, *rule, valid_for))
        };
        [Eligibility::RecentlyAccepting, Eligibility::NotRefusing]
            .into_iter()
            .find(any_satisfies)
            .unwrap_or(Eligibility::AllListed)
    }

    /// Logs which endpoints are sent to from now on, if that has changed.
    pub(super) fn log_eligibility(&self, before: Eligibility, out: &mut Vec<Action>) {
        if self.eligibility == before {
            return;
        }
        let text = match self.eligibility {
            Eligibility::AllListed => "sending to all listed endpoints",
            Eligibility::NotRefusing => {
                "list may be stale: sending to endpoints that did not refuse their last call"
            }
            Eligibility::RecentlyAccepting => {
                "list may be stale: sending only to endpoints that recently accepted a call"
            }
            Eligibility::ContinuouslyHealthy { since: Some(_) } => {
                "sending only to endpoints that have run without interruption and pass their health check"
            }
            Eligibility::ContinuouslyHealthy { since: None } => {
                "sending to none: no endpoint list received since the start"
            }
        };
        out.push(Action::Log(text.to_owned()));
    }

    /// Draws up to d eligible endpoints of a pool without replacement; returns the least occupied with
    /// its occupancy, and how many were found. The first drawn wins ties.
    fn sample(&mut self, now: Duration, id: RequestId, pool: usize) -> (Option<(usize, f64)>, usize) {
        let (mut best, mut found): (Option<(usize, f64)>, usize) = (None, 0);
        let room = self.has_room(now, self.value(id), pool % 2);
        let size = if room { self.pools[pool].len() } else { 0 };
        let examined =
            if self.eligibility == Eligibility::AllListed { size.min(MAX_EXAMINED) } else { size };
        for k in 0..examined {
            let drawn = k + self.rng.below(size - k);
            self.pools[pool].swap(k, drawn);
            let i = self.pools[pool][k];
            let pending = self.requests.get(&id).filter(|p| self.is_eligible(now, i, p));
            let Some(occupancy) = pending.map(|p| self.occupancy(now, i, p)) else { continue };
            found += 1;
            if best.is_none_or(|(_, least)| occupancy < least) {
                best = Some((i, occupancy));
            }
            if found == SAMPLE_SIZE {
                break;
            }
        }
        (best, found)
    }

    /// The lower quartile of the failure penalties of all endpoints, or of an evenly spaced sample of
    /// them.
    fn common_failure_penalty(&mut self, now: Duration) -> f64 {
        let step = self.endpoints.len().div_ceil(MAX_EXAMINED).max(1);
        let skipped = self.rng.below(step);
        let ready = self.endpoints.iter().skip(skipped).step_by(step).filter(|e| e.is_ready());
        let mut penalties: Vec<f64> = ready.map(|e| e.failure_penalty(now)).collect();
        penalties.sort_by(f64::total_cmp);
        penalties.get(penalties.len() / 4).copied().unwrap_or(0.0)
    }

    /// Own calls in flight plus the failure penalty beyond the common one.
    pub(super) fn load(&self, now: Duration, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        f64::from(endpoint.in_flight) + (endpoint.failure_penalty(now) - self.common_penalty).max(0.0)
    }

    /// Own calls in flight plus the penalties for failures, for slow answers and for an earlier attempt
    /// there.
    fn occupancy(&self, now: Duration, i: usize, pending: &Pending) -> f64 {
        let endpoint = &self.endpoints[i];
        let penalty = (endpoint.latency_penalty.read(now, LATENCY_DECAY_S) - LATENCY_TOLERANCE).max(0.0);
        let already_tried = pending.attempts.iter().any(|a| a.endpoint == endpoint.info.id);
        self.load(now, i) + penalty + if already_tried { FAILURE_PENALTY_MAX } else { 0.0 }
    }

    /// Hard limits: the endpoint list and the current eligibility, the concurrency limit, the slow-start
    /// budget, and rule 2 for a keyed request that may have run.
    pub(super) fn is_eligible(&self, now: Duration, i: usize, pending: &Pending) -> bool {
        let endpoint = &self.endpoints[i];
        let room = (endpoint.limit * self.warm_fraction(now, i)).max(1.0);
        let no_tokens = self.warm_fraction(now, i) < 1.0 && self.slow_start_tokens(now, i) < 1.0;
        let excluded = !endpoint.satisfies(now, self.eligibility, self.schedule.acceptance_valid_for());
        if !endpoint.is_ready() || excluded || self.load(now, i) + 1.0 > room || no_tokens {
            return false;
        }
        let Semantics::Keyed { group, .. } = self.settings.classes[pending.class].semantics else {
            return true;
        };
        pending.may_have_run().all(|a| match group {
            Group::All => true,
            Group::Zone => a.zone == endpoint.info.zone,
            Group::Cell => a.cell == endpoint.info.cell,
        })
    }
}

impl Endpoint {
    /// Whether it may be sent to under this rule. An endpoint that has accepted a call within
    /// `valid_for`, and refused none since, can't count as leaving yet.
    pub(super) fn satisfies(&self, now: Duration, rule: Eligibility, valid_for: Duration) -> bool {
        let refuses = self.refused.is_some() && self.refused >= self.accepted;
        match rule {
            Eligibility::AllListed => true,
            Eligibility::NotRefusing => !refuses,
            Eligibility::RecentlyAccepting => {
                !refuses && self.accepted.is_some_and(|at| now < at + valid_for)
            }
            Eligibility::ContinuouslyHealthy { since } => {
                let asked = self.healthy_at.filter(|_| !refuses && self.is_healthy(now));
                since.zip(asked).is_some_and(|(since, asked)| self.continuity.covers(since, asked))
            }
        }
    }

    pub(super) fn add_failure_penalty(&mut self, now: Duration) {
        self.failure_penalty
            .set(now, (self.failure_penalty(now) + FAILURE_PENALTY).min(FAILURE_PENALTY_MAX));
    }

    pub(super) fn failure_penalty(&self, now: Duration) -> f64 {
        let penalty = self.failure_penalty.read(now, FAILURE_PENALTY_DECAY_S);
        if penalty < FAILURE_PENALTY_MIN { 0.0 } else { penalty }
    }
}
