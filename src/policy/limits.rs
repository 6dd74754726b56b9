//! How much may be out, and what is served first where that is not enough: an endpoint's limit, the
//! windows of all own calls, what is held. It may know own answers and their times, worths and shares;
//! nothing of other balancers but how many there are.

use super::choice::{LATENCY_DECAY_S, LATENCY_WEIGHT};
use super::retries::{UNANSWERED_DECAY_S, UNANSWERED_REFUTED};
use super::slow_start::RATE_DECAY_S;
use super::{Balancer, Timer};
use crate::api::*;
use crate::stats::UNLOADED_SAMPLES;
use std::time::Duration;

/// Own calls in flight at an endpoint that is not known yet: the paper's C before any measurement.
pub(super) const INITIAL_LIMIT: f64 = 3.0;
/// One late answer takes this share of the limit; each round of timely ones adds one call.
const LIMIT_DECREASE: f64 = 0.07;
/// Part of the objective that an answer may take before the endpoint counts as overfull.
const LATE_OBJECTIVE_FRACTION: f64 = 0.8;
/// Calls of all balancers at each endpoint before any measurement; own windows start at their part of that,
/// or a hundred balancers would open with a jam. Until the first late answer each timely one adds a part.
pub(super) const INITIAL_WINDOW: f64 = 4.0;
/// A timely answer adds this many parts over the window, a late one takes the cut. So where each endpoint
/// holds 1.5 calls of all balancers, one answer in two may be late; where twice as many, one in three.
const WINDOW_INCREASE: f64 = 0.75;
/// Less than a call: where a balancer has one or two out, single slow answers are mostly chance.
const WINDOW_DECREASE: f64 = 0.5;
/// Calls of all balancers at each endpoint beyond which floors of one call are too many.
const MAX_FLOOR_CALLS: f64 = 8.0;
/// An answer is also late beyond this multiple of its class's unhurried mean: work times spread.
const LATE_LATENCY_MULTIPLE: f64 = 2.5;
/// Seconds in which the value of a refused request fades to a third.
const REFUSED_VALUE_DECAY_S: f64 = 2.0;
/// A client's repeat has spent some of its objective: it counts as a late answer does, or at least so much.
pub(super) const CLIENT_RETRY_MIN_FACTOR: f64 = 0.1;
/// Held requests are looked at again this often, besides whenever a call ends.
const QUEUE_RECHECK: Duration = Duration::from_millis(20);
/// A tenant is over its share beyond this multiple of what the median tenant uses of its own.
const TENANT_SHARE_SLACK: f64 = 1.5;

/// Own attempts out, and how many may be: keeps many balancers from adding up to a jam.
#[derive(Clone, Copy)]
pub(super) struct Window {
    pub(super) size: f64,
    pub(super) in_flight: u32,
    pub(super) ramping_up: bool,
}

impl Balancer {
    /// Lets an outcome speak for or against its endpoint. The side is the one that its window counted it
    /// on: by now the endpoint may be listed in another zone.
    pub(super) fn record_outcome(
        &mut self,
        now: Duration,
        id: EndpointId,
        side: usize,
        class: usize,
        ended: &AttemptEnded,
    ) {
        let Some(&i) = self.index.get(&id) else { return };
        let warm = self.warm_fraction(now, i) >= 1.0;
        let (elapsed, answers_lost) = (ended.elapsed.as_secs_f64(), self.answers_lost(now));
        let slow = elapsed > self.late_threshold(class);
        let late = match ended.outcome {
            Outcome::Ok => self.settings.tier == 0 && slow,
            Outcome::Error | Outcome::Reset => slow,
            Outcome::Cancelled => slow && !answers_lost,
            Outcome::TimedOut => !answers_lost,
            outcome => outcome == Outcome::NotProcessed,
        };
        let share = self.endpoint_share();
        // One call an endpoint, parted among all balancers. It is the least a window falls to, and the
        // larger a window the less it gains: else what starts first measures idle servers, yields to
        // what starts last and measured crowded ones, and is starved for good.
        let window = &mut self.windows[side];
        if late {
            window.size = (window.size - WINDOW_DECREASE).max(share.max(1.0));
            window.ramping_up = false;
        } else if ended.outcome == Outcome::Ok && f64::from(window.in_flight) * 2.0 > window.size {
            window.size +=
                if window.ramping_up { share.min(1.0) } else { WINDOW_INCREASE * share / window.size };
        }
        window.in_flight = window.in_flight.saturating_sub(1);
        let usual = Duration::from_secs_f64(self.latency[class].mean);
        let endpoint = &mut self.endpoints[i];
        if late && now >= endpoint.limit_reduced_at + usual {
            (endpoint.limit, endpoint.limit_reduced_at) =
                ((endpoint.limit * (1.0 - LIMIT_DECREASE)).max(1.0), now);
        } else if ended.outcome == Outcome::Ok
            && !late
            && f64::from(endpoint.in_flight) * 2.0 > endpoint.limit
        {
            endpoint.limit += 1.0 / endpoint.limit;
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        match ended.outcome {
            Outcome::Ok => {
                self.endpoints[i].idle_since = Some(now);
                let unanswered = self.unanswered.read(now, UNANSWERED_DECAY_S) - UNANSWERED_REFUTED;
                self.unanswered.set(now, unanswered.max(0.0));
                self.late_share += LATENCY_WEIGHT * (f64::from(u8::from(slow)) - self.late_share);
                self.latency[class].add(now, elapsed);
                let multiple = elapsed / self.latency[class].unloaded.max(1e-6);
                let endpoint = &mut self.endpoints[i];
                let penalty = endpoint.latency_penalty.read(now, LATENCY_DECAY_S);
                endpoint.latency_penalty.set(now, penalty + LATENCY_WEIGHT * (multiple - 1.0 - penalty));
                if warm {
                    self.record_served_by_warm(now);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => endpoint.add_failure_penalty(now),
        }
    }

    /// Seconds after which an answer says that servers hold too much.
    fn late_threshold(&self, class: usize) -> f64 {
        let by_objective = self.settings.classes[class].objective.as_secs_f64() * LATE_OBJECTIVE_FRACTION;
        if self.latency[class].seen < UNLOADED_SAMPLES {
            return by_objective;
        }
        by_objective.min(self.latency[class].unloaded * LATE_LATENCY_MULTIPLE)
    }

    /// Own calls in flight leave room for one more of such value: while worthier ones are refused, a part
    /// is theirs alone. A caller inside a tier holds a slot while it waits: what got so far is not held up.
    pub(super) fn has_room(&self, now: Duration, value: f64, side: usize) -> bool {
        let fraction =
            (value / self.refused_value.read(now, REFUSED_VALUE_DECAY_S).max(1e-9)).sqrt().min(1.0);
        let (window, in_flight) =
            (self.windows[side], self.windows[0].in_flight + self.windows[1].in_flight);
        // At its floor of one call: two such windows of each of many balancers would still be a jam.
        let above_floor =
            window.size > 1.0 || in_flight == 0 || MAX_FLOOR_CALLS * self.endpoint_share() >= 1.0;
        let fits = f64::from(window.in_flight) < window.size * fraction;
        self.settings.tier > 0 || (fits && above_floor)
    }

    /// Some zone with endpoints has room for the worthiest.
    fn any_room(&self, now: Duration) -> bool {
        (0..2).any(|side| !self.pools[2 + side].is_empty() && self.has_room(now, f64::MAX, side))
    }

    /// This balancer's part of one call at each endpoint.
    pub(super) fn endpoint_share(&self) -> f64 {
        self.ready_count() / f64::from(self.settings.balancers.max(1))
    }

    /// Sends what is held, as far as there is room. Looks at no endpoint where there is none: with
    /// hundreds held that took more time than the answers themselves.
    pub(super) fn dispatch_queued(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.queued.is_empty() || !self.any_room(now) {
            return;
        }
        // The worthiest first, and of equals the one that came last: in a jam the oldest would only
        // be answered after its objective, and so would all behind it.
        let rank = |&id: &RequestId| (self.value(id), self.requests.get(&id).map(|p| p.arrived), id);
        let mut waiting: Vec<_> = self.queued.iter().map(rank).collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(b.2.0.cmp(&a.2.0)));
        for (_, _, id) in waiting {
            let untried = self.requests.get(&id).is_some_and(|p| p.attempts.is_empty());
            self.queued.retain(|&held| held != id);
            self.dispatch(now, id, out);
            // What found no endpoint, though all are open to it, leaves none to the others either.
            if !self.any_room(now) || (untried && self.queued.last() == Some(&id)) {
                return;
            }
        }
    }

    /// Refuses what is held and can't be served in time any more.
    pub(super) fn refuse_late(&mut self, now: Duration, out: &mut Vec<Action>) {
        let late = |id: &RequestId| self.requests.get(id).is_some_and(|p| self.too_late(now, p));
        let late: Vec<RequestId> = self.queued.iter().copied().filter(late).collect();
        for id in late {
            let value = self.value(id);
            self.refused_value.set(now, value.max(self.refused_value.read(now, REFUSED_VALUE_DECAY_S)));
            self.give_up(id, out);
        }
        if !self.queued.is_empty() {
            self.schedule_recheck(out);
        }
    }

    /// What serving a request adds to the result for the time it keeps a server busy.
    pub(super) fn value(&self, id: RequestId) -> f64 {
        let Some(pending) = self.requests.get(&id) else { return 0.0 };
        self.settings.classes[pending.class].worth * pending.worth
            / self.latency[pending.class].unloaded.max(0.001)
    }

    /// Counts a tenant's request and tells whether it lies above the tenant's share. A balancer sees
    /// an unknown part of all traffic, so tenants are judged against the median one.
    pub(super) fn exceeds_share(&mut self, now: Duration, tenant: usize) -> bool {
        let Some(rate) = self.tenants.get_mut(tenant) else { return false };
        rate.count(now, RATE_DECAY_S);
        let used = |t: usize| {
            self.tenants[t].read(now, RATE_DECAY_S) / self.settings.tenants[t].allowance_per_s.max(1e-9)
        };
        let mut uses: Vec<f64> = (0..self.tenants.len()).map(used).collect();
        uses.sort_by(f64::total_cmp);
        let fair = uses[(uses.len() - 1) / 2] * TENANT_SHARE_SLACK;
        let excess = 1.0 - fair / used(tenant).max(1e-9);
        self.rng.uniform() < excess
    }

    pub(super) fn schedule_recheck(&mut self, out: &mut Vec<Action>) {
        if !self.recheck_scheduled {
            self.recheck_scheduled = true;
            self.set_timer(QUEUE_RECHECK, Timer::Recheck, out);
        }
    }
}
