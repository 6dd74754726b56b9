//! Endpoints that the operators take out and give back, driving the module alone.

mod support;
use gullpulley::*;
use std::time::Duration;
use support::*;

const OUT: EndpointId = EndpointId(1);

/// Sends of so many requests, each answered at once.
fn sends_of(d: &mut Driver, requests: usize) -> Vec<EndpointId> {
    let mut all = Vec::new();
    for _ in 0..requests {
        let (id, actions) = d.request(ms(900));
        all.extend(sends(&actions));
        d.end(id, Outcome::Ok, ms(1));
        d.advance(ms(20));
    }
    all
}

#[test]
fn nothing_new_goes_to_a_suspended_endpoint_whatever_the_list_says() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    assert!(sends_of(&mut d, 40).contains(&OUT));
    let actions = d.feed(Event::Suspend(OUT));
    assert!(actions.contains(&Action::CloseIdle { endpoint: OUT }));
    assert!(d.feed(Event::Suspend(OUT)).is_empty(), "a second call says nothing new");
    assert!(!sends_of(&mut d, 40).contains(&OUT));
    for news in [
        Membership::Delta(vec![endpoint(1)]),
        Membership::Full(endpoints(3)),
        Membership::Full(vec![endpoint(2)]),
        Membership::Full(endpoints(3)),
        Membership::Delta(vec![EndpointInfo { state: EndpointState::Gone, ..endpoint(1) }]),
        Membership::Delta(vec![EndpointInfo { started: Some(ms(1)), ..endpoint(1) }]),
    ] {
        d.list(news.clone());
        assert!(!sends_of(&mut d, 40).contains(&OUT), "{news:?}");
    }
}

#[test]
fn neither_a_repeat_nor_a_held_request_goes_to_a_suspended_endpoint() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    d.feed(Event::Suspend(OUT));
    let (id, first) = d.request(ms(900));
    assert_eq!(sends(&first), [EndpointId(2)]);
    assert!(!sends(&d.end(id, Outcome::ConnectFailed, ms(1))).contains(&OUT));
    d.feed(Event::Suspend(EndpointId(2)));
    let (held, actions) = d.request(ms(300));
    assert!(sends(&actions).is_empty());
    assert!(refused(&d.advance(ms(305)), held), "with all taken out it is refused in time");
}

#[test]
fn one_call_back_is_enough_and_finds_an_endpoint_that_was_not_listed() {
    let mut d = Driver::new(Settings::default(), vec![endpoint(2)]);
    d.feed(Event::Suspend(OUT));
    d.feed(Event::Suspend(OUT));
    d.list(Membership::Full(endpoints(2)));
    assert!(!sends_of(&mut d, 40).contains(&OUT));
    d.list(Membership::Full(vec![endpoint(2)]));
    let at = d.now;
    d.feed(Event::Resume { endpoint: OUT, at });
    d.list(Membership::Full(endpoints(2)));
    d.advance(ms(3000));
    assert!(sends_of(&mut d, 100).contains(&OUT));
}

#[test]
fn what_is_held_goes_to_the_endpoint_that_comes_back() {
    let mut d = Driver::new(Settings::default(), vec![endpoint(1)]);
    d.feed(Event::Suspend(OUT));
    let (_, actions) = d.request(ms(5000));
    assert!(sends(&actions).is_empty());
    // Long ago: it is warm by now, and takes calls at once.
    let actions = d.feed(Event::Resume { endpoint: OUT, at: Duration::ZERO });
    assert_eq!(sends(&actions), [OUT]);
}

#[test]
fn an_endpoint_called_back_is_sent_what_a_cold_one_may_get() {
    let list = endpoints(4);
    let burst = |resume: bool| {
        let mut d = Driver::new(Settings { tier: 1, tiers: 2, ..Settings::default() }, list.clone());
        sends_of(&mut d, 400);
        if resume {
            d.feed(Event::Suspend(OUT));
            sends_of(&mut d, 10);
            let at = d.now;
            d.feed(Event::Resume { endpoint: OUT, at });
        }
        let burst = (0..8).flat_map(|_| sends(&d.request(ms(900)).1)).collect::<Vec<_>>();
        burst.iter().filter(|to| **to == OUT).count()
    };
    assert!(burst(false) >= 1, "warm, it takes its part of a burst");
    assert_eq!(burst(true), 0, "just back, it takes none of it");
}

#[test]
fn the_census_counts_what_is_listed_and_what_gets_nothing() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let stats = |d: &Driver| (d.balancer.stats(d.now).members, d.balancer.stats(d.now).unavailable);
    assert_eq!(stats(&d), (4, 0));
    d.feed(Event::Suspend(OUT));
    assert_eq!(stats(&d), (4, 1));
    d.list(Membership::Delta(vec![EndpointInfo { state: EndpointState::Draining, ..endpoint(2) }]));
    assert_eq!(stats(&d), (4, 2));
    d.list(Membership::Delta(vec![EndpointInfo { state: EndpointState::Gone, ..endpoint(1) }]));
    assert_eq!(stats(&d), (3, 1));
    d.feed(Event::Suspend(EndpointId(77)));
    assert_eq!(stats(&d), (3, 1), "one that is not listed is no member");
}

#[test]
fn two_processes_or_balancers_send_a_cold_endpoint_no_more_than_one_would() {
    let burst = |parts: Event| {
        let rules = Rules { fall_multiple: 4.0, fall_after: Duration::from_secs(10), ..Rules::default() };
        let settings = Settings { tier: 1, tiers: 2, rules, ..Settings::default() };
        let mut d = Driver::new(settings, endpoints(4));
        sends_of(&mut d, 400);
        d.feed(parts);
        let at = d.now;
        d.feed(Event::Resume { endpoint: OUT, at });
        d.advance(ms(2000));
        let burst = (0..60).flat_map(|_| {
            let (id, actions) = d.request(ms(900));
            // Its client leaves at once: what it spent of the cold budget is spent.
            d.feed(Event::RequestGone(id));
            d.end(id, Outcome::Cancelled, ms(1));
            sends(&actions)
        });
        burst.filter(|to| *to == OUT).count()
    };
    let alone = burst(Event::ProcessCountChanged { processes: 1 });
    assert!(alone >= 4, "{alone} sends: too few to tell");
    for parts in [Event::ProcessCountChanged { processes: 2 }, Event::BalancerCountChanged { balancers: 2 }]
    {
        let (said, shared) = (format!("{parts:?}"), burst(parts));
        assert!(shared * 2 <= alone + 1, "{said}: {shared} sends each of two, {alone} of one alone");
    }
}
