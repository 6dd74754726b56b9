//! The load balancing policy: all decisions on requests, sans I/O. It takes events and returns actions;
//! the caller passes in the time, and random numbers come from a seed. Its interface (settings, events,
//! actions) is in `api`.
//!
//! `requests` handles the life of a request and asks `choice` for an endpoint among those in
//! `endpoint_list`. `list_lease` computes until when requests may be sent by the endpoint list, and
//! `discovery_schedule` when discovery is called for the next one. Once the lease has expired,
//! `health_checks` probes the endpoints themselves, and `continuity` tells since when each has run
//! without interruption. `slow_start` and `limits` narrow the set of eligible endpoints; `retries`
//! decides whether a failed attempt is retried. While there is no capacity `limits` queues requests, and
//! the most valuable one is sent first.

mod choice;
mod continuity;
mod discovery_schedule;
mod endpoint_list;
mod health_checks;
mod limits;
mod list_lease;
mod requests;
mod retries;
mod slow_start;
mod uploads;

use crate::api::*;
use crate::stats::{DecayingValue, Latency, SeededRng};
use choice::Eligibility;
pub use continuity::Continuity;
pub use discovery_schedule::DiscoverySchedule;
use endpoint_list::Endpoint;
use limits::Window;
pub use list_lease::{LISTING_DELAY, LeaseEnd, LeaseEndReason, ListLease};
use requests::Pending;
use retries::RETRY_SAVED;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Mixed into the seed, so that the schedule draws other random numbers than the choice of endpoints.
const SCHEDULE_SEED: u64 = 0x5bd1_e995;

enum Timer {
    Deadline(RequestId),
    Overdue(RequestId, AttemptNo),
    CallDiscovery,
    LeaseEnd,
    Recheck,
}

/// The load balancing policy of one balancer.
pub struct Balancer {
    settings: Settings,
    created_at: Duration,
    rng: SeededRng,
    endpoints: Vec<Endpoint>,
    index: HashMap<EndpointId, usize>,
    /// Suspended endpoints, listed or not, and when those that may still be in slow start were resumed.
    suspended: HashSet<EndpointId>,
    resumed: HashMap<EndpointId, Duration>,
    /// Processes that run this balancer together.
    processes: f64,
    /// Indexes of ready endpoints: subset in the own zone, subset in other zones, all in the own zone,
    /// all in other zones.
    pools: [Vec<usize>; 4],
    requests: HashMap<RequestId, Pending>,
    queued: Vec<RequestId>,
    /// Failure penalty that three quarters of the endpoints reach or exceed: its cause lies in a tier
    /// further down, so it counts against none of them. Not the median, or a lost zone would count as
    /// such.
    common_penalty: f64,
    /// Which of the listed endpoints may be sent to: fewer while the list may be stale.
    eligibility: Eligibility,
    /// Earliest time of the next batch of health checks, and of the next probe of an excluded endpoint.
    next_probe_at: Duration,
    next_excluded_probe_at: Duration,
    /// Endpoints that are health-checked regularly around and after the end of the lease on the list.
    health_checked: Vec<EndpointId>,
    /// Of the own zone, and of all others together: an overloaded zone must not block the others.
    windows: [Window; 2],
    recheck_scheduled: bool,
    /// The highest value of a request that was recently refused without having been sent.
    refused_value: DecayingValue,
    timers: HashMap<u64, Timer>,
    last_timer: u64,
    latency: Vec<Latency>,
    retry_tokens: f64,
    /// Request rate of each tenant.
    tenants: Vec<DecayingValue>,
    arrivals: DecayingValue,
    /// Rate of requests served by warm endpoints.
    served: DecayingValue,
    /// The highest recent rate, in requests a second, at which a warm endpoint served this balancer.
    warm_rate: DecayingValue,
    /// Recent attempts that got no answer, less a fraction for each answer that came.
    unanswered: DecayingValue,
    late_share: f64,
    /// Evidence that connections are dropped while idle, and the idle time from which on that is assumed.
    idle_drops: f64,
    idle_drop_after: Duration,
    schedule: DiscoverySchedule,
    /// The timer of the next call to discovery; there is at most one.
    discovery_timer: Option<u64>,
    /// The timer of the end of the lease on the list.
    lease_timer: Option<u64>,
    /// Number of requests queued because the lease had expired.
    queued_without_lease: u64,
    windows_initialized: bool,
}

impl Balancer {
    /// Creates a balancer without endpoints. The same settings, seed and events produce the same actions.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        settings.validate()?;
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        let schedule = DiscoverySchedule::new(&settings, seed ^ SCHEDULE_SEED, now);
        Ok(Balancer {
            settings,
            created_at: now,
            rng: SeededRng::new(seed),
            endpoints: Vec::new(),
            index: HashMap::new(),
            suspended: HashSet::new(),
            resumed: HashMap::new(),
            processes: 1.0,
            pools: Default::default(),
            requests: HashMap::new(),
            queued: Vec::new(),
            common_penalty: 0.0,
            eligibility: Eligibility::AllListed,
            next_probe_at: now,
            next_excluded_probe_at: now,
            health_checked: Vec::new(),
            windows: [Window { size: 1.0, in_flight: 0, ramping_up: true }; 2],
            recheck_scheduled: false,
            refused_value: DecayingValue::default(),
            timers: HashMap::new(),
            last_timer: 0,
            latency: vec![Latency::default(); classes],
            retry_tokens: RETRY_SAVED,
            tenants: vec![DecayingValue::default(); tenants],
            arrivals: DecayingValue::default(),
            served: DecayingValue::default(),
            warm_rate: DecayingValue::default(),
            unanswered: DecayingValue::default(),
            late_share: 0.0,
            idle_drops: 0.0,
            idle_drop_after: Duration::MAX,
            schedule,
            discovery_timer: None,
            lease_timer: None,
            queued_without_lease: 0,
            windows_initialized: false,
        })
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Membership(update) => self.on_membership(now, update, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::BodyReceived { request, time_left } => self.on_body_received(now, request, time_left),
            Event::BodyForwarded { request, time_left } => self.on_body(now, request, time_left, out),
            Event::BodySendStarted(id) => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.no_retry = true;
                }
            }
            Event::StreamStarted { request, .. } => {
                if let Some(pending) = self.requests.get_mut(&request) {
                    pending.streaming = true;
                }
            }
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, ended, out),
            Event::Answered { endpoint, connected_for } => {
                if let Some(&i) = self.index.get(&endpoint) {
                    self.endpoints[i].continuity.answered(now, connected_for);
                }
            }
            Event::AnswerBroken { endpoint } => {
                if let Some(&i) = self.index.get(&endpoint) {
                    self.endpoints[i].add_failure_penalty(now);
                }
            }
            Event::RequestGone(id) => self.finish(id, out),
            Event::Timer(token) => match self.timers.remove(&token.0) {
                Some(Timer::Deadline(id)) => self.give_up(id, out),
                Some(Timer::Overdue(id, attempt)) => self.on_overdue(now, id, attempt, out),
                Some(Timer::CallDiscovery) => {
                    self.discovery_timer = None;
                    self.call_discovery(now, out);
                }
                Some(Timer::LeaseEnd) => self.on_lease_end(now, out),
                Some(Timer::Recheck) => {
                    self.recheck_scheduled = false;
                    self.refuse_late(now, out);
                    self.dispatch_queued(now, out);
                    if !self.queued.is_empty() {
                        self.probe_endpoints(now, out);
                    }
                }
                None => {}
            },
            Event::Suspend(id) => self.on_suspend(now, id, out),
            Event::Resume { endpoint, at } => self.on_resume(now, endpoint, at, out),
            Event::ProcessCountChanged { processes } => {
                self.on_balancer_count(now, self.settings.balancers, processes)
            }
            Event::BalancerCountChanged { balancers } => {
                self.on_balancer_count(now, balancers, self.processes as u32)
            }
            Event::ProbeEnded { endpoint, outcome, elapsed, .. } => {
                self.on_probe_ended(now, endpoint, outcome, elapsed, out);
            }
            Event::PeerMessage { .. } => {}
        }
    }

    /// Number of endpoints, requests and timers in memory. Stays proportional to the current load.
    pub fn tracked_entries(&self) -> usize {
        self.endpoints.len() + self.requests.len() + self.timers.len() + self.queued.len()
    }

    /// Whether the lease on the endpoint list is valid, so that requests may be sent by the list.
    pub fn list_lease_valid(&self, now: Duration) -> bool {
        self.schedule.lease().is_valid(now)
    }

    /// How many endpoints are listed, and how many of them would not take a call now.
    pub fn stats(&self, now: Duration) -> BalancerStats {
        let listed = || self.endpoints.iter().filter(|e| e.info.state != EndpointState::Gone);
        // An endpoint at its limit is in use, not unavailable; one whose failure penalty leaves no room
        // for a single call is avoided.
        let unavailable = |e: &&Endpoint| {
            !e.is_ready() || e.failure_penalty(now) - self.common_penalty + 1.0 > e.limit.max(1.0)
        };
        BalancerStats {
            members: listed().count(),
            unavailable: listed().filter(unavailable).count(),
            queued: self.queued.len(),
            queued_without_lease: self.queued_without_lease,
            time_without_lease: self.schedule.lease().expired_for(now),
            windows: self
                .windows
                .map(|window| WindowStats { size: window.size, in_flight: window.in_flight }),
        }
    }

    /// Calls discovery now, and schedules a second, concurrent call in case the first gets no answer.
    fn call_discovery(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.cancel_discovery_call();
        out.push(Action::Watch(true));
        if let Some(wait) = self.schedule.on_call_start(now) {
            self.call_discovery_after(wait, out);
        }
    }

    /// Calls discovery after `wait`, in place of any call scheduled before.
    fn call_discovery_after(&mut self, wait: Duration, out: &mut Vec<Action>) {
        self.cancel_discovery_call();
        self.set_timer(wait, Timer::CallDiscovery, out);
        self.discovery_timer = Some(self.last_timer);
    }

    fn cancel_discovery_call(&mut self) {
        if let Some(timer) = self.discovery_timer.take() {
            self.timers.remove(&timer);
        }
    }

    fn set_timer(&mut self, after: Duration, timer: Timer, out: &mut Vec<Action>) {
        self.last_timer += 1;
        self.timers.insert(self.last_timer, timer);
        out.push(Action::SetTimer { token: TimerToken(self.last_timer), after });
    }
}
