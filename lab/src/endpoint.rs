//! An emulated endpoint: cores, a waiting room, work that spreads, a cold start, and what a fault does to it.
//! Work is waited for and not computed, so that thousands fit into one process; the system's timer makes each
//! wait up to a millisecond longer.

mod leaving;

pub use leaving::{Draining, Leaving, Turns};

use crate::copies::Copy;
use crate::experiment::{Class, Described, Group, Kind, Repeats, Spread, Tier};
use crate::http::{COPY, NoAnswer, UNTIL, left_until, until_text};
use crate::ledger::{Breach, Ledger};
use crate::load::ANSWER_SLACK;
use crate::seeds::{Part, draws};
use crate::telling::Tellings;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// What is known of keys, by the group that shares them: when each was first seen.
#[derive(Default)]
pub struct Keys(Mutex<HashMap<(Sharing, String), Instant>>);

/// Who shares a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Sharing {
    All,
    Zone(usize),
    Cell(usize),
}

impl Keys {
    /// Whether a key is new within its window; it is known from then on.
    fn fresh(&self, group: Sharing, key: &str, window: Duration) -> bool {
        let mut keys = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let seen = keys.insert((group, key.to_owned()), now);
        match seen.filter(|at| now.duration_since(*at) < window) {
            Some(at) => {
                keys.insert((group, key.to_owned()), at); // the window runs from the first
                false
            }
            None => true,
        }
    }
}

/// What a fault has made of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Its work takes so many times as long.
    pub slow: f64,
    /// It answers 500 to this part of the requests.
    pub failing: f64,
    /// It never answers.
    pub silent: bool,
    /// Listed as draining.
    pub draining: Option<Draining>,
    /// When its process started; none for one that was there before the run.
    pub started: Option<Instant>,
}

/// An endpoint.
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its zone's number.
    pub zone: usize,
    /// Where its process listens, behind the relays.
    pub address: SocketAddr,
    /// Whether its process lives.
    pub up: watch::Sender<bool>,
    /// What a fault has made of it.
    pub condition: Mutex<Condition>,
    /// The copy through which it calls the next tier; stopped and started with it.
    pub behind: Option<Arc<Copy>>,
    number: u64,
    cell: usize,
    kind: Kind,
    world: Arc<World>,
    /// Since when it stands still now and then.
    stood: Instant,
    connections: Arc<Semaphore>,
    cores: Arc<Semaphore>,
    /// Those it holds; gone with its process.
    held: Mutex<Held>,
}

#[derive(Default)]
struct Held {
    inside: usize,
    /// When the last requests came, while it was cold.
    came: VecDeque<Instant>,
    fallen: bool,
    /// Since when more wait than it bears, or since when it has been idle while it is slow.
    since: Option<Instant>,
    /// It has been crowded for too long.
    slowed: bool,
}

/// What all endpoints share.
pub struct World {
    /// Of the experiment.
    pub seed: u64,
    /// Classes.
    pub classes: Vec<Class>,
    /// Tiers.
    pub tiers: Vec<Tier>,
    /// The mean work of a request, over all classes and tiers, on a core of speed 1.
    pub mean_work: Duration,
    /// For so long after it was told, requests may still come to a draining endpoint.
    pub drain_grace: Duration,
    /// What they saw.
    pub ledger: Arc<Ledger>,
    /// From when on a drain counts as told to a copy.
    pub tellings: Arc<Tellings>,
    /// Known keys.
    pub keys: Keys,
    /// Calls between tiers so far: each has an id of its own.
    pub calls: AtomicU64,
}

/// An endpoint may be told of so much more time than its client has left.
const TIME_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin so long after its client has gone.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// What the lab itself may be late by.
const LAB_SLACK: Duration = Duration::from_millis(50);

impl World {
    /// Holds a request to what its client has left: the time that the endpoint is told, and that the client is there.
    fn check_clients_time(&self, request: &str, told: &str, until: &str) {
        if let (Some(told), Some(left)) = (time_left(told), left_until(until)) {
            let over = told.saturating_sub(left);
            if over > TIME_SLACK + LAB_SLACK {
                let by_ms = over.as_secs_f64() * 1e3;
                self.ledger.breach(Breach::TooMuchTime { request: request.to_owned(), by_ms });
            }
        }
        if let Some(gone) = self.ledger.gone_for(request).filter(|gone| *gone > LEFT_SLACK + LAB_SLACK) {
            let after_ms = gone.as_secs_f64() * 1e3;
            self.ledger.breach(Breach::AfterClientLeft { request: request.to_owned(), after_ms });
        }
    }
}

impl Endpoint {
    /// One that has been there for long.
    pub fn new(
        described: Described<'_>,
        number: u64,
        address: SocketAddr,
        behind: Option<Arc<Copy>>,
        world: Arc<World>,
    ) -> Arc<Self> {
        let Described { name, zone, cell, kind } = described;
        let connections = if kind.connections == 0 { Semaphore::MAX_PERMITS } else { kind.connections };
        let condition = Condition { slow: 1.0, failing: 0.0, silent: false, draining: None, started: None };
        Arc::new(Endpoint {
            name,
            zone,
            address,
            up: watch::Sender::new(true),
            condition: Mutex::new(condition),
            behind,
            number,
            cell,
            stood: Instant::now(),
            connections: Arc::new(Semaphore::new(connections)),
            cores: Arc::new(Semaphore::new(kind.cores)),
            kind: kind.clone(),
            world,
            held: Mutex::default(),
        })
    }

    /// The number of the tier that it belongs to.
    pub fn tier(&self) -> usize {
        self.kind.tier
    }

    /// What a fault has made of it.
    pub fn condition(&self) -> Condition {
        *self.condition.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what a fault has made of it.
    pub fn change(&self, change: impl FnOnce(&mut Condition)) {
        change(&mut self.condition.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Its process ends.
    pub fn stop(&self) {
        self.up.send_replace(false);
    }

    /// Its process starts, cold.
    pub fn start(&self) {
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = Held::default();
        self.change(|condition| (condition.started, condition.draining) = (Some(Instant::now()), None));
        self.up.send_replace(true);
    }

    /// Serves connections until the world is taken down.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            // Over its cap a connection is closed at once.
            let Ok(place) = self.connections.clone().try_acquire_owned() else { continue };
            let this = self.clone();
            tokio::spawn(async move {
                let _place = place;
                this.work(this.kind.handshake).await;
                let service = service_fn(|request| this.answer(request));
                // An error here is a caller's leaving.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let (head, body) = request.into_parts();
        if body.collect().await.is_err() {
            return Ok(reply(StatusCode::BAD_REQUEST, ""));
        }
        let header =
            |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let (id, key, left) = (header("x-request-id"), header("idempotency-key"), header("x-timeout"));
        let class = head.uri.path().split('/').nth(1).unwrap_or_default();
        let Some(class) = self.world.classes.iter().find(|known| known.name == class) else {
            return Ok(reply(StatusCode::NOT_FOUND, ""));
        };
        let until = Instant::now() + time_left(left).unwrap_or(class.deadline);
        let number = id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0);
        self.world.ledger.attempt();
        self.world.check_clients_time(id, left, header(UNTIL));
        let condition = self.condition();
        let copy = header(COPY).parse().ok();
        let told = condition.draining.and_then(|draining| self.world.tellings.counts(draining.rev, copy));
        if told.is_some_and(|told| told + self.world.drain_grace < Instant::now()) {
            self.world.ledger.breach(Breach::Draining { endpoint: self.name.clone(), copy });
        }
        match condition.draining.and_then(|draining| draining.turns()) {
            Some(Turns::Away) => return Ok(turned_away()),
            Some(Turns::Off) => return Err(io::ErrorKind::ConnectionReset.into()),
            Some(Turns::Silent) => pending::<()>().await,
            None => {}
        }
        let warmth = self.warmth(&condition);
        if self.falls(warmth) {
            self.world.ledger.breach(Breach::PushedOver { endpoint: self.name.clone() });
            self.stop();
        }
        let Some(_place) = Place::take(self) else {
            return Ok(turned_away());
        };
        let group = match class.group {
            Group::All => Sharing::All,
            Group::Zone => Sharing::Zone(self.zone),
            Group::Cell => Sharing::Cell(self.cell),
        };
        let known = class.repeats == Repeats::Keyed && !self.world.keys.fresh(group, key, class.window);
        if !known {
            self.world.ledger.effect(id, class.repeats != Repeats::Safe);
        }
        if condition.silent {
            pending::<()>().await;
        }
        if draws(self.world.seed, Part::Failing, number).random::<f64>() < condition.failing {
            return Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        if !known {
            let speed = (self.kind.speed * warmth / condition.slow / self.crowding()).max(1e-3);
            let part = self.world.tiers[self.kind.tier].work;
            let work = work(self.world.seed, number, class).mul_f64(part / speed);
            sleep(class.waits.mul_f64(part)).await;
            let Some(behind) = &self.behind else {
                self.work(work).await;
                return Ok(reply(StatusCode::OK, &self.name));
            };
            // Half of its own work before the calls, half after them; its place is kept all the while.
            self.work(work / 2).await;
            for _ in 0..self.calls(number) {
                if !self.call(behind, class, number, until).await {
                    return Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, ""));
                }
            }
            self.work(work / 2).await;
        }
        Ok(reply(StatusCode::OK, &self.name))
    }

    /// How often a request calls the next tier.
    fn calls(&self, number: u64) -> u32 {
        let mean = self.world.tiers[self.kind.tier + 1].calls;
        let mut draws = draws(self.world.seed, Part::Calls, number * 8 + self.kind.tier as u64);
        mean as u32 + u32::from(draws.random::<f64>() < mean.fract())
    }

    /// Calls the next tier once, for what is left of the caller's time; whether it was served.
    async fn call(&self, behind: &Copy, class: &Class, number: u64, until: Instant) -> bool {
        let id = format!("t{}-{number}", self.world.calls.fetch_add(1, Ordering::Relaxed));
        let left = until.saturating_duration_since(Instant::now());
        let request =
            class.request(&id, &id, left).header(COPY, behind.number).header(UNTIL, until_text(until));
        let request = request.body(Full::new(Bytes::new()));
        let Ok(request) = request else { return false };
        let sent = Instant::now();
        match timeout_at(until + ANSWER_SLACK, behind.pool.ask(request)).await {
            Ok(Ok(answer)) => answer.status == StatusCode::OK,
            Ok(Err(NoAnswer::Unreached)) => false,
            Ok(Err(NoAnswer::Broken)) | Err(_) => {
                // What a copy took and lives to answer, it owes an answer.
                if !left.is_zero() && behind.well_since(sent) {
                    self.world.ledger.breach(Breach::Unanswered { copy: behind.name.clone() });
                }
                false
            }
        }
    }

    /// Keeps a core busy for so long. Work that has begun goes on, also when its caller leaves.
    async fn work(self: &Arc<Self>, work: Duration) {
        if work.is_zero() {
            return;
        }
        let this = self.clone();
        let worked = tokio::spawn(async move {
            if let Ok(_core) = this.cores.acquire().await {
                let phase = draws(this.world.seed, Part::Stall, this.number).random::<f64>();
                let (every, stall) = (this.kind.stall_every, this.kind.stall_for);
                sleep(with_stalls(this.stood.elapsed(), work, every, stall, phase)).await;
            }
        });
        let _ = worked.await;
    }

    /// How many times as long its work takes because of a crowd.
    fn crowding(&self) -> f64 {
        if self.kind.crowd <= 0.0 {
            return 1.0;
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let crowded = held.inside as f64 > self.kind.crowd * self.kind.cores as f64;
        let turning = if held.slowed { held.inside <= 1 } else { crowded };
        let now = Instant::now();
        held.since = turning.then(|| held.since.unwrap_or(now));
        if held.since.is_some_and(|since| now.duration_since(since) >= self.kind.crowd_for) {
            (held.slowed, held.since) = (!held.slowed, None);
        }
        if held.slowed { self.kind.crowd_slow.max(1.0) } else { 1.0 }
    }

    /// The part of its speed that it has by now.
    fn warmth(&self, condition: &Condition) -> f64 {
        let Some(started) = condition.started else { return 1.0 };
        let age = started.elapsed().as_secs_f64() / self.kind.warm_within.as_secs_f64().max(1e-3);
        (self.kind.cold_share + (1.0 - self.kind.cold_share) * age).clamp(0.01, 1.0)
    }

    /// Whether a cold one falls over with this request.
    fn falls(&self, warmth: f64) -> bool {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if warmth >= 1.0 || held.fallen {
            held.came.clear();
            return false;
        }
        let now = Instant::now();
        held.came.push_back(now);
        while held.came.front().is_some_and(|at| now.duration_since(*at) > self.kind.fall_after) {
            held.came.pop_front();
        }
        let work = self.world.mean_work.as_secs_f64() * self.world.tiers[self.kind.tier].work;
        let a_second = self.kind.cores as f64 * self.kind.speed * warmth / work;
        let most = a_second * self.kind.fall_multiple * self.kind.fall_after.as_secs_f64();
        held.fallen = held.came.len() as f64 > most.max(1.0);
        held.fallen
    }
}

/// A place inside an endpoint; given back when dropped.
struct Place(Arc<Endpoint>);

impl Place {
    fn take(endpoint: &Arc<Endpoint>) -> Option<Self> {
        let mut held = endpoint.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.inside >= endpoint.kind.cores + endpoint.kind.waiting {
            return None;
        }
        held.inside += 1;
        Some(Place(endpoint.clone()))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut held = self.0.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.inside = held.inside.saturating_sub(1); // its process may have been started anew since
        if held.slowed && held.inside <= 1 {
            held.since.get_or_insert_with(Instant::now); // idle as of now
        }
    }
}

/// How long work takes that begins at a time, where all stands still for `stall` after each `every`, at a phase of
/// its own.
fn with_stalls(begun: Duration, work: Duration, every: Duration, stall: Duration, phase: f64) -> Duration {
    if every.is_zero() || stall.is_zero() {
        return work;
    }
    let [begun, work, every, stall] = [begun, work, every, stall].map(|time| time.as_secs_f64());
    let cycle = every + stall;
    let at = (begun / cycle + phase).fract() * cycle;
    let (waits, free) = if at > every { (cycle - at, every) } else { (0.0, every - at) };
    let stalls = ((work - free) / every).ceil().max(0.0);
    Duration::from_secs_f64(waits + work + stalls * stall)
}

/// The time that a caller says it will wait.
fn time_left(said: &str) -> Option<Duration> {
    let (number, unit) = said.split_at_checked(said.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok().filter(|number| (0.0..1e12).contains(number))?;
    match unit {
        "m" => Some(Duration::from_secs_f64(number / 1e3)),
        "u" => Some(Duration::from_secs_f64(number / 1e6)),
        _ => None,
    }
}

/// A request's work on a core of speed 1: the same in every run of the seed, whoever does it.
fn work(seed: u64, number: u64, class: &Class) -> Duration {
    let (mean, sigma) = (class.work.as_secs_f64().max(1e-6), class.spread.max(0.0));
    let mut draws = draws(seed, Part::Work, number);
    let drawn = match class.distribution {
        Spread::Fixed => mean,
        Spread::Exponential => mean * Distribution::<f64>::sample(&Exp1, &mut draws),
        Spread::LogNormal => {
            let spread = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma);
            spread.map_or(mean, |spread| spread.sample(&mut draws))
        }
    };
    Duration::from_secs_f64(drawn.min(60.0))
}

/// The mean of a request's work over all classes.
pub fn mean_work(classes: &[Class]) -> Duration {
    let shares: f64 = classes.iter().map(|class| class.share).sum();
    let whole: f64 = classes.iter().map(|class| class.share * class.work.as_secs_f64()).sum();
    Duration::from_secs_f64((whole / shares.max(1e-9)).max(1e-6))
}

fn turned_away() -> Response<Full<Bytes>> {
    let mut reply = reply(StatusCode::SERVICE_UNAVAILABLE, "");
    reply.headers_mut().insert("x-not-processed", hyper::header::HeaderValue::from_static("1"));
    reply
}

fn reply(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

#[cfg(test)]
mod tests;
