//! X-Request-IDs that may not come again: those of requests in progress, and for a while those of requests that an
//! endpoint may still be working on though nobody waits for them any more.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;
use tokio::time::Instant;

/// The most ids that are remembered; beyond it the oldest are forgotten.
const MAX_REMEMBERED: usize = 16 * 1024;

/// Why an id may not come now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFresh {
    /// A request with it is in progress.
    InProgress,
    /// A request with it has ended without an answer of its endpoint, which may still be working on it.
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
}

/// Hashes of ids, each with the time until which it is remembered.
#[derive(Default)]
struct Remembered {
    hasher: RandomState,
    until: HashMap<u64, Instant>,
    /// In the order in which they came.
    order: VecDeque<(Instant, u64)>,
}

impl RequestIds {
    /// Begins a request with this id.
    pub fn begin(&self, id: &str) -> Result<(), NotFresh> {
        if self.remembered.borrow().contains(id) {
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
        self.remembered.borrow_mut().insert(id, Instant::now() + time);
    }
}

impl Remembered {
    fn contains(&self, id: &str) -> bool {
        let until = self.until.get(&self.hasher.hash_one(id));
        until.is_some_and(|until| *until > Instant::now())
    }

    fn insert(&mut self, id: &str, until: Instant) {
        let now = Instant::now();
        while self.order.front().is_some_and(|(until, _)| *until <= now)
            || self.order.len() >= MAX_REMEMBERED
        {
            let Some((until, hash)) = self.order.pop_front() else { break };
            if self.until.get(&hash) == Some(&until) {
                self.until.remove(&hash);
            }
        }
        let hash = self.hasher.hash_one(id);
        self.until.insert(hash, until);
        self.order.push_back((until, hash));
    }
}
