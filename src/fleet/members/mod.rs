//! Membership: SWIM with suspicion by a maintained crate (foca), in frames of our own, and the number of
//! processes that share the work.
//!
//! `peer` is the identity of a process, `datagram` the frame and its validation, `swim` the crate with its
//! timers on a clock that stops while the process is stalled, `roster` the known members and how many share
//! the work, and `start_history` the latest starts on their state folders.

mod datagram;
mod peer;
mod roster;
mod start_history;
mod swim;

pub use datagram::{DropReason, MAX_DATAGRAM_BYTES};
pub use peer::{MAX_NAME_BYTES, Peer, Start};
pub use roster::{Standing, View};
pub use swim::{Counts, Event, Members, Output, Settings};
