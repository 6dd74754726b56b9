//! The layers of an operator's configuration, and the origin of each value in them.

use super::Vars;
use super::fault::line;
use config::{Environment, Map, Source, Value, ValueKind};
use toml::de::{DeTable, DeValue};

/// Environment variables set by the platform, each with the key that it overrides. They take precedence
/// over the operator's own variables.
pub(super) const PLATFORM: [(&str, &str); 4] = [
    ("ROUTER_NAME", "name"),
    ("ROUTER_LISTEN", "listen.clients"),
    ("ROUTER_DISCOVERY", "discovery.address"),
    ("ROUTER_CONTROL", "listen.operators"),
];
/// The origin of a default value.
pub(super) const DEFAULT_ORIGIN: &str = "default";

/// A configuration source that has already been parsed.
#[derive(Clone, Debug)]
struct Layer(Map<String, Value>);

impl Source for Layer {
    fn clone_into_box(&self) -> Box<dyn Source + Send + Sync> {
        Box::new(self.clone())
    }

    fn collect(&self) -> Result<Map<String, Value>, config::ConfigError> {
        Ok(self.0.clone())
    }
}

/// Merges the values of a file with the environment variables that override them.
pub(super) fn merge(
    file: Map<String, Value>,
    vars: &Vars,
) -> Result<Map<String, Value>, config::ConfigError> {
    let operator = vars.0.iter().filter(|(name, _)| *name != "GULLPULLEY_CONFIG");
    let operator: Map<String, String> =
        operator.map(|(name, value)| (name.clone(), value.clone())).collect();
    let environment = Environment::with_prefix("GULLPULLEY").prefix_separator("_").separator("__");
    // The `config` crate gives "the environment" as the origin of all; a fault should name the variable.
    let with_origin = |(key, value): (String, Value)| {
        let name = format!("$GULLPULLEY_{}", key.to_uppercase().replace('.', "__"));
        (key, Value::new(Some(&name), value.kind))
    };
    let operator = environment.source(Some(operator)).collect()?.into_iter().map(with_origin).collect();
    let platform = PLATFORM.iter().filter_map(|(name, key)| {
        let value = vars.0.get(*name)?.clone();
        Some(((*key).to_owned(), Value::new(Some(&format!("${name}")), ValueKind::String(value))))
    });
    let layers = config::Config::builder()
        .add_source(Layer(file))
        .add_source(Layer(operator))
        .add_source(Layer(platform.collect()));
    layers.build()?.collect()
}

/// Converts a table of a file; each value's origin is its line.
pub(super) fn convert_table(file: &str, text: &str, table: &DeTable<'_>) -> Map<String, Value> {
    let entries = table.iter().map(|(name, value)| {
        // The origin of a table is the line of its name.
        let span = if value.get_ref().is_table() { name.span() } else { value.span() };
        let origin = format!("{file}:{}", line(text, &span));
        (name.get_ref().to_string(), convert(file, text, &origin, value.get_ref()))
    });
    entries.collect()
}

/// Converts a value of a file with the given origin.
pub(super) fn convert(file: &str, text: &str, origin: &str, value: &DeValue<'_>) -> Value {
    let kind = match value {
        DeValue::String(value) => ValueKind::String(value.to_string()),
        DeValue::Integer(value) => match i64::from_str_radix(value.as_str(), value.radix()) {
            Ok(value) => ValueKind::I64(value),
            Err(_) => ValueKind::String(value.as_str().to_owned()), // out of range for every key
        },
        DeValue::Float(value) => value.as_str().parse().map_or(ValueKind::Nil, ValueKind::Float),
        DeValue::Boolean(value) => ValueKind::Boolean(*value),
        DeValue::Datetime(value) => ValueKind::String(value.to_string()),
        DeValue::Array(values) => ValueKind::Array(
            (values.iter())
                .map(|value| {
                    let origin = format!("{file}:{}", line(text, &value.span()));
                    convert(file, text, &origin, value.get_ref())
                })
                .collect(),
        ),
        DeValue::Table(table) => ValueKind::Table(convert_table(file, text, table)),
    };
    Value::new(Some(&origin.to_owned()), kind)
}

/// The origin of a value. Merging layers drops the origin of a section but keeps those of its keys, so that
/// a section falls back to the first of these.
pub(super) fn origin(value: &Value) -> String {
    let nested = || match &value.kind {
        ValueKind::Table(table) => table.values().map(origin).min(),
        ValueKind::Array(list) => list.first().map(origin),
        _ => None,
    };
    value.origin().map(str::to_owned).or_else(nested).unwrap_or_else(|| DEFAULT_ORIGIN.to_owned())
}
