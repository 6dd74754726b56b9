//! Since when an endpoint is known to have run without interruption. An answer shows that the process
//! that sent it has been running since the answer's connection was opened, as the connections of a
//! process that dies are reset. A machine that is cut off from the network leaves its connections open
//! and silent, so answers must not be far apart either. Depends on answers alone, not on the endpoint
//! list.

use std::time::Duration;

/// An endpoint that is cut off, or dies and comes back, is away for longer than this: observed in
/// service, not documented.
const MIN_ABSENCE: Duration = Duration::from_secs(2);
/// If two answers are further apart, the endpoint may have been cut off in between.
pub(super) const MAX_ANSWER_GAP: Duration = MIN_ABSENCE;
/// Spans kept: later answers may show that two connections, opened one after the other, lead to the same
/// process.
const MAX_SPANS: usize = 2;

/// A period during which one process ran throughout and answered repeatedly.
#[derive(Clone, Copy)]
struct Span {
    since: Duration,
    until: Duration,
}

/// What an endpoint's answers prove of its uninterrupted operation. The caller passes in the time.
#[derive(Clone, Default)]
pub struct Continuity {
    /// Ordered by their end, the latest last.
    spans: Vec<Span>,
    /// Answers from before this time no longer count.
    broken_at: Duration,
}

impl Continuity {
    /// Records an answer on a connection that had been open for `connected_for`.
    pub fn answered(&mut self, now: Duration, connected_for: Duration) {
        let opened = now.saturating_sub(connected_for).max(self.broken_at);
        let extended = |span: &Span| opened <= span.until && now <= span.until + MAX_ANSWER_GAP;
        let since = self.spans.iter().filter(|span| extended(span)).map(|span| span.since).min();
        self.spans.retain(|span| !extended(span));
        let new_since = opened.max(now.saturating_sub(MAX_ANSWER_GAP));
        self.spans.push(Span { since: since.unwrap_or(new_since), until: now });
        if self.spans.len() > MAX_SPANS {
            self.spans.remove(0);
        }
    }

    /// Records that it has refused a connection or failed its health check.
    pub fn broken(&mut self, now: Duration) {
        self.spans.clear();
        self.broken_at = now;
    }

    /// Whether one process is known to have run without interruption from `since` to `until`. A process
    /// that first answered soon after `since` counts, as it can't have been away and back in that time.
    pub fn covers(&self, since: Duration, until: Duration) -> bool {
        let unbroken = |span: &Span| span.since <= since + MIN_ABSENCE && until <= span.until;
        self.broken_at <= since && self.spans.iter().any(unbroken)
    }
}
