//! Faults of a configuration: location, problem and remedy.

use std::fmt;
use std::ops::Range;
use thiserror::Error;

/// A fault of a configuration, displayed on one line.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The location: file and line, the file alone, or an environment variable.
    pub place: String,
    /// The key at fault; empty if the text can't be parsed.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to fix it; empty where the problem makes that clear.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault. Any part but the place may be empty; line breaks in the problem become spaces.
    pub fn new(
        place: impl Into<String>,
        key: impl Into<String>,
        problem: impl ToString,
        remedy: impl Into<String>,
    ) -> Self {
        let problem = problem.to_string().replace(['\n', '\r'], " ");
        Fault { place: place.into(), key: key.into(), problem, remedy: remedy.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [&self.place, &self.key, &self.problem].into_iter().filter(|part| !part.is_empty());
        f.write_str(&parts.map(String::as_str).collect::<Vec<_>>().join(": "))?;
        if self.remedy.is_empty() { Ok(()) } else { write!(f, "; {}", self.remedy) }
    }
}

/// All faults of a configuration, displayed one per line.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{}", join_lines(.0))]
pub struct ConfigError(pub Vec<Fault>);

impl From<Fault> for ConfigError {
    fn from(fault: Fault) -> Self {
        ConfigError(vec![fault])
    }
}

fn join_lines(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// The line number, from 1, at which a span of a text begins.
pub(super) fn line(text: &str, span: &Range<usize>) -> usize {
    1 + text.as_bytes()[..span.start.min(text.len())].iter().filter(|&&byte| byte == b'\n').count()
}

/// Returns "did you mean `x`?" for the most similar known name, or an empty string if none is similar
/// enough.
pub(super) fn suggest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let similarity = |other: &&str| (strsim::jaro_winkler(name, other) * 1000.0) as u32;
    let best_match = known.max_by_key(similarity).filter(|other| similarity(other) >= 780);
    best_match.map_or_else(String::new, |other| format!("did you mean `{other}`?"))
}

/// Sorts faults in the order of their correction: those without a line first, then by line.
pub(super) fn sort_by_line(mut faults: Vec<Fault>) -> Vec<Fault> {
    let line =
        |fault: &Fault| fault.place.rsplit_once(':').and_then(|(_, line)| line.parse::<usize>().ok());
    faults.sort_by_key(line);
    faults
}
