//! An operator's configuration: TOML, overridden by environment variables, over defaults. All faults of
//! keys and values are reported together; whether values are consistent is checked only when there are
//! none.

use super::fault::{ConfigError, Fault, line, sort_by_line, suggest};
use super::keys::{CLASS_KEYS, DefaultValue, KEYS, Key, Kind, RESERVED, TABLES, TENANT_KEYS};
use super::layers::{DEFAULT_ORIGIN, convert, convert_table, merge, origin};
use super::{Config, Log, Named, Names, Vars, no_endpoints, random_seed};
use crate::api::{Class, Discovery, Group, Limits, Rules, Semantics, Settings, Tenant, ZoneId};
use crate::fleet::host::Config as Fleet;
use config::{Value, ValueKind};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use toml::de::{DeTable, DeValue};

/// A value parsed according to the kind of its key.
#[derive(Clone, Debug, PartialEq)]
enum Typed {
    Text(String),
    Address(SocketAddr),
    Hex(u64),
    Whole(u64),
    Number(f64),
    Flag(bool),
    Time(Duration),
    Names(Vec<String>),
    Addresses(Vec<SocketAddr>),
}

/// The valid values of a table's keys, each with its origin.
#[derive(Debug, Default)]
struct Checked(BTreeMap<&'static str, (Typed, String)>);

/// Reads a file's text; `file` names it in faults.
pub(super) fn read(file: &str, text: &str, vars: &Vars) -> Result<Config, ConfigError> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut faults: Vec<Fault> = (errors.iter())
        .map(|e| {
            let line = e.span().map_or(1, |span| line(text, &span));
            Fault::new(format!("{file}:{line}"), "", e.message(), "see `gullpulley config example`")
        })
        .collect();
    if !faults.is_empty() {
        // Keys that could not be parsed would also be reported as missing.
        return Err(ConfigError(sort_by_line(faults)));
    }
    let written = convert_table(file, text, table.get_ref());
    let merged = merge(written, vars).map_err(|e| Fault::new(file, "", e, ""))?;
    for (name, value) in &merged {
        check_known(name, value, &mut faults);
    }
    let root = Value::new(None, ValueKind::Table(merged));
    let global = check_keys(KEYS, "", file, &root, &mut faults);
    let classes = check_tables("class", CLASS_KEYS, file, &root, &mut faults);
    let tenants = check_tables("tenant", TENANT_KEYS, file, &root, &mut faults);
    if classes.is_empty() && faults.iter().all(|fault| !fault.key.starts_with("class")) {
        faults.push(Fault::new(
            file,
            "class",
            "there is none",
            "write a [[class]] for each class of requests",
        ));
    }
    if !faults.is_empty() {
        return Err(ConfigError(sort_by_line(faults)));
    }
    check_consistency(&global, &classes, &tenants, &mut faults);
    if !faults.is_empty() {
        return Err(ConfigError(sort_by_line(faults)));
    }
    assemble(&global, &classes, &tenants).map_err(|problem| Fault::new(file, "", problem, "").into())
}

/// Adds a fault for each unknown or reserved key, and for each section that is not a table.
fn check_known(name: &str, value: &Value, faults: &mut Vec<Fault>) {
    if RESERVED.contains(&name) {
        let problem = "this build has no such part yet";
        return faults.push(Fault::new(origin(value), name, problem, "leave the section out"));
    }
    let sections = KEYS.iter().filter_map(|key| key.path.split_once('.').map(|(section, _)| section));
    let inside = |key: &Key| key.path.strip_prefix(name).is_some_and(|rest| rest.starts_with('.'));
    match &value.kind {
        _ if KEYS.iter().any(|key| key.path == name) || TABLES.iter().any(|(table, _)| *table == name) => {}
        ValueKind::Table(table) if KEYS.iter().any(inside) => {
            for (part, value) in table {
                let path = format!("{name}.{part}");
                if !KEYS.iter().any(|key| key.path == path) {
                    let known =
                        KEYS.iter().filter(|key| inside(key)).map(|key| &key.path[name.len() + 1..]);
                    faults.push(Fault::new(
                        origin(value),
                        path,
                        "there is no such key",
                        suggest(part, known),
                    ));
                }
            }
        }
        _ if KEYS.iter().any(inside) => {
            let remedy = format!("write a section [{name}]");
            faults.push(Fault::new(origin(value), name, "this is a section", remedy));
        }
        _ => {
            let known = KEYS.iter().map(|key| key.path).filter(|path| !path.contains('.'));
            let known = known.chain(sections).chain(TABLES.iter().map(|(table, _)| *table));
            faults.push(Fault::new(origin(value), name, "there is no such key", suggest(name, known)));
        }
    }
}

/// Looks up the value at a path such as `section.key`.
fn value_at<'a>(value: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(value, |value, part| match &value.kind {
        ValueKind::Table(table) => table.get(part),
        _ => None,
    })
}

/// Parses the values of a table; `prefix` stands before its keys in faults, `place` locates missing ones.
fn check_keys(
    keys: &'static [Key],
    prefix: &str,
    place: &str,
    root: &Value,
    faults: &mut Vec<Fault>,
) -> Checked {
    let mut checked = Checked::default();
    for key in keys {
        let path = format!("{prefix}{}", key.path);
        let absent = Value::new(None, ValueKind::Nil);
        let (value, typed) = match (value_at(root, key.path), key.default) {
            (Some(value), _) => (value, parse_value(key.kind, value)),
            (None, DefaultValue::None(_)) => continue,
            (None, DefaultValue::Is(text)) => (&absent, parse_default(key.kind, text)),
            (None, DefaultValue::Required) => {
                let remedy = format!("{}: {}", key.kind.remedy(), key.description);
                faults.push(Fault::new(place, path, "missing", remedy));
                continue;
            }
        };
        match typed {
            Ok(typed) => drop(checked.0.insert(key.path, (typed, origin(value)))),
            Err(problem) => faults.push(Fault::new(origin(value), path, problem, key.kind.remedy())),
        }
    }
    checked
}

/// Parses an array of tables, such as `[[class]]`.
fn check_tables(
    name: &'static str,
    keys: &'static [Key],
    file: &str,
    root: &Value,
    faults: &mut Vec<Fault>,
) -> Vec<Checked> {
    let Some(value) = value_at(root, name) else { return Vec::new() };
    let remedy = format!("write [[{name}]] above each one's keys");
    let ValueKind::Array(entries) = &value.kind else {
        faults.push(Fault::new(origin(value), name, "this is a list", remedy));
        return Vec::new();
    };
    let mut checked = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let prefix = format!("{name}[{index}].");
        let ValueKind::Table(table) = &entry.kind else {
            faults.push(Fault::new(
                origin(entry),
                &prefix[..prefix.len() - 1],
                "this is a list of tables",
                &remedy,
            ));
            continue;
        };
        for (part, value) in table {
            if !keys.iter().any(|key| key.path == part) {
                let suggestion = suggest(part, keys.iter().map(|key| key.path));
                faults.push(Fault::new(
                    origin(value),
                    format!("{prefix}{part}"),
                    "there is no such key",
                    suggestion,
                ));
            }
        }
        let place = entry.origin().unwrap_or(file).to_owned();
        checked.push(check_keys(keys, &prefix, &place, entry, faults));
    }
    checked
}

/// Parses a default value, which the key tables write as TOML, in the same way as a value of a file.
fn parse_default(kind: Kind, text: &str) -> Result<Typed, String> {
    let value = DeValue::parse(text).map_err(|e| e.to_string())?;
    parse_value(kind, &convert("", text, DEFAULT_ORIGIN, value.get_ref()))
}

/// Parses a value according to the kind of its key; an error says what is wrong with it.
fn parse_value(kind: Kind, value: &Value) -> Result<Typed, String> {
    let text = match &value.kind {
        ValueKind::String(text) => text.clone(),
        ValueKind::Array(_) if !matches!(kind, Kind::Names | Kind::Addresses) => {
            return Err("this is a list".to_owned());
        }
        ValueKind::Table(_) => return Err("this is a section".to_owned()),
        other => other.to_string(),
    };
    let quoted = matches!(value.kind, ValueKind::String(_));
    // The value of an environment variable is always a string, whatever the key's type.
    let from_variable = origin(value).starts_with('$');
    let invalid = || format!("`{text}` is not right here");
    let check_quotes = |correct: bool| if correct || from_variable { Ok(()) } else { Err(invalid()) };
    match kind {
        Kind::Text | Kind::Address | Kind::Hex | Kind::Time(_) | Kind::Word(_) | Kind::Level => {
            check_quotes(quoted)?
        }
        Kind::Whole(..) | Kind::Number(..) | Kind::Flag => check_quotes(!quoted)?,
        Kind::Names | Kind::Addresses => {}
    }
    let valid_if = |ok: bool, typed: Typed| if ok { Ok(typed) } else { Err(invalid()) };
    match kind {
        Kind::Text => valid_if(!text.trim().is_empty(), Typed::Text(text.clone())),
        Kind::Word(words) => valid_if(words.contains(&text.as_str()), Typed::Text(text.clone())),
        Kind::Level => {
            let levels = text.parse::<tracing_subscriber::filter::Targets>();
            levels.map(|_| Typed::Text(text.clone())).map_err(|_| invalid())
        }
        Kind::Address => text.parse().map(Typed::Address).map_err(|_| invalid()),
        Kind::Hex => u64::from_str_radix(&text, 16).map(Typed::Hex).map_err(|_| invalid()),
        Kind::Whole(min, max) => {
            let number: u64 = text.parse().map_err(|_| invalid())?;
            valid_if((min..=max).contains(&number), Typed::Whole(number))
        }
        Kind::Number(min, max) => {
            let number: f64 = text.parse().map_err(|_| invalid())?;
            valid_if((min..=max).contains(&number), Typed::Number(number))
        }
        Kind::Flag => text.parse().map(Typed::Flag).map_err(|_| invalid()),
        Kind::Time(min) => {
            let time = humantime::parse_duration(&text).map_err(|_| invalid())?;
            // More than a hundred days is a mistake, and sums of such durations would overflow.
            let in_range = time >= Duration::from_micros(min) && time <= Duration::from_secs(10_000_000);
            valid_if(in_range, Typed::Time(time))
        }
        Kind::Names | Kind::Addresses => {
            let ValueKind::Array(entries) = &value.kind else { return Err("this is no list".to_owned()) };
            let names = entries.iter().map(|entry| match &entry.kind {
                ValueKind::String(name) if !name.is_empty() => Ok(name.clone()),
                other => Err(format!("`{other}` is no name")),
            });
            let names = names.collect::<Result<Vec<_>, _>>()?;
            match names.iter().enumerate().find(|(i, name)| names[..*i].contains(name)) {
                Some((_, duplicate)) => Err(format!("`{duplicate}` stands twice")),
                None if kind == Kind::Names => Ok(Typed::Names(names)),
                None => {
                    let parse = |name: &String| {
                        name.parse().map_err(|_| format!("`{name}` is no address and port"))
                    };
                    Ok(Typed::Addresses(names.iter().map(parse).collect::<Result<_, _>>()?))
                }
            }
        }
    }
}

/// Checks the keys that a process needs so that the other members of its fleet can reach it.
fn check_fleet(global: &Checked, fault: &mut impl FnMut(&Checked, &str, &str, String, &str)) {
    let is_set = |key: &str| global.0.contains_key(key);
    let keys = ["fleet.cluster", "fleet.listen", "fleet.address"];
    let Some(first) = keys.into_iter().find(|key| is_set(key)) else { return };
    for missing in ["fleet.cluster", "fleet.listen"].into_iter().filter(|key| !is_set(key)) {
        let remedy = format!("a process in a fleet needs {missing} too; or leave the section out");
        fault(global, "", first, format!("{missing} is missing"), &remedy);
    }
    let address_key = if is_set("fleet.address") { "fleet.address" } else { "fleet.listen" };
    if global
        .address(address_key)
        .is_some_and(|address| address.ip().is_unspecified() || address.port() == 0)
    {
        let problem = "nobody can reach this address".to_owned();
        fault(global, "", address_key, problem, "say in fleet.address where the others reach this process");
    }
    let voters = global.names("fleet.voters");
    if !matches!(voters.len(), 0 | 3 | 5 | 7) {
        let problem = format!(
            "{} voters: a majority of them is no safer than of one less, or too slow",
            voters.len()
        );
        fault(global, "", "fleet.voters", problem, "name 3, 5 or 7, or leave it out");
    }
    if voters.contains(&global.text("name")) && !is_set("state.dir") {
        let problem = "this process votes, and has no state.dir to remember it by".to_owned();
        fault(global, "", "fleet.voters", problem, "say state.dir, or name other voters");
    }
    for key in ["name", "place.zone"] {
        if let Some(problem) = Fleet::name_error(&global.text(key)) {
            fault(global, "", key, problem, "give it a shorter one");
        }
    }
}

/// Checks values that are valid on their own against each other.
fn check_consistency(global: &Checked, classes: &[Checked], tenants: &[Checked], faults: &mut Vec<Fault>) {
    let mut fault = |table: &Checked, prefix: &str, key: &str, problem: String, remedy: &str| {
        faults.push(Fault::new(table.origin(key), format!("{prefix}{key}"), problem, remedy));
    };
    let (zone, zones) = (global.text("place.zone"), global.names("place.zones"));
    if !zones.contains(&zone) {
        fault(
            global,
            "",
            "place.zone",
            format!("`{zone}` is none of place.zones"),
            &suggest(&zone, zones.iter().map(String::as_str)),
        );
    }
    let (number, balancers) = (global.whole("place.number"), global.whole("place.balancers"));
    if number >= balancers {
        fault(global, "", "place.number", format!("{number} is none of {balancers}"), "count from 0");
    }
    let (tier, tiers) = (global.whole("place.tier"), global.whole("place.tiers"));
    if tier >= tiers {
        fault(global, "", "place.tier", format!("{tier} is none of {tiers}"), "count from 0");
    }
    check_fleet(global, &mut fault);
    let min_sockets = super::min_sockets(global.0.contains_key("listen.operators"));
    if global.whole("process.sockets") < min_sockets as u64 {
        let problem = format!("{} are too few to serve with", global.whole("process.sockets"));
        fault(global, "", "process.sockets", problem, &format!("at least {min_sockets} are needed"));
    }
    for (name, list) in [("class", classes), ("tenant", tenants)] {
        for (index, entry) in list.iter().enumerate() {
            let entry_name = entry.text("name");
            if list[..index].iter().any(|other| other.text("name") == entry_name) {
                let prefix = format!("{name}[{index}].");
                fault(
                    entry,
                    &prefix,
                    "name",
                    format!("`{entry_name}` stands twice"),
                    "give each a name of its own",
                );
            }
        }
    }
    for (index, class) in classes.iter().enumerate() {
        let prefix = format!("class[{index}].");
        if class.time("deadline") < class.time("wanted") {
            let problem = "it is shorter than `wanted`".to_owned();
            fault(
                class,
                &prefix,
                "deadline",
                problem,
                "clients wait at least as long as an answer is worth something",
            );
        }
        if class.text("repeats") == "keyed" && class.time("window").is_zero() {
            let problem = "keyed requests with no window are never repeated".to_owned();
            fault(
                class,
                &prefix,
                "window",
                problem,
                "say for how long endpoints know a key, or repeats = \"never\"",
            );
        }
    }
}

impl Checked {
    fn typed(&self, key: &str) -> Option<&Typed> {
        self.0.get(key).map(|(typed, _)| typed)
    }

    fn origin(&self, key: &str) -> String {
        self.0.get(key).map_or_else(String::new, |(_, origin)| origin.clone())
    }

    fn text(&self, key: &str) -> String {
        if let Some(Typed::Text(text)) = self.typed(key) { text.clone() } else { String::new() }
    }

    fn address(&self, key: &str) -> Option<SocketAddr> {
        if let Some(Typed::Address(address)) = self.typed(key) { Some(*address) } else { None }
    }

    fn whole(&self, key: &str) -> u64 {
        if let Some(Typed::Whole(number)) = self.typed(key) { *number } else { 0 }
    }

    fn number(&self, key: &str) -> f64 {
        if let Some(Typed::Number(number)) = self.typed(key) { *number } else { 0.0 }
    }

    fn flag(&self, key: &str) -> bool {
        matches!(self.typed(key), Some(Typed::Flag(true)))
    }

    fn time(&self, key: &str) -> Duration {
        if let Some(Typed::Time(time)) = self.typed(key) { *time } else { Duration::ZERO }
    }

    fn names(&self, key: &str) -> Vec<String> {
        if let Some(Typed::Names(names)) = self.typed(key) { names.clone() } else { Vec::new() }
    }

    fn addresses(&self, key: &str) -> Vec<SocketAddr> {
        if let Some(Typed::Addresses(addresses)) = self.typed(key) { addresses.clone() } else { Vec::new() }
    }

    /// The fleet membership; `None` without `fleet.listen`.
    fn fleet(&self) -> Option<Fleet> {
        let listen = self.address("fleet.listen")?;
        Some(Fleet {
            cluster: self.text("fleet.cluster"),
            listen,
            address: self.address("fleet.address").unwrap_or(listen),
            seeds: self.addresses("fleet.seeds"),
            round_trip: self.time("fleet.round_trip"),
            voters: self.names("fleet.voters"),
        })
    }
}

/// Builds the configuration from valid values.
fn assemble(global: &Checked, classes: &[Checked], tenants: &[Checked]) -> Result<Config, String> {
    let zones = global.names("place.zones");
    let zone = zones.iter().position(|zone| *zone == global.text("place.zone")).unwrap_or_default();
    let settings = Settings {
        balancers: global.whole("place.balancers") as u32,
        me: global.whole("place.number") as u32,
        zone: ZoneId(zone as u32),
        zones: zones.len() as u32,
        tier: global.whole("place.tier") as u32,
        tiers: global.whole("place.tiers") as u32,
        classes: classes.iter().map(to_class).collect(),
        tenants: (tenants.iter())
            .map(|tenant| Tenant {
                allowance_per_s: tenant.number("allowance_per_s"),
                portion: tenant.number("portion"),
            })
            .collect(),
        over_share_worth: global.number("limits.over_share_worth"),
        discovery: if global.text("discovery.mode") == "ask" { Discovery::Ask } else { Discovery::Push },
        limits: Limits {
            max_attempts: global.whole("limits.max_attempts") as u32,
            second_copies: global.flag("limits.second_copies"),
            cancelling: global.flag("limits.cancelling"),
            retry_after: global.flag("limits.retry_after"),
            max_retry_after: global.time("limits.max_retry_after"),
            connect_timeout: global.time("limits.connect_timeout"),
            idle_close: global.time("limits.idle_close"),
            ..Limits::default()
        },
        rules: Rules {
            ask_within: global.time("rules.ask_within"),
            cold_share: global.number("rules.cold_share"),
            warm_within: global.time("rules.warm_within"),
            drain_grace: global.time("rules.drain_grace"),
            fall_multiple: global.number("rules.fall_multiple"),
            fall_after: global.time("rules.fall_after"),
            answer_grace: global.time("rules.answer_grace"),
            ..Rules::default()
        },
        ..Settings::default()
    };
    settings.validate().map_err(|e| e.to_string())?;
    let named = |list: &[Checked]| list.iter().map(|entry| Named { name: entry.text("name") }).collect();
    let (listen, discovery) = (global.address("listen.clients"), global.address("discovery.address"));
    let mut origins: BTreeMap<String, String> = BTreeMap::new();
    let mut record = |prefix: String, checked: &Checked| {
        let recorded =
            checked.0.iter().map(|(key, (_, origin))| (format!("{prefix}{key}"), origin.clone()));
        origins.extend(recorded);
    };
    record(String::new(), global);
    classes.iter().enumerate().for_each(|(i, class)| record(format!("class[{i}]."), class));
    tenants.iter().enumerate().for_each(|(i, tenant)| record(format!("tenant[{i}]."), tenant));
    Ok(Config {
        name: global.text("name"),
        listen: listen.ok_or("listen.clients is missing")?,
        control: global.address("listen.operators"),
        discovery: discovery.ok_or("discovery.address is missing")?,
        seed: if let Some(Typed::Hex(seed)) = global.typed("seed") { *seed } else { random_seed() },
        sockets: global.whole("process.sockets") as usize,
        memory_mb: global.whole("process.memory_mib") as usize,
        known: no_endpoints(),
        list_faults: Vec::new(),
        settings,
        names: Names {
            classes: named(classes),
            tenants: named(tenants),
            areas: zones,
            kinds: global.names("place.kinds"),
        },
        log: Log { level: global.text("log.level"), json: global.text("log.format") == "json" },
        fleet: global.fleet(),
        state: global.typed("state.dir").map(|_| global.text("state.dir").into()),
        origins: Some(origins),
    })
}

fn to_class(class: &Checked) -> Class {
    let group = match class.text("group").as_str() {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    Class {
        semantics: match class.text("repeats").as_str() {
            "safe" => Semantics::Safe,
            "keyed" => Semantics::Keyed { group, window: class.time("window") },
            _ => Semantics::Unsafe,
        },
        objective: class.time("wanted"),
        deadline: class.time("deadline"),
        worth: class.number("worth"),
        late_value: class.number("late_value"),
        ..Class::default()
    }
}
