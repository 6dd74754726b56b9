//! How a record lies on disk, or goes to another process: a checksum over where it stands, or whose it is, its version
//! and its content, so that one that was flipped, torn or put in another's place is found when it is read.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The form of records that this build writes. It reads all that came before.
pub const VERSION: u8 = 1;
/// Bytes before the content: the checksum and the version.
const HEADER_LEN: usize = 5;

/// Why a record can't be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// It is not what was written there.
    #[error("{0}: its checksum is wrong: it was changed, torn or put in another's place")]
    Damaged(String),
    /// A later build wrote it.
    #[error(
        "{at}: it has form {found}, and this build reads up to {VERSION}: run the later build, or another folder"
    )]
    Newer {
        /// Where it stands.
        at: String,
        /// Its form.
        found: u8,
    },
    /// It is what was written there, but says nothing that it could.
    #[error("{0}: {1}")]
    Malformed(String, postcard::Error),
}

/// CRC-32 over a place, a zero byte, and what is sealed for it.
pub fn checksum(place: &str, sealed: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(place.as_bytes());
    hasher.update(&[0]);
    hasher.update(sealed);
    hasher.finalize()
}

/// A value's record for this place.
pub fn seal<T: Serialize>(place: &str, value: &T) -> Result<Vec<u8>, RecordError> {
    let content = postcard::to_stdvec(value).map_err(|e| RecordError::Malformed(place.to_owned(), e))?;
    let mut record = vec![0; HEADER_LEN - 1];
    record.push(VERSION);
    record.extend(content);
    let sum = checksum(place, &record[HEADER_LEN - 1..]).to_le_bytes();
    record[..HEADER_LEN - 1].copy_from_slice(&sum);
    Ok(record)
}

/// The value of the record that was found at this place.
pub fn open<T: DeserializeOwned>(place: &str, record: &[u8]) -> Result<T, RecordError> {
    let damaged = || RecordError::Damaged(place.to_owned());
    let (head, sealed) = record.split_first_chunk::<4>().ok_or_else(damaged)?;
    let (version, content) = sealed.split_first().ok_or_else(damaged)?;
    if checksum(place, sealed) != u32::from_le_bytes(*head) {
        return Err(damaged());
    }
    if *version > VERSION {
        return Err(RecordError::Newer { at: place.to_owned(), found: *version });
    }
    postcard::from_bytes(content).map_err(|e| RecordError::Malformed(place.to_owned(), e))
}
