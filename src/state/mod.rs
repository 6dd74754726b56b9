//! What a process keeps on disk: who it is, what it promised as a voter, the agreed log and state, the epochs and
//! grants it has seen.
//!
//! `persisted` is what is kept, as plain values, and what can't be true of it; `record` is a value as it lies on disk,
//! with a checksum; `store` is the file behind it, opened with distrust (`scratch`); `writer` is the one thread that has it.
//!
//! The rules: nothing is spoken of before it is durable. A write that failed is never tried again on the same file,
//! in this life or the next: a fresh one (`rewrite`) is written whole from memory, and nothing is confirmed until it is durable. What can't be trusted is set aside under another name as it was found, and the process
//! begins anew as somebody else: its peers decide when it may vote again. A folder that is merely older than it was
//! can't be told from here; peers remember, and are asked.

pub mod persisted;
pub mod record;
pub mod rewrite;
mod scratch;
pub mod store;
pub mod writer;
