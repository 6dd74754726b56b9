//! The page of many plays: two variants in pairs, or one setting swept through its values.

use super::plot;
use super::{ReportError, escape, head, io_at};
use crate::compare::{self, FIGURES, figures};
use crate::run::Run;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

/// What a folder of plays says of itself.
const PLAYS: &str = "plays.json";

/// Plays of several variants, on the same seeds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Plays {
    /// The experiment.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// The setting that was swept; none where two variants were compared.
    pub swept: Option<String>,
    /// The variants as they were named.
    pub variants: Vec<String>,
    /// For each variant, the figures of each play.
    pub figures: Vec<Vec<[f64; FIGURES.len()]>>,
    /// Plays that were void.
    pub void: usize,
}

impl Plays {
    /// None yet.
    pub fn new(name: &str, about: &str, swept: Option<String>, variants: Vec<String>) -> Self {
        let figures = vec![Vec::new(); variants.len()];
        Plays { name: name.to_owned(), about: about.to_owned(), swept, variants, figures, void: 0 }
    }

    /// Adds a play of a variant.
    pub fn add(&mut self, variant: usize, run: &Run) -> [f64; FIGURES.len()] {
        let figures = figures(run);
        self.figures[variant].push(figures);
        self.void += usize::from(run.void().is_some());
        figures
    }

    /// The pairs of one figure of the first two variants.
    pub fn pairs(&self, figure: usize) -> Vec<[f64; 2]> {
        let [first, second, ..] = &self.figures[..] else { return Vec::new() };
        first.iter().zip(second).map(|(a, b)| [a[figure], b[figure]]).collect()
    }
}

/// Writes what was played into its folder, with its page.
pub fn write(plays: &Plays, folder: &Path) -> Result<std::path::PathBuf, ReportError> {
    fs::create_dir_all(folder).map_err(io_at(folder))?;
    let file = folder.join(PLAYS);
    let text = serde_json::to_string(plays).map_err(|e| ReportError::Io(PLAYS.to_owned(), e.into()))?;
    fs::write(&file, text).map_err(io_at(&file))?;
    super::again(folder)
}

/// Reads what was played.
pub fn load(folder: &Path) -> Result<Plays, ReportError> {
    let file = folder.join(PLAYS);
    let text = fs::read_to_string(&file).map_err(|_| ReportError::Nothing(folder.display().to_string()))?;
    let wrong =
        |e: serde_json::Error| ReportError::Line(file.display().to_string(), e.line(), e.to_string());
    serde_json::from_str(&text).map_err(wrong)
}

/// The page.
pub fn html(plays: &Plays) -> Result<String, ReportError> {
    let mut page = head(&plays.name, &plays.about);
    if plays.void > 0 {
        let _ = write!(page, "<p class=no>{} plays were void: the lab itself was late.</p>", plays.void);
    }
    match &plays.swept {
        None => compared(plays, &mut page)?,
        Some(key) => swept(plays, key, &mut page)?,
    }
    Ok(page)
}

fn compared(plays: &Plays, page: &mut String) -> Result<(), ReportError> {
    let names: Vec<String> = plays.variants.iter().map(|name| escape(name)).collect();
    let count = plays.pairs(0).len();
    let _ = write!(
        page,
        "<p>{count} plays of each in turn on the same seeds. A: {}. B: {}.</p><table><tr><th>median of<th>A<th>B<th>B - A\
         <th>interval<th></tr>",
        names.first().map_or("", String::as_str),
        names.get(1).map_or("", String::as_str)
    );
    for (i, name) in FIGURES.iter().enumerate() {
        let seen = compare::compare(&plays.pairs(i));
        let [a, b] = seen.medians;
        let interval =
            seen.interval.map_or_else(String::new, |[low, high]| format!("{low:+.4} to {high:+.4}"));
        let _ = write!(
            page,
            "<tr><td>{name}<td class=n>{a:.4}<td class=n>{b:.4}<td class=n>{:+.4}<td>{interval}<td>{}</tr>",
            seen.difference,
            seen.said()
        );
    }
    *page += "</table>";
    let columns: Vec<String> = (1..=count).map(|play| play.to_string()).collect();
    for (i, name) in FIGURES.iter().enumerate() {
        let pairs = plays.pairs(i);
        let points: Vec<(f64, f64)> =
            pairs.iter().enumerate().map(|(play, [a, b])| (play as f64 + 0.5, b - a)).collect();
        let band = compare::compare(&pairs).interval;
        let plot = plot::points(&columns, "play", "B - A", &points, 0.0, band)?;
        let _ = write!(page, "<h2>{name}: B - A</h2><p>Blue: where the true median lies.</p>{plot}");
    }
    Ok(())
}

fn swept(plays: &Plays, key: &str, page: &mut String) -> Result<(), ReportError> {
    let _ = write!(
        page,
        "<p>Every play of each value of <code>{}</code>; the line is at the median of all.</p>",
        escape(key)
    );
    for (i, name) in FIGURES.iter().enumerate() {
        let mut points = Vec::new();
        for (column, of) in plays.figures.iter().enumerate() {
            points.extend(of.iter().map(|figures| (column as f64 + 0.5, figures[i])));
        }
        let values = points.iter().map(|(_, y)| *y).collect();
        let plot = plot::points(&plays.variants, key, name, &points, compare::median(values), None)?;
        let _ = write!(page, "<h2>{name}</h2>{plot}");
    }
    Ok(())
}
