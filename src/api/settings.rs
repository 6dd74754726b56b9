//! The settings of a balancer, their defaults and their validation.

use super::ZoneId;
use std::time::Duration;
use thiserror::Error;

/// The settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of balancers in this tier, this one included.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub me: u32,
    /// The zone that this balancer runs in.
    pub zone: ZoneId,
    /// Number of zones in the deployment.
    pub zones: u32,
    /// The tier that this balancer sends to; tier 0 serves the clients' requests.
    pub tier: u32,
    /// Number of tiers in the deployment.
    pub tiers: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request above its tenant's share, as a fraction of the value of its class.
    pub over_share_worth: f64,
    /// How the balancer gets the endpoint list.
    pub discovery: Discovery,
    /// Limits and features of the deployment.
    pub limits: Limits,
    /// Parameters of the rules that every balancer must follow.
    pub rules: Rules,
    /// How the simulator computes the score of a run.
    pub goal: Goal,
    /// Costs that reduce the score.
    pub costs: Costs,
    /// Content and transport of the endpoints' load reports.
    pub load_reports: LoadReports,
    /// The meaning of [`EndpointInfo::weight`](crate::EndpointInfo::weight).
    pub weights: WeightKind,
    /// Least time between two batches of events: the resolution of timers.
    pub tick: Duration,
    /// Whether calls to the next tier carry the caller's remaining time rather than the deadline of the
    /// class.
    pub passes_deadline: bool,
    /// Whether an endpoint needs less work for a key that it has recently served, as from a warm cache.
    pub warm_keys: bool,
    /// Whether clients mark their retries, see [`Request::client_retry`](crate::Request::client_retry).
    pub clients_mark_retries: bool,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: an answer within this time has the full value.
    pub objective: Duration,
    /// How long a client waits for the answer in total.
    pub deadline: Duration,
    /// Whether requests of this class may be processed more than once.
    pub semantics: Semantics,
    /// Value of an answer after the objective, as a fraction of the full value.
    pub late_value: f64,
    /// Whether answers are streamed.
    pub streamed: bool,
    /// Value of one request.
    pub worth: f64,
    /// The objective is extended by this multiple of the request's own work, up to the deadline.
    pub aim_stretch: f64,
}

/// Whether a request may be processed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Idempotent: it may be processed any number of times.
    Safe,
    /// Carries an idempotency key, by which the endpoints of a group drop duplicates for a limited time.
    Keyed {
        /// The endpoints that recognize each other's duplicates.
        group: Group,
        /// For how long, from the first attempt that may have been processed.
        window: Duration,
    },
    /// Not idempotent: it must never be processed twice.
    Unsafe,
}

/// The endpoints among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all balancers, that count as within the tenant's share.
    pub allowance_per_s: f64,
    /// Its share of all traffic, as a fraction.
    pub portion: f64,
}

/// How the balancer gets the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery pushes changes of the list.
    Push,
    /// Discovery sends only what the balancer asks for, by a fetch or a watch.
    Ask,
}

/// Limits and features of the deployment.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether endpoints may be probed.
    pub probes: bool,
    /// Whether messages may be sent to other balancers.
    pub peers: bool,
    /// Whether refusals may advise the client when to retry.
    pub retry_after: bool,
    /// Longest time until a retry that clients follow.
    pub max_retry_after: Duration,
    /// Whether requests may be hedged: a second attempt is sent while the first is in flight.
    pub second_copies: bool,
    /// Most attempts for a request, the first included.
    pub max_attempts: u32,
    /// A connection that is not established after this time has failed.
    pub connect_timeout: Duration,
    /// Concurrent attempts that one connection carries.
    pub streams_per_connection: u32,
    /// Idle connections are closed after this time; zero: not stated.
    pub idle_close: Duration,
    /// Most requests that this balancer may have open; more are refused before they reach it. Zero: not
    /// stated.
    pub open_cap: u32,
    /// Processor time that this balancer may use in a second; zero: not stated.
    pub cpu_per_s: Duration,
    /// Processor time that this balancer may use for a request and its outcomes; zero: no limit.
    pub cpu_per_request: Duration,
}

/// Parameters of the four rules that every balancer must follow.
#[derive(Clone, Debug)]
pub struct Rules {
    /// With [`Discovery::Ask`]: the balancer must ask for the list again within this time.
    pub ask_within: Duration,
    /// A list update counts as known to a balancer this long after discovery had it and was reachable,
    /// whether or not the balancer's calls succeeded. Not configurable: it is fixed by the terms of
    /// service, and longer in the simulator.
    pub known_within: Duration,
    /// How long after its start a process may send requests by its cached endpoint list; `None`: without
    /// end. Not configurable: the age of that list is unknown, but the terms of the simulator allow some
    /// time for it.
    pub cached_list_for: Option<Duration>,
    /// Slow start: a started endpoint has at least this fraction of its capacity.
    pub cold_share: f64,
    /// Slow start: a started endpoint has its full capacity within this time.
    pub warm_within: Duration,
    /// A draining endpoint must get no new requests after this time.
    pub drain_grace: Duration,
    /// An endpoint in slow start that is sent more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for this long fails from overload.
    pub fall_after: Duration,
    /// A final answer still counts if it comes no later than this after the deadline.
    pub answer_grace: Duration,
}

/// How the simulator computes the score of a run: the weights of its components.
#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    /// Weight of the result over the whole run.
    pub whole: f64,
    /// Weight of the worst ten seconds.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant, counting requests within its share.
    pub worst_tenant: f64,
    /// Weight of the number of nines: by how many powers of ten the unserved share is below one, over spans
    /// of five seconds.
    pub nines: f64,
    /// The number of nines that earns that weight in full; itself not a weight.
    pub nines_wanted: f64,
    /// The unit by which value is counted.
    pub counted_by: CountedBy,
}

/// The unit by which value is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedBy {
    /// Each request of a class has the same value.
    Request,
    /// The value of a request is in proportion to its work, see
    /// [`Request::work_hint`](crate::Request::work_hint).
    Work,
}

/// Costs that reduce the score, in points.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Cost of open connections: their mean number over a hundred for each endpoint.
    pub connection: f64,
    /// Cost of discovery: list lines sent over a hundred for each first try.
    pub discovery: f64,
    /// Cost of attempts that cross zones, for each first try.
    pub cross_zone: f64,
    /// Cost of work that produced no answer, as a fraction of the work offered.
    pub waste: f64,
    /// Cost of new connections, for each first try.
    pub handshake: f64,
    /// Cost of probes, for each first try.
    pub probe: f64,
    /// Cost of value that was left unserved after the objective had passed.
    pub late_fail: f64,
}

/// Content and transport of the endpoints' load reports.
#[derive(Clone, Debug)]
pub struct LoadReports {
    /// How they are transported.
    pub via: ReportVia,
    /// The fields of a report, in order.
    pub fields: Vec<LoadField>,
}

/// How load reports are transported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
    /// There are no load reports.
    Off,
    /// With the answers to attempts and probes.
    Inline,
    /// With the answers to probes only.
    Probe,
}

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in progress.
    Outstanding,
    /// Requests queued.
    Backlog,
    /// Processor utilization, as a fraction.
    Utilization,
    /// Recent service time, in milliseconds.
    RecentMs,
    /// Requests served a second.
    Throughput,
    /// Errors a second.
    ErrorsPerS,
    /// A field that this version does not know.
    Other,
}

/// The meaning of an endpoint's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// Weights have no meaning.
    Off,
    /// The registered size of the endpoint.
    Nominal,
    /// The approximate size of the endpoint.
    Rough,
    /// The size of the endpoint divided by one plus its requests per core, with some delay.
    Live,
}

/// Why settings are invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// The settings have no request class.
    #[error("classes: there must be at least one")]
    NoClasses,
    /// A value is out of range.
    #[error("{field}: {value} is out of range")]
    OutOfRange {
        /// The setting.
        field: String,
        /// Its value.
        value: f64,
    },
}

impl Default for Goal {
    fn default() -> Self {
        Goal {
            whole: 1.0,
            worst_window: 0.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
            nines: 0.0,
            nines_wanted: 3.0,
            counted_by: CountedBy::Request,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Class {
            objective: Duration::from_millis(500),
            deadline: Duration::from_secs(2),
            semantics: Semantics::Safe,
            late_value: 0.5,
            streamed: false,
            worth: 1.0,
            aim_stretch: 0.0,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancelling: true,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after: Duration::from_secs(1),
            second_copies: false,
            max_attempts: 3,
            connect_timeout: Duration::from_millis(250),
            streams_per_connection: 1,
            idle_close: Duration::ZERO,
            open_cap: 0,
            cpu_per_s: Duration::ZERO,
            cpu_per_request: Duration::ZERO,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            ask_within: Duration::from_secs(10),
            known_within: Duration::from_secs(6),
            cached_list_for: Some(Duration::ZERO),
            cold_share: 0.25,
            warm_within: Duration::from_secs(10),
            drain_grace: Duration::from_millis(250),
            fall_multiple: 2.0,
            fall_after: Duration::from_secs(1),
            answer_grace: Duration::from_millis(10),
        }
    }
}

impl Default for Settings {
    /// One balancer, one class, one zone, and an endpoint list that discovery pushes.
    fn default() -> Self {
        Settings {
            balancers: 1,
            me: 0,
            zone: ZoneId(0),
            zones: 1,
            tier: 0,
            tiers: 1,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            discovery: Discovery::Push,
            limits: Limits::default(),
            rules: Rules::default(),
            goal: Goal::default(),
            costs: Costs::default(),
            load_reports: LoadReports { via: ReportVia::Off, fields: Vec::new() },
            weights: WeightKind::Off,
            tick: Duration::from_millis(1),
            passes_deadline: true,
            warm_keys: false,
            clients_mark_retries: false,
        }
    }
}

impl Settings {
    /// Checks that all values are in range and that there is a class.
    pub fn validate(&self) -> Result<(), SettingsError> {
        fn check_range(field: &str, value: f64, low: f64, high: f64) -> Result<(), SettingsError> {
            if (low..=high).contains(&value) {
                Ok(())
            } else {
                Err(SettingsError::OutOfRange { field: field.to_owned(), value })
            }
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        check_range("balancers", f64::from(self.balancers), 1.0, 1e6)?;
        check_range("limits.max_attempts", f64::from(self.limits.max_attempts), 1.0, 1e6)?;
        check_range("rules.cold_share", self.rules.cold_share, 0.0, 1.0)?;
        check_range("rules.fall_multiple", self.rules.fall_multiple, 0.0, 1e6)?;
        check_range("over_share_worth", self.over_share_worth, 0.0, 1.0)?;
        let goal = &self.goal;
        for (field, value) in [
            ("goal.whole", goal.whole),
            ("goal.worst_window", goal.worst_window),
            ("goal.worst_class", goal.worst_class),
            ("goal.worst_tenant", goal.worst_tenant),
            ("goal.nines_part", goal.nines),
            ("goal.nines_wanted", goal.nines_wanted),
        ] {
            check_range(field, value, 0.0, 1e6)?;
        }
        for (i, class) in self.classes.iter().enumerate() {
            for (field, value, low, high) in [
                ("worth", class.worth, 0.0, 1e12),
                ("late_value", class.late_value, 0.0, 1.0),
                ("aim_stretch", class.aim_stretch, 0.0, 1e6),
                ("objective", class.objective.as_secs_f64(), 1e-6, 1e6),
                ("deadline", class.deadline.as_secs_f64(), 1e-6, 1e6),
            ] {
                check_range(&format!("classes[{i}].{field}"), value, low, high)?;
            }
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            check_range(&format!("tenants[{i}].allowance_per_s"), tenant.allowance_per_s, 0.0, 1e12)?;
            check_range(&format!("tenants[{i}].portion"), tenant.portion, 0.0, 1.0)?;
        }
        Ok(())
    }
}
