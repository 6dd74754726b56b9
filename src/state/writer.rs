//! The thread that writes. Nobody waits for it: batches go to it through a bounded ring, and what became of them
//! comes back as statements.
//!
//! | ring | holds | when it is full | who notices |
//! | --- | --- | --- | --- |
//! | to the disk | [`QUEUE_CAPACITY`] batches | the batch is refused, and its sender holds back | [`Stats::refused`] |
//! | from the disk | the caller's own | `say` may wait: the disk's thread then does | [`Writer::waiting`] |

use super::persisted::{Change, PersistedState};
use super::rewrite;
use super::store::{self, Found, Store, StoreError};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant, SystemTime};
use thiserror::Error;

/// Batches that may wait for the disk.
pub const QUEUE_CAPACITY: usize = 256;
/// How often a folder that another process has is looked at.
const LOCK_LOOK: Duration = Duration::from_millis(100);
/// Batches written as one at most: what waits while the disk is busy shares its next sync.
const TOGETHER: usize = 64;

/// After a write that failed a fresh file is tried after this, and each time after twice as long, ...
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// ... up to this.
const RETRY_MOST: Duration = Duration::from_secs(2);

/// What the disk has to say.
#[derive(Debug)]
pub enum Notification {
    /// Another process has the folder, as this says; it is opened as soon as that one ends.
    Waiting(String),
    /// The folder is open. Said once, and before anything durable.
    Opened(Found),
    /// All batches up to this number are durable.
    Durable(u64),
    /// A write failed, or the folder can't be opened for now. Nothing is confirmed until a later [`Notification::Durable`].
    Failing(StoreError),
    /// Nothing is kept, from the start or from now on. Said last: no batch after the last durable one may be spoken of.
    Stopped(StoreError),
}

/// Why a batch was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The disk is behind.
    #[error("the disk is behind: {QUEUE_CAPACITY} batches wait for it")]
    Full,
    /// There is no store any more.
    #[error("nothing is kept any more")]
    Stopped,
}

/// What the writer counts. All of it may be read at any time.
#[derive(Debug, Default)]
pub struct Stats {
    /// Batches that are durable.
    pub durable: AtomicU64,
    /// Batches that were refused as too many waited.
    pub refused: AtomicU64,
    /// Commits, each with its syncs.
    pub commits: AtomicU64,
    /// Microseconds that all commits took.
    pub commits_us: AtomicU64,
    /// Microseconds that the longest took.
    pub longest_us: AtomicU64,
    /// Microseconds after the writer's start at which the commit under way began; 0 while there is none.
    busy_us: AtomicU64,
}

/// A writer for one folder. Dropped, it writes what it has taken and ends.
#[derive(Debug)]
pub struct Writer {
    batches: Sender<Batch>,
    stats: Arc<Stats>,
    began: Instant,
    last: u64,
}

type Batch = (u64, Vec<Change>);

impl Writer {
    /// Starts the thread, which opens this folder for the process of this name. What the disk has to say goes to `say`,
    /// on that thread.
    pub fn start(
        folder: PathBuf,
        name: String,
        say: impl FnMut(Notification) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (batches, taken) = bounded(QUEUE_CAPACITY);
        let (stats, began) = (Arc::<Stats>::default(), Instant::now());
        let desk = Desk { stats: stats.clone(), began, say };
        thread::Builder::new().name("disk".to_owned()).spawn(move || desk.work(&folder, &name, taken))?;
        Ok(Writer { batches, stats, began, last: 0 })
    }

    /// Hands over changes to be made as one; the batch's number. Never waits.
    pub fn submit(&mut self, changes: Vec<Change>) -> Result<u64, SubmitError> {
        match self.batches.try_send((self.last + 1, changes)) {
            Ok(()) => {
                self.last += 1;
                Ok(self.last)
            }
            Err(TrySendError::Full(_)) => {
                self.stats.refused.fetch_add(1, Relaxed);
                Err(SubmitError::Full)
            }
            Err(TrySendError::Disconnected(_)) => Err(SubmitError::Stopped),
        }
    }

    /// What it counts.
    pub fn stats(&self) -> &Arc<Stats> {
        &self.stats
    }

    /// Batches that wait.
    pub fn waiting(&self) -> usize {
        self.batches.len()
    }

    /// For how many seconds the disk has been at one commit; 0 where there is none.
    pub fn stuck_for(&self) -> f64 {
        match self.stats.busy_us.load(Relaxed) {
            0 => 0.0,
            since => (self.began.elapsed().as_micros() as u64).saturating_sub(since) as f64 / 1e6,
        }
    }
}

struct Desk<S> {
    stats: Arc<Stats>,
    began: Instant,
    say: S,
}

impl<S: FnMut(Notification)> Desk<S> {
    fn work(mut self, folder: &Path, name: &str, taken: Receiver<Batch>) {
        // Colons are no part of a name that every tool takes.
        let stamp = humantime::format_rfc3339_seconds(SystemTime::now()).to_string().replace(':', "-");
        let Some((mut store, mut memory)) = self.open(folder, name, &stamp) else { return };
        while let Ok(first) = taken.recv() {
            let batches: Vec<Batch> =
                std::iter::once(first).chain(taken.try_iter().take(TOGETHER - 1)).collect();
            let committed = self.commit(&mut store, &batches);
            let last = batches.last().map_or(0, |(number, _)| *number);
            batches.into_iter().flat_map(|(_, changes)| changes).for_each(|change| memory.apply(change));
            if let Err(error) = committed {
                if let Err(e) = store::mark_suspect(folder) {
                    tracing::error!("{}: that a write failed could not be noted: {e}", folder.display());
                }
                (self.say)(Notification::Failing(error));
                match self.begin_anew(folder, &memory) {
                    Some(fresh) => store = fresh,
                    None => return,
                }
                self.stats.durable.store(last, Relaxed);
            }
            (self.say)(Notification::Durable(last));
        }
    }

    /// Opens the folder as soon as no other process has it and the disk lets it; none where it can't be had at all, or
    /// nobody wants it any more.
    fn open(&mut self, folder: &Path, name: &str, stamp: &str) -> Option<(Store, PersistedState)> {
        let mut told = None;
        loop {
            let error = match Store::open(folder, name, stamp) {
                Ok((store, found)) => {
                    let memory = match &found {
                        Found::State(memory) => memory.clone(),
                        Found::Nothing | Found::SetAside(..) => PersistedState::default(),
                    };
                    (self.say)(Notification::Opened(found));
                    return Some((store, memory));
                }
                Err(error) => error,
            };
            // During an upgrade the older process has the folder until it ends. A lock wakes nobody.
            let taken = matches!(error, StoreError::Locked(_));
            if !taken && !error.is_transient() {
                (self.say)(Notification::Stopped(error));
                return None;
            }
            if told.replace(taken) != Some(taken) {
                (self.say)(match taken {
                    true => Notification::Waiting(error.to_string()),
                    false => Notification::Failing(error),
                });
            }
            thread::sleep(LOCK_LOOK);
            if self.is_unwanted() {
                return None;
            }
        }
    }

    /// Nobody holds the writer any more.
    fn is_unwanted(&self) -> bool {
        Arc::strong_count(&self.stats) == 1
    }

    /// Writes a fresh file until one is durable; none where nobody wants it any more.
    fn begin_anew(&self, folder: &Path, memory: &PersistedState) -> Option<Store> {
        let mut wait = RETRY_FIRST;
        while !self.is_unwanted() {
            thread::sleep(wait);
            match rewrite::rewrite(folder, memory) {
                Ok(store) => return Some(store),
                Err(error) => tracing::debug!("{}: {error}", folder.display()),
            }
            wait = (wait * 2).min(RETRY_MOST);
        }
        None
    }

    fn commit(&self, store: &mut Store, batches: &[Batch]) -> Result<(), StoreError> {
        let (begun, stats) = (Instant::now(), &self.stats);
        stats.busy_us.store((begun.duration_since(self.began).as_micros() as u64).max(1), Relaxed);
        let committed = store.commit(batches.iter().flat_map(|(_, changes)| changes));
        let took = begun.elapsed().as_micros() as u64;
        stats.busy_us.store(0, Relaxed);
        stats.commits.fetch_add(1, Relaxed);
        stats.commits_us.fetch_add(took, Relaxed);
        stats.longest_us.fetch_max(took, Relaxed);
        committed?;
        let last = batches.last().map_or(0, |(number, _)| *number);
        stats.durable.store(last, Relaxed);
        Ok(())
    }
}
