//! Metrics of discovery: when data was last received, and the outcomes of calls.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::{Registry, Unit};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The outcome of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200; what follows on a watch no longer counts as part of the call.
    Answered,
    /// 503: discovery has no capacity, or the call waited there for too long.
    Unavailable,
    /// Any other status.
    OtherStatus,
    /// No connection or no answer in time.
    TimedOut,
    /// The connection was refused, or the address is unreachable.
    NotConnected,
    /// The connection was reset or closed, or delivered an invalid answer.
    Broken,
}

/// All outcomes with their names in logs and metrics, in the order of the enum.
const OUTCOMES: [(Outcome, &str); 6] = [
    (Outcome::Answered, "answered"),
    (Outcome::Unavailable, "unavailable"),
    (Outcome::OtherStatus, "other_status"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::NotConnected, "not_connected"),
    (Outcome::Broken, "broken"),
];

impl Outcome {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        OUTCOMES[self as usize].1
    }
}

/// Counts and times of one process's contact with discovery.
pub struct DiscoveryHealth {
    /// When data was last received on a watch; initially the start time.
    last_activity: Cell<Instant>,
    calls: [Cell<u64>; OUTCOMES.len()],
}

impl DiscoveryHealth {
    /// Starts with no calls counted and the current time as the last activity.
    pub fn new() -> Rc<Self> {
        Rc::new(DiscoveryHealth { last_activity: Cell::new(Instant::now()), calls: Default::default() })
    }

    /// Records that a watch received data; an empty line counts too.
    pub fn record_activity(&self) {
        self.last_activity.set(Instant::now());
    }

    /// How long no watch has received any data.
    pub fn idle_time(&self) -> Duration {
        self.last_activity.get().elapsed()
    }

    /// Counts a call that ended.
    pub fn record_call(&self, outcome: Outcome) {
        let count = &self.calls[outcome as usize];
        count.set(count.get() + 1);
    }

    /// Adds these metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let discovery = registry.sub_registry_with_prefix("discovery");
        let age = ConstGauge::new(self.idle_time().as_secs_f64());
        let help = "Since a watch last brought anything, or since the start";
        discovery.register_with_unit("age", help, Unit::Seconds, age);
        let calls = Family::<Vec<(&'static str, &'static str)>, Counter>::default();
        for (outcome, name) in OUTCOMES {
            let count = self.calls[outcome as usize].get();
            calls.get_or_create(&vec![("outcome", name)]).inc_by(count);
        }
        discovery.register("calls", "Calls at discovery that ended", calls);
    }
}
