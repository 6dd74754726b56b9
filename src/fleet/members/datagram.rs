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

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;
use thiserror::Error;

/// The longest datagram: it passes any ordinary network in one piece.
pub const DATAGRAM_MOST: usize = 1400;
/// Bytes of the frame before foca's own.
pub(super) const HEAD: usize = 25;
/// The form of datagrams that this build speaks.
const VERSION: u8 = 1;
/// Datagrams of a life that may overtake each other: one further behind the newest counts as old.
const OVERTAKEN: u64 = 64;
/// A life of which nothing has come for so long is forgotten, if there are many.
const FORGET: Duration = Duration::from_secs(600);
/// Lives that are remembered in any case.
const LIVES: usize = 256;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Dropped {
    /// Not what was sent: cut short or changed.
    #[error("torn")]
    Torn,
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
    Senseless,
}

/// Seals what goes out, and opens what comes in.
pub(super) struct Frames {
    cluster: String,
    life: u64,
    sent: u64,
    lives: HashMap<u64, Window>,
}

/// Which datagrams of a life have come: the newest, and a bit for each of those before it.
struct Window {
    newest: u64,
    before: u64,
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
        let sum = self.sum(&datagram[4..]).to_le_bytes();
        datagram[..4].copy_from_slice(&sum);
        datagram
    }

    /// What foca said, where it is to be heard.
    pub(super) fn open<'a>(&mut self, now: Duration, datagram: &'a [u8]) -> Result<&'a [u8], Dropped> {
        let (sum, sealed) = datagram.split_first_chunk::<4>().ok_or(Dropped::Torn)?;
        let (version, rest) = sealed.split_first().ok_or(Dropped::Torn)?;
        let (cluster, rest) = rest.split_first_chunk::<4>().ok_or(Dropped::Torn)?;
        let (life, rest) = rest.split_first_chunk::<8>().ok_or(Dropped::Torn)?;
        let (number, content) = rest.split_first_chunk::<8>().ok_or(Dropped::Torn)?;
        let ours = u32::from_le_bytes(*cluster) == crc32fast::hash(self.cluster.as_bytes());
        if self.sum(sealed) != u32::from_le_bytes(*sum) {
            // Another cluster's has another sum: it tells itself by the name's, where that came whole.
            return Err(if ours { Dropped::Torn } else { Dropped::Foreign });
        }
        if *version > VERSION {
            return Err(Dropped::Newer);
        }
        let (life, number) = (u64::from_le_bytes(*life), u64::from_le_bytes(*number));
        if life == self.life || !self.is_new(now, life, number) { Err(Dropped::Old) } else { Ok(content) }
    }

    fn is_new(&mut self, now: Duration, life: u64, number: u64) -> bool {
        if self.lives.len() > LIVES {
            self.lives.retain(|_, window| now.saturating_sub(window.heard) < FORGET);
        }
        let window = match self.lives.entry(life) {
            Entry::Vacant(entry) => {
                entry.insert(Window { newest: number, before: 0, heard: now });
                return true;
            }
            Entry::Occupied(entry) => entry.into_mut(),
        };
        window.heard = now;
        if number > window.newest {
            let ahead = number - window.newest;
            let shift = |bits: u64, by: u64| if by < OVERTAKEN { bits << by } else { 0 };
            window.before = shift(window.before, ahead) | shift(1, ahead - 1);
            window.newest = number;
            return true;
        }
        let behind = window.newest - number;
        let bit = if (1..=OVERTAKEN).contains(&behind) { 1 << (behind - 1) } else { return false };
        let new = window.before & bit == 0;
        window.before |= bit;
        new
    }

    fn sum(&self, sealed: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(self.cluster.as_bytes());
        hasher.update(&[0]);
        hasher.update(sealed);
        hasher.finalize()
    }
}
