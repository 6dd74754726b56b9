//! An experiment: a world, the load on it, the faults in it, and what must hold. Read from TOML; every name that
//! one part uses of another is checked before anything starts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
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
#[derive(Clone, Debug, Deserialize)]
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
    /// What must hold.
    #[serde(default)]
    pub check: Vec<Check>,
    /// Lines added to each copy's configuration.
    #[serde(default)]
    pub copy: toml::Table,
}

/// A zone and what stands in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Copies of the program.
    pub copies: usize,
    /// Endpoints by kind.
    pub endpoints: BTreeMap<String, usize>,
}

/// What lies between two zones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two zones; both ways are alike.
    pub between: [String; 2],
    /// One way.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
}

/// A kind of endpoint.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Requests that it works on at once.
    pub cores: usize,
    /// Speed of a core; 1 does a class's work in its stated time.
    #[serde(default = "whole")]
    pub speed: f64,
    /// Requests that may wait beside those being worked on; one more is turned away.
    pub waiting: usize,
    /// Part of its speed with which it starts.
    #[serde(default = "quarter")]
    pub cold_share: f64,
    /// It has its whole speed after this.
    #[serde(default = "five", with = "humantime_serde")]
    pub warm_within: Duration,
    /// A cold one that is sent this many times what it can do ...
    #[serde(default = "four")]
    pub fall_multiple: f64,
    /// ... for so long falls over.
    #[serde(default = "three", with = "humantime_serde")]
    pub fall_after: Duration,
    /// It stands still this often, each at times of its own; 0 for never ...
    #[serde(default, with = "humantime_serde")]
    pub stall_every: Duration,
    /// ... and for so long.
    #[serde(default, with = "humantime_serde")]
    pub stall_for: Duration,
    /// With more than this many requests for each core, for `crowd_for`, its work takes `crowd_slow` times as long
    /// until it was idle for `crowd_for`; 0 for never.
    #[serde(default)]
    pub crowd: f64,
    /// By how much a crowded one slows down.
    #[serde(default = "whole")]
    pub crowd_slow: f64,
    /// For how long a crowd lasts before it slows down, and idleness before it recovers.
    #[serde(default = "second", with = "humantime_serde")]
    pub crowd_for: Duration,
    /// Connections that it holds; one more is closed at once. 0 for no cap.
    #[serde(default)]
    pub connections: usize,
    /// Work of a core that a new connection costs.
    #[serde(default, with = "humantime_serde")]
    pub handshake: Duration,
    /// Endpoints of a zone and kind that share a cell, for keyed repeats; 0 for all.
    #[serde(default)]
    pub cell: usize,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Its allowance in requests a second, for the copies' configuration.
    pub allowance_per_s: f64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name: the first part of the path.
    pub name: String,
    /// `safe`, `keyed` or `never`.
    pub repeats: Repeats,
    /// Which endpoints know each other's keys.
    #[serde(default)]
    pub group: Group,
    /// For how long.
    #[serde(default, with = "humantime_serde")]
    pub window: Duration,
    /// Its part of all requests.
    pub share: f64,
    /// The median of its work on a core of speed 1.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// How the work spreads: the sigma of its log-normal distribution.
    #[serde(default = "third")]
    pub spread: f64,
    /// An answer within this is worth its worth.
    #[serde(with = "humantime_serde")]
    pub wanted: Duration,
    /// After this the client gives up.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Worth of a request.
    #[serde(default = "whole")]
    pub worth: f64,
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    /// At any time.
    Safe,
    /// Where its key is known.
    Keyed,
    /// Never, once it may have run.
    Never,
}

/// Which endpoints know each other's keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All.
    #[default]
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// An endpoint as an experiment has it.
#[derive(Clone, Debug)]
pub struct Described<'a> {
    /// Its name: `ZONE/KIND-NUMBER`.
    pub name: String,
    /// Its zone's number.
    pub zone: usize,
    /// Its cell's number.
    pub cell: usize,
    /// Its kind.
    pub kind: &'a Kind,
}

/// What clients send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second at the start.
    pub rate: f64,
    /// From a time on, another rate.
    #[serde(default)]
    pub step: Vec<Step>,
    /// For a time, a multiple of the rate.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// The requests of an earlier run in place of all these: its `results.jsonl`.
    #[serde(default)]
    pub trace: Option<PathBuf>,
    /// Arrivals: independent of each other, or evenly spaced.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Times that a client asks again after a failure or a refusal.
    #[serde(default)]
    pub retries: u32,
    /// For how long the front goes on sending to a dead copy.
    #[serde(default = "second", with = "humantime_serde")]
    pub front_lag: Duration,
}

/// Another rate from a time on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// From when.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Requests a second.
    pub rate: f64,
}

/// A multiple of the rate for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// From when.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// How many times the rate.
    pub times: f64,
}

/// How requests come.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Independent of each other.
    #[default]
    Poisson,
    /// Evenly spaced.
    Even,
}

/// How the list reaches the copies.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// A change is told so much later.
    #[serde(default, with = "humantime_serde")]
    pub late: Duration,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long; without it until the end.
    #[serde(default, with = "humantime_serde")]
    pub lasts: Option<Duration>,
    /// What happens.
    pub what: What,
    /// To which: copies and endpoints go by their names (`a-0`, `a/standard-1`), zones by theirs; empty for discovery.
    #[serde(default)]
    pub of: String,
    /// For a link: the other zone; without it all others.
    #[serde(default)]
    pub to: Option<String>,
    /// For `slow`: by how much; for `delay`: in milliseconds; for `loss` and `failing`: which part.
    #[serde(default)]
    pub by: f64,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// A copy is killed; started again at the end.
    Kill,
    /// A copy is told to end; started again at the end.
    Term,
    /// A copy stands still.
    Pause,
    /// A zone is lost: copies killed, endpoints gone, all started again at the end.
    ZoneLost,
    /// Nothing comes through between a zone and others; held back, as retransmission would.
    CutOff,
    /// Nothing comes through from a zone; what goes there does.
    CutOffOneWay,
    /// Bytes between a zone and others take longer.
    Delay,
    /// Pieces between a zone and others are lost now and then, and come with the retransmission.
    Loss,
    /// Connections between a zone and others are reset, and refused from then on.
    Reset,
    /// An endpoint's work takes longer.
    Slow,
    /// An endpoint answers 500 to a part of the requests.
    Failing,
    /// An endpoint takes requests and never answers.
    Silent,
    /// An endpoint's process ends; started again, cold, at the end.
    Gone,
    /// An endpoint is listed as draining.
    Drain,
    /// Discovery answers 503, and its watches end.
    DiscoveryDown,
    /// Discovery goes on telling a zone the list as it stands now, and the others what becomes of it.
    DiscoveryStale,
}

/// What must hold.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// What is measured.
    pub that: That,
    /// It must be at least this.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// It must be at most this.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Only of requests sent from this time on.
    #[serde(default, with = "humantime_serde")]
    pub from: Option<Duration>,
    /// Only of requests sent before this time.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Duration>,
    /// Only of clients in this zone.
    #[serde(default)]
    pub zone: Option<String>,
}

/// What a check measures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum That {
    /// Rule 1: requests taken by a living copy that got no answer in time.
    Lost,
    /// Rule 2: requests with more effects than their class allows.
    RepeatedEffects,
    /// Rule 3: requests sent to an endpoint that drains or is gone, after the grace.
    SentToDraining,
    /// Rule 4: cold endpoints pushed over.
    PushedOver,
    /// Worth served in time, of the worth asked for.
    Served,
    /// Part of the requests refused.
    Refused,
    /// Milliseconds within which 99 in 100 answers came, from the time meant to be sent.
    P99Ms,
    /// Part of the answers from another zone than the client's.
    Crossed,
    /// Copies that ended by themselves.
    Crashes,
    /// Seconds from a fault of the zone until clients elsewhere are served as before it.
    LeftZoneWithin,
    /// Seconds from the end of a fault of the zone until the zone serves nearly its part of before.
    ReturnedWithin,
}

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

fn whole() -> f64 {
    1.0
}

fn quarter() -> f64 {
    0.25
}

fn third() -> f64 {
    0.33
}

fn four() -> f64 {
    4.0
}

fn second() -> Duration {
    Duration::from_secs(1)
}

fn three() -> Duration {
    Duration::from_secs(3)
}

fn five() -> Duration {
    Duration::from_secs(5)
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

    /// Whether its parts go together.
    fn fits(&self) -> Result<(), String> {
        let zone = |name: &str| self.zone.iter().any(|zone| zone.name == name);
        let wrong = |what: String| Err(what);
        if self.zone.is_empty() || self.zone.len() > 50 {
            return wrong("zone: from 1 to 50 are needed".to_owned());
        }
        if self.class.is_empty() || self.class.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            return wrong("class: at least one with a share is needed".to_owned());
        }
        for (i, one) in self.zone.iter().enumerate() {
            if self.zone[..i].iter().any(|other| other.name == one.name) {
                return wrong(format!("zone `{}` stands twice", one.name));
            }
            if let Some(kind) = one.endpoints.keys().find(|kind| !self.kind.contains_key(*kind)) {
                return wrong(format!("zone `{}`: there is no kind `{kind}`", one.name));
            }
        }
        if let Some(name) = self.link.iter().flat_map(|link| &link.between).find(|name| !zone(name)) {
            return wrong(format!("link: there is no zone `{name}`"));
        }
        for (number, fault) in self.fault.iter().enumerate() {
            self.target(fault).map_err(|problem| format!("fault[{number}]: {problem}"))?;
            if let Some(to) = fault.to.as_ref().filter(|to| !zone(to)) {
                return wrong(format!("fault[{number}]: there is no zone `{to}`"));
            }
        }
        for (number, check) in self.check.iter().enumerate() {
            if check.at_least.is_none() && check.at_most.is_none() {
                return wrong(format!("check[{number}]: say at_least or at_most"));
            }
            if matches!(check.that, That::LeftZoneWithin | That::ReturnedWithin)
                && self.zone_fault(check).is_none()
            {
                return wrong(format!(
                    "check[{number}]: name a zone that a fault strikes, and ends where it must return"
                ));
            }
            if let Some(name) = check.zone.as_ref().filter(|name| !zone(name)) {
                return wrong(format!("check[{number}]: there is no zone `{name}`"));
            }
        }
        Ok(())
    }

    /// Checks that what a fault strikes is there.
    fn target(&self, fault: &Fault) -> Result<(), String> {
        let missing = |sort: &str, known: Vec<String>| {
            Err(format!("there is no {sort} `{}`; there are {}", fault.of, known.join(", ")))
        };
        match fault.what {
            What::Kill | What::Term | What::Pause => {
                let known = self.copies();
                if known.contains(&fault.of) { Ok(()) } else { missing("copy", known) }
            }
            What::ZoneLost
            | What::CutOff
            | What::CutOffOneWay
            | What::Delay
            | What::Loss
            | What::Reset
            | What::DiscoveryStale => {
                let known: Vec<String> = self.zone.iter().map(|zone| zone.name.clone()).collect();
                if known.contains(&fault.of) { Ok(()) } else { missing("zone", known) }
            }
            What::Slow | What::Failing | What::Silent | What::Gone | What::Drain => {
                let known: Vec<String> =
                    self.endpoints().into_iter().map(|endpoint| endpoint.name).collect();
                // A zone's name strikes all of its endpoints.
                let zone = self.zone.iter().any(|zone| zone.name == fault.of);
                if zone || known.contains(&fault.of) { Ok(()) } else { missing("endpoint", known) }
            }
            What::DiscoveryDown => Ok(()),
        }
    }

    /// The fault of a zone whose leaving or return a check measures; for a return one that ends.
    pub fn zone_fault(&self, check: &Check) -> Option<&Fault> {
        let of_zone =
            [What::ZoneLost, What::CutOff, What::CutOffOneWay, What::Delay, What::Loss, What::Reset];
        let ends = |fault: &&Fault| check.that == That::LeftZoneWithin || fault.lasts.is_some();
        let mut struck = self.fault.iter().filter(|fault| of_zone.contains(&fault.what));
        struck.find(|fault| Some(&fault.of) == check.zone.as_ref() && ends(fault))
    }

    /// The names of all copies, by zone: `ZONE-NUMBER`.
    pub fn copies(&self) -> Vec<String> {
        let of = |zone: &Zone| (0..zone.copies).map(|n| format!("{}-{n}", zone.name)).collect::<Vec<_>>();
        self.zone.iter().flat_map(of).collect()
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
