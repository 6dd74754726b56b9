//! Connections to endpoints, in use and idle. An idle one is kept as its socket alone, without the buffers of the HTTP
//! library, which take many times its memory.

use super::budget::{Budget, Holder, Permit};
use super::monitored_connection::{MonitoredConnection, WriteProgress};
use super::upload::AttemptBody;
use gullpulley::{EndpointId, Settings, TcpConnection};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout, timeout_at};

/// Bytes buffered per connection and direction; also the limit on the size of an answer's head.
const MAX_ENDPOINT_BUFFER: usize = 16 * 1024;
/// The same where a large body is sent. Smaller writes fill a large receive buffer with more packets than it holds, and
/// what is dropped then is sent again only after a time-out that doubles.
const MAX_UPLOAD_BUFFER: usize = 64 * 1024;
/// Share of the endpoints' idle time-out after which idle connections are closed from this side: a request
/// written to a connection that the endpoint is just closing ends as a reset, and an unsafe one is then
/// lost for good.
const IDLE_SHARE: f64 = 0.7;
/// Idle time-out of connections where the settings have none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for connecting where the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a connection is wanted for.
#[derive(Clone, Copy, PartialEq)]
pub enum Purpose {
    /// A request with a small body.
    SmallBody,
    /// A request with a large body.
    LargeBody,
}

/// A connection on which no request is open.
struct IdleConnection {
    connection: MonitoredConnection,
    address: SocketAddr,
    opened: Instant,
    idle_since: Instant,
    permit: Permit,
}

/// A connection on which a request can be sent, or is.
pub struct EndpointConnection {
    /// Sends requests.
    pub sender: SendRequest<AttemptBody>,
    /// When it was opened.
    pub opened: Instant,
    /// How its writes proceed.
    pub write_progress: Rc<WriteProgress>,
    address: SocketAddr,
    /// Dropping this closes the connection, even if an answer is still to come.
    task: ConnectionTask,
    permit: Permit,
}

/// Serves a connection until its sender is dropped, and then returns it unless something unexpected has been read.
struct ConnectionTask(JoinHandle<Option<MonitoredConnection>>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The connections to all endpoints.
pub struct ConnectionPool {
    budget: Rc<Budget>,
    /// Idle connections, the most recently used last.
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// Starts without connections.
    pub fn new(settings: &Settings, budget: Rc<Budget>) -> Rc<Self> {
        let (connect, idle) = (settings.limits.connect_timeout, settings.limits.idle_close);
        let or_default = |time: Duration, default| if time.is_zero() { default } else { time };
        Rc::new(ConnectionPool {
            budget,
            idle: RefCell::default(),
            connect_timeout: or_default(connect, DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: or_default(idle.mul_f64(IDLE_SHARE), DEFAULT_IDLE_TIMEOUT),
        })
    }

    /// The most recently used idle connection that is ready for a request, so that the others age and can be closed.
    pub async fn take_idle(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        purpose: Purpose,
    ) -> Option<EndpointConnection> {
        loop {
            let idle = self.pop_idle(endpoint, address)?;
            if let Some(connection) = self.serve(idle, purpose).await {
                return Some(connection);
            }
        }
    }

    fn pop_idle(&self, endpoint: EndpointId, address: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        // At another address a different machine may be listening by now.
        std::iter::from_fn(|| connections.pop()).find(|idle| {
            idle.address == address
                && !self.is_too_old(idle)
                && !idle.connection.tcp().has_unexpected_input()
        })
    }

    /// Opens a connection; none if that fails, or takes longer than allowed.
    pub async fn connect(
        &self,
        address: SocketAddr,
        purpose: Purpose,
        until: Option<Instant>,
    ) -> Option<EndpointConnection> {
        let permit = loop {
            match self.budget.take(Holder::Endpoint) {
                Some(permit) => break permit,
                None if self.close_oldest_idle() => {}
                None => return None,
            }
        };
        // A machine that is cut off never answers: without a time limit the attempt would hang.
        let latest = Instant::now() + self.connect_timeout;
        let until = until.map_or(latest, |until| until.min(latest));
        let connection = timeout_at(until, TcpConnection::connect(address)).await.ok()?.ok()?;
        let (connection, opened) = (MonitoredConnection::new(connection), Instant::now());
        self.serve(IdleConnection { connection, address, opened, idle_since: opened, permit }, purpose)
            .await
    }

    /// Speaks HTTP on a connection; none if it turns out to be closed.
    async fn serve(&self, idle: IdleConnection, purpose: Purpose) -> Option<EndpointConnection> {
        let IdleConnection { connection, address, opened, permit, .. } = idle;
        let write_progress = connection.write_progress();
        let max_buffer = match purpose {
            Purpose::SmallBody => MAX_ENDPOINT_BUFFER,
            Purpose::LargeBody => MAX_UPLOAD_BUFFER,
        };
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(max_buffer).handshake(TokioIo::new(connection));
        let (mut sender, http) = handshake.await.ok()?;
        let task = ConnectionTask(spawn_local(async move {
            let parts = http.without_shutdown().await.ok()?;
            parts.read_buf.is_empty().then(|| parts.io.into_inner())
        }));
        let ready = timeout(self.connect_timeout, sender.ready()).await;
        matches!(ready, Ok(Ok(()))).then_some(EndpointConnection {
            sender,
            opened,
            write_progress,
            address,
            task,
            permit,
        })
    }

    /// Keeps a connection for reuse, once the HTTP library has let go of it.
    pub fn return_idle(self: &Rc<Self>, endpoint: EndpointId, connection: EndpointConnection) {
        let EndpointConnection { sender, opened, address, mut task, permit, .. } = connection;
        if sender.is_closed() {
            return;
        }
        let (idle_since, pool) = (Instant::now(), self.clone());
        drop(sender);
        spawn_local(async move {
            if let Ok(Some(connection)) = (&mut task.0).await {
                let idle = IdleConnection { connection, address, opened, idle_since, permit };
                pool.idle.borrow_mut().entry(endpoint).or_default().push(idle);
            }
        });
    }

    /// Closes idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes connections to an endpoint that have been idle since before the given time. A machine that is
    /// cut off from the network leaves them open and silent, and each would cost one more request all its
    /// time, whereas a new connection fails at once and proves that nothing ran.
    pub fn close_idle_before(&self, endpoint: EndpointId, since: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&endpoint) {
            connections.retain(|connection| connection.idle_since > since);
        }
    }

    /// Closes idle connections until the sockets in use are within this process's share.
    pub fn close_idle_over_budget(&self) {
        while self.budget.over_limit() && self.close_oldest_idle() {}
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(id, connections)| Some((connections.first()?.idle_since, *id))).min();
        let Some((_, id)) = oldest else { return false };
        idle.get_mut(&id).map(|connections| connections.remove(0)).is_some()
    }

    /// Closes connections that were idle for too long or closed by the endpoint.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain(|idle| !self.is_too_old(idle) && !idle.connection.tcp().has_reported_input());
            !connections.is_empty()
        });
    }

    fn is_too_old(&self, idle: &IdleConnection) -> bool {
        idle.idle_since.elapsed() >= self.idle_timeout
    }
}
