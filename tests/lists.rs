//! Lists that come one behind the other: read however they are laid out and cut.

use gullpulley::config::{List, ListFault, ListReader, MAX_LIST_BYTES};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::time::Instant;

fn list(rev: u64, targets: usize) -> Value {
    let target = |n: usize| {
        json!({"uid": format!("s-{{{n}}}\n}}"), "endpoint": "10.1.0.18:7070", "az": "a", "model": "m2",
               "pod_group": 3, "state": "up", "capacity_hint": 1.0, "boot_ms": 0})
    };
    json!({"rev": rev, "all": false, "targets": (0..targets).map(target).collect::<Vec<_>>()})
}

proptest! {
    #[test]
    fn whole_lists_come_in_turn_wherever_they_are_cut(
        lists in prop::collection::vec((0usize..4, any::<bool>(), 0usize..3), 1..5),
        cuts in prop::collection::vec(1usize..90, 1..40),
    ) {
        let mut text = String::new();
        for (rev, &(targets, indented, empty)) in lists.iter().enumerate() {
            let list = list(rev as u64, targets);
            text += &if indented { format!("{list:#}") } else { list.to_string() };
            text += &"\r\n".repeat(1 + empty);
        }
        let (mut reader, mut read, mut rest) = (ListReader::default(), Vec::new(), text.as_bytes());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, behind) = rest.split_at(rest.len().min(*cut));
            read.extend(reader.take(piece).unwrap());
            rest = behind;
        }
        let told: Vec<_> = read.iter().map(|list: &List| (list.rev as usize, list.targets.len())).collect();
        let meant: Vec<_> = lists.iter().enumerate().map(|(rev, list)| (rev, list.0)).collect();
        prop_assert_eq!(told, meant);
        prop_assert!(!reader.is_incomplete());
    }

    #[test]
    fn nothing_brings_the_reader_down(pieces in prop::collection::vec("[{}\\[\\]\":,a-z0-9 \n]{0,40}", 0..20)) {
        let mut reader = ListReader::default();
        for piece in pieces {
            if reader.take(piece.as_bytes()).is_err() {
                break;
            }
        }
    }
}

/// Has a text read in pieces that end as entries do; how many lists came.
fn read_in_entries(reader: &mut ListReader, text: &str) -> usize {
    text.split_inclusive('}').map(|piece| reader.take(piece.as_bytes()).unwrap().len()).sum()
}

#[test]
fn a_list_that_comes_entry_by_entry_costs_what_it_holds() {
    for break_behind in ["", "\n"] {
        let [few, many] = [128, 1024].map(|targets| {
            let text = list(9, targets).to_string().replace("},{", &format!("}}{break_behind},{{"));
            let time = |_| {
                let began = Instant::now();
                assert_eq!(read_in_entries(&mut ListReader::default(), &text), 1);
                began.elapsed().as_secs_f64()
            };
            (0..5).map(time).fold(f64::MAX, f64::min)
        });
        // Eight times as long: by its square it cost 69 times as much.
        assert!(many <= few * 24.0, "{:.1} times", many / few);
    }
}

#[test]
fn what_is_no_list_and_what_never_becomes_one_are_faults() {
    let half = list(9, 1).to_string();
    let half = &half[..half.len() / 2];
    for text in [
        "}\n",
        "{\"rev\":9,\"all\":false,\"targets\":[{\"uid\":7}]}\n",
        &format!("{half}\n{}\n", list(10, 0)),
    ] {
        let fault = ListReader::default().take(text.as_bytes());
        assert!(matches!(fault, Err(ListFault::Malformed(_))), "{text}: {fault:?}");
    }
    // Also where the half was long, and came in as many pieces as it has entries.
    let long = list(9, 1024).to_string();
    let half = &long[..long.len() / 2];
    let mut reader = ListReader::default();
    assert_eq!(read_in_entries(&mut reader, half), 0);
    let fault = reader.take(format!("\n{}\n", list(10, 0)).as_bytes());
    assert!(matches!(fault, Err(ListFault::Malformed(_))), "{fault:?}");
    let mut reader = ListReader::default();
    assert!(reader.take(half.as_bytes()).unwrap().is_empty() && reader.is_incomplete());
    assert!(matches!(reader.take(&vec![b' '; MAX_LIST_BYTES]), Err(ListFault::TooLong)));
}
