//! What has come of discovery: when there was last word of it, and what became of each call. Counted here
//! once, where the fact occurs, for the operators to read.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::{Registry, Unit};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What became of a call at discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200; what follows on a watch is no call any more.
    Answered,
    /// 503: it has no room, or waited for too long.
    Unavailable,
    /// Any other status.
    OtherStatus,
    /// No connection or no answer in time.
    TimedOut,
    /// The connection was refused, or nothing leads there.
    NotConnected,
    /// The connection was reset, closed, or brought what is no answer.
    Broken,
}

/// Every way for a call to end, with its name in the report, in the order of the enum.
const OUTCOMES: [(Outcome, &str); 6] = [
    (Outcome::Answered, "answered"),
    (Outcome::Unavailable, "unavailable"),
    (Outcome::OtherStatus, "other_status"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::NotConnected, "not_connected"),
    (Outcome::Broken, "broken"),
];

impl Outcome {
    /// Its name in log and figures.
    pub fn name(self) -> &'static str {
        OUTCOMES[self as usize].1
    }
}

/// What one process has heard of discovery.
pub struct DiscoveryHealth {
    /// When a watch last brought anything; the start where none ever did.
    heard_at: Cell<Instant>,
    calls: [Cell<u64>; OUTCOMES.len()],
}

impl DiscoveryHealth {
    /// Nothing heard yet.
    pub fn new() -> Rc<Self> {
        Rc::new(DiscoveryHealth { heard_at: Cell::new(Instant::now()), calls: Default::default() })
    }

    /// A watch has brought something, be it an empty line.
    pub fn heard(&self) {
        self.heard_at.set(Instant::now());
    }

    /// For how long no watch has brought anything.
    pub fn unheard(&self) -> Duration {
        self.heard_at.get().elapsed()
    }

    /// A call has ended.
    pub fn called(&self, outcome: Outcome) {
        let count = &self.calls[outcome as usize];
        count.set(count.get() + 1);
    }

    /// Adds its figures.
    pub fn register(&self, registry: &mut Registry) {
        let discovery = registry.sub_registry_with_prefix("discovery");
        let age = ConstGauge::new(self.unheard().as_secs_f64());
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
