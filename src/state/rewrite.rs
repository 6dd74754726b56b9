//! Recovery from a failed write: a new file is written from the state in memory, synced, and renamed over
//! the old file, which is never written or synced again: the kernel may have dropped pages whose sync
//! failed, and a second sync would not report it.

use super::persisted::PersistedState;
use super::store::{FILE, SUSPECT_MARKER, Store, StoreError, sync_folder};
use std::fs;
use std::io;
use std::path::Path;

/// Name of the new file until it is renamed; a file left by a process that was killed is overwritten.
pub const TEMP_FILE: &str = "memory.fresh";

/// Writes the whole state to a new file and renames it over the folder's database file; returns once that
/// is durable.
///
/// # Errors
/// If the disk still fails. It may be called again.
pub fn rewrite(folder: &Path, state: &PersistedState) -> Result<Store, StoreError> {
    let (temp_file, file, marker) =
        (folder.join(TEMP_FILE), folder.join(FILE), folder.join(SUSPECT_MARKER));
    let failed = |path: &Path| {
        let path = path.to_owned();
        move |e: io::Error| StoreError::Io(path, e)
    };
    remove(&temp_file).map_err(failed(&temp_file))?;
    let mut store = Store::create(&temp_file)?;
    store.commit(&state.changes())?;
    fs::rename(&temp_file, &file).map_err(failed(&file))?;
    sync_folder(folder).map_err(failed(folder))?;
    // Until the marker is removed, the next start sets the file aside.
    remove(&marker).map_err(failed(&marker))?;
    sync_folder(folder).map_err(failed(folder))?;
    Ok(store)
}

/// Removes a file if it exists.
fn remove(file: &Path) -> io::Result<()> {
    match fs::remove_file(file) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
