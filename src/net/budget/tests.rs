//! Unit tests of private items.

use super::*;

#[test]
fn two_processes_part_what_one_has() {
    let available = |budget: &Rc<Budget>, holder| {
        let permits: Vec<Permit> = std::iter::from_fn(|| budget.take(holder)).collect();
        permits.len()
    };
    let budget = Budget::new(384, 48);
    let alone = [Holder::Client, Holder::Endpoint, Holder::Request].map(|h| available(&budget, h));
    let permits_held: Vec<Permit> = std::iter::from_fn(|| budget.take(Holder::Endpoint)).collect();
    let half = Allowance { memory_share: 0.5, sockets: budget.total_sockets() / 2 };
    budget.allow(half);
    assert!(budget.over_limit() && budget.take(Holder::Endpoint).is_none());
    drop(permits_held);
    let shared = [Holder::Client, Holder::Endpoint, Holder::Request].map(|h| available(&budget, h));
    for (share, limit) in shared.into_iter().zip(alone) {
        assert_eq!(share, limit / 2);
    }
    budget.allow(Allowance { memory_share: 1.0, sockets: budget.total_sockets() });
    assert_eq!(available(&budget, Holder::Endpoint), alone[1]);
}
