//! The frame of a datagram and its validation: datagrams that are corrupt, from another cluster, from a
//! later build, or duplicates are dropped.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | CRC-32 over the cluster's name, a zero byte, and all that follows |
//! | 1 | version |
//! | 4 | CRC-32 of the cluster's name |
//! | 8 | instance id of the sender: random, drawn at its start |
//! | 8 | sequence number of the datagram from that instance, from 1 |
//! | rest | the content |

use crate::fleet::sequence_window::SequenceWindow;
use crate::state::record::checksum;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;
use thiserror::Error;

/// Limit on a datagram, in bytes: it passes ordinary networks without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Length of the frame's header, in bytes.
pub(super) const HEADER_LEN: usize = 25;
/// Version of the datagram format of this build.
const VERSION: u8 = 1;
/// Retention of a silent sender, once more than [`MIN_SENDERS`] are remembered.
const SENDER_RETENTION: Duration = Duration::from_secs(600);
/// Number of senders that are remembered without expiry.
const MIN_SENDERS: usize = 256;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// Truncated or altered in transit.
    #[error("torn")]
    Corrupt,
    /// From another cluster, or not a datagram of a fleet at all.
    #[error("from another cluster")]
    Foreign,
    /// From a build with a later version of the format.
    #[error("later format version")]
    Newer,
    /// A duplicate, or far behind other datagrams of its sender.
    #[error("old or duplicate")]
    Old,
    /// The checksum matches, but the content is not valid.
    #[error("senseless")]
    Malformed,
}

/// Adds the frame to outgoing datagrams, and validates and removes it on incoming ones.
pub(super) struct FrameCodec {
    cluster: String,
    instance: u64,
    sent: u64,
    senders: HashMap<u64, Sender>,
}

/// The sequence numbers received from one instance, and when the last datagram arrived.
struct Sender {
    seen: SequenceWindow,
    last_received: Duration,
}

impl FrameCodec {
    pub(super) fn new(cluster: String, instance: u64) -> Self {
        FrameCodec { cluster, instance, sent: 0, senders: HashMap::new() }
    }

    pub(super) fn seal(&mut self, content: &[u8]) -> Vec<u8> {
        self.sent += 1;
        let mut datagram = vec![0; 4];
        datagram.push(VERSION);
        datagram.extend(crc32fast::hash(self.cluster.as_bytes()).to_le_bytes());
        datagram.extend(self.instance.to_le_bytes());
        datagram.extend(self.sent.to_le_bytes());
        datagram.extend(content);
        let checksum = checksum(&self.cluster, &datagram[4..]).to_le_bytes();
        datagram[..4].copy_from_slice(&checksum);
        datagram
    }

    /// The content of a datagram that passes validation.
    pub(super) fn open<'a>(&mut self, now: Duration, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let (stored_checksum, payload) = datagram.split_first_chunk::<4>().ok_or(DropReason::Corrupt)?;
        let (version, rest) = payload.split_first().ok_or(DropReason::Corrupt)?;
        let (cluster, rest) = rest.split_first_chunk::<4>().ok_or(DropReason::Corrupt)?;
        let (instance, rest) = rest.split_first_chunk::<8>().ok_or(DropReason::Corrupt)?;
        let (sequence, content) = rest.split_first_chunk::<8>().ok_or(DropReason::Corrupt)?;
        let ours = u32::from_le_bytes(*cluster) == crc32fast::hash(self.cluster.as_bytes());
        if checksum(&self.cluster, payload) != u32::from_le_bytes(*stored_checksum) {
            // The checksum of another cluster's datagram differs too; the CRC of the name tells the two
            // apart, if intact.
            return Err(if ours { DropReason::Corrupt } else { DropReason::Foreign });
        }
        if *version > VERSION {
            return Err(DropReason::Newer);
        }
        let (instance, sequence) = (u64::from_le_bytes(*instance), u64::from_le_bytes(*sequence));
        if instance == self.instance || !self.is_new(now, instance, sequence) {
            Err(DropReason::Old)
        } else {
            Ok(content)
        }
    }

    fn is_new(&mut self, now: Duration, instance: u64, sequence: u64) -> bool {
        if self.senders.len() > MIN_SENDERS {
            self.senders.retain(|_, sender| now.saturating_sub(sender.last_received) < SENDER_RETENTION);
        }
        match self.senders.entry(instance) {
            Entry::Vacant(entry) => {
                entry.insert(Sender { seen: SequenceWindow::first(sequence), last_received: now });
                true
            }
            Entry::Occupied(entry) => {
                let sender = entry.into_mut();
                sender.last_received = now;
                sender.seen.insert(sequence)
            }
        }
    }
}
