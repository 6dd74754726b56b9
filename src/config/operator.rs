//! An operator's configuration: TOML, under variables, over what holds unsaid. Every fault is found in one pass.

use super::fault::{ConfigError, Fault, in_order, line, near};
use super::keys::{CLASS_KEYS, KEYS, Key, Kind, RESERVED, TABLES, TENANT_KEYS, Unsaid};
use super::layers::{UNSAID, convert, convert_table, merge, origin};
use super::{Config, Log, Named, Names, Vars, no_endpoints, random_seed};
use crate::api::{Class, Discovery, Group, Limits, Rules, Semantics, Settings, Tenant, ZoneId};
use crate::fleet::host::Config as Fleet;
use config::{Value, ValueKind};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use toml::de::{DeTable, DeValue};

/// A value as its key takes it.
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

/// The right values of some keys, with where each comes from.
#[derive(Debug, Default)]
struct Checked(BTreeMap<&'static str, (Typed, String)>);

/// Reads a file's text; `file` names it in faults.
pub(super) fn read(file: &str, text: &str, vars: &Vars) -> Result<Config, ConfigError> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut faults: Vec<Fault> = (errors.iter())
        .map(|e| {
            let at = e.span().map_or(1, |span| line(text, &span));
            Fault::new(format!("{file}:{at}"), "", e.message(), "see `gullpulley config example`")
        })
        .collect();
    if !faults.is_empty() {
        return Err(ConfigError(in_order(faults))); // what could not be read whole would be told missing besides
    }
    let written = convert_table(file, text, table.get_ref());
    let merged = merge(written, vars).map_err(|e| Fault::new(file, "", e, ""))?;
    for (name, value) in &merged {
        unknown(name, value, &mut faults);
    }
    let whole = Value::new(None, ValueKind::Table(merged));
    let once = check(KEYS, "", file, &whole, &mut faults);
    let classes = tables("class", CLASS_KEYS, file, &whole, &mut faults);
    let tenants = tables("tenant", TENANT_KEYS, file, &whole, &mut faults);
    if classes.is_empty() && faults.iter().all(|fault| !fault.key.starts_with("class")) {
        faults.push(Fault::new(
            file,
            "class",
            "there is none",
            "write a [[class]] for each class of requests",
        ));
    }
    if !faults.is_empty() {
        return Err(ConfigError(in_order(faults)));
    }
    consistent(&once, &classes, &tenants, &mut faults);
    if !faults.is_empty() {
        return Err(ConfigError(in_order(faults)));
    }
    assemble(&once, &classes, &tenants).map_err(|problem| Fault::new(file, "", problem, "").into())
}

/// Faults of what stands where nothing is known.
fn unknown(name: &str, value: &Value, faults: &mut Vec<Fault>) {
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
                    faults.push(Fault::new(origin(value), path, "there is no such key", near(part, known)));
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
            faults.push(Fault::new(origin(value), name, "there is no such key", near(name, known)));
        }
    }
}

/// The value at a path such as `section.key`.
fn at<'a>(value: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(value, |value, part| match &value.kind {
        ValueKind::Table(table) => table.get(part),
        _ => None,
    })
}

fn check(
    keys: &'static [Key],
    under: &str,
    place: &str,
    whole: &Value,
    faults: &mut Vec<Fault>,
) -> Checked {
    let mut checked = Checked::default();
    for key in keys {
        let path = format!("{under}{}", key.path);
        let unsaid = Value::new(None, ValueKind::Nil);
        let (value, typed) = match (at(whole, key.path), key.unsaid) {
            (Some(value), _) => (value, typed(key.kind, value)),
            (None, Unsaid::None(_)) => continue,
            (None, Unsaid::Is(text)) => (&unsaid, default(key.kind, text)),
            (None, Unsaid::Required) => {
                let remedy = format!("{}: {}", key.kind.right(), key.says);
                faults.push(Fault::new(place, path, "missing", remedy));
                continue;
            }
        };
        match typed {
            Ok(typed) => drop(checked.0.insert(key.path, (typed, origin(value)))),
            Err(problem) => faults.push(Fault::new(origin(value), path, problem, key.kind.right())),
        }
    }
    checked
}

/// Checks a list of tables, such as `[[class]]`.
fn tables(
    name: &'static str,
    keys: &'static [Key],
    file: &str,
    whole: &Value,
    faults: &mut Vec<Fault>,
) -> Vec<Checked> {
    let Some(value) = at(whole, name) else { return Vec::new() };
    let remedy = format!("write [[{name}]] above each one's keys");
    let ValueKind::Array(entries) = &value.kind else {
        faults.push(Fault::new(origin(value), name, "this is a list", remedy));
        return Vec::new();
    };
    let mut found = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        let under = format!("{name}[{number}].");
        let ValueKind::Table(table) = &entry.kind else {
            faults.push(Fault::new(
                origin(entry),
                &under[..under.len() - 1],
                "this is a list of tables",
                &remedy,
            ));
            continue;
        };
        for (part, value) in table {
            if !keys.iter().any(|key| key.path == part) {
                let near = near(part, keys.iter().map(|key| key.path));
                faults.push(Fault::new(
                    origin(value),
                    format!("{under}{part}"),
                    "there is no such key",
                    near,
                ));
            }
        }
        let place = entry.origin().unwrap_or(file).to_owned();
        found.push(check(keys, &under, &place, entry, faults));
    }
    found
}

/// What holds unsaid is written as TOML in the tables, and goes the same way as what is written in a file.
fn default(kind: Kind, text: &str) -> Result<Typed, String> {
    let value = DeValue::parse(text).map_err(|e| e.to_string())?;
    typed(kind, &convert("", text, UNSAID, value.get_ref()))
}

fn typed(kind: Kind, value: &Value) -> Result<Typed, String> {
    let text = match &value.kind {
        ValueKind::String(text) => text.clone(),
        ValueKind::Array(_) if !matches!(kind, Kind::Names | Kind::Addresses) => {
            return Err("this is a list".to_owned());
        }
        ValueKind::Table(_) => return Err("this is a section".to_owned()),
        other => other.to_string(),
    };
    let quoted = matches!(value.kind, ValueKind::String(_));
    // A variable's value has no type of its own.
    let free = origin(value).starts_with('$');
    let wrong = || format!("`{text}` is not right here");
    let written = |wanted: bool| if wanted || free { Ok(()) } else { Err(wrong()) };
    match kind {
        Kind::Text | Kind::Address | Kind::Hex | Kind::Time(_) | Kind::Word(_) | Kind::Level => {
            written(quoted)?
        }
        Kind::Whole(..) | Kind::Number(..) | Kind::Flag => written(!quoted)?,
        Kind::Names | Kind::Addresses => {}
    }
    let some = |ok: bool, typed: Typed| if ok { Ok(typed) } else { Err(wrong()) };
    match kind {
        Kind::Text => some(!text.trim().is_empty(), Typed::Text(text.clone())),
        Kind::Word(words) => some(words.contains(&text.as_str()), Typed::Text(text.clone())),
        Kind::Level => {
            let levels = text.parse::<tracing_subscriber::filter::Targets>();
            levels.map(|_| Typed::Text(text.clone())).map_err(|_| wrong())
        }
        Kind::Address => text.parse().map(Typed::Address).map_err(|_| wrong()),
        Kind::Hex => u64::from_str_radix(&text, 16).map(Typed::Hex).map_err(|_| wrong()),
        Kind::Whole(least, most) => {
            let number: u64 = text.parse().map_err(|_| wrong())?;
            some((least..=most).contains(&number), Typed::Whole(number))
        }
        Kind::Number(least, most) => {
            let number: f64 = text.parse().map_err(|_| wrong())?;
            some((least..=most).contains(&number), Typed::Number(number))
        }
        Kind::Flag => text.parse().map(Typed::Flag).map_err(|_| wrong()),
        Kind::Time(least) => {
            let time = humantime::parse_duration(&text).map_err(|_| wrong())?;
            // Over a hundred days is a slip, and sums of such times would not fit.
            let right = time >= Duration::from_micros(least) && time <= Duration::from_secs(10_000_000);
            some(right, Typed::Time(time))
        }
        Kind::Names | Kind::Addresses => {
            let ValueKind::Array(entries) = &value.kind else { return Err("this is no list".to_owned()) };
            let names = entries.iter().map(|entry| match &entry.kind {
                ValueKind::String(name) if !name.is_empty() => Ok(name.clone()),
                other => Err(format!("`{other}` is no name")),
            });
            let names = names.collect::<Result<Vec<_>, _>>()?;
            match names.iter().enumerate().find(|(i, name)| names[..*i].contains(name)) {
                Some((_, twice)) => Err(format!("`{twice}` stands twice")),
                None if kind == Kind::Names => Ok(Typed::Names(names)),
                None => {
                    let one = |name: &String| {
                        name.parse().map_err(|_| format!("`{name}` is no address and port"))
                    };
                    Ok(Typed::Addresses(names.iter().map(one).collect::<Result<_, _>>()?))
                }
            }
        }
    }
}

/// Processes of a fleet find and tell each other: what each must say for that.
fn in_fleet(once: &Checked, fault: &mut impl FnMut(&Checked, &str, &str, String, &str)) {
    let said = |key: &str| once.0.contains_key(key);
    let keys = ["fleet.cluster", "fleet.listen", "fleet.address"];
    let Some(first) = keys.into_iter().find(|key| said(key)) else { return };
    for missing in ["fleet.cluster", "fleet.listen"].into_iter().filter(|key| !said(key)) {
        let remedy = format!("a process in a fleet needs {missing} too; or leave the section out");
        fault(once, "", first, format!("{missing} is missing"), &remedy);
    }
    let reached = if said("fleet.address") { "fleet.address" } else { "fleet.listen" };
    if once.address(reached).is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
        let problem = "nobody can reach this address".to_owned();
        fault(once, "", reached, problem, "say in fleet.address where the others reach this process");
    }
    let voters = once.names("fleet.voters");
    if !matches!(voters.len(), 0 | 3 | 5 | 7) {
        let problem = format!(
            "{} voters: a majority of them is no safer than of one less, or too slow",
            voters.len()
        );
        fault(once, "", "fleet.voters", problem, "name 3, 5 or 7, or leave it out");
    }
    if voters.contains(&once.text("name")) && !said("state.dir") {
        let problem = "this process votes, and has no state.dir to remember it by".to_owned();
        fault(once, "", "fleet.voters", problem, "say state.dir, or name other voters");
    }
    for key in ["name", "place.zone"] {
        if let Some(problem) = Fleet::name_error(&once.text(key)) {
            fault(once, "", key, problem, "give it a shorter one");
        }
    }
}

/// What is right by itself may still not go together.
fn consistent(once: &Checked, classes: &[Checked], tenants: &[Checked], faults: &mut Vec<Fault>) {
    let mut fault = |of: &Checked, under: &str, key: &str, problem: String, remedy: &str| {
        faults.push(Fault::new(of.origin(key), format!("{under}{key}"), problem, remedy));
    };
    let (zone, zones) = (once.text("place.zone"), once.names("place.zones"));
    if !zones.contains(&zone) {
        fault(
            once,
            "",
            "place.zone",
            format!("`{zone}` is none of place.zones"),
            &near(&zone, zones.iter().map(String::as_str)),
        );
    }
    let (number, of) = (once.whole("place.number"), once.whole("place.balancers"));
    if number >= of {
        fault(once, "", "place.number", format!("{number} is none of {of}"), "count from 0");
    }
    let (tier, tiers) = (once.whole("place.tier"), once.whole("place.tiers"));
    if tier >= tiers {
        fault(once, "", "place.tier", format!("{tier} is none of {tiers}"), "count from 0");
    }
    in_fleet(once, &mut fault);
    let least = super::min_sockets(once.0.contains_key("listen.operators"));
    if once.whole("process.sockets") < least as u64 {
        let problem = format!("{} are too few to serve with", once.whole("process.sockets"));
        fault(once, "", "process.sockets", problem, &format!("at least {least} are needed"));
    }
    for (name, list) in [("class", classes), ("tenant", tenants)] {
        for (number, entry) in list.iter().enumerate() {
            let called = entry.text("name");
            if list[..number].iter().any(|other| other.text("name") == called) {
                let under = format!("{name}[{number}].");
                fault(
                    entry,
                    &under,
                    "name",
                    format!("`{called}` stands twice"),
                    "give each a name of its own",
                );
            }
        }
    }
    for (number, class) in classes.iter().enumerate() {
        let under = format!("class[{number}].");
        if class.time("deadline") < class.time("wanted") {
            let problem = "it is shorter than `wanted`".to_owned();
            fault(
                class,
                &under,
                "deadline",
                problem,
                "clients wait at least as long as an answer is worth something",
            );
        }
        if class.text("repeats") == "keyed" && class.time("window").is_zero() {
            let problem = "keyed requests with no window are never repeated".to_owned();
            fault(
                class,
                &under,
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

    /// Its place in a fleet, where it has one.
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

fn assemble(once: &Checked, classes: &[Checked], tenants: &[Checked]) -> Result<Config, String> {
    let zones = once.names("place.zones");
    let zone = zones.iter().position(|zone| *zone == once.text("place.zone")).unwrap_or_default();
    let settings = Settings {
        balancers: once.whole("place.balancers") as u32,
        me: once.whole("place.number") as u32,
        zone: ZoneId(zone as u32),
        zones: zones.len() as u32,
        tier: once.whole("place.tier") as u32,
        tiers: once.whole("place.tiers") as u32,
        classes: classes.iter().map(class).collect(),
        tenants: (tenants.iter())
            .map(|tenant| Tenant {
                allowance_per_s: tenant.number("allowance_per_s"),
                portion: tenant.number("portion"),
            })
            .collect(),
        over_share_worth: once.number("limits.over_share_worth"),
        discovery: if once.text("discovery.mode") == "ask" { Discovery::Ask } else { Discovery::Push },
        limits: Limits {
            max_attempts: once.whole("limits.max_attempts") as u32,
            second_copies: once.flag("limits.second_copies"),
            cancelling: once.flag("limits.cancelling"),
            retry_after: once.flag("limits.retry_after"),
            max_retry_after: once.time("limits.max_retry_after"),
            connect_timeout: once.time("limits.connect_timeout"),
            idle_close: once.time("limits.idle_close"),
            ..Limits::default()
        },
        rules: Rules {
            ask_within: once.time("rules.ask_within"),
            cold_share: once.number("rules.cold_share"),
            warm_within: once.time("rules.warm_within"),
            drain_grace: once.time("rules.drain_grace"),
            fall_multiple: once.number("rules.fall_multiple"),
            fall_after: once.time("rules.fall_after"),
            answer_grace: once.time("rules.answer_grace"),
            ..Rules::default()
        },
        ..Settings::default()
    };
    settings.validate().map_err(|e| e.to_string())?;
    let named = |list: &[Checked]| list.iter().map(|entry| Named { name: entry.text("name") }).collect();
    let (listen, discovery) = (once.address("listen.clients"), once.address("discovery.address"));
    let mut origins: BTreeMap<String, String> = BTreeMap::new();
    let mut note = |under: String, checked: &Checked| {
        let noted = checked.0.iter().map(|(key, (_, origin))| (format!("{under}{key}"), origin.clone()));
        origins.extend(noted);
    };
    note(String::new(), once);
    classes.iter().enumerate().for_each(|(i, class)| note(format!("class[{i}]."), class));
    tenants.iter().enumerate().for_each(|(i, tenant)| note(format!("tenant[{i}]."), tenant));
    Ok(Config {
        name: once.text("name"),
        listen: listen.ok_or("listen.clients is missing")?,
        control: once.address("listen.operators"),
        discovery: discovery.ok_or("discovery.address is missing")?,
        seed: if let Some(Typed::Hex(seed)) = once.typed("seed") { *seed } else { random_seed() },
        sockets: once.whole("process.sockets") as usize,
        memory_mb: once.whole("process.memory_mib") as usize,
        known: no_endpoints(),
        list_faults: Vec::new(),
        settings,
        names: Names {
            classes: named(classes),
            tenants: named(tenants),
            areas: zones,
            kinds: once.names("place.kinds"),
        },
        log: Log { level: once.text("log.level"), json: once.text("log.format") == "json" },
        fleet: once.fleet(),
        state: once.typed("state.dir").map(|_| once.text("state.dir").into()),
        origins: Some(origins),
    })
}

fn class(class: &Checked) -> Class {
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
