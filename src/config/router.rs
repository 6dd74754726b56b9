//! The configuration that the platform provides: a JSON file and the variables `ROUTER_*`. Unknown keys are ignored.
//! Parsing stops at the first fault. To find them all, each invalid value is replaced by the example's, and the file is
//! parsed again.

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

/// A valid file whose values replace invalid ones, so that parsing reaches the next fault.
const EXAMPLE: &str = include_str!("example.json");
/// Maximum number of faults reported for one file.
const MAX_FAULTS: usize = 50;

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

/// Deserializes the log format; true is JSON.
pub(super) fn format<'de, D: Deserializer<'de>>(from: D) -> Result<bool, D::Error> {
    match String::deserialize(from)?.as_str() {
        "json" => Ok(true),
        "text" => Ok(false),
        other => Err(D::Error::invalid_value(Unexpected::Str(other), &"\"text\" or \"json\"")),
    }
}

/// Parses the text of a file; `file` is its name in faults.
pub(super) fn read(file: &str, text: &str, vars: &Vars) -> Result<Config, ConfigError> {
    match parse(text, vars) {
        Ok(config) => Ok(config),
        Err((key, problem)) if key.is_empty() => Err(Fault::new(file, "", problem, "").into()),
        Err(first) => {
            let error = collect_faults(file, text, vars, first);
            // The cached endpoint list is no setting: a sidecar that can't read it gets the endpoints from discovery.
            let in_known_list = |fault: &Fault| fault.key.split(['.', '[']).next() == Some("known");
            match parse_without_known(text, vars).filter(|_| error.0.iter().all(in_known_list)) {
                Some(config) => Ok(Config { list_faults: error.0, ..config }),
                None => Err(error),
            }
        }
    }
}

/// Parses the file without its cached endpoint list; `None` if there are other faults.
fn parse_without_known(text: &str, vars: &Vars) -> Option<Config> {
    let mut value: Value = serde_json::from_str(text).ok()?;
    value.as_object_mut()?.remove("known");
    parse(&value.to_string(), vars).ok()
}

/// Collects all faults by replacing one invalid value after another.
fn collect_faults(file: &str, text: &str, vars: &Vars, first: (String, String)) -> ConfigError {
    let mut faults = Vec::new();
    let (Ok(mut value), Ok(example)) = (serde_json::from_str(text), serde_json::from_str(EXAMPLE)) else {
        return Fault::new(file, first.0, first.1, "").into();
    };
    let mut vars = vars.clone();
    let mut fault = Some(first);
    while let Some((key, problem)) = fault.take() {
        let variable = (KEYS.iter().find(|known| known.json == key))
            .and_then(|known| PLATFORM.iter().find(|(_, path)| *path == known.path))
            .filter(|(name, _)| vars.get(name).is_some());
        let place = match variable {
            Some((name, _)) => format!("${name}"),
            None => format!("{file}:{}", line_of_path(text, &key)),
        };
        let valid = example_value(&example, &key);
        let valid = valid.filter(|valid| !valid.is_object() && !valid.is_array());
        let remedy = valid.map(|valid| format!("such as {valid}")).unwrap_or_default();
        faults.push(Fault::new(place, &key, problem, remedy));
        match variable {
            Some((name, _)) => drop(vars.0.remove(*name)),
            None if !replace_with_example(&mut value, &example, &key) => break,
            None => {}
        }
        if faults.len() < MAX_FAULTS {
            fault = parse(&value.to_string(), &vars).err();
        }
        if fault.as_ref().is_some_and(|(next, _)| *next == key && variable.is_none()) {
            break; // the example's value did not remove the fault
        }
    }
    ConfigError(sort_by_line(faults))
}

/// The segments of a path such as `settings.classes[1].worth`.
fn path_segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|part| !part.is_empty())
}

fn child<'a>(value: &'a Value, part: &str) -> Option<&'a Value> {
    match value {
        Value::Object(map) => map.get(part),
        // The example has only one entry in each list, which stands for any index.
        Value::Array(list) => part.parse::<usize>().ok().and_then(|i| list.get(i).or(list.first())),
        _ => None,
    }
}

/// The example's value at a path.
fn example_value<'a>(example: &'a Value, path: &str) -> Option<&'a Value> {
    path_segments(path).try_fold(example, |value, part| child(value, part))
}

/// Replaces the value at a path by the example's; returns false if the example has none or the path can't be followed.
fn replace_with_example(value: &mut Value, example: &Value, path: &str) -> bool {
    let Some(valid) = example_value(example, path).cloned() else { return false };
    let mut target = value;
    for part in path_segments(path) {
        let next = match target {
            Value::Object(map) => Some(map.entry(part).or_insert(Value::Null)),
            Value::Array(list) => part.parse::<usize>().ok().and_then(|i| list.get_mut(i)),
            other => {
                *other = Value::Object(serde_json::Map::new());
                other.as_object_mut().map(|map| map.entry(part).or_insert(Value::Null))
            }
        };
        let Some(next) = next else { return false };
        target = next;
    }
    *target = valid;
    true
}

/// The line of the value at a path, or of its nearest ancestor in the file.
fn line_of_path(text: &str, path: &str) -> usize {
    let mut here = text;
    for part in path_segments(path) {
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

/// Parses the file, or returns the path and description of the first fault; the path is empty if the text is not JSON.
fn parse(text: &str, vars: &Vars) -> Result<Config, (String, String)> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(&mut json).map_err(|e| serde_fault(e, ""))?;
    json.end().map_err(|e| (String::new(), e.to_string()))?;
    let settings = platform::settings(&file.settings.to_string())
        .map_err(|e| (settings_path(&e.field, &e.problem), without_position(&e.problem)))?;
    let names: Names =
        serde_path_to_error::deserialize(&file.settings).map_err(|e| serde_fault(e, "settings"))?;
    let control = match vars.get("ROUTER_CONTROL").or(file.control) {
        Some(text) => Some(parse_address("control", Some(text))?),
        None => None,
    };
    let required = min_sockets(control.is_some());
    if file.limits.sockets < required {
        return Err(("limits.sockets".to_owned(), format!("at least {required} are needed")));
    }
    if file.log.level.parse::<Targets>().is_err() {
        return Err(("log.level".to_owned(), format!("`{}` is no level", file.log.level)));
    }
    Ok(Config {
        name: vars.get("ROUTER_NAME").unwrap_or(file.name),
        listen: parse_address("listen", vars.get("ROUTER_LISTEN").or(file.listen))?,
        control,
        discovery: parse_address("discovery", vars.get("ROUTER_DISCOVERY").or(file.discovery))?,
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

/// Path and description of a serde error; the path includes the name of a missing field.
fn serde_fault(e: serde_path_to_error::Error<serde_json::Error>, under: &str) -> (String, String) {
    let problem = e.inner().to_string();
    if e.inner().is_syntax() || e.inner().is_eof() {
        return (String::new(), problem);
    }
    // serde's position refers to the text with the values replaced so far; the fault has its own.
    let problem = without_position(&problem);
    let path = e.path().to_string();
    let path = if path == "." { "" } else { &path };
    (join_path(&[under, path, missing_field(&problem)]), problem)
}

fn without_position(problem: &str) -> String {
    problem.split(" at line ").next().unwrap_or_default().to_owned()
}

/// Path in the file of a fault in the settings object.
fn settings_path(field: &str, problem: &str) -> String {
    join_path(&[
        "settings",
        field.strip_prefix("conf").unwrap_or(field).trim_start_matches('.'),
        missing_field(problem),
    ])
}

/// The name in serde's message of a missing field; empty for other messages.
fn missing_field(problem: &str) -> &str {
    problem.strip_prefix("missing field `").and_then(|rest| rest.split('`').next()).unwrap_or_default()
}

fn join_path(parts: &[&str]) -> String {
    parts.iter().filter(|part| !part.is_empty()).copied().collect::<Vec<_>>().join(".")
}

fn parse_address(field: &str, text: Option<String>) -> Result<SocketAddr, (String, String)> {
    let text = text.ok_or_else(|| (field.to_owned(), "missing".to_owned()))?;
    text.parse().map_err(|_| (field.to_owned(), format!("`{text}` is not an address and port")))
}

/// The origins of the values of a platform file, by the keys of the operator's format.
pub(super) fn origins(
    file: &str,
    text: &str,
    vars: &Vars,
    entries: &[(String, String)],
) -> BTreeMap<String, String> {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let find_origin = |key: &str| {
        let variable = PLATFORM.iter().find(|(name, path)| *path == key && vars.get(name).is_some());
        if let Some((name, _)) = variable {
            return Some(format!("${name}"));
        }
        let json = json_path(key)?;
        path_segments(&json).try_fold(&value, |value, part| match value {
            Value::Array(list) => list.get(part.parse::<usize>().ok()?),
            other => other.get(part),
        })?;
        Some(format!("{file}:{} {json}", line_of_path(text, &json)))
    };
    let origin = |key: &str| find_origin(key).unwrap_or_else(|| "default".to_owned());
    entries.iter().map(|(key, _)| (key.clone(), origin(key))).collect()
}

/// Path in the platform's file of the value of an operator's key.
fn json_path(key: &str) -> Option<String> {
    let json =
        |keys: &[Key], name: &str| keys.iter().find(|known| known.path == name).map(|known| known.json);
    for (list, prefix, keys) in
        [("class[", "settings.classes", CLASS_KEYS), ("tenant[", "settings.tenants", TENANT_KEYS)]
    {
        if let Some((number, name)) = key.strip_prefix(list).and_then(|rest| rest.split_once("].")) {
            return Some(format!("{prefix}[{number}].{}", json(keys, name)?));
        }
    }
    json(KEYS, key).map(str::to_owned)
}
