//! Encoding of a record on disk or sent to another process: a checksum over its location or its owner, its
//! version and its content, so that a record that was altered, truncated or moved to another location is
//! detected when it is read.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the record format that this build writes. It reads all earlier ones.
pub const VERSION: u8 = 1;
/// Length of the header, in bytes: the checksum and the version.
const HEADER_LEN: usize = 5;

/// Why a record can't be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The checksum does not match.
    #[error("{0}: checksum mismatch: the record was altered, truncated or moved from another location")]
    Damaged(String),
    /// The record was written by a later build.
    #[error(
        "{at}: record has form {found}, but this build reads up to {VERSION}: run the later build, or use another folder"
    )]
    Newer {
        /// The location of the record.
        at: String,
        /// The version of its format.
        found: u8,
    },
    /// The checksum matches, but the content is not a valid value.
    #[error("{0}: {1}")]
    Malformed(String, postcard::Error),
}

/// CRC-32 over the location, a zero byte, and the version and content.
pub fn checksum(location: &str, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(location.as_bytes());
    hasher.update(&[0]);
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes a value as a record for this location.
pub fn seal<T: Serialize>(location: &str, value: &T) -> Result<Vec<u8>, RecordError> {
    let content = postcard::to_stdvec(value).map_err(|e| RecordError::Malformed(location.to_owned(), e))?;
    let mut record = vec![0; HEADER_LEN - 1];
    record.push(VERSION);
    record.extend(content);
    let sum = checksum(location, &record[HEADER_LEN - 1..]).to_le_bytes();
    record[..HEADER_LEN - 1].copy_from_slice(&sum);
    Ok(record)
}

/// Verifies and decodes the record found at this location.
pub fn open<T: DeserializeOwned>(location: &str, record: &[u8]) -> Result<T, RecordError> {
    let damaged = || RecordError::Damaged(location.to_owned());
    let (head, payload) = record.split_first_chunk::<4>().ok_or_else(damaged)?;
    let (version, content) = payload.split_first().ok_or_else(damaged)?;
    if checksum(location, payload) != u32::from_le_bytes(*head) {
        return Err(damaged());
    }
    if *version > VERSION {
        return Err(RecordError::Newer { at: location.to_owned(), found: *version });
    }
    postcard::from_bytes(content).map_err(|e| RecordError::Malformed(location.to_owned(), e))
}
