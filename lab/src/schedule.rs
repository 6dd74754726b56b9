//! When requests come, and which: drawn before the run, so that nothing that happens in it can change them.

use crate::experiment::{Arrivals, Experiment};
use crate::seeds::{Part, draws};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use serde_json::Value;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Why a trace can't be replayed.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file can't be read.
    #[error("load.trace: {0}: {1}")]
    File(String, std::io::Error),
    /// A line is no line of results, or speaks of a class or zone that there is not.
    #[error("load.trace: {0}:{1}: {2}")]
    Line(String, usize, String),
}

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
    /// Its tenant's number; 0 also where there are none.
    pub tenant: usize,
}

/// All requests of an experiment, in the order of their times.
pub fn schedule(experiment: &Experiment) -> Result<Vec<Planned>, TraceError> {
    match &experiment.load.trace {
        Some(file) => replay(experiment, file),
        None => Ok(draw(experiment)),
    }
}

fn draw(experiment: &Experiment) -> Vec<Planned> {
    let mut draws = draws(experiment.seed, Part::Schedule, 0);
    let (mut planned, mut at) = (Vec::new(), 0.0);
    let classes: Vec<f64> = experiment.class.iter().map(|class| class.share).collect();
    let tenants: Vec<f64> = experiment.tenant.iter().map(|tenant| tenant.share).collect();
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
        planned.push(Planned {
            number: planned.len() as u64,
            at: Duration::from_secs_f64(at),
            class: chosen(&classes, draws.random()),
            zone: draws.random_range(0..experiment.zone.len()),
            tenant: chosen(&tenants, draws.random()),
        });
    }
}

/// The one among shares that an even draw from `0.0..1.0` falls to.
fn chosen(shares: &[f64], draw: f64) -> usize {
    let mut left = draw * shares.iter().sum::<f64>();
    let falls = shares.iter().position(|share| {
        left -= share;
        left < 0.0
    });
    falls.unwrap_or(0)
}

/// Requests a second at a time.
fn rate(experiment: &Experiment, at: f64) -> f64 {
    let load = &experiment.load;
    let steps = load.step.iter().filter(|step| step.at.as_secs_f64() <= at);
    let rate = steps.max_by_key(|step| step.at).map_or(load.rate, |step| step.rate);
    let within =
        |from: Duration, lasts: Duration| (from.as_secs_f64()..(from + lasts).as_secs_f64()).contains(&at);
    let bursts = load.burst.iter().filter(|burst| within(burst.at, burst.lasts));
    bursts.fold(rate, |rate, burst| rate * burst.times)
}

/// The requests of an earlier run, as its results have them.
fn replay(experiment: &Experiment, file: &Path) -> Result<Vec<Planned>, TraceError> {
    let shown = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| TraceError::File(shown.clone(), e))?;
    let mut planned = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let wrong = |problem: &str| TraceError::Line(shown.clone(), number + 1, problem.to_owned());
        let value: Value = serde_json::from_str(line).map_err(|e| wrong(&e.to_string()))?;
        let Some(request) = value.get("request") else { continue };
        let index = |name: &str, most: usize| {
            let index = request[name].as_u64().unwrap_or(0) as usize;
            if index < most { Ok(index) } else { Err(wrong(&format!("there is no such {name}"))) }
        };
        let at = request["at_ms"]
            .as_f64()
            .filter(|at| (0.0..1e9).contains(at))
            .ok_or_else(|| wrong("no at_ms"))?;
        planned.push(Planned {
            number: planned.len() as u64,
            at: Duration::from_secs_f64(at / 1e3),
            class: index("class", experiment.class.len())?,
            zone: index("zone", experiment.zone.len())?,
            tenant: index("tenant", experiment.tenant.len().max(1))?,
        });
    }
    planned.sort_by_key(|planned| planned.at);
    Ok(planned)
}
