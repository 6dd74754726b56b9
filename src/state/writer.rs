//! The disk thread. No other thread blocks on it: batches are passed to it through a bounded channel, and
//! their results come back as notifications.
//!
//! | channel | holds | when it is full | where it shows |
//! | --- | --- | --- | --- |
//! | to the disk | [`QUEUE_CAPACITY`] batches | the batch is refused, and the sender must retry later | [`Stats::refused`] |
//! | from the disk | as the caller chooses | `notify` may block the disk thread | [`Writer::waiting`] |

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

/// Batches that may be queued for the disk.
pub const QUEUE_CAPACITY: usize = 256;
/// Interval between attempts to open a folder that is locked by another process or temporarily
/// inaccessible.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Most batches per transaction: batches that queue up while the disk is busy share the next sync.
const MAX_BATCHES_PER_COMMIT: usize = 64;

/// Delay before the first rewrite of the file after a failed write; it doubles with each attempt ...
const FIRST_REWRITE_DELAY: Duration = Duration::from_millis(100);
/// ... up to this limit.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(2);

/// A notification from the disk thread.
#[derive(Debug)]
pub enum Notification {
    /// The folder is locked by another process, with this message; it is opened as soon as that process
    /// ends.
    Waiting(String),
    /// The folder is open. Sent once, before any [`Notification::Durable`].
    Opened(Found),
    /// All batches up to this number are durable.
    Durable(u64),
    /// A write failed, or the folder can't be opened for now. Nothing is confirmed until the next
    /// [`Notification::Durable`].
    Failing(StoreError),
    /// Nothing is persisted, from the start or from now on. Sent last: batches after the last durable one
    /// must be treated as not persisted.
    Stopped(StoreError),
}

/// Why a batch was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The queue is full.
    #[error("disk queue is full: {QUEUE_CAPACITY} batches are waiting")]
    Full,
    /// The disk thread has stopped.
    #[error("the disk thread has stopped; nothing is persisted any more")]
    Stopped,
}

/// Statistics of the writer, which any thread may read at any time.
#[derive(Debug, Default)]
pub struct Stats {
    /// Number of the last durable batch.
    pub durable: AtomicU64,
    /// Batches refused because the queue was full.
    pub refused: AtomicU64,
    /// Commits, each including its syncs.
    pub commits: AtomicU64,
    /// Total duration of all commits, in microseconds.
    pub commits_us: AtomicU64,
    /// Duration of the longest commit, in microseconds.
    pub longest_us: AtomicU64,
    /// Start of the commit in progress, in microseconds since the writer's start; 0 if there is none.
    commit_started_us: AtomicU64,
}

/// The handle of the disk thread of one folder. When it is dropped, the thread writes the queued batches
/// and ends.
#[derive(Debug)]
pub struct Writer {
    batches: Sender<Batch>,
    stats: Arc<Stats>,
    began: Instant,
    last: u64,
}

type Batch = (u64, Vec<Change>);

impl Writer {
    /// Starts the thread, which opens this folder for the process of this name and calls `notify` on that
    /// thread.
    pub fn start(
        folder: PathBuf,
        name: String,
        notify: impl FnMut(Notification) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (batches, receiver) = bounded(QUEUE_CAPACITY);
        let (stats, began) = (Arc::<Stats>::default(), Instant::now());
        let thread = DiskThread { stats: stats.clone(), began, notify };
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || thread.run(&folder, &name, receiver))?;
        Ok(Writer { batches, stats, began, last: 0 })
    }

    /// Queues changes for one transaction and returns the batch's number. Never blocks.
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

    /// The statistics.
    pub fn stats(&self) -> &Arc<Stats> {
        &self.stats
    }

    /// Number of queued batches.
    pub fn waiting(&self) -> usize {
        self.batches.len()
    }

    /// Duration of the commit in progress, in seconds; 0 if there is none.
    pub fn stuck_for(&self) -> f64 {
        match self.stats.commit_started_us.load(Relaxed) {
            0 => 0.0,
            since => (self.began.elapsed().as_micros() as u64).saturating_sub(since) as f64 / 1e6,
        }
    }
}

struct DiskThread<S> {
    stats: Arc<Stats>,
    began: Instant,
    notify: S,
}

impl<S: FnMut(Notification)> DiskThread<S> {
    fn run(mut self, folder: &Path, name: &str, receiver: Receiver<Batch>) {
        // Not every tool accepts colons in file names.
        let stamp = humantime::format_rfc3339_seconds(SystemTime::now()).to_string().replace(':', "-");
        let Some((mut store, mut state)) = self.open(folder, name, &stamp) else { return };
        while let Ok(first) = receiver.recv() {
            let batches: Vec<Batch> = std::iter::once(first)
                .chain(receiver.try_iter().take(MAX_BATCHES_PER_COMMIT - 1))
                .collect();
            let committed = self.commit(&mut store, &batches);
            let last = batches.last().map_or(0, |(number, _)| *number);
            batches.into_iter().flat_map(|(_, changes)| changes).for_each(|change| state.apply(change));
            if let Err(error) = committed {
                if let Err(e) = store::mark_suspect(folder) {
                    tracing::error!(
                        "{}: a write failed, and the marker file could not be written: {e}",
                        folder.display()
                    );
                }
                (self.notify)(Notification::Failing(error));
                match self.rewrite_until_durable(folder, &state) {
                    Some(rewritten) => store = rewritten,
                    None => return,
                }
                self.stats.durable.store(last, Relaxed);
            }
            (self.notify)(Notification::Durable(last));
        }
    }

    /// Opens the folder once no other process holds its lock and the disk allows it; `None` if it can't be
    /// opened at all, or the [`Writer`] was dropped.
    fn open(&mut self, folder: &Path, name: &str, stamp: &str) -> Option<(Store, PersistedState)> {
        let mut last_reported = None;
        loop {
            let error = match Store::open(folder, name, stamp) {
                Ok((store, found)) => {
                    let state = match &found {
                        Found::State(state) => state.clone(),
                        Found::Nothing | Found::SetAside(..) => PersistedState::default(),
                    };
                    (self.notify)(Notification::Opened(found));
                    return Some((store, state));
                }
                Err(error) => error,
            };
            // During a hot restart the predecessor holds the lock until it ends; its release gives no
            // event, hence the polling.
            let locked = matches!(error, StoreError::Locked(_));
            if !locked && !error.is_transient() {
                (self.notify)(Notification::Stopped(error));
                return None;
            }
            if last_reported.replace(locked) != Some(locked) {
                (self.notify)(match locked {
                    true => Notification::Waiting(error.to_string()),
                    false => Notification::Failing(error),
                });
            }
            thread::sleep(OPEN_RETRY_INTERVAL);
            if self.is_abandoned() {
                return None;
            }
        }
    }

    /// Whether the [`Writer`] was dropped.
    fn is_abandoned(&self) -> bool {
        Arc::strong_count(&self.stats) == 1
    }

    /// Rewrites the file until an attempt is durable; `None` if the [`Writer`] was dropped.
    fn rewrite_until_durable(&self, folder: &Path, state: &PersistedState) -> Option<Store> {
        let mut delay = FIRST_REWRITE_DELAY;
        while !self.is_abandoned() {
            thread::sleep(delay);
            match rewrite::rewrite(folder, state) {
                Ok(store) => return Some(store),
                Err(error) => tracing::debug!("{}: {error}", folder.display()),
            }
            delay = (delay * 2).min(MAX_REWRITE_DELAY);
        }
        None
    }

    fn commit(&self, store: &mut Store, batches: &[Batch]) -> Result<(), StoreError> {
        let (started, stats) = (Instant::now(), &self.stats);
        stats
            .commit_started_us
            .store((started.duration_since(self.began).as_micros() as u64).max(1), Relaxed);
        let committed = store.commit(batches.iter().flat_map(|(_, changes)| changes));
        let took = started.elapsed().as_micros() as u64;
        stats.commit_started_us.store(0, Relaxed);
        stats.commits.fetch_add(1, Relaxed);
        stats.commits_us.fetch_add(took, Relaxed);
        stats.longest_us.fetch_max(took, Relaxed);
        committed?;
        let last = batches.last().map_or(0, |(number, _)| *number);
        stats.durable.store(last, Relaxed);
        Ok(())
    }
}
