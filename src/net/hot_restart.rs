//! Which processes of this sidecar live: during an upgrade there are two, and together they are one.

use super::manual_ejections::file_name_part;
use std::cell::RefCell;
use std::collections::HashSet;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// A process's mark in the directory that all processes of a sidecar share: a file that it holds locked
/// for as long as it lives, however it ends.
pub struct ProcessRegistration {
    directory: PathBuf,
    stem: String,
    own: PathBuf,
    _held: File,
    /// Marks of others that were seen to live at the last look that told.
    living: RefCell<HashSet<PathBuf>>,
}

impl ProcessRegistration {
    /// Makes this process known to the others of the sidecar of this name.
    pub fn register(directory: &Path, name: &str) -> io::Result<Self> {
        let stem = format!("process-{}-", file_name_part(name));
        let process = std::process::id();
        // Locked before it has its name: under it an unlocked file is taken for a dead process's.
        let new = directory.join(format!("new-{stem}{process}"));
        let held = File::create(&new)?;
        held.lock()?;
        let own = directory.join(format!("{stem}{process}"));
        fs::rename(&new, &own)?;
        let living = RefCell::default();
        Ok(ProcessRegistration { directory: directory.to_owned(), stem, own, _held: held, living })
    }

    /// How many other processes live. Removes what dead ones have left. A look that fails says nothing of whom it was
    /// at, as where descriptors lack: then what was seen last stands.
    pub fn count_others(&self) -> usize {
        if let Ok(marks) = self.marks() {
            let before = self.living.take();
            let alive = marks.into_iter().filter(|mark| lives(mark).unwrap_or(before.contains(mark)));
            self.living.replace(alive.collect());
        }
        self.living.borrow().len()
    }

    /// The marks of all other processes, living or dead.
    fn marks(&self) -> io::Result<Vec<PathBuf>> {
        let mut marks = Vec::new();
        for entry in fs::read_dir(&self.directory)? {
            let path = entry?.path();
            let name = path.file_name().and_then(|name| name.to_str());
            if name.is_some_and(|name| name.starts_with(&self.stem)) && path != self.own {
                marks.push(path);
            }
        }
        Ok(marks)
    }
}

impl Drop for ProcessRegistration {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.own);
    }
}

/// Whether the process of this mark lives; its mark goes with a dead one.
fn lives(mark: &Path) -> io::Result<bool> {
    let file = match File::open(mark) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(false),
        opened => opened?,
    };
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => Ok(true),
        Err(TryLockError::Error(e)) => Err(e),
        Ok(()) => {
            let _ = fs::remove_file(mark);
            Ok(false)
        }
    }
}

#[cfg(test)]
mod tests;
