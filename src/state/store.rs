//! The file behind the memory: one transaction a batch, checked whole when it is opened and record by record when
//! it is read. What can't be trusted is set aside under another name and never repaired: half a voter's memory is
//! worse than none.

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

/// The store's file in its folder.
pub const FILE: &str = "memory.redb";
/// Left in the folder when a sync has failed: what the system then shows as written may never have reached the disk.
pub const SUSPECT_MARKER: &str = "memory.suspect";
/// PersistedState that the store may use for pages, in bytes: it holds little, and is read whole once.
const CACHE: usize = 1 << 20;

/// Where redb's file has its flags, and three of them: the second of the two commits that it holds is the last; pages
/// are to be checked; the last commit was made in two phases.
const FLAGS: usize = 9;
const LAST_IS_SECOND: u8 = 1;
const RECOVERY: u8 = 2;
const TWO_PHASE: u8 = 4;
/// Where it has something of each of these commits that their checksums are over.
const COMMITS: [usize; 2] = [64 + 1, 192 + 1];
/// What redb's repair says that it has done when it finds the last commit damaged: after its beginning, at 0, and
/// before the two scans that follow in any case, at 0.6 and 0.9.
const LAST_IS_DAMAGED: RangeInclusive<f64> = 0.1..=0.5;

const ONE: TableDefinition<&str, &[u8]> = TableDefinition::new("one");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const EPOCHS: TableDefinition<&str, &[u8]> = TableDefinition::new("epochs");
const GRANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("grants");

const IDENTITY: &str = "identity";
const PROMISE: &str = "promise";
const SNAPSHOT: &str = "snapshot";

/// Why there is no store, or no longer one.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has it. The lock decides.
    #[error("{0}: another process has it open: stop that one, or name another state.dir")]
    Locked(PathBuf),
    /// The file can't be opened or read, though there may be nothing wrong with what it holds.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// A later build wrote it. It is left as it is.
    #[error(transparent)]
    Newer(RecordError),
    /// A write or its sync failed: nothing is written any more.
    #[error("a write failed and is not tried again: {0}")]
    WriteFailed(String),
}

/// Why what was found can't be trusted.
#[derive(Debug, Error)]
pub enum SetAsideReason {
    /// A sync of it failed in an earlier life.
    #[error("a sync of it failed before: what it shows may never have been on the disk")]
    Suspect,
    /// The file is damaged.
    #[error("damaged: {0}")]
    Damaged(String),
    /// A record is.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// Its records contradict each other.
    #[error(transparent)]
    Inconsistent(#[from] Inconsistency),
    /// It is another's folder.
    #[error("it belongs to `{found}`, and this is `{own}`")]
    Foreign {
        /// Whose name is in it.
        found: String,
        /// This process's.
        own: String,
    },
}

/// What was found on opening a folder.
#[derive(Debug)]
pub enum Found {
    /// A memory that can be trusted as far as the folder can.
    State(PersistedState),
    /// Nothing.
    Nothing,
    /// Something that can't be trusted; it now has this name.
    SetAside(PathBuf, SetAsideReason),
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    database: Database,
    failed: bool,
}

/// What went wrong while the file was opened or read.
enum Trouble {
    SetAsideReason(SetAsideReason),
    Error(StoreError),
}

impl StoreError {
    /// Whether it may be over in a while: the disk is full, or refuses, or descriptors lack.
    pub fn is_transient(&self) -> bool {
        let passing = [libc::ENOSPC, libc::EDQUOT, libc::EIO, libc::EMFILE, libc::ENFILE, libc::ENOMEM];
        match self {
            StoreError::Io(_, e) => e.raw_os_error().is_some_and(|code| passing.contains(&code)),
            StoreError::WriteFailed(_) => true,
            StoreError::Locked(_) | StoreError::Newer(_) => false,
        }
    }
}

impl From<RecordError> for Trouble {
    fn from(fault: RecordError) -> Self {
        match fault {
            RecordError::Newer { .. } => Trouble::Error(StoreError::Newer(fault)),
            fault => Trouble::SetAsideReason(fault.into()),
        }
    }
}

impl From<Inconsistency> for Trouble {
    fn from(contradiction: Inconsistency) -> Self {
        Trouble::SetAsideReason(contradiction.into())
    }
}

/// What the file's own checks found.
fn damaged(problem: impl ToString) -> Trouble {
    Trouble::SetAsideReason(SetAsideReason::Damaged(problem.to_string()))
}

impl Store {
    /// Opens the store of this folder for the process of this name, and says what was found in it. `stamp` becomes part
    /// of the name under which what can't be trusted is set aside.
    pub fn open(folder: &Path, name: &str, stamp: &str) -> Result<(Self, Found), StoreError> {
        let unreachable = |path: &Path, e: io::Error| StoreError::Io(path.to_owned(), e);
        fs::create_dir_all(folder).map_err(|e| unreachable(folder, e))?;
        let (file, suspect) = (folder.join(FILE), folder.join(SUSPECT_MARKER));
        let bytes = locked(&file).map_err(|e| e.unwrap_or_else(|| StoreError::Locked(file.clone())))?;
        let new = bytes.is_none();
        let marked = suspect.try_exists().map_err(|e| unreachable(&suspect, e))?;
        if marked && new {
            // What it spoke of is set aside already; the process ended before it could say so.
            fs::remove_file(&suspect).map_err(|e| unreachable(&suspect, e))?;
        }
        let distrusted = match marked && !new {
            true => Err(Trouble::SetAsideReason(SetAsideReason::Suspect)),
            false => trial(bytes.unwrap_or_default(), name).and_then(|memory| open(&file, memory)),
        };
        let why = match distrusted {
            Ok((store, _)) if new => {
                durable_folder(folder).map_err(|e| unreachable(folder, e))?;
                return Ok((store, Found::Nothing));
            }
            Ok((store, memory)) => return Ok((store, Found::State(memory))),
            Err(Trouble::Error(error)) => return Err(error),
            Err(Trouble::SetAsideReason(why)) => why,
        };
        let aside = aside(folder, stamp).map_err(|e| unreachable(folder, e))?;
        fs::rename(&file, &aside).map_err(|e| unreachable(&file, e))?;
        if matches!(why, SetAsideReason::Suspect) {
            fs::remove_file(&suspect).map_err(|e| unreachable(&suspect, e))?;
        }
        durable_folder(folder).map_err(|e| unreachable(folder, e))?;
        match open(&file, PersistedState::default()) {
            Ok((store, _)) => Ok((store, Found::SetAside(aside, why))),
            Err(Trouble::Error(error)) => Err(error),
            Err(Trouble::SetAsideReason(again)) => Err(StoreError::WriteFailed(again.to_string())),
        }
    }

    /// A new and empty store in a file that is not there yet.
    pub(super) fn create(file: &Path) -> Result<Self, StoreError> {
        match open(file, PersistedState::default()) {
            Ok((store, _)) => Ok(store),
            Err(Trouble::Error(error)) => Err(error),
            Err(Trouble::SetAsideReason(why)) => Err(StoreError::WriteFailed(why.to_string())),
        }
    }

    /// A store on a disk of one's own making, empty or as it was left.
    pub fn open_backend(
        disk: impl StorageBackend,
        name: &str,
    ) -> Result<(Self, PersistedState), SetAsideReason> {
        let length = disk.len().unwrap_or_default() as usize;
        let mut bytes = vec![0; length];
        let opened = disk.read(0, &mut bytes).map_err(damaged).and_then(|()| {
            let memory = trial(bytes, name)?;
            opened(|| builder().create_with_backend(disk), memory)
        });
        opened.map_err(|trouble| match trouble {
            Trouble::SetAsideReason(why) => why,
            Trouble::Error(error) => SetAsideReason::Damaged(error.to_string()),
        })
    }

    /// Writes these changes as one; returns once they are durable. After a failure nothing is written any more: the
    /// system may take pages whose sync failed for written, and a second sync would say so.
    pub fn commit<'a>(&mut self, changes: impl IntoIterator<Item = &'a Change>) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::WriteFailed("an earlier one failed".to_owned()));
        }
        let written = catch_unwind(AssertUnwindSafe(|| self.write(changes)));
        let written = written.unwrap_or_else(|_| Err("the store could not go on".to_owned()));
        self.failed = written.is_err();
        written.map_err(StoreError::WriteFailed)
    }

    fn write<'a>(&self, changes: impl IntoIterator<Item = &'a Change>) -> Result<(), String> {
        let mut batch = self.database.begin_write().map_err(|e| e.to_string())?;
        // Else a damaged last commit would pass for one that was never finished, and what it confirmed be forgotten.
        batch.set_two_phase_commit(true);
        {
            let text = |e: &dyn ToString| e.to_string();
            let mut one = batch.open_table(ONE).map_err(|e| text(&e))?;
            let mut log = batch.open_table(LOG).map_err(|e| text(&e))?;
            let mut epochs = batch.open_table(EPOCHS).map_err(|e| text(&e))?;
            let mut grants = batch.open_table(GRANTS).map_err(|e| text(&e))?;
            for change in changes {
                match change {
                    Change::Identity(identity) => put(&mut one, IDENTITY, identity)?,
                    Change::HardState(promise) => put(&mut one, PROMISE, promise)?,
                    Change::Log { first, entries } => {
                        log.retain_in::<u64, _>(*first.., |_, _| false).map_err(|e| text(&e))?;
                        for (index, entry) in (*first..).zip(entries) {
                            let record = record::seal(&place("log", index), entry).map_err(|e| text(&e))?;
                            log.insert(index, &*record).map_err(|e| text(&e))?;
                        }
                    }
                    Change::Snapshot(snapshot) => {
                        put(&mut one, SNAPSHOT, snapshot)?;
                        log.retain_in::<u64, _>(..=snapshot.index, |_, _| false).map_err(|e| text(&e))?;
                    }
                    Change::Epoch { duty, epoch } => {
                        let known: Option<u64> = match epochs.get(&**duty).map_err(|e| text(&e))? {
                            Some(record) => Some(
                                record::open(&place("epochs", duty), record.value())
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
        batch.commit().map_err(|e| e.to_string())
    }
}

/// Leaves word in the folder that a sync of its store failed. Where even that fails there is nothing more to be done.
pub fn mark_suspect(folder: &Path) -> io::Result<()> {
    File::create(folder.join(SUSPECT_MARKER))?.sync_all()?;
    durable_folder(folder)
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    builder
}

/// The bytes of a file, read while nobody else has it; none where there is none. An error without a cause: taken.
fn locked(file: &Path) -> Result<Option<Vec<u8>>, Option<StoreError>> {
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

/// Opens a copy of a file in memory, reads all of it and closes it again: what is damaged must be kept as it was
/// found, and opening writes. Damage may bring the reader down, also as it closes; that too is damage.
fn trial(bytes: Vec<u8>, name: &str) -> Result<PersistedState, Trouble> {
    if bytes.is_empty() {
        return Ok(PersistedState::default());
    }
    let trying = || {
        let (mut bytes, mut flags) = (bytes, 0);
        if let Some(found) = bytes.get_mut(FLAGS) {
            flags = *found;
            *found = flags & !TWO_PHASE | RECOVERY;
        }
        // As after a cut, so that every page's checksum is looked at before anything in it is believed; not as after
        // commits in two phases, whose notes on free pages the library reads unchecked; and without the commit that is
        // not the last, which it would else go back to.
        if flags & TWO_PHASE != 0
            && let Some(other) = bytes.get_mut(COMMITS[usize::from(flags & LAST_IS_SECOND == 0)])
        {
            *other ^= 0xff;
        }
        let mut builder = builder();
        // It says so where the last commit is damaged. Only the one that makes a new file is in one phase, and may be
        // half done.
        builder.set_repair_callback(move |repair| {
            if flags & TWO_PHASE != 0 && LAST_IS_DAMAGED.contains(&repair.progress()) {
                repair.abort()
            }
        });
        let mut database = builder.create_with_backend(ScratchBackend::of(bytes)).map_err(trouble)?;
        if !database.check_integrity().map_err(trouble)? {
            return Err(damaged("its pages do not fit together"));
        }
        let memory = read(&database)?;
        drop(database);
        memory.check()?;
        match &memory.identity {
            Some(Identity { name: found, .. }) if found != name => {
                let (found, own) = (found.clone(), name.to_owned());
                Err(Trouble::SetAsideReason(SetAsideReason::Foreign { found, own }))
            }
            _ => Ok(memory),
        }
    };
    catch_unwind(AssertUnwindSafe(trying)).unwrap_or_else(|_| Err(damaged("it can't be read")))
}

fn open(file: &Path, tried: PersistedState) -> Result<(Store, PersistedState), Trouble> {
    opened(|| builder().create(file), tried).map_err(|found| match found {
        Trouble::Error(StoreError::Locked(_)) => Trouble::Error(StoreError::Locked(file.to_owned())),
        Trouble::Error(StoreError::Io(_, e)) => Trouble::Error(StoreError::Io(file.to_owned(), e)),
        found => found,
    })
}

/// Opens a database that was tried, and reads it again.
fn opened(
    create: impl FnOnce() -> Result<Database, DatabaseError>,
    tried: PersistedState,
) -> Result<(Store, PersistedState), Trouble> {
    let opening = || {
        let database = create().map_err(trouble)?;
        match read(&database)? == tried {
            true => Ok((Store { database, failed: false }, tried)),
            false => Err(damaged("it reads otherwise than a moment before")),
        }
    };
    catch_unwind(AssertUnwindSafe(opening)).unwrap_or_else(|_| Err(damaged("it can't be read")))
}

fn trouble(error: DatabaseError) -> Trouble {
    match error {
        DatabaseError::DatabaseAlreadyOpen => Trouble::Error(StoreError::Locked(PathBuf::new())),
        // Only the trial ends a repair, where it finds the last commit damaged.
        DatabaseError::RepairAborted => damaged("pages of its last commit are not as their checksums say"),
        DatabaseError::Storage(redb::StorageError::Io(e)) if !of_content(&e) => {
            Trouble::Error(StoreError::Io(PathBuf::new(), e))
        }
        error => damaged(error),
    }
}

/// Whether an error of reading says that the file holds something else than it should.
fn of_content(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}

fn read(database: &Database) -> Result<PersistedState, Trouble> {
    let reading = database.begin_read().map_err(damaged)?;
    let mut memory = PersistedState::default();
    // A new store has no tables.
    let Some(one) = there(reading.open_table(ONE))? else { return Ok(memory) };
    memory.identity = get(&one, IDENTITY)?;
    memory.hard_state = get::<HardState>(&one, PROMISE)?.unwrap_or_default();
    memory.snapshot = get::<Snapshot>(&one, SNAPSHOT)?.unwrap_or_default();
    if let Some(log) = there(reading.open_table(LOG))? {
        for row in log.iter().map_err(damaged)? {
            let (index, record) = row.map_err(damaged)?;
            let entry: Entry = record::open(&place("log", index.value()), record.value())?;
            memory.log.insert(index.value(), entry);
        }
    }
    memory.epochs = all("epochs", there(reading.open_table(EPOCHS))?)?;
    memory.grants = all("grants", there(reading.open_table(GRANTS))?)?;
    Ok(memory)
}

fn there<T>(table: Result<T, TableError>) -> Result<Option<T>, Trouble> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(e) => Err(damaged(e)),
    }
}

type Table = redb::ReadOnlyTable<&'static str, &'static [u8]>;

fn get<T: DeserializeOwned>(table: &Table, key: &str) -> Result<Option<T>, Trouble> {
    let Some(record) = table.get(key).map_err(damaged)? else { return Ok(None) };
    Ok(Some(record::open(&place("one", key), record.value())?))
}

fn all<T: DeserializeOwned>(name: &str, table: Option<Table>) -> Result<BTreeMap<String, T>, Trouble> {
    let mut rows = BTreeMap::new();
    let Some(table) = table else { return Ok(rows) };
    for row in table.iter().map_err(damaged)? {
        let (key, record) = row.map_err(damaged)?;
        rows.insert(key.value().to_owned(), record::open(&place(name, key.value()), record.value())?);
    }
    Ok(rows)
}

fn put<T: Serialize>(
    table: &mut redb::Table<'_, &'static str, &'static [u8]>,
    key: &str,
    value: &T,
) -> Result<(), String> {
    let record = record::seal(&place(table.name(), key), value).map_err(|e| e.to_string())?;
    table.insert(key, &*record).map_err(|e| e.to_string())?;
    Ok(())
}

/// Where a record stands, as its checksum has it.
fn place(table: &str, key: impl Display) -> String {
    format!("{table}/{key}")
}

/// A name that nothing in the folder has.
fn aside(folder: &Path, stamp: &str) -> io::Result<PathBuf> {
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

/// Makes the entries of a folder durable.
pub(super) fn durable_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
