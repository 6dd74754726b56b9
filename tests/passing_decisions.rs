//! Requests whose bodies pass through, driving the module alone.

mod support;
use gullpulley::*;
use support::*;

fn passing(d: &mut Driver, id: u64) -> (RequestId, Vec<Action>) {
    let id = RequestId(id);
    let Event::Request(mut request) = Event::request(id, ms(600_000)) else { unreachable!() };
    request.streamed_body = true;
    (id, d.feed(Event::Request(request)))
}

#[test]
fn its_time_runs_from_the_last_byte_on() {
    let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(2));
    let (id, actions) = passing(&mut d, 1000);
    assert_eq!(sends(&actions).len(), 1);
    assert!(d.advance(ms(30_000)).is_empty(), "no deadline and no second copy while it comes");
    d.feed(Event::BodyForwarded { request: id, time_left: ms(300) });
    assert!(!failed(&d.advance(ms(290)), id));
    assert!(failed(&d.advance(ms(15)), id));
}

#[test]
fn it_is_no_call_in_flight_before_it_has_come_whole() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    let room = {
        let mut idle = Driver::new(Settings::default(), endpoints(1));
        idle.fill();
        idle.out.len()
    };
    let ids: Vec<_> = (0..20).map(|n| passing(&mut d, 1000 + n).0).collect();
    assert_eq!(d.out.len(), 20);
    d.fill();
    assert_eq!(d.out.len(), 20 + room, "slow bodies take nobody's room");
    d.feed(Event::BodyForwarded { request: ids[0], time_left: ms(900) });
    let ended = d.out[20].0;
    d.end(ended, Outcome::Ok, ms(1));
    assert!(d.out.len() <= 20 + room, "now it counts");
}

#[test]
fn once_spent_it_is_given_up_at_once_and_refused_only_where_it_never_ran() {
    for (outcome, refusal) in [(Outcome::ConnectFailed, true), (Outcome::Reset, false)] {
        let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(3));
        let (id, _) = passing(&mut d, 1000);
        d.feed(Event::BodySendStarted(id));
        let actions = d.end(id, outcome, ms(5));
        assert!(sends(&actions).is_empty());
        assert_eq!((refused(&actions, id), failed(&actions, id)), (refusal, !refusal), "{outcome:?}");
    }
    let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(3));
    let (id, _) = passing(&mut d, 1000);
    assert_eq!(sends(&d.end(id, Outcome::ConnectFailed, ms(5))).len(), 1, "unspent it goes elsewhere");
}

#[test]
fn once_its_client_has_no_time_left_no_further_attempt_begins() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let (id, _) = passing(&mut d, 1000);
    d.feed(Event::BodyReceived { request: id, time_left: ms(300) });
    assert!(d.advance(ms(310)).is_empty(), "the attempt ends by itself, and may never have run");
    let attempt = d.out[0].0;
    let actions = d.end(attempt, Outcome::ConnectFailed, ms(310));
    assert!(sends(&actions).is_empty() && refused(&actions, id));
}
