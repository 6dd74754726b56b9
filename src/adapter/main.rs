//! Runs balancer instances for the simulator: reads batches of events from standard input, and writes the
//! actions to standard output.
#![forbid(unsafe_code)]

use gullpulley::adapter::{self, Line, ListMode, WireError};
use gullpulley::{
    Action, Balancer, Discovery, DiscoveryFailure, EndpointInfo, EndpointNames, Event, Membership,
    RequestId,
};
use std::collections::HashMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;

/// Multiple of `ask_within` for which a list may be used after a failed call, as the simulator's protocol
/// page says.
const KNOWN_WITHIN_ASK_INTERVALS: u32 = 4;

fn main() -> ExitCode {
    // A panic of an instance is reported to the simulator; the default hook's output would add nothing to
    // it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("gullpulley-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// A request that further messages may refer to.
struct TrackedRequest {
    name: String,
    attempts_in_flight: u32,
    finished: bool,
}

struct Instance {
    balancer: Balancer,
    ids: HashMap<String, RequestId>,
    requests: HashMap<RequestId, TrackedRequest>,
    next_request: u64,
    classes: usize,
    tenants: usize,
}

#[derive(Default)]
struct Host {
    names: EndpointNames,
    instances: HashMap<u32, Instance>,
    tables: HashMap<u8, Vec<EndpointInfo>>,
    /// The table being read, and the number of its entries still to come.
    open_table: Option<(u8, usize)>,
    now: Option<Duration>,
    actions: Vec<Action>,
    reply: String,
}

fn serve(input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut output = BufWriter::new(output);
    let mut last = 0;
    for (number, line) in (1..).zip(input.split(b'\n')) {
        let bytes = line.map_err(|e| format!("line {number}: {e}"))?;
        let text = std::str::from_utf8(&bytes).map_err(|e| format!("line {number}: field `text`: {e}"))?;
        host.handle_line(number, text).map_err(|e| e.to_string())?;
        if host.now.is_none() {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| e.to_string())?;
            host.reply.clear();
        }
        last = number;
    }
    match host.now {
        None => Ok(()),
        Some(_) => Err(format!("line {last}: field `message`: input ends inside a batch")),
    }
}

impl Host {
    fn handle_line(&mut self, number: u64, text: &str) -> Result<(), WireError> {
        let error =
            |field: &str, problem: String| WireError { line: number, field: field.to_owned(), problem };
        let line = adapter::parse(number, text, &mut self.names)?;
        if self.open_table.is_some() != matches!(line, Line::Entry(_)) {
            return Err(error(
                "message",
                "the number of entries is not the number announced for the table".to_owned(),
            ));
        }
        let now = match (&line, self.now) {
            (Line::Turn(now), None) => {
                self.now = Some(*now);
                return Ok(());
            }
            (Line::Turn(_), Some(_)) => return Err(error("message", "a batch is already open".to_owned())),
            (_, None) => return Err(error("message", "no batch is open".to_owned())),
            (_, Some(now)) => now,
        };
        match line {
            Line::Turn(_) => {}
            Line::Flush => {
                self.now = None;
                self.reply.push_str("next\n");
            }
            Line::Table { bank, entries } => {
                self.tables.insert(bank, Vec::new());
                self.open_table = (entries > 0).then_some((bank, entries));
            }
            Line::Entry(entry) => {
                if let Some((bank, remaining)) = self.open_table {
                    self.tables.entry(bank).or_default().push(entry);
                    self.open_table = (remaining > 1).then_some((bank, remaining - 1));
                }
            }
            Line::Spawn { instance, seed, mut settings } => {
                // The simulator's protocol page has no other term for this than the one after a failed
                // call.
                settings.rules.known_within = settings.rules.ask_within * KNOWN_WITHIN_ASK_INTERVALS;
                let polls = settings.discovery == Discovery::Ask;
                settings.rules.cached_list_for = polls.then_some(settings.rules.known_within);
                // Without tenants in the settings, requests still carry tenant 0.
                let (classes, tenants) = (settings.classes.len(), settings.tenants.len().max(1));
                let balancer =
                    Balancer::new(*settings, seed, now).map_err(|e| error("conf", e.to_string()))?;
                let (ids, requests) = Default::default();
                self.instances.insert(
                    instance,
                    Instance { balancer, ids, requests, next_request: 0, classes, tenants },
                );
            }
            Line::Detach(instance) => {
                if self.instances.remove(&instance).is_none() {
                    return Err(error("sidecar", format!("{instance} is not running")));
                }
            }
            Line::Targets { instance, mode, bank } => {
                let entries_of_table = |tables: &HashMap<u8, Vec<EndpointInfo>>| {
                    tables
                        .get(&bank)
                        .cloned()
                        .ok_or_else(|| error("bank", format!("no table {bank} was sent")))
                };
                let update = match mode {
                    ListMode::Failed => Membership::Failed {
                        silent_for: Duration::ZERO,
                        // The message does not say whether the call was accepted.
                        failure: DiscoveryFailure::NotConnected,
                    },
                    ListMode::Changes => Membership::Delta(entries_of_table(&self.tables)?),
                    ListMode::Full => Membership::Full(entries_of_table(&self.tables)?),
                    ListMode::Cached => Membership::Cached(entries_of_table(&self.tables)?),
                };
                self.handle_event(number, now, instance, Event::Membership(update))?;
            }
            Line::Event { instance, name, mut event } => {
                let Some(running) = self.instances.get_mut(&instance) else {
                    return Err(error("sidecar", format!("{instance} is not running")));
                };
                if let Event::Request(request) = &event {
                    for (field, index, size) in [
                        ("customer", request.tenant.0, running.tenants),
                        ("kind", request.class.0, running.classes),
                    ] {
                        if index >= size {
                            return Err(error(field, format!("{index} is out of range, there are {size}")));
                        }
                    }
                }
                if running.fill_in_request_id(name, &mut event) {
                    self.handle_event(number, now, instance, event)?;
                }
            }
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        number: u64,
        now: Duration,
        instance: u32,
        event: Event,
    ) -> Result<(), WireError> {
        let Some(running) = self.instances.get_mut(&instance) else {
            let problem = format!("{instance} is not running");
            return Err(WireError { line: number, field: "sidecar".to_owned(), problem });
        };
        let actions = &mut self.actions;
        actions.clear();
        let subject = match &event {
            Event::AttemptEnded(ended) => Some(ended.request),
            Event::RequestGone(id) => Some(*id),
            _ => None,
        };
        let balancer = &mut running.balancer;
        let outcome = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = outcome {
            let problem = panic.downcast_ref::<String>().map(String::as_str);
            let problem = problem.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.reply.push_str(&adapter::print_panic(instance, problem));
            self.reply.push('\n');
            return Ok(());
        }
        for action in &self.actions {
            let request = running.track_action(action);
            self.reply.push_str(&adapter::print(instance, action, &request, &self.names));
            self.reply.push('\n');
        }
        for id in subject.into_iter().chain(self.actions.iter().filter_map(request_of)) {
            running.forget_if_done(id);
        }
        Ok(())
    }
}

fn request_of(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. }
        | Action::Refuse { request, .. }
        | Action::Fail { request }
        | Action::Cancel { request, .. } => Some(*request),
        _ => None,
    }
}

impl Instance {
    /// Replaces the placeholder in the event by the id of its request. Returns false if the request is not
    /// tracked any more, and the event has to be ignored.
    fn fill_in_request_id(&mut self, name: Option<String>, event: &mut Event) -> bool {
        let Some(name) = name else { return true };
        if let Event::Request(request) = event {
            self.next_request += 1;
            request.id = RequestId(self.next_request);
            self.ids.insert(name.clone(), request.id);
            self.requests
                .insert(request.id, TrackedRequest { name, attempts_in_flight: 0, finished: false });
            return true;
        }
        let Some(&id) = self.ids.get(&name) else { return false };
        let Some(tracked) = self.requests.get_mut(&id) else { return false };
        match event {
            Event::StreamStarted { request, .. } => *request = id,
            Event::RequestGone(request) => {
                *request = id;
                tracked.finished = true;
            }
            Event::AttemptEnded(ended) => {
                ended.request = id;
                tracked.attempts_in_flight = tracked.attempts_in_flight.saturating_sub(1);
                tracked.finished |= ended.finished;
            }
            _ => {}
        }
        true
    }

    /// Updates the state of the action's request, and returns the request's name.
    fn track_action(&mut self, action: &Action) -> String {
        let Some(id) = request_of(action) else { return String::new() };
        let Some(tracked) = self.requests.get_mut(&id) else { return "-".to_owned() };
        tracked.attempts_in_flight += u32::from(matches!(action, Action::Send { .. }));
        tracked.finished |= matches!(action, Action::Refuse { .. } | Action::Fail { .. });
        tracked.name.clone()
    }

    /// Stops tracking a request that is finished and has no attempts in flight.
    fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|tracked| tracked.finished && tracked.attempts_in_flight == 0)
            && let Some(tracked) = self.requests.remove(&id)
        {
            self.ids.remove(&tracked.name);
        }
    }
}
