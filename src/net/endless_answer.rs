//! Tells an answer without a stated length that never ends from one that is only slow.
//!
//! - The final answer is due half a second after the client's time at the latest, so one that has brought no more than a
//!   small answer by then is ended, unless it keeps a pace.
//! - An answer that keeps a pace may be a large one that has not brought as much yet. It has come in two pieces or more and
//!   has reached a rate over some time; later pieces may be small or late as long as they are more than a few bytes now and
//!   then. It goes on until its endpoint has been silent for clearly longer than between the pieces so far.
//! - What has brought more than a small answer is a large one. Only its first bytes are timed, and it goes on for as long as
//!   its endpoint sends it.

use super::body_limits::MAX_BUFFERED_BODY;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long after the client's time a small answer may still end: the client needs to see its end within half a second,
/// and this process may be held up for 0.15 s.
const END_GRACE: Duration = Duration::from_millis(350);
/// Bytes per second that an answer that keeps a pace has reached: at less it can't be told from one that never ends.
const MIN_RATE: f64 = 12_500.0;
/// That rate has to be reached over this time, or since the first piece: over less it says little.
const MIN_RATE_TIME: Duration = Duration::from_millis(400);
/// Bytes per second that have to keep coming afterwards; ...
const MIN_LATER_RATE: f64 = 4_000.0;
/// ... a burst counts for so many seconds at the most.
const MAX_LEAD: f64 = 0.5;
/// What arrives within this time of a piece's first bytes belongs to the piece.
const PIECE_TIME: Duration = Duration::from_millis(25);
/// Pieces that are older are forgotten, but for the last `MIN_PIECES`.
const PACE_WINDOW: Duration = Duration::from_secs(4);
/// The last so many pieces are always remembered.
const MIN_PIECES: usize = 3;
/// How long an answer that keeps a pace may be silent: half as long again as ever before, and this much for delays; ...
const SILENCE_GROWTH: f64 = 1.5;
const SILENCE_SLACK: Duration = Duration::from_millis(100);
/// ... at least this, and at most that.
const MIN_SILENCE: Duration = Duration::from_millis(550);
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
    /// By how many seconds what came with the last piece was ahead of `MIN_LATER_RATE`; negative if it was behind.
    lead: f64,
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
        self.add_piece(bytes);
        self.forget_old_pieces();
    }

    fn add_piece(&mut self, bytes: u64) {
        let came_at = self.waited;
        let Some(last) = self.pieces.back_mut() else {
            self.lead = MAX_LEAD;
            return self.pieces.push_back(Piece { came_at, bytes });
        };
        if came_at < last.came_at + PIECE_TIME {
            last.bytes += bytes;
        } else {
            let pause = came_at - last.came_at;
            self.lead = (self.lead - pause.as_secs_f64()).max(-MAX_LEAD);
            self.pieces.push_back(Piece { came_at, bytes });
        }
        self.lead = (self.lead + bytes as f64 / MIN_LATER_RATE).min(MAX_LEAD);
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

    fn keeps_pace(&self) -> bool {
        self.has_reached_rate() && self.lead >= 0.0
    }

    /// Whether what came behind one of the pieces reached the rate until the last one.
    fn has_reached_rate(&self) -> bool {
        let Some(last) = self.pieces.back() else { return false };
        let mut bytes_since = 0;
        for (index, piece) in self.pieces.iter().enumerate().rev() {
            let time = last.came_at - piece.came_at;
            let is_telling = time >= MIN_RATE_TIME || index == 0 && !time.is_zero();
            if is_telling && bytes_since as f64 >= MIN_RATE * time.as_secs_f64() {
                return true;
            }
            bytes_since += piece.bytes;
        }
        false
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
