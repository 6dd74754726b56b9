//! Which processes of this sidecar live: during an upgrade there are two, and together they are one.

use super::bans::plain;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// A process's mark in the directory that all processes of a sidecar share: a file that it holds locked
/// for as long as it lives, however it ends.
pub struct Overlap {
    directory: PathBuf,
    stem: String,
    own: PathBuf,
    _held: File,
}

impl Overlap {
    /// Makes this process known to the others of the sidecar of this name.
    pub fn join(directory: &Path, name: &str) -> io::Result<Self> {
        let stem = format!("process-{}-", plain(name));
        let process = std::process::id();
        // Locked before it has its name: under it an unlocked file is taken for a dead process's.
        let new = directory.join(format!("new-{stem}{process}"));
        let held = File::create(&new)?;
        held.lock()?;
        let own = directory.join(format!("{stem}{process}"));
        fs::rename(&new, &own)?;
        Ok(Overlap { directory: directory.to_owned(), stem, own, _held: held })
    }

    /// How many other processes live. Removes what dead ones have left.
    pub fn others(&self) -> usize {
        let Ok(entries) = fs::read_dir(&self.directory) else { return 0 };
        let marked = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str());
            name.is_some_and(|name| name.starts_with(&self.stem)) && *path != self.own
        };
        let others = entries.flatten().map(|entry| entry.path()).filter(marked);
        others.filter(|path| lives(path)).count()
    }
}

impl Drop for Overlap {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.own);
    }
}

fn lives(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
        Ok(()) => {
            let _ = fs::remove_file(path);
            false
        }
    }
}

#[cfg(test)]
mod tests;
