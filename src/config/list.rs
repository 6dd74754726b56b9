//! The endpoint list as discovery words it; a configuration carries the one last held, and a watch brings
//! lists one behind the other.

use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// No list, and nothing that may yet become one, is longer than this many bytes.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// A list as discovery words it.
#[derive(Debug, Default, Deserialize)]
pub struct List {
    /// Its version; grows with each change.
    pub rev: u64,
    /// The whole list, not only what has changed.
    pub all: bool,
    /// Its entries.
    pub targets: Vec<Target>,
}

/// An endpoint as discovery words it.
#[derive(Debug, Deserialize)]
pub struct Target {
    /// The endpoint's name, the same for all sidecars.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its machine kind.
    #[serde(default)]
    pub model: String,
    /// The small group that it shares repeat keys with.
    #[serde(default)]
    pub pod_group: u64,
    /// Its state.
    pub state: State,
    /// Its nominal capacity, 1 being usual.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When it last started, in milliseconds of Unix time; 0 where that was long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// An endpoint's state as discovery words it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes requests.
    Up,
    /// Completes what it holds, and takes nothing new.
    Draining,
    /// Gone; only among changes.
    Removed,
}

/// What a watch brought that is no list.
#[derive(Debug, Error)]
pub enum ListFault {
    /// It can't become a list any more.
    #[error("the watch brought what is no list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It has not become a list within [`MAX_LIST_BYTES`].
    #[error("the watch brought a list of over {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// Bytes that may be read in vain for each that there is, and so many beside: enough to find at once that a list was
/// broken off and another one has begun in it, and not the square of a long one of which each entry ends a line.
const VAIN_TIMES: usize = 8;
const VAIN_FREE: usize = 64 << 10;

/// Puts lists together that come one behind the other in pieces, each laid out in one line or in many.
#[derive(Default)]
pub struct ListReader {
    text: Vec<u8>,
    scan: Scan,
    /// Bytes read in vain since the last whole list.
    vain: usize,
}

impl ListReader {
    /// Takes a piece, and gives the lists that are whole with it. After a fault nothing more can be read.
    pub fn take(&mut self, piece: &[u8]) -> Result<Vec<List>, ListFault> {
        self.text.extend_from_slice(piece);
        let (mut lists, mut read) = (Vec::new(), 0);
        while let Some(end) = self.scan.next_end(&self.text) {
            lists.push(serde_json::from_slice(&self.text[read..end])?);
            (read, self.vain) = (end, 0);
        }
        if !self.is_incomplete() {
            read = self.text.len(); // blank
        }
        self.text.drain(..read);
        self.scan.at -= read;
        // One that was broken off ends only by its fault, which shows once the next one has come.
        let size = self.text.len();
        if std::mem::take(&mut self.scan.suspect) && self.vain <= VAIN_TIMES * size + VAIN_FREE {
            self.vain += size;
            if let Err(e) = serde_json::from_slice::<List>(&self.text)
                && !e.is_eof()
            {
                return Err(e.into());
            }
        }
        if size > MAX_LIST_BYTES { Err(ListFault::TooLong) } else { Ok(lists) }
    }

    /// A list has begun and not ended.
    pub fn is_incomplete(&self) -> bool {
        self.scan.depth > 0
    }
}

/// How far a text was looked through for the ends of lists, each byte once.
#[derive(Default)]
struct Scan {
    at: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// The last that was no blank is a closing brace.
    closed: bool,
    /// A line has ended as a list does, or in a name, and the list has not.
    suspect: bool,
}

impl Scan {
    /// Looks on, up to the next end of a list. What stands between lists and is not blank ends one that is none.
    fn next_end(&mut self, text: &[u8]) -> Option<usize> {
        while let Some(&byte) = text.get(self.at) {
            self.at += 1;
            self.suspect |= byte == b'\n' && self.depth > 0 && (self.closed || self.quoted);
            self.closed = byte == b'}' || self.closed && byte.is_ascii_whitespace();
            if self.quoted {
                self.quoted = self.escaped || byte != b'"';
                self.escaped = !self.escaped && byte == b'\\';
                continue;
            }
            match byte {
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        self.suspect = false;
                        return Some(self.at);
                    }
                }
                _ if self.depth > 0 => self.quoted = byte == b'"',
                _ if byte.is_ascii_whitespace() => {}
                _ => return Some(self.at),
            }
        }
        None
    }
}
