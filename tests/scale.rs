//! Decisions before a thousand endpoints, beside a thousand other balancers. Made time, real policies.

mod support;
use gullpulley::*;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};
use support::*;

const FEW: u64 = 128;
const MANY: u64 = 1024;
/// Requests of each balancer in one round.
const REQUESTS: u64 = 8;
const WORK: Duration = Duration::from_millis(20);

/// A balancer, and what it has asked to be woken for.
struct Host {
    balancer: Balancer,
    timers: Vec<TimerToken>,
}

impl Host {
    fn new(balancers: u64, me: u64) -> Host {
        let settings = Settings { balancers: balancers as u32, me: me as u32, ..Settings::default() };
        Host { balancer: Balancer::new(settings, me, ms(100_000)).unwrap(), timers: Vec::new() }
    }

    /// Gives it an event; where that makes it send.
    fn take(&mut self, now: Duration, event: Event) -> Vec<EndpointId> {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        self.timers.extend(actions.iter().filter_map(|action| match action {
            Action::SetTimer { token, .. } => Some(*token),
            _ => None,
        }));
        sends(&actions)
    }

    /// Serves some requests, one after the other; where they went.
    fn serve(&mut self, now: Duration, first: u64, requests: u64) -> Vec<EndpointId> {
        let mut sent = Vec::new();
        for n in first..first + requests {
            let request = RequestId(n);
            for endpoint in self.take(now, Event::request(request, ms(2000))) {
                sent.push(endpoint);
                let (attempt, outcome, elapsed) = (AttemptNo(0), Outcome::Ok, WORK);
                let (finished, report) = (true, None);
                let ended = AttemptEnded { request, attempt, endpoint, outcome, elapsed, finished, report };
                self.take(now + WORK, Event::AttemptEnded(ended));
            }
        }
        sent
    }
}

#[test]
fn a_thousand_balancers_share_a_thousand_endpoints_and_heed_their_lists() {
    let now = ms(100_000);
    let mut fleet: Vec<Host> = (0..MANY).map(|me| Host::new(MANY, me)).collect();
    for host in &mut fleet {
        host.take(now, Event::Membership(Membership::Cached(endpoints(MANY))));
    }
    let drained = |id: u64| id.is_multiple_of(4);
    let gone = |id: u64| id % 4 == 1;
    let draining = endpoints(MANY)
        .into_iter()
        .filter(|info| drained(info.id.0))
        .map(|info| EndpointInfo { state: EndpointState::Draining, ..info });
    let rest: Vec<_> =
        endpoints(MANY).into_iter().filter(|info| !drained(info.id.0) && !gone(info.id.0)).collect();
    let news = [
        Membership::Full(endpoints(MANY)),
        Membership::Full(endpoints(MANY)),
        Membership::Delta(draining.collect()),
        Membership::Full(rest),
    ];
    for (round, (news, listed)) in news.into_iter().zip([MANY, MANY, MANY, MANY / 2]).enumerate() {
        let mut got: HashMap<EndpointId, u64> = HashMap::new();
        let mut most_kept = 0;
        for host in &mut fleet {
            host.take(now, Event::Membership(news.clone()));
            for to in host.serve(now, round as u64 * REQUESTS, REQUESTS) {
                *got.entry(to).or_default() += 1;
            }
            // A timer for each request's end, and perhaps one to ask discovery.
            assert!(host.balancer.tracked_entries() as u64 <= listed + 2 * REQUESTS + 1);
            for token in std::mem::take(&mut host.timers) {
                host.take(now + ms(3000), Event::Timer(token));
            }
            most_kept = most_kept.max(host.balancer.tracked_entries() as u64);
        }
        assert_eq!(most_kept, listed, "nothing but the list is kept once all is over");
        let allowed: HashSet<u64> =
            (1..=MANY).filter(|id| round < 2 || !(drained(*id) || round == 3 && gone(*id))).collect();
        assert!(got.keys().all(|id| allowed.contains(&id.0)), "round {round}: only to what is ready");
        let (sent, most) = (got.values().sum::<u64>(), *got.values().max().unwrap());
        let mean = sent as f64 / allowed.len() as f64;
        println!(
            "round {round}: {sent} sent to {} of {}, {most} at most, {mean:.0} on average",
            got.len(),
            allowed.len()
        );
        assert_eq!(sent, MANY * REQUESTS, "each is sent at once");
        assert!(got.len() * 10 >= allowed.len() * 9, "parts leave few endpoints out");
        assert!(most as f64 <= mean * 6.0, "parts crowd none");
    }
}

/// The least time that a turn took, of many: what else runs on the machine only adds to it.
fn least(turns: usize, mut turn: impl FnMut()) -> f64 {
    let time = |_| {
        let began = Instant::now();
        turn();
        began.elapsed().as_secs_f64()
    };
    (0..turns).map(time).fold(f64::MAX, f64::min)
}

#[test]
fn a_decision_does_not_grow_with_the_fleet_and_a_list_costs_what_it_holds() {
    const DECISIONS: u64 = 200;
    let now = ms(100_000);
    // Before a part of all endpoints, as one of many, and before all of them, alone.
    for alone in [false, true] {
        let [few, many] = [FEW, MANY].map(|n| {
            let mut host = Host::new(if alone { 1 } else { n }, 0);
            let whole = least(20, || {
                host.take(now, Event::Membership(Membership::Full(endpoints(n))));
            });
            let change = least(20, || {
                host.take(now, Event::Membership(Membership::Delta(endpoints(1))));
            });
            let mut first = 0;
            let decided = least(20, || {
                host.serve(now, first, DECISIONS);
                first += DECISIONS;
            });
            let decided = decided / DECISIONS as f64;
            println!(
                "{n} endpoints, alone {alone}: whole list {:.0} us, one change {:.0} us, a request and its end {:.2} us",
                whole * 1e6,
                change * 1e6,
                decided * 1e6
            );
            (whole, change, decided)
        });
        // Eight times as many: sorted, a list costs eleven times as much, by its square 64 times.
        assert!(many.0 <= few.0 * 24.0, "a whole list: {:.1} times", many.0 / few.0);
        assert!(many.1 <= few.1 * 24.0, "a change: {:.1} times", many.1 / few.1);
        assert!(many.2 <= few.2 * 5.0, "a decision: {:.1} times", many.2 / few.2);
    }
}

#[test]
fn whatever_becomes_of_its_attempts_no_balancer_turns_away_all_for_four_seconds() {
    for (outcome, elapsed) in [
        (Outcome::Ok, 900), // late, each of them
        (Outcome::Error, 900),
        (Outcome::Error, 5),
        (Outcome::NotProcessed, 5),
        (Outcome::ConnectFailed, 1),
        (Outcome::Reset, 300),
        (Outcome::TimedOut, 1900),
    ] {
        for (balancers, cold) in [(30, false), (30, true), (1024, false), (1024, true)] {
            let settings = Settings { balancers, ..Settings::default() };
            let started = cold.then_some(ms(100_000));
            let list = endpoints(16).into_iter().map(|info| EndpointInfo { started, ..info }).collect();
            let mut d = Driver::new(settings, list);
            let (mut due, mut last, mut longest) = (Vec::new(), d.now, Duration::ZERO);
            // Twenty requests a second for half a minute.
            for _ in 0..600 {
                d.request(ms(2000));
                for _ in 0..5 {
                    d.advance(ms(10));
                    // What has gone out since, by whatever event, ends in its time.
                    for (id, attempt, ..) in d.out.clone() {
                        if !due.iter().any(|(_, known, n)| (*known, *n) == (id, attempt)) {
                            due.push((d.now + ms(elapsed), id, attempt));
                            longest = longest.max(d.now - last);
                            last = d.now;
                        }
                    }
                    let over = due.extract_if(.., |(at, ..)| *at <= d.now).collect::<Vec<_>>();
                    for (_, id, attempt) in over {
                        if d.out.iter().any(|o| (o.0, o.1) == (id, attempt)) {
                            d.end(id, outcome, ms(elapsed));
                        }
                    }
                }
            }
            longest = longest.max(d.now - last);
            let what = format!("{outcome:?} after {elapsed} ms, {balancers} balancers, cold {cold}");
            println!("{what}: {longest:?}");
            assert!(longest < Duration::from_secs(4), "{what}: no attempt for {longest:?}");
        }
    }
}
