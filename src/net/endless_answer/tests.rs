//! Unit tests of the rule on answers that never end.

use super::*;

/// When an answer counts as endless, from its client's time on: it began so many ms before that, and then came in pieces
/// of so many bytes each 100 ms for so many ms.
fn endless_after(began_before: u64, first_bytes: usize, piece: usize, sent_for: u64) -> Option<Duration> {
    let (began, step) = (Instant::now(), Duration::from_millis(100));
    let client_deadline = began + Duration::from_millis(began_before);
    let mut pace = AnswerPace::default();
    pace.record(first_bytes, Duration::ZERO);
    (0..sent_for / 100).for_each(|_| pace.record(piece, step));
    let endless_at = pace.endless_at(client_deadline, began + Duration::from_millis(sent_for));
    endless_at.map(|at| at - client_deadline)
}

#[test]
fn a_small_answer_is_ended_in_time_and_a_large_one_goes_on() {
    // Nothing, a burst, little, a burst before little, 10 kB a second: early and late.
    for (began_before, first_bytes, piece, sent_for) in [
        (3000, 0, 0, 0),
        (300, 48 * 1024, 0, 0),
        (300, 0, 1_000, 600),
        (300, 0, 1_000, 1600),
        (3000, 4_000, 1_000, 3300),
        (3000, 48 * 1024, 10, 3300),
        (300, 48 * 1024, 100, 600),
    ] {
        assert_eq!(endless_after(began_before, first_bytes, piece, sent_for), Some(END_GRACE));
    }
    // Large ones that came at any rate, and one that has yet to bring its first 64 KiB.
    assert_eq!(endless_after(3000, 0, 2_400, 2900), None);
    assert_eq!(endless_after(300, 0, 8_000, 900), None);
    assert_eq!(endless_after(300, 1, 8_000, 600), Some(Duration::from_millis(850)));
}

/// When an answer counts as endless, from its client's time on: pieces came this long before that, in ms.
fn endless_after_pieces(pieces: &[(i64, usize)], silent_since: i64) -> Duration {
    let client_deadline = Instant::now() + Duration::from_secs(10);
    let at = |before: i64| {
        client_deadline - Duration::from_secs(5) + Duration::from_millis((5000 - before) as u64)
    };
    let (mut pace, mut last) = (AnswerPace::default(), pieces[0].0);
    for &(before, bytes) in pieces {
        pace.record(bytes, Duration::from_millis((last - before) as u64));
        last = before;
    }
    pace.endless_at(client_deadline, at(silent_since)).expect("a small answer") - client_deadline
}

#[test]
fn an_answer_that_keeps_a_pace_goes_on_until_it_is_silent_for_longer_than_ever_before() {
    let paced = [(1000, 8_000), (600, 8_000), (200, 8_000), (-200, 8_000)];
    assert_eq!(endless_after_pieces(&paced, -200), Duration::from_millis(200 + 700));
    // One that stopped early enough is ended in time.
    assert_eq!(endless_after_pieces(&paced[..2], 600), END_GRACE);
    // A single piece, also one that came in parts, tells nothing.
    assert_eq!(endless_after_pieces(&[(100, 8_000), (95, 8_000), (85, 8_000)], 85), END_GRACE);
    // A burst does not count for the time after it.
    assert_eq!(endless_after_pieces(&[(900, 1), (800, 48_000), (500, 100), (200, 100)], -100), END_GRACE);
    // Uneven pieces and pauses, the last ones small: it goes on.
    let uneven = [(700, 1), (600, 9_000), (500, 300), (50, 7_000), (-100, 100), (-400, 200)];
    assert_eq!(endless_after_pieces(&uneven, -400), Duration::from_millis(400 + 775));
    // Nor are long pauses waited for without end.
    let rare = [(4000, 1), (2000, 30_000), (0, 30_000)];
    assert_eq!(endless_after_pieces(&rare, 0), MAX_SILENCE);
}
