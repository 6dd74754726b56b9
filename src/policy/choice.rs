//! The choice of an endpoint, SQ(d): sample `CHOICES` ready endpoints at random, send to the one with
//! the fewest of this balancer's own calls in flight, break ties at random. Each exception either
//! narrows the eligible set or adds to an endpoint's occupancy; none is a second chooser. It may know
//! what was seen of each endpoint.

use super::Balancer;
use super::limits::LIMIT_START;
use super::list::Endpoint;
use super::requests::Pending;
use crate::api::*;
use std::time::Duration;

/// Endpoints sampled for a call: the paper's d; two gives most of the gain.
const CHOICES: usize = 2;
/// Endpoints of a pool looked at for one choice, open or not: work a request must not grow with the fleet.
const DRAWS: usize = 16;
/// A failure weighs like this many calls in flight, or quick errors would win every sample.
const FAILURE_HEAT: f64 = 1.0;
/// Failures weigh no more than this together, so that an endpoint cools within some seconds.
const HEAT_MOST: f64 = 12.0;
/// Less heat than this is none: a trace of it would lose every tie and bar an idle endpoint for good.
const HEAT_LEAST: f64 = 0.5;
/// Seconds in which the weight of failures falls to a third: long enough for a streak to add up.
const HEAT_SECONDS: f64 = 4.0;
/// An endpoint's answers may take longer than the unhurried mean by this multiple of it before that counts.
const DRAG_FREE: f64 = 0.5;
/// Weight of one answer in an endpoint's drag, and in the share of late answers.
pub(super) const DRAG_WEIGHT: f64 = 0.15;
/// Seconds in which drag is forgotten to a third, so that a slow endpoint is tried again.
pub(super) const DRAG_SECONDS: f64 = 6.0;
/// Occupancy by which an endpoint of another zone must be better: a crossing costs time and money.
const CROSS_MARGIN: f64 = 1.0;

/// How far the list is believed: the longer nothing was heard of discovery, the more an endpoint has to
/// show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListTrust {
    /// All that are listed as ready are sent to.
    Listed,
    /// Those whose last call was not refused.
    NotRefusing,
    /// Those that took a call of late.
    Accepting,
    /// The lease on the list has run out, and any may count as known to leave but those that have gone on
    /// without a break since the list was complete, and whose own health check has said of late that they
    /// take requests. None where this process was never told a list.
    Unbroken {
        /// Up to when the list is known to be complete.
        since: Option<Duration>,
    },
}

impl Balancer {
    /// The eligible set, then d samples, then the least occupied, ties at random.
    pub(super) fn pick(&mut self, now: Duration, id: RequestId) -> Option<usize> {
        self.common_heat = self.shared_heat(now);
        self.trust = self.list_trust(now);
        // Of this balancer's part, or of all where too few of it can take the call.
        // With several times the mean it would crowd its part of a zone: beyond C calls each, all of it.
        let crowds =
            |side: usize| f64::from(self.windows[side].out) >= LIMIT_START * self.pools[side].len() as f64;
        let wide = [0, 1].map(|side| if crowds(side) { 2 } else { 0 });
        for pool in [0, 2] {
            let near = self.sample(now, id, pool.max(wide[0]));
            let far = self.sample(now, id, pool.max(wide[1]) + 1);
            if pool == 0 && near.1 + far.1 < CHOICES {
                continue;
            }
            // Own zone first: another one's best sample must be better by a clear margin.
            match (near.0, far.0) {
                (Some((_, a)), Some((j, b))) if b + CROSS_MARGIN < a => return Some(j),
                (Some((i, _)), _) | (None, Some((i, _))) => return Some(i),
                (None, None) => {}
            }
        }
        None
    }

    /// Whom to send to: once the lease on the list has run out those that have gone on without a break
    /// since it was complete, and whose health check says that they take requests; while the list is
    /// doubted those that take calls, or, where there are none, those that have not refused the last one.
    fn list_trust(&self, now: Duration) -> ListTrust {
        let lease = self.schedule.lease();
        if !lease.is_valid(now) {
            return ListTrust::Unbroken { since: lease.complete_until() };
        }
        if !lease.may_be_stale(now) {
            return ListTrust::Listed;
        }
        let proof = self.schedule.proof();
        let some = |trust: &ListTrust| {
            self.endpoints.iter().any(|e| e.is_ready() && e.is_trusted(now, *trust, proof))
        };
        [ListTrust::Accepting, ListTrust::NotRefusing].into_iter().find(some).unwrap_or(ListTrust::Listed)
    }

    /// Logs which endpoints are sent to from now on, where that has changed.
    pub(super) fn log_trust(&self, before: ListTrust, out: &mut Vec<Action>) {
        if self.trust == before {
            return;
        }
        let text = match self.trust {
            ListTrust::Listed => "sending to all that are listed",
            ListTrust::NotRefusing => {
                "list overdue: sending to endpoints that did not refuse their last call"
            }
            ListTrust::Accepting => "list overdue: sending only to endpoints that took a call of late",
            ListTrust::Unbroken { since: Some(_) } => {
                "sending only to endpoints that have gone on without a break and whose health check passes"
            }
            ListTrust::Unbroken { since: None } => "sending to none: no list was told since the start",
        };
        out.push(Action::Log(text.to_owned()));
    }

    /// Draws d eligible endpoints of a pool without replacement: the least occupied and how many there
    /// were. The first drawn wins ties.
    fn sample(&mut self, now: Duration, id: RequestId, pool: usize) -> (Option<(usize, f64)>, usize) {
        let (mut best, mut found): (Option<(usize, f64)>, usize) = (None, 0);
        let room = self.has_room(now, self.value(id), pool % 2);
        let size = if room { self.pools[pool].len() } else { 0 };
        let looks = if self.trust == ListTrust::Listed { size.min(DRAWS) } else { size };
        for k in 0..looks {
            let drawn = k + self.draws.below(size - k);
            self.pools[pool].swap(k, drawn);
            let i = self.pools[pool][k];
            let pending = self.requests.get(&id).filter(|p| self.allowed(now, i, p));
            let Some(occupancy) = pending.map(|p| self.occupancy(now, i, p)) else { continue };
            found += 1;
            if best.is_none_or(|(_, least)| occupancy < least) {
                best = Some((i, occupancy));
            }
            if found == CHOICES {
                break;
            }
        }
        (best, found)
    }

    /// The heat of the best quarter, of all endpoints or of every so many.
    fn shared_heat(&mut self, now: Duration) -> f64 {
        let step = self.endpoints.len().div_ceil(DRAWS).max(1);
        let skipped = self.draws.below(step);
        let ready = self.endpoints.iter().skip(skipped).step_by(step).filter(|e| e.is_ready());
        let mut heats: Vec<f64> = ready.map(|e| e.heat(now)).collect();
        heats.sort_by(f64::total_cmp);
        heats.get(heats.len() / 4).copied().unwrap_or(0.0)
    }

    /// Own calls in flight and what failures beyond the common measure count for.
    pub(super) fn load(&self, now: Duration, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        f64::from(endpoint.in_flight) + (endpoint.heat(now) - self.common_heat).max(0.0)
    }

    /// Own calls in flight plus what failures, slow answers and an earlier attempt there count for.
    fn occupancy(&self, now: Duration, i: usize, pending: &Pending) -> f64 {
        let endpoint = &self.endpoints[i];
        let drag = (endpoint.drag.read(now, DRAG_SECONDS) - DRAG_FREE).max(0.0);
        let tried = pending.attempts.iter().any(|a| a.endpoint == endpoint.info.id);
        self.load(now, i) + drag + if tried { HEAT_MOST } else { 0.0 }
    }

    /// Hard limits: the list, or what of it takes calls, the cold budget, rule 2 for a keyed request that
    /// may have run.
    pub(super) fn allowed(&self, now: Duration, i: usize, pending: &Pending) -> bool {
        let endpoint = &self.endpoints[i];
        let room = (endpoint.limit * self.warmth(now, i)).max(1.0);
        let overspent = self.warmth(now, i) < 1.0 && self.cold_tokens(now, i) < 1.0;
        let leaving = !endpoint.is_trusted(now, self.trust, self.schedule.proof());
        if !endpoint.is_ready() || leaving || self.load(now, i) + 1.0 > room || overspent {
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
    /// Whether it may be sent to at this trust in the list. What has taken a call within the time of
    /// `proof`, and refused none since, can't count as leaving yet.
    pub(super) fn is_trusted(&self, now: Duration, trust: ListTrust, proof: Duration) -> bool {
        let refuses = self.refused.is_some() && self.refused >= self.accepted;
        match trust {
            ListTrust::Listed => true,
            ListTrust::NotRefusing => !refuses,
            ListTrust::Accepting => !refuses && self.accepted.is_some_and(|at| now < at + proof),
            ListTrust::Unbroken { since } => {
                let asked = self.healthy.filter(|_| !refuses && self.is_healthy(now));
                since.zip(asked).is_some_and(|(since, asked)| self.continuity.covers(since, asked))
            }
        }
    }

    pub(super) fn add_heat(&mut self, now: Duration) {
        self.heat.set(now, (self.heat(now) + FAILURE_HEAT).min(HEAT_MOST));
    }

    pub(super) fn heat(&self, now: Duration) -> f64 {
        let heat = self.heat.read(now, HEAT_SECONDS);
        if heat < HEAT_LEAST { 0.0 } else { heat }
    }
}
