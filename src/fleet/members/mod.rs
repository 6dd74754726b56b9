//! Who is there: SWIM with suspicion by a kept crate (foca), in frames of our own, with what follows for shares.
//!
//! `peer` is who a process is to the others, `datagram` the frame and what is dropped at it, `swim` the crate with its
//! timers on a clock that stands while the process does, `roster` what is known of whom and how many share the work, `starts`
//! what is remembered of their state folders.

mod datagram;
mod peer;
mod roster;
mod starts;
mod swim;

pub use datagram::{DropReason, MAX_DATAGRAM_BYTES};
pub use peer::{MAX_NAME_BYTES, Peer, Start};
pub use roster::{Standing, View};
pub use swim::{Counts, Event, Members, Output, Settings};
