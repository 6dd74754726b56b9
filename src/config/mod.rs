//! One typed configuration, from the platform's JSON (`router`, with the settings object in `platform`) or from
//! an operator's TOML (`layers`, `operator`, by the tables in `keys`). What is wrong is said in full, with its place.

mod fault;
pub mod keys;
mod layers;
mod list;
mod operator;
pub mod platform;
mod router;

pub use fault::{ConfigError, Fault};
pub use list::{List, ListFault, ListReader, MAX_LIST_BYTES, State, Target};

use crate::api::{Discovery, Group, Semantics, Settings};
use crate::fleet::host::Config as Fleet;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Descriptors kept free for the listener, the runtime, standard streams, discovery and shed clients.
pub const RESERVE: usize = 48;
/// Callers that the operators' door holds at once.
pub const DOOR_MOST: usize = 24;
/// Descriptors kept free for the operators' door, where there is one: its listener and its callers.
pub const DOOR_RESERVE: usize = DOOR_MOST + 2;
/// Fewer descriptors than this leave nothing to serve with.
pub const LEAST_SOCKETS: usize = RESERVE + 16;
/// A file that changes while it is read is read again, so often at most.
const READS: usize = 5;

/// A sidecar's whole configuration.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the operators' door listens; without it there is none.
    pub control: Option<SocketAddr>,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory it may use, in MiB.
    pub memory_mb: usize,
    /// The endpoint list as last held; may be old.
    pub known: List,
    /// What is wrong with that list, where it can't be read: it is then empty.
    pub unread: Vec<Fault>,
    /// The module's settings.
    pub settings: Settings,
    /// Names on the wire of what the module knows by number.
    pub names: Names,
    /// How it logs.
    pub log: Log,
    /// Its place among other processes; without it, it stays by itself.
    pub fleet: Option<Fleet>,
    /// Where it keeps what must outlive the process; without it nothing is kept.
    pub state: Option<PathBuf>,
    /// Where values come from, as far as it was noted in reading.
    origins: Option<BTreeMap<String, String>>,
}

/// How a sidecar logs.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Log {
    /// A level, or levels by target.
    pub level: String,
    /// A JSON object a line, in place of text for people.
    #[serde(rename = "format", deserialize_with = "router::format")]
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: "info".to_owned(), json: false }
    }
}

/// The names behind the module's indices.
#[derive(Debug, Deserialize)]
pub struct Names {
    /// Classes, the first part of a request's path.
    pub classes: Vec<Named>,
    /// Tenants.
    #[serde(default)]
    pub tenants: Vec<Named>,
    /// Zones.
    #[serde(default)]
    pub areas: Vec<String>,
    /// Machine kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// One entry of a named list.
#[derive(Debug, Deserialize)]
pub struct Named {
    /// Its name.
    pub name: String,
}

/// The variables that a configuration heeds.
#[derive(Clone, Debug, Default)]
pub struct Vars(pub BTreeMap<String, String>);

impl Vars {
    /// This process's own.
    pub fn of_process() -> Self {
        let all = std::env::vars_os().filter_map(|(name, value)| Some((name.into_string().ok()?, value)));
        let heeded = all.filter(|(name, _)| name.starts_with("ROUTER_") || name.starts_with("GULLPULLEY_"));
        Vars(heeded.map(|(name, value)| (name, value.to_string_lossy().into_owned())).collect())
    }

    /// Without where discovery was at the start: after a change the file says where it is by now.
    pub fn after_the_start(mut self) -> Self {
        self.0.remove("ROUTER_DISCOVERY");
        self
    }

    fn get(&self, name: &str) -> Option<String> {
        self.0.get(name).cloned()
    }
}

impl Config {
    /// Reads a file: TOML where its name ends so, or where it begins with no brace; else the platform's JSON.
    /// Variables win over what it says.
    pub fn load(file: &Path, vars: &Vars) -> Result<Self, ConfigError> {
        let shown = file.display().to_string();
        let text = settled(file).map_err(|e| Fault::new(&shown, "", e, "name a file that can be read"))?;
        let toml =
            file.extension().is_some_and(|ending| ending == "toml") || !text.trim_start().starts_with('{');
        if toml { operator::read(&shown, &text, vars) } else { router::read(&shown, &text, vars) }
    }

    /// What holds, by the keys of an operator's file in their order, each as it would be written there.
    pub fn entries(&self) -> Vec<(String, String)> {
        let (limits, rules) = (&self.settings.limits, &self.settings.rules);
        let quoted = |text: &dyn std::fmt::Display| format!("{:?}", text.to_string());
        let zone = self.names.areas.get(self.settings.zone.0 as usize).map_or("", String::as_str);
        let mode = if self.settings.discovery == Discovery::Push { "watch" } else { "ask" };
        let mut entries =
            vec![("name", quoted(&self.name)), ("seed", quoted(&format!("{:016x}", self.seed)))];
        entries.push(("listen.clients", quoted(&self.listen)));
        entries.extend(self.control.map(|door| ("listen.operators", quoted(&door))));
        if let Some(fleet) = &self.fleet {
            let seeds: Vec<String> = fleet.seeds.iter().map(SocketAddr::to_string).collect();
            entries.extend([
                ("fleet.cluster", quoted(&fleet.cluster)),
                ("fleet.listen", quoted(&fleet.listen)),
                ("fleet.address", quoted(&fleet.address)),
                ("fleet.seeds", format!("{seeds:?}")),
                ("fleet.voters", format!("{:?}", fleet.voters)),
                ("fleet.round_trip", time(fleet.round_trip)),
            ]);
        }
        entries.extend(self.state.as_ref().map(|dir| ("state.dir", quoted(&dir.display()))));
        entries.extend([
            ("discovery.address", quoted(&self.discovery)),
            ("discovery.mode", quoted(&mode)),
            ("process.memory_mib", self.memory_mb.to_string()),
            ("process.sockets", self.sockets.to_string()),
            ("log.level", quoted(&self.log.level)),
            ("log.format", quoted(&if self.log.json { "json" } else { "text" })),
            ("place.zone", quoted(&zone)),
            ("place.zones", format!("{:?}", self.names.areas)),
            ("place.kinds", format!("{:?}", self.names.kinds)),
            ("place.tier", self.settings.tier.to_string()),
            ("place.tiers", self.settings.tiers.to_string()),
            ("place.balancers", self.settings.balancers.to_string()),
            ("place.number", self.settings.me.to_string()),
            ("limits.max_attempts", limits.max_attempts.to_string()),
            ("limits.second_copies", limits.second_copies.to_string()),
            ("limits.cancelling", limits.cancelling.to_string()),
            ("limits.retry_after", limits.retry_after.to_string()),
            ("limits.max_retry_after", time(limits.max_retry_after)),
            ("limits.connect_timeout", time(limits.connect_timeout)),
            ("limits.idle_close", time(limits.idle_close)),
            ("limits.over_share_worth", self.settings.over_share_worth.to_string()),
            ("rules.ask_within", time(rules.ask_within)),
            ("rules.cold_share", rules.cold_share.to_string()),
            ("rules.warm_within", time(rules.warm_within)),
            ("rules.drain_grace", time(rules.drain_grace)),
            ("rules.fall_multiple", rules.fall_multiple.to_string()),
            ("rules.fall_after", time(rules.fall_after)),
            ("rules.answer_grace", time(rules.answer_grace)),
        ]);
        let mut entries: Vec<_> = entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
        for (i, (class, named)) in self.settings.classes.iter().zip(&self.names.classes).enumerate() {
            let mut add = |key: &str, value: String| entries.push((format!("class[{i}].{key}"), value));
            add("name", quoted(&named.name));
            let repeats = match class.semantics {
                Semantics::Safe => "safe",
                Semantics::Keyed { .. } => "keyed",
                Semantics::Unsafe => "never",
            };
            add("repeats", quoted(&repeats));
            if let Semantics::Keyed { group, window } = class.semantics {
                let group = match group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                };
                add("group", quoted(&group));
                add("window", time(window));
            }
            add("wanted", time(class.objective));
            add("deadline", time(class.deadline));
            add("worth", class.worth.to_string());
            add("late_value", class.late_value.to_string());
        }
        for (i, (tenant, named)) in self.settings.tenants.iter().zip(&self.names.tenants).enumerate() {
            let mut add = |key: &str, value: String| entries.push((format!("tenant[{i}].{key}"), value));
            add("name", quoted(&named.name));
            add("allowance_per_s", tenant.allowance_per_s.to_string());
            add("portion", tenant.portion.to_string());
        }
        entries
    }

    /// Where a key's value comes from, by key: a file and line, a variable, or `default`. `file` and `vars` are
    /// those that it was read from.
    pub fn origins(&self, file: &Path, vars: &Vars) -> BTreeMap<String, String> {
        match (&self.origins, settled(file)) {
            (Some(origins), _) => origins.clone(),
            (None, Ok(text)) => router::origins(&file.display().to_string(), &text, vars, &self.entries()),
            (None, Err(_)) => BTreeMap::new(),
        }
    }
}

/// A key whose value differs between two configurations; none where it is absent.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The key.
    pub key: String,
    /// Its value in the first.
    pub before: Option<String>,
    /// Its value in the second.
    pub after: Option<String>,
}

/// What differs between the entries of two configurations. The seed is new at each start, and counts for nothing.
pub fn differences(before: &[(String, String)], after: &[(String, String)]) -> Vec<Difference> {
    let (held, read): (BTreeMap<_, _>, BTreeMap<_, _>) =
        (before.iter().cloned().collect(), after.iter().cloned().collect());
    let keys: BTreeSet<&String> = held.keys().chain(read.keys()).collect();
    let differ = keys.into_iter().filter(|key| *key != "seed" && held.get(*key) != read.get(*key));
    let of = |values: &BTreeMap<String, String>, key: &String| values.get(key).cloned();
    differ
        .map(|key| Difference { key: key.clone(), before: of(&held, key), after: of(&read, key) })
        .collect()
}

/// Descriptors without which there is nothing to serve with.
fn least_sockets(door: bool) -> usize {
    LEAST_SOCKETS + if door { DOOR_RESERVE } else { 0 }
}

/// A time as an operator writes it.
fn time(time: Duration) -> String {
    format!("\"{}\"", humantime::format_duration(time))
}

/// No endpoints: an operator's file lists none, discovery does.
fn known() -> List {
    List::default()
}

/// A seed from the system, new at each call.
fn seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Reads a file whole as it stands at one time: one that is replaced or written meanwhile is read again.
fn settled(file: &Path) -> io::Result<String> {
    let stamp = || fs::metadata(file).map(|data| (data.ino(), data.len(), data.modified().ok()));
    let mut text = String::new();
    for _ in 0..READS {
        let before = stamp()?;
        text = fs::read_to_string(file)?;
        if stamp()? == before {
            break;
        }
    }
    Ok(text)
}
