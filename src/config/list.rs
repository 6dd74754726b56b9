//! The endpoint list in discovery's JSON format. A configuration carries the list that was last in use, and a watch
//! streams lists one after another.

use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum size of a list in bytes, complete or not; bounds the memory that a watch can take.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// An endpoint list in discovery's format.
#[derive(Debug, Default, Deserialize)]
pub struct List {
    /// Version; increases with each change.
    pub rev: u64,
    /// Whether this is the full list rather than only the changes.
    pub all: bool,
    /// The endpoints, or the changed ones.
    pub targets: Vec<Target>,
}

/// An endpoint in discovery's format.
#[derive(Debug, Deserialize)]
pub struct Target {
    /// The endpoint's name, the same for all sidecars.
    pub uid: String,
    /// Address and port on which it listens.
    pub endpoint: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub az: String,
    /// Name of its machine kind.
    #[serde(default)]
    pub model: String,
    /// Its cell: the small group of endpoints that share idempotency keys.
    #[serde(default)]
    pub pod_group: u64,
    /// Whether it takes requests.
    pub state: State,
    /// Nominal capacity relative to the usual 1.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// Unix time of its last start in milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// State of an endpoint in discovery's format.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts requests.
    Up,
    /// Completes the requests that it has and accepts no new ones.
    Draining,
    /// No longer in the list; appears only in a list of changes.
    Removed,
}

/// Why the data of a watch can't be read as a list.
#[derive(Debug, Error)]
pub enum ListFault {
    /// The data is not a list, nor the beginning of one.
    #[error("the watch sent a malformed endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The list is not complete after [`MAX_LIST_BYTES`].
    #[error("the watch sent an endpoint list of more than {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// Limit on the bytes read by trial parses of an incomplete list: this many per buffered byte, plus `TRIAL_BASE_BYTES`.
/// It is enough to detect at once that a list was truncated and another one begun in it, and it keeps the cost of a long
/// list with a line per entry from growing with the square of its length.
const TRIAL_FACTOR: usize = 8;
const TRIAL_BASE_BYTES: usize = 64 << 10;

/// Assembles lists from a stream of chunks. A list may be formatted on one line or on several.
#[derive(Default)]
pub struct ListReader {
    buffer: Vec<u8>,
    scan: Scan,
    /// Bytes read by trial parses since the last complete list.
    trial_bytes: usize,
}

impl ListReader {
    /// Adds a chunk and returns the lists that it completes. The reader can't be used after an error.
    pub fn take(&mut self, chunk: &[u8]) -> Result<Vec<List>, ListFault> {
        self.buffer.extend_from_slice(chunk);
        let (mut lists, mut consumed) = (Vec::new(), 0);
        while let Some(end) = self.scan.next_end(&self.buffer) {
            lists.push(serde_json::from_slice(&self.buffer[consumed..end])?);
            (consumed, self.trial_bytes) = (end, 0);
        }
        if !self.is_incomplete() {
            consumed = self.buffer.len(); // only whitespace is left
        }
        self.buffer.drain(..consumed);
        self.scan.offset -= consumed;
        // A truncated list never ends; it becomes a syntax error once the next list follows it.
        let size = self.buffer.len();
        if std::mem::take(&mut self.scan.maybe_truncated)
            && self.trial_bytes <= TRIAL_FACTOR * size + TRIAL_BASE_BYTES
        {
            self.trial_bytes += size;
            if let Err(e) = serde_json::from_slice::<List>(&self.buffer)
                && !e.is_eof()
            {
                return Err(e.into());
            }
        }
        if size > MAX_LIST_BYTES { Err(ListFault::TooLong) } else { Ok(lists) }
    }

    /// Whether a list has begun and not ended.
    pub fn is_incomplete(&self) -> bool {
        self.scan.depth > 0
    }
}

/// State of the search for the ends of lists, which looks at each byte once.
#[derive(Default)]
struct Scan {
    offset: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The last byte that is not whitespace is a closing brace.
    after_brace: bool,
    /// A line ended after a closing brace or within a string while the list is incomplete, so it may be truncated.
    maybe_truncated: bool,
}

impl Scan {
    /// Scans on to the next end of a list and returns its offset. A byte between lists that is not whitespace counts as
    /// such an end, so that parsing up to it reports the error.
    fn next_end(&mut self, text: &[u8]) -> Option<usize> {
        while let Some(&byte) = text.get(self.offset) {
            self.offset += 1;
            self.maybe_truncated |= byte == b'\n' && self.depth > 0 && (self.after_brace || self.in_string);
            self.after_brace = byte == b'}' || self.after_brace && byte.is_ascii_whitespace();
            if self.in_string {
                self.in_string = self.escaped || byte != b'"';
                self.escaped = !self.escaped && byte == b'\\';
                continue;
            }
            match byte {
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        self.maybe_truncated = false;
                        return Some(self.offset);
                    }
                }
                _ if self.depth > 0 => self.in_string = byte == b'"',
                _ if byte.is_ascii_whitespace() => {}
                _ => return Some(self.offset),
            }
        }
        None
    }
}
