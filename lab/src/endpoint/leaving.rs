//! How an endpoint behaves that is listed as draining.

use crate::seeds::{Part, draws};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::Duration;
use tokio::time::Instant;

/// One that is drawn goes on taking calls for so long.
const TAKES_CALLS_MS: std::ops::Range<u64> = 0..12_000;

/// What it does with calls that come once it takes none any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turns {
    /// It refuses them.
    Away,
    /// It closes the connection with no answer.
    Off,
    /// It never answers.
    Silent,
}

/// How it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leaving {
    takes_calls: Duration,
    then: Turns,
}

impl Leaving {
    /// It goes on as before.
    pub const STAYS: Leaving = Leaving { takes_calls: Duration::MAX, then: Turns::Away };

    /// The manner of a seed, for the drain that begins at this time.
    pub fn drawn(seed: u64, at: Duration) -> Self {
        let mut draws = draws(seed, Part::Leave, at.as_millis() as u64);
        let takes_calls = Duration::from_millis(draws.random_range(TAKES_CALLS_MS));
        let then = *[Turns::Away, Turns::Off, Turns::Silent].choose(&mut draws).unwrap_or(&Turns::Away);
        Leaving { takes_calls, then }
    }

    /// It is listed as draining from now on, with this version of the list.
    pub fn since(self, rev: u64) -> Draining {
        Draining { rev, since: Instant::now(), leaving: self }
    }
}

/// A drain that has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draining {
    /// The version of the list that says so.
    pub rev: u64,
    since: Instant,
    leaving: Leaving,
}

impl Draining {
    /// What it does with a call that comes now; none while it takes calls.
    pub fn turns(&self) -> Option<Turns> {
        (self.since.elapsed() >= self.leaving.takes_calls).then_some(self.leaving.then)
    }
}
