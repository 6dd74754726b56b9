//! An experiment: a world, the load on it, the faults in it, and what must hold. Read from TOML; every name that
//! one part uses of another is checked before anything starts.

mod draw;
mod faults;
mod fits;
mod inject;
mod vary;
mod world;

pub use draw::Draw;
pub use faults::{Check, Fault, Over, That, What};
pub use inject::{Inject, Step as ClockStep, Window};
pub use world::{
    Abandoned, Arrivals, Burst, Class, Described, DescribedCopy, Discovery, Group, Kind, Link, Load,
    Repeats, Spread, Step, Tenant, Tier, WhileDown, Zone,
};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Why an experiment can't be run.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// It is no experiment; the text says line and key.
    #[error("{0}: {1}")]
    Text(String, toml::de::Error),
    /// Its parts don't go together.
    #[error("{0}: {1}")]
    Parts(String, String),
}

/// An experiment as its file has it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it shows, in a sentence.
    #[serde(default)]
    pub about: String,
    /// For the world, the load and the faults; the same seed gives the same of each.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long clients send.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// Zones, at least one.
    pub zone: Vec<Zone>,
    /// Delays between zones; none where nothing is said.
    #[serde(default)]
    pub link: Vec<Link>,
    /// Tiers, from the one that takes clients' requests; one where nothing is said.
    #[serde(default)]
    pub tier: Vec<Tier>,
    /// Kinds of endpoints, by name.
    pub kind: BTreeMap<String, Kind>,
    /// Classes of requests.
    pub class: Vec<Class>,
    /// Tenants; none where nothing is said.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// What clients send.
    pub load: Load,
    /// How the endpoint list reaches the copies.
    #[serde(default)]
    pub discovery: Discovery,
    /// What goes wrong, and when.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// What is injected into the copies' system calls and clocks; nothing where nothing is said.
    #[serde(default)]
    pub inject: Option<Inject>,
    /// From what fault schedules are drawn, for `--schedules`.
    #[serde(default)]
    pub draw: Option<Draw>,
    /// What must hold.
    #[serde(default)]
    pub check: Vec<Check>,
    /// Figures at the copies' doors that are followed and shown, by the names of their metrics.
    #[serde(default)]
    pub doors: Vec<String>,
    /// How often they are.
    #[serde(default = "quarter_second", with = "humantime_serde")]
    pub doors_every: Duration,
    /// Lines added to each copy's configuration.
    #[serde(default)]
    pub copy: toml::Table,
}

/// The metric by which a copy says that it holds a duty: 1 with the labels `duty` and `epoch`.
pub const DUTY_HELD: &str = "gullpulley_duty_held";

/// A word as experiments spell it.
pub fn spelled(word: &impl Serialize) -> String {
    match serde_json::to_value(word) {
        Ok(serde_json::Value::String(word)) => word,
        other => format!("{other:?}"), // no word: nothing that an experiment could spell
    }
}

fn one() -> u64 {
    1
}

fn quarter_second() -> Duration {
    Duration::from_millis(250)
}

impl Experiment {
    /// Reads a file.
    pub fn load(file: &Path) -> Result<Self, ExperimentError> {
        let shown = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| ExperimentError::File(shown.clone(), e))?;
        Experiment::parse(&shown, &text)
    }

    /// Reads a text; `shown` names it in errors.
    pub fn parse(shown: &str, text: &str) -> Result<Self, ExperimentError> {
        Experiment::checked(shown, toml::from_str(text))
    }

    /// Reads a text with other values at some paths, each given as `path.to.key=value`; numbers in a path count the
    /// entries of a list, from 0. A value that is no TOML is taken as text.
    pub fn varied(shown: &str, text: &str, settings: &[&str]) -> Result<Self, ExperimentError> {
        let wrong = |problem: String| ExperimentError::Parts(shown.to_owned(), problem);
        let table =
            toml::from_str::<toml::Table>(text).map_err(|e| ExperimentError::Text(shown.to_owned(), e))?;
        let mut whole = toml::Value::Table(table);
        for setting in settings {
            let (path, value) =
                setting.split_once('=').ok_or_else(|| wrong(format!("`{setting}` is no key=value")))?;
            let given = toml::from_str::<toml::Table>(&format!("value = {value}")).ok();
            let given = given.and_then(|mut table| table.remove("value"));
            let mut place = &mut whole;
            for part in path.split('.') {
                place = match place {
                    toml::Value::Array(list) => part.parse::<usize>().ok().and_then(|i| list.get_mut(i)),
                    toml::Value::Table(table) => {
                        Some(table.entry(part).or_insert_with(|| toml::Table::new().into()))
                    }
                    _ => None,
                }
                .ok_or_else(|| wrong(format!("`{path}`: there is no `{part}`")))?;
            }
            *place = given.unwrap_or_else(|| value.into());
        }
        Experiment::checked(shown, whole.try_into())
    }

    fn checked(shown: &str, read: Result<Self, toml::de::Error>) -> Result<Self, ExperimentError> {
        let read = read.map_err(|e| ExperimentError::Text(shown.to_owned(), e))?;
        read.fits().map_err(|problem| ExperimentError::Parts(shown.to_owned(), problem))?;
        Ok(read)
    }

    /// It as a file would have it.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# it can't be written: {e}\n"))
    }

    /// The metrics at the doors that its plots and checks need.
    pub fn followed(&self) -> Vec<&str> {
        let checked = self.check.iter().filter_map(|check| check.metric.as_deref());
        let holders =
            self.check.iter().filter(|check| check.that == That::HoldersOfADuty).map(|_| DUTY_HELD);
        let mut all: Vec<&str> =
            self.doors.iter().map(String::as_str).chain(checked).chain(holders).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Its tiers.
    pub fn tiers(&self) -> Vec<Tier> {
        let only = || vec![Tier { name: "only".to_owned(), work: 1.0, calls: 1.0 }];
        if self.tier.is_empty() { only() } else { self.tier.clone() }
    }

    /// All copies: those that take clients, by zone, then those beside endpoints of all tiers but the last.
    pub fn copies(&self) -> Vec<DescribedCopy> {
        let mut copies = Vec::new();
        for (zone, described) in self.zone.iter().enumerate() {
            copies
                .extend((0..described.copies).map(|n| (format!("{}-{n}", described.name), zone, 0, None)));
        }
        let last = self.tiers().len() - 1;
        for (number, endpoint) in self.endpoints().into_iter().enumerate() {
            let tier = endpoint.kind.tier;
            if tier < last {
                copies.push((endpoint.name.replace('/', "-"), endpoint.zone, tier + 1, Some(number)));
            }
        }
        let mut counts = vec![0; last + 1];
        let numbered = copies.into_iter().map(|(name, zone, tier, beside)| {
            counts[tier] += 1;
            DescribedCopy { name, zone, tier, number: counts[tier] - 1, beside }
        });
        numbered.collect()
    }

    /// Whether a fault strikes a copy's disk.
    pub fn warded(&self, copy: &DescribedCopy) -> bool {
        let struck = |fault: &Fault| fault.of == copy.name || fault.of == self.zone[copy.zone].name;
        self.fault.iter().any(|fault| fault.of_disk() && struck(fault))
    }

    /// All endpoints, by zone and kind.
    pub fn endpoints(&self) -> Vec<Described<'_>> {
        let (mut all, mut cells) = (Vec::new(), 0);
        for (number, zone) in self.zone.iter().enumerate() {
            for (name, count) in &zone.endpoints {
                let Some(kind) = self.kind.get(name) else { continue };
                let size = if kind.cell == 0 { usize::MAX } else { kind.cell };
                all.extend((0..*count).map(|n| Described {
                    name: format!("{}/{name}-{n}", zone.name),
                    zone: number,
                    cell: cells + n / size,
                    kind,
                }));
                cells += count.div_ceil(size).max(1);
            }
        }
        all
    }

    /// The delay one way between two zones.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        let (from, to) = (&self.zone[from].name, &self.zone[to].name);
        let lies = |link: &&Link| {
            let [a, b] = &link.between;
            (a == from && b == to) || (a == to && b == from)
        };
        self.link.iter().find(lies).map_or(Duration::ZERO, |link| link.delay)
    }
}
