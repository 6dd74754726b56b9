//! Drives the module: turns what happens on the sockets into its events, and carries out its
//! actions. It decides nothing, but keeps what must hold whatever is decided: one final answer a
//! request, no attempt beyond the limit or the deadline, nothing sent for what is finished.

use super::clock::Clock;
use super::counters::Counters;
use super::discovery::{Discovery, DiscoveryCommand};
use super::list_translator::ListUpdate;
use super::log_text::{log_leaving, outcome_name};
use super::manual_ejections::ManualEjections;
use super::message::{Answer, Arrival, Content, Inbox, Input};
use super::outbound::{Dispatch, Ended, Outbound};
use super::pending_request::{Open, Try};
use gullpulley::{
    Action, AttemptEnded, AttemptNo, Balancer, EndpointId, EndpointState, Event, Membership, Outcome,
    RequestId, TimerToken,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use tracing::{debug, info, warn};

/// Unusual outcomes are summed up in the log this often.
const SUMMARY: Duration = Duration::from_secs(10);

/// What the driver works with.
pub struct DriverContext {
    /// Connections to endpoints.
    pub outbound: Rc<Outbound>,
    /// For the names of endpoints.
    pub discovery: Rc<Discovery>,
    /// What discovery is asked.
    pub calls: UnboundedSender<DiscoveryCommand>,
    /// Where attempts report.
    pub inbox: Inbox,
    /// The counts of the process.
    pub counters: Rc<Counters>,
    /// Told once requests may be sent by the endpoint list.
    pub list_usable: watch::Sender<bool>,
}

/// Owns the module, its timers, and the requests and attempts in flight.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    max_attempts: usize,
    requests: HashMap<RequestId, Open>,
    addresses: HashMap<EndpointId, SocketAddr>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events that the driver's own doings brought about.
    due: VecDeque<Event>,
    unusual: HashMap<&'static str, u64>,
    /// Lines of the log that had been dropped by the last summary.
    dropped: u64,
    summary_at: Instant,
    /// What the operators have said of endpoints.
    standing: ManualEjections,
    context: DriverContext,
}

impl Driver {
    /// A driver of this module.
    pub fn new(balancer: Balancer, clock: Clock, max_attempts: u32, context: DriverContext) -> Self {
        Driver {
            balancer,
            clock,
            max_attempts: max_attempts as usize,
            requests: HashMap::new(),
            addresses: HashMap::new(),
            timers: BinaryHeap::new(),
            due: VecDeque::new(),
            unusual: HashMap::new(),
            dropped: 0,
            summary_at: Instant::now() + SUMMARY,
            standing: ManualEjections::default(),
            context,
        }
    }

    /// Runs until nothing can report any more.
    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        loop {
            let next = self.timers.peek().map_or(self.summary_at, |Reverse((at, _))| *at);
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                () = sleep_until(next.min(self.summary_at)) => {}
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(&Reverse((at, token))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            self.handle(Event::Timer(TimerToken(token)));
        }
        if now >= self.summary_at {
            self.summary_at = now + SUMMARY;
            self.sum_up();
        }
    }

    /// What a fault repeats is counted, and told here; what did not occur is left out.
    fn sum_up(&mut self) {
        let dropped = self.context.counters.dropped_lines();
        let lost = dropped - std::mem::replace(&mut self.dropped, dropped);
        if lost > 0 {
            warn!(lines = lost, "the log was not read, and lines were dropped");
        }
        if self.unusual.is_empty() {
            return;
        }
        let counts = std::mem::take(&mut self.unusual);
        let n = |what| counts.get(what).copied();
        info!(
            seconds = SUMMARY.as_secs(),
            open = self.requests.len(),
            error = n("error"),
            turned_away = n("turned away"),
            timed_out = n("timed out"),
            not_connected = n("not connected"),
            reset = n("reset"),
            cancelled = n("cancelled"),
            moot = n("moot"),
            client_gone = n("client gone"),
            refused = n("refused"),
            failed = n("failed"),
            rejected = n("rejected"),
            discovery_failed = n("discovery failed"),
            "outcomes"
        );
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(arrival) => self.arrived(*arrival),
            Input::BodyComplete(id, deadline) => self.whole(id, deadline),
            Input::ClientGone(id) => self.gone(id),
            Input::AttemptEnded(id, attempt, ended) => self.attempt_ended(id, attempt, ended),
            Input::ProbeEnded(endpoint, Ended { outcome, report, connected_for, .. }, elapsed) => {
                self.answered(endpoint, connected_for);
                self.handle(Event::ProbeEnded { endpoint, outcome, elapsed, report });
            }
            Input::ListUpdate(news) => {
                self.list(news);
                let usable = self.balancer.list_holds(self.clock.now());
                self.context
                    .list_usable
                    .send_if_modified(|before| std::mem::replace(before, usable) != usable);
            }
            // Who asked may have gone by now.
            Input::IsKnown(uid, to) => drop(to.send(self.knows(&uid))),
            Input::ManualEjections(standing, done) => {
                self.follow(standing);
                let _ = done.send(());
            }
            Input::SidecarProcesses(processes) => {
                info!("processes of this sidecar: {processes}");
                self.handle(Event::ProcessCountChanged { processes: processes as u32 });
            }
            Input::BalancerCount(living) => {
                info!("balancers that share the work: {living}");
                self.handle(Event::BalancerCountChanged { balancers: living });
            }
            Input::Stats(to) => drop(to.send(self.balancer.stats(self.clock.now()))),
            Input::FailPending => {
                let open = self.requests.iter().filter(|(_, open)| open.answer.is_some());
                let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
                warn!("giving up {} requests", open.len());
                for id in open {
                    self.finish(id, Answer::Failed);
                    self.handle(Event::RequestGone(id));
                    self.tidy(id);
                }
            }
        }
    }

    fn arrived(&mut self, arrival: Arrival) {
        let Arrival { mut request, deadline, forward, answer } = arrival;
        request.time_left = deadline.saturating_duration_since(Instant::now());
        let open = Open { forward, deadline, answer: Some(answer), tries: Vec::new(), out: 0 };
        debug!(
            request = open.forward.id(),
            path = open.forward.uri.path(),
            left_ms = request.time_left.as_millis() as u64,
            "taken"
        );
        self.requests.insert(request.id, open);
        self.handle(Event::Request(request));
    }

    fn whole(&mut self, id: RequestId, deadline: Instant) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let now = Instant::now();
        open.deadline = deadline;
        if let Some(tried) = open.tries.last_mut() {
            tried.sent = now; // the endpoint begins only now
        }
        let time_left = deadline.saturating_duration_since(now);
        self.handle(Event::BodyForwarded { request: id, time_left });
    }

    fn gone(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answer.take().is_some() {
            open.stop_unwritten();
            debug!(request = open.forward.id(), "its client has gone");
            self.count("client gone");
            self.handle(Event::RequestGone(id));
        }
        self.tidy(id);
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: AttemptNo, ended: Ended) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(tried) = open.tries.get_mut(attempt.0 as usize) else { return };
        if tried.cancel.take().is_none() {
            return; // its outcome has been told
        }
        open.out -= 1;
        let (endpoint, sent, elapsed) = (tried.endpoint, tried.sent, tried.sent.elapsed());
        let Ended { mut outcome, body, passing, rejected, report, connected_for } = ended;
        debug!(
            request = open.forward.id(),
            attempt = attempt.0,
            outcome = outcome_name(outcome),
            ms = elapsed.as_millis() as u64,
            "attempt ended"
        );
        let (spent, rejected) = (open.forward.body.spent(), rejected || open.forward.body.faulty());
        if outcome == Outcome::TimedOut {
            self.context.outbound.close_unheard(endpoint, sent);
        }
        if rejected {
            // The request's own fault says nothing of the endpoint; sent again it would spend what honest ones need.
            outcome = Outcome::Cancelled;
            self.finish(id, Answer::Rejected);
        } else if outcome == Outcome::Ok {
            self.finish(id, passing.map_or(Answer::Served(body), Answer::Passing));
        } else {
            self.count(outcome_name(outcome));
        }
        let finished = self.requests.get(&id).is_none_or(|open| open.answer.is_none());
        if spent {
            self.handle(Event::BodySendStarted(id));
        }
        self.answered(endpoint, connected_for);
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished,
            report,
        }));
        self.tidy(id);
    }

    /// Tells the module that an endpoint has answered, if it has.
    fn answered(&mut self, endpoint: EndpointId, connected_for: Option<Duration>) {
        if let Some(connected_for) = connected_for {
            self.handle(Event::Answered { endpoint, connected_for });
        }
    }

    /// Somebody has this uid: it is listed, or was taken out and can be called back.
    fn knows(&self, uid: &str) -> bool {
        self.standing.suspended.contains(uid)
            || self.addresses.contains_key(&self.context.discovery.id(uid))
    }

    /// Tells the module what the operators have changed since the standing before.
    fn follow(&mut self, standing: ManualEjections) {
        let before = std::mem::replace(&mut self.standing, standing.clone());
        for uid in standing.suspended.difference(&before.suspended) {
            info!(endpoint = uid, "operators: {uid} is suspended");
            let id = self.context.discovery.id(uid);
            self.context.outbound.bar(id);
            self.handle(Event::Suspend(id));
        }
        for (uid, _) in standing.resumed.iter().filter(|(uid, at)| before.resumed.get(*uid) != Some(at)) {
            info!(endpoint = uid, "operators: {uid} is resumed");
            // Counted from when this process learns of it: its wall clock may have been stepped since.
            let (endpoint, at) = (self.context.discovery.id(uid), self.clock.now());
            self.handle(Event::Resume { endpoint, at });
        }
    }

    fn list(&mut self, news: ListUpdate) {
        for (id, address) in &news.addresses {
            let before = self.addresses.insert(*id, *address);
            if before.is_some_and(|before| before != *address) {
                self.context.outbound.close_idle(*id);
            }
        }
        let (whole, entries) = match &news.membership {
            Membership::Full(entries) | Membership::Cached(entries) => (true, entries),
            Membership::Delta(entries) => (false, entries),
            Membership::FromPreviousAddress { whole, entries }
            | Membership::Unconfirmed { whole, entries } => (*whole, entries),
            Membership::Failed { .. } => {
                self.count("discovery failed");
                return self.handle(Event::Membership(news.membership));
            }
            Membership::Moved => return self.handle(Event::Membership(news.membership)),
        };
        let mut left: [Vec<String>; 2] = Default::default();
        // Nothing new goes to these.
        for entry in entries.iter().filter(|entry| entry.state != EndpointState::Ready) {
            self.context.outbound.bar(entry.id);
            let gone = entry.state == EndpointState::Gone;
            left[usize::from(gone)].push(self.context.discovery.uid(entry.id));
            if gone {
                self.addresses.remove(&entry.id);
            }
        }
        if whole {
            let outbound = &self.context.outbound;
            let named: HashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            self.addresses.retain(|id, _| {
                let listed = named.contains(id);
                if !listed {
                    outbound.bar(*id);
                }
                listed
            });
        }
        left.iter().zip(["draining", "gone"]).for_each(|(uids, state)| log_leaving(uids, state));
        self.handle(Event::Membership(news.membership));
    }

    /// Gives the module an event and carries out what it wants done, and what comes of that.
    fn handle(&mut self, event: Event) {
        self.due.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.due.pop_front() {
            let about = match &event {
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            let began = Instant::now();
            self.balancer.handle(self.clock.at(began), event, &mut actions);
            self.context.counters.record_decision(began.elapsed());
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            if let Some(id) = about {
                self.tidy(id);
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
                self.tidy(request);
            }
            Action::Fail { request } => {
                self.finish(request, Answer::Failed);
                self.tidy(request);
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.requests.get_mut(&request)
                    && let Some(tried) = open.tries.get_mut(attempt.0 as usize)
                {
                    tried.cancel();
                }
            }
            Action::SetTimer { token, after } => {
                self.timers.push(Reverse((Instant::now() + after, token.0)));
            }
            // These fail only while the process ends.
            Action::Watch(on) => drop(self.context.calls.send(DiscoveryCommand::Watch(on))),
            Action::FetchList => drop(self.context.calls.send(DiscoveryCommand::Fetch)),
            Action::Probe { endpoint } => self.probe(endpoint),
            Action::CloseIdle { endpoint } => self.context.outbound.close_idle(endpoint),
            Action::Log(text) => info!("module: {}", text.replace(['\n', '\r'], " ")),
        }
    }

    /// Starts an attempt. What must not be sent is numbered all the same, and ends as moot.
    fn send(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        write_within: Option<Duration>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), AttemptNo(open.tries.len() as u32));
        let address = self.addresses.get(&endpoint).copied();
        let until = open.deadline.min(now + timeout);
        let moot = open.answer.is_none() || open.tries.len() >= self.max_attempts || until <= now;
        let progress = Rc::new(self.context.outbound.progress());
        let Some(address) = address.filter(|_| !moot) else {
            open.tries.push(Try { endpoint, sent: now, cancel: None, progress });
            self.due.push_back(Event::AttemptEnded(AttemptEnded {
                request: id,
                attempt,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                finished: open.answer.is_none(),
                report: None,
            }));
            return self.count(outcome_name(Outcome::NotSent));
        };
        debug!(
            request = open.forward.id(),
            attempt = attempt.0,
            endpoint = self.context.discovery.uid(endpoint),
            "sent"
        );
        let (cancel, mut cancelled) = oneshot::channel();
        open.tries.push(Try { endpoint, sent: now, cancel: Some(cancel), progress: progress.clone() });
        open.out += 1;
        let request = open.forward.request(address, &progress);
        let upload = match &open.forward.body {
            Content::Held(_) => None,
            Content::Passed(upload) => Some(upload.clone()),
        };
        let (outbound, inbox) = (self.context.outbound.clone(), self.context.inbox.clone());
        let write_by = write_within.map(|within| now + within);
        let may_time_out = upload.is_none();
        let told = may_time_out.then_some(until);
        let dispatch = Dispatch { endpoint, address, decided: now, write_by, until: told };
        spawn_local(async move {
            let out_of_time = async {
                match upload {
                    None => sleep_until(until).await,
                    Some(upload) => upload.out_of_time().await,
                }
            };
            let ended = tokio::select! {
                biased;
                // The module's timer for the deadline may wake the thread before this task's.
                _ = &mut cancelled => {
                    let late = may_time_out && Instant::now() >= until;
                    Ended::bare(if late { progress.given_up() } else { progress.cancelled() })
                }
                ended = outbound.attempt(dispatch, request, &progress) => ended,
                () = out_of_time => Ended::bare(progress.given_up()),
            };
            let _ = inbox.send(Input::AttemptEnded(id, attempt, ended));
        });
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let Some(&address) = self.addresses.get(&endpoint) else {
            let (outcome, elapsed, report) = (Outcome::ConnectFailed, Duration::ZERO, None);
            return self.due.push_back(Event::ProbeEnded { endpoint, outcome, elapsed, report });
        };
        let (outbound, inbox, sent) =
            (self.context.outbound.clone(), self.context.inbox.clone(), Instant::now());
        spawn_local(async move {
            let ended = outbound.probe(endpoint, address).await;
            let _ = inbox.send(Input::ProbeEnded(endpoint, ended, sent.elapsed()));
        });
    }

    /// Gives a request its final answer, unless it has had one.
    fn finish(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(to) = open.answer.take() else { return };
        open.stop_unwritten();
        let (name, unusual) = match &answer {
            Answer::Served(_) | Answer::Passing(_) => ("served", false),
            Answer::Refused(_) => ("refused", true),
            Answer::Failed => ("failed", true),
            Answer::Rejected => ("rejected", true),
        };
        debug!(request = open.forward.id(), attempts = open.tries.len(), answer = name, "answered");
        if unusual {
            self.count(name);
        }
        let _ = to.send(answer); // fails where the client has just gone
    }

    /// Forgets a request that nothing more can be heard of.
    fn tidy(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.answer.is_none() && open.out == 0) {
            self.requests.remove(&id);
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.unusual.entry(what).or_default() += 1;
    }
}
