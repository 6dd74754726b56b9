//! Limits on sockets and memory: every client and endpoint connection holds a permit, so that the limits on
//! descriptors and memory are enforced by counting. A request in progress holds one too, for its memory.

use gullpulley::config::RESERVED_SOCKETS;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of clients above the limit that are accepted only to be refused; their sockets come from the
/// reserve.
const MAX_SHED_CLIENTS: usize = 24;
/// Maximum memory of a small request in progress, in KiB: its answer and the buffers of its attempts. A body that is not
/// tiny counts as much again.
const REQUEST_KIB: usize = 100;
/// Maximum memory of a large body or answer on its way, in KiB: the buffers of both connections, and one piece between
/// them. What is read ahead is counted by itself.
const STREAM_KIB: usize = 80;
/// Maximum memory of a client connection between requests, in KiB: an incomplete head, or the end of an answer.
const CONNECTION_KIB: usize = 32;
/// Memory of a piece of a large body that has been read ahead of its endpoint, in KiB.
pub const SEGMENT_KIB: usize = 16;

/// How the memory limit is divided, in parts of `MEMORY_PARTS`. The rest is for idle connections to endpoints, the
/// endpoint list, and the process itself.
const MEMORY_PARTS: usize = 32;
const CONNECTION_PARTS: usize = 8;
const REQUEST_PARTS: usize = 10;
const STREAM_PARTS: usize = 7;
const READ_AHEAD_PARTS: usize = 2;

/// What a permit is for.
#[derive(Clone, Copy, PartialEq)]
pub enum Holder {
    /// A client connection.
    Client,
    /// A client connection above the limit, accepted only to be refused.
    Shed,
    /// A connection to an endpoint.
    Endpoint,
    /// A small request in progress: memory, in addition to its connection's socket.
    Request,
    /// A request with a large body or answer.
    Stream,
    /// A piece of a large body that has been read ahead of its endpoint.
    ReadAhead,
}

/// The part of a sidecar's limits that this process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The share of the memory for permits, from 0 to 1.
    pub memory_share: f64,
    /// The number of sockets for clients and endpoints.
    pub sockets: usize,
}

/// Counts of permits in use, and their limits.
pub struct Budget {
    /// Sockets for clients and endpoints while this is the only process.
    total: usize,
    /// The limit on clients by memory.
    max_clients: usize,
    max_requests: usize,
    max_streams: usize,
    max_read_ahead: usize,
    memory_kib: usize,
    allowance: Cell<Allowance>,
    requests: Cell<usize>,
    streams: Cell<usize>,
    clients: Cell<usize>,
    shed: Cell<usize>,
    endpoints: Cell<usize>,
    read_ahead: Cell<usize>,
    released: Notify,
}

/// A permit for one socket or for the memory of one request; released when dropped.
pub struct Permit {
    budget: Rc<Budget>,
    holder: Holder,
}

impl Budget {
    /// A budget for this many descriptors and MiB of memory.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Self> {
        let total = sockets.saturating_sub(RESERVED_SOCKETS);
        // An attempt needs a socket too: clients must not use up the sockets that their own requests need.
        let fits =
            |parts: usize, each_kib: usize| (memory_mb * 1024 * parts / MEMORY_PARTS / each_kib).max(1);
        let max_clients = fits(CONNECTION_PARTS, CONNECTION_KIB);
        let max_requests = fits(REQUEST_PARTS, REQUEST_KIB);
        let max_streams = fits(STREAM_PARTS, STREAM_KIB);
        let max_read_ahead = fits(READ_AHEAD_PARTS, SEGMENT_KIB);
        let (requests, streams, clients, shed, endpoints, read_ahead) = Default::default();
        let allowance = Cell::new(Allowance { memory_share: 1.0, sockets: total });
        let released = Notify::new();
        Rc::new(Budget {
            total,
            max_clients,
            max_requests,
            max_streams,
            max_read_ahead,
            memory_kib: memory_mb * 1024,
            allowance,
            requests,
            streams,
            clients,
            shed,
            endpoints,
            read_ahead,
            released,
        })
    }

    /// A permit, if the limits allow one more.
    pub fn take(self: &Rc<Self>, holder: Holder) -> Option<Permit> {
        let fits = match holder {
            Holder::Client => self.clients_fit() && self.sockets_fit(),
            Holder::Shed => self.shed.get() < MAX_SHED_CLIENTS,
            Holder::Endpoint => self.sockets_fit(),
            Holder::Request => self.requests.get() < self.share_of(self.max_requests),
            Holder::Stream => self.streams.get() < self.share_of(self.max_streams),
            Holder::ReadAhead => self.allows_read_ahead(0),
        };
        fits.then(|| self.take_unconditionally(holder))
    }

    /// A permit for a holder that has its socket already, regardless of the limits.
    pub fn take_unconditionally(self: &Rc<Self>, holder: Holder) -> Permit {
        let count = self.count(holder);
        count.set(count.get() + 1);
        Permit { budget: self.clone(), holder }
    }

    /// Whether a large body that holds this many pieces may be read further ahead: no body takes more than is left for
    /// all others.
    pub fn allows_read_ahead(&self, held: usize) -> bool {
        let unused = self.share_of(self.max_read_ahead).saturating_sub(self.read_ahead.get());
        held < unused
    }

    /// Sets the part of the limits that this process may use. Permits above it remain valid until they are released.
    pub fn allow(&self, allowance: Allowance) {
        if self.allowance.replace(allowance) != allowance {
            self.released.notify_one(); // a client may fit now
        }
    }

    /// The part of the limits that this process may use.
    pub fn allowance(&self) -> Allowance {
        self.allowance.get()
    }

    /// The memory limit of the sidecar, in KiB.
    pub fn memory_kib(&self) -> usize {
        self.memory_kib
    }

    /// The part of that which permits may take, in KiB.
    pub fn permits_kib(&self) -> usize {
        self.memory_kib * (CONNECTION_PARTS + REQUEST_PARTS + STREAM_PARTS + READ_AHEAD_PARTS)
            / MEMORY_PARTS
    }

    /// The most memory that the permits in use may take, in KiB.
    pub fn permits_in_use_kib(&self) -> usize {
        (self.clients.get() + self.shed.get()) * CONNECTION_KIB
            + self.requests.get() * REQUEST_KIB
            + self.streams.get() * STREAM_KIB
            + self.read_ahead.get() * SEGMENT_KIB
    }

    /// Sockets of clients and endpoints while this is the only process.
    pub fn total_sockets(&self) -> usize {
        self.total
    }

    /// Whether one more client would fit but for the connections to endpoints.
    pub fn blocked_by_endpoints(&self) -> bool {
        self.clients_fit() && !self.sockets_fit()
    }

    /// Whether more sockets are in use than this process may use.
    pub fn over_limit(&self) -> bool {
        self.sockets_in_use() > self.allowance.get().sockets
    }

    fn clients_fit(&self) -> bool {
        self.clients.get() < self.client_limit()
    }

    fn client_limit(&self) -> usize {
        self.share_of(self.max_clients).min(self.allowance.get().sockets * 5 / 8).max(1)
    }

    fn sockets_fit(&self) -> bool {
        self.sockets_in_use() < self.allowance.get().sockets.max(1)
    }

    /// The part of a limit on memory that this process may use.
    fn share_of(&self, limit: usize) -> usize {
        ((limit as f64 * self.allowance.get().memory_share) as usize).max(1)
    }

    /// Whether at most an eighth of the client limit is unused.
    pub fn clients_near_limit(&self) -> bool {
        self.clients.get() * 8 >= self.client_limit() * 7
    }

    /// The number of connected clients, with those accepted only to be refused.
    pub fn clients(&self) -> usize {
        self.clients.get() + self.shed.get()
    }

    /// The number of permits in use for this.
    pub fn in_use_for(&self, holder: Holder) -> usize {
        self.count(holder).get()
    }

    /// Waits until a client's permit is released.
    pub async fn client_released(&self) {
        self.released.notified().await;
    }

    /// Sockets of clients and endpoints.
    pub fn sockets_in_use(&self) -> usize {
        self.clients.get() + self.endpoints.get()
    }

    fn count(&self, holder: Holder) -> &Cell<usize> {
        match holder {
            Holder::Client => &self.clients,
            Holder::Shed => &self.shed,
            Holder::Endpoint => &self.endpoints,
            Holder::Request => &self.requests,
            Holder::Stream => &self.streams,
            Holder::ReadAhead => &self.read_ahead,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.holder);
        count.set(count.get() - 1);
        if matches!(self.holder, Holder::Client | Holder::Shed) {
            self.budget.released.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
