//! X-Request-IDs that may not come again: those of requests in progress, and for a while those of requests that an
//! endpoint may still be working on though nobody waits for them any more, or that another process of this sidecar
//! has sent.

use super::shared_ids::SharedIds;
use gullpulley::stable_hash;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// The most ids that are remembered; beyond it the oldest are forgotten.
const MAX_REMEMBERED: usize = 16 * 1024;

/// Why an id may not come now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFresh {
    /// A request with it is in progress.
    InProgress,
    /// A request with it has ended without an answer of its endpoint, which may still be working on it, or was sent by
    /// another process of this sidecar.
    MayStillRun,
}

impl NotFresh {
    /// What its client is told.
    pub fn text(self) -> &'static str {
        match self {
            NotFresh::InProgress => "X-Request-ID is not fresh: in progress",
            NotFresh::MayStillRun => "X-Request-ID is not fresh: its request may still run",
        }
    }
}

/// The ids that may not come again.
#[derive(Default)]
pub struct RequestIds {
    in_progress: RefCell<HashSet<String>>,
    remembered: RefCell<Remembered>,
    /// What the processes of this sidecar tell each other; none if there is only one at any time.
    shared: Option<SharedIds>,
    /// How long what other processes have sent is remembered.
    longest_time: Duration,
}

/// Hashes of ids, each with the time until which it is remembered.
#[derive(Default)]
struct Remembered {
    until: HashMap<u64, Instant>,
    /// In the order in which they came.
    order: VecDeque<(Instant, u64)>,
}

impl RequestIds {
    /// No id has come yet. What other processes have sent is remembered for this long.
    pub fn new(shared: Option<SharedIds>, longest_time: Duration) -> Self {
        RequestIds { shared, longest_time, ..RequestIds::default() }
    }

    /// Looks for other processes of this sidecar, and takes over what they have sent.
    pub fn find_other_processes(&self, is_alive: impl Fn(&str) -> bool) {
        let found = self.shared.as_ref().map(|shared| shared.find_others(is_alive));
        self.remember_hashes(found.unwrap_or_default());
    }

    /// A request with this id is about to be sent to an endpoint, where it must not run twice.
    pub fn sending(&self, id: &str) {
        let recorded = self.shared.as_ref().map(|shared| shared.record(id));
        if let Some(Err(error)) = recorded {
            debug!(request = id, %error, "could not tell other processes of an id");
        }
    }

    /// Begins a request with this id.
    pub fn begin(&self, id: &str) -> Result<(), NotFresh> {
        let new = self.shared.as_ref().map(SharedIds::read_new);
        self.remember_hashes(new.unwrap_or_default());
        if self.remembered.borrow().contains(stable_hash(id.as_bytes())) {
            return Err(NotFresh::MayStillRun);
        }
        let fresh = self.in_progress.borrow_mut().insert(id.to_owned());
        fresh.then_some(()).ok_or(NotFresh::InProgress)
    }

    /// The request with this id has ended for its client.
    pub fn end(&self, id: &str) {
        self.in_progress.borrow_mut().remove(id);
    }

    /// An endpoint may go on with the request for this long.
    pub fn remember(&self, id: &str, time: Duration) {
        self.remembered.borrow_mut().insert(stable_hash(id.as_bytes()), Instant::now() + time);
    }

    fn remember_hashes(&self, hashes: Vec<u64>) {
        let until = Instant::now() + self.longest_time;
        let mut remembered = self.remembered.borrow_mut();
        hashes.into_iter().for_each(|hash| remembered.insert(hash, until));
    }
}

impl Remembered {
    fn contains(&self, hash: u64) -> bool {
        let until = self.until.get(&hash);
        until.is_some_and(|until| *until > Instant::now())
    }

    fn insert(&mut self, hash: u64, until: Instant) {
        let now = Instant::now();
        while self.order.front().is_some_and(|(until, _)| *until <= now)
            || self.order.len() >= MAX_REMEMBERED
        {
            let Some((until, hash)) = self.order.pop_front() else { break };
            if self.until.get(&hash) == Some(&until) {
                self.until.remove(&hash);
            }
        }
        self.until.insert(hash, until);
        self.order.push_back((until, hash));
    }
}
