//! Tests of what only this module can see.

use super::*;
use crate::seeds::{Part, draws};

fn listing(entries: &[(&str, Entry)]) -> Listing {
    entries.iter().map(|(name, entry)| (OsString::from(name), *entry)).collect()
}

#[test]
fn what_was_synced_is_left_and_what_was_not_may_be() {
    let (mut disk, file) = (Disk::default(), FileId(1));
    disk.found(file, b"old.".to_vec());
    disk.folder_synced(Path::new(""), listing(&[("x", Entry::File(file))]));
    disk.changed(file, Change::Write(0, b"new".to_vec()));
    disk.changed(file, Change::Write(6, b"far".to_vec()));
    assert_eq!(disk.pending(file), 2);
    disk.synced(file, 1);
    let left =
        |disk: &Disk, seed| disk.after_cut(&mut draws(seed, Part::Disk, 0)).1[Path::new("x")].clone();
    let seen: std::collections::BTreeSet<Vec<u8>> = (0..40).map(|seed| left(&disk, seed)).collect();
    assert_eq!(seen, [b"new.".to_vec(), b"new.\0\0far".to_vec()].into(), "the second write alone is open");
    disk.synced(file, 1);
    disk.changed(file, Change::Length(2));
    let seen: std::collections::BTreeSet<Vec<u8>> = (0..40).map(|seed| left(&disk, seed)).collect();
    assert_eq!(seen, [b"ne".to_vec(), b"new.\0\0far".to_vec()].into());
}

#[test]
fn a_name_lasts_once_its_directory_was_synced() {
    let mut disk = Disk::default();
    let (old, new) = (FileId(1), FileId(2));
    disk.found(old, b"old".to_vec());
    disk.folder_synced(Path::new(""), listing(&[("x", Entry::File(old))]));
    disk.changed(new, Change::Write(0, b"new".to_vec()));
    disk.synced(new, 1);
    // Renamed over the old one, which is gone by now: without a sync of the directory the old one is back.
    let files = |disk: &Disk| disk.after_cut(&mut draws(1, Part::Disk, 0));
    assert_eq!(files(&disk).1, BTreeMap::from([("x".into(), b"old".to_vec())]));
    disk.folder_synced(Path::new(""), listing(&[("x", Entry::File(new)), ("deep", Entry::Folder)]));
    disk.folder_synced(Path::new("deep"), listing(&[("y", Entry::File(old))]));
    let (folders, left) = files(&disk);
    assert_eq!(folders, [PathBuf::from("deep")]);
    assert_eq!(left, BTreeMap::from([("deep/y".into(), b"old".to_vec()), ("x".into(), b"new".to_vec())]));
}
