//! Tells an answer without a stated length that never ends from one that is only slow.
//!
//! - The final answer is due half a second after the client's time at the latest, so one that has brought no more than a
//!   small answer by then is ended.
//! - What has brought more is a large answer. Only its first bytes are timed, and it goes on for as long as its
//!   endpoint sends it.
//! - One that has begun shortly before the client's time may be a large one that has not brought as much yet. It goes on
//!   for as long as it keeps up with the slowest sender of a large answer, which takes a second at most.

use super::body_limits::MAX_BUFFERED_BODY;
use std::time::Duration;
use tokio::time::Instant;

/// How long after the client's time a small answer may still end: the client needs to see its end within half a second,
/// and this process may be held up for 0.15 s.
const END_GRACE: Duration = Duration::from_millis(350);
/// Bytes per second of the slowest sender of a large answer.
const LARGE_ANSWER_RATE: f64 = 64_000.0;
/// How far it may fall behind that rate: it sends in pieces.
const MAX_LAG: Duration = Duration::from_millis(300);

/// How an answer has come so far.
pub struct AnswerPace {
    received_bytes: u64,
    /// How long its endpoint may send nothing and keep up with the slowest sender.
    allowed_wait: Duration,
}

impl AnswerPace {
    /// An answer of which nothing has come.
    pub fn new() -> Self {
        AnswerPace { received_bytes: 0, allowed_wait: MAX_LAG }
    }

    /// Records that so many bytes have come after this wait for the endpoint.
    pub fn record(&mut self, bytes: usize, waited: Duration) {
        self.received_bytes += bytes as u64;
        let sending_time = Duration::from_secs_f64(bytes as f64 / LARGE_ANSWER_RATE);
        self.allowed_wait = (self.allowed_wait.saturating_sub(waited) + sending_time).min(MAX_LAG);
    }

    /// When the answer counts as one that never ends if no more arrives; none if it is a large one.
    pub fn endless_at(&self, client_deadline: Instant, waiting_since: Instant) -> Option<Instant> {
        let is_large = self.received_bytes > MAX_BUFFERED_BODY as u64;
        (!is_large).then(|| (client_deadline + END_GRACE).max(waiting_since + self.allowed_wait))
    }
}

#[cfg(test)]
mod tests;
