//! Concurrency limits, queueing and load shedding: the limit of each endpoint, the windows over all own
//! calls, and the order in which queued requests are sent. Depends on own answers and their latencies, on
//! worths and on tenants' shares; of other balancers only on their number.

use super::choice::{LATENCY_DECAY_S, LATENCY_WEIGHT};
use super::retries::{UNANSWERED_DECAY_S, UNANSWERED_REFUTED};
use super::slow_start::RATE_DECAY_S;
use super::{Balancer, Timer};
use crate::api::*;
use crate::stats::UNLOADED_SAMPLES;
use std::time::Duration;

/// Own calls in flight allowed at an endpoint before any answer: the initial concurrency limit C.
pub(super) const INITIAL_LIMIT: f64 = 3.0;
/// Fraction by which a late answer reduces an endpoint's limit; each round of timely answers adds one
/// call.
const LIMIT_DECREASE: f64 = 0.07;
/// Fraction of the objective beyond which an answer is late and its endpoint counts as overloaded.
const LATE_OBJECTIVE_FRACTION: f64 = 0.8;
/// Calls of all balancers at each endpoint before any answer. Own windows start at this balancer's share
/// of that; otherwise a hundred balancers would overload the endpoints at their start. Until the first
/// late answer each timely one adds one share.
pub(super) const INITIAL_WINDOW: f64 = 4.0;
/// A timely answer adds this many shares divided by the window size; a late one subtracts
/// `WINDOW_DECREASE`. So one answer in two may be late while each endpoint holds 1.5 calls of all
/// balancers; with twice as many calls, one in three.
const WINDOW_INCREASE: f64 = 0.75;
/// In calls. Less than one: when a balancer has one or two calls in flight, single slow answers are
/// mostly chance.
const WINDOW_DECREASE: f64 = 0.5;
/// Windows at their floor of one call are too large if those of all balancers add up to more calls than
/// this at each endpoint.
const MAX_FLOOR_CALLS: f64 = 8.0;
/// An answer is also late beyond this multiple of its class's unloaded mean: above one, as service times
/// vary.
const LATE_LATENCY_MULTIPLE: f64 = 2.5;
/// Time constant, in seconds, in which the value of a refused request falls to a third.
const REFUSED_VALUE_DECAY_S: f64 = 2.0;
/// A client's retry has used up part of its objective, so it is worth as much as a late answer, but at
/// least this fraction.
pub(super) const CLIENT_RETRY_MIN_FACTOR: f64 = 0.1;
/// Interval at which queued requests are examined again, besides whenever a call ends.
const QUEUE_RECHECK: Duration = Duration::from_millis(20);
/// A tenant exceeds its share when it uses more than this multiple of the fraction that the median tenant
/// uses.
const TENANT_SHARE_SLACK: f64 = 1.5;

/// Own attempts in flight, and how many may be: keeps many balancers from overloading the endpoints
/// together.
#[derive(Clone, Copy)]
pub(super) struct Window {
    pub(super) size: f64,
    pub(super) in_flight: u32,
    pub(super) ramping_up: bool,
}

impl Balancer {
    /// Updates limits, windows, latencies and penalties by the outcome of an attempt. `side` is the
    /// window that counted the attempt: by now the endpoint may be listed in another zone.
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
        // One call for each endpoint, divided among all balancers. A window never falls below this, and
        // grows more slowly the larger it is. Otherwise balancers that started first, and measured idle
        // servers, would yield to those that started last, and measured busy ones, and be starved for
        // good.
        let window = &mut self.windows[side];
        if late {
            window.size = (window.size - WINDOW_DECREASE).max(share.max(1.0));
            window.ramping_up = false;
        } else if ended.outcome == Outcome::Ok && f64::from(window.in_flight) * 2.0 > window.size {
            window.size +=
                if window.ramping_up { share.min(1.0) } else { WINDOW_INCREASE * share / window.size };
        }
        window.in_flight = window.in_flight.saturating_sub(1);
        let mean_latency = Duration::from_secs_f64(self.latency[class].mean);
        let endpoint = &mut self.endpoints[i];
        if late && now >= endpoint.limit_reduced_at + mean_latency {
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

    /// Latency in seconds beyond which an answer shows that servers are overloaded.
    fn late_threshold(&self, class: usize) -> f64 {
        let by_objective = self.settings.classes[class].objective.as_secs_f64() * LATE_OBJECTIVE_FRACTION;
        if self.latency[class].seen < UNLOADED_SAMPLES {
            return by_objective;
        }
        by_objective.min(self.latency[class].unloaded * LATE_LATENCY_MULTIPLE)
    }

    /// Whether the window has room for one more call of this value: while more valuable requests are
    /// refused, a part of it is reserved for them. Callers inside a tier are never limited: they hold a
    /// slot in their own tier while they wait.
    pub(super) fn has_room(&self, now: Duration, value: f64, side: usize) -> bool {
        let fraction =
            (value / self.refused_value.read(now, REFUSED_VALUE_DECAY_S).max(1e-9)).sqrt().min(1.0);
        let (window, in_flight) =
            (self.windows[side], self.windows[0].in_flight + self.windows[1].in_flight);
        // A window at its floor of one call: with many balancers, two such windows each are still too
        // much.
        let above_floor =
            window.size > 1.0 || in_flight == 0 || MAX_FLOOR_CALLS * self.endpoint_share() >= 1.0;
        let fits = f64::from(window.in_flight) < window.size * fraction;
        self.settings.tier > 0 || (fits && above_floor)
    }

    /// Whether any zone with endpoints has room for the most valuable request.
    fn any_room(&self, now: Duration) -> bool {
        (0..2).any(|side| !self.pools[2 + side].is_empty() && self.has_room(now, f64::MAX, side))
    }

    /// This balancer's share of one call at each endpoint.
    pub(super) fn endpoint_share(&self) -> f64 {
        self.ready_count() / f64::from(self.settings.balancers.max(1))
    }

    /// Sends queued requests as far as there is room. Examines no endpoint if there is none: with
    /// hundreds of queued requests that took more time than the answers themselves.
    pub(super) fn dispatch_queued(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.queued.is_empty() || !self.any_room(now) {
            return;
        }
        // The most valuable first, and of equals the newest: in overload the oldest would be answered
        // after its objective, and so would all behind it.
        let rank = |&id: &RequestId| (self.value(id), self.requests.get(&id).map(|p| p.arrived), id);
        let mut ranked: Vec<_> = self.queued.iter().map(rank).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(b.2.0.cmp(&a.2.0)));
        for (_, _, id) in ranked {
            let untried = self.requests.get(&id).is_some_and(|p| p.attempts.is_empty());
            self.queued.retain(|&queued| queued != id);
            self.dispatch(now, id, out);
            // If a request found no endpoint, though all are open to it, neither will the others.
            if !self.any_room(now) || (untried && self.queued.last() == Some(&id)) {
                return;
            }
        }
    }

    /// Refuses queued requests that can no longer be served in time.
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

    /// The value of serving a request: its worth for each second of unloaded service time.
    pub(super) fn value(&self, id: RequestId) -> f64 {
        let Some(pending) = self.requests.get(&id) else { return 0.0 };
        self.settings.classes[pending.class].worth * pending.worth
            / self.latency[pending.class].unloaded.max(0.001)
    }

    /// Counts a tenant's request and decides, at random in proportion to the excess, whether it lies
    /// above the tenant's share. A balancer sees an unknown part of all traffic, so tenants are compared
    /// with the median one.
    pub(super) fn exceeds_share(&mut self, now: Duration, tenant: usize) -> bool {
        let Some(rate) = self.tenants.get_mut(tenant) else { return false };
        rate.count(now, RATE_DECAY_S);
        let used = |t: usize| {
            self.tenants[t].read(now, RATE_DECAY_S) / self.settings.tenants[t].allowance_per_s.max(1e-9)
        };
        let mut uses: Vec<f64> = (0..self.tenants.len()).map(used).collect();
        uses.sort_by(f64::total_cmp);
        let fair_use = uses[(uses.len() - 1) / 2] * TENANT_SHARE_SLACK;
        let excess = 1.0 - fair_use / used(tenant).max(1e-9);
        self.rng.uniform() < excess
    }

    pub(super) fn schedule_recheck(&mut self, out: &mut Vec<Action>) {
        if !self.recheck_scheduled {
            self.recheck_scheduled = true;
            self.set_timer(QUEUE_RECHECK, Timer::Recheck, out);
        }
    }
}
