//! The processes among themselves: who is there, who has gone, and what each may take for its part of the work; and, where
//! there are voters, one log that they agree on and everybody follows.
//!
//! `members` and `log` decide, in made time and without I/O: they take datagrams or frames and ticks, and give datagrams or
//! frames, batches for the disk and statements. `host` is the only part that knows threads, rings, sockets and clocks.
//!
//! ```text
//! datagram -> datagrams thread -> ring -> members thread -> datagrams
//!                                    ^      |
//!            serving thread: order --+      +-> newest-wins cell -> serving thread -> policy event
//!                                           +-> newest-wins cell: who is where
//!                                                     v
//! connection -> streams thread -> ring -> log thread (log) -> ring -> streams thread -> ring -> connection
//!                                         ^      |     +-> newest-wins cell: how the log is
//!           disk thread -> ring: durable -+      +-> ring -> disk thread
//! ```
//!
//! | ring | holds | when it is full | who notices |
//! | --- | --- | --- | --- |
//! | datagrams to members | [`host::DEPTH`] datagrams | the newest is dropped, as any may be lost on its way | `fleet_dropped_total{reason="full"}` |
//! | orders to members | [`host::ORDERS`] | the order is refused; there is one, to leave, and it is given once | the log |
//! | streams to log | [`host::FRAMES`] frames | the newest is dropped: whoever says it says it again | `fleet_log_frames_lost_total` |
//! | log to streams | as many | the same | the same |
//! | streams to a peer | [`host::PEER_DEPTH`] frames | the same; other peers' go on | the same |
//! | log to disk | [`crate::state::writer::DEPTH`] batches | the log's thread keeps them, and says nothing that rests on them | `state_refused_total` |
//! | disk to log | [`host::DISK_DEPTH`] statements | the disk's thread waits | `state_stuck_seconds` |
//! | view to serving | one view, the newest | the older is replaced | nobody: it says how things are, not what happened |
//!
//! The serving thread waits for none of them. Without a `[fleet]` section there is no socket and no thread; without
//! `fleet.voters` none of the log.
//!
//! Membership is advice: a process that hears of nobody serves as it would without a fleet, and an address that is heard
//! of here is never sent a request.

pub mod host;
pub mod log;
pub mod members;
mod sequence_window;
