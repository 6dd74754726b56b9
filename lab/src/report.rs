//! Results of runs: JSON lines, and a page with plots that needs nothing but itself.

use crate::check::{Verdict, crossed, latencies, served, verdicts};
use crate::load::{End, Record};
use crate::run::Run;
use plotters::prelude::*;
use serde_json::json;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The file system refused.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A plot could not be drawn.
    #[error("a plot: {0}")]
    Plot(String),
}

const SIZE: (u32, u32) = (900, 260);
/// Told apart also in print and by the colour-blind (Okabe and Ito).
const INKS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// Writes `results.jsonl` and `report.html` into a folder; where the page is.
pub fn write(run: &Run, folder: &Path) -> Result<PathBuf, ReportError> {
    fs::create_dir_all(folder)?;
    let verdicts = verdicts(run);
    let mut lines = io::BufWriter::new(fs::File::create(folder.join("results.jsonl"))?);
    let experiment = &run.experiment;
    writeln!(
        lines,
        "{}",
        json!({"run": experiment.name, "seed": experiment.seed, "lab_late_ms": run.lab_late_ms(),
               "void": run.void(), "relay_adds_us": run.relay_adds.as_micros() as u64, "attempts": run.attempts, "crashes": run.crashes})
    )?;
    for fault in &run.faults {
        writeln!(lines, "{}", json!({"fault": fault}))?;
    }
    for verdict in &verdicts {
        writeln!(lines, "{}", json!({"check": verdict}))?;
    }
    for record in &run.records {
        writeln!(lines, "{}", json!({"request": record}))?;
    }
    lines.flush()?;
    let page = folder.join("report.html");
    fs::write(&page, html(run, &verdicts)?)?;
    Ok(page)
}

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

fn html(run: &Run, verdicts: &[Verdict]) -> Result<String, ReportError> {
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
    let zones: Vec<_> = (run.experiment.zone.iter())
        .map(|zone| {
            let of = |record: &&&Record| {
                record.endpoint.as_ref().is_some_and(|e| e.split('/').next() == Some(&zone.name))
            };
            line(&format!("served by zone {}", zone.name), &|s| Some(s.iter().filter(of).count() as f64))
        })
        .collect();
    let far = line("served by another zone than the client's", &|second| {
        Some(second.iter().filter(|record| crossed(&run.experiment, record)).count() as f64)
    });
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><style>body{font:15px/1.45 sans-serif;max-width:920px;margin:2em auto;\
         padding:0 1em;color:#222}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;border-bottom:\
         1px solid #ddd}td.n{text-align:right}.no{color:#b00;font-weight:bold}.legend span{padding:0 1.2em 0 .5em;line-height:1;\
         print-color-adjust:exact}svg{max-width:100%;height:auto}\
         @media print{body{margin:0}svg,table{page-break-inside:avoid}}</style>",
    );
    let experiment = &run.experiment;
    let _ = write!(
        page,
        "<title>{0}</title><h1>{0}</h1><p>{1}</p><p>Seed {2}; {3} requests, {4} attempts at endpoints. The lab itself was \
         late by {5:.1} ms or less with 99 in 100 requests; a relay adds {6} us to a round trip at the median.</p>",
        escape(&experiment.name),
        escape(&experiment.about),
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
        let figure =
            verdict.figure.map_or_else(|| "no request".to_owned(), |figure| format!("{figure:.3}"));
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
    for (title, unit, lines) in [
        ("Served worth", "% of what was asked for that second", &[worth, refused, failed][..]),
        ("Times of answers, from the time meant to be sent", "ms", &times),
        ("Where requests went", "answers a second", &[&zones[..], &[far]].concat()),
    ] {
        let _ = write!(page, "<h2>{title}</h2>{}", plot(run, unit, lines)?);
    }
    Ok(page)
}

type Line = (String, Vec<(f64, f64)>);

fn plot(run: &Run, unit: &str, lines: &[Line]) -> Result<String, ReportError> {
    let mut svg = String::new();
    let failed = |e: &dyn std::fmt::Display| ReportError::Plot(e.to_string());
    let end = run.experiment.lasts.as_secs_f64();
    let top = lines.iter().flat_map(|(_, points)| points).map(|(_, y)| *y).fold(1.0, f64::max) * 1.08;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| failed(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_right(24)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|e| failed(&e))?;
        let bands = run.faults.iter().map(|fault| {
            let corners = [(fault.from, 0.0), (fault.to.unwrap_or(end).min(end), top)];
            Rectangle::new(corners, BLACK.mix(0.1).filled())
        });
        chart.draw_series(bands).map_err(|e| failed(&e))?;
        let mesh = &mut chart.configure_mesh();
        let mesh = mesh.x_desc("seconds").y_desc(unit).light_line_style(TRANSPARENT);
        mesh.label_style(("sans-serif", 13)).draw().map_err(|e| failed(&e))?;
        for ((_, points), ink) in lines.iter().zip(INKS.iter().cycle()) {
            let line = LineSeries::new(points.iter().copied(), ink.stroke_width(2));
            chart.draw_series(line).map_err(|e| failed(&e))?;
        }
        area.present().map_err(|e| failed(&e))?;
    }
    // Beside the plot, where it covers nothing.
    let legend = lines.iter().zip(INKS.iter().cycle()).map(|((name, _), RGBColor(r, g, b))| {
        format!("<span style=\"border-left:1.6em solid rgb({r},{g},{b})\">{}</span>", escape(name))
    });
    Ok(format!("<p class=legend>{}</p>{svg}", legend.collect::<Vec<_>>().join(" ")))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
