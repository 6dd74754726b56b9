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

#[test]
fn an_older_list_takes_no_start_back_and_a_later_start_counts() {
    let (mut starts, second, id) = (StartTimes::default(), Duration::from_secs, EndpointId(1));
    let mut told = |start: u64, at: u64| {
        starts.take([start].into_iter(), second(at));
        starts.started(id, start, second(at))
    };
    assert_eq!(told(0, 100), None);
    assert_eq!(told(OTHER, 110), Some(second(110)));
    assert_eq!(told(0, 120), Some(second(110)), "its forerunner's, long ago");
    assert_eq!(told(OTHER - 50_000, 121), Some(second(110)), "its forerunner's");
    assert_eq!(told(OTHER, 122), Some(second(110)));
    assert_eq!(told(OTHER + 20_000, 130), Some(second(130)));
    starts.retain(|_| false);
    assert_eq!(starts.started(id, 0, second(140)), None, "its name is another's now");
}
