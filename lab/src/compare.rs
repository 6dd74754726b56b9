//! Two variants of an experiment, played in turn on the same seeds, and whether they differ.

use crate::check::{latencies, served};
use crate::load::End;
use crate::run::Run;

/// The figures that are compared.
pub const FIGURES: [&str; 5] = ["worth served", "refused", "p50 ms", "p99 ms", "attempts a request"];
/// Chance at most, over all figures together, to see a difference where there is none.
const CHANCE: f64 = 0.05;

/// The figures of a run, in the order of their names.
pub fn figures(run: &Run) -> [f64; FIGURES.len()] {
    let count = run.records.len().max(1) as f64;
    let refused = run.records.iter().filter(|record| record.end == End::Refused).count() as f64;
    let taking = latencies(run.records.iter());
    let ms = |quantile| taking.value_at_quantile(quantile) as f64 / 1e3;
    let served = served(&run.experiment, run.records.iter()).unwrap_or(0.0);
    [served, refused / count, ms(0.5), ms(0.99), run.attempts as f64 / count]
}

/// How one figure of two variants compares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Medians of the first and the second.
    pub medians: [f64; 2],
    /// The median of what the second has more than the first, play by play.
    pub difference: f64,
    /// Where the true median of that lies, but for the chance; none where there are too few plays to say.
    pub interval: Option<[f64; 2]>,
}

impl Comparison {
    /// Whether a difference was seen; none where there are too few plays to say.
    pub fn differs(&self) -> Option<bool> {
        self.interval.map(|[low, high]| low > 0.0 || high < 0.0)
    }

    /// The same in words.
    pub fn said(&self) -> &'static str {
        match self.differs() {
            Some(true) => "they differ",
            Some(false) => "no difference seen",
            None => "too few plays to say; 8 at least",
        }
    }
}

/// Compares one figure over pairs of plays on the same seeds. The interval is that of the sign test: it assumes
/// nothing of how the differences spread.
pub fn compare(pairs: &[[f64; 2]]) -> Comparison {
    let column = |side: usize| sorted(pairs.iter().map(|pair| pair[side]).collect());
    let differences = sorted(pairs.iter().map(|[first, second]| second - first).collect());
    let rank = rank(differences.len(), CHANCE / FIGURES.len() as f64);
    Comparison {
        medians: [median(column(0)), median(column(1))],
        difference: median(differences.clone()),
        interval: rank.map(|rank| [differences[rank], differences[differences.len() - 1 - rank]]),
    }
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

/// The median; 0 of nothing.
pub fn median(values: Vec<f64>) -> f64 {
    let sorted = sorted(values);
    match sorted.len() {
        0 => 0.0,
        n if n % 2 == 1 => sorted[n / 2],
        n => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    }
}

/// How many of the sorted differences may be left out on either side, from 0, so that the median lies among the rest
/// but for this chance.
fn rank(plays: usize, chance: f64) -> Option<usize> {
    let (mut term, mut below) = (0.5f64.powi(plays as i32), 0.0);
    let mut fits = None;
    for k in 0..plays.div_ceil(2) {
        below += term; // that at most k differences are below the median
        if 2.0 * below > chance {
            break;
        }
        fits = Some(k);
        term *= (plays - k) as f64 / (k + 1) as f64;
    }
    fits
}

#[cfg(test)]
mod tests;
