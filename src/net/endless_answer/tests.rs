//! Unit tests of the rule on answers that never end.

use super::*;

/// When an answer counts as endless, from its client's time on: it began so many ms before that, and then came in pieces
/// of so many bytes each 100 ms for so many ms.
fn endless_after(began_before: u64, first_bytes: usize, piece: usize, sent_for: u64) -> Option<Duration> {
    let (began, step) = (Instant::now(), Duration::from_millis(100));
    let client_deadline = began + Duration::from_millis(began_before);
    let mut pace = AnswerPace::new();
    pace.record(first_bytes, Duration::ZERO);
    (0..sent_for / 100).for_each(|_| pace.record(piece, step));
    let endless_at = pace.endless_at(client_deadline, began + Duration::from_millis(sent_for));
    endless_at.map(|at| at - client_deadline)
}

#[test]
fn a_small_answer_is_ended_in_time_and_a_large_one_goes_on() {
    // Nothing, a burst, little, a burst before little: early and late.
    for (began_before, first_bytes, piece, sent_for) in [
        (3000, 0, 0, 0),
        (300, 48 * 1024, 0, 0),
        (300, 0, 2_000, 600),
        (3000, 48 * 1024, 10, 3300),
        (300, 48 * 1024, 100, 600),
    ] {
        assert_eq!(endless_after(began_before, first_bytes, piece, sent_for), Some(END_GRACE));
    }
    // Large ones that came at any rate, and one that has yet to bring its first 64 KiB.
    assert_eq!(endless_after(3000, 0, 2_400, 2900), None);
    assert_eq!(endless_after(300, 0, 8_000, 900), None);
    assert_eq!(endless_after(300, 1, 8_000, 600), Some(Duration::from_millis(600)));
}
