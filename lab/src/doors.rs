//! What copies say of themselves at their doors, followed through a run.

use crate::copies::Copy;
use crate::experiment::{Check, DUTY_HELD, Experiment, Over};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

/// A copy's figure at a time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// The copy's number.
    pub copy: usize,
    /// When it was asked, in seconds from the start of the load.
    pub at: f64,
    /// The metric.
    pub metric: String,
    /// Its labels.
    pub labels: BTreeMap<String, String>,
    /// Its value.
    pub value: f64,
}

/// Asks each copy again and again for these metrics, until the tasks are dropped.
pub fn follow(
    copies: &[Arc<Copy>],
    experiment: &Experiment,
    start: Instant,
    told: &UnboundedSender<Sample>,
) -> JoinSet<()> {
    let mut asking = JoinSet::new();
    let metrics: Vec<String> = experiment.followed().into_iter().map(str::to_owned).collect();
    if metrics.is_empty() {
        return asking;
    }
    for (number, copy) in copies.iter().cloned().enumerate() {
        let (metrics, told) = (metrics.clone(), told.clone());
        // Each at a moment of its own: asked together, they would all be late together.
        let every = experiment.doors_every.max(Duration::from_millis(10));
        let first = start + every.mul_f64(number as f64 / copies.len() as f64);
        asking.spawn(async move {
            let mut turns = interval_at(first, every);
            turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                turns.tick().await;
                let at = start.elapsed().as_secs_f64();
                let Some(text) = copy.metrics().await else { continue };
                for (metric, labels, value) in text.lines().filter_map(parsed) {
                    if metrics.contains(&metric) {
                        let _ = told.send(Sample { copy: number, at, metric, labels, value });
                    }
                }
            }
        });
    }
    asking
}

/// A line of OpenMetrics text; none where it is no sample.
fn parsed(line: &str) -> Option<(String, BTreeMap<String, String>, f64)> {
    let (name, rest) = line.split_at(line.find(['{', ' ']).filter(|_| !line.starts_with('#'))?);
    let (labels, value) = match rest.strip_prefix('{') {
        Some(rest) => rest.rsplit_once("} ")?,
        None => ("", rest.trim_start()),
    };
    let label = |pair: &str| {
        let (name, value) = pair.split_once("=\"")?;
        Some((name.trim_start_matches(',').to_owned(), value.to_owned()))
    };
    let labels = labels.split('"').collect::<Vec<_>>();
    let pairs = labels.chunks_exact(2).filter_map(|pair| label(&pair.join("\"")));
    Some((name.to_owned(), pairs.collect(), value.split(' ').next()?.parse().ok()?))
}

/// A figure over all samples that a check is about.
pub fn figure(samples: &[Sample], check: &Check) -> Option<f64> {
    let within = |sample: &&Sample| {
        check.from.is_none_or(|from| sample.at >= from.as_secs_f64())
            && check.until.is_none_or(|until| sample.at < until.as_secs_f64())
            && check.metric.as_ref() == Some(&sample.metric)
            && check.labels.iter().all(|(name, value)| sample.labels.get(name) == Some(value))
    };
    let values: Vec<f64> = samples.iter().filter(within).map(|sample| sample.value).collect();
    match check.over {
        Over::Mean => (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64),
        Over::Least => values.into_iter().reduce(f64::min),
        Over::Most => values.into_iter().reduce(f64::max),
    }
}

/// A time in which a copy held a duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// The duty.
    pub duty: String,
    /// The copy's number.
    pub copy: usize,
    /// From when, in seconds from the start of the load.
    pub from: f64,
    /// Until when.
    pub to: f64,
}

/// Who held what and when, as far as it is proven: between two samples on end that both say so, of the same epoch.
pub fn holdings(samples: &[Sample]) -> Vec<Holding> {
    let mut last: BTreeMap<(usize, &str, &str), f64> = BTreeMap::new();
    let mut holdings: Vec<Holding> = Vec::new();
    let mut held: Vec<&Sample> = samples.iter().filter(|sample| sample.metric == DUTY_HELD).collect();
    held.sort_by(|a, b| a.at.total_cmp(&b.at));
    for sample in held {
        let label = |name: &str| sample.labels.get(name).map_or("", String::as_str);
        let key = (sample.copy, label("duty"), label("epoch"));
        if sample.value < 1.0 {
            last.remove(&key);
            continue;
        }
        if let Some(from) = last.insert(key, sample.at) {
            let same = |h: &&mut Holding| h.copy == key.0 && h.duty == key.1 && h.to == from;
            match holdings.iter_mut().rev().find(same) {
                Some(holding) => holding.to = sample.at,
                None => holdings.push(Holding { duty: key.1.to_owned(), copy: key.0, from, to: sample.at }),
            }
        }
    }
    holdings
}

/// The most copies that held one duty at a time.
pub fn holders(samples: &[Sample]) -> Option<f64> {
    if !samples.iter().any(|sample| sample.metric == DUTY_HELD) {
        return None;
    }
    let holdings = holdings(samples);
    let at_once = |held: &Holding| {
        let with = |other: &&Holding| {
            other.duty == held.duty
                && (other.from..other.to).contains(&held.from)
                && other.copy != held.copy
        };
        1 + holdings.iter().filter(with).count()
    };
    Some(holdings.iter().map(at_once).max().unwrap_or(0) as f64)
}

#[cfg(test)]
mod tests;
