//! Tests of what only this module can see.

use super::*;

#[test]
fn lines_of_metrics_are_read_and_others_are_not() {
    let pair = |a: &str, b: &str| (a.to_owned(), b.to_owned());
    let read = |line| {
        parsed(line).map(|(name, labels, value)| (name, labels.into_iter().collect::<Vec<_>>(), value))
    };
    assert_eq!(read("x 3"), Some(("x".to_owned(), vec![], 3.0)));
    assert_eq!(
        read("x{a=\"1\",b=\"two words\"} 0.5"),
        Some(("x".to_owned(), vec![pair("a", "1"), pair("b", "two words")], 0.5))
    );
    assert_eq!(read("# TYPE x gauge"), None);
    assert_eq!(read("# EOF"), None);
    assert_eq!(read("x{a=\"1\""), None);
    assert_eq!(read(""), None);
}

fn held(copy: usize, at: f64, epoch: &str, value: f64) -> Sample {
    let labels =
        [("duty", "orders"), ("epoch", epoch)].map(|(name, value)| (name.to_owned(), value.to_owned()));
    Sample { copy, at, metric: DUTY_HELD.to_owned(), labels: labels.into(), value }
}

#[test]
fn two_hold_a_duty_at_once_only_where_both_were_seen_to_around_one_moment() {
    // Handed over between two samples: 0 was seen last at 1.0, 1 first at 1.1.
    let handed =
        [held(0, 0.0, "1", 1.0), held(0, 1.0, "1", 1.0), held(1, 1.1, "2", 1.0), held(1, 2.0, "2", 1.0)];
    assert_eq!(holders(&handed), Some(1.0));
    let held_so = holdings(&handed);
    assert_eq!(
        held_so.iter().map(|h| (h.copy, h.from, h.to)).collect::<Vec<_>>(),
        [(0, 0.0, 1.0), (1, 1.1, 2.0)]
    );
    let both =
        [held(0, 0.0, "1", 1.0), held(1, 0.1, "2", 1.0), held(1, 0.6, "2", 1.0), held(0, 1.0, "1", 1.0)];
    assert_eq!(holders(&both), Some(2.0));
    // Lost and won again between two samples: nothing is known of the time between.
    let anew =
        [held(0, 0.0, "1", 1.0), held(1, 0.1, "2", 1.0), held(1, 0.6, "2", 1.0), held(0, 1.0, "3", 1.0)];
    assert_eq!(holders(&anew), Some(1.0));
    assert_eq!(holders(&[]), None, "nobody said anything of duties");
}
