//! Tests of what only this module can see.

use super::*;

#[test]
fn an_interval_needs_plays_and_holds_the_median() {
    // Of 20 fair coins at most 3 show heads with a chance of 0.0013, at most 4 with 0.0059.
    assert_eq!(rank(20, 0.01), Some(3));
    assert_eq!(rank(7, 0.01), None, "twice 1/128 is more");
    assert_eq!(rank(8, 0.01), Some(0));
    let pairs: Vec<[f64; 2]> =
        (0..20).map(|i| [f64::from(i), f64::from(i) + 1.0 + f64::from(i % 3)]).collect();
    let seen = compare(&pairs);
    assert_eq!((seen.difference, seen.differs()), (2.0, Some(true)));
    let same: Vec<[f64; 2]> = (0..20).map(|i| [0.0, f64::from(i) - 9.5]).collect();
    assert_eq!(compare(&same).differs(), Some(false));
    assert_eq!(compare(&same[..5]).differs(), None);
}
