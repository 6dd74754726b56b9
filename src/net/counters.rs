//! Metrics: counts since the start of the process, each recorded once, where the event occurs. The numbers
//! of endpoints and of unavailable ones come from the policy.

use super::budget::{Budget, Holder, SEGMENT_KIB};
use super::discovery_health::DiscoveryHealth;
use super::early_end::EarlyEnd;
use super::own_memory::own_memory_kib;
use super::peers::Peers;
use super::persistence::Persistence;
use crate::logging::LogHandle;
use gullpulley::BalancerStats;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::{ConstGauge, Gauge};
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::{Registry, Unit};
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::time::Instant;

/// The outcome of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served: 200.
    Completed,
    /// Refused: 429 or 503.
    Rejected,
    /// Any other answer, or none.
    Failed,
}

/// All outcomes of a request, with their names in the report.
const ENDS: [(End, &str); 3] =
    [(End::Completed, "completed"), (End::Rejected, "rejected"), (End::Failed, "failed")];
/// What permits are held for, with the names in the metrics.
const HOLDERS: [(Holder, &str); 6] = [
    (Holder::Client, "client connection"),
    (Holder::Shed, "client connection over the limit"),
    (Holder::Endpoint, "endpoint connection"),
    (Holder::Request, "small request"),
    (Holder::Stream, "large request or answer"),
    (Holder::ReadAhead, "read-ahead segment"),
];
/// The zones of the concurrency windows, in the order of the policy's statistics.
const WINDOWS: [&str; 2] = ["own", "other"];

type Labels = Vec<(&'static str, String)>;

/// The counters of one process.
pub struct Counters {
    classes: Vec<Class>,
    attempts: Cell<u64>,
    pending: Cell<u64>,
    /// Request durations by class and outcome; each class also has direct access to its own.
    durations: Family<Labels, Histogram>,
    decision_times: Histogram,
    /// Large answers that ended early, by reason.
    early_ends: Family<Labels, Counter>,
    /// Attempts at large bodies that were ended before their endpoint answered, by reason.
    upload_ends: Family<Labels, Counter>,
    /// Requests that were not taken as their X-Request-ID was not fresh.
    repeated_ids: Cell<u64>,
    budget: Rc<Budget>,
    log: LogHandle,
    health: Rc<DiscoveryHealth>,
    persistence: Option<Rc<Persistence>>,
    peers: Option<Rc<Peers>>,
}

struct Class {
    name: String,
    ended: [Cell<u64>; ENDS.len()],
    durations: [Histogram; ENDS.len()],
}

/// A request that was accepted and has not ended; counts as pending until it is dropped. One that is
/// dropped without an outcome has lost its client, and is counted under no outcome.
pub struct PendingRequest {
    counters: Rc<Counters>,
    class: usize,
    started: Instant,
}

impl Counters {
    /// Counters at zero.
    pub fn new(
        classes: &[String],
        budget: Rc<Budget>,
        log: LogHandle,
        health: Rc<DiscoveryHealth>,
        persistence: Option<Rc<Persistence>>,
        peers: Option<Rc<Peers>>,
    ) -> Rc<Self> {
        // 1 ms to 16 s, and 1 us to 16 ms: a bucket is precise within a factor of two, or four.
        let durations: Family<Labels, Histogram> =
            Family::new_with_constructor(|| Histogram::new(exponential_buckets(0.001, 2.0, 15)));
        let decision_times = Histogram::new(exponential_buckets(1e-6, 4.0, 8));
        let class = |name: &String| Class {
            name: name.clone(),
            ended: Default::default(),
            durations: ENDS.map(|(_, end)| durations.get_or_create(&labels(name, end)).clone()),
        };
        let (attempts, pending, repeated_ids) = Default::default();
        let classes = classes.iter().map(class).collect();
        Rc::new(Counters {
            classes,
            attempts,
            pending,
            durations,
            decision_times,
            early_ends: Family::default(),
            upload_ends: Family::default(),
            repeated_ids,
            budget,
            log,
            health,
            persistence,
            peers,
        })
    }

    /// Records that a request of a class was received completely.
    pub fn start_request(self: &Rc<Self>, class: usize) -> PendingRequest {
        self.pending.set(self.pending.get() + 1);
        PendingRequest { counters: self.clone(), class, started: Instant::now() }
    }

    /// Counts the outcome of a request of a class.
    pub fn record_end(&self, class: usize, end: End) {
        if let Some(class) = self.classes.get(class) {
            let count = &class.ended[end as usize];
            count.set(count.get() + 1);
        }
    }

    /// Counts an attempt that was written to an endpoint; with `written` false takes back the count of one
    /// that in fact was not.
    pub fn record_attempt(&self, written: bool) {
        let count = self.attempts.get();
        self.attempts.set(if written { count + 1 } else { count.saturating_sub(1) });
    }

    /// Records why an attempt at a large body was ended before its endpoint answered.
    pub fn record_upload_end(&self, reason: &'static str) {
        self.upload_ends.get_or_create(&vec![("reason", reason.to_owned())]).inc();
    }

    /// Counts a request that was not taken as its X-Request-ID was not fresh.
    pub fn record_repeated_id(&self) {
        self.repeated_ids.set(self.repeated_ids.get() + 1);
    }

    /// Records how long the policy took to decide on an event.
    pub fn record_decision(&self, took: Duration) {
        self.decision_times.observe(took.as_secs_f64());
    }

    /// The number of log lines dropped since the start.
    pub fn dropped_lines(&self) -> u64 {
        self.log.dropped()
    }

    /// The metrics that operators specified, under their names and one per line.
    pub fn report(&self, stats: BalancerStats) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "svc.{name}={value}"); // writing to a string does not fail
        };
        for class in &self.classes {
            for (end, name) in ENDS {
                let count = class.ended[end as usize].get();
                line(&format!("downstream_requests.{}.{name}", class.name), count);
            }
        }
        line("upstream_requests", self.attempts.get());
        line("pending", self.pending.get());
        line("members", stats.members as u64);
        line("members_unavailable", stats.unavailable as u64);
        text
    }

    /// The status of the fleet; none if this process is in no fleet.
    pub fn fleet(&self) -> Option<String> {
        self.peers.as_ref().map(|peers| peers.report())
    }

    /// The same metrics and more, as OpenMetrics text.
    pub fn open_metrics(&self, stats: BalancerStats) -> String {
        let mut registry = Registry::with_prefix("gullpulley");
        let build = Info::new(vec![("version", env!("CARGO_PKG_VERSION"))]);
        registry.register("build", "The program that runs", build);
        let ended = Family::<Labels, Counter>::default();
        for class in &self.classes {
            for (end, name) in ENDS {
                let count = class.ended[end as usize].get();
                ended.get_or_create(&labels(&class.name, name)).inc_by(count);
            }
        }
        registry.register("requests", "Requests that ended", ended);
        let help = "From a request's last byte to its answer, of those that were taken";
        registry.register_with_unit("request", help, Unit::Seconds, self.durations.clone());
        let help = "Time that the module took to decide on an event";
        registry.register_with_unit("decision", help, Unit::Seconds, self.decision_times.clone());
        let help = "Large answers that ended before they were complete, by what ended them";
        registry.register("answers_ended_early", help, self.early_ends.clone());
        let help = "Attempts at large bodies that were ended before their endpoint answered, by reason";
        registry.register("large_bodies_ended_early", help, self.upload_ends.clone());
        let attempts = ConstCounter::new(self.attempts.get());
        registry.register("attempts", "Attempts written to endpoints", attempts);
        let repeated = ConstCounter::new(self.repeated_ids.get());
        let help = "Requests that were not taken as their X-Request-ID had been sent already";
        registry.register("requests_with_repeated_id", help, repeated);
        let dropped = ConstCounter::new(self.dropped_lines());
        registry.register("log_lines_dropped", "Lines of the log that nobody read in time", dropped);
        for (name, help, value) in [
            ("requests_pending", "Requests taken and not ended", self.pending.get()),
            ("requests_held", "Requests held until there is room", stats.queued as u64),
            ("endpoints", "Endpoints in the list", stats.members as u64),
            ("endpoints_unavailable", "Those that get nothing now", stats.unavailable as u64),
        ] {
            registry.register(name, help, ConstGauge::new(value as i64));
        }
        let held = ConstCounter::new(stats.queued_without_lease);
        registry.register(
            "requests_held_without_lease",
            "Requests held as the endpoint list's lease had run out",
            held,
        );
        let lapsed = ConstCounter::new(stats.time_without_lease.as_secs_f64());
        let help = "For how long the lease on the endpoint list has been out of force";
        registry.register_with_unit("list_lease_lapsed", help, Unit::Seconds, lapsed);
        let (size, out) =
            (Family::<Labels, Gauge<f64, AtomicU64>>::default(), Family::<Labels, Gauge>::default());
        for (zone, window) in WINDOWS.into_iter().zip(stats.windows) {
            let zone = vec![("zone", zone.to_owned())];
            size.get_or_create(&zone).set(window.size);
            out.get_or_create(&zone).set(i64::from(window.in_flight));
        }
        registry.register("window_attempts", "Own attempts that may be out", size);
        registry.register("window_attempts_out", "Own attempts that are out", out);
        let permits = Family::<Labels, Gauge>::default();
        for (holder, name) in HOLDERS {
            let count = self.budget.in_use_for(holder) as i64;
            permits.get_or_create(&vec![("holder", name.to_owned())]).set(count);
        }
        let help =
            format!("What takes memory and descriptors now; a read-ahead segment has {SEGMENT_KIB} KiB");
        registry.register("permits", help, permits);
        let memory = Family::<Labels, Gauge>::default();
        let allowed = self.budget.permits_kib() as f64 * self.budget.allowance().memory_share;
        for (part, kib) in [
            ("held", own_memory_kib().unwrap_or_default()),
            ("permits in use", self.budget.permits_in_use_kib()),
            ("permits allowed", allowed as usize),
        ] {
            memory.get_or_create(&vec![("part", part.to_owned())]).set(kib as i64);
        }
        registry.register(
            "memory_kib",
            "Memory of this process, and the most that its permits take",
            memory,
        );
        let sockets = ConstGauge::new(self.budget.allowance().sockets as i64);
        let help = "Sockets for clients and endpoints that this process may use";
        registry.register("sockets_allowed", help, sockets);
        self.health.register(&mut registry);
        if let Some(persistence) = &self.persistence {
            persistence.register(&mut registry);
        }
        if let Some(peers) = &self.peers {
            peers.register(&mut registry);
        }
        let mut written = String::new();
        let _ = text::encode(&mut written, &registry); // writing to a string does not fail
        written
    }
}

fn labels(class: &str, end: &str) -> Labels {
    vec![("class", class.to_owned()), ("outcome", end.to_owned())]
}

impl PendingRequest {
    /// Records why its large answer ended early.
    pub fn record_early_end(&self, reason: EarlyEnd) {
        let reason = vec![("reason", reason.name().to_owned())];
        self.counters.early_ends.get_or_create(&reason).inc();
    }

    /// Records the outcome and the duration.
    pub fn end(self, end: End) {
        self.counters.record_end(self.class, end);
        if let Some(class) = self.counters.classes.get(self.class) {
            class.durations[end as usize].observe(self.started.elapsed().as_secs_f64());
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        let pending = &self.counters.pending;
        pending.set(pending.get().saturating_sub(1));
    }
}
