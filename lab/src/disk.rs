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
mod tests;
