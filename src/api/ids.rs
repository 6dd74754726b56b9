//! Identifiers of requests, attempts, endpoints and other objects.

/// Identifies a request. Assigned by the caller; never reused after the request has finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);
/// Identifies a server process that requests can be sent to; stays the same across restarts of the process.
/// All balancers should use the same id for an endpoint, such as a hash of its address: the balancers
/// inside a tier choose their subsets of the endpoints by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u64);
/// Number of an attempt within its request: 0, 1, 2 ... in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);
/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub usize);
/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);
/// Identifies a zone (data centre). Requests that cross zones may cost more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);
/// Identifies a cell: a small set of endpoints that share their record of the idempotency keys that they
/// have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u64);
/// Identifies a kind of machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindId(pub u32);
/// Identifies a timer of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimerToken(pub u64);
