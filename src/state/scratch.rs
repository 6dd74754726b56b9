//! A storage backend in memory, for opening a copy of a file that may be damaged. Its growth is limited: a
//! damaged length field must not cause an allocation beyond the available memory, which would abort the
//! process.

use redb::StorageBackend;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Limit on the growth of a file while it is opened, in bytes.
const MAX_GROWTH: usize = 16 << 20;

/// A copy of a file in memory.
#[derive(Debug)]
pub struct ScratchBackend {
    bytes: Mutex<Vec<u8>>,
    max_len: usize,
}

impl ScratchBackend {
    /// A copy of these bytes.
    pub fn of(bytes: Vec<u8>) -> Self {
        let max_len = bytes.len() + MAX_GROWTH;
        ScratchBackend { bytes: Mutex::new(bytes), max_len }
    }

    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The `length` bytes from an offset on.
fn range(bytes: &mut [u8], offset: u64, length: usize) -> io::Result<&mut [u8]> {
    let from = usize::try_from(offset).map_err(|_| io::ErrorKind::InvalidData)?;
    let to = from.checked_add(length).ok_or(io::ErrorKind::InvalidData)?;
    Ok(bytes.get_mut(from..to).ok_or(io::ErrorKind::UnexpectedEof)?)
}

impl StorageBackend for ScratchBackend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.bytes().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        out.copy_from_slice(range(&mut self.bytes(), offset, out.len())?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        match usize::try_from(len) {
            Ok(len) if len <= self.max_len => self.bytes().resize(len, 0),
            _ => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    format!("file length {len} exceeds the limit on its growth"),
                ));
            }
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        range(&mut self.bytes(), offset, data.len())?.copy_from_slice(data);
        Ok(())
    }
}
