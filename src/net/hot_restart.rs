//! Detects other running processes of this sidecar. During a hot restart the predecessor and the successor
//! run side by side and share one sidecar's limits, for which each publishes a record in its lock file.

mod record;

use super::manual_ejections::file_name_part;
pub use record::ProcessRecord;
use record::RECORD_BYTES;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The registration of a process in the directory that all processes of a sidecar share: a file that the
/// process keeps locked. The lock is released however the process ends.
pub struct ProcessRegistration {
    directory: PathBuf,
    stem: String,
    own: PathBuf,
    lock: File,
    published: Cell<Option<ProcessRecord>>,
    /// Lock files of the other processes that were alive at the last conclusive check, with their records; none of a
    /// program that publishes none.
    alive: RefCell<HashMap<PathBuf, Option<ProcessRecord>>>,
}

/// The ranks of processes are this far apart, and differ by the process number between.
const RANK_STEP: u64 = 1 << 32;

impl ProcessRegistration {
    /// Registers this process for the other processes of the named sidecar.
    pub fn register(directory: &Path, name: &str) -> io::Result<Self> {
        let stem = format!("process-{}-", file_name_part(name));
        let process = std::process::id();
        // Locked before the rename: under its final name an unlocked file counts as that of a dead process.
        let new = directory.join(format!("new-{stem}{process}"));
        let lock = OpenOptions::new().create(true).truncate(true).write(true).open(&new)?;
        lock.lock()?;
        let own = directory.join(format!("{stem}{process}"));
        fs::rename(&new, &own)?;
        let (published, alive) = Default::default();
        Ok(ProcessRegistration { directory: directory.to_owned(), stem, own, lock, published, alive })
    }

    /// The rank of this process: above those of all others that are alive.
    pub fn next_rank(&self) -> u64 {
        let highest = self.others().iter().flatten().map(|record| record.rank).max().unwrap_or(0);
        (highest / RANK_STEP + 1) * RANK_STEP + u64::from(std::process::id())
    }

    /// Tells the other processes. Where it can't be written, the last record stands.
    pub fn publish(&self, record: ProcessRecord) {
        if self.published.get() != Some(record)
            && self.lock.write_all_at(record.to_text().as_bytes(), 0).is_ok()
        {
            self.published.set(Some(record));
        }
    }

    /// The records of the other live processes.
    pub fn others(&self) -> Vec<Option<ProcessRecord>> {
        self.count_others();
        self.alive.borrow().values().copied().collect()
    }

    /// The number of other live processes. Removes the files of dead ones. A check that fails, such as for
    /// lack of descriptors, is inconclusive: the previous result stands for the processes that it concerns.
    pub fn count_others(&self) -> usize {
        if let Ok(lock_files) = files_of_others(&self.directory, &self.stem, &self.own) {
            let known_alive = self.alive.take();
            let now_alive = lock_files.into_iter().filter_map(|lock_file| {
                let record = match examine(&lock_file) {
                    Ok(state) => state,
                    Err(_) => known_alive.get(&lock_file).copied(),
                };
                record.map(|record| (lock_file, record))
            });
            self.alive.replace(now_alive.collect());
        }
        self.alive.borrow().len()
    }

    /// Whether the process with this number was alive at the last conclusive check, or is this one.
    pub fn is_alive(&self, process: &str) -> bool {
        let lock_file = self.directory.join(format!("{}{process}", self.stem));
        lock_file == self.own || self.alive.borrow().contains_key(&lock_file)
    }
}

/// The files in a directory whose names begin with a stem, apart from this process's own: those of all other processes,
/// alive or dead.
pub fn files_of_others(directory: &Path, stem: &str, own: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        if name.is_some_and(|name| name.starts_with(stem)) && path != own {
            files.push(path);
        }
    }
    Ok(files)
}

impl Drop for ProcessRegistration {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.own);
    }
}

/// The record in a lock file, if the process that owns it is alive; removes the file if it is dead.
fn examine(lock_file: &Path) -> io::Result<Option<Option<ProcessRecord>>> {
    let file = match File::open(lock_file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        opened => opened?,
    };
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => read_record(&file).map(Some),
        Err(TryLockError::Error(e)) => Err(e),
        Ok(()) => {
            let _ = fs::remove_file(lock_file);
            Ok(None)
        }
    }
}

fn read_record(file: &File) -> io::Result<Option<ProcessRecord>> {
    let mut text = [0; RECORD_BYTES];
    let length = file.read_at(&mut text, 0)?;
    Ok(std::str::from_utf8(&text[..length]).ok().and_then(ProcessRecord::parse))
}

#[cfg(test)]
mod tests;
