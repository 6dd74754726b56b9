//! What is wrong with a configuration: where it stands, what is wrong there, and what would be right.

use std::fmt;
use std::ops::Range;
use thiserror::Error;

/// One fault of a configuration. Shown on one line.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The file and line, the file alone, or the variable in which it stands.
    pub place: String,
    /// The key at fault; empty where the text can't be read at all.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
    /// What would be right; empty where the problem says so itself.
    pub remedy: String,
}

impl Fault {
    /// A fault at a place; any of the other parts may be empty.
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

/// Every fault of a configuration, a line each.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{}", lines(.0))]
pub struct ConfigError(pub Vec<Fault>);

impl From<Fault> for ConfigError {
    fn from(fault: Fault) -> Self {
        ConfigError(vec![fault])
    }
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// The number, from 1, of the line in which a span of a text begins.
pub(super) fn line(text: &str, span: &Range<usize>) -> usize {
    1 + text.as_bytes()[..span.start.min(text.len())].iter().filter(|&&byte| byte == b'\n').count()
}

/// "did you mean `x`?" for the name that comes nearest, if any comes near.
pub(super) fn near<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let likeness = |other: &&str| (strsim::jaro_winkler(name, other) * 1000.0) as u32;
    let nearest = known.max_by_key(likeness).filter(|other| likeness(other) >= 780);
    nearest.map_or_else(String::new, |other| format!("did you mean `{other}`?"))
}

/// Faults as somebody mending them meets them: those of no line first, then down the file.
pub(super) fn in_order(mut faults: Vec<Fault>) -> Vec<Fault> {
    let line =
        |fault: &Fault| fault.place.rsplit_once(':').and_then(|(_, line)| line.parse::<usize>().ok());
    faults.sort_by_key(line);
    faults
}
