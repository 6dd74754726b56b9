//! Results of runs: JSON lines with the experiment beside them, and pages with plots that need nothing but themselves.

pub mod page;
pub mod plays;
pub mod plot;

use crate::check::verdicts;
use crate::experiment::{Experiment, ExperimentError};
use crate::run::Run;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The file system refused.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// A line of results is none.
    #[error("{0}:{1}: {2}")]
    Line(String, usize, String),
    /// The experiment beside the results can't be read.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A folder without results.
    #[error("{0}: neither results.jsonl nor folders that have one")]
    Nothing(String),
    /// A plot could not be drawn.
    #[error("a plot: {0}")]
    Plot(String),
}

/// The experiment as it was run.
const EXPERIMENT: &str = "experiment.toml";
/// What became of it.
const RESULTS: &str = "results.jsonl";
/// The page.
const PAGE: &str = "report.html";

fn io_at(path: &Path) -> impl Fn(io::Error) -> ReportError {
    let shown = path.display().to_string();
    move |e| ReportError::Io(shown.clone(), e)
}

/// Writes the experiment, its results and its page into a folder; where the page is.
pub fn write(run: &Run, folder: &Path) -> Result<PathBuf, ReportError> {
    keep(run, folder)?;
    let page = folder.join(PAGE);
    fs::write(&page, page::html(run, &verdicts(run))?).map_err(io_at(&page))?;
    Ok(page)
}

/// Writes the experiment and its results into a folder.
pub fn keep(run: &Run, folder: &Path) -> Result<(), ReportError> {
    fs::create_dir_all(folder).map_err(io_at(folder))?;
    let beside = folder.join(EXPERIMENT);
    fs::write(&beside, run.experiment.text()).map_err(io_at(&beside))?;
    let file = folder.join(RESULTS);
    let mut lines = io::BufWriter::new(fs::File::create(&file).map_err(io_at(&file))?);
    let experiment = &run.experiment;
    let first = json!({"run": experiment.name, "seed": experiment.seed, "lab_late_ms": run.lab_late_ms(),
                       "void": run.void(), "relay_adds_us": run.relay_adds.as_micros() as u64,
                       "attempts": run.attempts, "crashes": run.crashes});
    let all = std::iter::once(first)
        .chain(run.faults.iter().map(|fault| json!({"fault": fault})))
        .chain(verdicts(run).into_iter().map(|verdict| json!({"check": verdict})))
        .chain(run.breaches.iter().map(|breach| json!({"breach": breach})))
        .chain(run.samples.iter().map(|sample| json!({"door": sample})))
        .chain(run.tellings.iter().map(|telling| json!({"telling": telling})))
        .chain(run.records.iter().map(|record| json!({"request": record})));
    for line in all {
        writeln!(lines, "{line}").map_err(io_at(&file))?;
    }
    lines.flush().map_err(io_at(&file))
}

/// Reads a run back from its folder.
pub fn load(folder: &Path) -> Result<Run, ReportError> {
    let file = folder.join(RESULTS);
    let text = fs::read_to_string(&file).map_err(io_at(&file))?;
    let experiment = Arc::new(Experiment::load(&folder.join(EXPERIMENT))?);
    let mut run = Run {
        experiment,
        records: Vec::new(),
        breaches: Vec::new(),
        attempts: 0,
        crashes: 0,
        faults: Vec::new(),
        samples: Vec::new(),
        tellings: Vec::new(),
        relay_adds: Duration::ZERO,
    };
    let (classes, zones) = (run.experiment.class.len(), run.experiment.zone.len());
    for (number, line) in text.lines().enumerate() {
        let wrong = |e: &dyn std::fmt::Display| {
            ReportError::Line(file.display().to_string(), number + 1, e.to_string())
        };
        let mut value: Value = serde_json::from_str(line).map_err(|e| wrong(&e))?;
        let count = |name: &str| value[name].as_u64().unwrap_or(0);
        if value["run"].is_string() {
            (run.attempts, run.crashes) = (count("attempts"), count("crashes"));
            run.relay_adds = Duration::from_micros(count("relay_adds_us"));
        }
        let mut take = |name: &str| value.get_mut(name).map(Value::take);
        fn read<T: DeserializeOwned>(value: Option<Value>) -> Result<Option<T>, serde_json::Error> {
            value.map(serde_json::from_value).transpose()
        }
        run.faults.extend(read(take("fault")).map_err(|e| wrong(&e))?);
        run.breaches.extend(read(take("breach")).map_err(|e| wrong(&e))?);
        run.samples.extend(read(take("door")).map_err(|e| wrong(&e))?);
        run.tellings.extend(read(take("telling")).map_err(|e| wrong(&e))?);
        if let Some(record) = read::<crate::load::Record>(take("request")).map_err(|e| wrong(&e))? {
            if record.class >= classes || record.zone >= zones {
                return Err(wrong(&"a class or zone that the experiment does not have"));
            }
            run.records.push(record);
        }
    }
    Ok(run)
}

/// Makes the page of a folder anew, of one run or of the plays in the folders below it; where it is.
pub fn again(folder: &Path) -> Result<PathBuf, ReportError> {
    let page = folder.join(PAGE);
    let html = if folder.join(RESULTS).is_file() {
        let run = load(folder)?;
        page::html(&run, &verdicts(&run))?
    } else {
        plays::html(&plays::load(folder)?)?
    };
    fs::write(&page, html).map_err(io_at(&page))?;
    Ok(page)
}

/// What every page begins with.
fn head(title: &str, about: &str) -> String {
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><style>body{{font:15px/1.45 sans-serif;max-width:920px;\
         margin:2em auto;padding:0 1em;color:#222}}table{{border-collapse:collapse}}td,th{{padding:.2em .8em;\
         text-align:left;border-bottom:1px solid #ddd}}td.n{{text-align:right}}.no{{color:#b00;font-weight:bold}}\
         .legend span{{padding:0 1.2em 0 .5em;line-height:1;print-color-adjust:exact}}svg{{max-width:100%;\
         height:auto}}@media print{{body{{margin:0}}svg,table{{page-break-inside:avoid}}}}</style>\
         <title>{0}</title><h1>{0}</h1><p>{1}</p>",
        escape(title),
        escape(about)
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
