//! Which endpoints the operators have taken out, kept where a later process of this sidecar finds it.
//!
//! The file is the one truth for all processes of a sidecar: each order changes it under a lock, and each
//! process follows it. So an order given to one process reaches the other, and outlives both.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// So many returns are remembered, the latest: another process of this sidecar learns of them within a moment, and
/// a later one takes those endpoints for cold at its start.
const RETURNS_KEPT: usize = 256;

/// What the operators have said of endpoints, by their uid.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ManualEjections {
    /// Taken out.
    #[serde(default)]
    pub suspended: BTreeSet<String>,
    /// Called back, each with a number above all before it: the order of the calls, whatever a wall clock says. An older
    /// build takes it for the time of the call, so it is no less than that in milliseconds of Unix time.
    #[serde(default)]
    pub resumed: BTreeMap<String, u64>,
}

impl ManualEjections {
    /// Takes an order.
    fn take(&mut self, uid: &str, order: Order) {
        match order {
            Order::Suspend => {
                self.suspended.insert(uid.to_owned());
                self.resumed.remove(uid);
            }
            Order::Resume => {
                if self.suspended.remove(uid) {
                    let number = self.next_number();
                    self.resumed.insert(uid.to_owned(), number);
                    self.forget_oldest();
                }
            }
        }
    }

    /// The number of the next return.
    fn next_number(&self) -> u64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let last = self.resumed.values().max().copied().unwrap_or(0);
        wall.max(last + 1)
    }

    fn forget_oldest(&mut self) {
        while self.resumed.len() > RETURNS_KEPT {
            let oldest = self.resumed.iter().min_by_key(|(_, number)| **number).map(|(uid, _)| uid.clone());
            oldest.map(|uid| self.resumed.remove(&uid));
        }
    }
}

/// An order of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Take the endpoint out.
    Suspend,
    /// Use it again.
    Resume,
}

/// Why the standing could not be read or kept.
#[derive(Debug, Error)]
pub enum ManualEjectionError {
    /// The file system refused.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The order is in force, and a power cut may lose it.
    #[error("in force, and not yet durable: {1}")]
    NotDurable(ManualEjections, io::Error),
    /// The file holds something else.
    #[error("not a list of suspended endpoints: {0}")]
    Content(#[from] serde_json::Error),
}

/// A version of the file, another one each time it is replaced: which file that is, and when it was written.
pub type Version = (u64, SystemTime);

/// A sidecar's name as a part of a file's.
pub fn file_name_part(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect()
}

/// The file with the standing.
#[derive(Clone, Debug)]
pub struct ManualEjectionStore {
    file: PathBuf,
    lock: PathBuf,
    new: PathBuf,
}

impl ManualEjectionStore {
    /// The file of the sidecar of this name in a directory.
    pub fn new(directory: &Path, name: &str) -> Self {
        let stem = format!("suspended-{}", file_name_part(name));
        let file = |ending: &str| directory.join(format!("{stem}.{ending}"));
        ManualEjectionStore { file: file("json"), lock: file("lock"), new: file("new") }
    }

    /// What is kept; nothing where there is no file yet.
    pub fn read(&self) -> Result<ManualEjections, ManualEjectionError> {
        match fs::read(&self.file) {
            Ok(text) => Ok(serde_json::from_slice(&text)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(ManualEjections::default()),
            Err(e) => Err(e.into()),
        }
    }

    /// Which version of the file is there; none where there is no file yet.
    pub fn version(&self) -> Option<Version> {
        use std::os::unix::fs::MetadataExt;
        let data = fs::metadata(&self.file).ok()?;
        Some((data.ino(), data.modified().ok()?))
    }

    /// Keeps an order, for good once this returns, and gives the standing that it leaves.
    pub fn keep(&self, uid: &str, order: Order) -> Result<ManualEjections, ManualEjectionError> {
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&self.lock)?;
        lock.lock()?; // let go when the file is closed
        // What can't be read is lost already, and has been logged: it must not stand in the way of orders.
        let mut standing = self.read().unwrap_or_default();
        standing.take(uid, order);
        let mut new = File::create(&self.new)?;
        new.write_all(&serde_json::to_vec(&standing)?)?;
        new.sync_all()?;
        fs::rename(&self.new, &self.file)?;
        // From here on it is in force: every process follows the file.
        let synced = self.file.parent().map_or(Ok(()), |directory| File::open(directory)?.sync_all());
        match synced {
            Ok(()) => Ok(standing),
            Err(problem) => Err(ManualEjectionError::NotDurable(standing, problem)),
        }
    }
}

#[cfg(test)]
mod tests;
