//! `requests_held_without_lease` counts each look at a held request, not the requests.

mod support;

use gullpulley::*;
use std::time::Duration;
use support::*;

#[test]
fn a_request_that_is_held_without_a_lease_counts_once() {
    let mut settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    settings.limits.probes = false;
    let mut d = Driver::new(settings, endpoints(4));
    d.advance(ms(6000));
    d.list(Membership::Full(endpoints(4)));
    d.list(Membership::Failed { silent_for: Duration::ZERO, failure: DiscoveryFailure::Unanswered });
    d.advance(ms(7000));
    d.request(ms(1000));
    d.advance(ms(210));
    assert_eq!(d.balancer.stats(d.now).queued_without_lease, 1);
}
