//! Discovery that goes down seconds after the watch was lost had time to learn of a change that the list lacks: calls that
//! find nothing listening prove that no change came since the first of them, and none for the time between the two.

mod support;

use gullpulley::*;
use std::time::Duration;
use support::*;

const KNOWN_WITHIN: Duration = Duration::from_secs(6);

/// The watch is lost at zero. Discovery is up until `down`, where calls are refused by a 503; then nothing listens. When the
/// last request was sent after the loss.
fn last_sent(balancers: u32, seed: u64, down: Duration) -> Duration {
    let mut settings = Settings { balancers, discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = false;
    let list = endpoints(4);
    let mut d = Driver::seeded(settings, list.clone(), seed);
    d.advance(ms(6000));
    d.list(Membership::Full(list));
    let lost = d.now;
    let mut actions =
        d.list(Membership::Failed { silent_for: Duration::ZERO, failure: DiscoveryFailure::Unanswered });
    let mut last = Duration::ZERO;
    while d.now - lost < ms(14_000) {
        let since = d.now - lost;
        for action in std::mem::take(&mut actions) {
            if action == Action::Watch(true) {
                let failure = match since < down {
                    true => DiscoveryFailure::RefusedAtOnce,
                    false => DiscoveryFailure::NotListening,
                };
                actions.extend(d.list(Membership::Failed { silent_for: since, failure }));
            }
        }
        let (id, sent) = d.request(ms(250));
        if !sends(&sent).is_empty() {
            last = since;
            actions.extend(d.end(id, Outcome::Ok, ms(1)));
        }
        actions.extend(sent);
        actions.extend(d.advance(ms(40)));
    }
    last
}

#[test]
fn discovery_that_goes_down_later_does_not_keep_a_lapsed_list_in_use() {
    let latest = KNOWN_WITHIN + Settings::default().rules.drain_grace;
    let plays = [4, 300].into_iter().flat_map(|balancers| (0..10).map(move |seed| (balancers, seed)));
    let last: Vec<Duration> =
        plays.map(|(balancers, seed)| last_sent(balancers, seed, Duration::from_secs(3))).collect();
    let late = last.iter().filter(|last| **last > latest).count();
    assert!(late == 0, "{late} of {} plays late, the worst {:?}", last.len(), last.iter().max());
}
