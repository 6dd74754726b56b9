//! What a process tells the others of its sidecar in its lock file.

/// Length in bytes of a record: it is always written as a whole, over the one before.
pub const RECORD_BYTES: usize = 64;

/// The state of a process, as it publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessRecord {
    /// Its place in the order in which the processes started, from 1 on.
    pub rank: u64,
    /// The highest rank that it knows of; none of a higher rank is reckoned with yet.
    pub known_rank: u64,
    /// The most memory that it takes, in KiB.
    pub memory_kib: usize,
    /// The most sockets that it takes, with those in reserve.
    pub sockets: usize,
}

impl ProcessRecord {
    /// The record as text of a fixed length.
    pub fn to_text(self) -> String {
        let ProcessRecord { rank, known_rank, memory_kib, sockets } = self;
        let fields = format!("{rank} {known_rank} {memory_kib} {sockets} .");
        format!("{fields:<width$}\n", width = RECORD_BYTES - 1)
    }

    /// Reads a record; none if it is not whole, or of a program that publishes none.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split_whitespace();
        let record = ProcessRecord {
            rank: fields.next()?.parse().ok()?,
            known_rank: fields.next()?.parse().ok()?,
            memory_kib: fields.next()?.parse().ok()?,
            sockets: fields.next()?.parse().ok()?,
        };
        (fields.next() == Some(".")).then_some(record)
    }
}
