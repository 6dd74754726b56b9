//! Inputs of the balancer: requests, outcomes of attempts, updates of the endpoint list, operator commands.

use super::{AttemptNo, ClassId, EndpointId, Membership, RequestId, TenantId, TimerToken};
use std::time::Duration;

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list, or a failure of discovery.
    Membership(Membership),
    /// A request arrived; it must get exactly one final answer.
    Request(Request),
    /// A streamed request body has been received completely: from the client's last byte on its time runs.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// Time until the client gives up on the request.
        time_left: Duration,
    },
    /// A streamed request body has been received and forwarded completely.
    BodyForwarded {
        /// The request.
        request: RequestId,
        /// Time until the client gives up on the request.
        time_left: Duration,
    },
    /// Sending a streamed request body has begun. It is not buffered, so the request can't be sent again.
    BodySendStarted(RequestId),
    /// A streamed answer has begun. From now on it is up to the client when the attempt ends.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// An endpoint has answered an attempt or a probe, with any status. Comes before the event for the end
    /// of either.
    Answered {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long the connection that carried the answer had been open.
        connected_for: Duration,
    },
    /// A streamed answer broke off or never ended at its endpoint, after its attempt had ended successfully.
    AnswerBroken {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The client disconnected, or its deadline has passed: no answer is needed any more.
    RequestGone(RequestId),
    /// A timer fired.
    Timer(TimerToken),
    /// A probe ended.
    ProbeEnded {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// Its outcome.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Duration,
        /// The values of [`LoadReports::fields`](crate::LoadReports::fields), if the answer had any.
        report: Option<Vec<f64>>,
    },
    /// An operator suspends an endpoint: it gets no new requests, whatever its state in the endpoint list.
    Suspend(EndpointId),
    /// An operator resumes a suspended endpoint, which was restarted meanwhile.
    Resume {
        /// The endpoint.
        endpoint: EndpointId,
        /// When it was resumed; its slow start begins then.
        at: Duration,
    },
    /// The number of processes that share this balancer's requests has changed, as during a hot restart.
    ProcessCountChanged {
        /// The new number, this process included.
        processes: u32,
    },
    /// The number of balancers that share the work of this tier has changed, and with it each one's subset.
    BalancerCountChanged {
        /// The new number, this one included; replaces [`Settings::balancers`](crate::Settings::balancers).
        balancers: u32,
    },
    /// A message from another balancer of this tier.
    PeerMessage {
        /// The number of the sender.
        from: u32,
        /// The content of the message.
        payload: Vec<u8>,
    },
}

/// A request as received from the client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Time until the client stops waiting for the answer to this try.
    pub time_left: Duration,
    /// Expected processor time on a standard core, if known.
    pub work_hint: Option<Duration>,
    /// Identifies what the request is about: related requests share a key.
    pub key: Option<u64>,
    /// The client has marked the request as a retry.
    pub client_retry: bool,
    /// The request modifies data.
    pub write: bool,
    /// The body is still arriving and is forwarded as it arrives. The request's deadline is known
    /// from [`Event::BodyReceived`](crate::Event::BodyReceived) on.
    pub streamed_body: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// The request is finished, by this outcome or earlier.
    pub finished: bool,
    /// The values of [`LoadReports::fields`](crate::LoadReports::fields), if the answer had any.
    pub report: Option<Vec<f64>>,
}

/// The ways an attempt or probe can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered successfully.
    Ok,
    /// The endpoint answered with an error; the request may have been processed.
    Error,
    /// The endpoint refused it, and states that it was not processed.
    NotProcessed,
    /// No answer within the time-out; the request may have been processed.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke; the request may have been processed.
    Reset,
    /// Cancelled after sending; the request may have been processed.
    Cancelled,
    /// Ended before anything was sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the endpoint has not processed the attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::NotProcessed | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

impl Event {
    /// A request of class 0 and tenant 0 without key, work hint or marks.
    pub fn request(id: RequestId, time_left: Duration) -> Self {
        Event::Request(Request {
            id,
            class: ClassId(0),
            tenant: TenantId(0),
            time_left,
            work_hint: None,
            key: None,
            client_retry: false,
            write: false,
            streamed_body: false,
        })
    }
}
