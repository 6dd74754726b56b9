//! Tells an answer without a stated length that never ends from one that is only slow.
//!
//! - The final answer is due half a second after the client's time at the latest, so one that has brought no more than a
//!   small answer by then is ended, unless it keeps a pace.
//! - An answer that keeps a pace may be a large one that has not brought as much yet. It has come in two pieces or more, at
//!   a rate that a few bytes now and then don't reach, and goes on until its endpoint has been silent for clearly longer
//!   than between the pieces so far.
//! - What has brought more than a small answer is a large one. Only its first bytes are timed, and it goes on for as long as
//!   its endpoint sends it.

use super::body_limits::MAX_BUFFERED_BODY;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long after the client's time a small answer may still end: the client needs to see its end within half a second,
/// and this process may be held up for 0.15 s.
const END_GRACE: Duration = Duration::from_millis(350);
/// Bytes per second of an answer that keeps a pace: at less it can't be told from one that never ends.
const MIN_RATE: f64 = 12_500.0;
/// What arrives within this time of a piece's first bytes belongs to the piece.
const PIECE_TIME: Duration = Duration::from_millis(25);
/// Pieces that are older are forgotten, but for the last `MIN_PIECES`.
const PACE_WINDOW: Duration = Duration::from_secs(2);
/// The last so many pieces are always remembered.
const MIN_PIECES: usize = 3;
/// How long an answer that keeps a pace may be silent: half as long again as ever before, and this much for delays; ...
const SILENCE_GROWTH: f64 = 1.5;
const SILENCE_SLACK: Duration = Duration::from_millis(100);
/// ... at least this, and at most that.
const MIN_SILENCE: Duration = Duration::from_millis(300);
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// Bytes that came together.
struct Piece {
    /// When its first bytes came, in time spent waiting for the endpoint.
    came_at: Duration,
    bytes: u64,
}

/// How an answer has come so far.
#[derive(Default)]
pub struct AnswerPace {
    received_bytes: u64,
    /// Time spent waiting for the endpoint so far.
    waited: Duration,
    pieces: VecDeque<Piece>,
}

impl AnswerPace {
    /// Records that so many bytes have come after this wait for the endpoint.
    pub fn record(&mut self, bytes: usize, waited: Duration) {
        let bytes = bytes as u64;
        self.received_bytes += bytes;
        self.waited += waited;
        if bytes == 0 || self.is_large() {
            return;
        }
        let came_at = self.waited;
        match self.pieces.back_mut().filter(|piece| came_at < piece.came_at + PIECE_TIME) {
            Some(piece) => piece.bytes += bytes,
            None => self.pieces.push_back(Piece { came_at, bytes }),
        }
        self.forget_old_pieces();
    }

    /// When the answer counts as one that never ends if no more arrives; none if it is a large one.
    pub fn endless_at(&self, client_deadline: Instant, waiting_since: Instant) -> Option<Instant> {
        if self.is_large() {
            return None;
        }
        let due = client_deadline + END_GRACE;
        Some(if self.keeps_pace() { due.max(waiting_since + self.allowed_silence()) } else { due })
    }

    fn is_large(&self) -> bool {
        self.received_bytes > MAX_BUFFERED_BODY as u64
    }

    fn forget_old_pieces(&mut self) {
        while self.pieces.len() > MIN_PIECES && self.pieces[0].came_at + PACE_WINDOW < self.waited {
            self.pieces.pop_front();
        }
    }

    /// Whether the rate was kept since the first piece, and since each later one but the last two: what came in a burst
    /// does not count for the time after it.
    fn keeps_pace(&self) -> bool {
        let Some(last) = self.pieces.back() else { return false };
        let mut bytes_since = 0;
        let mut slowest = f64::INFINITY;
        for (newer, piece) in self.pieces.iter().rev().enumerate() {
            if newer >= 2 || newer >= 1 && newer + 1 == self.pieces.len() {
                let time = last.came_at - piece.came_at;
                slowest = slowest.min(bytes_since as f64 / time.as_secs_f64());
            }
            bytes_since += piece.bytes;
        }
        slowest.is_finite() && slowest >= MIN_RATE
    }

    fn allowed_silence(&self) -> Duration {
        let times = self.pieces.iter().map(|piece| piece.came_at);
        let gaps = times.clone().skip(1).zip(times).map(|(later, earlier)| later - earlier);
        let longest = gaps.max().unwrap_or_default();
        (longest.mul_f64(SILENCE_GROWTH) + SILENCE_SLACK).clamp(MIN_SILENCE, MAX_SILENCE)
    }
}

#[cfg(test)]
mod tests;
