//! Texts that the driver writes to the log.

use gullpulley::Outcome;
use tracing::info;

/// Number of unavailable endpoints of one list that get a log line each; more share one line, or they would
/// push out other lines.
const MAX_SEPARATE_LINES: usize = 16;

/// Logs which endpoints a list makes unavailable.
pub fn log_unavailable(uids: &[String], state: &str) {
    if uids.len() > MAX_SEPARATE_LINES {
        return info!(endpoints = uids.join(" "), "list: {} are {state}", uids.len());
    }
    for uid in uids {
        info!(endpoint = uid, "list: {uid} is {state}");
    }
}

/// The name of an outcome in the log and in the counts of unusual outcomes.
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
