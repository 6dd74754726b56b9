//! Whether an attempt is made again, or beside one that is still out. It may know the request's class
//! and attempts, the budget that new requests earn, and which answers fail to come while others are
//! timely.

use super::Balancer;
use super::requests::{Attempt, AttemptState};
use crate::api::*;
use std::time::Duration;

/// Retries that each new request earns; all tiers retry, so the product must stay near one.
pub(super) const RETRY_EARN: f64 = 0.2;
/// Retries that can be saved up, for a fault that strikes many calls at once.
pub(super) const RETRY_SAVED: f64 = 10.0;
/// An attempt's answer may never come once it is out for the mean and so many mean distances from it: few
/// answers take as long even where work is heavy-tailed ...
pub(super) const LOST_DEVIATIONS: f64 = 8.0;
/// ... or already after so many, while endpoints are known to be silent.
pub(super) const SLOW_DEVIATIONS: f64 = 2.0;
/// Silences less those that answers refute, before they are acted on: above one in ten attempts.
const UNANSWERED_THRESHOLD: f64 = 1.5;
pub(super) const UNANSWERED_REFUTED: f64 = 0.1;
const UNANSWERED_MAX: f64 = 6.0;
/// Seconds in which silence is forgotten to a third, so that old connections are trusted again.
pub(super) const UNANSWERED_DECAY_S: f64 = 15.0;
/// What an answer on an old connection says against its kind being dropped unseen.
pub(super) const IDLE_DROP_REFUTED: f64 = 0.25;
/// Above this share of late answers silence is taken for a jam.
const LATE_SHARE: f64 = 0.3;

impl Balancer {
    /// Whether answers fail to come while those that come are timely: dead machines, connections dropped
    /// unseen, a class swallowed. In a jam answers come late, and copies would only feed it.
    pub(super) fn answers_lost(&self, now: Duration) -> bool {
        self.late_share < LATE_SHARE
            && self.unanswered.read(now, UNANSWERED_DECAY_S) >= UNANSWERED_THRESHOLD
    }

    /// An attempt was overtaken, or is out for far longer than any answer takes.
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

    /// Sends a second copy, or where none is allowed the request again, while endpoints are silent.
    pub(super) fn on_overdue(
        &mut self,
        now: Duration,
        id: RequestId,
        number: AttemptNo,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id) else { return };
        let index = number.0 as usize;
        let (attempt, attempts) = (pending.attempts[index], pending.attempts.len());
        if pending.settled() || attempt.state != AttemptState::InFlight || attempts > index + 1 {
            return;
        }
        let overdue = self.latency[pending.class].above_mean(LOST_DEVIATIONS);
        if now + self.settings.tick >= attempt.sent + overdue && self.late_share < LATE_SHARE {
            self.record_unanswered(now, attempt);
        }
        let (limits, hedging) = (&self.settings.limits, self.settings.limits.second_copies);
        let attempts_left = attempts < limits.max_attempts as usize;
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
