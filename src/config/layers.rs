//! The layers of an operator's configuration, and where in them each value stands.

use super::Vars;
use super::fault::line;
use config::{Environment, Map, Source, Value, ValueKind};
use toml::de::{DeTable, DeValue};

/// Variables that say what a key says, and the key. The platform sets these; they win over the operator's own.
pub(super) const PLATFORM: [(&str, &str); 4] = [
    ("ROUTER_NAME", "name"),
    ("ROUTER_LISTEN", "listen.clients"),
    ("ROUTER_DISCOVERY", "discovery.address"),
    ("ROUTER_CONTROL", "listen.operators"),
];
/// Where a value comes from that nobody wrote.
pub(super) const UNSAID: &str = "default";

/// A layer that has been read.
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

/// Puts variables over what is written.
pub(super) fn merge(
    written: Map<String, Value>,
    vars: &Vars,
) -> Result<Map<String, Value>, config::ConfigError> {
    let own = vars.0.iter().filter(|(name, _)| *name != "GULLPULLEY_CONFIG");
    let own: Map<String, String> = own.map(|(name, value)| (name.clone(), value.clone())).collect();
    let under = Environment::with_prefix("GULLPULLEY").prefix_separator("_").separator("__");
    // The crate calls them all "the environment"; a fault should name the variable.
    let named = |(key, value): (String, Value)| {
        let name = format!("$GULLPULLEY_{}", key.to_uppercase().replace('.', "__"));
        (key, Value::new(Some(&name), value.kind))
    };
    let own = under.source(Some(own)).collect()?.into_iter().map(named).collect();
    let told = PLATFORM.iter().filter_map(|(name, key)| {
        let value = vars.0.get(*name)?.clone();
        Some(((*key).to_owned(), Value::new(Some(&format!("${name}")), ValueKind::String(value))))
    });
    let layers = config::Config::builder()
        .add_source(Layer(written))
        .add_source(Layer(own))
        .add_source(Layer(told.collect()));
    layers.build()?.collect()
}

/// A table of a file, each value with its line.
pub(super) fn convert_table(file: &str, text: &str, table: &DeTable<'_>) -> Map<String, Value> {
    let entries = table.iter().map(|(name, value)| {
        // A table's own place is where its name stands.
        let span = if value.get_ref().is_table() { name.span() } else { value.span() };
        let origin = format!("{file}:{}", line(text, &span));
        (name.get_ref().to_string(), convert(file, text, &origin, value.get_ref()))
    });
    entries.collect()
}

/// A value of a file, which stands at `origin`.
pub(super) fn convert(file: &str, text: &str, origin: &str, value: &DeValue<'_>) -> Value {
    let kind = match value {
        DeValue::String(value) => ValueKind::String(value.to_string()),
        DeValue::Integer(value) => match i64::from_str_radix(value.as_str(), value.radix()) {
            Ok(value) => ValueKind::I64(value),
            Err(_) => ValueKind::String(value.as_str().to_owned()), // no key takes as much
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

/// Where a value comes from; layers put together lose where a section began, but not where its keys stand.
pub(super) fn origin(value: &Value) -> String {
    let inside = || match &value.kind {
        ValueKind::Table(table) => table.values().map(origin).min(),
        ValueKind::Array(list) => list.first().map(origin),
        _ => None,
    };
    value.origin().map(str::to_owned).or_else(inside).unwrap_or_else(|| UNSAID.to_owned())
}
