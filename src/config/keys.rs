//! Every key that an operator may write: what it takes, what stands there unsaid, what it says. The check of a
//! file, the example, and what `config show` prints all come from these tables.

/// What a key takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Some text.
    Text,
    /// An address and port.
    Address,
    /// Up to 16 hexadecimal digits.
    Hex,
    /// A whole number within these bounds.
    Whole(u64, u64),
    /// A number within these bounds.
    Number(f64, f64),
    /// `true` or `false`.
    Flag,
    /// A time with its unit, of at least so many microseconds.
    Time(u64),
    /// One of these words.
    Word(&'static [&'static str]),
    /// A list of names, none twice.
    Names,
    /// A list of addresses and ports, none twice.
    Addresses,
    /// A level, or levels by target.
    Level,
}

/// What holds where a key is not written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// It must be written.
    Required,
    /// There is none; the example shows this.
    None(&'static str),
    /// This, as it would be written.
    Is(&'static str),
}

/// A key and what may stand there.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its path, as `section.key`.
    pub path: &'static str,
    /// What it takes.
    pub kind: Kind,
    /// What holds without it.
    pub default: DefaultValue,
    /// Where the platform's JSON says the same.
    pub json: &'static str,
    /// What it says, in a line.
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

use DefaultValue::{Is, None as Nothing, Required};
use Kind::*;

/// The keys that stand once.
#[rustfmt::skip] // a table, read by its columns
pub const KEYS: &[Key] = &[
    key("name", Text, Required, "name", "this sidecar's name: in its log and in the names of files that it keeps"),
    key("seed", Hex, Nothing("\"8c1f30d27a5be964\""), "seed", "for random numbers; without it new at each start"),
    key("listen.clients", Address, Required, "listen", "where clients connect"),
    key("listen.operators", Address, Nothing("\"127.0.0.1:7071\""), "control", "the operators' door; without it there is none"),
    key("discovery.address", Address, Required, "discovery", "where the endpoint list comes from (*)"),
    key("discovery.mode", Word(&["watch", "ask"]), Is("\"watch\""), "settings.discovery", "a watch that is always up, or one that is asked for"),
    key("process.memory_mib", Whole(16, 1 << 24), Is("192"), "limits.memory_mb", "memory that it may use, in MiB"),
    key("process.sockets", Whole(1, 1 << 24), Is("1024"), "limits.sockets", "descriptors that it may hold"),
    key("log.level", Level, Is("\"info\""), "log.level", "error, warn, info, debug or trace; or by target, as \"info,gullpulley::net=debug\" (*)"),
    key("log.format", Word(&["text", "json"]), Is("\"text\""), "log.format", "text for people, or a JSON object a line"),
    key("state.dir", Text, Nothing("\"/var/lib/gullpulley\""), "state.dir", "a folder of this sidecar's own for what must outlive the process; without it nothing is kept"),
    key("fleet.cluster", Text, Nothing("\"render\""), "fleet.cluster", "the fleet that this process is one of: processes hear only those of their own"),
    key("fleet.listen", Address, Nothing("\"127.0.0.1:7072\""), "fleet.listen", "where others reach it: datagrams (UDP) and, with voters, connections (TCP); without it this process stays by itself"),
    key("fleet.address", Address, Nothing("\"127.0.0.1:7072\""), "fleet.address", "by which address the others reach it, if not by that"),
    key("fleet.seeds", Addresses, Is("[]"), "fleet.seeds", "where some others may be found at a start; three in different zones will do"),
    key("fleet.voters", Names, Is("[]"), "fleet.voters", "names of the 3, 5 or 7 processes that agree for all, in different zones; alike in all; these need state.dir"),
    key("fleet.round_trip", Time(1000), Is("\"25ms\""), "fleet.round_trip", "the longest that a datagram and its answer take on a good day; alike in all processes"),
    key("place.zone", Text, Required, "settings.myZone", "the zone that it runs in, one of place.zones"),
    key("place.zones", Names, Required, "settings.areas", "the zones of the deployment"),
    key("place.kinds", Names, Is("[]"), "settings.kinds", "machine kinds as discovery names them"),
    key("place.tier", Whole(0, 100), Is("0"), "settings.stage", "the tier that it sends to; 0 takes the clients' requests"),
    key("place.tiers", Whole(1, 100), Is("1"), "settings.tiers", "tiers of the deployment"),
    key("place.balancers", Whole(1, 1_000_000), Is("1"), "settings.balancers", "sidecars before the same endpoints, this one included"),
    key("place.number", Whole(0, 999_999), Is("0"), "settings.me", "this one's number among them, from 0"),
    key("limits.max_attempts", Whole(1, 1000), Is("3"), "settings.limits.maxAttempts", "attempts for a request at most, the first included"),
    key("limits.second_copies", Flag, Is("false"), "settings.limits.secondCopies", "whether a second attempt may go out while the first runs"),
    key("limits.cancelling", Flag, Is("true"), "settings.limits.cancelling", "whether giving up an attempt closes its connection"),
    key("limits.retry_after", Flag, Is("true"), "settings.limits.retryAfter", "whether a refusal says when to come back"),
    key("limits.max_retry_after", Time(0), Is("\"1s\""), "settings.limits.maxRetryAfterMs", "the longest wait that it says"),
    key("limits.connect_timeout", Time(1000), Is("\"250ms\""), "settings.limits.connectTimeoutMs", "a connection to an endpoint that is not up by then has failed"),
    key("limits.idle_close", Time(0), Is("\"60s\""), "settings.limits.idleCloseMs", "endpoints close a connection that idles for so long; 0s: unknown"),
    key("limits.over_share_worth", Number(0.0, 1.0), Is("1.0"), "settings.overShareWorth", "worth of a request beyond its tenant's share, as a part of its usual worth"),
    key("rules.ask_within", Time(0), Is("\"10s\""), "settings.rules.askWithinMs", "discovery must have been asked or watched within this"),
    key("rules.cold_share", Number(0.0, 1.0), Is("0.25"), "settings.rules.coldShare", "part of its capacity with which an endpoint starts"),
    key("rules.warm_within", Time(1000), Is("\"10s\""), "settings.rules.warmWithinMs", "an endpoint has its full capacity after this"),
    key("rules.drain_grace", Time(0), Is("\"250ms\""), "settings.rules.drainGraceMs", "nothing new goes to an endpoint so long after it was told to drain"),
    key("rules.fall_multiple", Number(1.0, 1e6), Is("2.0"), "settings.rules.fallMultiple", "a cold endpoint falls over at this multiple of what it can do"),
    key("rules.fall_after", Time(1000), Is("\"1s\""), "settings.rules.fallMs", "... if that lasts so long"),
    key("rules.answer_grace", Time(0), Is("\"10ms\""), "settings.rules.graceToAnswerMs", "how much later than its time an answer may come"),
];

/// The keys of each `[[class]]`: a class of requests, named by the first part of their path.
#[rustfmt::skip]
pub const CLASS_KEYS: &[Key] = &[
    key("name", Text, Required, "name", "its name: the first part of a request's path"),
    key("repeats", Word(&["safe", "keyed", "never"]), Required, "semantics", "whether a request that may have run may be sent again"),
    key("group", Word(&["all", "zone", "cell"]), Is("\"all\""), "group", "which endpoints know each other's keys, for keyed ones"),
    key("window", Time(0), Is("\"0s\""), "repeatWindowMs", "for how long they know them"),
    key("wanted", Time(1000), Required, "objectiveMs", "an answer within this is worth its full worth"),
    key("deadline", Time(1000), Required, "deadlineMs", "after this the client has given up"),
    key("worth", Number(0.0, 1e12), Is("1.0"), "worth", "worth of a unit of its work, beside the other classes'"),
    key("late_value", Number(0.0, 1.0), Is("0.0"), "lateValue", "what a late answer is worth, as a part of that"),
];

/// The keys of each `[[tenant]]`.
#[rustfmt::skip]
pub const TENANT_KEYS: &[Key] = &[
    key("name", Text, Required, "name", "its name, as clients send it"),
    key("allowance_per_s", Number(0.0, 1e12), Required, "allowancePerS", "its share, in requests a second of the whole deployment"),
    key("portion", Number(0.0, 1.0), Is("1.0"), "portion", "its share as a part of all traffic"),
];

/// Lists of tables, and the keys of each.
pub const TABLES: &[(&str, &[Key])] = &[("class", CLASS_KEYS), ("tenant", TENANT_KEYS)];

/// Sections of parts that do not exist yet.
pub const RESERVED: &[&str] = &["zones", "duties"];

/// What may change while the process runs; all else needs a restart.
pub const RELOADABLE: &[&str] = &["discovery.address", "log.level"];

impl Kind {
    /// What would be right.
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

/// A commented file with every key, the required ones filled in for a trial on one machine.
pub fn example() -> String {
    let mut text = String::from(
        "# gullpulley: an operator's configuration. Keys that are commented out show what holds without them.\n\
         # Times have units (\"250ms\", \"2s\"). Keys marked (*) change at SIGHUP, all others at the next start.\n\
         # A variable wins over the file: GULLPULLEY_LOG__LEVEL for log.level.\n\n",
    );
    let mut section = "";
    for key in KEYS {
        let (of, name) = key.path.rsplit_once('.').unwrap_or(("", key.path));
        if of != section {
            text += &format!("\n[{of}]\n");
            section = of;
        }
        text += &entry(key, name, trial(key.path), "");
    }
    text += "\n# A class of requests; one [[class]] for each.\n[[class]]\n";
    for key in CLASS_KEYS {
        text += &entry(key, key.path, trial(&format!("class.{}", key.path)), "");
    }
    text += "\n# A tenant; one [[tenant]] for each, or none at all.\n# [[tenant]]\n";
    for key in TENANT_KEYS {
        text += &entry(key, key.path, trial(&format!("tenant.{}", key.path)), "# ");
    }
    text
}

/// A key's line; `mark` stands before one that is required.
fn entry(key: &Key, name: &str, trial: &str, mark: &'static str) -> String {
    let (mark, value) = match key.default {
        Required => (mark, trial),
        Nothing(value) | Is(value) => ("# ", value),
    };
    let written = format!("{mark}{name} = {value}");
    format!("{written:<40} # {}\n", key.description)
}

/// What the example says where something must be said.
fn trial(path: &str) -> &'static str {
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
