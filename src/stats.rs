//! Statistics for the policy: exponentially decaying values, the latency of a class, seeded random
//! numbers.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// The first latencies of a class are averaged with equal weight; until there are this many, no attempt
/// is judged overdue by their mean.
pub(crate) const LATENCY_MIN_SAMPLES: u32 = 20;
/// Weight of one latency in the moving average.
const MEAN_WEIGHT: f64 = 0.05;
/// Answers after which the unloaded mean only falls with the mean: when each of many balancers has few
/// calls, overload can build up before twenty answers have come, and would be taken for normal.
pub(crate) const UNLOADED_SAMPLES: u32 = 5;
/// Time constant, in seconds, in which the unloaded mean rises two thirds of the way to the mean. It
/// rises by time, not by calls, and slowly; otherwise overload would be taken for normal, the sooner the
/// more calls a balancer has.
const UNLOADED_RISE_S: f64 = 60.0;

/// A value, as of `at`, that decays exponentially with a given time constant.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingValue {
    pub(crate) value: f64,
    at: Duration,
}

/// The fraction of a value that is left after this many seconds; about a third after `time_constant`.
fn decay(seconds: f64, time_constant: f64) -> f64 {
    (-seconds / time_constant).exp()
}

impl DecayingValue {
    pub(crate) fn read(&self, now: Duration, time_constant: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * decay(now.saturating_sub(self.at).as_secs_f64(), time_constant)
    }

    pub(crate) fn set(&mut self, now: Duration, value: f64) {
        (self.value, self.at) = (value, now);
    }

    /// Counts one event: a read with the same `seconds` then gives the rate a second.
    pub(crate) fn count(&mut self, now: Duration, seconds: f64) {
        self.set(now, self.read(now, seconds) + 1.0 / seconds);
    }

    /// The rate a second, corrected for a short time since counting began.
    pub(crate) fn rate(&self, now: Duration, seconds: f64, began: Duration) -> f64 {
        let age = now.saturating_sub(began).as_secs_f64().max(0.5);
        self.read(now, seconds) / (1.0 - decay(age, seconds))
    }
}

/// Moving average of a class's latencies, in seconds, and the lowest that it has recently been.
#[derive(Clone, Copy, Default)]
pub(crate) struct Latency {
    pub(crate) mean: f64,
    /// Mean absolute deviation from the mean.
    pub(crate) deviation: f64,
    pub(crate) unloaded: f64,
    pub(crate) seen: u32,
    at: Duration,
}

impl Latency {
    /// The mean plus this many mean deviations. A deviation counts as at least a quarter of the mean:
    /// even when all latencies are alike, the next one may be a little longer.
    pub(crate) fn above_mean(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.mean + deviations * self.deviation.max(self.mean / 4.0))
    }

    pub(crate) fn add(&mut self, now: Duration, seconds: f64) {
        let kept = decay(now.saturating_sub(self.at).as_secs_f64(), UNLOADED_RISE_S);
        self.at = now;
        let weight =
            if self.seen < LATENCY_MIN_SAMPLES { 1.0 / f64::from(self.seen + 1) } else { MEAN_WEIGHT };
        self.seen = self.seen.saturating_add(1);
        self.deviation += weight * ((seconds - self.mean).abs() - self.deviation);
        self.mean += weight * (seconds - self.mean);
        self.unloaded = self.mean + kept * (self.unloaded - self.mean);
        if self.seen <= UNLOADED_SAMPLES || self.mean < self.unloaded {
            self.unloaded = self.mean;
        }
    }
}

/// Random numbers generated from the balancer's seed.
pub(crate) struct SeededRng(Pcg32);

impl SeededRng {
    pub(crate) fn new(seed: u64) -> Self {
        SeededRng(Pcg32::seed_from_u64(seed))
    }

    /// A uniformly distributed number in `0.0..1.0`.
    pub(crate) fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// An unbiased, uniformly distributed number in `0..n`, by rejection sampling.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        let n = n as u32;
        let limit = u32::MAX - u32::MAX % n;
        loop {
            let draw = self.0.next_u32();
            if draw < limit {
                return (draw % n) as usize;
            }
        }
    }
}

#[cfg(test)]
mod tests;
