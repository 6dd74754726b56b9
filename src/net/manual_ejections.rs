//! Manual ejections: the endpoints that operators have suspended, in a file that outlives the process.
//!
//! The file is authoritative for all processes of a sidecar: each order updates it under a lock, and each
//! process polls it. So an order given to one process reaches the other during a hot restart, and survives
//! both.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Number of resumed endpoints that are remembered, the latest ones. Another process of this sidecar reads
/// them within a moment, and a later one starts those endpoints in slow start.
const MAX_RESUMED: usize = 256;

/// Suspended and resumed endpoints, by uid.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ManualEjections {
    /// The endpoints that get no requests.
    #[serde(default)]
    pub suspended: BTreeSet<String>,
    /// The endpoints resumed, each with a number above all earlier ones: the sequence of the orders,
    /// independent of steps of the wall clock. An older build reads the number as the time of the order, so
    /// it is at least that time in milliseconds of Unix time.
    #[serde(default)]
    pub resumed: BTreeMap<String, u64>,
}

impl ManualEjections {
    /// Applies an order.
    pub fn apply(&mut self, uid: &str, order: Order) {
        match order {
            Order::Suspend => {
                self.suspended.insert(uid.to_owned());
                self.resumed.remove(uid);
            }
            Order::Resume => self.resume(uid, self.next_number()),
        }
    }

    /// Resumes an endpoint, if it is suspended, with this number.
    pub fn resume(&mut self, uid: &str, number: u64) {
        if self.suspended.remove(uid) {
            self.resumed.insert(uid.to_owned(), number);
            self.drop_oldest_resumed();
        }
    }

    /// The number for the next resumed endpoint.
    pub fn next_number(&self) -> u64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let last = self.resumed.values().max().copied().unwrap_or(0);
        wall.max(last + 1)
    }

    fn drop_oldest_resumed(&mut self) {
        while self.resumed.len() > MAX_RESUMED {
            let oldest = self.resumed.iter().min_by_key(|(_, number)| **number).map(|(uid, _)| uid.clone());
            oldest.map(|uid| self.resumed.remove(&uid));
        }
    }
}

/// An order of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send no requests to the endpoint.
    Suspend,
    /// Use the endpoint again.
    Resume,
}

/// Why manual ejections could not be read or persisted.
#[derive(Debug, Error)]
pub enum ManualEjectionError {
    /// A file operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The order is in force, but a power cut may lose it.
    #[error("in force, but not yet durable: {1}")]
    NotDurable(ManualEjections, io::Error),
    /// The content of the file is invalid.
    #[error("not a list of suspended endpoints: {0}")]
    Content(#[from] serde_json::Error),
}

/// A version of the file: its inode and modification time, which change each time it is replaced.
pub type Version = (u64, SystemTime);

/// A sidecar's name with all characters replaced that are not ASCII letters or digits, for use in a file
/// name.
pub fn file_name_part(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect()
}

/// The file of manual ejections.
#[derive(Clone, Debug)]
pub struct ManualEjectionStore {
    file: PathBuf,
    lock: PathBuf,
    new: PathBuf,
}

impl ManualEjectionStore {
    /// The file of the named sidecar in a directory.
    pub fn new(directory: &Path, name: &str) -> Self {
        let stem = format!("suspended-{}", file_name_part(name));
        let file = |ending: &str| directory.join(format!("{stem}.{ending}"));
        ManualEjectionStore { file: file("json"), lock: file("lock"), new: file("new") }
    }

    /// The persisted ejections; empty if there is no file yet.
    pub fn read(&self) -> Result<ManualEjections, ManualEjectionError> {
        match fs::read(&self.file) {
            Ok(text) => Ok(serde_json::from_slice(&text)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(ManualEjections::default()),
            Err(e) => Err(e.into()),
        }
    }

    /// The current version of the file; none if there is no file yet.
    pub fn version(&self) -> Option<Version> {
        use std::os::unix::fs::MetadataExt;
        let data = fs::metadata(&self.file).ok()?;
        Some((data.ino(), data.modified().ok()?))
    }

    /// Persists an order, durably once this returns Ok, and returns the resulting ejections.
    pub fn persist(&self, uid: &str, order: Order) -> Result<ManualEjections, ManualEjectionError> {
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&self.lock)?;
        lock.lock()?; // released when the file is closed
        // Unreadable content is lost already and has been logged: it must not block new orders.
        let mut ejections = self.read().unwrap_or_default();
        ejections.apply(uid, order);
        let mut new = File::create(&self.new)?;
        new.write_all(&serde_json::to_vec(&ejections)?)?;
        new.sync_all()?;
        fs::rename(&self.new, &self.file)?;
        // From here on the order is in force: every process polls the file.
        let synced = self.file.parent().map_or(Ok(()), |directory| File::open(directory)?.sync_all());
        match synced {
            Ok(()) => Ok(ejections),
            Err(problem) => Err(ManualEjectionError::NotDurable(ejections, problem)),
        }
    }
}

#[cfg(test)]
mod tests;
