//! What there is: zones, links, endpoints by kind, tenants, classes, what clients send, how the list travels.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// A zone and what stands in it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Copies of the program.
    pub copies: usize,
    /// Endpoints by kind.
    pub endpoints: BTreeMap<String, usize>,
}

/// What lies between two zones.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two zones; both ways are alike.
    pub between: [String; 2],
    /// One way.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
}

/// A kind of endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The number of the tier that it belongs to.
    #[serde(default)]
    pub tier: usize,
    /// Requests that it works on at once.
    pub cores: usize,
    /// Speed of a core; 1 does a class's work in its stated time.
    #[serde(default = "whole")]
    pub speed: f64,
    /// Requests that may wait beside those being worked on; one more is turned away.
    pub waiting: usize,
    /// Part of its speed with which it starts.
    #[serde(default = "quarter")]
    pub cold_share: f64,
    /// It has its whole speed after this.
    #[serde(default = "five", with = "humantime_serde")]
    pub warm_within: Duration,
    /// A cold one that is sent this many times what it can do ...
    #[serde(default = "four")]
    pub fall_multiple: f64,
    /// ... for so long falls over.
    #[serde(default = "three", with = "humantime_serde")]
    pub fall_after: Duration,
    /// It stands still this often, each at times of its own; 0 for never ...
    #[serde(default, with = "humantime_serde")]
    pub stall_every: Duration,
    /// ... and for so long.
    #[serde(default, with = "humantime_serde")]
    pub stall_for: Duration,
    /// With more than this many requests for each core, for `crowd_for`, its work takes `crowd_slow` times as long
    /// until it was idle for `crowd_for`; 0 for never.
    #[serde(default)]
    pub crowd: f64,
    /// By how much a crowded one slows down.
    #[serde(default = "whole")]
    pub crowd_slow: f64,
    /// For how long a crowd lasts before it slows down, and idleness before it recovers.
    #[serde(default = "second", with = "humantime_serde")]
    pub crowd_for: Duration,
    /// Connections that it holds; one more is closed at once. 0 for no cap.
    #[serde(default)]
    pub connections: usize,
    /// Work of a core that a new connection costs.
    #[serde(default, with = "humantime_serde")]
    pub handshake: Duration,
    /// Endpoints of a zone and kind that share a cell, for keyed repeats; 0 for all.
    #[serde(default)]
    pub cell: usize,
}

/// A tier. Each endpoint of one has a copy of its own, through which it calls the next, one call after another.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// The part of a class's work that is done here for each call.
    pub work: f64,
    /// Calls of it that a request of the tier before makes, on average.
    #[serde(default = "whole")]
    pub calls: f64,
}

/// A copy as an experiment has it.
#[derive(Clone, Debug, PartialEq)]
pub struct DescribedCopy {
    /// Its name: `ZONE-NUMBER`, or `ZONE-KIND-NUMBER` beside an endpoint.
    pub name: String,
    /// Its zone's number.
    pub zone: usize,
    /// The tier that it sends to.
    pub tier: usize,
    /// Its number among those of its tier.
    pub number: usize,
    /// The number of the endpoint that it belongs to; none where it takes clients.
    pub beside: Option<usize>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Its allowance in requests a second, for the copies' configuration.
    pub allowance_per_s: f64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name: the first part of the path.
    pub name: String,
    /// `safe`, `keyed` or `never`.
    pub repeats: Repeats,
    /// Which endpoints know each other's keys.
    #[serde(default)]
    pub group: Group,
    /// For how long.
    #[serde(default, with = "humantime_serde")]
    pub window: Duration,
    /// Its part of all requests.
    pub share: f64,
    /// The mean of its work on a core of speed 1.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// How the work spreads ...
    #[serde(default)]
    pub distribution: Spread,
    /// ... and how far, where that is log-normal: its sigma.
    #[serde(default = "third")]
    pub spread: f64,
    /// What it waits for others besides, without a core but in its place.
    #[serde(default, with = "humantime_serde")]
    pub waits: Duration,
    /// An answer within this is worth its worth.
    #[serde(with = "humantime_serde")]
    pub wanted: Duration,
    /// After this the client gives up.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Worth of a request.
    #[serde(default = "whole")]
    pub worth: f64,
}

/// How work spreads.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// As a product of many small influences does.
    #[default]
    LogNormal,
    /// As waiting for something that comes at random does.
    Exponential,
    /// Not at all.
    Fixed,
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    /// At any time.
    Safe,
    /// Where its key is known.
    Keyed,
    /// Never, once it may have run.
    Never,
}

/// Which endpoints know each other's keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All.
    #[default]
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// An endpoint as an experiment has it.
#[derive(Clone, Debug)]
pub struct Described<'a> {
    /// Its name: `ZONE/KIND-NUMBER`.
    pub name: String,
    /// Its zone's number.
    pub zone: usize,
    /// Its cell's number.
    pub cell: usize,
    /// Its kind.
    pub kind: &'a Kind,
}

/// What clients send.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second at the start.
    pub rate: f64,
    /// From a time on, another rate.
    #[serde(default)]
    pub step: Vec<Step>,
    /// For a time, a multiple of the rate.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// The requests of an earlier run in place of all these: its `results.jsonl`.
    #[serde(default)]
    pub trace: Option<PathBuf>,
    /// Arrivals: independent of each other, or evenly spaced.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Part of the clients that leave early, each at a time of its own within half of its deadline.
    #[serde(default)]
    pub leaving: f64,
    /// Times that a client asks again after a failure or a refusal.
    #[serde(default)]
    pub retries: u32,
    /// For how long the front goes on sending to a dead copy.
    #[serde(default = "second", with = "humantime_serde")]
    pub front_lag: Duration,
}

/// Another rate from a time on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// From when.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Requests a second.
    pub rate: f64,
}

/// A multiple of the rate for a time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// From when.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// How many times the rate.
    pub times: f64,
}

/// How requests come.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Independent of each other.
    #[default]
    Poisson,
    /// Evenly spaced.
    Even,
}

/// How the list reaches the copies.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// A change is told so much later.
    #[serde(default, with = "humantime_serde")]
    pub late: Duration,
    /// What it takes to tell a line of the list. It does so for one caller after the other; 0 for no time at all.
    #[serde(default, with = "humantime_serde")]
    pub per_line: Duration,
    /// What it takes to take a call, besides the lines that it is told; in the same queue.
    #[serde(default, with = "humantime_serde")]
    pub per_call: Duration,
    /// A call that has waited for its turn for so long is answered with 503.
    #[serde(default = "second", with = "humantime_serde")]
    pub patience: Duration,
    /// What becomes of a call's work once it was answered with 503 or its caller left.
    #[serde(default)]
    pub abandoned: Abandoned,
    /// How calls end while discovery is down.
    #[serde(default)]
    pub while_down: WhileDown,
    /// For rule 3 a change counts as told to a copy so long after discovery had it and could be reached, or once it was
    /// written to it, whichever is earlier.
    #[serde(default, with = "humantime_serde")]
    pub told_after: Duration,
    /// Lists come in many lines rather than one.
    #[serde(default)]
    pub indented: bool,
    /// Lists come in pieces of so many bytes; 0 for whole.
    #[serde(default)]
    pub pieces: usize,
}

/// What becomes of work that nobody waits for any more.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Abandoned {
    /// It is done in its turn all the same.
    Served,
    /// It leaves the queue, unless it has begun.
    #[default]
    Dropped,
}

/// How calls end while discovery is down.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhileDown {
    /// With 503 at once.
    #[default]
    Refused,
    /// With 503 after the patience, also where discovery has returned by then.
    Waits,
    /// Nothing listens: connections are refused, and those that were open are closed.
    RefusesConnections,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            late: Duration::ZERO,
            per_line: Duration::ZERO,
            per_call: Duration::ZERO,
            patience: second(),
            abandoned: Abandoned::default(),
            while_down: WhileDown::default(),
            told_after: Duration::ZERO,
            indented: false,
            pieces: 0,
        }
    }
}

fn whole() -> f64 {
    1.0
}

fn quarter() -> f64 {
    0.25
}

fn third() -> f64 {
    0.33
}

fn four() -> f64 {
    4.0
}

fn second() -> Duration {
    Duration::from_secs(1)
}

fn three() -> Duration {
    Duration::from_secs(3)
}

fn five() -> Duration {
    Duration::from_secs(5)
}
