//! The frame of a datagram, and what is dropped at it: what was torn on its way, comes from another cluster or a later
//! build, or has been here before.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | CRC-32 over the cluster's name, a zero byte, and all that follows |
//! | 1 | version |
//! | 4 | CRC-32 of the cluster's name |
//! | 8 | the sender's life: drawn at its start |
//! | 8 | number of the datagram in that life, from 1 |
//! | rest | what foca says |

use crate::fleet::sequence_window::SequenceWindow;
use crate::state::record::checksum;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;
use thiserror::Error;

/// The longest datagram: it passes any ordinary network in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes of the frame before foca's own.
pub(super) const HEAD: usize = 25;
/// The form of datagrams that this build speaks.
const VERSION: u8 = 1;
/// A life of which nothing has come for so long is forgotten, if there are many.
const FORGET: Duration = Duration::from_secs(600);
/// Lives that are remembered in any case.
const LIVES: usize = 256;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// Not what was sent: cut short or changed.
    #[error("torn")]
    Corrupt,
    /// From another cluster, or no datagram of a fleet at all.
    #[error("of another cluster")]
    Foreign,
    /// From a build with a later form.
    #[error("of a later form")]
    Newer,
    /// It has come before, or is far behind others of its sender.
    #[error("old or twice")]
    Old,
    /// Whole, but it says nothing that it could.
    #[error("senseless")]
    Malformed,
}

/// Seals what goes out, and opens what comes in.
pub(super) struct Frames {
    cluster: String,
    life: u64,
    sent: u64,
    lives: HashMap<u64, Life>,
}

/// Which datagrams of a life have come, and when the last did.
struct Life {
    seen: SequenceWindow,
    heard: Duration,
}

impl Frames {
    pub(super) fn new(cluster: String, life: u64) -> Self {
        Frames { cluster, life, sent: 0, lives: HashMap::new() }
    }

    pub(super) fn seal(&mut self, content: &[u8]) -> Vec<u8> {
        self.sent += 1;
        let mut datagram = vec![0; 4];
        datagram.push(VERSION);
        datagram.extend(crc32fast::hash(self.cluster.as_bytes()).to_le_bytes());
        datagram.extend(self.life.to_le_bytes());
        datagram.extend(self.sent.to_le_bytes());
        datagram.extend(content);
        let sum = checksum(&self.cluster, &datagram[4..]).to_le_bytes();
        datagram[..4].copy_from_slice(&sum);
        datagram
    }

    /// What foca said, where it is to be heard.
    pub(super) fn open<'a>(&mut self, now: Duration, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let (told, sealed) = datagram.split_first_chunk::<4>().ok_or(DropReason::Corrupt)?;
        let (version, rest) = sealed.split_first().ok_or(DropReason::Corrupt)?;
        let (cluster, rest) = rest.split_first_chunk::<4>().ok_or(DropReason::Corrupt)?;
        let (life, rest) = rest.split_first_chunk::<8>().ok_or(DropReason::Corrupt)?;
        let (number, content) = rest.split_first_chunk::<8>().ok_or(DropReason::Corrupt)?;
        let ours = u32::from_le_bytes(*cluster) == crc32fast::hash(self.cluster.as_bytes());
        if checksum(&self.cluster, sealed) != u32::from_le_bytes(*told) {
            // Another cluster's has another sum: it tells itself by the name's, where that came whole.
            return Err(if ours { DropReason::Corrupt } else { DropReason::Foreign });
        }
        if *version > VERSION {
            return Err(DropReason::Newer);
        }
        let (life, number) = (u64::from_le_bytes(*life), u64::from_le_bytes(*number));
        if life == self.life || !self.is_new(now, life, number) {
            Err(DropReason::Old)
        } else {
            Ok(content)
        }
    }

    fn is_new(&mut self, now: Duration, life: u64, number: u64) -> bool {
        if self.lives.len() > LIVES {
            self.lives.retain(|_, life| now.saturating_sub(life.heard) < FORGET);
        }
        match self.lives.entry(life) {
            Entry::Vacant(entry) => {
                entry.insert(Life { seen: SequenceWindow::first(number), heard: now });
                true
            }
            Entry::Occupied(entry) => {
                let life = entry.into_mut();
                life.heard = now;
                life.seen.insert(number)
            }
        }
    }
}
