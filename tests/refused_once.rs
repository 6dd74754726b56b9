//! One connect at discovery that is refused by chance, while discovery is up, puts the end of the lease off until the call
//! after it has ended: that may wait for its slot, and then for an answer.

mod support;

use gullpulley::*;
use std::time::Duration;
use support::*;

const KNOWN_WITHIN: Duration = Duration::from_secs(6);
const PLAY: u64 = 14_000;
const STEP: u64 = 10;
const SENT_AWAY_AFTER: Duration = Duration::from_millis(2900);

/// The watch is lost at zero. Discovery is up all the time, and sends each call away after it has waited; only the first call
/// made `from` on is refused on the way. When the last request was sent after the loss.
fn last_sent(balancers: u32, seed: u64, from: Duration) -> Duration {
    let mut settings = Settings { balancers, discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = false;
    let list = endpoints(4);
    let mut d = Driver::seeded(settings, list.clone(), seed);
    d.advance(ms(6000));
    d.list(Membership::Full(list));
    let lost = d.now;
    let failure = DiscoveryFailure::Unanswered;
    let mut actions = d.list(Membership::Failed { silent_for: Duration::ZERO, failure });
    let (mut last, mut due, mut refused) =
        (Duration::ZERO, Vec::<(Duration, DiscoveryFailure)>::new(), false);
    for step in 0..PLAY / STEP {
        let since = d.now - lost;
        for _ in actions.iter().filter(|a| matches!(a, Action::Watch(true))) {
            let by_chance = !refused && since >= from;
            refused |= by_chance;
            due.push(match by_chance {
                true => (d.now, DiscoveryFailure::NotListening),
                false => (d.now + SENT_AWAY_AFTER, DiscoveryFailure::SentAway),
            });
        }
        actions.clear();
        let (over, out) = due.into_iter().partition(|(at, _)| *at <= d.now);
        due = out;
        for (_, failure) in over {
            actions.extend(d.list(Membership::Failed { silent_for: since, failure }));
        }
        if step % 4 == 0 {
            let (id, sent) = d.request(ms(250));
            if !sends(&sent).is_empty() {
                last = since;
                actions.extend(d.end(id, Outcome::Ok, ms(1)));
            }
            actions.extend(sent);
        }
        actions.extend(d.advance(ms(STEP)));
    }
    last
}

#[test]
fn one_refused_connect_does_not_keep_a_lapsed_list_in_use() {
    let latest = KNOWN_WITHIN + Settings::default().rules.drain_grace;
    let mut late = Vec::new();
    let mut plays = 0;
    for balancers in [2, 4, 9, 50, 300] {
        for seed in 0..20 {
            for from in [0, 1000, 2000, 3000, 4000] {
                plays += 1;
                let last = last_sent(balancers, seed, ms(from));
                if last > latest {
                    late.push((last, balancers, seed, from));
                }
            }
        }
    }
    late.sort();
    assert!(late.is_empty(), "{} of {plays} plays late, the worst {:?}", late.len(), late.last());
}
