//! Connects the policy to the sockets: turns what happens there into the policy's events, and carries out
//! its actions. It makes no decisions, but enforces what must hold whatever the policy decides: one final
//! answer per request, no attempt beyond the limit or the deadline, and nothing sent for a finished
//! request. `attempts` has attempts and probes, `endpoints` the list and manual ejections; events, requests
//! and timers are here.

mod attempts;
mod endpoints;

use super::clock::Clock;
use super::counters::Counters;
use super::discovery::{Discovery, DiscoveryCommand};
use super::manual_ejections::ManualEjections;
use super::message::{Answer, Inbox, IncomingRequest, Input};
use super::outbound::{AttemptResult, Outbound};
use super::request_ids::RequestIds;
use super::request_state::RequestState;
use super::upload::UploadEvent;
use gullpulley::{Action, Balancer, EndpointId, Event, RequestId, TimerToken};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tracing::{debug, info, warn};

/// Interval of the log line that sums up unusual outcomes.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// What the driver works with.
pub struct DriverContext {
    /// Connections to endpoints.
    pub outbound: Rc<Outbound>,
    /// Resolves endpoint uids to ids and back.
    pub discovery: Rc<Discovery>,
    /// Commands for the discovery task.
    pub discovery_commands: UnboundedSender<DiscoveryCommand>,
    /// Where attempts and probes report their ends.
    pub inbox: Inbox,
    /// The X-Request-IDs that may not come again.
    pub request_ids: Rc<RequestIds>,
    /// The metrics of the process.
    pub counters: Rc<Counters>,
    /// Whether the lease on the endpoint list allows requests to be sent.
    pub list_usable: watch::Sender<bool>,
}

/// Owns the policy, its timers, and the requests and attempts in flight.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    max_attempts: usize,
    requests: HashMap<RequestId, RequestState>,
    addresses: HashMap<EndpointId, SocketAddr>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events that result from carrying out actions, and are still to be handled.
    pending_events: VecDeque<Event>,
    unusual_outcomes: HashMap<&'static str, u64>,
    /// Log lines that had been dropped at the time of the last summary.
    dropped_lines: u64,
    next_summary_at: Instant,
    /// Manual ejections and resumptions.
    manual_ejections: ManualEjections,
    context: DriverContext,
}

impl Driver {
    /// A driver of this policy.
    pub fn new(balancer: Balancer, clock: Clock, max_attempts: u32, context: DriverContext) -> Self {
        Driver {
            balancer,
            clock,
            max_attempts: max_attempts as usize,
            requests: HashMap::new(),
            addresses: HashMap::new(),
            timers: BinaryHeap::new(),
            pending_events: VecDeque::new(),
            unusual_outcomes: HashMap::new(),
            dropped_lines: 0,
            next_summary_at: Instant::now() + SUMMARY_INTERVAL,
            manual_ejections: ManualEjections::default(),
            context,
        }
    }

    /// Runs until all senders of inputs are gone.
    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        loop {
            let next = self.timers.peek().map_or(self.next_summary_at, |Reverse((at, _))| *at);
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = sleep_until(next.min(self.next_summary_at)) => {}
            }
            self.fire_due_timers();
        }
    }

    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        while let Some(&Reverse((at, token))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            self.handle_event(Event::Timer(TimerToken(token)));
        }
        if now >= self.next_summary_at {
            self.next_summary_at = now + SUMMARY_INTERVAL;
            self.log_summary();
        }
    }

    /// Logs repeated faults as counts rather than one line each; outcomes that did not occur are left out.
    fn log_summary(&mut self) {
        let dropped = self.context.counters.dropped_lines();
        let lost = dropped - std::mem::replace(&mut self.dropped_lines, dropped);
        if lost > 0 {
            warn!(lines = lost, "log output was not consumed in time; lines were dropped");
        }
        if self.unusual_outcomes.is_empty() {
            return;
        }
        let counts = std::mem::take(&mut self.unusual_outcomes);
        let count = |what| counts.get(what).copied();
        info!(
            seconds = SUMMARY_INTERVAL.as_secs(),
            open = self.requests.len(),
            error = count("error"),
            turned_away = count("turned away"),
            timed_out = count("timed out"),
            not_connected = count("not connected"),
            reset = count("reset"),
            cancelled = count("cancelled"),
            moot = count("moot"),
            client_gone = count("client gone"),
            refused = count("refused"),
            failed = count("failed"),
            rejected = count("rejected"),
            discovery_failed = count("discovery failed"),
            "outcomes"
        );
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(incoming) => self.handle_request(*incoming),
            Input::Upload(id, event) => self.handle_upload(id, event),
            Input::ClientGone(id, x_request_id) => {
                self.handle_client_gone(id);
                self.context.request_ids.end(&x_request_id);
            }
            Input::AttemptEnded(id, attempt, result) => self.handle_attempt_end(id, attempt, result),
            Input::AnswerBroken(endpoint) => self.handle_event(Event::AnswerBroken { endpoint }),
            Input::ProbeEnded(endpoint, AttemptResult { outcome, report, connected_for, .. }, elapsed) => {
                self.report_answer(endpoint, connected_for);
                self.handle_event(Event::ProbeEnded { endpoint, outcome, elapsed, report });
            }
            Input::ListUpdate(update) => {
                self.apply_list_update(update);
                let usable = self.balancer.list_lease_valid(self.clock.now());
                self.context
                    .list_usable
                    .send_if_modified(|before| std::mem::replace(before, usable) != usable);
            }
            // The caller may have gone by now.
            Input::IsKnown(uid, to) => drop(to.send(self.is_known(&uid))),
            Input::ManualEjections(ejections, done) => {
                self.apply_manual_ejections(ejections);
                let _ = done.send(());
            }
            Input::SidecarProcesses(processes) => {
                info!("processes of this sidecar: {processes}");
                self.handle_event(Event::ProcessCountChanged { processes: processes as u32 });
            }
            Input::BalancerCount(balancers) => {
                info!("live balancers of this tier: {balancers}");
                self.handle_event(Event::BalancerCountChanged { balancers });
            }
            Input::Stats(to) => drop(to.send(self.balancer.stats(self.clock.now()))),
            Input::FailPending => {
                let pending = self.requests.iter().filter(|(_, pending)| pending.answer.is_some());
                let pending: Vec<RequestId> = pending.map(|(id, _)| *id).collect();
                warn!("drain time is over; failing {} pending requests", pending.len());
                for id in pending {
                    self.finish(id, Answer::Failed);
                    self.handle_event(Event::RequestGone(id));
                    self.remove_if_done(id);
                }
            }
        }
    }

    fn handle_request(&mut self, incoming: IncomingRequest) {
        let IncomingRequest { mut request, deadline, forward, may_run_for, answer } = incoming;
        request.time_left = deadline.saturating_duration_since(Instant::now());
        let pending = RequestState {
            forward,
            may_run_for,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
            unfinished_attempts: 0,
        };
        debug!(
            request = pending.forward.x_request_id(),
            path = pending.forward.uri.path(),
            left_ms = request.time_left.as_millis() as u64,
            "taken"
        );
        self.requests.insert(request.id, pending);
        self.handle_event(Event::Request(request));
    }

    fn handle_upload(&mut self, id: RequestId, event: UploadEvent) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let now = Instant::now();
        let (UploadEvent::Received(deadline) | UploadEvent::Forwarded(deadline)) = event;
        pending.deadline = deadline;
        let time_left = deadline.saturating_duration_since(now);
        debug!(
            request = pending.forward.x_request_id(),
            ?event,
            left_ms = time_left.as_millis() as u64,
            "large body"
        );
        if matches!(event, UploadEvent::Received(_)) {
            return self.handle_event(Event::BodyReceived { request: id, time_left });
        }
        if let Some(entry) = pending.attempts.last_mut() {
            entry.started_at = now; // the endpoint starts work only now
        }
        self.handle_event(Event::BodyForwarded { request: id, time_left });
    }

    fn handle_client_gone(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if pending.answer.take().is_some() {
            pending.cancel_unwritten();
            debug!(request = pending.forward.x_request_id(), "its client has gone");
            if let Some(time) = pending.may_still_run_for() {
                self.context.request_ids.remember(pending.forward.x_request_id(), time);
            }
            self.count_unusual("client gone");
            self.handle_event(Event::RequestGone(id));
        }
        self.remove_if_done(id);
    }

    /// Passes an event to the policy and carries out the actions, including events that result from them.
    fn handle_event(&mut self, event: Event) {
        self.pending_events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let ended_request = match &event {
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            let started_at = Instant::now();
            self.balancer.handle(self.clock.at(started_at), event, &mut actions);
            self.context.counters.record_decision(started_at.elapsed());
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            if let Some(id) = ended_request {
                self.remove_if_done(id);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, write_within } => {
                self.send(request, endpoint, timeout, write_within);
            }
            Action::Refuse { request, retry_after } => {
                self.finish(request, Answer::Refused(retry_after));
                self.remove_if_done(request);
            }
            Action::Fail { request } => {
                self.finish(request, Answer::Failed);
                self.remove_if_done(request);
            }
            Action::Cancel { request, attempt } => {
                if let Some(pending) = self.requests.get_mut(&request)
                    && let Some(entry) = pending.attempts.get_mut(attempt.0 as usize)
                {
                    entry.cancel();
                }
            }
            Action::SetTimer { token, after } => {
                self.timers.push(Reverse((Instant::now() + after, token.0)));
            }
            // These fail only while the process ends.
            Action::Watch(on) => drop(self.context.discovery_commands.send(DiscoveryCommand::Watch(on))),
            Action::FetchList => drop(self.context.discovery_commands.send(DiscoveryCommand::Fetch)),
            Action::Probe { endpoint } => self.probe(endpoint),
            Action::CloseIdle { endpoint } => self.context.outbound.pool.close_idle(endpoint),
            Action::Log(text) => info!("module: {}", text.replace(['\n', '\r'], " ")),
        }
    }

    /// Gives a request its final answer, unless it already has one.
    fn finish(&mut self, id: RequestId, answer: Answer) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(to) = pending.answer.take() else { return };
        pending.cancel_unwritten();
        if let Some(time) = pending.may_still_run_for() {
            self.context.request_ids.remember(pending.forward.x_request_id(), time);
        }
        let (name, unusual) = match &answer {
            Answer::Served(_) | Answer::Streamed(_) => ("served", false),
            Answer::Refused(_) => ("refused", true),
            Answer::Failed => ("failed", true),
            Answer::BadRequest => ("rejected", true),
        };
        debug!(
            request = pending.forward.x_request_id(),
            attempts = pending.attempts.len(),
            answer = name,
            "answered"
        );
        if unusual {
            self.count_unusual(name);
        }
        let _ = to.send(answer); // fails if the client has just left
    }

    /// Drops a request once it is answered and all its attempts have ended.
    fn remove_if_done(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|pending| pending.answer.is_none() && pending.unfinished_attempts == 0)
        {
            self.requests.remove(&id);
        }
    }

    fn count_unusual(&mut self, what: &'static str) {
        *self.unusual_outcomes.entry(what).or_default() += 1;
    }
}
