//! The way back after a write that failed: a fresh file, written whole from memory, synced, and put in the place of the
//! one that can't be trusted any more. That one is never written or synced again: the system may have dropped pages
//! whose sync failed, and a second sync would not say so.

use super::persisted::PersistedState;
use super::store::{FILE, SUSPECT_MARKER, Store, StoreError, durable_folder};
use std::fs;
use std::io;
use std::path::Path;

/// The fresh file until it takes its place; what a kill leaves of one is written over.
pub const TEMP_FILE: &str = "memory.fresh";

/// Writes all of a memory to a fresh file, which takes the place of the folder's; returns once that is durable.
///
/// # Errors
/// Where the disk still fails. It may be called again.
pub fn rewrite(folder: &Path, memory: &PersistedState) -> Result<Store, StoreError> {
    let (fresh, file, suspect) = (folder.join(TEMP_FILE), folder.join(FILE), folder.join(SUSPECT_MARKER));
    let failed = |path: &Path| {
        let path = path.to_owned();
        move |e: io::Error| StoreError::Io(path, e)
    };
    remove(&fresh).map_err(failed(&fresh))?;
    let mut store = Store::create(&fresh)?;
    store.commit(&memory.changes())?;
    fs::rename(&fresh, &file).map_err(failed(&file))?;
    durable_folder(folder).map_err(failed(folder))?;
    // Until here a start would set aside what it finds.
    remove(&suspect).map_err(failed(&suspect))?;
    durable_folder(folder).map_err(failed(folder))?;
    Ok(store)
}

/// Removes a file that may not be there.
fn remove(file: &Path) -> io::Result<()> {
    match fs::remove_file(file) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
