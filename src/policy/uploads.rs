//! Requests whose large bodies are forwarded while they arrive.

use super::requests::AttemptState;
use super::{Balancer, Timer};
use crate::api::*;
use std::time::Duration;

impl Balancer {
    /// The last byte of a streamed body has arrived: the client's time runs, and no attempt begins after its
    /// end. An attempt that still forwards the body ends by itself at that time, and is known then never to
    /// have run.
    pub(super) fn on_body_received(&mut self, now: Duration, id: RequestId, left: Duration) {
        if let Some(pending) = self.requests.get_mut(&id).filter(|pending| pending.uploading) {
            (pending.arrived, pending.deadline) = (now, now + left);
        }
    }

    /// A streamed body is complete: only now does the endpoint start to work, and the deadline to run.
    pub(super) fn on_body(&mut self, now: Duration, id: RequestId, left: Duration, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id).filter(|p| p.uploading) else { return };
        (pending.uploading, pending.arrived, pending.deadline) = (false, now, now + left);
        for attempt in
            pending.attempts.iter_mut().filter(|a| a.state == AttemptState::InFlight && !a.counts_in_flight)
        {
            attempt.sent = now;
            // An endpoint that was removed in the meantime has no calls to count.
            let Some(&i) = self.index.get(&attempt.endpoint) else { continue };
            attempt.counts_in_flight = true;
            self.endpoints[i].in_flight += 1;
            self.windows[self.settings.side(attempt.zone)].in_flight += 1;
        }
        self.set_timer(left, Timer::Deadline(id), out);
    }
}
