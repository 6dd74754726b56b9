//! The life of a request: received, sent, answered or given up, removed. Depends on the request, its
//! attempts, and the decisions of the other modules: which endpoint, whether to retry, whether there is
//! capacity.

use super::choice::Eligibility;
use super::endpoint_list::Endpoint;
use super::limits::CLIENT_RETRY_MIN_FACTOR;
use super::retries::{IDLE_DROP_REFUTED, LOST_DEVIATIONS, RETRY_EARN, RETRY_SAVED, SLOW_DEVIATIONS};
use super::slow_start::RATE_DECAY_S;
use super::{Balancer, Timer};
use crate::api::*;
use crate::stats::LATENCY_MIN_SAMPLES;
use std::time::Duration;

/// What is known about the effect of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    NotProcessed,
    MaybeProcessed,
}

#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) cell: CellId,
    pub(super) zone: ZoneId,
    pub(super) sent: Duration,
    /// How long the connection that it was sent on had been idle; zero for a new one.
    pub(super) idle: Duration,
    pub(super) state: AttemptState,
    /// The endpoint has received the whole request and works on it: only then is it a call in flight.
    pub(super) counts_in_flight: bool,
}

/// A request that is not finished, or that has attempts that have not ended.
pub(super) struct Pending {
    pub(super) class: usize,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    /// Fraction of its class's worth: reduced above its tenant's share, and for a retry by the client.
    pub(super) worth: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) finished: bool,
    pub(super) streaming: bool,
    /// Its body is still being received.
    pub(super) uploading: bool,
    /// Its body can't be sent again, so it can't be retried.
    pub(super) no_retry: bool,
}

impl Pending {
    /// Whether no further decision is needed for it.
    pub(super) fn settled(&self) -> bool {
        self.finished || self.streaming
    }

    pub(super) fn none_in_flight(&self) -> bool {
        self.attempts.iter().all(|a| a.state != AttemptState::InFlight)
    }

    /// The attempts that the endpoint may have processed.
    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.state != AttemptState::NotProcessed)
    }
}

impl Balancer {
    pub(super) fn on_request(&mut self, now: Duration, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.arrivals.count(now, RATE_DECAY_S);
        self.retry_tokens = (self.retry_tokens + RETRY_EARN).min(RETRY_SAVED);
        let class = request.class.0.min(self.settings.classes.len() - 1);
        let exceeds_share = self.exceeds_share(now, request.tenant.0);
        let mut worth = if exceeds_share { self.settings.over_share_worth } else { 1.0 };
        if request.client_retry {
            worth *= self.settings.classes[class].late_value.max(CLIENT_RETRY_MIN_FACTOR);
        }
        let (arrived, deadline, attempts) = (now, now + request.time_left, Vec::new());
        let (finished, streaming, uploading, no_retry) = (false, false, request.streamed_body, false);
        let pending =
            Pending { class, arrived, deadline, worth, attempts, finished, streaming, uploading, no_retry };
        self.requests.insert(id, pending);
        if !uploading {
            self.set_timer(request.time_left, Timer::Deadline(id), out);
        }
        let eligibility_before = self.eligibility;
        self.dispatch(now, id, out);
        let queued = self.queued.last() == Some(&id);
        let expired = matches!(self.eligibility, Eligibility::ContinuouslyHealthy { .. });
        self.queued_without_lease += u64::from(queued && expired);
        self.log_eligibility(eligibility_before, out);
        self.probe_endpoints(now, out);
    }

    /// Sends a request that has no attempt in flight, or queues it, or gives it up.
    pub(super) fn dispatch(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.settled() {
            return;
        }
        let exhausted = pending.attempts.len() as u32 >= self.settings.limits.max_attempts;
        // The window in which its key is remembered may have passed while a retry was queued: check
        // again.
        let exhausted = exhausted || pending.deadline <= now || self.too_late(now, pending);
        if exhausted || !self.may_repeat(now, id) {
            return self.give_up(id, out);
        }
        let Some(i) = self.pick_endpoint(now, id) else {
            self.queued.push(id);
            return self.schedule_recheck(out);
        };
        self.send(now, id, i, out);
    }

    /// Whether a queued request without any attempt would be answered after its objective or deadline if
    /// it were sent now.
    pub(super) fn too_late(&self, now: Duration, pending: &Pending) -> bool {
        let mean_latency = Duration::from_secs_f64(self.latency[pending.class].mean);
        let objective = pending.arrived + self.settings.classes[pending.class].objective;
        pending.attempts.is_empty()
            && now > pending.arrived
            && now + mean_latency > objective.min(pending.deadline)
    }

    pub(super) fn send(&mut self, now: Duration, id: RequestId, i: usize, out: &mut Vec<Action>) {
        let (slow_start_tokens, side) = (self.slow_start_tokens(now, i), self.side(i));
        let lossy = self.answers_lost(now);
        let endpoint = &mut self.endpoints[i];
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let mut idle = endpoint.idle_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if lossy && idle >= self.idle_drop_after {
            // Something on the path drops idle connections silently; a handshake costs less than a lost
            // call.
            out.push(Action::CloseIdle { endpoint: endpoint.info.id });
            endpoint.idle_since = None;
            idle = Duration::ZERO;
        }
        // For a keyed request that may have run, the window also ends for an attempt that is still
        // connecting; so does the lease on the list for any attempt.
        let window = match self.settings.classes[pending.class].semantics {
            Semantics::Keyed { window, .. } => {
                pending.may_have_run().next().map(|first| (first.sent + window).saturating_sub(now))
            }
            _ => None,
        };
        let listed_until = match self.eligibility {
            Eligibility::ContinuouslyHealthy { .. } => endpoint.healthy_until(),
            _ => self.schedule.lease().end().map(|end| end.at),
        };
        let write_within = window.into_iter().chain(listed_until.map(|at| at.saturating_sub(now))).min();
        let counts_in_flight = !pending.uploading;
        endpoint.in_flight += u32::from(counts_in_flight);
        self.windows[side].in_flight += u32::from(counts_in_flight);
        (endpoint.slow_start_tokens, endpoint.slow_start_at) = (slow_start_tokens - 1.0, now);
        pending.attempts.push(Attempt {
            endpoint: endpoint.info.id,
            cell: endpoint.info.cell,
            zone: endpoint.info.zone,
            sent: now,
            idle,
            state: AttemptState::InFlight,
            counts_in_flight,
        });
        let timeout = pending.deadline.saturating_sub(now);
        out.push(Action::Send { request: id, endpoint: endpoint.info.id, timeout, write_within });
        let (number, class) = (AttemptNo(pending.attempts.len() as u32 - 1), pending.class);
        let overdue = self.latency[class].above_mean(if lossy { SLOW_DEVIATIONS } else { LOST_DEVIATIONS });
        if counts_in_flight && self.latency[class].seen >= LATENCY_MIN_SAMPLES && overdue < timeout {
            self.set_timer(overdue, Timer::Overdue(id, number), out);
        }
    }

    pub(super) fn on_attempt_ended(&mut self, now: Duration, ended: AttemptEnded, out: &mut Vec<Action>) {
        let id = ended.request;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(ended.attempt.0 as usize) else { return };
        if attempt.state != AttemptState::InFlight {
            return; // duplicate report of an outcome
        }
        attempt.state = if ended.outcome.never_ran() {
            AttemptState::NotProcessed
        } else {
            AttemptState::MaybeProcessed
        };
        let Attempt { endpoint, zone, idle, sent, counts_in_flight, .. } = *attempt;
        let (class, no_retry, side) = (pending.class, pending.no_retry, self.settings.side(zone));
        if let Some(&i) = self.index.get(&endpoint) {
            // The times are those of sending: a call that was sent before a refused one doesn't outdate
            // that refusal, even if its answer comes later.
            let Endpoint { accepted, refused, continuity, .. } = &mut self.endpoints[i];
            match ended.outcome {
                Outcome::Ok => *accepted = (*accepted).max(Some(sent)),
                Outcome::NotProcessed | Outcome::ConnectFailed => *refused = (*refused).max(Some(sent)),
                _ => {}
            }
            if ended.outcome == Outcome::ConnectFailed {
                continuity.broken(now);
            }
        }
        if ended.outcome == Outcome::Ok && idle >= self.idle_drop_after {
            self.idle_drops -= IDLE_DROP_REFUTED;
        }
        if self.idle_drops < 1.0 {
            (self.idle_drop_after, self.idle_drops) = (Duration::MAX, self.idle_drops.max(0.0));
        }
        let overtaken = |p: &Pending| {
            p.attempts[..ended.attempt.0 as usize]
                .iter()
                .copied()
                .find(|a| a.state == AttemptState::InFlight)
        };
        if ended.outcome == Outcome::Ok
            && let Some(unanswered) = self.requests.get(&id).and_then(overtaken)
        {
            self.record_unanswered(now, unanswered);
        }
        if counts_in_flight {
            self.record_outcome(now, endpoint, side, class, &ended);
        } else if let Some(&i) = self.index.get(&endpoint)
            && ended.outcome == Outcome::ConnectFailed
            && !no_retry
        {
            self.endpoints[i].add_failure_penalty(now);
        }
        if ended.finished {
            self.finish(id, out);
        }
        let idle = self.requests.get(&id).is_some_and(|p| !p.settled() && p.none_in_flight());
        if idle {
            if self.retry_tokens >= 1.0 && self.may_repeat(now, id) {
                self.retry_tokens -= 1.0;
                self.dispatch(now, id, out);
            } else {
                self.give_up(id, out);
            }
        }
        self.remove_if_done(id);
        self.dispatch_queued(now, out);
    }

    /// Ends a request that can't be served: refuses it if a retry by the client is safe, else fails it.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|p| !p.settled()) else { return };
        let never_ran = pending.may_have_run().next().is_none();
        let class = &self.settings.classes[pending.class];
        let harmless = never_ran
            || matches!(class.semantics, Semantics::Safe | Semantics::Keyed { group: Group::All, .. });
        // By then the requests that are in flight now have been answered or given up.
        let limits = &self.settings.limits;
        let retry_after = limits.retry_after.then(|| class.objective.min(limits.max_retry_after));
        let refusal = Action::Refuse { request: id, retry_after };
        out.push(if harmless { refusal } else { Action::Fail { request: id } });
        self.finish(id, out);
    }

    /// Marks a request as finished, cancels its attempts in flight, and removes it if there are none.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if !pending.finished {
            pending.finished = true;
            for (number, attempt) in pending.attempts.iter().enumerate() {
                if attempt.state == AttemptState::InFlight
                    && !pending.streaming
                    && self.settings.limits.cancelling
                {
                    out.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
                }
            }
        }
        self.queued.retain(|&queued| queued != id);
        self.remove_if_done(id);
    }

    fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.none_in_flight()) {
            self.requests.remove(&id);
        }
    }
}
