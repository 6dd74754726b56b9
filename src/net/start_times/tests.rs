//! Unit tests of private items.

use super::*;

/// An arbitrary time of the remote clock, in milliseconds.
const REMOTE: u64 = 1_796_000_000_000;

#[test]
fn an_endpoint_is_as_old_as_what_was_told_proves_and_no_older() {
    let (mut starts, second) = (StartTimes::default(), Duration::from_secs);
    let ids = [1, 2, 3, 4].map(EndpointId);
    let now = second(3600);
    // In the first list one endpoint is 20 s older than the latest, one a day older, and one started long
    // ago.
    let listed = [REMOTE, REMOTE - 20_000, REMOTE - 86_400_000, 0];
    starts.observe(listed.into_iter(), now);
    let found = [0, 1, 2, 3].map(|n| starts.started_at(ids[n], listed[n], now));
    assert_eq!(found, [Some(now), Some(second(3580)), Some(Duration::ZERO), None]);
    // The same start time received again leaves the age unchanged.
    assert_eq!(starts.started_at(ids[0], REMOTE, second(3605)), Some(now));
    // A restart, received late: it counts with the age that is proven, 3 s, which may be less than its real
    // age. Another restart is received at once.
    starts.observe([REMOTE + 8_000].into_iter(), second(3611));
    assert_eq!(starts.started_at(ids[1], REMOTE + 8_000, second(3611)), Some(second(3608)));
    starts.observe([REMOTE + 30_000].into_iter(), second(3615));
    assert_eq!(starts.started_at(ids[2], REMOTE + 30_000, second(3615)), Some(second(3615)));
    starts.retain(|id| id == ids[0]);
    assert_eq!(starts.known.len(), 1);
}

#[test]
fn an_older_list_takes_no_start_back_and_a_later_start_counts() {
    let (mut starts, second, id) = (StartTimes::default(), Duration::from_secs, EndpointId(1));
    let mut listed = |start: u64, at: u64| {
        starts.observe([start].into_iter(), second(at));
        starts.started_at(id, start, second(at))
    };
    assert_eq!(listed(0, 100), None);
    assert_eq!(listed(REMOTE, 110), Some(second(110)));
    assert_eq!(listed(0, 120), Some(second(110)), "a start long ago, from an outdated list");
    assert_eq!(listed(REMOTE - 50_000, 121), Some(second(110)), "an earlier start, from an outdated list");
    assert_eq!(listed(REMOTE, 122), Some(second(110)));
    assert_eq!(listed(REMOTE + 20_000, 130), Some(second(130)));
    starts.retain(|_| false);
    assert_eq!(starts.started_at(id, 0, second(140)), None, "the uid belongs to a new endpoint");
}
