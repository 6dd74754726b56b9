//! When requests come, and which: drawn before the run, so that nothing that happens in it can change them.

use crate::experiment::{Arrivals, Experiment};
use crate::seeds::{Part, draws};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// A request to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Its number, from 0.
    pub number: u64,
    /// When it is to be sent, from the start of the load.
    pub at: Duration,
    /// Its class's number.
    pub class: usize,
    /// The number of the zone that its client is in.
    pub zone: usize,
}

/// All requests of an experiment, in the order of their times.
pub fn schedule(experiment: &Experiment) -> Vec<Planned> {
    let mut draws = draws(experiment.seed, Part::Schedule, 0);
    let shares: f64 = experiment.class.iter().map(|class| class.share).sum();
    let (mut planned, mut at) = (Vec::new(), 0.0);
    loop {
        let rate = rate(experiment, at);
        let gap = match experiment.load.arrivals {
            Arrivals::Poisson => Distribution::<f64>::sample(&Exp1, &mut draws),
            Arrivals::Even => 1.0,
        };
        at += if rate > 0.0 { gap / rate } else { 0.01 };
        if at >= experiment.lasts.as_secs_f64() {
            return planned;
        }
        if rate <= 0.0 {
            continue;
        }
        let mut left = draws.random::<f64>() * shares;
        let chosen = experiment.class.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        planned.push(Planned {
            number: planned.len() as u64,
            at: Duration::from_secs_f64(at),
            class: chosen.unwrap_or(0),
            zone: draws.random_range(0..experiment.zone.len()),
        });
    }
}

/// Requests a second at a time.
fn rate(experiment: &Experiment, at: f64) -> f64 {
    let steps = experiment.load.step.iter().filter(|step| step.at.as_secs_f64() <= at);
    steps.max_by_key(|step| step.at).map_or(experiment.load.rate, |step| step.rate)
}
