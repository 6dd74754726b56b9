//! What is injected, as text in one environment variable: `key=value` pairs separated by semicolons.

use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// The variable that holds the plan.
pub const VARIABLE: &str = "FAULT_PLAN";

/// The library's file, beside the lab's programs.
pub const LIBRARY: &str = "libgullpulley_faults.so";

/// A time of the process's life, from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// When it begins.
    pub from: Duration,
    /// When it is over.
    pub to: Duration,
}

impl Span {
    /// Whether a time lies in it.
    pub fn holds(&self, at: Duration) -> bool {
        (self.from..self.to).contains(&at)
    }
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// When, from the process's start.
    pub at: Duration,
    /// By how many milliseconds, forward or back, beside the steps before it.
    pub by_ms: i64,
}

/// What is injected into a process. Parts are of all calls of a kind, from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// For all draws.
    pub seed: u64,
    /// Where each injected fault is noted; nowhere where this is empty.
    pub log: String,
    /// When calls on sockets and waits fail; all the time where there is none.
    pub during: Option<Span>,
    /// `accept` fails: `ECONNABORTED`, `ENFILE`, `ENOBUFS`, `EINTR`.
    pub accept: f64,
    /// `socket` fails: `ENFILE`, `ENOBUFS`.
    pub socket: f64,
    /// `connect` fails: `EADDRNOTAVAIL`, `ENETUNREACH`, `ENOBUFS`.
    pub connect: f64,
    /// `epoll_wait` returns `EINTR`.
    pub wait: f64,
    /// A read of a socket brings no more than some bytes.
    pub short_read: f64,
    /// A write to a socket takes no more than half.
    pub short_write: f64,
    /// A connection that the process made breaks: `ETIMEDOUT`, `EHOSTUNREACH`, `ECONNRESET`.
    pub broken: f64,
    /// A write to a socket is held up for up to 0.15 s before it is made.
    pub hold_up: f64,
    /// Writes, syncs, renames and new files fail within these times: `ENOSPC`, `EIO`.
    pub disk: Vec<Span>,
    /// Steps of the wall clock.
    pub clock: Vec<ClockStep>,
}

/// Why a text is no plan.
#[derive(Debug, Error, PartialEq)]
pub enum PlanError {
    /// There is no such key.
    #[error("faults: there is no `{0}`")]
    UnknownKey(String),
    /// A key has no value.
    #[error("faults: `{0}` is no key=value")]
    NoValue(String),
    /// A value can't be read or is out of its range.
    #[error("faults: {0}: `{1}` is no {2}")]
    Value(String, String, &'static str),
}

impl FromStr for Plan {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        let mut plan = Plan::default();
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').ok_or_else(|| PlanError::NoValue(pair.to_owned()))?;
            plan.set(key, value)?;
        }
        Ok(plan)
    }
}

impl Plan {
    fn set(&mut self, key: &str, value: &str) -> Result<(), PlanError> {
        let wrong = |wanted| PlanError::Value(key.to_owned(), value.to_owned(), wanted);
        match key {
            "seed" => self.seed = value.parse().map_err(|_| wrong("whole number"))?,
            "log" => value.clone_into(&mut self.log),
            "during" => self.during = Some(span(value).ok_or_else(|| wrong("span of milliseconds"))?),
            "disk" => {
                let spans: Option<Vec<Span>> = value.split(',').map(span).collect();
                self.disk = spans.ok_or_else(|| wrong("list of spans of milliseconds"))?;
            }
            "clock" => {
                let steps: Option<Vec<ClockStep>> = value.split(',').map(step).collect();
                self.clock = steps.ok_or_else(|| wrong("list of steps in milliseconds"))?;
            }
            _ => {
                let part = self.part(key).ok_or_else(|| PlanError::UnknownKey(key.to_owned()))?;
                let given = value.parse().ok().filter(|part| (0.0..=1.0).contains(part));
                *part = given.ok_or_else(|| wrong("part from 0 to 1"))?;
            }
        }
        Ok(())
    }

    fn part(&mut self, key: &str) -> Option<&mut f64> {
        self.parts().into_iter().find(|(name, _)| *name == key).map(|(_, part)| part)
    }

    fn parts(&mut self) -> [(&'static str, &mut f64); 8] {
        [
            ("accept", &mut self.accept),
            ("socket", &mut self.socket),
            ("connect", &mut self.connect),
            ("wait", &mut self.wait),
            ("short_read", &mut self.short_read),
            ("short_write", &mut self.short_write),
            ("broken", &mut self.broken),
            ("hold_up", &mut self.hold_up),
        ]
    }

    /// It as the variable holds it.
    pub fn text(&self) -> String {
        let mut plan = self.clone();
        let mut text = format!("seed={};log={}", self.seed, self.log);
        let span = |span: &Span| format!("{}-{}", span.from.as_millis(), span.to.as_millis());
        for (name, part) in plan.parts() {
            let _ = write!(text, ";{name}={part}"); // into a text, which takes it
        }
        if let Some(during) = &self.during {
            let _ = write!(text, ";during={}", span(during));
        }
        if !self.disk.is_empty() {
            let spans: Vec<String> = self.disk.iter().map(span).collect();
            let _ = write!(text, ";disk={}", spans.join(","));
        }
        if !self.clock.is_empty() {
            let steps = self.clock.iter().map(|step| format!("{}:{}", step.at.as_millis(), step.by_ms));
            let _ = write!(text, ";clock={}", steps.collect::<Vec<_>>().join(","));
        }
        text
    }

    /// How far the wall clock is off at a time, in milliseconds.
    pub fn clock_off_ms(&self, at: Duration) -> i64 {
        self.clock.iter().filter(|step| step.at <= at).map(|step| step.by_ms).sum()
    }
}

/// `FROM-TO` in milliseconds.
fn span(text: &str) -> Option<Span> {
    let (from, to) = text.split_once('-')?;
    let ms = |text: &str| text.parse().ok().map(Duration::from_millis);
    Some(Span { from: ms(from)?, to: ms(to)? })
}

/// `AT:BY` in milliseconds.
fn step(text: &str) -> Option<ClockStep> {
    let (at, by) = text.split_once(':')?;
    Some(ClockStep { at: Duration::from_millis(at.parse().ok()?), by_ms: by.parse().ok()? })
}
