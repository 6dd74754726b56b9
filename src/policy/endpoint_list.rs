//! The endpoint list: the listed endpoints, the suspended ones, and the subset that this balancer uses.
//! Depends only on the list, the settings and this balancer's number among the balancers; subsetting
//! needs no coordination.

use super::continuity::Continuity;
use super::limits::{INITIAL_LIMIT, INITIAL_WINDOW};
use super::list_lease::LeaseEnd;
use super::{Balancer, Timer};
use crate::api::*;
use crate::stats::DecayingValue;
use std::time::Duration;

/// Balancers that share each endpoint. A balancer that uses many endpoints learns too little of each
/// (i44da9d), and its idle connections fill their tables, which costs capacity. This many are enough for
/// balancers of unequal load to even out.
const BALANCERS_PER_ENDPOINT: f64 = 4.0;
/// Minimum size of the subset in a zone, so that d samples still find a choice while some endpoints fail.
const MIN_SUBSET: f64 = 4.0;
/// Step between the ring positions of consecutive balancers: the golden ratio spaces any number evenly.
const RING_STEP: f64 = 0.618_033_988_75;
pub(super) struct Endpoint {
    pub(super) info: EndpointInfo,
    /// Suspended by the operators.
    pub(super) suspended: bool,
    pub(super) in_flight: u32,
    /// Failure penalty: recent failures, counted as calls in flight.
    pub(super) failure_penalty: DecayingValue,
    /// Latency penalty: its latency as a multiple of the class's unloaded mean, less one. It shows the
    /// load that other balancers put on it; own counts say little when a balancer has at most one call in
    /// flight.
    pub(super) latency_penalty: DecayingValue,
    /// Own calls allowed in flight: the concurrency limit C, adapted by late and timely answers.
    pub(super) limit: f64,
    pub(super) limit_reduced_at: Duration,
    /// When the last call that it served was sent, and the last call that it refused.
    pub(super) accepted: Option<Duration>,
    pub(super) refused: Option<Duration>,
    /// When it was last probed, whether that probe is in flight, and when the last health check was sent
    /// if that one passed.
    pub(super) probed_at: Option<Duration>,
    pub(super) probe_in_flight: bool,
    pub(super) healthy_at: Option<Duration>,
    /// Since when it has run without interruption.
    pub(super) continuity: Continuity,
    /// When it last answered, which left a connection idle.
    pub(super) idle_since: Option<Duration>,
    /// Requests that the slow-start budget still allows, as of `slow_start_at`.
    pub(super) slow_start_tokens: f64,
    pub(super) slow_start_at: Duration,
}

impl Balancer {
    pub(super) fn on_membership(&mut self, now: Duration, update: Membership, out: &mut Vec<Action>) {
        let lease_before = self.schedule.lease().end();
        self.apply_update(now, update, out);
        self.update_lease_timer(now, lease_before, out);
    }

    fn apply_update(&mut self, now: Duration, update: Membership, out: &mut Vec<Action>) {
        let confirmed = !matches!(update, Membership::Unconfirmed { .. });
        let changed = self.has_changes(&update);
        let cached = matches!(update, Membership::Cached(_));
        match update {
            Membership::Failed { silent_for, failure } => {
                let wait = self.schedule.on_failure(now, silent_for, failure);
                if self.settings.discovery == Discovery::Ask {
                    out.push(Action::Log(format!("discovery: {failure:?}, next call in {wait:.2?}")));
                    self.call_discovery_after(wait, out);
                }
                return;
            }
            Membership::Moved => {
                self.schedule.on_address_change(now);
                if self.settings.discovery == Discovery::Ask {
                    self.call_discovery(now, out);
                }
                return;
            }
            Membership::FromPreviousAddress { whole, entries } => {
                self.apply_entries(now, whole, entries);
                return;
            }
            Membership::Delta(entries) => self.apply_entries(now, false, entries),
            Membership::Full(entries) | Membership::Cached(entries) => {
                self.apply_entries(now, true, entries);
            }
            Membership::Unconfirmed { whole, entries } => self.apply_entries(now, whole, entries),
        }
        if cached && self.settings.discovery == Discovery::Ask {
            let wait = self.schedule.first_call_delay(self.processes > 1.0);
            self.call_discovery_after(wait, out);
        } else if !cached {
            match (confirmed, changed) {
                (true, true) => self.schedule.on_list_update(now),
                (true, false) => self.schedule.on_unchanged_list(now),
                (false, _) => self.schedule.on_unconfirmed_list(now),
            }
            self.cancel_discovery_call();
        }
        if !std::mem::replace(&mut self.windows_initialized, true) {
            let size = (INITIAL_WINDOW * self.endpoint_share()).max(1.0);
            self.windows.iter_mut().for_each(|window| window.size = size);
        }
        self.dispatch_queued(now, out);
    }

    /// Whether an update contains anything that is not in the current list.
    fn has_changes(&self, update: &Membership) -> bool {
        let unchanged = |info: &EndpointInfo| {
            self.index.get(&info.id).is_some_and(|&i| self.endpoints[i].info == *info)
        };
        let listed = |info: &EndpointInfo| info.state != EndpointState::Gone;
        match update {
            Membership::Delta(entries) => !entries.iter().all(unchanged),
            Membership::Full(entries) => {
                let before = self.endpoints.iter().filter(|e| listed(&e.info)).count();
                entries.len() != before || !entries.iter().all(unchanged)
            }
            _ => true,
        }
    }

    /// If the end of the lease on the list has changed, logs it and sets the timer to it.
    fn update_lease_timer(&mut self, now: Duration, before: Option<LeaseEnd>, out: &mut Vec<Action>) {
        let after = self.schedule.lease().end();
        if after == before {
            return;
        }
        if let Some(timer) = self.lease_timer.take() {
            self.timers.remove(&timer);
        }
        let Some(end) = after else {
            return out.push(Action::Log("list lease: granted, a watch keeps it current".to_owned()));
        };
        let left = end.at.saturating_sub(now);
        if before.is_none_or(|before| before.reason != end.reason) {
            out.push(Action::Log(format!("list lease: runs out in {left:.2?}: {}", end.reason)));
        }
        self.set_timer(left, Timer::LeaseEnd, out);
        self.lease_timer = Some(self.last_timer);
    }

    /// Logs that the lease on the list has expired, if it has.
    pub(super) fn on_lease_end(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.lease_timer = None;
        let lease = self.schedule.lease();
        if let Some(end) = lease.end().filter(|_| !lease.is_valid(now)) {
            let then = match self.settings.limits.probes {
                true => "sending only to endpoints known to be running",
                false => "requests are queued",
            };
            out.push(Action::Log(format!("list lease: run out, {then}: {}", end.reason)));
        }
    }

    /// Suspends an endpoint. Attempts in flight there may end; the manual ejection stays in force even if
    /// the endpoint leaves the list.
    pub(super) fn on_suspend(&mut self, now: Duration, id: EndpointId, out: &mut Vec<Action>) {
        self.resumed.remove(&id);
        if self.suspended.insert(id) {
            if let Some(&i) = self.index.get(&id) {
                self.endpoints[i].suspended = true;
                self.choose_subset(now);
            }
            out.push(Action::CloseIdle { endpoint: id });
        }
    }

    /// Resumes an endpoint. It was restarted in the meantime, so it is in slow start whatever the list
    /// says.
    pub(super) fn on_resume(&mut self, now: Duration, id: EndpointId, at: Duration, out: &mut Vec<Action>) {
        self.suspended.remove(&id);
        self.resumed.insert(id, at);
        if let Some(&i) = self.index.get(&id) {
            let mut info = self.endpoints[i].info.clone();
            info.started = info.started.max(Some(at));
            self.endpoints[i].suspended = false;
            self.update_endpoints(now, vec![info]);
            self.dispatch_queued(now, out);
        }
    }

    /// Sets the number of balancers that share the work, and of processes in each. If this process's
    /// share shrinks, rates measured at the larger share are too high: endpoints in slow start would get
    /// their whole budget from each process. If it grows, the rates are measured anew.
    pub(super) fn on_balancer_count(&mut self, now: Duration, balancers: u32, processes: u32) {
        let (balancers, processes) = (balancers.max(1), f64::from(processes.max(1)));
        let before = f64::from(self.settings.balancers.max(1)) * self.processes;
        let ratio = (before / (f64::from(balancers) * processes)).min(1.0);
        for rate in [&mut self.arrivals, &mut self.served, &mut self.warm_rate] {
            rate.value *= ratio;
        }
        self.endpoints.iter_mut().for_each(|e| e.slow_start_tokens *= ratio);
        (self.settings.balancers, self.processes) = (balancers, processes);
        self.choose_subset(now);
    }

    /// Applies the entries of a list; endpoints that a whole list does not name are removed.
    fn apply_entries(&mut self, now: Duration, whole: bool, entries: Vec<EndpointInfo>) {
        if whole {
            for endpoint in &mut self.endpoints {
                endpoint.info.state = EndpointState::Gone;
            }
        }
        self.update_endpoints(now, entries);
    }

    fn update_endpoints(&mut self, now: Duration, entries: Vec<EndpointInfo>) {
        let warm_within = self.settings.rules.warm_within;
        self.resumed.retain(|_, at| now.saturating_sub(*at) < warm_within);
        for mut info in entries {
            // A resumed endpoint has been restarted, though the list may say so late or never.
            info.started = info.started.max(self.resumed.get(&info.id).copied());
            match self.index.get(&info.id) {
                Some(&i) => {
                    let endpoint = &mut self.endpoints[i];
                    if info.started != endpoint.info.started {
                        endpoint.latency_penalty.value = 0.0;
                        // A different process: the failures of the previous one say nothing about it.
                        endpoint.failure_penalty.value = 0.0;
                        (endpoint.slow_start_tokens, endpoint.slow_start_at) = (0.0, now);
                    }
                    endpoint.info = info;
                }
                None => {
                    self.index.insert(info.id, self.endpoints.len());
                    let slow_start_tokens = self.rng.uniform();
                    self.endpoints.push(Endpoint {
                        suspended: self.suspended.contains(&info.id),
                        info,
                        in_flight: 0,
                        failure_penalty: DecayingValue::default(),
                        latency_penalty: DecayingValue::default(),
                        limit: INITIAL_LIMIT,
                        limit_reduced_at: now,
                        accepted: None,
                        refused: None,
                        probed_at: None,
                        probe_in_flight: false,
                        healthy_at: None,
                        continuity: Continuity::default(),
                        idle_since: None,
                        slow_start_tokens,
                        slow_start_at: now,
                    });
                }
            }
        }
        // Endpoints that left the list are removed once their last call has ended.
        self.endpoints.retain(|e| e.info.state != EndpointState::Gone || e.in_flight > 0);
        self.index = self.endpoints.iter().enumerate().map(|(i, e)| (e.info.id, i)).collect();
        self.choose_subset(now);
    }

    /// Chooses this balancer's subset of the endpoints. All balancers order the endpoints of a zone on
    /// the same ring, and each starts at its own position, by the golden ratio: so the subsets cover the
    /// ring evenly, also those of the balancers in one zone, however they are numbered.
    fn choose_subset(&mut self, now: Duration) {
        let ready = self.endpoints.iter().enumerate().filter(|(_, e)| e.is_ready());
        let mut ring: Vec<_> = ready.map(|(i, e)| (e.info.zone, e.info.id, i)).collect();
        ring.sort();
        let callers = f64::from(self.settings.balancers.max(1));
        let mut in_subset = vec![false; self.endpoints.len()];
        for zone in ring.chunk_by(|a, b| a.0 == b.0) {
            let size = zone.len() as f64;
            let start = (size * (f64::from(self.settings.me) * RING_STEP).fract()) as usize;
            // Endpoints in slow start are added on top: during a release a subset of them alone would be
            // overloaded.
            let mut remaining = (size * BALANCERS_PER_ENDPOINT / callers).max(MIN_SUBSET);
            for place in start..start + zone.len() {
                let i = zone[place % zone.len()].2;
                in_subset[i] = remaining > 0.0;
                if self.warm_fraction(now, i) >= 1.0 {
                    remaining -= 1.0;
                }
            }
        }
        self.pools = Default::default();
        for (i, included) in
            in_subset.into_iter().enumerate().filter(|&(i, _)| self.endpoints[i].is_ready())
        {
            let side = self.side(i);
            self.pools[2 + side].push(i);
            if included {
                self.pools[side].push(i);
            }
        }
    }

    pub(super) fn ready_count(&self) -> f64 {
        (self.pools[2].len() + self.pools[3].len()) as f64
    }

    /// The index of an endpoint's window: 0 for the own zone, 1 for other zones.
    pub(super) fn side(&self, i: usize) -> usize {
        self.settings.side(self.endpoints[i].info.zone)
    }
}

impl Settings {
    /// The index of a zone's window: 0 for the own zone, 1 for other zones.
    pub(super) fn side(&self, zone: ZoneId) -> usize {
        usize::from(zone != self.zone)
    }
}

impl Endpoint {
    pub(super) fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready && !self.suspended
    }
}
