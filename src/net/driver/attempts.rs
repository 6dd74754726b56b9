//! Attempts and probes: starts them, and reports their ends to the policy.

use super::Driver;
use crate::net::counters::Counters;
use crate::net::log_text::outcome_name;
use crate::net::message::{Answer, Input, RequestBody};
use crate::net::outbound::{AttemptResult, Dispatch};
use crate::net::progress::Progress;
use crate::net::request_state::Attempt;
use crate::net::upload::Upload;
use gullpulley::{AttemptEnded, AttemptNo, EndpointId, Event, Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

/// When an attempt ends without an answer.
struct AttemptLimits {
    deadline: Instant,
    /// A streamed body, and the X-Request-ID for the log: it has a time-out of its own in place of the deadline.
    upload: Option<(Rc<Upload>, String)>,
    counters: Rc<Counters>,
}

impl AttemptLimits {
    /// The result of the attempt, or how it ended if it was cancelled or ran out of time before.
    async fn end_of(
        self,
        attempt: impl Future<Output = AttemptResult>,
        mut cancelled: oneshot::Receiver<()>,
        progress: &Progress,
    ) -> AttemptResult {
        tokio::select! {
            biased;
            _ = &mut cancelled => AttemptResult::without_answer(self.outcome_on_cancel(progress)),
            result = attempt => result,
            () = self.timed_out() => AttemptResult::without_answer(progress.outcome_on_timeout()),
        }
    }

    /// The policy's timer for the deadline may wake the thread before the attempt's timer.
    fn outcome_on_cancel(&self, progress: &Progress) -> Outcome {
        if self.upload.is_none() && Instant::now() >= self.deadline {
            progress.outcome_on_timeout()
        } else {
            progress.outcome_on_cancel()
        }
    }

    async fn timed_out(&self) {
        let Some((upload, request)) = &self.upload else { return sleep_until(self.deadline).await };
        let end = upload.attempt_over().await;
        upload.log_end(request, end);
        self.counters.record_upload_end(end.name());
    }
}

impl Driver {
    /// Starts an attempt. An attempt that must not be sent still gets a number, and ends as not sent.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        write_within: Option<Duration>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), AttemptNo(pending.attempts.len() as u32));
        let address = self.addresses.get(&endpoint).copied();
        let mut attempt_deadline = pending.deadline.min(now + timeout);
        if let RequestBody::Streamed(upload) = &pending.forward.body {
            attempt_deadline = attempt_deadline.min(upload.answer_deadline());
        }
        let must_not_send = pending.answer.is_none()
            || pending.attempts.len() >= self.max_attempts
            || attempt_deadline <= now;
        let progress = Rc::new(self.context.outbound.new_progress());
        let Some(address) = address.filter(|_| !must_not_send) else {
            pending.attempts.push(Attempt {
                endpoint,
                started_at: now,
                cancel: None,
                progress,
                answered: false,
            });
            return self.end_as_not_sent(id, attempt, endpoint);
        };
        debug!(
            request = pending.forward.x_request_id(),
            attempt = attempt.0,
            endpoint = self.context.discovery.uid(endpoint),
            "sent"
        );
        if pending.may_run_for.is_some() {
            self.context.request_ids.sending(pending.forward.x_request_id());
        }
        let (cancel, cancelled) = oneshot::channel();
        pending.attempts.push(Attempt {
            endpoint,
            started_at: now,
            cancel: Some(cancel),
            progress: progress.clone(),
            answered: false,
        });
        pending.unfinished_attempts += 1;
        let request = pending.forward.attempt_request(address, &progress);
        let upload = match &pending.forward.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => {
                upload.attempt_started();
                Some((upload.clone(), pending.forward.x_request_id().to_owned()))
            }
        };
        let (outbound, inbox) = (self.context.outbound.clone(), self.context.inbox.clone());
        let write_by = write_within.map(|within| now + within);
        let announced_deadline = upload.is_none().then_some(attempt_deadline);
        let dispatch = Dispatch { endpoint, address, decided_at: now, write_by, announced_deadline };
        let counters = self.context.counters.clone();
        let limits = AttemptLimits { deadline: attempt_deadline, upload, counters };
        spawn_local(async move {
            let attempt_end = outbound.attempt(dispatch, request, &progress);
            let result = limits.end_of(attempt_end, cancelled, &progress).await;
            let _ = inbox.send(Input::AttemptEnded(id, attempt, result));
        });
    }

    /// Ends an attempt that must not be sent.
    fn end_as_not_sent(&mut self, id: RequestId, attempt: AttemptNo, endpoint: EndpointId) {
        self.pending_events.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome: Outcome::NotSent,
            elapsed: Duration::ZERO,
            finished: self.requests.get(&id).is_none_or(|pending| pending.answer.is_none()),
            report: None,
        }));
        self.count_unusual(outcome_name(Outcome::NotSent));
    }

    /// Starts a probe, whose end is reported to the policy.
    pub(super) fn probe(&mut self, endpoint: EndpointId) {
        let Some(&address) = self.addresses.get(&endpoint) else {
            let (outcome, elapsed, report) = (Outcome::ConnectFailed, Duration::ZERO, None);
            return self.pending_events.push_back(Event::ProbeEnded { endpoint, outcome, elapsed, report });
        };
        let (outbound, inbox, sent) =
            (self.context.outbound.clone(), self.context.inbox.clone(), Instant::now());
        spawn_local(async move {
            let result = outbound.probe(endpoint, address).await;
            let _ = inbox.send(Input::ProbeEnded(endpoint, result, sent.elapsed()));
        });
    }

    /// Reports the end of an attempt to the policy, and gives the request its answer if it brought one.
    pub(super) fn handle_attempt_end(&mut self, id: RequestId, attempt: AttemptNo, result: AttemptResult) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(entry) = pending.attempts.get_mut(attempt.0 as usize) else { return };
        if entry.cancel.take().is_none() {
            return; // its outcome has already been reported
        }
        pending.unfinished_attempts -= 1;
        let (endpoint, sent, elapsed) = (entry.endpoint, entry.started_at, entry.started_at.elapsed());
        entry.answered = matches!(result.outcome, Outcome::Ok | Outcome::Error | Outcome::NotProcessed);
        let AttemptResult { mut outcome, body, streamed, bad_request, report, connected_for } = result;
        debug!(
            request = pending.forward.x_request_id(),
            attempt = attempt.0,
            outcome = outcome_name(outcome),
            ms = elapsed.as_millis() as u64,
            "attempt ended"
        );
        let (send_started, bad_request) = (
            pending.forward.body.is_send_started(),
            bad_request || pending.forward.body.failed_at_client(),
        );
        if outcome == Outcome::TimedOut {
            self.context.outbound.pool.close_idle_before(endpoint, sent);
        }
        if bad_request {
            // An invalid request says nothing about the endpoint; a retry would use capacity that valid
            // requests need.
            outcome = Outcome::Cancelled;
            self.finish(id, Answer::BadRequest);
        } else if outcome == Outcome::Ok {
            self.finish(id, streamed.map_or(Answer::Served(body), Answer::Streamed));
        } else {
            self.count_unusual(outcome_name(outcome));
        }
        let finished = self.requests.get(&id).is_none_or(|pending| pending.answer.is_none());
        if send_started {
            self.handle_event(Event::BodySendStarted(id));
        }
        self.report_answer(endpoint, connected_for);
        self.handle_event(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished,
            report,
        }));
        self.remove_if_done(id);
    }

    /// Tells the policy that an endpoint has answered, if it has.
    pub(super) fn report_answer(&mut self, endpoint: EndpointId, connected_for: Option<Duration>) {
        if let Some(connected_for) = connected_for {
            self.handle_event(Event::Answered { endpoint, connected_for });
        }
    }
}
