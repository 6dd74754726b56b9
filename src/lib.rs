//! The decisions of a load balancer between services: which endpoint gets which request, and when to retry.
//!
//! [`Balancer`] performs no I/O and reads no clock. Pass it [`Event`]s with timestamps of your own
//! clock, and carry out the [`Action`]s that it appends:
//!
//! ```
//! use gullpulley::{Action, Balancer, EndpointInfo, Event, Membership, RequestId, Settings};
//! use std::time::Duration;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, Duration::ZERO)?;
//! let mut actions = Vec::new();
//! let list = vec![EndpointInfo::ready(1), EndpointInfo::ready(2), EndpointInfo::ready(3)];
//! balancer.handle(Duration::ZERO, Event::Membership(Membership::Full(list)), &mut actions);
//!
//! let left = Duration::from_millis(800);
//! balancer.handle(Duration::from_millis(5), Event::request(RequestId(42), left), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(42), .. })));
//! # Ok::<(), gullpulley::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

pub mod adapter;
mod api;
pub mod config;
mod connection;
pub mod fleet;
mod names;
mod policy;
pub mod state;
mod stats;

pub use api::*;
pub use connection::{TcpConnection, is_local_failure};
pub use names::{EndpointNames, stable_hash};
pub use policy::{
    Balancer, Continuity, DiscoverySchedule, LISTING_DELAY, LeaseEnd, LeaseEndReason, ListLease,
};
