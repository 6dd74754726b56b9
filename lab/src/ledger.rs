//! What the endpoints saw: effects by request, and breaches of the rules that show only there.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A breach, with what it concerns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Breach {
    /// A request had more effects than its class allows.
    Repeated {
        /// Its X-Request-ID.
        request: String,
    },
    /// A request came to an endpoint that drains, after the grace.
    Draining {
        /// The endpoint.
        endpoint: String,
        /// The number of the copy that sent it, where the request says so.
        copy: Option<usize>,
    },
    /// A copy beside an endpoint took a call, lived, and gave no answer in time.
    Unanswered {
        /// The copy.
        copy: String,
    },
    /// An endpoint was told of more time than the client had left, beyond the slack.
    TooMuchTime {
        /// The request's X-Request-ID.
        request: String,
        /// By how many milliseconds.
        by_ms: f64,
    },
    /// A request came to an endpoint though its client had gone, beyond the slack.
    AfterClientLeft {
        /// Its X-Request-ID.
        request: String,
        /// So many milliseconds after that.
        after_ms: f64,
    },
    /// A cold endpoint was pushed over.
    PushedOver {
        /// The endpoint.
        endpoint: String,
    },
}

/// What the endpoints saw.
#[derive(Default)]
pub struct Ledger(Mutex<Seen>);

#[derive(Default)]
struct Seen {
    effects: HashMap<String, u32>,
    /// When clients gave up, by request.
    left: HashMap<String, Instant>,
    breaches: Vec<Breach>,
    attempts: u64,
}

impl Ledger {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request reached an endpoint.
    pub fn attempt(&self) {
        self.seen().attempts += 1;
    }

    /// A request had an effect; `once` where its class allows no second one.
    pub fn effect(&self, request: &str, once: bool) {
        let mut seen = self.seen();
        let count = seen.effects.entry(request.to_owned()).or_default();
        *count += 1;
        if once && *count == 2 {
            seen.breaches.push(Breach::Repeated { request: request.to_owned() });
        }
    }

    /// The client of a request has gone.
    pub fn client_left(&self, request: &str) {
        self.seen().left.insert(request.to_owned(), Instant::now());
    }

    /// For how long the client of a request has been gone; none while it waits.
    pub fn gone_for(&self, request: &str) -> Option<Duration> {
        self.seen().left.get(request).map(Instant::elapsed)
    }

    /// A rule was broken.
    pub fn breach(&self, breach: Breach) {
        self.seen().breaches.push(breach);
    }

    /// Requests that reached endpoints, and all breaches so far.
    pub fn so_far(&self) -> (u64, Vec<Breach>) {
        let seen = self.seen();
        (seen.attempts, seen.breaches.clone())
    }
}
