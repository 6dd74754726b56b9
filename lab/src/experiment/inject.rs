//! What is injected into the copies' system calls and clocks.

use crate::plan::{ClockStep, Plan, Span};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// Faults that the interposing library lets strike inside each copy. Parts are of all calls of a kind, from 0 to 1.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inject {
    /// `accept` fails: `ECONNABORTED`, `ENFILE`, `ENOBUFS`, `EINTR`.
    pub accept: f64,
    /// `socket` fails: `ENFILE`, `ENOBUFS`.
    pub socket: f64,
    /// `connect` fails: `EADDRNOTAVAIL`, `ENETUNREACH`, `ENOBUFS`.
    pub connect: f64,
    /// `epoll_wait` returns `EINTR`.
    pub wait: f64,
    /// A read of a socket brings no more than 40 bytes.
    pub short_read: f64,
    /// A write to a socket takes no more than half.
    pub short_write: f64,
    /// A connection that the copy made breaks: `ETIMEDOUT`, `EHOSTUNREACH`, `ECONNRESET`.
    pub broken: f64,
    /// A write to a socket is held up for up to 0.15 s.
    pub hold_up: f64,
    /// Calls on sockets and waits fail only within this time of each process; always where nothing is said.
    pub during: Option<Window>,
    /// When writes, syncs, renames and new files fail: `ENOSPC`, `EIO`.
    pub disk: Vec<Window>,
    /// Steps of the wall clock.
    pub clock: Vec<Step>,
}

/// A time of a process's life.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// When it begins, from the process's start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, from the process's start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Forward by this ...
    #[serde(default, with = "humantime_serde")]
    pub forward: Duration,
    /// ... and back by this.
    #[serde(default, with = "humantime_serde")]
    pub back: Duration,
}

impl From<&Window> for Span {
    fn from(window: &Window) -> Self {
        Span { from: window.at, to: window.at + window.lasts }
    }
}

impl Inject {
    /// Whether all parts are parts; which is not.
    pub(super) fn fits(&self) -> Result<(), String> {
        let parts = [
            ("accept", self.accept),
            ("socket", self.socket),
            ("connect", self.connect),
            ("wait", self.wait),
            ("short_read", self.short_read),
            ("short_write", self.short_write),
            ("broken", self.broken),
            ("hold_up", self.hold_up),
        ];
        match parts.iter().find(|(_, part)| !(0.0..=1.0).contains(part)) {
            Some((name, part)) => Err(format!("inject: {name} = {part}: say which part, from 0 to 1")),
            None => Ok(()),
        }
    }

    /// The plan for one copy, whose faults are noted in this file.
    pub fn plan(&self, seed: u64, log: &Path) -> Plan {
        let step = |step: &Step| ClockStep {
            at: step.at,
            by_ms: step.forward.as_millis() as i64 - step.back.as_millis() as i64,
        };
        Plan {
            seed,
            log: log.display().to_string(),
            during: self.during.as_ref().map(Span::from),
            accept: self.accept,
            socket: self.socket,
            connect: self.connect,
            wait: self.wait,
            short_read: self.short_read,
            short_write: self.short_write,
            broken: self.broken,
            hold_up: self.hold_up,
            disk: self.disk.iter().map(Span::from).collect(),
            clock: self.clock.iter().map(step).collect(),
        }
    }
}
