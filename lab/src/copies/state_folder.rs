//! What is done to a copy's state folder from outside: bits flipped at rest, an older folder put back.

use super::{Copy, STATE};
use crate::seeds::{Part, draws};
use rand::Rng;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Where a state folder is kept to be put back.
const KEPT: &str = "state.kept";
/// A flip changes a bit in each piece of a file of so many bytes: much of a store is not in use.
const FLIP_EACH: u64 = 512;

impl Copy {
    /// Flips bits of what it keeps, at places by the seed, as a disk at rest may.
    pub fn flip(&self, seed: u64) -> io::Result<()> {
        let mut draws = draws(seed, Part::Disk, 1);
        let mut files: Vec<PathBuf> =
            std::fs::read_dir(self.folder.join(STATE))?.flatten().map(|entry| entry.path()).collect();
        files.sort();
        for path in files {
            let file = OpenOptions::new().read(true).write(true).open(path)?;
            let length = file.metadata()?.len();
            for piece in 0..length.div_ceil(FLIP_EACH) {
                let (first, mut byte) = (piece * FLIP_EACH, [0]);
                let at = draws.random_range(first..length.min(first + FLIP_EACH));
                file.read_exact_at(&mut byte, at)?;
                file.write_all_at(&[byte[0] ^ 1 << draws.random_range(0..8)], at)?;
            }
        }
        Ok(())
    }

    /// Keeps its state folder as it stands, to be put back later; it stands still meanwhile.
    pub fn keep_state(&self) -> io::Result<()> {
        self.pause(true);
        let kept = copied(&self.folder.join(STATE), &self.folder.join(KEPT));
        self.pause(false);
        kept
    }

    /// Puts its state folder back to what was kept; it must not run.
    pub fn put_state_back(&self) -> io::Result<()> {
        let (state, kept) = (self.folder.join(STATE), self.folder.join(KEPT));
        std::fs::remove_dir_all(&state)?;
        std::fs::rename(kept, state)
    }
}

/// Copies the files of a folder into another, in place of what is there.
fn copied(from: &Path, to: &Path) -> io::Result<()> {
    if to.exists() {
        std::fs::remove_dir_all(to)?;
    }
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
