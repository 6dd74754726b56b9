//! Tests of what only this module can see.

use super::*;

/// Some time of the other clock.
const OTHER: u64 = 1_796_000_000_000;

#[test]
fn an_endpoint_is_as_old_as_what_was_told_proves_and_no_older() {
    let (mut starts, second) = (StartTimes::default(), Duration::from_secs);
    let ids = [1, 2, 3, 4].map(EndpointId);
    let now = second(3600);
    // At a start: one is 20 s older than the latest, one a day, one began long ago.
    let told = [OTHER, OTHER - 20_000, OTHER - 86_400_000, 0];
    starts.take(told.into_iter(), now);
    let found = [0, 1, 2, 3].map(|n| starts.started(ids[n], told[n], now));
    assert_eq!(found, [Some(now), Some(second(3580)), Some(Duration::ZERO), None]);
    // Told again later the same start is no younger.
    assert_eq!(starts.started(ids[0], OTHER, second(3605)), Some(now));
    // A restart, heard 3 s after it: as old as is proven, which is not all of it. Another is heard at once.
    starts.take([OTHER + 8_000].into_iter(), second(3611));
    assert_eq!(starts.started(ids[1], OTHER + 8_000, second(3611)), Some(second(3608)));
    starts.take([OTHER + 30_000].into_iter(), second(3615));
    assert_eq!(starts.started(ids[2], OTHER + 30_000, second(3615)), Some(second(3615)));
    starts.retain(|id| id == ids[0]);
    assert_eq!(starts.known.len(), 1);
}
