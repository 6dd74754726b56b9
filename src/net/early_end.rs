//! Why a large body or answer that was being forwarded ended before it was complete.

/// Why forwarding ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// The client took no more bytes of its answer.
    ClientStalled,
    /// The client closed or reset its connection.
    ClientLeft,
    /// The endpoint closed its connection or broke the framing.
    EndpointBroke,
    /// The endpoint sent no more bytes.
    EndpointStalled,
    /// The answer exceeds the maximum length.
    TooLong,
    /// The answer does not end within the client's time.
    Endless,
    /// The memory for large answers was used up before any of it was forwarded.
    OutOfMemoryBudget,
    /// The client's connection failed, or this process ended.
    ConnectionClosed,
}

impl EarlyEnd {
    /// Its name in the log and the metrics.
    pub fn name(self) -> &'static str {
        match self {
            EarlyEnd::ClientStalled => "client stalled",
            EarlyEnd::ClientLeft => "client left",
            EarlyEnd::EndpointBroke => "endpoint broke",
            EarlyEnd::EndpointStalled => "endpoint stalled",
            EarlyEnd::TooLong => "too long",
            EarlyEnd::Endless => "endless",
            EarlyEnd::OutOfMemoryBudget => "out of memory budget",
            EarlyEnd::ConnectionClosed => "connection closed",
        }
    }

    /// Whether the endpoint of an answer has ended it, or has to be left for its sake.
    pub fn is_endpoint_failure(self) -> bool {
        matches!(
            self,
            EarlyEnd::EndpointBroke | EarlyEnd::EndpointStalled | EarlyEnd::TooLong | EarlyEnd::Endless
        )
    }

    /// Whether a client that goes away is all that it means.
    pub fn is_usual(self) -> bool {
        matches!(self, EarlyEnd::ClientLeft | EarlyEnd::ConnectionClosed)
    }
}
