//! Limits on sockets and memory: every client and endpoint connection holds a permit, so that the limits on
//! descriptors and memory are enforced by counting. A request in progress holds one too, for its memory.

use gullpulley::config::RESERVED_SOCKETS;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of clients above the limit that are accepted only to be refused; their sockets come from the
/// reserve.
const MAX_SHED_CLIENTS: usize = 24;
/// Maximum memory of a request in progress, with its buffers, bodies and attempt, in KiB.
const REQUEST_KIB: usize = 160;
/// Memory of a piece of a large body that has been read ahead of its endpoint, in KiB.
pub const SEGMENT_KIB: usize = 16;
/// Share of the memory limit that bodies read ahead may take.
const READ_AHEAD_SHARE: usize = 8;
/// Maximum memory of a client connection between requests, reached by an incomplete request head, in KiB.
const CONNECTION_KIB: usize = 64;

/// What a permit is for.
#[derive(Clone, Copy, PartialEq)]
pub enum Holder {
    /// A client connection.
    Client,
    /// A client connection above the limit, accepted only to be refused.
    Shed,
    /// A connection to an endpoint.
    Endpoint,
    /// A request in progress: memory, in addition to its connection's socket.
    Request,
    /// A piece of a large body that has been read ahead of its endpoint.
    ReadAhead,
}

/// Counts of permits in use, and their limits.
pub struct Budget {
    total: usize,
    max_clients: usize,
    max_requests: usize,
    max_read_ahead: usize,
    /// The number of processes of this sidecar; each may use an equal share.
    processes: Cell<usize>,
    requests: Cell<usize>,
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
        // Most connections are idle or silent at any time, and take far less memory than a request in
        // progress.
        let max_clients = (total * 5 / 8).min(memory_mb * 1024 / 4 / CONNECTION_KIB).max(1);
        let max_requests = (memory_mb * 1024 / 2 / REQUEST_KIB).max(1);
        let max_read_ahead = memory_mb * 1024 / READ_AHEAD_SHARE / SEGMENT_KIB;
        let (requests, clients, shed, endpoints, read_ahead) = Default::default();
        let (processes, released) = (Cell::new(1), Notify::new());
        Rc::new(Budget {
            total,
            max_clients,
            max_requests,
            max_read_ahead,
            processes,
            requests,
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
            Holder::Shed => self.shed.get() < self.share_of(MAX_SHED_CLIENTS),
            Holder::Endpoint => self.sockets_fit(),
            Holder::Request => self.requests.get() < self.share_of(self.max_requests),
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

    /// Divides the limits among this many processes; returns whether the number has changed. Permits above
    /// the new share remain valid until they are released.
    pub fn share(&self, count: usize) -> bool {
        self.processes.replace(count.max(1)) != count.max(1)
    }

    /// Whether one more client would fit but for the connections to endpoints.
    pub fn blocked_by_endpoints(&self) -> bool {
        self.clients_fit() && !self.sockets_fit()
    }

    /// Whether more sockets are in use than this process's share.
    pub fn over_limit(&self) -> bool {
        self.in_use() > self.share_of(self.total)
    }

    fn clients_fit(&self) -> bool {
        self.clients.get() < self.share_of(self.max_clients)
    }

    fn sockets_fit(&self) -> bool {
        self.in_use() < self.share_of(self.total)
    }

    fn share_of(&self, limit: usize) -> usize {
        (limit / self.processes.get()).max(1)
    }

    /// Whether at most an eighth of the client limit is unused.
    pub fn clients_near_limit(&self) -> bool {
        self.clients.get() * 8 >= self.share_of(self.max_clients) * 7
    }

    /// The number of connected clients, with those accepted only to be refused.
    pub fn clients(&self) -> usize {
        self.clients.get() + self.shed.get()
    }

    /// Waits until a client's permit is released.
    pub async fn client_released(&self) {
        self.released.notified().await;
    }

    fn in_use(&self) -> usize {
        self.clients.get() + self.endpoints.get()
    }

    fn count(&self, holder: Holder) -> &Cell<usize> {
        match holder {
            Holder::Client => &self.clients,
            Holder::Shed => &self.shed,
            Holder::Endpoint => &self.endpoints,
            Holder::Request => &self.requests,
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
