//! Tests of what only this module can see.

use super::*;
use std::sync::Arc;
use std::time::Duration;

/// Ten requests a quarter of a second, from zones a and b in turn; b is lost from 2 s to 4 s. `served` tells
/// which zone serves a request meant for a time, or that nobody does.
fn run(served: impl Fn(f64, usize) -> Option<&'static str>) -> Run {
    let text = include_str!("../../experiments/demo.toml");
    let text = text
        .replace("of = \"c\"", "of = \"b\"")
        .replace("at = \"5s\"\nlasts = \"3s\"", "at = \"2s\"\nlasts = \"2s\"");
    let experiment = Arc::new(Experiment::parse("test", &text).unwrap());
    let record = |number: u64| {
        let (at, zone) = (number as f64 * 0.025, (number % 2) as usize);
        let endpoint = served(at, zone).map(|zone| format!("{zone}/x-0"));
        let end = if endpoint.is_some() { End::Served } else { End::Failed };
        let (at_ms, took_ms) = (at * 1e3, 100.0 + (number % 100) as f64);
        Record {
            number,
            class: 0,
            zone,
            tenant: 0,
            at_ms,
            lab_late_ms: 0.0,
            took_ms,
            end,
            endpoint,
            tries: 1,
            lost: 0,
        }
    };
    let records = (0..480).map(record).collect();
    let breaches = vec![
        Breach::PushedOver { endpoint: "b/x-0".into() },
        Breach::TooMuchTime { request: "q1-7".into(), by_ms: 260.0 },
        Breach::AfterClientLeft { request: "q1-8".into(), after_ms: 180.0 },
    ];
    let (faults, relay_adds) = (vec![], Duration::ZERO);
    Run {
        experiment,
        records,
        breaches,
        attempts: 480,
        crashes: 0,
        faults,
        samples: vec![],
        tellings: vec![],
        relay_adds,
    }
}

fn check(that: That) -> Check {
    Check { at_most: Some(1.0), zone: Some("b".to_owned()), ..Check::never(that) }
}

#[test]
fn leaving_and_returning_are_measured_from_the_faults_own_times() {
    // Half of zone a's requests fail for a second; b serves again, its own from 6 s on.
    let run = run(|at, zone| match (at, zone) {
        (2.0..3.0, 0) if ((at * 40.0) as u64).is_multiple_of(4) => None,
        (2.0..6.0, 1) => Some("a"),
        (_, 0) => Some("a"),
        _ => Some("b"),
    });
    assert_eq!(measure(&run, &check(That::LeftZoneWithin)), Some(1.0));
    assert_eq!(measure(&run, &check(That::ReturnedWithin)), Some(2.25), "the step that ends so late");
    for that in [That::PushedOver, That::ToldTooMuchTime, That::SentAfterClientLeft] {
        assert_eq!(measure(&run, &check(that)), Some(1.0));
        assert!(!verdict(&run, &Check::never(that)).holds);
    }
}

#[test]
fn what_never_comes_right_holds_no_check() {
    let run = run(|at, _| if at < 2.0 { Some("b") } else { None });
    for that in [That::LeftZoneWithin, That::ReturnedWithin] {
        assert_eq!(measure(&run, &check(that)), None);
        assert!(!verdict(&run, &check(that)).holds);
    }
}

#[test]
fn figures_are_of_the_requests_that_a_check_is_about() {
    let run = run(|at, zone| if at >= 6.0 && zone == 0 { None } else { Some("a") });
    let of = |that, from: u64, zone: &str| {
        let (from, zone) = (Some(Duration::from_secs(from)), Some(zone.to_owned()));
        measure(&run, &Check { from, zone, ..check(that) })
    };
    assert_eq!((of(That::Served, 0, "a"), of(That::Served, 6, "a")), (Some(0.5), Some(0.0)));
    assert_eq!((of(That::Crossed, 0, "a"), of(That::Crossed, 0, "b")), (Some(0.0), Some(1.0)));
    assert_eq!(of(That::Served, 60, "a"), None, "no request fits");
    let p99 = of(That::P99Ms, 0, "b").unwrap();
    assert!((197.0..200.0).contains(&p99), "{p99}");
}
