//! Outputs of the balancer: actions for its caller to carry out, and statistics for operators.

use super::{AttemptNo, EndpointId, RequestId, TimerToken};
use std::time::Duration;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The time-out of the attempt.
        timeout: Duration,
        /// The attempt must not be written to the endpoint later than this from now, however long
        /// connecting takes: the window for retries of a keyed request is over by then, or the lease on the
        /// endpoint list has expired. An attempt not written by then ends as
        /// [`Outcome::NotSent`](crate::Outcome::NotSent).
        write_within: Option<Duration>,
    },
    /// Final answer: refused. The client may safely retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advise the client to wait this long before it retries.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed. The request may or may not have been processed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Set a timer for the balancer.
    SetTimer {
        /// Passed back in [`Event::Timer`](crate::Event::Timer).
        token: TimerToken,
        /// Time from now until it fires.
        after: Duration,
    },
    /// Start a watch of the endpoint list (`true`), or stop it.
    Watch(bool),
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Probe an endpoint for its health and load.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Write a log line.
    Log(String),
}

/// Statistics of a balancer, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BalancerStats {
    /// Endpoints in the endpoint list.
    pub members: usize,
    /// Endpoints in the list that get no new requests now: draining, suspended, or avoided for their
    /// failures.
    pub unavailable: usize,
    /// Requests queued until there is capacity.
    pub queued: usize,
    /// Requests queued since the start because the lease on the endpoint list had expired.
    pub queued_without_lease: u64,
    /// Total time since the start for which that lease was expired.
    pub time_without_lease: Duration,
    /// The concurrency window of the own zone, and that of all other zones together.
    pub windows: [WindowStats; 2],
}

/// Limit and current number of this balancer's attempts in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowStats {
    /// Attempts that may be in flight.
    pub size: f64,
    /// Attempts that are in flight.
    pub in_flight: u32,
}
