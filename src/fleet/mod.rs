//! The fleet: membership (which members are up, and how many share the work) and, where voters are configured, one
//! replicated log that the voters agree on and every other process follows.
//!
//! `members` and `log` hold the protocols, without I/O and with the time passed in: their input is datagrams or frames
//! and ticks, their output datagrams or frames, batches for the disk and notifications. Only `host` uses threads,
//! channels, sockets and clocks.
//!
//! ```text
//! datagram -> datagrams thread -> channel -> members thread -> datagrams
//!                                       ^      |
//!            serving thread: command ---+      +-> watch channel -> serving thread -> policy event
//!                                              +-> watch channel: addresses of members
//!                                                        v
//! connection -> streams thread -> channel -> log thread (log) -> channel -> streams thread -> channel -> connection
//!                                            ^      |     +-> watch channel: status of the log
//!           disk thread -> channel: durable -+      +-> channel -> disk thread
//! ```
//!
//! | channel | holds | when it is full | where it shows |
//! | --- | --- | --- | --- |
//! | datagrams to members | [`host::DATAGRAM_CAPACITY`] datagrams | the newest is dropped, as any may be lost in transit | `fleet_dropped_total{reason="full"}` |
//! | commands to members | [`host::COMMAND_CAPACITY`] | the command is refused; the only one is to leave, and it is sent once | the log |
//! | streams to log | [`host::FRAME_CAPACITY`] frames | the newest is dropped, as senders repeat their messages | `fleet_log_frames_lost_total` |
//! | log to streams | as many | the same | the same |
//! | streams to a peer | [`host::PEER_FRAME_CAPACITY`] frames | the same; frames to other peers are not affected | the same |
//! | log to disk | [`crate::state::writer::QUEUE_CAPACITY`] batches | the log thread keeps them and sends nothing that depends on them | `state_refused_total` |
//! | disk to log | [`host::DISK_EVENT_CAPACITY`] notifications | the disk thread blocks | `state_stuck_seconds` |
//! | view to serving | one view, the newest | the older one is replaced | nowhere: a view is a state, not an event |
//!
//! The serving thread blocks on none of them. Without a `[fleet]` section there is no socket and no thread, and without
//! `fleet.voters` there is no log thread.
//!
//! Membership is advisory: a process that hears from no member serves as it would without a fleet, and no request is ever
//! sent to an address learned from membership.

pub mod host;
pub mod log;
pub mod members;
mod sequence_window;
