//! The database file of the persisted state: one transaction per batch, verified as a whole when it is
//! opened and record by record when it is read. A file that fails verification is set aside under another
//! name and never repaired: a voter with part of its state is worse than one with none.

use super::persisted::{Change, Entry, HardState, Identity, Inconsistency, PersistedState, Snapshot};
use super::record::{self, RecordError};
use super::scratch::ScratchBackend;
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError,
    TableHandle,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::ops::RangeInclusive;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Name of the database file in the state folder.
pub const FILE: &str = "memory.redb";
/// Marker file left in the folder after a failed sync: data that the page cache shows as written may never
/// have reached the disk.
pub const SUSPECT_MARKER: &str = "memory.suspect";
/// Page cache of the database, in bytes; the data is small and read as a whole once.
const CACHE_BYTES: usize = 1 << 20;

/// Byte offset of the flags in redb's file header, and three of them: the second of the two commit slots is
/// the current one; pages must be verified; the last commit was made in two phases.
const FLAGS_OFFSET: usize = 9;
const PRIMARY_IS_SECOND: u8 = 1;
const RECOVERY_REQUIRED: u8 = 2;
const TWO_PHASE_COMMIT: u8 = 4;
/// Byte offset within each commit slot that is covered by the slot's checksum.
const COMMIT_SLOT_OFFSETS: [usize; 2] = [64 + 1, 192 + 1];
/// Progress that redb's repair reports when it finds the last commit damaged: later than the start, at 0,
/// and earlier than the two scans that follow in any case, at 0.6 and 0.9.
const DAMAGED_COMMIT_PROGRESS: RangeInclusive<f64> = 0.1..=0.5;

const SINGLES: TableDefinition<&str, &[u8]> = TableDefinition::new("one");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const EPOCHS: TableDefinition<&str, &[u8]> = TableDefinition::new("epochs");
const GRANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("grants");

const IDENTITY: &str = "identity";
const HARD_STATE: &str = "promise";
const SNAPSHOT: &str = "snapshot";

/// Why the store could not be opened or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process holds the file lock.
    #[error("{0}: locked by another process: stop that process, or set another state.dir")]
    Locked(PathBuf),
    /// The file can't be opened or read; its content may be intact.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The file was written by a later build, and is left unchanged.
    #[error(transparent)]
    Newer(RecordError),
    /// A write or its sync failed: the store accepts no further writes.
    #[error("write failed, not retried on this file: {0}")]
    WriteFailed(String),
}

/// Why an existing file is set aside.
#[derive(Debug, Error)]
pub enum SetAsideReason {
    /// An earlier process failed to sync it.
    #[error("an earlier sync of this file failed: its content may never have reached the disk")]
    Suspect,
    /// The file is damaged.
    #[error("damaged: {0}")]
    Damaged(String),
    /// A record is damaged or malformed.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// Its records are inconsistent with each other.
    #[error(transparent)]
    Inconsistent(#[from] Inconsistency),
    /// It was written by a process of another name.
    #[error("state folder belongs to process `{found}`, but this process is `{own}`")]
    Foreign {
        /// The process name stored in it.
        found: String,
        /// The name of this process.
        own: String,
    },
}

/// What was found in the state folder when it was opened.
#[derive(Debug)]
pub enum Found {
    /// A state that passed verification; the folder itself may still be older than what peers remember.
    State(PersistedState),
    /// No state yet.
    Nothing,
    /// A file that failed verification, renamed to this path.
    SetAside(PathBuf, SetAsideReason),
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    database: Database,
    failed: bool,
}

/// Why a file could not be opened or read.
enum OpenError {
    SetAside(SetAsideReason),
    Error(StoreError),
}

impl StoreError {
    /// Whether a later attempt may succeed: the disk is full or failing, or descriptors or memory have run
    /// out.
    pub fn is_transient(&self) -> bool {
        let transient = [libc::ENOSPC, libc::EDQUOT, libc::EIO, libc::EMFILE, libc::ENFILE, libc::ENOMEM];
        match self {
            StoreError::Io(_, e) => e.raw_os_error().is_some_and(|code| transient.contains(&code)),
            StoreError::WriteFailed(_) => true,
            StoreError::Locked(_) | StoreError::Newer(_) => false,
        }
    }
}

impl From<RecordError> for OpenError {
    fn from(error: RecordError) -> Self {
        match error {
            RecordError::Newer { .. } => OpenError::Error(StoreError::Newer(error)),
            error => OpenError::SetAside(error.into()),
        }
    }
}

impl From<Inconsistency> for OpenError {
    fn from(inconsistency: Inconsistency) -> Self {
        OpenError::SetAside(inconsistency.into())
    }
}

/// Damage reported by the database itself.
fn damaged(problem: impl ToString) -> OpenError {
    OpenError::SetAside(SetAsideReason::Damaged(problem.to_string()))
}

impl Store {
    /// Opens the store in this folder for the process of this name, and returns what was found in it.
    /// `stamp` becomes part of the name of a file that is set aside.
    pub fn open(folder: &Path, name: &str, stamp: &str) -> Result<(Self, Found), StoreError> {
        let unreachable = |path: &Path, e: io::Error| StoreError::Io(path.to_owned(), e);
        fs::create_dir_all(folder).map_err(|e| unreachable(folder, e))?;
        let (file, suspect) = (folder.join(FILE), folder.join(SUSPECT_MARKER));
        let bytes =
            read_locked(&file).map_err(|e| e.unwrap_or_else(|| StoreError::Locked(file.clone())))?;
        let new = bytes.is_none();
        let marked = suspect.try_exists().map_err(|e| unreachable(&suspect, e))?;
        if marked && new {
            // The marked file was set aside already; the process ended before it removed the marker.
            fs::remove_file(&suspect).map_err(|e| unreachable(&suspect, e))?;
        }
        let opened = match marked && !new {
            true => Err(OpenError::SetAside(SetAsideReason::Suspect)),
            false => verify(bytes.unwrap_or_default(), name).and_then(|state| open(&file, state)),
        };
        let why = match opened {
            Ok((store, _)) if new => {
                sync_folder(folder).map_err(|e| unreachable(folder, e))?;
                return Ok((store, Found::Nothing));
            }
            Ok((store, state)) => return Ok((store, Found::State(state))),
            Err(OpenError::Error(error)) => return Err(error),
            Err(OpenError::SetAside(why)) => why,
        };
        let aside = unused_path(folder, stamp).map_err(|e| unreachable(folder, e))?;
        fs::rename(&file, &aside).map_err(|e| unreachable(&file, e))?;
        if matches!(why, SetAsideReason::Suspect) {
            fs::remove_file(&suspect).map_err(|e| unreachable(&suspect, e))?;
        }
        sync_folder(folder).map_err(|e| unreachable(folder, e))?;
        match open(&file, PersistedState::default()) {
            Ok((store, _)) => Ok((store, Found::SetAside(aside, why))),
            Err(OpenError::Error(error)) => Err(error),
            Err(OpenError::SetAside(again)) => Err(StoreError::WriteFailed(again.to_string())),
        }
    }

    /// Creates an empty store in a file that does not exist yet.
    pub(super) fn create(file: &Path) -> Result<Self, StoreError> {
        match open(file, PersistedState::default()) {
            Ok((store, _)) => Ok(store),
            Err(OpenError::Error(error)) => Err(error),
            Err(OpenError::SetAside(why)) => Err(StoreError::WriteFailed(why.to_string())),
        }
    }

    /// Opens a store on a custom storage backend, empty or with existing content.
    pub fn open_backend(
        disk: impl StorageBackend,
        name: &str,
    ) -> Result<(Self, PersistedState), SetAsideReason> {
        let length = disk.len().unwrap_or_default() as usize;
        let mut bytes = vec![0; length];
        let opened = disk.read(0, &mut bytes).map_err(damaged).and_then(|()| {
            let state = verify(bytes, name)?;
            open_verified(|| builder().create_with_backend(disk), state)
        });
        opened.map_err(|error| match error {
            OpenError::SetAside(why) => why,
            OpenError::Error(error) => SetAsideReason::Damaged(error.to_string()),
        })
    }

    /// Writes these changes in one transaction; returns once they are durable. After a failure no further
    /// writes are accepted: the kernel may regard pages whose sync failed as clean, and a second sync would
    /// then report success.
    pub fn commit<'a>(&mut self, changes: impl IntoIterator<Item = &'a Change>) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::WriteFailed("an earlier write failed".to_owned()));
        }
        let written = catch_unwind(AssertUnwindSafe(|| self.write(changes)));
        let written = written.unwrap_or_else(|_| Err("the database panicked during the write".to_owned()));
        self.failed = written.is_err();
        written.map_err(StoreError::WriteFailed)
    }

    fn write<'a>(&self, changes: impl IntoIterator<Item = &'a Change>) -> Result<(), String> {
        let mut transaction = self.database.begin_write().map_err(|e| e.to_string())?;
        // With one phase, a damaged last commit could not be told from an unfinished one, and confirmed
        // data would be lost.
        transaction.set_two_phase_commit(true);
        {
            let text = |e: &dyn ToString| e.to_string();
            let mut singles = transaction.open_table(SINGLES).map_err(|e| text(&e))?;
            let mut log = transaction.open_table(LOG).map_err(|e| text(&e))?;
            let mut epochs = transaction.open_table(EPOCHS).map_err(|e| text(&e))?;
            let mut grants = transaction.open_table(GRANTS).map_err(|e| text(&e))?;
            for change in changes {
                match change {
                    Change::Identity(identity) => put(&mut singles, IDENTITY, identity)?,
                    Change::HardState(hard_state) => put(&mut singles, HARD_STATE, hard_state)?,
                    Change::Log { first, entries } => {
                        log.retain_in::<u64, _>(*first.., |_, _| false).map_err(|e| text(&e))?;
                        for (index, entry) in (*first..).zip(entries) {
                            let record =
                                record::seal(&location("log", index), entry).map_err(|e| text(&e))?;
                            log.insert(index, &*record).map_err(|e| text(&e))?;
                        }
                    }
                    Change::Snapshot(snapshot) => {
                        put(&mut singles, SNAPSHOT, snapshot)?;
                        log.retain_in::<u64, _>(..=snapshot.index, |_, _| false).map_err(|e| text(&e))?;
                    }
                    Change::Epoch { duty, epoch } => {
                        let known: Option<u64> = match epochs.get(&**duty).map_err(|e| text(&e))? {
                            Some(record) => Some(
                                record::open(&location("epochs", duty), record.value())
                                    .map_err(|e| text(&e))?,
                            ),
                            None => None,
                        };
                        if known.is_none_or(|known| known < *epoch) {
                            put(&mut epochs, duty, epoch)?;
                        }
                    }
                    Change::Grant { name, bytes: Some(bytes) } => put(&mut grants, name, bytes)?,
                    Change::Grant { name, bytes: None } => {
                        grants.remove(&**name).map_err(|e| text(&e))?;
                    }
                }
            }
        }
        transaction.commit().map_err(|e| e.to_string())
    }
}

/// Leaves the marker file in the folder after a failed sync. If this fails too, the failure can only be
/// reported.
pub fn mark_suspect(folder: &Path) -> io::Result<()> {
    File::create(folder.join(SUSPECT_MARKER))?.sync_all()?;
    sync_folder(folder)
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Reads a file under its lock; `None` if it does not exist. `Err(None)` means that another process holds
/// the lock.
fn read_locked(file: &Path) -> Result<Option<Vec<u8>>, Option<StoreError>> {
    let unreachable = |e: io::Error| Some(StoreError::Io(file.to_owned(), e));
    let mut lock = match File::open(file) {
        Ok(lock) => lock,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(unreachable(e)),
    };
    match lock.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Err(None),
        Err(TryLockError::Error(e)) => return Err(unreachable(e)),
    }
    let mut bytes = Vec::new();
    lock.read_to_end(&mut bytes).map_err(unreachable)?;
    Ok(Some(bytes))
}

/// Verifies a file on a copy in memory, by opening, reading and closing it: opening writes, and a damaged
/// file must be kept unchanged. The database may panic on damaged data, also while closing; a panic counts
/// as damage.
fn verify(bytes: Vec<u8>, name: &str) -> Result<PersistedState, OpenError> {
    if bytes.is_empty() {
        return Ok(PersistedState::default());
    }
    let attempt = || {
        let (mut bytes, mut flags) = (bytes, 0);
        if let Some(found) = bytes.get_mut(FLAGS_OFFSET) {
            flags = *found;
            *found = flags & !TWO_PHASE_COMMIT | RECOVERY_REQUIRED;
        }
        // The recovery flag, as after a power cut, makes redb verify every page's checksum before it uses
        // the page. The two-phase flag is cleared, as after two-phase commits redb reads its free-page data
        // without checking it. The other commit slot is invalidated, as redb would otherwise fall back to
        // it.
        if flags & TWO_PHASE_COMMIT != 0
            && let Some(other) =
                bytes.get_mut(COMMIT_SLOT_OFFSETS[usize::from(flags & PRIMARY_IS_SECOND == 0)])
        {
            *other ^= 0xff;
        }
        let mut builder = builder();
        // Its progress shows a damaged last commit. Only the commit that creates a file is made in one
        // phase, and that one may be incomplete.
        builder.set_repair_callback(move |repair| {
            if flags & TWO_PHASE_COMMIT != 0 && DAMAGED_COMMIT_PROGRESS.contains(&repair.progress()) {
                repair.abort()
            }
        });
        let mut database = builder.create_with_backend(ScratchBackend::of(bytes)).map_err(classify)?;
        if !database.check_integrity().map_err(classify)? {
            return Err(damaged("integrity check failed"));
        }
        let state = read(&database)?;
        drop(database);
        state.check()?;
        match &state.identity {
            Some(Identity { name: found, .. }) if found != name => {
                let (found, own) = (found.clone(), name.to_owned());
                Err(OpenError::SetAside(SetAsideReason::Foreign { found, own }))
            }
            _ => Ok(state),
        }
    };
    catch_unwind(AssertUnwindSafe(attempt))
        .unwrap_or_else(|_| Err(damaged("the database panicked while opening the file")))
}

fn open(file: &Path, verified: PersistedState) -> Result<(Store, PersistedState), OpenError> {
    open_verified(|| builder().create(file), verified).map_err(|found| match found {
        OpenError::Error(StoreError::Locked(_)) => OpenError::Error(StoreError::Locked(file.to_owned())),
        OpenError::Error(StoreError::Io(_, e)) => OpenError::Error(StoreError::Io(file.to_owned(), e)),
        found => found,
    })
}

/// Opens a database whose copy was verified, and compares what it reads with that copy.
fn open_verified(
    create: impl FnOnce() -> Result<Database, DatabaseError>,
    verified: PersistedState,
) -> Result<(Store, PersistedState), OpenError> {
    let attempt = || {
        let database = create().map_err(classify)?;
        match read(&database)? == verified {
            true => Ok((Store { database, failed: false }, verified)),
            false => Err(damaged("its content differs from the verified copy")),
        }
    };
    catch_unwind(AssertUnwindSafe(attempt))
        .unwrap_or_else(|_| Err(damaged("the database panicked while opening the file")))
}

fn classify(error: DatabaseError) -> OpenError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => OpenError::Error(StoreError::Locked(PathBuf::new())),
        // Only `verify` aborts a repair, when the last commit is damaged.
        DatabaseError::RepairAborted => damaged("checksum mismatch in pages of the last commit"),
        DatabaseError::Storage(redb::StorageError::Io(e)) if !is_content_error(&e) => {
            OpenError::Error(StoreError::Io(PathBuf::new(), e))
        }
        error => damaged(error),
    }
}

/// Whether an I/O error is caused by the content of the file.
fn is_content_error(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}

fn read(database: &Database) -> Result<PersistedState, OpenError> {
    let transaction = database.begin_read().map_err(damaged)?;
    let mut state = PersistedState::default();
    // A new store has no tables.
    let Some(singles) = existing(transaction.open_table(SINGLES))? else { return Ok(state) };
    state.identity = get(&singles, IDENTITY)?;
    state.hard_state = get::<HardState>(&singles, HARD_STATE)?.unwrap_or_default();
    state.snapshot = get::<Snapshot>(&singles, SNAPSHOT)?.unwrap_or_default();
    if let Some(log) = existing(transaction.open_table(LOG))? {
        for row in log.iter().map_err(damaged)? {
            let (index, record) = row.map_err(damaged)?;
            let entry: Entry = record::open(&location("log", index.value()), record.value())?;
            state.log.insert(index.value(), entry);
        }
    }
    state.epochs = get_all("epochs", existing(transaction.open_table(EPOCHS))?)?;
    state.grants = get_all("grants", existing(transaction.open_table(GRANTS))?)?;
    Ok(state)
}

fn existing<T>(table: Result<T, TableError>) -> Result<Option<T>, OpenError> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(e) => Err(damaged(e)),
    }
}

type Table = redb::ReadOnlyTable<&'static str, &'static [u8]>;

fn get<T: DeserializeOwned>(table: &Table, key: &str) -> Result<Option<T>, OpenError> {
    let Some(record) = table.get(key).map_err(damaged)? else { return Ok(None) };
    Ok(Some(record::open(&location("one", key), record.value())?))
}

fn get_all<T: DeserializeOwned>(
    name: &str,
    table: Option<Table>,
) -> Result<BTreeMap<String, T>, OpenError> {
    let mut rows = BTreeMap::new();
    let Some(table) = table else { return Ok(rows) };
    for row in table.iter().map_err(damaged)? {
        let (key, record) = row.map_err(damaged)?;
        rows.insert(key.value().to_owned(), record::open(&location(name, key.value()), record.value())?);
    }
    Ok(rows)
}

fn put<T: Serialize>(
    table: &mut redb::Table<'_, &'static str, &'static [u8]>,
    key: &str,
    value: &T,
) -> Result<(), String> {
    let record = record::seal(&location(table.name(), key), value).map_err(|e| e.to_string())?;
    table.insert(key, &*record).map_err(|e| e.to_string())?;
    Ok(())
}

/// The location of a record, which its checksum covers.
fn location(table: &str, key: impl Display) -> String {
    format!("{table}/{key}")
}

/// A path for a file to set aside that does not exist yet.
fn unused_path(folder: &Path, stamp: &str) -> io::Result<PathBuf> {
    for number in 0.. {
        let name = match number {
            0 => format!("memory.{stamp}.set-aside"),
            number => format!("memory.{stamp}-{number}.set-aside"),
        };
        let path = folder.join(name);
        if !path.try_exists()? {
            return Ok(path);
        }
    }
    unreachable!("a folder has fewer files than there are numbers")
}

/// Syncs a folder, so that created, renamed and removed entries are durable.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
