//! Ids of requests that the processes of one sidecar have sent, in files that they share: during a hot restart a client
//! may come to the other process with an id that the first has sent, also when that has been killed.
//!
//! Each process has a file with the hashes of the ids that it sent last, written in place one after the other. The
//! others read it as a whole and take what has changed. A file stays when its process ends, and goes when another has
//! read it to the end.

use super::hot_restart::files_of_others;
use super::manual_ejections::file_name_part;
use gullpulley::stable_hash;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Ids in a file: what a process sends within the longest time that requests take.
const MAX_IDS: usize = 4096;
/// Bytes of an id's hash.
const HASH_BYTES: usize = size_of::<u64>();

/// The ids that this process has sent, and those of the other processes of its sidecar.
pub struct SharedIds {
    directory: PathBuf,
    stem: String,
    own: PathBuf,
    file: File,
    written: Cell<usize>,
    /// What the files of the others had when they were read last.
    others: RefCell<HashMap<PathBuf, Vec<u8>>>,
}

impl SharedIds {
    /// Creates the file of this process.
    pub fn create(directory: &Path, name: &str) -> io::Result<Self> {
        let stem = format!("sent-ids-{}-", file_name_part(name));
        let own = directory.join(format!("{stem}{}", std::process::id()));
        let file = OpenOptions::new().create(true).truncate(true).write(true).open(&own)?;
        let (written, others) = Default::default();
        Ok(SharedIds { directory: directory.to_owned(), stem, own, file, written, others })
    }

    /// An id is about to be sent to an endpoint.
    pub fn record(&self, id: &str) -> io::Result<()> {
        let position = self.written.replace(self.written.get() + 1) % MAX_IDS;
        let hash = stable_hash(id.as_bytes()).to_ne_bytes();
        self.file.write_all_at(&hash, (position * HASH_BYTES) as u64)
    }

    /// Looks for files of other processes. Those of processes that have ended are read once more and removed.
    pub fn find_others(&self, is_alive: impl Fn(&str) -> bool) -> Vec<u64> {
        let mut found = Vec::new();
        for path in files_of_others(&self.directory, &self.stem, &self.own).unwrap_or_default() {
            found.extend(self.read(&path));
            let process = path.to_str().and_then(|path| path.rsplit('-').next()).unwrap_or_default();
            if !is_alive(process) {
                let _ = fs::remove_file(&path);
                self.others.borrow_mut().remove(&path);
            }
        }
        found
    }

    /// Hashes of ids that other processes have sent since this was last asked.
    pub fn read_new(&self) -> Vec<u64> {
        let paths: Vec<PathBuf> = self.others.borrow().keys().cloned().collect();
        paths.iter().flat_map(|path| self.read(path)).collect()
    }

    /// What a file has that it had not when it was read last; nothing if it can't be read.
    fn read(&self, path: &Path) -> Vec<u64> {
        let Ok(bytes) = fs::read(path) else { return Vec::new() };
        let before = self.others.borrow_mut().insert(path.to_owned(), bytes.clone()).unwrap_or_default();
        let before = before.chunks_exact(HASH_BYTES).map(Some).chain(std::iter::repeat(None));
        let changed =
            bytes.chunks_exact(HASH_BYTES).zip(before).filter(|(now, before)| Some(*now) != *before);
        changed.filter_map(|(now, _)| now.try_into().ok().map(u64::from_ne_bytes)).collect()
    }
}
