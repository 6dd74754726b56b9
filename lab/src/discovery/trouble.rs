//! What becomes of single calls while discovery as a whole can be reached.

use crate::seeds::{Part, draws};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Calls of a copy that meet trouble one after the other, at the most: more, and it could not be reached.
const IN_A_ROW: u32 = 2;
/// A late refusal comes after so long.
const LATE_MS: std::ops::Range<u64> = 300..3000;

/// What becomes of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It is taken, and nothing is ever said.
    NeverAnswered,
    /// It has its turn in the queue, and the answer is lost.
    AnswerLost,
    /// Its connection is closed with no answer.
    Broken,
    /// It is refused with 503 at once.
    Refused,
    /// It is refused with 503 after so long.
    RefusedLate(Duration),
    /// It gets the head of an answer and then silence.
    HeadersOnly,
    /// It gets half of the list and then silence.
    HalfList,
    /// It gets the list as it was one version before, and then silence.
    OlderList,
    /// It gets the list in slow pieces.
    SlowPieces,
}

/// The troubles of a discovery's calls: drawn by seed, copy and the number of the copy's call.
pub struct Troubles {
    seed: u64,
    copies: Mutex<HashMap<usize, Calls>>,
}

#[derive(Default)]
struct Calls {
    made: u64,
    in_a_row: u32,
}

impl Troubles {
    /// Those of a seed.
    pub fn new(seed: u64) -> Self {
        Troubles { seed, copies: Mutex::default() }
    }

    /// What becomes of the next call of a copy, where this part of calls meets trouble.
    pub fn next(&self, copy: usize, part: f64) -> Option<Trouble> {
        let mut copies = self.copies.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = copies.entry(copy).or_default();
        calls.made += 1;
        let mut draws = draws(self.seed, Part::Trouble, (copy as u64) << 32 | calls.made);
        if calls.in_a_row >= IN_A_ROW || draws.random::<f64>() >= part {
            calls.in_a_row = 0;
            return None;
        }
        calls.in_a_row += 1;
        let late = Duration::from_millis(draws.random_range(LATE_MS));
        let all = [
            Trouble::NeverAnswered,
            Trouble::AnswerLost,
            Trouble::Broken,
            Trouble::Refused,
            Trouble::RefusedLate(late),
            Trouble::HeadersOnly,
            Trouble::HalfList,
            Trouble::OlderList,
            Trouble::SlowPieces,
        ];
        all.choose(&mut draws).copied()
    }
}
