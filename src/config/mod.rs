//! One typed configuration, read from the platform's JSON (`router`, with the settings object in
//! `platform`) or from an operator's TOML (`layers`, `operator`, by the tables in `keys`). All faults are
//! reported, with locations.

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

/// File descriptors reserved for the listener, the runtime, standard streams, discovery and shed clients.
pub const RESERVED_SOCKETS: usize = 48;
/// Maximum number of concurrent connections to the admin API.
pub const ADMIN_MAX_CONNECTIONS: usize = 24;
/// File descriptors reserved for the admin API, if enabled: its listener and its connections.
pub const ADMIN_RESERVED_SOCKETS: usize = ADMIN_MAX_CONNECTIONS + 2;
/// With fewer file descriptors than this, none would be left to serve requests with.
pub const MIN_SOCKETS: usize = RESERVED_SOCKETS + 16;
/// Maximum number of reads of a file that changes while it is read.
const MAX_READS: usize = 5;

/// A sidecar's whole configuration.
#[derive(Debug)]
pub struct Config {
    /// The sidecar's name in log lines.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address of the admin API; `None` disables it.
    pub control: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator; new at each start unless configured.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Memory limit, in MiB.
    pub memory_mb: usize,
    /// The last known endpoint list; may be stale.
    pub known: List,
    /// Faults of `known` if it could not be parsed; `known` is then empty.
    pub list_faults: Vec<Fault>,
    /// Settings of the policy.
    pub settings: Settings,
    /// Wire names of the items that the policy identifies by index.
    pub names: Names,
    /// Logging options.
    pub log: Log,
    /// Fleet membership; `None` if the process runs standalone.
    pub fleet: Option<Fleet>,
    /// Directory of persisted state; with `None`, nothing is persisted.
    pub state: Option<PathBuf>,
    /// Origin of each value by key, if it was recorded while reading.
    origins: Option<BTreeMap<String, String>>,
}

/// Logging options of a sidecar.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Log {
    /// A log level, or log levels by target.
    pub level: String,
    /// Writes one JSON object per line instead of human-readable text.
    #[serde(rename = "format", deserialize_with = "router::format")]
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: "info".to_owned(), json: false }
    }
}

/// The names of the items that the policy identifies by index.
#[derive(Debug, Deserialize)]
pub struct Names {
    /// Request classes; the name is the first segment of a request's path.
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

/// A named item of a list.
#[derive(Debug, Deserialize)]
pub struct Named {
    /// Its name.
    pub name: String,
}

/// The environment variables that override a configuration file.
#[derive(Clone, Debug, Default)]
pub struct Vars(pub BTreeMap<String, String>);

impl Vars {
    /// The variables of this process that start with `ROUTER_` or `GULLPULLEY_`.
    pub fn from_environment() -> Self {
        let all = std::env::vars_os().filter_map(|(name, value)| Some((name.into_string().ok()?, value)));
        let relevant =
            all.filter(|(name, _)| name.starts_with("ROUTER_") || name.starts_with("GULLPULLEY_"));
        Vars(relevant.map(|(name, value)| (name, value.to_string_lossy().into_owned())).collect())
    }

    /// Drops the discovery address given at start: on a reload, the file has the current one.
    pub fn without_initial_discovery(mut self) -> Self {
        self.0.remove("ROUTER_DISCOVERY");
        self
    }

    fn get(&self, name: &str) -> Option<String> {
        self.0.get(name).cloned()
    }
}

impl Config {
    /// Reads a file: as TOML if its extension is `toml` or it doesn't begin with a brace, else as the
    /// platform's JSON. Environment variables override the file.
    pub fn load(file: &Path, vars: &Vars) -> Result<Self, ConfigError> {
        let file_name = file.display().to_string();
        let text = read_consistent(file)
            .map_err(|e| Fault::new(&file_name, "", e, "name a file that can be read"))?;
        let toml = file.extension().is_some_and(|extension| extension == "toml")
            || !text.trim_start().starts_with('{');
        if toml { operator::read(&file_name, &text, vars) } else { router::read(&file_name, &text, vars) }
    }

    /// The effective values by key, in the order and notation of an operator's file.
    pub fn entries(&self) -> Vec<(String, String)> {
        let (limits, rules) = (&self.settings.limits, &self.settings.rules);
        let quoted = |text: &dyn std::fmt::Display| format!("{:?}", text.to_string());
        let zone = self.names.areas.get(self.settings.zone.0 as usize).map_or("", String::as_str);
        let mode = if self.settings.discovery == Discovery::Push { "watch" } else { "ask" };
        let mut entries =
            vec![("name", quoted(&self.name)), ("seed", quoted(&format!("{:016x}", self.seed)))];
        entries.push(("listen.clients", quoted(&self.listen)));
        entries.extend(self.control.map(|address| ("listen.operators", quoted(&address))));
        if let Some(fleet) = &self.fleet {
            let seeds: Vec<String> = fleet.seeds.iter().map(SocketAddr::to_string).collect();
            entries.extend([
                ("fleet.cluster", quoted(&fleet.cluster)),
                ("fleet.listen", quoted(&fleet.listen)),
                ("fleet.address", quoted(&fleet.address)),
                ("fleet.seeds", format!("{seeds:?}")),
                ("fleet.voters", format!("{:?}", fleet.voters)),
                ("fleet.round_trip", duration(fleet.round_trip)),
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
            ("limits.max_retry_after", duration(limits.max_retry_after)),
            ("limits.connect_timeout", duration(limits.connect_timeout)),
            ("limits.idle_close", duration(limits.idle_close)),
            ("limits.over_share_worth", self.settings.over_share_worth.to_string()),
            ("rules.ask_within", duration(rules.ask_within)),
            ("rules.cold_share", rules.cold_share.to_string()),
            ("rules.warm_within", duration(rules.warm_within)),
            ("rules.drain_grace", duration(rules.drain_grace)),
            ("rules.fall_multiple", rules.fall_multiple.to_string()),
            ("rules.fall_after", duration(rules.fall_after)),
            ("rules.answer_grace", duration(rules.answer_grace)),
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
                add("window", duration(window));
            }
            add("wanted", duration(class.objective));
            add("deadline", duration(class.deadline));
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

    /// The origin of each key's value: a file and line, an environment variable, or `default`. `file` and
    /// `vars` must be those that the configuration was read from.
    pub fn origins(&self, file: &Path, vars: &Vars) -> BTreeMap<String, String> {
        match (&self.origins, read_consistent(file)) {
            (Some(origins), _) => origins.clone(),
            (None, Ok(text)) => router::origins(&file.display().to_string(), &text, vars, &self.entries()),
            (None, Err(_)) => BTreeMap::new(),
        }
    }
}

/// A key whose value differs between two configurations; a value is `None` where the key is absent.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The key.
    pub key: String,
    /// Its value in the first.
    pub before: Option<String>,
    /// Its value in the second.
    pub after: Option<String>,
}

/// Compares the entries of two configurations. The seed is ignored, since it is new at each start.
pub fn differences(before: &[(String, String)], after: &[(String, String)]) -> Vec<Difference> {
    let (before, after): (BTreeMap<_, _>, BTreeMap<_, _>) =
        (before.iter().cloned().collect(), after.iter().cloned().collect());
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changed = keys.into_iter().filter(|key| *key != "seed" && before.get(*key) != after.get(*key));
    let value_of = |values: &BTreeMap<String, String>, key: &String| values.get(key).cloned();
    changed
        .map(|key| Difference {
            key: key.clone(),
            before: value_of(&before, key),
            after: value_of(&after, key),
        })
        .collect()
}

/// The minimum number of file descriptors, with or without the admin API.
fn min_sockets(admin: bool) -> usize {
    MIN_SOCKETS + if admin { ADMIN_RESERVED_SOCKETS } else { 0 }
}

/// Formats a duration in the notation of an operator's file.
fn duration(duration: Duration) -> String {
    format!("\"{}\"", humantime::format_duration(duration))
}

/// An operator's file lists no endpoints; they come from discovery.
fn no_endpoints() -> List {
    List::default()
}

/// Returns a new random seed from the system at each call.
fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Reads a consistent version of a file: if it is replaced or written meanwhile, it is read again.
fn read_consistent(file: &Path) -> io::Result<String> {
    let version = || fs::metadata(file).map(|data| (data.ino(), data.len(), data.modified().ok()));
    let mut text = String::new();
    for _ in 0..MAX_READS {
        let before = version()?;
        text = fs::read_to_string(file)?;
        if version()? == before {
            break;
        }
    }
    Ok(text)
}
