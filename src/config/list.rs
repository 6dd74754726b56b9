//! The endpoint list as discovery words it; a configuration carries the one last held.

use serde::Deserialize;
use std::net::SocketAddr;

/// A list as discovery words it.
#[derive(Debug, Default, Deserialize)]
pub struct List {
    /// Its version; grows with each change.
    pub rev: u64,
    /// The whole list, not only what has changed.
    pub all: bool,
    /// Its entries.
    pub targets: Vec<Target>,
}

/// An endpoint as discovery words it.
#[derive(Debug, Deserialize)]
pub struct Target {
    /// The endpoint's name, the same for all sidecars.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its machine kind.
    #[serde(default)]
    pub model: String,
    /// The small group that it shares repeat keys with.
    #[serde(default)]
    pub pod_group: u64,
    /// Its state.
    pub state: State,
    /// Its nominal capacity, 1 being usual.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When it last started, in milliseconds of Unix time; 0 where that was long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// An endpoint's state as discovery words it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes requests.
    Up,
    /// Completes what it holds, and takes nothing new.
    Draining,
    /// Gone; only among changes.
    Removed,
}
