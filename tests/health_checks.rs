//! Whom requests go to once the lease on the endpoint list has run out: endpoints whose own health check passes.

mod support;

use gullpulley::*;
use std::collections::HashMap;
use std::time::Duration;
use support::*;

const STEP: Duration = Duration::from_millis(50);
/// What discovery has counts as known so long after a move.
const KNOWN_AFTER_MOVE: Duration = Duration::from_secs(4);
/// What a watch had to tell as it ended counts as known so long after that, where no call has failed since.
const KNOWN_AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// A health check speaks for its endpoint so long.
const HEALTH_HOLDS: Duration = Duration::from_secs(1);
/// Endpoints have been in use for so long before discovery moves.
const IN_USE_BEFORE: Duration = Duration::from_secs(5);
const PROBE_TAKES: Duration = Duration::from_millis(5);
const PLAY: Duration = Duration::from_secs(12);
/// Endpoints 1 and 2 fail their health check from so long after the move on; all take calls throughout.
const DRAINS_AT: Duration = Duration::from_secs(8);
const DRAINING: [u64; 2] = [1, 2];

#[derive(Default)]
struct Played {
    /// Requests asked and served once the lease was out, and probes.
    asked: usize,
    served: usize,
    probes: usize,
    /// When each endpoint was last sent to, since the move.
    last_sent: HashMap<EndpointId, Duration>,
}

/// Answers the probes among these actions, and those that come of the answers.
fn answer_probes(driver: &mut Driver, actions: Vec<Action>, drains: bool) -> usize {
    let mut probes = 0;
    for action in actions {
        let Action::Probe { endpoint } = action else { continue };
        probes += 1;
        let outcome = if drains && DRAINING.contains(&endpoint.0) { Outcome::Error } else { Outcome::Ok };
        driver.probe_answered(endpoint, outcome, PROBE_TAKES);
    }
    probes
}

/// Discovery moves, and refuses each call from then on.
fn play(probes: bool) -> Played {
    let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = probes;
    let mut driver = Driver::new(settings, endpoints(6));
    driver.all_answer_for(&endpoints(6), IN_USE_BEFORE);
    driver.list(Membership::Moved);
    let (moved, mut played) = (driver.now, Played::default());
    while driver.now < moved + PLAY {
        driver.list(Membership::Failed {
            silent_for: Duration::ZERO,
            failure: DiscoveryFailure::RefusedAtOnce,
        });
        let since = driver.now - moved;
        let (_, mut actions) = driver.request(ms(300));
        actions.extend(driver.advance(PROBE_TAKES));
        played.probes += answer_probes(&mut driver, actions, since >= DRAINS_AT);
        let actions = driver.advance(STEP - PROBE_TAKES);
        played.probes += answer_probes(&mut driver, actions, since >= DRAINS_AT);
        // Those that were held for a moment too.
        let out: Vec<_> = driver.out.iter().map(|out| (out.0, out.2)).collect();
        for (id, to) in &out {
            driver.end(*id, Outcome::Ok, STEP);
            played.last_sent.insert(*to, since);
        }
        if since >= KNOWN_AFTER_MOVE {
            played.asked += 1;
            played.served += out.len();
        }
    }
    played
}

#[test]
fn once_the_lease_is_out_requests_go_only_where_a_health_check_has_just_passed() {
    let played = play(true);
    assert!(played.served * 10 >= played.asked * 9, "{} of {} served", played.served, played.asked);
    for id in DRAINING {
        let last = played.last_sent.get(&EndpointId(id)).copied().unwrap_or_default();
        assert!(last < DRAINS_AT + HEALTH_HOLDS, "endpoint {id} was sent to at {last:?}");
    }
    // Three endpoints, each at most twice a second.
    let most = 3 * 2 * (PLAY - KNOWN_AFTER_MOVE).as_secs() as usize + 3;
    assert!(played.probes <= most, "{} probes", played.probes);
}

#[test]
fn where_probes_are_not_allowed_nothing_is_sent_once_the_lease_is_out() {
    let played = play(false);
    assert_eq!((played.probes, played.served), (0, 0));
    assert!(played.last_sent.values().all(|at| *at < KNOWN_AFTER_MOVE));
}

#[test]
fn an_answer_from_behind_does_not_renew_a_lease_that_is_out() {
    let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = false;
    let mut driver = Driver::new(settings, endpoints(6));
    driver.list(Membership::Delta(vec![]));
    driver.list(Membership::Moved);
    driver.advance(KNOWN_AFTER_MOVE + ms(1000));
    driver.list(Membership::Unconfirmed { whole: false, entries: vec![] });
    assert!(sends(&driver.request(ms(900)).1).is_empty(), "not confirmed yet");
    driver.advance(ms(1000));
    driver.list(Membership::Delta(vec![]));
    assert_eq!(sends(&driver.request(ms(900)).1).len(), 1, "confirmed");
}

#[test]
fn calls_that_find_nothing_listening_do_not_revive_a_lease_that_is_out() {
    let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = false;
    let mut driver = Driver::new(settings, endpoints(6));
    driver.list(Membership::Delta(vec![]));
    let failed = |failure| Membership::Failed { silent_for: Duration::ZERO, failure };
    driver.list(failed(DiscoveryFailure::Unanswered));
    driver.advance(ms(7000));
    for _ in 0..4 {
        driver.list(failed(DiscoveryFailure::NotListening));
        driver.advance(ms(500));
        assert!(sends(&driver.request(ms(300)).1).is_empty(), "what counts as known is not taken back");
    }
}

#[test]
fn an_attempt_that_still_connects_is_not_written_after_the_lease_on_the_list() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut driver = Driver::new(settings, endpoints(6));
    driver.list(Membership::Delta(vec![]));
    let failure = DiscoveryFailure::Unanswered;
    driver.list(Membership::Failed { silent_for: Duration::ZERO, failure });
    let lost = driver.now;
    driver.advance(KNOWN_AFTER_WATCH_END - ms(100));
    let (_, actions) = driver.request(ms(2000));
    let within = actions.iter().find_map(|action| match action {
        Action::Send { write_within, .. } => *write_within,
        _ => None,
    });
    let known = lost + KNOWN_AFTER_WATCH_END;
    assert_eq!(within, Some(known - driver.now));
}

#[test]
fn a_health_check_of_long_ago_speaks_for_nobody() {
    let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = true;
    let mut driver = Driver::new(settings, endpoints(6));
    driver.all_answer_for(&endpoints(6), IN_USE_BEFORE);
    driver.list(Membership::Moved);
    driver.all_answer_for(&endpoints(6), KNOWN_AFTER_MOVE);
    let (id, actions) = driver.request(ms(300));
    assert!(answer_probes(&mut driver, actions, false) > 0);
    driver.end(id, Outcome::Ok, ms(1));
    driver.advance(HEALTH_HOLDS + ms(100));
    let (_, actions) = driver.request(ms(300));
    assert!(sends(&actions).is_empty(), "it is asked again first");
    assert!(actions.iter().any(|action| matches!(action, Action::Probe { .. })));
}

#[test]
fn answers_from_behind_whose_watches_end_at_once_do_not_keep_a_list_in_use() {
    let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = false;
    let mut driver = Driver::new(settings.clone(), endpoints(6));
    driver.list(Membership::Delta(vec![]));
    let failure = DiscoveryFailure::Unanswered;
    let lost = driver.now;
    let mut last_sent = Duration::ZERO;
    while driver.now < lost + PLAY {
        driver.list(Membership::Failed { silent_for: ms(50), failure });
        let (id, actions) = driver.request(ms(300));
        if !sends(&actions).is_empty() {
            last_sent = driver.now - lost;
            driver.end(id, Outcome::Ok, ms(1));
        }
        driver.advance(ms(500));
        driver.list(Membership::Delta(vec![]));
        driver.advance(ms(50));
    }
    let latest = settings.rules.known_within + settings.rules.drain_grace;
    assert!(last_sent <= latest, "sent {last_sent:?} after the watch was lost");
}
