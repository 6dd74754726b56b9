//! Since when an endpoint is known to have gone on without a break. An answer shows that the process that
//! gave it has lived since the answer's connection was opened, as the connections of a process that dies
//! are reset. A machine that is cut off leaves its connections open and silent, and so answers must not
//! lie far apart either. It knows answers, and nothing of the list.

use std::time::Duration;

/// An endpoint that is cut off, or dies and comes back, is away for longer: no page says so, it was seen
/// in service.
const MIN_ABSENCE: Duration = Duration::from_secs(2);
/// Answers further apart leave room for an endpoint to have been cut off in between.
pub(super) const MAX_ANSWER_GAP: Duration = MIN_ABSENCE;
/// Spans kept: two connections that were opened one after the other may prove later to lead to one process.
const MAX_SPANS: usize = 2;

/// One process lived throughout, and answered again and again.
#[derive(Clone, Copy)]
struct Span {
    since: Duration,
    until: Duration,
}

/// What an endpoint's answers show of its life. Time is handed in.
#[derive(Clone, Default)]
pub struct Continuity {
    /// The one that ends last is the last.
    spans: Vec<Span>,
    /// What was seen before then speaks for it no more.
    broken_at: Duration,
}

impl Continuity {
    /// It has answered on a connection that had been open for so long.
    pub fn answered(&mut self, now: Duration, connected_for: Duration) {
        let opened = now.saturating_sub(connected_for).max(self.broken_at);
        let extended = |span: &Span| opened <= span.until && now <= span.until + MAX_ANSWER_GAP;
        let since = self.spans.iter().filter(|span| extended(span)).map(|span| span.since).min();
        self.spans.retain(|span| !extended(span));
        let alone = opened.max(now.saturating_sub(MAX_ANSWER_GAP));
        self.spans.push(Span { since: since.unwrap_or(alone), until: now });
        if self.spans.len() > MAX_SPANS {
            self.spans.remove(0);
        }
    }

    /// It has refused to be asked, or failed its health check.
    pub fn broken(&mut self, now: Duration) {
        self.spans.clear();
        self.broken_at = now;
    }

    /// Whether one process is known to have gone on without a break over this time, or to have answered
    /// so soon after its beginning that it can't have been away before.
    pub fn covers(&self, since: Duration, until: Duration) -> bool {
        let unbroken = |span: &Span| span.since <= since + MIN_ABSENCE && until <= span.until;
        self.broken_at <= since && self.spans.iter().any(unbroken)
    }
}
