//! Slow start: the part of its capacity that an endpoint surely has after its start, and how much all
//! balancers together may send it until it is warm. Depends on when an endpoint started and on the rate
//! at which warm endpoints served this balancer.

use super::Balancer;
use std::time::Duration;

/// Part of the multiple of capacity at which a cold endpoint falls over that all balancers together may
/// use.
const SLOW_START_CAUTION: f64 = 0.5;
/// Time constant, in seconds, over which rates are averaged.
pub(super) const RATE_DECAY_S: f64 = 5.0;
/// Time constant, in seconds, with which the observed rate of warm endpoints decays without new
/// observations.
const WARM_RATE_DECAY_S: f64 = 30.0;

impl Balancer {
    /// The part of its capacity that an endpoint surely has: it rises linearly from the cold share.
    pub(super) fn warm_fraction(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let Some(started) = self.endpoints[i].info.started else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64() / rules.warm_within.as_secs_f64().max(1e-3);
        (rules.cold_share + (1.0 - rules.cold_share) * age).clamp(0.01, 1.0)
    }

    /// Rule 4: a token bucket of the requests that may be sent to an endpoint in slow start. All
    /// balancers together may send it a part of the multiple at which it falls over; each balancer takes
    /// its own proportion, estimated from the rate at which warm endpoints serve it.
    pub(super) fn slow_start_tokens(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let rate = self.warm_fraction(now, i)
            * rules.fall_multiple
            * SLOW_START_CAUTION
            * self.warm_endpoint_rate(now);
        let most = (rate * rules.fall_after.as_secs_f64() * SLOW_START_CAUTION).max(1.0);
        (endpoint.slow_start_tokens + rate * now.saturating_sub(endpoint.slow_start_at).as_secs_f64())
            .min(most)
    }

    pub(super) fn record_served_by_warm(&mut self, now: Duration) {
        self.served.count(now, RATE_DECAY_S);
        // Averaged over all ready endpoints, warm or not: this underestimates the warm ones, which is
        // safe.
        let rate = self.served.read(now, RATE_DECAY_S) / self.ready_count().max(1.0);
        if rate > self.warm_endpoint_rate(now) || self.warm_rate.value == 0.0 {
            self.warm_rate.set(now, rate);
        }
    }

    /// Requests a second that one warm endpoint serves for this balancer alone.
    fn warm_endpoint_rate(&self, now: Duration) -> f64 {
        if self.warm_rate.value > 0.0 {
            return self.warm_rate.read(now, WARM_RATE_DECAY_S);
        }
        self.arrivals.rate(now, RATE_DECAY_S, self.created_at) / self.ready_count().max(1.0)
    }
}
