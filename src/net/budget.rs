//! The budget of sockets: every client and endpoint connection holds a permit, so that the limits
//! on descriptors and memory are kept by count. A request in work holds one too, for its memory.

use gullpulley::config::RESERVE;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Clients over the cap that may still be told so, out of the reserve.
const SHED_MOST: usize = 24;
/// The most memory that a request in work may take with its buffers, bodies and attempt, in KiB.
const REQUEST_KIB: usize = 160;
/// The most that a client's connection may take between requests: a head that is never whole, in KiB.
const CONNECTION_KIB: usize = 64;

/// Who holds a socket, or memory.
#[derive(Clone, Copy, PartialEq)]
pub enum Holder {
    /// A client.
    Client,
    /// A client over the cap, only to be refused.
    Shed,
    /// A connection to an endpoint.
    Endpoint,
    /// A request in work: memory, beside its connection's socket.
    Request,
}

/// Counts of the sockets in use, and how many may be.
pub struct Budget {
    total: usize,
    clients_most: usize,
    requests_most: usize,
    /// Processes of this sidecar: each keeps to its part.
    sharers: Cell<usize>,
    requests: Cell<usize>,
    clients: Cell<usize>,
    shed: Cell<usize>,
    endpoints: Cell<usize>,
    freed: Notify,
}

/// One socket or share of memory in use; gives it back when dropped.
pub struct Permit {
    budget: Rc<Budget>,
    holder: Holder,
}

impl Budget {
    /// A budget within so many descriptors and MiB of memory.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Self> {
        let total = sockets.saturating_sub(RESERVE);
        // An attempt needs a socket too: clients must not take what their own requests go out on.
        // Most connections are idle or silent at any time, and take far less than a request in work.
        let clients_most = (total * 5 / 8).min(memory_mb * 1024 / 4 / CONNECTION_KIB).max(1);
        let requests_most = (memory_mb * 1024 / 2 / REQUEST_KIB).max(1);
        let (requests, clients, shed, endpoints) = Default::default();
        let (sharers, freed) = (Cell::new(1), Notify::new());
        Rc::new(Budget {
            total,
            clients_most,
            requests_most,
            sharers,
            requests,
            clients,
            shed,
            endpoints,
            freed,
        })
    }

    /// A permit, if there is room for one.
    pub fn take(self: &Rc<Self>, holder: Holder) -> Option<Permit> {
        let room = match holder {
            Holder::Client => self.clients_fit() && self.sockets_fit(),
            Holder::Shed => self.shed.get() < self.part(SHED_MOST),
            Holder::Endpoint => self.sockets_fit(),
            Holder::Request => self.requests.get() < self.part(self.requests_most),
        };
        room.then(|| self.take_unconditionally(holder))
    }

    /// A permit for what holds its socket already, whether there is room or not.
    pub fn take_unconditionally(self: &Rc<Self>, holder: Holder) -> Permit {
        let count = self.count(holder);
        count.set(count.get() + 1);
        Permit { budget: self.clone(), holder }
    }

    /// Parts everything among so many processes; whether they are not as many as before. What is held over
    /// the part stays held until it ends.
    pub fn share(&self, processes: usize) -> bool {
        self.sharers.replace(processes.max(1)) != processes.max(1)
    }

    /// Whether only the connections to endpoints stand in the way of one more client.
    pub fn blocked_by_endpoints(&self) -> bool {
        self.clients_fit() && !self.sockets_fit()
    }

    /// Whether more sockets are held than there is a part for.
    pub fn over_limit(&self) -> bool {
        self.in_use() > self.part(self.total)
    }

    fn clients_fit(&self) -> bool {
        self.clients.get() < self.part(self.clients_most)
    }

    fn sockets_fit(&self) -> bool {
        self.in_use() < self.part(self.total)
    }

    fn part(&self, whole: usize) -> usize {
        (whole / self.sharers.get()).max(1)
    }

    /// Whether no more than an eighth of the clients' places are left.
    pub fn clients_near_limit(&self) -> bool {
        self.clients.get() * 8 >= self.part(self.clients_most) * 7
    }

    /// Connected clients.
    pub fn clients(&self) -> usize {
        self.clients.get() + self.shed.get()
    }

    /// Waits until a client's socket comes free.
    pub async fn client_released(&self) {
        self.freed.notified().await;
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
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.holder);
        count.set(count.get() - 1);
        if matches!(self.holder, Holder::Client | Holder::Shed) {
            self.budget.freed.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
