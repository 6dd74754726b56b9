//! What a process keeps: found again after a cut at any point, distrusted where it was changed, never written again
//! after a failure.

#[path = "support/disk.rs"]
mod disk;

use disk::{Disk, Step};
use gullpulley::state::persisted::{
    Change, Entry, HardState, Identity, Inconsistency, PersistedState, Snapshot,
};
use gullpulley::state::record::{self, RecordError};
use gullpulley::state::rewrite;
use gullpulley::state::store::{FILE, Found, SetAsideReason, Store, StoreError, mark_suspect};
use gullpulley::state::writer::{Notification, SubmitError, Writer};
use proptest::prelude::*;
use std::sync::mpsc;
use std::time::Duration;

const NAME: &str = "a-0";

fn identity(incarnation: u64) -> Identity {
    Identity { folder: 7, name: NAME.to_owned(), incarnation }
}

fn entry(term: u64, says: &str) -> Entry {
    Entry { term, bytes: says.as_bytes().to_vec() }
}

/// The life of a voter, a batch a line.
fn life() -> Vec<Vec<Change>> {
    let mut batches = vec![vec![Change::Identity(identity(1))]];
    for term in 1..=6 {
        let first = term * 3 - 2;
        batches.push(vec![Change::HardState(HardState { term, vote: Some(term % 3), commit: first - 1 })]);
        let entries = (0..3).map(|n| entry(term, &format!("order {n} of term {term}"))).collect();
        batches.push(vec![
            Change::Log { first, entries },
            Change::Epoch { duty: "census".to_owned(), epoch: term },
            Change::Grant {
                name: format!("g{}", term % 2),
                bytes: (term != 4).then(|| vec![term as u8; 40]),
            },
        ]);
        if term % 2 == 0 {
            let bytes = vec![term as u8; 9000]; // more than a page
            batches.push(vec![Change::Snapshot(Snapshot { index: first, term, bytes })]);
        }
    }
    batches.push(vec![Change::Epoch { duty: "census".to_owned(), epoch: 2 }]); // seen late: no step back
    batches
}

/// Lives the life on a disk; the memory after each batch, and how many steps the disk had taken by then.
fn lived(disk: &Disk) -> Vec<(PersistedState, usize)> {
    let (mut store, mut memory) = Store::open_backend(disk.clone(), NAME).unwrap();
    let mut after = vec![(memory.clone(), disk.steps().len())];
    for batch in life() {
        store.commit(&batch).unwrap();
        batch.into_iter().for_each(|change| memory.apply(change));
        after.push((memory.clone(), disk.steps().len()));
    }
    after
}

#[test]
fn what_was_confirmed_is_there_after_a_cut_at_any_point_and_nothing_else() {
    let disk = Disk::default();
    let after = lived(&disk);
    let steps = disk.steps();
    let mut cuts = 0;
    for cut in after[0].1..=steps.len() {
        // What was confirmed by then, and what may have been under way.
        let confirmed = after.iter().rposition(|(_, by)| *by <= cut).unwrap();
        let under_way = (confirmed + 1).min(after.len() - 1);
        for seed in 0..4 {
            let left = Disk::after_cut(&steps[..cut], seed);
            let (_, memory) =
                Store::open_backend(left, NAME).unwrap_or_else(|e| panic!("cut {cut}, seed {seed}: {e}"));
            let fits = memory == after[confirmed].0 || memory == after[under_way].0;
            assert!(fits, "cut {cut}, seed {seed}: neither batch {confirmed} nor {under_way}: {memory:?}");
            cuts += 1;
        }
    }
    assert!(cuts > 400, "{cuts} cuts of {} steps", steps.len());
}

#[test]
fn a_byte_changed_at_rest_is_found_or_changes_nothing() {
    let disk = Disk::default();
    let after = lived(&disk);
    let last = &after.last().unwrap().0;
    let (bytes, mut found, mut harmless) = (disk.bytes(), 0, 0);
    // Each bit of the head, each some bytes where something stands, and now and then where nothing does.
    let head = (0..64 * 8).map(|bit| (bit / 8, bit % 8));
    let rest = (64..bytes.len()).filter(|at| if bytes[*at] == 0 { at % 8209 == 0 } else { at % 61 == 0 });
    for (at, bit) in head.chain(rest.map(|at| (at, at % 8))) {
        let mut changed = bytes.clone();
        changed[at] ^= 1 << bit;
        match Store::open_backend(Disk::of(changed), NAME) {
            Err(_) => found += 1,
            Ok((_, memory)) => {
                assert_eq!(memory, *last, "byte {at}");
                harmless += 1;
            }
        }
    }
    assert!(found > 50, "{found} found, {harmless} where nothing stood");
}

#[test]
fn after_a_failed_write_nothing_is_written_any_more() {
    for fails in [Step::Write(0, Vec::new()), Step::Sync] {
        let disk = Disk::default();
        let (mut store, _) = Store::open_backend(disk.clone(), NAME).unwrap();
        store.commit(&[Change::Identity(identity(1))]).unwrap();
        disk.fail(&fails);
        let next = [Change::Epoch { duty: "census".to_owned(), epoch: 1 }];
        assert!(matches!(store.commit(&next), Err(StoreError::WriteFailed(_))));
        disk.mend();
        let before = disk.steps().len();
        assert!(
            matches!(store.commit(&next), Err(StoreError::WriteFailed(_))),
            "not even once the disk is well"
        );
        drop(store);
        assert_eq!(disk.steps().len(), before, "no second sync that would pass for the first");
    }
}

#[test]
fn memories_that_contradict_themselves_are_told() {
    let whole = || {
        let mut memory = PersistedState { identity: Some(identity(1)), ..PersistedState::default() };
        memory.hard_state = HardState { term: 3, vote: None, commit: 4 };
        memory.snapshot = Snapshot { index: 2, term: 1, bytes: Vec::new() };
        memory.log = [(3, entry(2, "x")), (4, entry(2, "y")), (5, entry(3, "z"))].into();
        memory
    };
    assert_eq!(whole().check(), Ok(()));
    type Spoil = fn(&mut PersistedState);
    let cases: [(Spoil, Inconsistency); 6] = [
        (|m| drop(m.log.remove(&4)), Inconsistency::Gap { missing: 4, last: 5 }),
        (|m| drop(m.log.remove(&3)), Inconsistency::Gap { missing: 3, last: 5 }),
        (|m| m.log.get_mut(&5).unwrap().term = 1, Inconsistency::Term { index: 5, term: 1, known: 2 }),
        (|m| m.hard_state.term = 2, Inconsistency::Term { index: 5, term: 3, known: 2 }),
        (|m| m.hard_state.commit = 6, Inconsistency::Commit { commit: 6, last: 5 }),
        (|m| m.identity = None, Inconsistency::NoIdentity),
    ];
    for (spoil, told) in cases {
        let mut memory = whole();
        spoil(&mut memory);
        assert_eq!(memory.check(), Err(told));
    }
}

proptest! {
    #[test]
    fn a_record_that_is_not_as_it_was_written_where_it_was_written_is_found(
        bytes in prop::collection::vec(any::<u8>(), 0..60), at in any::<prop::sample::Index>(), bit in 0u8..8,
    ) {
        let record = record::seal("log/7", &Entry { term: 3, bytes }).unwrap();
        let mut changed = record.clone();
        changed[at.index(record.len())] ^= 1 << bit;
        for (place, record) in [("log/7", &changed), ("log/8", &record), ("log/7", &record[..at.index(record.len())].to_vec())] {
            prop_assert!(matches!(record::open::<Entry>(place, record), Err(RecordError::Damaged(_))));
        }
        prop_assert!(record::open::<Entry>("log/7", &record).is_ok());
    }
}

/// The names of the files in a folder.
fn files(folder: &std::path::Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).unwrap();
    let mut names: Vec<_> = entries.map(|e| e.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}

#[test]
fn what_can_not_be_trusted_is_set_aside_as_it_was_found_and_the_start_goes_on() {
    type Spoil = fn(&std::path::Path);
    let flip: Spoil = |folder| {
        let mut bytes = std::fs::read(folder.join(FILE)).unwrap();
        bytes.iter_mut().skip(4096).for_each(|byte| *byte ^= 0x55);
        std::fs::write(folder.join(FILE), bytes).unwrap();
    };
    let cut: Spoil = |folder| {
        let file = std::fs::OpenOptions::new().write(true).open(folder.join(FILE)).unwrap();
        file.set_len(5000).unwrap();
    };
    type Told = fn(&SetAsideReason) -> bool;
    let cases: [(&str, Spoil, Told); 5] = [
        ("flipped", flip, |why| matches!(why, SetAsideReason::Damaged(_))),
        ("cut short", cut, |why| matches!(why, SetAsideReason::Damaged(_))),
        (
            "no store at all",
            |f| std::fs::write(f.join(FILE), "not one").unwrap(),
            |w| matches!(w, SetAsideReason::Damaged(_)),
        ),
        (
            "a sync failed",
            |folder| mark_suspect(folder).unwrap(),
            |why| matches!(why, SetAsideReason::Suspect),
        ),
        (
            "another's",
            |folder| {
                std::fs::remove_file(folder.join(FILE)).unwrap();
                let (mut store, _) = Store::open(folder, "b-7", "t").unwrap();
                store.commit(&[Change::Identity(Identity::drawn("b-7"))]).unwrap();
            },
            |why| matches!(why, SetAsideReason::Foreign { .. }),
        ),
    ];
    for (name, spoil, as_told) in cases {
        let folder = tempfile::tempdir().unwrap();
        let here = folder.path();
        let (mut store, found) = Store::open(here, NAME, "t").unwrap();
        assert!(matches!(found, Found::Nothing));
        store.commit(&[Change::Identity(identity(4))]).unwrap();
        drop(store);
        spoil(here);
        for time in ["memory.t.set-aside", "memory.t-1.set-aside"] {
            let before = std::fs::read(here.join(FILE)).unwrap();
            let (store, found) = Store::open(here, NAME, "t").unwrap();
            let Found::SetAside(path, why) = found else { panic!("{name}: {found:?}") };
            assert!(as_told(&why) && path == here.join(time), "{name}: {why}, {}", path.display());
            drop(store);
            assert!(
                name == "another's" || std::fs::read(&path).unwrap() == before,
                "{name}: kept as it was"
            );
            spoil(here);
        }
        assert!(files(here).contains(&"memory.t.set-aside".to_owned()), "{name}: {:?}", files(here));
    }
}

#[test]
fn the_lock_decides_between_two_processes() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path(), NAME, "t").unwrap();
    store.commit(&[Change::Identity(identity(1))]).unwrap();
    let taken = Store::open(folder.path(), NAME, "t").unwrap_err();
    assert!(matches!(taken, StoreError::Locked(_)) && taken.to_string().contains(FILE), "{taken}");
    drop(store);
    let (_, found) = Store::open(folder.path(), NAME, "t").unwrap();
    assert!(matches!(found, Found::State(memory) if memory.identity == Some(identity(1))));
    assert_eq!(files(folder.path()), [FILE]);
}

#[test]
fn what_a_later_build_wrote_is_refused_and_left_as_it_is() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join(FILE);
    let mut record = record::seal("one/identity", &identity(1)).unwrap();
    record[4] = record::VERSION + 1;
    let sum = crc32fast::hash(&[b"one/identity\0", &record[4..]].concat());
    record[..4].copy_from_slice(&sum.to_le_bytes());
    let later = redb::Database::create(&file).unwrap();
    let batch = later.begin_write().unwrap();
    let table = redb::TableDefinition::<&str, &[u8]>::new("one");
    batch.open_table(table).unwrap().insert("identity", &*record).unwrap();
    batch.commit().unwrap();
    drop(later);
    let before = std::fs::read(&file).unwrap();
    let refused = Store::open(folder.path(), NAME, "t").unwrap_err();
    assert!(matches!(refused, StoreError::Newer(_)) && refused.to_string().contains("form 2"), "{refused}");
    assert!(std::fs::read(&file).unwrap() == before && files(folder.path()) == [FILE]);
    // Nor is a mark without a file, left by a process that ended in between, held against the next file.
    std::fs::remove_file(&file).unwrap();
    mark_suspect(folder.path()).unwrap();
    for _ in 0..2 {
        assert!(!matches!(Store::open(folder.path(), NAME, "t").unwrap().1, Found::SetAside(..)));
    }
}

#[test]
fn batches_become_durable_in_turn_and_a_store_that_is_not_there_is_said_once() {
    let folder = tempfile::tempdir().unwrap();
    let (says, said) = mpsc::channel();
    let say = move |statement| drop(says.send(statement));
    let mut writer = Writer::start(folder.path().join("deep/er"), NAME.to_owned(), say).unwrap();
    let wait = Duration::from_secs(30);
    assert!(matches!(said.recv_timeout(wait), Ok(Notification::Opened(Found::Nothing))));
    let numbers: Vec<u64> = life().into_iter().map(|batch| writer.submit(batch).unwrap()).collect();
    let mut durable = 0;
    while durable < numbers.len() as u64 {
        let Ok(Notification::Durable(number)) = said.recv_timeout(wait) else { panic!("after {durable}") };
        assert!(number > durable);
        durable = number;
    }
    drop(writer);
    assert!(said.recv_timeout(wait).is_err(), "its thread ends, and says no more");
    let (_, found) = Store::open(&folder.path().join("deep/er"), NAME, "t").unwrap();
    let mut meant = PersistedState::default();
    life().into_iter().flatten().for_each(|change| meant.apply(change));
    assert!(matches!(found, Found::State(memory) if memory == meant));

    std::fs::write(folder.path().join("file"), "").unwrap();
    let (says, said) = mpsc::channel();
    let say = move |statement| drop(says.send(statement));
    let mut writer = Writer::start(folder.path().join("file"), NAME.to_owned(), say).unwrap();
    assert!(matches!(said.recv_timeout(wait), Ok(Notification::Stopped(StoreError::Io(..)))));
    assert!(said.recv_timeout(wait).is_err());
    assert_eq!(writer.submit(Vec::new()), Err(SubmitError::Stopped));
}

/// A write that failed ended all keeping until the next start, though a disk may be full or refuse for a moment only.
#[test]
fn after_a_failed_write_a_fresh_file_holds_all_of_the_memory_and_the_old_one_is_not_touched() {
    let folder = tempfile::tempdir().unwrap();
    let here = folder.path();
    let (mut old, _) = Store::open(here, NAME, "t").unwrap();
    let mut memory = PersistedState::default();
    for batch in life() {
        old.commit(&batch).unwrap();
        batch.into_iter().for_each(|change| memory.apply(change));
    }
    let before = std::fs::read(here.join(FILE)).unwrap();
    std::fs::hard_link(here.join(FILE), here.join("old")).unwrap();
    // The last batch is in memory alone; what a kill left of an earlier try is in the way.
    memory.apply(Change::Epoch { duty: "guard".to_owned(), epoch: 99 });
    mark_suspect(here).unwrap();
    std::fs::write(here.join(rewrite::TEMP_FILE), "half").unwrap();
    let mut store = rewrite::rewrite(here, &memory).unwrap();
    assert!(std::fs::read(here.join("old")).unwrap() == before, "the old file is as it was");
    store.commit(&[Change::Epoch { duty: "guard".to_owned(), epoch: 100 }]).unwrap();
    drop((old, store));
    memory.apply(Change::Epoch { duty: "guard".to_owned(), epoch: 100 });
    std::fs::remove_file(here.join("old")).unwrap();
    let (_, found) = Store::open(here, NAME, "t").unwrap();
    assert!(matches!(found, Found::State(kept) if kept == memory));
    assert_eq!(files(here), [FILE]);
}
