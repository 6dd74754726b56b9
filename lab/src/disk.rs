//! What of a folder outlives a power cut, as POSIX promises it and no more: of a file what was synced, of a directory
//! the entries that it had when it was synced. Whatever was not may be there or not, write by write; the draw decides.
//! Nothing here touches a disk; the ward tells what a program did, and asks what is left.

use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::ffi::OsString;
use std::path::{Path, PathBuf};

/// A file, whatever its name: unlike the number that a file system gives it, never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FileId(pub u64);

/// What a directory holds under a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A file.
    File(FileId),
    /// A directory below it.
    Folder,
}

/// The entries of one directory.
pub type Listing = BTreeMap<OsString, Entry>;

/// A change of a file.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Bytes at a place.
    Write(u64, Vec<u8>),
    /// Another length.
    Length(u64),
}

#[derive(Default)]
struct Content {
    durable: Vec<u8>,
    pending: Vec<Change>,
}

/// The bookkeeping of one folder.
#[derive(Default)]
pub struct Disk {
    files: HashMap<FileId, Content>,
    /// By path from the folder; the empty path is the folder itself.
    folders: BTreeMap<PathBuf, Listing>,
}

impl Disk {
    /// A file that is there, whole and durable, from before.
    pub fn found(&mut self, file: FileId, content: Vec<u8>) {
        self.files.insert(file, Content { durable: content, pending: Vec::new() });
    }

    /// A file changed.
    pub fn changed(&mut self, file: FileId, change: Change) {
        self.files.entry(file).or_default().pending.push(change);
    }

    /// So many changes of a file are not durable yet.
    pub fn pending(&self, file: FileId) -> usize {
        self.files.get(&file).map_or(0, |content| content.pending.len())
    }

    /// The first so many changes of a file have become durable.
    pub fn synced(&mut self, file: FileId, changes: usize) {
        let Some(content) = self.files.get_mut(&file) else { return };
        let durable: Vec<Change> = content.pending.drain(..changes.min(content.pending.len())).collect();
        durable.iter().for_each(|change| change.apply(&mut content.durable));
    }

    /// A directory's entries are durable as they stand.
    pub fn folder_synced(&mut self, path: &Path, listing: Listing) {
        self.folders.insert(path.to_owned(), listing);
    }

    /// What a power cut leaves: directories, and files with their content, by their paths from the folder.
    pub fn after_cut(&self, draws: &mut impl Rng) -> (Vec<PathBuf>, BTreeMap<PathBuf, Vec<u8>>) {
        let (mut folders, mut files) = (Vec::new(), BTreeMap::new());
        let mut left = vec![PathBuf::new()];
        while let Some(path) = left.pop() {
            for (name, entry) in self.folders.get(&path).into_iter().flatten() {
                let below = path.join(name);
                match entry {
                    Entry::Folder => left.push(below),
                    Entry::File(file) => drop(files.insert(below, self.content_after(*file, draws))),
                }
            }
            if path != Path::new("") {
                folders.push(path);
            }
        }
        folders.sort();
        (folders, files)
    }

    fn content_after(&self, file: FileId, draws: &mut impl Rng) -> Vec<u8> {
        let Some(content) = self.files.get(&file) else { return Vec::new() };
        let mut left = content.durable.clone();
        content
            .pending
            .iter()
            .filter(|_| draws.random::<bool>())
            .for_each(|change| change.apply(&mut left));
        left
    }
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Change::Length(length) => content.resize(*length as usize, 0),
            Change::Write(at, bytes) => {
                let (from, to) = (*at as usize, *at as usize + bytes.len());
                if content.len() < to {
                    content.resize(to, 0);
                }
                content[from..to].copy_from_slice(bytes);
            }
        }
    }
}

#[cfg(test)]
mod tests {
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
        assert_eq!(
            seen,
            [b"new.".to_vec(), b"new.\0\0far".to_vec()].into(),
            "the second write alone is open"
        );
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
        assert_eq!(
            left,
            BTreeMap::from([("deep/y".into(), b"old".to_vec()), ("x".into(), b"new".to_vec())])
        );
    }
}
