//! A whole fleet that asks one discovery, on a made clock: real balancers, and a queue as it was measured. Each call
//! takes its turn in it, also one that was sent away for having waited too long; news to open watches does as well.

mod support;

use gullpulley::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use support::*;

/// Discovery, in seconds of its own work.
#[derive(Clone, Copy)]
struct Queue {
    /// What the calls of all processes take together.
    all_calls: f64,
    /// What news to all watches takes, each time.
    news: f64,
    /// A call that waits longer is sent away.
    patience: f64,
    /// For how long it is away.
    outage: f64,
    /// It is away as it moves, and refuses calls at the new address at once; processes hear of that one by one.
    moves: bool,
}

/// The measured one: seed 4 of the operators' fullest day.
const CROWDED: Queue = Queue { all_calls: 5.9, news: 0.2, patience: 2.0, outage: 8.0, moves: false };
/// One with room: what it takes on the operators' other days.
const ROOMY: Queue = Queue { all_calls: 3.1, news: 0.2, patience: 3.0, outage: 8.0, moves: false };

const START: f64 = 100.0;
const DOWN: f64 = START + 2.3;
/// The play goes on for so long after discovery's return.
const AFTERWARDS: f64 = 14.0;
/// All processes have heard of a move after so long.
const MOVES: f64 = 4.0;
/// Processes that start together have made their first calls within so long.
const FIRST_CALLS: f64 = 3.0;
/// A refusal is back after so long.
const ROUND_TRIP: f64 = 0.03;

#[derive(Clone, Copy, PartialEq)]
enum Due {
    Timer(usize, u64),
    Call(usize),
    Move(usize),
    Answer(usize, Answer),
    Down,
    News,
}

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Served,
    SentAway,
    RefusedAtOnce,
}

#[derive(Default)]
struct Played {
    /// Seconds from the return, or from its own move where that is later, until each process knew, sorted; those that never did are missing.
    known: Vec<f64>,
    calls: Vec<f64>,
    failed_after_return: usize,
}

impl Played {
    fn worst(&self) -> f64 {
        self.known.last().copied().unwrap_or(f64::INFINITY)
    }

    /// The most calls that began within so many seconds.
    fn most_within(&self, seconds: f64) -> usize {
        (0..self.calls.len())
            .map(|i| self.calls[i..].partition_point(|c| *c < self.calls[i] + seconds))
            .max()
            .unwrap_or(0)
    }
}

/// Starts so many processes at once, takes discovery down for a while, and sees who knows what when it is back.
fn play(processes: usize, queue: Queue, seed: u64) -> Played {
    let at = Duration::from_secs_f64;
    let back = DOWN + queue.outage;
    let move_at = |i: usize| if queue.moves { DOWN + MOVES * i as f64 / processes as f64 } else { DOWN };
    let settings =
        Settings { discovery: Discovery::Ask, balancers: processes as u32, ..Settings::default() };
    let mut balancers: Vec<Balancer> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Duration, u64)>> = BinaryHeap::new();
    let mut what: Vec<Due> = Vec::new();
    let plan = |due: &mut BinaryHeap<_>, when: f64, entry: Due, what: &mut Vec<Due>| {
        due.push(Reverse((at(when), what.len() as u64)));
        what.push(entry);
    };
    let mut actions = Vec::new();
    let mut told = Vec::new();
    for i in 0..processes {
        let balancer = Balancer::new(settings.clone(), seed * 10_000 + i as u64, at(START)).unwrap();
        balancers.push(balancer);
        told.push((i, START, Membership::Cached((1..=8).map(EndpointInfo::ready).collect())));
    }
    plan(&mut due, DOWN, Due::Down, &mut what);
    (1..5).for_each(|n| plan(&mut due, back + 1.5 * f64::from(n), Due::News, &mut what));
    let (mut free_at, mut watching, mut known) = (START, vec![false; processes], vec![None; processes]);
    let mut played = Played::default();
    loop {
        for (i, now, news) in std::mem::take(&mut told) {
            balancers[i].handle(at(now), Event::Membership(news), &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::SetTimer { token, after } => {
                        plan(&mut due, now + after.as_secs_f64(), Due::Timer(i, token.0), &mut what);
                    }
                    Action::Watch(true) => plan(&mut due, now, Due::Call(i), &mut what),
                    _ => {}
                }
            }
        }
        let Some(Reverse((now, number))) = due.pop() else { break };
        let now = now.as_secs_f64();
        if now > back + AFTERWARDS {
            break;
        }
        let down = (DOWN..back).contains(&now);
        match what[number as usize] {
            Due::Timer(i, token) => {
                balancers[i].handle(at(now), Event::Timer(TimerToken(token)), &mut actions);
                if actions.drain(..).any(|action| action == Action::Watch(true)) {
                    plan(&mut due, now, Due::Call(i), &mut what);
                }
            }
            Due::Call(i) => {
                played.calls.push(now);
                let (waits, done) =
                    ((free_at - now).max(0.0), free_at.max(now) + queue.all_calls / processes as f64);
                let cut_off = now < DOWN && done > DOWN;
                let served = !down && !cut_off && waits <= queue.patience;
                if !down {
                    free_at = done; // also what is sent away is worked on in its turn
                }
                let (answered, answer) = match served {
                    true => (done, Answer::Served),
                    false if down && queue.moves => (now + ROUND_TRIP, Answer::RefusedAtOnce),
                    false => (now + queue.patience, Answer::SentAway),
                };
                plan(&mut due, answered, Due::Answer(i, answer), &mut what);
            }
            Due::Answer(i, Answer::Served) => {
                watching[i] = true;
                if now >= back.max(move_at(i)) {
                    known[i].get_or_insert(now - back.max(move_at(i)));
                }
                told.push((i, now, Membership::Delta(vec![])));
            }
            Due::Answer(i, answer) => {
                played.failed_after_return += usize::from(now > back + queue.patience);
                let failure = match answer {
                    Answer::RefusedAtOnce => DiscoveryFailure::RefusedAtOnce,
                    _ => DiscoveryFailure::SentAway,
                };
                told.push((i, now, Membership::Failed { silent_for: Duration::ZERO, failure }));
            }
            Due::Down => {
                free_at = now;
                let broken: Vec<usize> = (0..processes).filter(|&i| watching[i]).collect();
                watching.fill(false);
                if queue.moves {
                    (0..processes).for_each(|i| plan(&mut due, move_at(i), Due::Move(i), &mut what));
                } else {
                    let silent_for = Duration::from_secs(1);
                    let failed = Membership::Failed { silent_for, failure: DiscoveryFailure::Unanswered };
                    told.extend(broken.into_iter().map(|i| (i, now, failed.clone())));
                }
            }
            Due::Move(i) => told.push((i, now, Membership::Moved)),
            Due::News => {
                let part = watching.iter().filter(|w| **w).count() as f64 / processes as f64;
                free_at = free_at.max(now) + queue.news * part;
            }
        }
    }
    played.known = known.into_iter().flatten().collect();
    played.known.sort_by(f64::total_cmp);
    played
}

#[test]
fn after_an_outage_all_processes_hear_of_changes_and_none_crowds_the_others_out() {
    for processes in [10, 100, 350, 1000] {
        for (name, queue, worst) in [("with room", ROOMY, 6.0), ("crowded", CROWDED, 8.0)] {
            for seed in 0..3 {
                let played = play(processes, queue, seed);
                let known = &played.known;
                let p99 = known.get(known.len() * 99 / 100).copied().unwrap_or(f64::INFINITY);
                println!(
                    "{processes} processes, {name}, seed {seed}: {} know; p99 {p99:.2} s, worst {:.2} s after the \
                     return; {} calls failed after it",
                    known.len(),
                    played.worst(),
                    played.failed_after_return
                );
                assert_eq!(known.len(), processes, "{name}: all come to know");
                assert!(played.worst() <= worst, "{name}, {processes} processes: {:.2} s", played.worst());
                assert!(
                    played.failed_after_return * 10 <= processes,
                    "{name}: {}",
                    played.failed_after_return
                );
            }
        }
    }
}

#[test]
fn after_a_move_to_where_calls_are_refused_at_first_all_know_soon() {
    for processes in [10, 100, 350, 1000] {
        for (outage, seed) in [(0.0, 0), (0.5, 1), (1.5, 2), (3.0, 3)] {
            let played = play(processes, Queue { outage, moves: true, ..ROOMY }, seed);
            println!(
                "{processes} processes, refused for {outage} s: {} know, worst {:.2} s",
                played.known.len(),
                played.worst(),
            );
            assert_eq!(played.known.len(), processes, "{outage} s: all come to know");
            // What counts as known after 4 s binds 0.5 s later.
            assert!(played.worst() <= 4.5, "{processes} processes, {outage} s: {:.2} s", played.worst());
        }
    }
}

#[test]
fn all_processes_together_ask_no_more_often_than_discovery_must_bear() {
    for processes in [10, 350] {
        // For ever down: no answer ever comes.
        let queue = Queue { all_calls: 1e6, news: 0.0, patience: 2.0, ..CROWDED };
        let mut played = play(processes, queue, 7);
        let most = played.most_within(5.4);
        // The first call of each is in no slot.
        assert!(most <= 2 * processes, "{most} calls of {processes} processes within 5.4 s of their start");
        played.calls.retain(|call| *call > START + FIRST_CALLS);
        let most = played.most_within(5.4);
        // One each, and one more of each whose watch had been up: here of one, as no second call is served.
        assert!(most <= processes + 1, "{most} calls of {processes} processes within 5.4 s");
    }
}

#[test]
fn whatever_failed_before_a_change_is_known_in_time_once_discovery_can_be_reached() {
    let second = |n: f64| Duration::from_secs_f64(n);
    for (lost_after, answers_after) in [(0.0, 0.4), (2.0, 0.4), (3.0, 0.4)] {
        for seed in 0..40 {
            let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
            let mut schedule = DiscoverySchedule::new(&settings, seed, second(50.0));
            let mut now = second(50.0) + schedule.first_call_delay(false);
            assert!(now < second(56.0), "the first call");
            let back = second(60.0 + 0.5 * seed as f64);
            let known = loop {
                if now >= back {
                    break now + second(answers_after);
                }
                let lost = now + second(lost_after);
                now = lost + schedule.on_failure(lost, Duration::ZERO, DiscoveryFailure::Unanswered);
            };
            let took = known - back;
            assert!(
                took < second(6.0),
                "{took:?} after the return, where a call is lost after {lost_after} s"
            );
        }
    }
}

#[test]
fn a_lost_watch_is_asked_for_at_once_and_counts_as_the_settings_say() {
    // A watch may end instead of telling: what it would have told counts 2 s later.
    for (ask_within, silent_for) in [(ms(2100), ms(0)), (ms(10_000), ms(3000))] {
        for seed in 0..40 {
            let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
            settings.rules.ask_within = ask_within;
            let mut schedule = DiscoverySchedule::new(&settings, seed, ms(50_000));
            assert!(schedule.first_call_delay(false) <= ms(10), "from its start, of the only process");
            assert_eq!(schedule.first_call_delay(true), ms(0), "beside an older process");
            schedule.on_list_update(ms(59_000));
            let wait = schedule.on_failure(ms(60_000), silent_for, DiscoveryFailure::Unanswered);
            assert!(wait <= ms(750), "{wait:?}");
            let counts = ms(60_000) - silent_for + ask_within.min(ms(6000));
            assert!(
                !schedule.lease().may_be_stale(counts - ms(1)) && schedule.lease().may_be_stale(counts)
            );
            let again = ms(60_000)
                + wait
                + schedule.on_failure(ms(60_000) + wait, silent_for, DiscoveryFailure::Unanswered);
            assert!(again <= ms(60_000 + 750 + 5500), "then in its turn");
        }
    }
}

#[test]
fn one_lost_call_after_a_lost_watch_leaves_time_for_another() {
    let (lost_after, answer) = (ms(3100), ms(300));
    for seed in 0..200 {
        let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
        let mut schedule = DiscoverySchedule::new(&settings, seed, ms(50_000));
        schedule.on_list_update(ms(59_000));
        let watch_lost = ms(60_000);
        let first = watch_lost + schedule.on_failure(watch_lost, ms(0), DiscoveryFailure::Unanswered);
        let given_up = first + lost_after;
        let second = given_up + schedule.on_failure(given_up, ms(0), DiscoveryFailure::Unanswered);
        let known = second + answer - watch_lost;
        assert!(known <= ms(6000), "seed {seed}: {known:?}");
        // Where a crowd had sent it away the whole period stays.
        assert!(schedule.on_failure(second, ms(0), DiscoveryFailure::SentAway) <= ms(5500));
    }
}

/// A request that ends as each endpoint it reaches does; where it went.
fn serve(d: &mut Driver, refusing: &[u64]) -> Vec<EndpointId> {
    let (id, actions) = d.request(ms(2000));
    let mut went = sends(&actions);
    while let Some(to) = d.out.iter().find(|o| o.0 == id).map(|o| o.2) {
        let outcome = if refusing.contains(&to.0) { Outcome::NotProcessed } else { Outcome::Ok };
        went.extend(sends(&d.end(id, outcome, ms(10))));
    }
    went
}

/// A call at discovery finds that nothing listens there.
fn nothing_listens(d: &mut Driver) {
    d.list(Membership::Failed { silent_for: Duration::ZERO, failure: DiscoveryFailure::NotListening });
}

/// Lets time pass while nothing listens at discovery.
fn advance_while_discovery_is_down(d: &mut Driver, by: Duration) {
    let until = d.now + by;
    while d.now < until {
        nothing_listens(d);
        d.advance(ms(500).min(until - d.now));
    }
}

#[test]
fn unheard_for_too_long_a_process_sends_only_where_calls_are_taken_and_serves_on() {
    for (heard_first, seed) in [(true, 1), (true, 2), (false, 3), (false, 4)] {
        let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
        let mut d = Driver::seeded(settings, endpoints(8), seed);
        if heard_first {
            d.list(Membership::Delta(vec![]));
        }
        let mut leaving: Vec<u64> = Vec::new();
        let mut to_leaving = 0;
        for tick in 0..400 {
            // Watched until 2 s; from 3 s on three are leaving, and nobody says so; all is told at 18 s.
            if tick == 40 {
                // A watch is lost, or nothing listens at the first call; from then on nothing does.
                let failure = match heard_first {
                    true => DiscoveryFailure::Unanswered,
                    false => DiscoveryFailure::NotListening,
                };
                d.list(Membership::Failed { silent_for: Duration::ZERO, failure });
            }
            if (40..360).contains(&tick) && tick % 20 == 10 {
                nothing_listens(&mut d);
            }
            if tick == 60 {
                leaving = vec![1, 2, 3];
            }
            if tick == 360 {
                let gone =
                    leaving.iter().map(|id| EndpointInfo { state: EndpointState::Gone, ..endpoint(*id) });
                d.list(Membership::Delta(gone.collect()));
            }
            let went = serve(&mut d, &leaving);
            assert!(went.last().is_some_and(|to| !leaving.contains(&to.0)), "served, at {tick}: {went:?}");
            // They had been listed at 3 s: told by 9 s, and 0.5 s more.
            let told = tick >= 60 + 120;
            to_leaving += went.iter().filter(|to| told && leaving.contains(&to.0)).count();
            d.advance(ms(50));
        }
        assert_eq!(to_leaving, 0, "heard first: {heard_first}, seed {seed}");
    }
}

#[test]
fn a_process_that_nobody_answers_any_more_still_tries_all_that_are_listed() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(6));
    advance_while_discovery_is_down(&mut d, ms(30_000));
    // Idle for long: no endpoint has taken anything of late, and all may be tried.
    assert_eq!(serve(&mut d, &[]).len(), 1);
    let mut went = std::collections::HashSet::new();
    for _ in 0..60 {
        went.extend(serve(&mut d, &[1, 2, 3, 4, 5, 6]));
        advance_while_discovery_is_down(&mut d, ms(300));
    }
    assert_eq!(went.len(), 6, "none is given up for good: {went:?}");
}

#[test]
fn what_refused_for_another_reason_is_probed_while_unheard_and_comes_back() {
    for probes in [true, false] {
        let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
        settings.limits.probes = probes;
        let mut d = Driver::new(settings, endpoints(8));
        d.list(Membership::Delta(vec![]));
        d.list(Membership::Failed { silent_for: Duration::ZERO, failure: DiscoveryFailure::Unanswered });
        let (mut probed, mut served_after) = (0, 0);
        for tick in 0..160 {
            // Endpoint 1 refuses from 5 s to 10 s; discovery stays away for all the 40 s.
            let refusing: &[u64] = if (20..40).contains(&tick) { &[1] } else { &[] };
            let (id, actions) = d.request(ms(2000));
            for action in &actions {
                if let Action::Probe { endpoint } = *action {
                    probed += 1;
                    let outcome =
                        if refusing.contains(&endpoint.0) { Outcome::NotProcessed } else { Outcome::Ok };
                    d.probe_answered(endpoint, outcome, ms(5));
                }
            }
            while let Some(to) = d.out.iter().find(|o| o.0 == id).map(|o| o.2) {
                served_after += usize::from(to.0 == 1 && tick > 60);
                let outcome = if refusing.contains(&to.0) { Outcome::NotProcessed } else { Outcome::Ok };
                d.end(id, outcome, ms(10));
            }
            advance_while_discovery_is_down(&mut d, ms(250));
        }
        assert_eq!(served_after > 0, probes, "{served_after} calls went there again");
        assert_eq!(probed > 0, probes);
        assert!(probed <= 41, "{probed} probes in 40 s: one a second at most");
    }
}

/// The calls at discovery that a balancer makes within a time.
fn calls_within(d: &mut Driver, time: Duration) -> usize {
    let until = d.now + time;
    let mut calls = 0;
    while d.now < until {
        calls += d.advance(ms(10)).iter().filter(|action| **action == Action::Watch(true)).count();
    }
    calls
}

#[test]
fn failures_in_a_row_leave_one_call_to_come_and_none_once_a_watch_is_up_or_discovery_moves() {
    let failed = |failure| Membership::Failed { silent_for: Duration::ZERO, failure };
    // So many that discovery can bear one call of each at a time.
    let settings = Settings { discovery: Discovery::Ask, balancers: 10, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(4));
    d.list(Membership::Delta(vec![]));
    (0..5).for_each(|_| drop(d.list(failed(DiscoveryFailure::RefusedAtOnce))));
    assert_eq!(calls_within(&mut d, ms(5600)), 1, "five failures, one call");
    d.list(failed(DiscoveryFailure::SentAway));
    d.list(Membership::Delta(vec![]));
    assert_eq!(calls_within(&mut d, ms(12_000)), 0, "a watch is up");
    d.list(failed(DiscoveryFailure::Unanswered));
    let moved = d.list(Membership::Moved);
    assert_eq!(moved.iter().filter(|action| **action == Action::Watch(true)).count(), 1, "at once");
    assert_eq!(calls_within(&mut d, ms(5600)), 0, "that call is still out");
}

#[test]
fn an_endpoint_that_has_refused_stays_out_though_an_earlier_call_is_served_after_that() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(2));
    advance_while_discovery_is_down(&mut d, ms(9000));
    // A slow call at each of the two, then 1 refuses, then the slow ones are served; the other takes what comes.
    let mut slow = std::collections::BTreeMap::new();
    while slow.len() < 2 {
        let (id, actions) = d.request(ms(20_000));
        slow.entry(sends(&actions)[0].0).or_insert(id);
    }
    d.advance(ms(100));
    let mut refused = false;
    while !refused {
        let (id, actions) = d.request(ms(20_000));
        refused = sends(&actions)[0].0 == 1;
        d.end(id, if refused { Outcome::NotProcessed } else { Outcome::Ok }, ms(1));
    }
    slow.values().for_each(|id| drop(d.end(*id, Outcome::Ok, ms(100))));
    for n in 0..20 {
        let (id, actions) = d.request(ms(20_000));
        assert_eq!(sends(&actions)[0].0, 2, "request {n}");
        d.end(id, Outcome::Ok, ms(1));
    }
}

/// An endpoint that is listed as draining was seen to take calls for 8.8 s: that it takes them proves nothing.
#[test]
fn once_what_discovery_has_counts_as_known_nothing_is_sent_by_an_older_list_until_word_comes() {
    let silent = Membership::Failed { silent_for: ms(3000), failure: DiscoveryFailure::WatchSilent };
    let lost = Membership::Failed { silent_for: ms(0), failure: DiscoveryFailure::Unanswered };
    for (trouble, counts) in [(Membership::Moved, ms(4000)), (silent, ms(3000)), (lost, ms(6000))] {
        let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
        let mut d = Driver::new(settings, endpoints(4));
        d.list(Membership::Delta(vec![]));
        d.list(trouble.clone());
        let (began, mut late) = (d.now, 0);
        // Every endpoint takes what it gets; each call at discovery is lost.
        while d.now < began + counts + ms(1500) {
            late += usize::from(!serve(&mut d, &[]).is_empty() && d.now > began + counts);
            d.list(Membership::Failed { silent_for: ms(0), failure: DiscoveryFailure::Unanswered });
            d.advance(ms(50));
        }
        assert_eq!(late, 0, "{trouble:?}: requests sent by the older list");
        let (id, actions) = d.request(ms(2000));
        assert!(sends(&actions).is_empty(), "it is held");
        d.list(Membership::Delta(vec![]));
        assert!(d.out.iter().any(|out| out.0 == id), "{trouble:?}: it goes out with the first word");
    }
}

#[test]
fn a_discovery_that_is_down_for_long_does_not_end_service_and_one_that_may_be_up_renews_nothing() {
    use DiscoveryFailure::*;
    for failure in [NotListening, RefusedAtOnce, SentAway, NotConnected, Unanswered, WatchSilent] {
        for moved in [false, true] {
            let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
            let mut d = Driver::new(settings, endpoints(4));
            d.list(Membership::Delta(vec![]));
            if moved {
                d.list(Membership::Moved);
            }
            let counts = d.now + if moved { ms(4000) } else { ms(6000) };
            for _ in 0..200 {
                d.list(Membership::Failed { silent_for: ms(0), failure });
                let (served, down) = (serve(&mut d, &[]).len(), failure == NotListening);
                let name = format!("{failure:?}, moved {moved}, {:?}", d.now);
                assert!(served == 1 || !down, "{name}: service goes on while discovery is down");
                assert!(served == 0 || down || d.now < counts, "{name}: sent by a list that has lapsed");
                d.advance(ms(100));
            }
        }
    }
}
