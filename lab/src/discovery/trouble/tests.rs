use super::*;
use std::collections::HashSet;
use std::mem::{Discriminant, discriminant};

const COPIES: usize = 60;
const CALLS: usize = 12;

/// The sorts of ends of a copy's calls in one crowded time.
fn sorts(troubles: &Troubles, copy: usize, crowd: u64) -> HashSet<Discriminant<Trouble>> {
    (0..CALLS).map(|_| discriminant(&troubles.in_crowd(copy, crowd))).collect()
}

#[test]
fn in_a_crowd_no_call_is_answered_and_each_copy_meets_one_sort_of_end_or_all() {
    let troubles = Troubles::new(3);
    let met: Vec<_> = (0..COPIES).map(|copy| sorts(&troubles, copy, 1)).collect();
    let late = Trouble::RefusedLate(Duration::ZERO);
    for end in [Trouble::Refused, late, Trouble::Broken, Trouble::NeverAnswered] {
        let alone = HashSet::from([discriminant(&end)]);
        assert!(met.contains(&alone), "no copy meets {end:?} alone");
    }
    assert!(met.iter().any(|sorts| sorts.len() > 2), "none meets several");
    let again = Troubles::new(3);
    assert_eq!(met, (0..COPIES).map(|copy| sorts(&again, copy, 1)).collect::<Vec<_>>());
    assert_ne!(met, (0..COPIES).map(|copy| sorts(&again, copy, 2)).collect::<Vec<_>>(), "the next crowd");
}

#[test]
fn an_answer_from_behind_is_one_of_the_troubles_and_its_watch_is_reset_soon() {
    let troubles = Troubles::new(3);
    let drawn: Vec<Trouble> = (0..300).filter_map(|_| troubles.next(0, 1.0)).collect();
    let resets = |trouble: &Trouble| match trouble {
        Trouble::FromBehind(after) => Some(after.as_millis() as u64),
        _ => None,
    };
    let after: Vec<u64> = drawn.iter().chain(&[troubles.behind(0)]).filter_map(resets).collect();
    assert!(after.len() > 5 && after.iter().all(|ms| RESET_MS.contains(ms)), "{after:?}");
}
