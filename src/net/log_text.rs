//! What the driver writes to the log in words of its own.

use gullpulley::Outcome;
use tracing::info;

/// Endpoints that one list takes out in a line of the log each; more share one, or they would push other lines out.
const MAX_SEPARATE_LINES: usize = 16;

/// Says in the log which endpoints a list takes out.
pub fn log_unavailable(uids: &[String], state: &str) {
    if uids.len() > MAX_SEPARATE_LINES {
        return info!(endpoints = uids.join(" "), "list: {} are {state}", uids.len());
    }
    for uid in uids {
        info!(endpoint = uid, "list: {uid} is {state}");
    }
}

/// An outcome as the log and the counts of unusual ones name it.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::NotProcessed => "turned away",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "not connected",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}
