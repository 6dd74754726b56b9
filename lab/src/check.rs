//! What must hold, measured on a finished run.

use crate::doors;
use crate::experiment::{Check, Experiment, That, spelled};
use crate::ledger::Breach;
use crate::load::{End, Record};
use crate::run::Run;
use crate::telling::{self, Telling};
use hdrhistogram::Histogram;
use serde::Serialize;

/// What a check came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// What was checked, and where.
    pub check: String,
    /// What was measured; none where no request fits.
    pub figure: Option<f64>,
    /// What it must be.
    pub wanted: String,
    /// Whether it is.
    pub holds: bool,
}

/// The four rules, which hold in every experiment, and its own checks.
pub fn verdicts(run: &Run) -> Vec<Verdict> {
    let rules = [
        That::Lost,
        That::RepeatedEffects,
        That::SentToDraining,
        That::PushedOver,
        That::ToldTooMuchTime,
        That::SentAfterClientLeft,
        That::Crashes,
    ]
    .map(Check::never);
    let own = &run.experiment.check;
    // An experiment that states a bound of its own for a rule knows what it does.
    let stated = |check: &&Check| !own.iter().any(|stated| stated.that == check.that);
    rules.iter().filter(stated).chain(own).map(|check| verdict(run, check)).collect()
}

fn verdict(run: &Run, check: &Check) -> Verdict {
    let figure = measure(run, check);
    let holds = figure.is_some_and(|figure| {
        check.at_least.is_none_or(|least| figure >= least)
            && check.at_most.is_none_or(|most| figure <= most)
    });
    let mut name = match &check.metric {
        Some(metric) => {
            let labels: Vec<String> =
                check.labels.iter().map(|(name, value)| format!("{name}={value}")).collect();
            format!("{} {metric}{{{}}}", spelled(&check.over), labels.join(","))
        }
        None => spelled(&check.that),
    };
    for (word, time) in [("from", check.from), ("until", check.until)] {
        name += &time.map_or_else(String::new, |time| format!(" {word} {:.1} s", time.as_secs_f64()));
    }
    name += &check.zone.as_ref().map_or_else(String::new, |zone| format!(" in {zone}"));
    let bounds = [("at least", check.at_least), ("at most", check.at_most)];
    let wanted = bounds.iter().filter_map(|(word, bound)| Some(format!("{word} {}", (*bound)?)));
    Verdict { check: name, figure, wanted: wanted.collect::<Vec<_>>().join(", "), holds }
}

fn measure(run: &Run, check: &Check) -> Option<f64> {
    let breaches = |fits: fn(&Breach) -> bool| Some(run.breaches.iter().filter(|b| fits(b)).count() as f64);
    let records = || select(run, check);
    match check.that {
        That::RepeatedEffects => breaches(|breach| matches!(breach, Breach::Repeated { .. })),
        That::SentToDraining => breaches(|breach| matches!(breach, Breach::Draining { .. })),
        That::PushedOver => breaches(|breach| matches!(breach, Breach::PushedOver { .. })),
        That::ToldTooMuchTime => breaches(|breach| matches!(breach, Breach::TooMuchTime { .. })),
        That::SentAfterClientLeft => breaches(|breach| matches!(breach, Breach::AfterClientLeft { .. })),
        That::Crashes => Some(run.crashes as f64),
        That::Lost => {
            let between = breaches(|breach| matches!(breach, Breach::Unanswered { .. })).unwrap_or(0.0);
            Some(records().map(|record| f64::from(record.lost)).sum::<f64>() + between)
        }
        That::Served => served(&run.experiment, records()),
        That::Refused => part(records(), |record| record.end == End::Refused),
        That::Crossed => {
            part(records().filter(|record| record.endpoint.is_some()), |r| crossed(&run.experiment, r))
        }
        That::LeftZoneWithin => left(run, check),
        That::ReturnedWithin => returned(run, check),
        That::HoldersOfADuty => doors::holders(&run.samples),
        That::ToldWithin => telling::within(told(run, check), 1.0),
        That::ToldWithinP99 => telling::within(told(run, check), 0.99),
        That::Figure => doors::figure(&run.samples, check),
        That::P99Ms => {
            let taking = latencies(records());
            (!taking.is_empty()).then(|| taking.value_at_quantile(0.99) as f64 / 1e3)
        }
    }
}

/// Steps in which leaving and returning are measured, in seconds.
const STEP: f64 = 0.25;
/// Clients are served as before at this part of what they were served then, ...
const AS_BEFORE: f64 = 0.95;
/// ... for so many steps on end.
const STEADY: usize = 4;
/// A zone has returned at this part of the answers that it gave before.
const NEARLY: f64 = 0.8;

/// The requests meant for the step that begins at a time.
fn step(run: &Run, from: f64) -> impl Iterator<Item = &Record> + Clone {
    let to = from + STEP;
    run.records.iter().filter(move |record| record.at_ms >= from * 1e3 && record.at_ms < to * 1e3)
}

/// The steps from one time to another.
fn steps(from: f64, to: f64) -> impl Iterator<Item = f64> {
    (0..).map(move |i| from + f64::from(i) * STEP).take_while(move |at| at + STEP <= to)
}

/// Seconds from a zone's fault until clients of the other zones are served as before; none if they never are.
fn left(run: &Run, check: &Check) -> Option<f64> {
    let fault = run.experiment.zone_fault(check)?;
    let zone = run.experiment.zone.iter().position(|zone| zone.name == fault.of)?;
    let (began, end) = (fault.at.as_secs_f64(), run.experiment.lasts.as_secs_f64());
    let elsewhere = |at: f64| served(&run.experiment, step(run, at).filter(|record| record.zone != zone));
    let before: Vec<f64> = steps(0.0, began).filter_map(elsewhere).collect();
    let usual = before.iter().sum::<f64>() / before.len().max(1) as f64;
    let good: Vec<bool> = steps(began, end)
        .map(|at| elsewhere(at).is_none_or(|served| served >= AS_BEFORE * usual))
        .collect();
    let first = good.windows(STEADY).position(|steps| steps.iter().all(|good| *good))?;
    Some(first as f64 * STEP)
}

/// Seconds from the end of a zone's fault until the zone gives nearly the part of all answers that it gave before;
/// none if it never does.
fn returned(run: &Run, check: &Check) -> Option<f64> {
    let fault = run.experiment.zone_fault(check)?;
    let (began, end) = (fault.at.as_secs_f64(), run.experiment.lasts.as_secs_f64());
    let over = began + fault.lasts?.as_secs_f64();
    let of_zone =
        |record: &Record| record.endpoint.as_ref().is_some_and(|e| e.split('/').next() == Some(&fault.of));
    let share = |at: f64| part(step(run, at).filter(|record| record.endpoint.is_some()), of_zone);
    let before: Vec<f64> = steps(0.0, began).filter_map(share).collect();
    let usual = before.iter().sum::<f64>() / before.len().max(1) as f64;
    let back = steps(over, end).find(|at| share(*at).is_some_and(|share| share >= NEARLY * usual))?;
    Some(back + STEP - over)
}

/// The requests that a check is about.
fn select<'a>(run: &'a Run, check: &'a Check) -> impl Iterator<Item = &'a Record> {
    let zone =
        check.zone.as_ref().and_then(|name| run.experiment.zone.iter().position(|z| z.name == *name));
    let ms = |time: std::time::Duration| time.as_secs_f64() * 1e3;
    run.records.iter().filter(move |record| {
        check.from.is_none_or(|from| record.at_ms >= ms(from))
            && check.until.is_none_or(|until| record.at_ms < ms(until))
            && zone.is_none_or(|zone| record.zone == zone)
    })
}

/// The tellings that a check is about: of changes from its time on, to copies of its zone.
fn told<'a>(run: &'a Run, check: &'a Check) -> impl Iterator<Item = &'a Telling> {
    let copies = run.experiment.copies();
    let zone = move |telling: &Telling| copies.get(telling.copy).map(|copy| copy.zone);
    run.tellings.iter().filter(move |telling| {
        check.from.is_none_or(|from| telling.had >= from.as_secs_f64())
            && check.until.is_none_or(|until| telling.had < until.as_secs_f64())
            && check.zone.as_ref().is_none_or(|name| {
                zone(telling).is_some_and(|zone| run.experiment.zone[zone].name == *name)
            })
    })
}

/// The worth served in time, of the worth asked for: the operators' formula.
pub fn served<'a>(experiment: &Experiment, records: impl Iterator<Item = &'a Record>) -> Option<f64> {
    let (mut served, mut asked) = (0.0, 0.0);
    for record in records {
        let worth = experiment.class[record.class].worth;
        asked += worth;
        served += if record.end == End::Served { worth } else { 0.0 };
    }
    (asked > 0.0).then(|| served / asked)
}

fn part<'a>(records: impl Iterator<Item = &'a Record>, fits: impl Fn(&Record) -> bool) -> Option<f64> {
    let (mut all, mut some) = (0u64, 0u64);
    records.for_each(|record| (all, some) = (all + 1, some + u64::from(fits(record))));
    (all > 0).then(|| some as f64 / all as f64)
}

/// Whether a request was served by another zone than its client's.
pub fn crossed(experiment: &Experiment, record: &Record) -> bool {
    let near = &experiment.zone[record.zone].name;
    record.endpoint.as_ref().is_some_and(|endpoint| endpoint.split('/').next() != Some(near))
}

/// The times of answers, in microseconds from the time meant.
pub fn latencies<'a>(records: impl Iterator<Item = &'a Record>) -> Histogram<u64> {
    let mut taking = Histogram::new_with_bounds(1, 600_000_000, 3).expect("these bounds are allowed");
    for record in records.filter(|record| matches!(record.end, End::Served | End::Late)) {
        taking.saturating_record((record.took_ms * 1e3) as u64);
    }
    taking
}

#[cfg(test)]
mod tests;
