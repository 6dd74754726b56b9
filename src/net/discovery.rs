//! The endpoint list: asks discovery for it, and follows its changes.

use super::clock::Clock;
use super::discovery_health::{DiscoveryHealth, Outcome};
use super::guard::Guard;
use super::start_times::StartTimes;
use gullpulley::config::{LIST_MOST, List, ListReader, Names, State};
use gullpulley::{
    CellId, Discovery as Mode, DiscoveryFailure, DiscoverySchedule, EndpointId, EndpointInfo,
    EndpointNames, EndpointState, KindId, Membership, Settings, TcpConnection, ZoneId,
};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::{debug, info, warn};

/// A connection to discovery that is not up after this long has failed.
const CONNECT: Duration = Duration::from_secs(1);
/// A call not answered after this long has failed. Discovery answers one call after another, a crowd of
/// callers waits, and it sends away after 3 s: to give up sooner, again and again, would keep it busy with what nobody
/// waits for, and leave unknown whether the call was lost.
const ANSWER: Duration = Duration::from_millis(3100);
/// A watch brings at least an empty line every 2 s: one silent for this long is dead, as that of a
/// machine cut off is, which nothing else would ever tell. News counts as told after 6 s: what is left
/// of them has to do for two calls, as the first may fail.
const SILENCE: Duration = Duration::from_secs(3);
/// A call refused sooner has not waited for its turn at discovery.
const AT_ONCE: Duration = Duration::from_millis(250);
/// News of the list in the module's terms, and where the endpoints are.
pub struct News {
    /// For the module.
    pub membership: Membership,
    /// Addresses of those named.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// What may be asked of discovery, by the driver or at a change of the configuration.
pub enum Call {
    /// Follow changes, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
    /// From now on discovery is to be found here.
    Move(SocketAddr),
}

/// What has come of discovery since the start.
#[derive(Clone, Copy, PartialEq)]
enum Heard {
    Nothing,
    Failures,
    Lists,
}

/// Why a watch is over.
#[derive(Debug, Error)]
enum Over {
    #[error("the watch fell silent")]
    Silent,
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Broken(String),
}

impl Over {
    /// What a watch that lasted so long says of discovery.
    fn failure(&self, lasted: Duration) -> DiscoveryFailure {
        match self {
            Over::Call(_) if lasted < AT_ONCE => DiscoveryFailure::RefusedAtOnce,
            Over::Call(CallError::Status(StatusCode::SERVICE_UNAVAILABLE)) => DiscoveryFailure::SentAway,
            _ => DiscoveryFailure::Unanswered,
        }
    }
}

/// Why a call has failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("no connection in time")]
    ConnectTimedOut,
    #[error("{0}")]
    NotConnected(io::Error),
    #[error("no answer in time")]
    TimedOut,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    #[error("{0}")]
    Unsendable(#[from] hyper::http::Error),
}

impl CallError {
    fn outcome(&self) -> Outcome {
        match self {
            CallError::ConnectTimedOut | CallError::TimedOut => Outcome::TimedOut,
            CallError::NotConnected(_) => Outcome::NotConnected,
            CallError::Status(StatusCode::SERVICE_UNAVAILABLE) => Outcome::Unavailable,
            CallError::Status(_) => Outcome::OtherStatus,
            CallError::Broken(_) | CallError::Unsendable(_) => Outcome::Broken,
        }
    }
}

/// Why the whole list did not come.
#[derive(Debug, Error)]
enum FetchError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("the list never came")]
    TimedOut,
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("no list: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// A call that has begun. Dropped before it has ended, it says so in the log.
struct PendingCall {
    began: Instant,
    address: SocketAddr,
    ended: bool,
}

impl PendingCall {
    fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.ended {
            info!(address = %self.address, outcome = "dropped", ms = self.ms(), "call");
        }
    }
}

/// What the node knows of discovery.
pub struct Discovery {
    address: Cell<SocketAddr>,
    mode: Mode,
    names: Names,
    ids: RefCell<EndpointNames>,
    clock: Clock,
    starts: RefCell<StartTimes>,
    rev: Cell<u64>,
    health: Rc<DiscoveryHealth>,
    /// When it is called, where lists are pushed; elsewhere the module says so.
    schedule: RefCell<DiscoverySchedule>,
    began: Instant,
    /// What has come of it since the start.
    heard: watch::Sender<Heard>,
    /// Why it fails, since the last list.
    failing: RefCell<Option<String>>,
    /// Where news goes.
    report: Box<dyn Fn(News)>,
}

impl Discovery {
    /// Discovery at this address; what it tells goes to `report`.
    pub fn new(
        address: SocketAddr,
        settings: &Settings,
        names: Names,
        seed: u64,
        health: Rc<DiscoveryHealth>,
        clock: Clock,
        report: impl Fn(News) + 'static,
    ) -> Rc<Self> {
        let began = Instant::now();
        let mode = settings.discovery;
        let schedule = RefCell::new(DiscoverySchedule::new(settings, seed, Duration::ZERO));
        let (ids, rev, starts) = Default::default();
        let address = Cell::new(address);
        let heard = watch::Sender::new(Heard::Nothing);
        Rc::new(Discovery {
            address,
            mode,
            names,
            ids,
            clock,
            starts,
            rev,
            health,
            schedule,
            began,
            heard,
            failing: RefCell::default(),
            report: Box::new(report),
        })
    }

    /// The list as last held, to start from.
    pub fn cached(&self, list: List) -> News {
        self.rev.set(list.rev);
        let mut news = self.news(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = news.membership {
            news.membership = Membership::Cached(entries);
        }
        news
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.ids.borrow().name(id).to_owned()
    }

    /// The id of a uid, known or not.
    pub fn id(&self, uid: &str) -> EndpointId {
        self.ids.borrow_mut().id(uid)
    }

    /// Carries out the driver's calls. Each is answered by exactly one event; a watch then goes on.
    pub async fn run(self: Rc<Self>, mut calls: UnboundedReceiver<Call>) {
        let mut watch: Option<Guard> = None;
        if self.mode == Mode::Push {
            watch = Some(self.watch());
        }
        while let Some(call) = calls.recv().await {
            let this = self.clone();
            match call {
                Call::Watch(true) if self.mode == Mode::Push => this.tell(unchanged()), // it is up already
                Call::Watch(true) => {
                    drop(watch.take());
                    watch = Some(this.watch());
                }
                Call::Watch(false) => {
                    drop(watch.take());
                    this.tell(unchanged());
                }
                Call::Move(address) => {
                    if self.address.replace(address) != address {
                        info!(%address, "discovery: now at {address}");
                        // The old one says nothing more. What it had left to say counts as known 4 s from now.
                        drop(watch.take());
                        this.tell(News { membership: Membership::Moved, addresses: Vec::new() });
                        if this.mode == Mode::Push {
                            watch = Some(this.watch());
                        }
                    }
                }
                Call::Fetch => {
                    spawn_local(async move {
                        match this.fetch().await {
                            // It may be older than what the watch has brought since.
                            Ok(list) if list.rev < this.rev.get() => this.tell(unchanged()),
                            Ok(list) => this.take(list),
                            Err(error) => {
                                this.failed(&error.to_string(), DiscoveryFailure::Unanswered);
                            }
                        }
                    });
                }
            }
        }
    }

    /// Starts a watch: where lists are pushed one that is kept up, else one that lasts until it fails.
    fn watch(self: &Rc<Self>) -> Guard {
        let this = self.clone();
        let task = spawn_local(async move {
            if this.mode == Mode::Push {
                this.keep_watch().await;
            } else {
                let began = Instant::now();
                let over = this.follow().await;
                this.failed(&over.to_string(), over.failure(began.elapsed()));
            }
        });
        Guard::new(task.abort_handle())
    }

    /// Where lists are pushed, a watch must always be up: the module never asks for one.
    async fn keep_watch(&self) {
        loop {
            let began = Instant::now();
            let over = self.follow().await;
            let failure = over.failure(began.elapsed());
            let unheard = self.failed(&over.to_string(), failure);
            let wait = self.schedule.borrow_mut().failed(self.began.elapsed(), unheard, failure);
            tokio::time::sleep(wait).await;
        }
    }

    /// Follows changes until the watch is over.
    async fn follow(&self) -> Over {
        let path = format!("/api/targets?watch=1&after={}", self.rev.get());
        let (response, _connection) = match self.call(&path).await {
            Ok(answered) => answered,
            Err(error) => return error.into(),
        };
        let mut body = response.into_body();
        let mut lists = ListReader::default();
        let mut silent_at = Instant::now() + SILENCE;
        loop {
            let frame = match timeout_at(silent_at, body.frame()).await {
                Err(_) => return Over::Silent,
                Ok(None) => return Over::Broken("the watch ended".to_owned()),
                Ok(Some(Err(e))) => return Over::Broken(format!("the watch broke: {e}")),
                Ok(Some(Ok(frame))) => frame,
            };
            self.health.heard();
            let piece = frame.data_ref().map_or(&[][..], |data| data);
            // To skip a change would leave the list wrong for good: the watch begins again instead.
            match lists.take(piece) {
                Ok(whole) => whole.into_iter().for_each(|list| self.take(list)),
                Err(fault) => return Over::Broken(fault.to_string()),
            }
            // Empty lines behind half a list keep up a watch that tells nothing any more.
            if !lists.is_amid() || !piece.trim_ascii().is_empty() {
                silent_at = Instant::now() + SILENCE;
            }
        }
    }

    async fn fetch(&self) -> Result<List, FetchError> {
        let (response, _connection) = self.call("/api/targets").await?;
        let body = timeout(ANSWER, Limited::new(response.into_body(), LIST_MOST).collect()).await;
        let body = body.map_err(|_| FetchError::TimedOut)?.map_err(FetchError::Body)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }

    /// Makes a call, and logs what became of it. One that is dropped, as discovery has moved, has no outcome.
    async fn call(&self, path: &str) -> Result<(Response<Incoming>, Guard), CallError> {
        let mut pending = PendingCall { began: Instant::now(), address: self.address.get(), ended: false };
        let answered = self.attempt(path).await;
        pending.ended = true;
        let outcome = answered.as_ref().map_or_else(CallError::outcome, |_| Outcome::Answered);
        self.health.called(outcome);
        let (address, ms) = (pending.address, pending.ms());
        match outcome {
            Outcome::Answered => debug!(%address, path, outcome = outcome.name(), ms, "call"),
            _ => info!(%address, path, outcome = outcome.name(), ms, "call"),
        }
        answered
    }

    async fn attempt(&self, path: &str) -> Result<(Response<Incoming>, Guard), CallError> {
        let address = self.address.get();
        let connect = timeout(CONNECT, TcpConnection::connect(address)).await;
        let connection =
            connect.map_err(|_| CallError::ConnectTimedOut)?.map_err(CallError::NotConnected)?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(connection)).await?;
        let task = spawn_local(connection);
        let guard = Guard::new(task.abort_handle());
        let request =
            Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
        let answer = timeout(ANSWER, sender.send_request(request)).await;
        let response = answer.map_err(|_| CallError::TimedOut)??;
        match response.status() {
            StatusCode::OK => Ok((response, guard)),
            status => Err(CallError::Status(status)),
        }
    }

    /// Waits until a list has come.
    pub async fn heard(&self) {
        let _ = self.heard.subscribe().wait_for(|heard| *heard == Heard::Lists).await; // fails only without a sender
    }

    /// Waits until a list has come, or a call has failed.
    pub async fn tried(&self) {
        let _ = self.heard.subscribe().wait_for(|heard| *heard != Heard::Nothing).await; // as above
    }

    fn take(&self, list: List) {
        self.rev.set(list.rev);
        self.heard.send_replace(Heard::Lists);
        self.failing.take();
        if !list.targets.is_empty() {
            let sort = if list.all { "whole list" } else { "changes" };
            info!(rev = list.rev, entries = list.targets.len(), "list: {sort}");
        }
        let news = self.news(list);
        self.tell(news);
    }

    /// Tells that a call or watch has failed; for how long nothing had been heard.
    fn failed(&self, reason: &str, failure: DiscoveryFailure) -> Duration {
        let unheard = self.health.unheard();
        // Said once for each reason until a list comes; the driver counts the others.
        if self.failing.replace(Some(reason.to_owned())).is_none_or(|before| before != reason) {
            warn!(address = %self.address.get(), "discovery: {reason}");
        }
        self.heard.send_if_modified(|heard| {
            let first = *heard == Heard::Nothing;
            if first {
                *heard = Heard::Failures;
            }
            first
        });
        self.tell(News { membership: Membership::Failed { unheard, failure }, addresses: Vec::new() });
        unheard
    }

    fn tell(&self, news: News) {
        (self.report)(news);
    }

    fn news(&self, list: List) -> News {
        let mut ids = self.ids.borrow_mut();
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        let (mut entries, mut addresses, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        let (mut starts, now) = (self.starts.borrow_mut(), self.clock.now());
        starts.take(list.targets.iter().map(|target| target.boot_ms as u64), now);
        // Of an endpoint named twice the last word counts.
        for target in list.targets.into_iter().rev() {
            let id = ids.id(&target.uid);
            if !seen.insert(id) {
                continue;
            }
            addresses.push((id, target.endpoint));
            entries.push(EndpointInfo {
                id,
                zone: ZoneId(place(&self.names.areas, &target.az)),
                kind: KindId(place(&self.names.kinds, &target.model)),
                cell: CellId(target.pod_group),
                state: match target.state {
                    State::Up => EndpointState::Ready,
                    State::Draining => EndpointState::Draining,
                    State::Removed => EndpointState::Gone,
                },
                weight: target.capacity_hint,
                started: starts.started(id, target.boot_ms as u64, now),
            });
        }
        entries.reverse();
        if list.all {
            starts.retain(|id| seen.contains(&id));
        }
        let membership = if list.all { Membership::Full(entries) } else { Membership::Delta(entries) };
        News { membership, addresses }
    }
}

fn unchanged() -> News {
    News { membership: Membership::Delta(Vec::new()), addresses: Vec::new() }
}
