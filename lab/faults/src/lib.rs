//! Fault injection at the C library's border, for copies of the program that the lab starts.
//!
//! Loaded with `LD_PRELOAD`, the library stands in front of the calls in `calls` and lets some of them fail in the
//! ways that Linux documents, by the [`plan::Plan`] in the variable [`plan::VARIABLE`]. What it injects is written to a
//! file, a line each: milliseconds from the process's start, the call, what was done.

mod calls;
mod draws;
pub mod plan;
mod process;
mod real;
