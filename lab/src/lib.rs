//! The lab: a whole deployment emulated around real copies of the program, load, faults, checks and reports.
//!
//! It knows the program by its binary, its configuration, its sockets and its exit, and nothing else. An
//! [`experiment`] says what there is and what goes wrong; [`schedule`] draws from its seed what clients send;
//! [`deployment`] sets up [`endpoint`]s behind the relays of the [`network`], [`discovery`] and [`copies`]; [`run`]
//! lets [`load`] and faults loose on it; [`check`] says what held, [`report`] shows it, [`compare`] tells two variants apart. The [`ledger`] holds what the
//! endpoints saw, [`telling`] when each copy heard of a change.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod compare;
pub mod copies;
pub mod deployment;
pub mod discovery;
pub mod disk;
pub mod doors;
pub mod endpoint;
pub mod experiment;
pub mod http;
pub mod ledger;
pub mod load;
pub mod network;
/// The plan of injected faults, as the library that is loaded into copies reads it: its own file, as to link that
/// library would put its calls in front of the lab's.
#[path = "../faults/src/plan.rs"]
pub mod plan;
pub mod report;
pub mod run;
pub mod schedule;
pub mod seeds;
pub mod telling;
