//! The page of one run.

use super::plot::{self, Bar, Line};
use super::{ReportError, escape, head};
use crate::check::{Verdict, crossed, latencies, served};
use crate::doors::{Sample, holdings};
use crate::experiment::DUTY_HELD;
use crate::load::{End, Record};
use crate::run::Run;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// The requests meant for each second.
fn by_second(run: &Run) -> Vec<Vec<&Record>> {
    let mut seconds = vec![Vec::new(); run.experiment.lasts.as_secs_f64().ceil() as usize];
    for record in &run.records {
        if let Some(second) = seconds.get_mut((record.at_ms / 1e3) as usize) {
            second.push(record);
        }
    }
    seconds
}

/// The page of a run and what it came to.
pub fn html(run: &Run, verdicts: &[Verdict]) -> Result<String, ReportError> {
    let experiment = &run.experiment;
    let mut page = head(&experiment.name, &experiment.about);
    let _ = write!(
        page,
        "<p>Seed {}; {} requests, {} attempts at endpoints. The lab itself was late by {:.1} ms or less with 99 in 100 \
         requests; a relay adds {} us to a round trip at the median.</p>",
        experiment.seed,
        run.records.len(),
        run.attempts,
        run.lab_late_ms(),
        run.relay_adds.as_micros()
    ); // writing to a string does not fail
    if let Some(void) = run.void() {
        let _ = write!(page, "<p class=no>Void: {}</p>", escape(&void));
    }
    page += "<h2>What must hold</h2><table><tr><th>check<th>measured<th>wanted<th></tr>";
    for verdict in verdicts {
        let figure = verdict.figure.map_or_else(|| "none".to_owned(), |figure| format!("{figure:.3}"));
        let mark = if verdict.holds { "<td>holds" } else { "<td class=no>broken" };
        let (check, wanted) = (escape(&verdict.check), escape(&verdict.wanted));
        let _ = write!(page, "<tr><td>{check}<td class=n>{figure}<td>{wanted}{mark}</tr>");
    }
    page += "</table>";
    if !run.faults.is_empty() {
        page += "<h2>What went wrong</h2><p>Grey behind the plots; darker where several last at once.</p><table>";
        for fault in &run.faults {
            let until = fault.to.map_or_else(|| "the end".to_owned(), |to| format!("{to:.1} s"));
            let _ = write!(page, "<tr><td>{}<td>{:.1} s to {until}</tr>", escape(&fault.what), fault.from);
        }
        page += "</table>";
    }
    let end = experiment.lasts.as_secs_f64();
    for (title, unit, lines) in requests(run) {
        let _ = write!(page, "<h2>{title}</h2>{}", plot::lines(end, &run.faults, unit, &lines)?);
    }
    page += &duties(run)?;
    for metric in experiment.followed().into_iter().filter(|metric| *metric != DUTY_HELD) {
        let lines = said(run, metric);
        if !lines.is_empty() {
            let plot = plot::lines(end, &run.faults, "mean of the copies that answered", &lines)?;
            let _ = write!(page, "<h2>{}, as copies said at their doors</h2>{plot}", escape(metric));
        }
    }
    Ok(page)
}

/// What became of requests, second by second.
fn requests(run: &Run) -> [(&'static str, &'static str, Vec<Line>); 3] {
    let seconds = by_second(run);
    let line = |name: &str, of: &dyn Fn(&[&Record]) -> Option<f64>| {
        let points = seconds.iter().enumerate().filter_map(|(i, s)| Some((i as f64 + 0.5, of(s)?)));
        (name.to_owned(), points.collect::<Vec<_>>())
    };
    let part = |end: &'static [End]| {
        move |second: &[&Record]| {
            let count = second.iter().filter(|record| end.contains(&record.end)).count();
            (!second.is_empty()).then(|| 100.0 * count as f64 / second.len() as f64)
        }
    };
    let worth =
        line("worth served", &|second| Some(100.0 * served(&run.experiment, second.iter().copied())?));
    let refused = line("refused", &part(&[End::Refused]));
    let failed = line("failed, late or unanswered", &part(&[End::Failed, End::Late, End::Unanswered]));
    let quantile = |q: f64| {
        move |second: &[&Record]| {
            let taking = latencies(second.iter().copied());
            (!taking.is_empty()).then(|| taking.value_at_quantile(q) as f64 / 1e3)
        }
    };
    let times = [line("p50", &quantile(0.5)), line("p90", &quantile(0.9)), line("p99", &quantile(0.99))];
    let zones = run.experiment.zone.iter().map(|zone| {
        let of = |record: &&&Record| {
            record.endpoint.as_ref().is_some_and(|e| e.split('/').next() == Some(&zone.name))
        };
        line(&format!("served by zone {}", zone.name), &|s| Some(s.iter().filter(of).count() as f64))
    });
    let far = line("served by another zone than the client's", &|second| {
        Some(second.iter().filter(|record| crossed(&run.experiment, record)).count() as f64)
    });
    [
        ("Served worth", "% of what was asked for that second", vec![worth, refused, failed]),
        ("Times of answers, from the time meant to be sent", "ms", times.into()),
        ("Where requests went", "answers a second", zones.chain([far]).collect()),
    ]
}

/// Who held what.
fn duties(run: &Run) -> Result<String, ReportError> {
    let holdings = holdings(&run.samples);
    if holdings.is_empty() {
        return Ok(String::new());
    }
    let duties: BTreeSet<String> = holdings.iter().map(|held| held.duty.clone()).collect();
    let copies: BTreeSet<usize> = holdings.iter().map(|held| held.copy).collect();
    let (duties, copies): (Vec<String>, Vec<usize>) =
        (duties.into_iter().collect(), copies.into_iter().collect());
    let place = |held: &crate::doors::Holding| Bar {
        row: duties.iter().position(|duty| *duty == held.duty).unwrap_or(0),
        ink: copies.iter().position(|copy| *copy == held.copy).unwrap_or(0),
        from: held.from,
        to: held.to,
    };
    let bars: Vec<Bar> = holdings.iter().map(place).collect();
    let all = run.experiment.copies();
    let names: Vec<String> = copies.iter().filter_map(|copy| Some(all.get(*copy)?.name.clone())).collect();
    let plot = plot::bars(run.experiment.lasts.as_secs_f64(), &run.faults, &duties, &names, &bars)?;
    Ok(format!("<h2>Who held what</h2><p>Where two looks on end saw it.</p>{plot}"))
}

/// A metric second by second: for each set of labels the mean over the copies that said it.
fn said(run: &Run, metric: &str) -> Vec<Line> {
    let mut lines: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for Sample { at, labels, value, .. } in run.samples.iter().filter(|sample| sample.metric == metric) {
        let labels: Vec<String> = labels.iter().map(|(name, value)| format!("{name} {value}")).collect();
        let name = if labels.is_empty() { metric.to_owned() } else { labels.join(", ") };
        lines.entry(name).or_default().entry((at.max(0.0) * 2.0) as u64).or_default().push(*value);
    }
    let mean = |(half, values): (u64, Vec<f64>)| {
        (half as f64 / 2.0 + 0.25, values.iter().sum::<f64>() / values.len() as f64)
    };
    lines.into_iter().map(|(name, halves)| (name, halves.into_iter().map(mean).collect())).collect()
}
