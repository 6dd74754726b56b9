//! The schedule of calls at discovery on drawn sequences of troubles: whatever becomes of each call, one more is begun
//! that can be answered before what discovery has counts as known, where the calls of all processes leave room for it.

mod support;

use gullpulley::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;
use support::ms;

/// What a call needs to be answered.
const ANSWER: Duration = Duration::from_millis(500);
/// What a watch had to tell as it ended counts as told so long after that, where no call was refused since.
const KNOWN_AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// From a failure to a call out of its slot at the most.
const HURRY: Duration = Duration::from_millis(750);
/// With fewer processes than this, discovery bears more than one call of each in 5.5 s.
const CROWD: u32 = 10;

/// What becomes of a call, and after how long it has failed.
const TROUBLES: [(&str, DiscoveryFailure, u64); 8] = [
    ("refused", DiscoveryFailure::RefusedAtOnce, 30),
    ("reset", DiscoveryFailure::RefusedAtOnce, 5),
    ("sent away late", DiscoveryFailure::SentAway, 2000),
    ("sent away", DiscoveryFailure::SentAway, 3000),
    ("no connection", DiscoveryFailure::NotConnected, 1000),
    ("no answer", DiscoveryFailure::Unanswered, 3100),
    ("headers only", DiscoveryFailure::WatchSilent, 3000),
    ("an older list", DiscoveryFailure::Unanswered, 300),
];

/// What starts the clock, and how long after it the deadline is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Start {
    Moved,
    WatchLost,
    WatchSilent,
}

/// A schedule in made time, with the calls that it began and those that failed.
struct Play {
    schedule: DiscoverySchedule,
    out: Vec<(Duration, DiscoveryFailure)>,
    begun: Vec<Duration>,
    failed: Vec<(Duration, DiscoveryFailure)>,
    next: Option<Duration>,
    /// What becomes of calls to come, in turn.
    troubles: Vec<usize>,
}

impl Play {
    fn begin_call(&mut self, now: Duration) {
        let (_, failure, lasts) = &TROUBLES[self.troubles[self.begun.len() % self.troubles.len()]];
        self.begun.push(now);
        self.out.push((now + ms(*lasts), *failure));
        self.next = self.schedule.on_call_start(now).map(|wait| now + wait);
    }

    /// Plays until a time, one millisecond after the other; what is out ends as it was drawn.
    fn until(&mut self, from: Duration, until: Duration) {
        let mut now = from;
        while now < until {
            while let Some(i) = self.out.iter().position(|(ends, _)| *ends <= now) {
                let (_, failure) = self.out.remove(i);
                self.failed.push((now, failure));
                self.next = Some(now + self.schedule.on_failure(now, Duration::ZERO, failure));
            }
            if self.next.is_some_and(|next| next <= now) {
                self.begin_call(now);
            }
            now += ms(1);
        }
    }
}

fn play(seed: u64, balancers: u32, start: Start, moves: u64, troubles: Vec<usize>) {
    let settings = Settings { discovery: Discovery::Ask, balancers, ..Settings::default() };
    let mut play = Play {
        schedule: DiscoverySchedule::new(&settings, seed, ms(50_000)),
        out: Vec::new(),
        begun: Vec::new(),
        failed: Vec::new(),
        next: None,
        troubles,
    };
    let mut at = ms(60_000);
    play.schedule.on_list_update(at);
    let deadline = match start {
        Start::Moved => {
            for _ in 0..moves {
                at += ms(300);
                play.schedule.on_address_change(at);
            }
            play.begin_call(at);
            ms(60_300 + 4000) // what it had at the first move counts by that one
        }
        Start::WatchLost => {
            play.next = Some(at + play.schedule.on_failure(at, ms(0), DiscoveryFailure::Unanswered));
            at + ms(6000)
        }
        Start::WatchSilent => {
            play.next = Some(at + play.schedule.on_failure(at, ms(3000), DiscoveryFailure::WatchSilent));
            at + ms(3000)
        }
    };
    play.until(at, deadline);
    let name =
        format!("seed {seed}, {balancers} processes, {start:?}: {:?}, {:?}", play.begun, play.failed);
    let in_time = deadline - ANSWER;
    for (failed, failure) in &play.failed {
        // Where hundreds call, a call that cost discovery nothing is made again in its slot, and so is one that a
        // crowd sent away.
        let hurries = balancers < CROWD
            || !matches!(failure, DiscoveryFailure::RefusedAtOnce | DiscoveryFailure::SentAway);
        if hurries && *failed + HURRY <= in_time {
            let another = play.begun.iter().any(|begun| begun >= failed && *begun <= in_time);
            assert!(another, "{name}: nothing after the call that failed at {failed:?}");
        }
    }
    // A call that stays silent does not use up the time of a few processes.
    if balancers <= 4 && start != Start::WatchSilent {
        assert!(play.begun.iter().filter(|begun| **begun <= in_time).count() >= 2, "{name}");
    }
    let most = if balancers < CROWD { 2 } else { 1 };
    assert!(play.out.len() <= most, "{name}: {} out at a time", play.out.len());
    // What discovery has counts as known then, whatever became of the calls; a watch may have ended before it brought
    // what discovery had.
    let lease = play.schedule.lease();
    let sent_until = if start == Start::Moved { deadline } else { deadline - LISTING_DELAY };
    // Where no call was refused by then, what the watch had to tell counts so long after its end.
    let by_end = (start != Start::Moved).then_some(at + KNOWN_AFTER_WATCH_END);
    let by_end = by_end
        .filter(|by_end| play.failed.iter().all(|(at, failure)| at >= by_end || !failure.is_refusal()));
    let sent_until = by_end.map_or(sent_until, |by_end| by_end.min(sent_until));
    assert!(lease.is_valid(sent_until - ms(1)), "{name}: service goes on until then");
    assert!(by_end.is_none_or(|by_end| !lease.is_valid(by_end)), "{name}: and no longer");
    assert!(!lease.is_valid(deadline), "{name}: nothing is sent by what counts as superseded");
}

#[test]
fn whatever_becomes_of_a_call_another_is_begun_in_time_where_there_is_room() {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let balancers = prop::sample::select(vec![1, 2, 4, 5, 9, 10, 30, 350]);
    let starts = prop::sample::select(vec![Start::Moved, Start::WatchLost, Start::WatchSilent]);
    let troubles = prop::collection::vec(0..TROUBLES.len(), 1..12);
    let strategy = (any::<u64>(), balancers, starts, 1..4_u64, troubles);
    runner
        .run(&strategy, |(seed, balancers, start, moves, troubles)| {
            play(seed, balancers, start, moves, troubles);
            Ok(())
        })
        .unwrap();
}
