//! What the platform tells a sidecar: a JSON file and `ROUTER_*`. Unknown keys are passed over. The first fault
//! would end the reading: to find them all, what is at fault is replaced by what the example has there.

use super::fault::{ConfigError, Fault, line, sort_by_line};
use super::keys::{CLASS_KEYS, KEYS, Key, TENANT_KEYS};
use super::layers::PLATFORM;
use super::{Config, List, Log, Names, Vars, min_sockets, platform};
use serde::Deserialize;
use serde::de::{Deserializer, Error, Unexpected};
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing_subscriber::filter::Targets;

/// A right file: what stands here replaces what is at fault, so that the next fault can be found.
const EXAMPLE: &str = include_str!("example.json");
/// Faults told of one file.
const FAULTS_MOST: usize = 50;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    control: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(default)]
    log: Log,
    #[serde(default)]
    known: List,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

/// The word for how lines are written.
pub(super) fn format<'de, D: Deserializer<'de>>(from: D) -> Result<bool, D::Error> {
    match String::deserialize(from)?.as_str() {
        "json" => Ok(true),
        "text" => Ok(false),
        other => Err(D::Error::invalid_value(Unexpected::Str(other), &"\"text\" or \"json\"")),
    }
}

/// Reads a file's text; `file` names it in faults.
pub(super) fn read(file: &str, text: &str, vars: &Vars) -> Result<Config, ConfigError> {
    match parse(text, vars) {
        Ok(config) => Ok(config),
        Err((key, problem)) if key.is_empty() => Err(Fault::new(file, "", problem, "").into()),
        Err(first) => {
            let error = all(file, text, vars, first);
            // The last list is no setting: a sidecar that can't read it learns what there is from discovery.
            let of_list = |fault: &Fault| fault.key.split(['.', '[']).next() == Some("known");
            match without_list(text, vars).filter(|_| error.0.iter().all(of_list)) {
                Some(config) => Ok(Config { list_faults: error.0, ..config }),
                None => Err(error),
            }
        }
    }
}

/// The same without what it holds of a last list, where that is all that is at fault.
fn without_list(text: &str, vars: &Vars) -> Option<Config> {
    let mut value: Value = serde_json::from_str(text).ok()?;
    value.as_object_mut()?.remove("known");
    parse(&value.to_string(), vars).ok()
}

/// Every fault, by mending one after another.
fn all(file: &str, text: &str, vars: &Vars, first: (String, String)) -> ConfigError {
    let mut faults = Vec::new();
    let (Ok(mut value), Ok(example)) = (serde_json::from_str(text), serde_json::from_str(EXAMPLE)) else {
        return Fault::new(file, first.0, first.1, "").into();
    };
    let mut vars = vars.clone();
    let mut fault = Some(first);
    while let Some((key, problem)) = fault.take() {
        let told = (KEYS.iter().find(|known| known.json == key))
            .and_then(|known| PLATFORM.iter().find(|(_, path)| *path == known.path))
            .filter(|(name, _)| vars.get(name).is_some());
        let place = match told {
            Some((name, _)) => format!("${name}"),
            None => format!("{file}:{}", locate(text, &key)),
        };
        let right = right(&example, &key);
        let right = right.filter(|right| !right.is_object() && !right.is_array());
        let remedy = right.map(|right| format!("such as {right}")).unwrap_or_default();
        faults.push(Fault::new(place, &key, problem, remedy));
        match told {
            Some((name, _)) => drop(vars.0.remove(*name)),
            None if !mend(&mut value, &example, &key) => break,
            None => {}
        }
        if faults.len() < FAULTS_MOST {
            fault = parse(&value.to_string(), &vars).err();
        }
        if fault.as_ref().is_some_and(|(next, _)| *next == key && told.is_none()) {
            break; // mending does not help
        }
    }
    ConfigError(sort_by_line(faults))
}

/// The parts of a path such as `settings.classes[1].worth`.
fn parts(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|part| !part.is_empty())
}

fn child<'a>(value: &'a Value, part: &str) -> Option<&'a Value> {
    match value {
        Value::Object(map) => map.get(part),
        // The example has one entry of each list.
        Value::Array(list) => part.parse::<usize>().ok().and_then(|i| list.get(i).or(list.first())),
        _ => None,
    }
}

/// What the example has at a path.
fn right<'a>(example: &'a Value, path: &str) -> Option<&'a Value> {
    parts(path).try_fold(example, |value, part| child(value, part))
}

/// Puts what the example has at a path there; whether it has anything.
fn mend(value: &mut Value, example: &Value, path: &str) -> bool {
    let Some(right) = right(example, path).cloned() else { return false };
    let mut place = value;
    for part in parts(path) {
        let next = match place {
            Value::Object(map) => Some(map.entry(part).or_insert(Value::Null)),
            Value::Array(list) => part.parse::<usize>().ok().and_then(|i| list.get_mut(i)),
            other => {
                *other = Value::Object(serde_json::Map::new());
                other.as_object_mut().map(|map| map.entry(part).or_insert(Value::Null))
            }
        };
        let Some(next) = next else { return false };
        place = next;
    }
    *place = right;
    true
}

/// The line of what stands at a path, or of the nearest that does.
fn locate(text: &str, path: &str) -> usize {
    let mut here = text;
    for part in parts(path) {
        let next = match part.parse::<usize>() {
            Ok(i) if here.trim_start().starts_with('[') => serde_json::from_str::<Vec<&RawValue>>(here)
                .ok()
                .and_then(|list| list.get(i).map(|v| v.get())),
            _ => {
                let map = serde_json::from_str::<BTreeMap<String, &RawValue>>(here).ok();
                map.and_then(|map| map.get(part).map(|value| value.get()))
            }
        };
        let Some(next) = next else { break };
        here = next;
    }
    let start = (here.as_ptr() as usize).saturating_sub(text.as_ptr() as usize);
    line(text, &(start..start))
}

/// The first fault, with its path in the file; no path where it is no JSON.
fn parse(text: &str, vars: &Vars) -> Result<Config, (String, String)> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(&mut json).map_err(|e| named(e, ""))?;
    json.end().map_err(|e| (String::new(), e.to_string()))?;
    let settings = platform::settings(&file.settings.to_string())
        .map_err(|e| (in_settings(&e.field, &e.problem), unplaced(&e.problem)))?;
    let names: Names =
        serde_path_to_error::deserialize(&file.settings).map_err(|e| named(e, "settings"))?;
    let control = match vars.get("ROUTER_CONTROL").or(file.control) {
        Some(text) => Some(address("control", Some(text))?),
        None => None,
    };
    let least = min_sockets(control.is_some());
    if file.limits.sockets < least {
        return Err(("limits.sockets".to_owned(), format!("at least {least} are needed")));
    }
    if file.log.level.parse::<Targets>().is_err() {
        return Err(("log.level".to_owned(), format!("`{}` is no level", file.log.level)));
    }
    Ok(Config {
        name: vars.get("ROUTER_NAME").unwrap_or(file.name),
        listen: address("listen", vars.get("ROUTER_LISTEN").or(file.listen))?,
        control,
        discovery: address("discovery", vars.get("ROUTER_DISCOVERY").or(file.discovery))?,
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|_| ("seed".to_owned(), format!("`{}` is not hex", file.seed)))?,
        sockets: file.limits.sockets,
        memory_mb: file.limits.memory_mb as usize,
        known: file.known,
        list_faults: Vec::new(),
        settings,
        names,
        log: file.log,
        fleet: None,
        state: None,
        origins: None,
    })
}

/// A fault that serde found, by its path; that of a missing field names the field.
fn named(e: serde_path_to_error::Error<serde_json::Error>, under: &str) -> (String, String) {
    let problem = e.inner().to_string();
    if e.inner().is_syntax() || e.inner().is_eof() {
        return (String::new(), problem);
    }
    // The place is told by the fault itself; serde's is that of the text as mended so far.
    let problem = unplaced(&problem);
    let path = e.path().to_string();
    let path = if path == "." { "" } else { &path };
    (joined(&[under, path, missing(&problem)]), problem)
}

fn unplaced(problem: &str) -> String {
    problem.split(" at line ").next().unwrap_or_default().to_owned()
}

/// The path of a fault of the settings object, in the file.
fn in_settings(field: &str, problem: &str) -> String {
    joined(&[
        "settings",
        field.strip_prefix("conf").unwrap_or(field).trim_start_matches('.'),
        missing(problem),
    ])
}

/// The field that serde misses, if that is the problem.
fn missing(problem: &str) -> &str {
    problem.strip_prefix("missing field `").and_then(|rest| rest.split('`').next()).unwrap_or_default()
}

fn joined(parts: &[&str]) -> String {
    parts.iter().filter(|part| !part.is_empty()).copied().collect::<Vec<_>>().join(".")
}

fn address(field: &str, text: Option<String>) -> Result<SocketAddr, (String, String)> {
    let text = text.ok_or_else(|| (field.to_owned(), "missing".to_owned()))?;
    text.parse().map_err(|_| (field.to_owned(), format!("`{text}` is not an address and port")))
}

/// Where the values of a file of the platform come from, by the keys of an operator's.
pub(super) fn origins(
    file: &str,
    text: &str,
    vars: &Vars,
    entries: &[(String, String)],
) -> BTreeMap<String, String> {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let place = |key: &str| {
        let told = PLATFORM.iter().find(|(name, path)| *path == key && vars.get(name).is_some());
        if let Some((name, _)) = told {
            return Some(format!("${name}"));
        }
        let json = json_path(key)?;
        parts(&json).try_fold(&value, |value, part| match value {
            Value::Array(list) => list.get(part.parse::<usize>().ok()?),
            other => other.get(part),
        })?;
        Some(format!("{file}:{} {json}", locate(text, &json)))
    };
    let origin = |key: &str| place(key).unwrap_or_else(|| "default".to_owned());
    entries.iter().map(|(key, _)| (key.clone(), origin(key))).collect()
}

/// Where the platform's file has what a key says.
fn json_path(key: &str) -> Option<String> {
    let json =
        |keys: &[Key], name: &str| keys.iter().find(|known| known.path == name).map(|known| known.json);
    for (list, within, keys) in
        [("class[", "settings.classes", CLASS_KEYS), ("tenant[", "settings.tenants", TENANT_KEYS)]
    {
        if let Some((number, name)) = key.strip_prefix(list).and_then(|rest| rest.split_once("].")) {
            return Some(format!("{within}[{number}].{}", json(keys, name)?));
        }
    }
    json(KEYS, key).map(str::to_owned)
}
