//! What is to be done, and what operators may ask.

use super::{AttemptNo, EndpointId, RequestId, TimerToken};
use std::time::Duration;

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Give up on it after this long.
        timeout: Duration,
        /// Not to be written to the endpoint later than this from now, however long connecting takes: a
        /// repeat's window is over by then, or the lease on the endpoint list has run out. The attempt ends as moot.
        write_within: Option<Duration>,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to stay away this long.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Wake the balancer.
    SetTimer {
        /// Comes back with the event.
        token: TimerToken,
        /// From now.
        after: Duration,
    },
    /// Follow changes of the endpoint list (or stop).
    Watch(bool),
    /// Ask for the complete list once.
    FetchList,
    /// Ask an endpoint for its load.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A line for the operators.
    Log(String),
}

/// What operators may ask of a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BalancerStats {
    /// Endpoints in the list.
    pub members: usize,
    /// Those among them that get nothing new now: draining, suspended, or avoided for their failures.
    pub unavailable: usize,
    /// Requests held until there is room.
    pub queued: usize,
    /// Requests held since the start as the lease on the endpoint list had run out.
    pub queued_without_lease: u64,
    /// For how long that lease has been out of force since the start.
    pub time_without_lease: Duration,
    /// Of the own zone, and of all others together.
    pub windows: [WindowStats; 2],
}

/// How many own attempts are out, and how many may be.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowStats {
    /// Attempts that may be out.
    pub size: f64,
    /// Attempts that are.
    pub in_flight: u32,
}
