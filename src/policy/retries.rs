//! Retries and hedged requests: whether a further attempt is made after a failed one, or beside one that
//! is still in flight. Depends on the request's class and attempts, on the retry budget that new requests
//! earn, and on whether answers fail to come while others are timely.

use super::Balancer;
use super::requests::{Attempt, AttemptState};
use crate::api::*;
use std::time::Duration;

/// Retries that each new request earns; all tiers retry, so the product of their ratios must stay near
/// one.
pub(super) const RETRY_EARN: f64 = 0.2;
/// Retries that can be saved up, for a fault that hits many calls at once.
pub(super) const RETRY_SAVED: f64 = 10.0;
/// An attempt counts as lost once it is overdue by this many mean deviations above the mean: few answers
/// take as long even where service times are heavy-tailed ...
pub(super) const LOST_DEVIATIONS: f64 = 8.0;
/// ... and is hedged after this many already while answers are known to be lost.
pub(super) const SLOW_DEVIATIONS: f64 = 2.0;
/// Lost attempts, less what answers offset, from which on they are acted on: more than one in ten
/// attempts.
const UNANSWERED_THRESHOLD: f64 = 1.5;
pub(super) const UNANSWERED_REFUTED: f64 = 0.1;
const UNANSWERED_MAX: f64 = 6.0;
/// Time constant, in seconds, in which lost attempts fall to a third, so that old connections are used
/// again.
pub(super) const UNANSWERED_DECAY_S: f64 = 15.0;
/// How much an answer on a connection that was idle offsets the evidence that such connections are
/// dropped silently.
pub(super) const IDLE_DROP_REFUTED: f64 = 0.25;
/// Above this share of late answers, missing answers are attributed to overload.
const LATE_SHARE: f64 = 0.3;

impl Balancer {
    /// Whether answers fail to come while those that come are timely: dead machines, silently dropped
    /// connections, or a class that gets no answers at all. In overload answers come late, and hedged
    /// requests would make it worse.
    pub(super) fn answers_lost(&self, now: Duration) -> bool {
        self.late_share < LATE_SHARE
            && self.unanswered.read(now, UNANSWERED_DECAY_S) >= UNANSWERED_THRESHOLD
    }

    /// Records an attempt that was overtaken by a later one, or has taken far longer than answers do.
    pub(super) fn record_unanswered(&mut self, now: Duration, attempt: Attempt) {
        self.unanswered.set(now, (self.unanswered.read(now, UNANSWERED_DECAY_S) + 1.0).min(UNANSWERED_MAX));
        if attempt.idle.is_zero() {
            self.idle_drops -= 1.0;
        } else {
            self.idle_drops = (self.idle_drops + 1.0).min(UNANSWERED_MAX);
            self.idle_drop_after = self.idle_drop_after.min(attempt.idle);
        }
        if let Some(&i) = self.index.get(&attempt.endpoint) {
            self.endpoints[i].add_failure_penalty(now);
        }
    }

    /// While answers are lost, sends a hedged request or, if none is allowed, cancels the attempt to
    /// retry it.
    pub(super) fn on_overdue(
        &mut self,
        now: Duration,
        id: RequestId,
        number: AttemptNo,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id) else { return };
        let index = number.0 as usize;
        let (attempt, attempt_count) = (pending.attempts[index], pending.attempts.len());
        if pending.settled() || attempt.state != AttemptState::InFlight || attempt_count > index + 1 {
            return;
        }
        let overdue = self.latency[pending.class].above_mean(LOST_DEVIATIONS);
        if now + self.settings.tick >= attempt.sent + overdue && self.late_share < LATE_SHARE {
            self.record_unanswered(now, attempt);
        }
        let (limits, hedging) = (&self.settings.limits, self.settings.limits.second_copies);
        let attempts_left = attempt_count < limits.max_attempts as usize;
        if !attempts_left || !self.answers_lost(now) || self.retry_tokens < 1.0 || !self.may_repeat(now, id)
        {
            return;
        }
        if !hedging && limits.cancelling {
            out.push(Action::Cancel { request: id, attempt: number });
        } else if hedging && let Some(i) = self.pick_endpoint(now, id) {
            self.retry_tokens -= 1.0;
            self.send(now, id, i, out);
        }
    }

    /// Rule 2: whether a further attempt is allowed at all.
    pub(super) fn may_repeat(&self, now: Duration, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else { return false };
        if pending.no_retry {
            return false;
        }
        let ran = pending.may_have_run().next();
        match (self.settings.classes[pending.class].semantics, ran) {
            (_, None) | (Semantics::Safe, _) => true,
            (Semantics::Unsafe, Some(_)) => false,
            (Semantics::Keyed { window, .. }, Some(first)) => now < first.sent + window,
        }
    }
}
