//! Persisted state of a process: its identity, its Raft hard state, the replicated log and snapshot, and
//! the epochs and grants it has seen.
//!
//! `persisted` holds the state as plain values and checks its consistency; `record` encodes a value for the
//! disk, with a checksum; `store` is the database file, which is verified on a copy in memory (`scratch`)
//! before it is used; `writer` is the only thread that accesses it; `rewrite` replaces the file after a
//! failed write.
//!
//! Nothing is sent to others before it is durable. A failed write is never retried on the same file,
//! neither by this process nor by a later one: a new file is written from the state in memory, and nothing
//! is confirmed until that file is durable. A file that fails verification is renamed unchanged, and the
//! process starts with a new identity: its peers decide when it may vote again. A folder restored from an
//! older copy can't be detected locally; peers remember the latest start on each folder and are asked.

pub mod persisted;
pub mod record;
pub mod rewrite;
mod scratch;
pub mod store;
pub mod writer;
