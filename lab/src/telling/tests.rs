use super::*;
use tokio::time::advance;

const COUNTS_AFTER: Duration = Duration::from_secs(6);
const SECOND: Duration = Duration::from_secs(1);

/// Two copies of one tier, and one change that discovery has now.
fn changed() -> Tellings {
    let tellings = Tellings::new(COUNTS_AFTER, vec![0, 0]);
    tellings.had(2, "draining".to_owned(), vec![0], false);
    tellings
}

/// Seconds from now until the change counts as told to a copy.
fn counts_in(tellings: &Tellings, copy: usize) -> Option<f64> {
    let counts = tellings.counts(2, Some(copy))?;
    Some(counts.duration_since(Instant::now()).as_secs_f64())
}

#[tokio::test(start_paused = true)]
async fn a_change_counts_six_seconds_after_it_could_be_told_or_once_it_is_written() {
    let tellings = changed();
    assert_eq!(counts_in(&tellings, 0), Some(6.0));
    advance(SECOND).await;
    tellings.written(0, 2);
    assert_eq!(counts_in(&tellings, 0), Some(0.0));
    assert_eq!(counts_in(&tellings, 1), Some(5.0));
    tellings.turn(true);
    assert_eq!(counts_in(&tellings, 1), None, "discovery is down");
    advance(SECOND).await;
    tellings.turn(false);
    assert_eq!(counts_in(&tellings, 1), Some(6.0), "counted anew from its return");
}

#[tokio::test(start_paused = true)]
async fn after_a_move_what_discovery_has_counts_four_seconds_later() {
    let tellings = changed();
    advance(SECOND).await;
    tellings.moved(0);
    assert_eq!(counts_in(&tellings, 0), Some(4.0));
    assert_eq!(counts_in(&tellings, 1), Some(5.0), "the other copy has not moved");
    advance(SECOND).await;
    tellings.moved(0);
    assert_eq!(counts_in(&tellings, 0), Some(4.0), "from the last move, but for the 6 s, which go on");
    advance(SECOND * 5).await;
    tellings.moved(0);
    assert_eq!(
        tellings.counts(2, Some(0)).map(|counts| counts < Instant::now()),
        Some(true),
        "told before"
    );
}

#[tokio::test(start_paused = true)]
async fn what_a_silent_watch_misses_counts_six_seconds_after_it_fell_silent() {
    let tellings = Tellings::new(COUNTS_AFTER, vec![0, 0]);
    tellings.silenced();
    tellings.opened(1);
    advance(SECOND * 4).await;
    tellings.had(2, "draining".to_owned(), vec![0], false);
    assert_eq!(counts_in(&tellings, 0), Some(2.0));
    assert_eq!(counts_in(&tellings, 1), Some(6.0), "it hears again");
}
