//! Draws that any thread may make at any time: a counter, mixed with the seed.

use std::sync::atomic::{AtomicU64, Ordering};

/// Step and factors of SplitMix64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
const FACTORS: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// Draws of one process.
pub struct Draws {
    seed: u64,
    drawn: AtomicU64,
}

impl Draws {
    pub fn new(seed: u64) -> Self {
        Draws { seed, drawn: AtomicU64::new(0) }
    }

    /// A whole number below this; 0 for 0.
    pub fn below(&self, most: u64) -> u64 {
        if most == 0 { 0 } else { self.next() % most }
    }

    /// Whether what has this part of a chance happens.
    pub fn chance(&self, part: f64) -> bool {
        part > 0.0 && (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= part
    }

    /// One of these.
    pub fn one_of<T: Copy>(&self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }

    fn next(&self) -> u64 {
        let number = self.drawn.fetch_add(1, Ordering::Relaxed);
        let mut mixed = self.seed.wrapping_add(number.wrapping_add(1).wrapping_mul(STEP));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(FACTORS[0]);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(FACTORS[1]);
        mixed ^ (mixed >> 31)
    }
}
