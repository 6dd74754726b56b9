//! Every key of an operator's configuration: its type, its default and its description. The validation of a
//! file, the example and the output of `config show` are all based on these tables.

/// The type of a key's value, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Non-blank text.
    Text,
    /// An IP address and port.
    Address,
    /// Up to 16 hexadecimal digits.
    Hex,
    /// An integer within these inclusive bounds.
    Whole(u64, u64),
    /// A number within these inclusive bounds.
    Number(f64, f64),
    /// `true` or `false`.
    Flag,
    /// A duration with its unit; the minimum is in microseconds.
    Time(u64),
    /// One of these words.
    Word(&'static [&'static str]),
    /// A list of names without duplicates.
    Names,
    /// A list of addresses and ports without duplicates.
    Addresses,
    /// A log level, or log levels by target.
    Level,
}

/// The value of a key that is not set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// There is none: the key must be set.
    Required,
    /// There is none, and the key is optional; the example shows this value.
    None(&'static str),
    /// This value, in TOML.
    Is(&'static str),
}

/// A key and the values that it accepts.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its path, as `section.key`.
    pub path: &'static str,
    /// The type of its value.
    pub kind: Kind,
    /// Its value if it is not set.
    pub default: DefaultValue,
    /// The path of the same setting in the platform's JSON.
    pub json: &'static str,
    /// Its meaning, in one line.
    pub description: &'static str,
}

const fn key(
    path: &'static str,
    kind: Kind,
    default: DefaultValue,
    json: &'static str,
    description: &'static str,
) -> Key {
    Key { path, kind, default, json, description }
}

use DefaultValue::{Is, None as NoDefault, Required};
use Kind::*;

/// The keys outside of lists of tables.
#[rustfmt::skip] // keeps one line per key
pub const KEYS: &[Key] = &[
    key("name", Text, Required, "name", "this sidecar's name, in its log lines and in the names of its state files"),
    key("seed", Hex, NoDefault("\"8c1f30d27a5be964\""), "seed", "seed of the random number generator; by default new at each start"),
    key("listen.clients", Address, Required, "listen", "listen address for clients"),
    key("listen.operators", Address, NoDefault("\"127.0.0.1:7071\""), "control", "listen address of the admin API; disabled if not set"),
    key("discovery.address", Address, Required, "discovery", "address of the discovery service (*)"),
    key("discovery.mode", Word(&["watch", "ask"]), Is("\"watch\""), "settings.discovery", "whether the endpoint list is watched all the time or only when asked for"),
    key("process.memory_mib", Whole(16, 1 << 24), Is("192"), "limits.memory_mb", "memory limit, in MiB"),
    key("process.sockets", Whole(1, 1 << 24), Is("1024"), "limits.sockets", "maximum number of open file descriptors"),
    key("log.level", Level, Is("\"info\""), "log.level", "error, warn, info, debug or trace; or by target, as \"info,gullpulley::net=debug\" (*)"),
    key("log.format", Word(&["text", "json"]), Is("\"text\""), "log.format", "human-readable text, or one JSON object per line"),
    key("state.dir", Text, NoDefault("\"/var/lib/gullpulley\""), "state.dir", "directory for state that must outlive the process, not shared with other sidecars; if not set, nothing is persisted"),
    key("fleet.cluster", Text, NoDefault("\"render\""), "fleet.cluster", "name of this process's fleet; messages from other fleets are ignored"),
    key("fleet.listen", Address, NoDefault("\"127.0.0.1:7072\""), "fleet.listen", "listen address for other members: UDP datagrams and, with voters, TCP connections; if not set, the process runs standalone"),
    key("fleet.address", Address, NoDefault("\"127.0.0.1:7072\""), "fleet.address", "address by which other members reach it, if it differs from fleet.listen"),
    key("fleet.seeds", Addresses, Is("[]"), "fleet.seeds", "addresses of some other members, contacted at start; three in different zones are enough"),
    key("fleet.voters", Names, Is("[]"), "fleet.voters", "names of the 3, 5 or 7 voters, in different zones; the same in all processes; voters need state.dir"),
    key("fleet.round_trip", Time(1000), Is("\"25ms\""), "fleet.round_trip", "longest round trip of a datagram and its answer in normal operation; the same in all processes"),
    key("place.zone", Text, Required, "settings.myZone", "the zone that it runs in, one of place.zones"),
    key("place.zones", Names, Required, "settings.areas", "the zones of the deployment"),
    key("place.kinds", Names, Is("[]"), "settings.kinds", "machine kinds as discovery names them"),
    key("place.tier", Whole(0, 100), Is("0"), "settings.stage", "the tier that it sends to; tier 0 receives the clients' requests"),
    key("place.tiers", Whole(1, 100), Is("1"), "settings.tiers", "number of tiers in the deployment"),
    key("place.balancers", Whole(1, 1_000_000), Is("1"), "settings.balancers", "number of sidecars that share the same endpoints, including this one"),
    key("place.number", Whole(0, 999_999), Is("0"), "settings.me", "this sidecar's index among them, from 0"),
    key("limits.max_attempts", Whole(1, 1000), Is("3"), "settings.limits.maxAttempts", "maximum number of attempts per request, including the first"),
    key("limits.second_copies", Flag, Is("false"), "settings.limits.secondCopies", "whether requests may be hedged: a second attempt sent while the first is in flight"),
    key("limits.cancelling", Flag, Is("true"), "settings.limits.cancelling", "whether cancelling an attempt closes its connection"),
    key("limits.retry_after", Flag, Is("true"), "settings.limits.retryAfter", "whether a refusal has a Retry-After header"),
    key("limits.max_retry_after", Time(0), Is("\"1s\""), "settings.limits.maxRetryAfterMs", "maximum delay in that header"),
    key("limits.connect_timeout", Time(1000), Is("\"250ms\""), "settings.limits.connectTimeoutMs", "time-out for connecting to an endpoint"),
    key("limits.idle_close", Time(0), Is("\"60s\""), "settings.limits.idleCloseMs", "time after which endpoints close an idle connection; 0s: unknown"),
    key("limits.over_share_worth", Number(0.0, 1.0), Is("1.0"), "settings.overShareWorth", "worth of a request beyond its tenant's share, as a fraction of its usual worth"),
    key("rules.ask_within", Time(0), Is("\"10s\""), "settings.rules.askWithinMs", "discovery must have been asked or watched within this time"),
    key("rules.cold_share", Number(0.0, 1.0), Is("0.25"), "settings.rules.coldShare", "fraction of its full capacity that an endpoint has at the beginning of slow start"),
    key("rules.warm_within", Time(1000), Is("\"10s\""), "settings.rules.warmWithinMs", "duration of slow start, after which an endpoint has its full capacity"),
    key("rules.drain_grace", Time(0), Is("\"250ms\""), "settings.rules.drainGraceMs", "an endpoint receives no new requests from this time after the notification to drain"),
    key("rules.fall_multiple", Number(1.0, 1e6), Is("2.0"), "settings.rules.fallMultiple", "an endpoint in slow start fails at this multiple of its current capacity"),
    key("rules.fall_after", Time(1000), Is("\"1s\""), "settings.rules.fallMs", "... if the overload lasts this long"),
    key("rules.answer_grace", Time(0), Is("\"10ms\""), "settings.rules.graceToAnswerMs", "how long after its deadline an answer may come"),
];

/// The keys of each `[[class]]`: a class of requests, named by the first segment of their path.
#[rustfmt::skip]
pub const CLASS_KEYS: &[Key] = &[
    key("name", Text, Required, "name", "its name, the first segment of a request's path"),
    key("repeats", Word(&["safe", "keyed", "never"]), Required, "semantics", "whether a request that may have been executed may be sent again"),
    key("group", Word(&["all", "zone", "cell"]), Is("\"all\""), "group", "for keyed requests: which endpoints share idempotency keys"),
    key("window", Time(0), Is("\"0s\""), "repeatWindowMs", "for how long they remember keys"),
    key("wanted", Time(1000), Required, "objectiveMs", "an answer within this time has its full worth"),
    key("deadline", Time(1000), Required, "deadlineMs", "time after which the client gives up"),
    key("worth", Number(0.0, 1e12), Is("1.0"), "worth", "worth per unit of work, relative to other classes"),
    key("late_value", Number(0.0, 1.0), Is("0.0"), "lateValue", "worth of an answer after `wanted`, as a fraction of that"),
];

/// The keys of each `[[tenant]]`.
#[rustfmt::skip]
pub const TENANT_KEYS: &[Key] = &[
    key("name", Text, Required, "name", "its name, as clients send it"),
    key("allowance_per_s", Number(0.0, 1e12), Required, "allowancePerS", "its share, in requests per second over the whole deployment"),
    key("portion", Number(0.0, 1.0), Is("1.0"), "portion", "its share as a fraction of all traffic"),
];

/// The arrays of tables, with the keys of each.
pub const TABLES: &[(&str, &[Key])] = &[("class", CLASS_KEYS), ("tenant", TENANT_KEYS)];

/// Names of sections that are reserved for features that do not exist yet.
pub const RESERVED: &[&str] = &["zones", "duties"];

/// The keys that a reload applies to the running process; all others need a restart.
pub const RELOADABLE: &[&str] = &["discovery.address", "log.level"];

impl Kind {
    /// Describes the accepted values, as the remedy of a fault.
    pub fn remedy(self) -> String {
        match self {
            Text => "write some text in quotes".to_owned(),
            Address => "write an address and port, such as \"127.0.0.1:7070\"".to_owned(),
            Hex => "write up to 16 hexadecimal digits in quotes".to_owned(),
            Whole(min, max) => format!("write a whole number from {min} to {max}"),
            Number(min, max) => format!("write a number from {min} to {max}"),
            Flag => "write true or false".to_owned(),
            Time(0) => "write a time with its unit in quotes, such as \"250ms\"".to_owned(),
            Time(_) => "write a time above zero with its unit in quotes, such as \"250ms\"".to_owned(),
            Word(words) => format!("write one of \"{}\"", words.join("\", \"")),
            Addresses => "write a list of addresses and ports, none twice, such as [\"127.0.0.1:7072\"]".to_owned(),
            Names => "write a list of names, none twice, such as [\"a\", \"b\"]".to_owned(),
            Level => "write error, warn, info, debug or trace, or such for targets, as \"info,gullpulley::net=debug\""
                .to_owned(),
        }
    }
}

/// A commented example with every key; the required ones have values for a trial on one machine.
pub fn example() -> String {
    let mut text = String::from(
        "# gullpulley: an operator's configuration. Keys that are commented out show their defaults.\n\
         # Durations have units (\"250ms\", \"2s\"). Keys marked (*) change at SIGHUP, all others at the next start.\n\
         # An environment variable overrides the file: GULLPULLEY_LOG__LEVEL for log.level.\n\n",
    );
    let mut section = "";
    for key in KEYS {
        let (key_section, name) = key.path.rsplit_once('.').unwrap_or(("", key.path));
        if key_section != section {
            text += &format!("\n[{key_section}]\n");
            section = key_section;
        }
        text += &entry(key, name, example_value(key.path), "");
    }
    text += "\n# A class of requests; one [[class]] for each.\n[[class]]\n";
    for key in CLASS_KEYS {
        text += &entry(key, key.path, example_value(&format!("class.{}", key.path)), "");
    }
    text += "\n# A tenant; one [[tenant]] for each, or none at all.\n# [[tenant]]\n";
    for key in TENANT_KEYS {
        text += &entry(key, key.path, example_value(&format!("tenant.{}", key.path)), "# ");
    }
    text
}

/// The line of a key; `prefix` precedes a required key, and optional keys are commented out.
fn entry(key: &Key, name: &str, example_value: &str, prefix: &'static str) -> String {
    let (prefix, value) = match key.default {
        Required => (prefix, example_value),
        NoDefault(value) | Is(value) => ("# ", value),
    };
    let assignment = format!("{prefix}{name} = {value}");
    format!("{assignment:<40} # {}\n", key.description)
}

/// The example's value of a required key.
fn example_value(path: &str) -> &'static str {
    match path {
        "listen.clients" => "\"127.0.0.1:7070\"",
        "discovery.address" => "\"127.0.0.1:8500\"",
        "place.zone" => "\"a\"",
        "place.zones" => "[\"a\"]",
        "class.name" => "\"quote\"",
        "tenant.name" => "\"acme\"",
        "class.repeats" => "\"safe\"",
        "class.wanted" => "\"1s\"",
        "class.deadline" => "\"3s\"",
        "tenant.allowance_per_s" => "100.0",
        _ => "\"front\"",
    }
}
