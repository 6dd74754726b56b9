//! The processes among themselves. So far: who is there, who has gone, and what each may take for its part of the work.
//!
//! `members` decides, in made time and without I/O: it takes datagrams and ticks, and gives datagrams and statements.
//! `host` is the only part that knows threads, rings, sockets and clocks.
//!
//! ```text
//! datagram -> net thread -> ring -> agree thread (members) -> datagrams
//!                                    ^      |
//!            serving thread: order --+      +-> newest-wins cell -> serving thread -> policy event
//! ```
//!
//! | ring | holds | when it is full | who notices |
//! | --- | --- | --- | --- |
//! | net to agree | [`host::DEPTH`] datagrams | the newest is dropped, as any may be lost on its way | `fleet_dropped_total{reason="full"}` |
//! | orders to agree | [`host::ORDERS`] | the order is refused; there is one, to leave, and it is given once | the log |
//! | view to serving | one view, the newest | the older is replaced | nobody: it says how things are, not what happened |
//!
//! The serving thread waits for none of them. Without a `[fleet]` section there is no socket and no thread.
//!
//! Membership is advice: a process that hears of nobody serves as it would without a fleet, and an address that is heard
//! of here is never sent a request.

pub mod host;
pub mod members;
