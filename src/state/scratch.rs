//! A copy of a file in memory, on which what is damaged may do its worst. It does not grow far: a damaged length must
//! not ask for more memory than there is, which would end the process.

use redb::StorageBackend;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// So much longer than it was found a file may become as it is opened, in bytes.
const GROWTH: usize = 16 << 20;

/// The copy.
#[derive(Debug)]
pub struct ScratchBackend {
    bytes: Mutex<Vec<u8>>,
    most: usize,
}

impl ScratchBackend {
    /// A copy of these bytes.
    pub fn of(bytes: Vec<u8>) -> Self {
        let most = bytes.len() + GROWTH;
        ScratchBackend { bytes: Mutex::new(bytes), most }
    }

    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The bytes from an offset on.
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
            Ok(len) if len <= self.most => self.bytes().resize(len, 0),
            _ => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    format!("it says that it has {len} bytes"),
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
