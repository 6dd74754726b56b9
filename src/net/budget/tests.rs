//! Tests of what only this module can see.

use super::*;

#[test]
fn two_processes_part_what_one_has() {
    let held = |budget: &Rc<Budget>, holder| {
        let permits: Vec<Permit> = std::iter::from_fn(|| budget.take(holder)).collect();
        permits.len()
    };
    let budget = Budget::new(384, 48);
    let alone = [Holder::Client, Holder::Endpoint, Holder::Request].map(|h| held(&budget, h));
    let kept: Vec<Permit> = std::iter::from_fn(|| budget.take(Holder::Endpoint)).collect();
    budget.share(2);
    assert!(budget.over_limit() && budget.take(Holder::Endpoint).is_none());
    drop(kept);
    let parted = [Holder::Client, Holder::Endpoint, Holder::Request].map(|h| held(&budget, h));
    for (part, whole) in parted.into_iter().zip(alone) {
        assert_eq!(part, whole / 2);
    }
    budget.share(1);
    assert_eq!(held(&budget, Holder::Endpoint), alone[1]);
}
