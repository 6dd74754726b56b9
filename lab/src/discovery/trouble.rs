//! What becomes of single calls while discovery as a whole can be reached.

use crate::seeds::{Part, draws};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Calls of a copy that meet trouble one after the other, at the most: more, and it could not be reached.
const IN_A_ROW: u32 = 2;
/// A late refusal comes after so long.
const LATE_MS: std::ops::Range<u64> = 300..3000;
/// A call that is refused late while discovery is crowded waits for so long.
const CROWDED_LATE_MS: std::ops::Range<u64> = 0..3000;
/// A watch that is answered from behind is reset after so long.
const RESET_MS: std::ops::Range<u64> = 10..80;

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
    /// A watch is told the version that it named and no change, though discovery may have newer ones, and is reset
    /// after so long: a replica answers that has just taken over.
    FromBehind(Duration),
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
            from_behind(&mut draws),
        ];
        all.choose(&mut draws).copied()
    }

    /// What becomes of the next call of a copy while discovery is crowded for the so manieth time: all its calls are
    /// refused early or late, closed or never answered in one manner, or each in its own.
    pub fn in_crowd(&self, copy: usize, crowd: u64) -> Trouble {
        let mut call = self.call(copy);
        let late = Duration::from_millis(call.random_range(CROWDED_LATE_MS));
        let all = [Trouble::Refused, Trouble::RefusedLate(late), Trouble::Broken, Trouble::NeverAnswered];
        let manner = draws(self.seed, Part::Crowd, (copy as u64) << 32 | crowd).random_range(0..=all.len());
        let own = call.random_range(0..all.len());
        *all.get(manner).unwrap_or(&all[own])
    }

    /// The next call of a copy, answered from behind.
    pub fn behind(&self, copy: usize) -> Trouble {
        from_behind(&mut self.call(copy))
    }

    /// The draws of the next call of a copy, with which no row of troubles goes on.
    fn call(&self, copy: usize) -> Pcg64 {
        let mut copies = self.copies.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = copies.entry(copy).or_default();
        (calls.made, calls.in_a_row) = (calls.made + 1, 0);
        draws(self.seed, Part::Trouble, (copy as u64) << 32 | calls.made)
    }
}

fn from_behind(draws: &mut Pcg64) -> Trouble {
    Trouble::FromBehind(Duration::from_millis(draws.random_range(RESET_MS)))
}

#[cfg(test)]
mod tests;
