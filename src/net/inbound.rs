//! Client connections: accepts requests, returns final answers, and drains on shutdown.
//!
//! `connection` serves one connection, `exchange` one request on it, `drain` all connections until the process ends.

mod connection;
mod drain;
mod exchange;

use super::budget::{Budget, Holder, Permit};
use super::counters::Counters;
use super::message::Inbox;
use super::outbound::Outbound;
use super::process_phase::Phase;
use super::request::RequestParser;
use super::request_ids::RequestIds;
use super::streaming_clients::StreamingClients;
use gullpulley::is_local_failure;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, error};

/// Wait after a failed accept: without free descriptors the next call would fail at once, in a busy loop.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Wait after a connection that was aborted before it was accepted.
const ABORTED_ACCEPT_DELAY: Duration = Duration::from_millis(1);
/// Interval between signals to connections to free their slots.
const CLOSE_SIGNAL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by all client connections.
pub struct Inbound {
    parser: RequestParser,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next_id: Cell<u64>,
    request_ids: Rc<RequestIds>,
    phase: Cell<Phase>,
    streaming_clients: StreamingClients,
    /// Notified when an operator requests a drain.
    drain_requested: Notify,
    /// Another process of this sidecar is serving clients too.
    other_process_serving: Cell<bool>,
    /// Accept is failing; logged once until it succeeds again.
    accept_failing: Cell<bool>,
    /// Each change tells connections to free their slots or, while draining, to close.
    close_signal: watch::Sender<()>,
    /// When connections were last told to free their slots.
    close_signal_sent: Cell<Option<Instant>>,
    /// Since when connections have been waiting to be accepted as no more can even be refused at a time.
    crowded_since: Cell<Option<Instant>>,
}

impl Inbound {
    /// Starts without connections.
    pub fn new(
        parser: RequestParser,
        budget: Rc<Budget>,
        counters: Rc<Counters>,
        outbound: Rc<Outbound>,
        request_ids: Rc<RequestIds>,
        inbox: Inbox,
    ) -> Rc<Self> {
        Rc::new(Inbound {
            parser,
            budget,
            counters,
            outbound,
            inbox,
            next_id: Cell::new(0),
            request_ids,
            phase: Cell::new(Phase::Starting),
            streaming_clients: StreamingClients::new(),
            drain_requested: Notify::new(),
            other_process_serving: Cell::new(false),
            accept_failing: Cell::new(false),
            close_signal: watch::Sender::new(()),
            close_signal_sent: Cell::new(None),
            crowded_since: Cell::new(None),
        })
    }

    /// Whether this process serves clients.
    pub fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Whether this process is shutting down.
    pub fn is_ending(&self) -> bool {
        self.phase.get().is_ending()
    }

    /// Starts a drain, as SIGTERM does.
    pub fn drain(&self) {
        self.drain_requested.notify_one();
    }

    /// Sets whether another process of this sidecar is serving clients too.
    pub fn set_other_process_serving(&self, serving: bool) {
        self.other_process_serving.set(serving);
    }

    /// Accepts one connection, once there is a slot for it.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let permit = self.client_permit().await;
        match self.next_connection(listener).await {
            Ok((stream, _)) => {
                self.accept_failing.set(false);
                self.admit(stream, permit.or_else(|| self.budget.take(Holder::Client)));
            }
            // One aborted connection or a signal: no resource is lacking, and the next connection may be
            // waiting.
            Err(e) if !is_local_failure(&e) => {
                debug!("accept: {e}");
                sleep(ABORTED_ACCEPT_DELAY).await; // an error that persists must not block the thread
            }
            Err(e) => {
                if !self.accept_failing.replace(true) {
                    error!("accept: {e}; further failures are not logged until accept succeeds");
                }
                self.outbound.pool.close_oldest_idle();
                sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }

    async fn next_connection(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = std::future::ready(()) => {
                self.crowded_since.set(None); // none is waiting
                listener.accept().await
            }
        }
    }

    /// Serves a connection; one without a permit is only told that the limit is reached.
    fn admit(self: &Rc<Self>, stream: TcpStream, permit: Option<Permit>) {
        let shed = permit.is_none();
        // An accepted connection has a descriptor and is waited for on shutdown, whether it is within the
        // limit or not.
        let permit = permit.unwrap_or_else(|| self.budget.take_unconditionally(Holder::Shed));
        // Subscribed here rather than when the task first runs: a close signal may come in between.
        let (this, close_signal) = (self.clone(), self.close_signal.subscribe());
        spawn_local(async move { this.handle_connection(stream, shed, close_signal, permit).await });
    }

    /// A permit for one more client; none if the client can only be told that the limit is reached.
    async fn client_permit(&self) -> Option<Permit> {
        loop {
            while self.budget.blocked_by_endpoints() && self.outbound.pool.close_oldest_idle() {}
            if let Some(permit) = self.budget.take(Holder::Client) {
                return Some(permit);
            }
            // Idle clients free their slots for new ones.
            self.ask_for_slots();
            if let Some(permit) = self.budget.take(Holder::Shed) {
                drop(permit);
                return None;
            }
            self.crowded_since.set(self.crowded_since.get().or(Some(Instant::now())));
            let _ = timeout(CLOSE_SIGNAL_INTERVAL, self.budget.client_released()).await;
        }
    }

    fn ask_for_slots(&self) {
        if self.close_signal_sent.get().is_none_or(|sent| sent.elapsed() >= CLOSE_SIGNAL_INTERVAL) {
            self.close_signal_sent.set(Some(Instant::now()));
            self.close_signal.send_replace(());
        }
    }
}
