//! What must hold, measured on a finished run.

use crate::experiment::{Check, Experiment, That};
use crate::ledger::Breach;
use crate::load::{End, Record};
use crate::run::Run;
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
    let rule =
        |that| Check { that, at_least: None, at_most: Some(0.0), from: None, until: None, zone: None };
    let rules = [That::Lost, That::RepeatedEffects, That::SentToDraining, That::PushedOver, That::Crashes]
        .map(rule);
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
    let mut name =
        serde_json::to_value(Named(check.that)).map_or_else(|_| String::new(), |v| v.to_string());
    name.retain(|c| c != '"');
    for (word, time) in [("from", check.from), ("until", check.until)] {
        name += &time.map_or_else(String::new, |time| format!(" {word} {:.1} s", time.as_secs_f64()));
    }
    name += &check.zone.as_ref().map_or_else(String::new, |zone| format!(" in {zone}"));
    let bounds = [("at least", check.at_least), ("at most", check.at_most)];
    let wanted = bounds.iter().filter_map(|(word, bound)| Some(format!("{word} {}", (*bound)?)));
    Verdict { check: name, figure, wanted: wanted.collect::<Vec<_>>().join(", "), holds }
}

/// A check's name as experiments spell it.
struct Named(That);

impl Serialize for Named {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(match self.0 {
            That::Lost => "lost",
            That::RepeatedEffects => "repeated-effects",
            That::SentToDraining => "sent-to-draining",
            That::PushedOver => "pushed-over",
            That::Served => "served",
            That::Refused => "refused",
            That::P99Ms => "p99-ms",
            That::Crossed => "crossed",
            That::Crashes => "crashes",
        })
    }
}

fn measure(run: &Run, check: &Check) -> Option<f64> {
    let breaches = |fits: fn(&Breach) -> bool| Some(run.breaches.iter().filter(|b| fits(b)).count() as f64);
    let records = || select(run, check);
    match check.that {
        That::RepeatedEffects => breaches(|breach| matches!(breach, Breach::Repeated { .. })),
        That::SentToDraining => breaches(|breach| matches!(breach, Breach::Draining { .. })),
        That::PushedOver => breaches(|breach| matches!(breach, Breach::PushedOver { .. })),
        That::Crashes => Some(run.crashes as f64),
        That::Lost => Some(records().map(|record| f64::from(record.lost)).sum()),
        That::Served => served(&run.experiment, records()),
        That::Refused => part(records(), |record| record.end == End::Refused),
        That::Crossed => {
            part(records().filter(|record| record.endpoint.is_some()), |r| crossed(&run.experiment, r))
        }
        That::P99Ms => {
            let taking = latencies(records());
            (!taking.is_empty()).then(|| taking.value_at_quantile(0.99) as f64 / 1e3)
        }
    }
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
