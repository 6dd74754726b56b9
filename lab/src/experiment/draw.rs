//! Fault schedules drawn from a seed over an experiment: what goes wrong, to which, when and for how long.

use super::{Experiment, Fault, Inject, What};
use crate::seeds::{Part, draws};
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A draw that does not fit beside those before it is made anew, so often at most.
const TRIES: usize = 1000;
/// Between two faults that strike the same there is so much time.
const APART: Duration = Duration::from_secs(1);
/// The shortest fault is this part of the longest.
const SHORTEST: f64 = 0.125;

/// In a drawn deployment a drain lasts longer than any term after which it counts as told, or no send could be late.
const DRAINS_LEAST: Duration = Duration::from_secs(9);

/// Discovery is crowded for so long.
const CROWDED_MS: std::ops::RangeInclusive<u64> = 3000..=9000;

/// What schedules are drawn from.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Draw {
    /// Faults of a schedule.
    pub faults: usize,
    /// No fault begins before.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// All are over by then.
    #[serde(with = "humantime_serde")]
    pub until: Duration,
    /// The longest that one lasts.
    #[serde(with = "humantime_serde")]
    pub longest: Duration,
    /// The sorts of faults; one that stands twice is drawn twice as often.
    pub what: Vec<What>,
    /// Draw also what is injected into the copies' system calls and clocks.
    #[serde(default)]
    pub inject: bool,
    /// Draw also the deployment: how many copies, what may be repeated, deadlines, windows, how lists come.
    #[serde(default)]
    pub vary: bool,
}

impl Experiment {
    /// This experiment with the faults of the schedule of a seed, beside its own; none where it says nothing of draws.
    pub fn drawn(&self, seed: u64) -> Option<Experiment> {
        let draw = self.draw.as_ref()?;
        let mut draws = draws(seed, Part::Faults, 0);
        let mut drawn = Experiment { seed, ..self.clone() };
        if draw.vary {
            drawn.vary(seed);
        }
        if draw.inject {
            drawn.inject = Some(Inject::drawn(seed, self.lasts));
        }
        for _ in 0..draw.faults {
            let fitting = (0..TRIES).find_map(|_| {
                let fault = drawn.one(draw, &mut draws)?;
                drawn.fault.iter().all(|other| !drawn.clash(other, &fault)).then_some(fault)
            });
            drawn.fault.extend(fitting);
        }
        drawn.fault.sort_by_key(|fault| fault.at);
        Some(drawn)
    }

    fn one(&self, draw: &Draw, draws: &mut impl Rng) -> Option<Fault> {
        let what = *draw.what.choose(draws)?;
        let mut lasts = draw.longest.mul_f64(draws.random_range(SHORTEST..=1.0));
        if draw.vary && what == What::Drain {
            lasts = DRAINS_LEAST + draw.longest.mul_f64(draws.random());
        }
        if what == What::DiscoveryCrowded {
            lasts = Duration::from_millis(draws.random_range(CROWDED_MS));
        }
        let room = draw.until.checked_sub(draw.from + lasts)?;
        let at = draw.from + room.mul_f64(draws.random());
        let mut fault = Fault { at, lasts: Some(lasts), what, of: String::new(), to: None, by: 0.0 };
        fault.by = match what {
            What::Slow => draws.random_range(2.0..8.0),
            What::Delay | What::DiskSlow => draws.random_range(5.0..300.0),
            What::DiscoveryTroubled => draws.random_range(0.3..1.0),
            _ if fault.by_part() => draws.random_range(0.05..0.3),
            _ => 0.0,
        };
        // Of all that there is, what this can strike.
        let copies = self.copies().into_iter().map(|copy| copy.name);
        let zones = self.zone.iter().map(|zone| zone.name.clone());
        let endpoints = self.endpoints().into_iter().map(|endpoint| endpoint.name);
        let known = copies.chain(zones).chain(endpoints).chain([String::new()]);
        // A crowd at discovery is felt by all.
        let known = known.filter(|of| what != What::DiscoveryCrowded || of.is_empty());
        let fits = |of: &String| self.target(&Fault { of: of.clone(), ..fault.clone() }).is_ok();
        let of: Vec<String> = known.filter(fits).collect();
        fault.of = of.choose(draws)?.clone();
        Some(fault)
    }

    /// Whether two faults would undo each other's work: of one sort at a time, or on the same copy or endpoint.
    fn clash(&self, a: &Fault, b: &Fault) -> bool {
        let end = |fault: &Fault| fault.lasts.map_or(Duration::MAX, |lasts| fault.at + lasts);
        let apart = |first: &Fault, then: &Fault| end(first).saturating_add(APART) <= then.at;
        let zone = |of: &str| {
            let copies = self.copies();
            let copy = copies.iter().find(|copy| copy.name == of).map(|copy| copy.zone);
            let endpoint = self.endpoints().iter().find(|endpoint| endpoint.name == of).map(|e| e.zone);
            copy.or(endpoint).or(self.zone.iter().position(|zone| zone.name == of))
        };
        let whole = |of: &str| self.zone.iter().any(|zone| zone.name == of);
        let same = a.of == b.of || (whole(&a.of) || whole(&b.of)) && zone(&a.of) == zone(&b.of);
        (a.what == b.what || same) && !apart(a, b) && !apart(b, a)
    }
}
