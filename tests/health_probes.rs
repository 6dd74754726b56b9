//! Health checks while the lease on the list is out: they look only at the first pool that is not empty, so a zone whose
//! endpoints are all sick ends the service though others would pass; and of a pool larger than what is looked at they
//! don't find those that are known, so that each request asks three more.

mod support;

use gullpulley::*;
use std::collections::HashSet;
use std::time::Duration;
use support::*;

/// Requests every 40 ms for 3 s after the lease has run out: how many were sent, and how many probes, and to whom.
fn lapsed(
    list: Vec<EndpointInfo>,
    balancers: u32,
    passes: impl Fn(EndpointId) -> bool,
) -> (usize, usize, HashSet<EndpointId>) {
    let mut settings = Settings { balancers, discovery: Discovery::Ask, ..Settings::default() };
    settings.zone = ZoneId(0);
    settings.limits.probes = true;
    let mut d = Driver::new(settings, list.clone());
    d.all_answer_for(&list, ms(6000));
    d.list(Membership::Full(list.clone()));
    let failure = DiscoveryFailure::Unanswered;
    d.list(Membership::Failed { silent_for: Duration::ZERO, failure });
    d.all_answer_for(&list, ms(7000));
    let (began, mut sent, mut probes, mut asked) = (d.now, 0, 0, HashSet::new());
    let mut actions = Vec::new();
    let mut step = 0;
    while d.now - began < ms(3000) {
        if step % 4 == 0 {
            actions.extend(d.request(ms(250)).1);
        }
        step += 1;
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Probe { endpoint } => {
                    probes += 1;
                    asked.insert(endpoint);
                    let outcome = if passes(endpoint) { Outcome::Ok } else { Outcome::Error };
                    actions.extend(d.probe_answered(endpoint, outcome, Duration::ZERO));
                }
                Action::Send { request, .. } => {
                    sent += 1;
                    actions.extend(d.end(request, Outcome::Ok, ms(1)));
                }
                _ => {}
            }
        }
        actions.extend(d.advance(ms(10)));
    }
    (sent, probes, asked)
}

#[test]
fn service_goes_on_in_another_zone_where_the_own_one_is_sick() {
    let of_zone = |zone| move |id| EndpointInfo { zone: ZoneId(zone), ..endpoint(id) };
    let list = (1..=4).map(of_zone(0)).chain((5..=8).map(of_zone(1))).collect();
    let (sent, probes, asked) = lapsed(list, 1, |id| id.0 > 4);
    assert!(sent > 0, "none sent of 75; {probes} probes to {asked:?}");
}

#[test]
fn a_larger_fleet_is_probed_no_more_than_a_small_one() {
    let (sent_small, few, _) = lapsed(endpoints(20), 1, |_| true);
    let (sent_large, many, asked) = lapsed(endpoints(400), 1, |_| true);
    assert!(sent_small > 0 && sent_large > 0, "{sent_small} and {sent_large} sent");
    assert!(many <= few * 2, "{few} probes among 20, {many} among 400, to {} of them", asked.len());
}
