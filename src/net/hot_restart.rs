//! Detects other running processes of this sidecar. During a hot restart the predecessor and the successor
//! run side by side and share one sidecar's limits.

use super::manual_ejections::file_name_part;
use std::cell::RefCell;
use std::collections::HashSet;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The registration of a process in the directory that all processes of a sidecar share: a file that the
/// process keeps locked. The lock is released however the process ends.
pub struct ProcessRegistration {
    directory: PathBuf,
    stem: String,
    own: PathBuf,
    _lock: File,
    /// Lock files of the other processes that were alive at the last conclusive check.
    alive: RefCell<HashSet<PathBuf>>,
}

impl ProcessRegistration {
    /// Registers this process for the other processes of the named sidecar.
    pub fn register(directory: &Path, name: &str) -> io::Result<Self> {
        let stem = format!("process-{}-", file_name_part(name));
        let process = std::process::id();
        // Locked before the rename: under its final name an unlocked file counts as that of a dead process.
        let new = directory.join(format!("new-{stem}{process}"));
        let lock = File::create(&new)?;
        lock.lock()?;
        let own = directory.join(format!("{stem}{process}"));
        fs::rename(&new, &own)?;
        let alive = RefCell::default();
        Ok(ProcessRegistration { directory: directory.to_owned(), stem, own, _lock: lock, alive })
    }

    /// The number of other live processes. Removes the files of dead ones. A check that fails, such as for
    /// lack of descriptors, is inconclusive: the previous result stands for the processes that it concerns.
    pub fn count_others(&self) -> usize {
        if let Ok(lock_files) = files_of_others(&self.directory, &self.stem, &self.own) {
            let known_alive = self.alive.take();
            let now_alive = lock_files
                .into_iter()
                .filter(|lock_file| is_alive(lock_file).unwrap_or(known_alive.contains(lock_file)));
            self.alive.replace(now_alive.collect());
        }
        self.alive.borrow().len()
    }

    /// Whether the process with this number was alive at the last conclusive check, or is this one.
    pub fn is_alive(&self, process: &str) -> bool {
        let lock_file = self.directory.join(format!("{}{process}", self.stem));
        lock_file == self.own || self.alive.borrow().contains(&lock_file)
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

/// Whether the process that owns a lock file is alive; removes the file if it is dead.
fn is_alive(lock_file: &Path) -> io::Result<bool> {
    let file = match File::open(lock_file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(false),
        opened => opened?,
    };
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => Ok(true),
        Err(TryLockError::Error(e)) => Err(e),
        Ok(()) => {
            let _ = fs::remove_file(lock_file);
            Ok(false)
        }
    }
}

#[cfg(test)]
mod tests;
