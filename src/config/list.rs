//! The endpoint list as discovery words it; a configuration carries the one last held, and a watch brings
//! lists one behind the other.

use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// No list, and nothing that may yet become one, is longer than this many bytes.
pub const LIST_MOST: usize = 4 << 20;

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
    /// It has not become a list within [`LIST_MOST`].
    #[error("the watch brought a list of over {LIST_MOST} bytes")]
    TooLong,
}

/// Puts lists together that come one behind the other in pieces, each laid out in one line or in many.
#[derive(Default)]
pub struct ListReader {
    text: Vec<u8>,
}

impl ListReader {
    /// Takes a piece, and gives the lists that are whole with it. After a fault nothing more can be read.
    pub fn take(&mut self, piece: &[u8]) -> Result<Vec<List>, ListFault> {
        self.text.extend_from_slice(piece);
        let mut lists = Vec::new();
        // A list ends where a line does, or a piece. To look at each piece of a long one would cost its square.
        if piece.split(|&byte| byte == b'\n').any(|line| line.trim_ascii_end().ends_with(b"}")) {
            let mut stream = serde_json::Deserializer::from_slice(&self.text).into_iter();
            for list in stream.by_ref() {
                match list {
                    Ok(list) => lists.push(list),
                    Err(e) if e.is_eof() => break,
                    Err(e) => return Err(e.into()),
                }
            }
            let read = stream.byte_offset();
            self.text.drain(..read);
        }
        if !self.is_amid() {
            self.text.clear();
        }
        if self.text.len() > LIST_MOST { Err(ListFault::TooLong) } else { Ok(lists) }
    }

    /// A list has begun and not ended.
    pub fn is_amid(&self) -> bool {
        !self.text.trim_ascii().is_empty()
    }
}
