//! What the policy decides where something ends, on a made clock: slots, windows and waits.

mod support;

use gullpulley::*;
use support::*;

fn out(d: &Driver) -> [u32; 2] {
    d.balancer.stats(d.now).windows.map(|window| window.in_flight)
}

fn in_zone(id: u64, zone: u32) -> EndpointInfo {
    EndpointInfo { zone: ZoneId(zone), ..endpoint(id) }
}

#[test]
fn a_slot_goes_back_to_the_window_that_gave_it_wherever_its_endpoint_is_listed_by_then() {
    for gone_between in [false, true] {
        let mut d = Driver::new(Settings { zones: 2, ..Settings::default() }, vec![in_zone(1, 0)]);
        let (id, actions) = d.request(ms(900));
        assert_eq!((sends(&actions).len(), out(&d)), (1, [1, 0]));
        if gone_between {
            d.list(Membership::Delta(vec![EndpointInfo { state: EndpointState::Gone, ..in_zone(1, 0) }]));
        }
        d.list(Membership::Delta(vec![in_zone(1, 1)]));
        d.end(id, Outcome::Ok, ms(10));
        assert_eq!(out(&d), [0, 0], "gone between: {gone_between}");
    }
}

#[test]
fn a_body_that_comes_whole_after_its_endpoint_has_left_gives_back_no_slot_of_another() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    let Event::Request(mut request) = Event::request(RequestId(1000), ms(900)) else { unreachable!() };
    request.streamed_body = true;
    let id = request.id;
    d.feed(Event::Request(request));
    d.list(Membership::Delta(vec![EndpointInfo { state: EndpointState::Gone, ..endpoint(1) }]));
    d.feed(Event::BodyForwarded { request: id, time_left: ms(900) });
    d.list(Membership::Delta(vec![endpoint(1)]));
    let (_, actions) = d.request(ms(900));
    assert_eq!((sends(&actions).len(), out(&d)), (1, [1, 0]));
    d.end(id, Outcome::Ok, ms(10));
    assert_eq!(out(&d), [1, 0], "the other's call is still out");
}

#[test]
fn a_repeat_is_to_be_written_within_what_is_left_of_its_window() {
    let keyed = Semantics::Keyed { group: Group::All, window: ms(400) };
    let within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { write_within, .. } => Some(*write_within),
            _ => None,
        })
    };
    for (semantics, outcome, left) in [
        (keyed, Outcome::Error, Some(ms(150))),
        (keyed, Outcome::ConnectFailed, None),
        (Semantics::Safe, Outcome::Error, None),
    ] {
        let mut d = Driver::new(with_class(semantics), endpoints(3));
        let (id, first) = d.request(ms(1500));
        assert_eq!(within(&first), Some(None), "nothing has run yet");
        d.advance(ms(250));
        assert_eq!(within(&d.end(id, outcome, ms(250))), Some(left), "{semantics:?} {outcome:?}");
    }
}
