//! What discovery has counts as told 4 s after a move, also where the first answer at the new address was newer than the
//! list held, and its watch ended instead of telling the rest: any newer version lifts the move's term.

mod support;

use gullpulley::*;
use std::time::Duration;
use support::*;

const KNOWN_AFTER_MOVE: Duration = Duration::from_secs(4);

#[test]
fn a_newer_answer_whose_watch_ends_at_once_does_not_lift_the_term_of_a_move() {
    let mut settings = Settings { balancers: 4, discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = false;
    let list = endpoints(4);
    let mut d = Driver::new(settings.clone(), list.clone());
    d.advance(ms(6000));
    d.list(Membership::Full(list));
    d.advance(ms(100));
    let moved = d.now;
    d.list(Membership::Moved);
    d.advance(ms(200));
    // The node tells this where the version is another than the one held: one of two changes that discovery has.
    d.list(Membership::Delta(vec![EndpointInfo { state: EndpointState::Draining, ..endpoint(4) }]));
    d.advance(ms(30));
    let (silent_for, failure) = (ms(30), DiscoveryFailure::Unanswered);
    d.list(Membership::Failed { silent_for, failure });
    let mut last = Duration::ZERO;
    while d.now - moved < ms(9000) {
        let (id, sent) = d.request(ms(250));
        let since = d.now - moved;
        if !sends(&sent).is_empty() {
            last = since;
            d.end(id, Outcome::Ok, ms(1));
        }
        let called = d.advance(ms(40)).iter().any(|a| matches!(a, Action::Watch(true)));
        if called {
            let failure = DiscoveryFailure::RefusedAtOnce;
            d.list(Membership::Failed { silent_for: since, failure });
        }
    }
    let latest = KNOWN_AFTER_MOVE + settings.rules.drain_grace;
    assert!(last <= latest, "sent {last:?} after the move");
}
