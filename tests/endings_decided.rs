//! What the policy decides where something ends, on a made clock: slots, windows and waits.

mod support;

use gullpulley::*;
use support::*;

fn out(d: &Driver) -> [u32; 2] {
    d.balancer.census(d.now).windows.map(|window| window.out)
}

fn in_zone(id: u64, zone: u32) -> EndpointInfo {
    EndpointInfo { zone: ZoneId(zone), ..endpoint(id) }
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

