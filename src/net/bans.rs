//! Which endpoints the operators have taken out, kept where a later process of this sidecar finds it.
//!
//! The file is the one truth for all processes of a sidecar: each order changes it under a lock, and each
//! process follows it. So an order given to one process reaches the other, and outlives both.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// A return is remembered for so long: by then any endpoint is warm.
const RETURN_KEPT: Duration = Duration::from_secs(600);

/// What the operators have said of endpoints, by their uid.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Standing {
    /// Taken out.
    #[serde(default)]
    pub suspended: BTreeSet<String>,
    /// Called back, and when, in milliseconds of Unix time: each has been restarted and is cold.
    #[serde(default)]
    pub resumed: BTreeMap<String, u64>,
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
pub enum BansError {
    /// The file system refused.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file holds something else.
    #[error("not a list of suspended endpoints: {0}")]
    Content(#[from] serde_json::Error),
}

/// A sidecar's name as a part of a file's.
pub fn plain(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect()
}

/// The file with the standing.
#[derive(Clone, Debug)]
pub struct Bans {
    file: PathBuf,
    lock: PathBuf,
    new: PathBuf,
}

impl Bans {
    /// The file of the sidecar of this name in a directory.
    pub fn new(directory: &Path, name: &str) -> Self {
        let stem = format!("suspended-{}", plain(name));
        let file = |ending: &str| directory.join(format!("{stem}.{ending}"));
        Bans { file: file("json"), lock: file("lock"), new: file("new") }
    }

    /// What is kept; nothing where there is no file yet.
    pub fn read(&self) -> Result<Standing, BansError> {
        match fs::read(&self.file) {
            Ok(text) => Ok(serde_json::from_slice(&text)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Standing::default()),
            Err(e) => Err(e.into()),
        }
    }

    /// Which version of the file is there: another one each time it is replaced.
    pub fn version(&self) -> Option<(u64, SystemTime)> {
        use std::os::unix::fs::MetadataExt;
        let data = fs::metadata(&self.file).ok()?;
        Some((data.ino(), data.modified().ok()?))
    }

    /// Keeps an order, for good once this returns, and gives the standing that it leaves.
    pub fn keep(&self, uid: &str, order: Order) -> Result<Standing, BansError> {
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&self.lock)?;
        lock.lock()?; // let go when the file is closed
        // What can't be read is lost already, and has been logged: it must not stand in the way of orders.
        let mut standing = self.read().unwrap_or_default();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let oldest = now.saturating_sub(RETURN_KEPT).as_millis() as u64;
        standing.resumed.retain(|_, at| *at >= oldest);
        match order {
            Order::Suspend => {
                standing.suspended.insert(uid.to_owned());
                standing.resumed.remove(uid);
            }
            Order::Resume => {
                if standing.suspended.remove(uid) {
                    standing.resumed.insert(uid.to_owned(), now.as_millis() as u64);
                }
            }
        }
        let mut new = File::create(&self.new)?;
        new.write_all(&serde_json::to_vec(&standing)?)?;
        new.sync_all()?;
        fs::rename(&self.new, &self.file)?;
        if let Some(directory) = self.file.parent() {
            File::open(directory)?.sync_all()?;
        }
        Ok(standing)
    }
}
