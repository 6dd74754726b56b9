//! The thread that writes. Nobody waits for it: batches go to it through a bounded ring, and what became of them
//! comes back as statements.
//!
//! | ring | holds | when it is full | who notices |
//! | --- | --- | --- | --- |
//! | to the disk | [`DEPTH`] batches | the batch is refused, and its sender holds back | [`Figures::refused`] |
//! | from the disk | the caller's own | `say` may wait: the disk's thread then does | [`Writer::waiting`] |

use super::fresh;
use super::memory::{Change, Memory};
use super::store::{self, Found, Store, StoreError};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant, SystemTime};
use thiserror::Error;

/// Batches that may wait for the disk.
pub const DEPTH: usize = 256;
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
pub enum Statement {
    /// Another process has the folder, as this says; it is opened as soon as that one ends.
    Waiting(String),
    /// The folder is open. Said once, and before anything durable.
    Opened(Found),
    /// All batches up to this number are durable.
    Durable(u64),
    /// A write failed, or the folder can't be opened for now. Nothing is confirmed until a later [`Statement::Durable`].
    Failing(StoreError),
    /// Nothing is kept, from the start or from now on. Said last: no batch after the last durable one may be spoken of.
    Over(StoreError),
}

/// Why a batch was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    /// The disk is behind.
    #[error("the disk is behind: {DEPTH} batches wait for it")]
    Full,
    /// There is no store any more.
    #[error("nothing is kept any more")]
    Over,
}

/// What the writer counts. All of it may be read at any time.
#[derive(Debug, Default)]
pub struct Figures {
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
    figures: Arc<Figures>,
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
        say: impl FnMut(Statement) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (batches, taken) = bounded(DEPTH);
        let (figures, began) = (Arc::<Figures>::default(), Instant::now());
        let desk = Desk { figures: figures.clone(), began, say };
        thread::Builder::new().name("disk".to_owned()).spawn(move || desk.work(&folder, &name, taken))?;
        Ok(Writer { batches, figures, began, last: 0 })
    }

    /// Hands over changes to be made as one; the batch's number. Never waits.
    pub fn submit(&mut self, changes: Vec<Change>) -> Result<u64, Refused> {
        match self.batches.try_send((self.last + 1, changes)) {
            Ok(()) => {
                self.last += 1;
                Ok(self.last)
            }
            Err(TrySendError::Full(_)) => {
                self.figures.refused.fetch_add(1, Relaxed);
                Err(Refused::Full)
            }
            Err(TrySendError::Disconnected(_)) => Err(Refused::Over),
        }
    }

    /// What it counts.
    pub fn figures(&self) -> &Arc<Figures> {
        &self.figures
    }

    /// Batches that wait.
    pub fn waiting(&self) -> usize {
        self.batches.len()
    }

    /// For how many seconds the disk has been at one commit; 0 where there is none.
    pub fn stuck_for(&self) -> f64 {
        match self.figures.busy_us.load(Relaxed) {
            0 => 0.0,
            since => (self.began.elapsed().as_micros() as u64).saturating_sub(since) as f64 / 1e6,
        }
    }
}

struct Desk<S> {
    figures: Arc<Figures>,
    began: Instant,
    say: S,
}

impl<S: FnMut(Statement)> Desk<S> {
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
                if let Err(e) = store::suspect(folder) {
                    tracing::error!("{}: that a write failed could not be noted: {e}", folder.display());
                }
                (self.say)(Statement::Failing(error));
                match self.begin_anew(folder, &memory) {
                    Some(fresh) => store = fresh,
                    None => return,
                }
                self.figures.durable.store(last, Relaxed);
            }
            (self.say)(Statement::Durable(last));
        }
    }

    /// Opens the folder as soon as no other process has it and the disk lets it; none where it can't be had at all, or
    /// nobody wants it any more.
    fn open(&mut self, folder: &Path, name: &str, stamp: &str) -> Option<(Store, Memory)> {
        let mut told = None;
        loop {
            let error = match Store::open(folder, name, stamp) {
                Ok((store, found)) => {
                    let memory = match &found {
                        Found::Kept(memory) => memory.clone(),
                        Found::Nothing | Found::SetAside(..) => Memory::default(),
                    };
                    (self.say)(Statement::Opened(found));
                    return Some((store, memory));
                }
                Err(error) => error,
            };
            // During an upgrade the older process has the folder until it ends. A lock wakes nobody.
            let taken = matches!(error, StoreError::Taken(_));
            if !taken && !error.may_pass() {
                (self.say)(Statement::Over(error));
                return None;
            }
            if told.replace(taken) != Some(taken) {
                (self.say)(match taken {
                    true => Statement::Waiting(error.to_string()),
                    false => Statement::Failing(error),
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
        Arc::strong_count(&self.figures) == 1
    }

    /// Writes a fresh file until one is durable; none where nobody wants it any more.
    fn begin_anew(&self, folder: &Path, memory: &Memory) -> Option<Store> {
        let mut wait = RETRY_FIRST;
        while !self.is_unwanted() {
            thread::sleep(wait);
            match fresh::write(folder, memory) {
                Ok(store) => return Some(store),
                Err(error) => tracing::debug!("{}: {error}", folder.display()),
            }
            wait = (wait * 2).min(RETRY_MOST);
        }
        None
    }

    fn commit(&self, store: &mut Store, batches: &[Batch]) -> Result<(), StoreError> {
        let (begun, figures) = (Instant::now(), &self.figures);
        figures.busy_us.store((begun.duration_since(self.began).as_micros() as u64).max(1), Relaxed);
        let committed = store.commit(batches.iter().flat_map(|(_, changes)| changes));
        let took = begun.elapsed().as_micros() as u64;
        figures.busy_us.store(0, Relaxed);
        figures.commits.fetch_add(1, Relaxed);
        figures.commits_us.fetch_add(took, Relaxed);
        figures.longest_us.fetch_max(took, Relaxed);
        committed?;
        let last = batches.last().map_or(0, |(number, _)| *number);
        figures.durable.store(last, Relaxed);
        Ok(())
    }
}
