//! An emulated endpoint: cores, a waiting room, work that spreads, a cold start, and what a fault does to it.
//! Work is waited for and not computed, so that thousands fit into one process; the system's timer makes each
//! wait up to a millisecond longer.

use crate::experiment::{Class, Group, Kind, Repeats};
use crate::ledger::{Breach, Ledger};
use crate::seeds::{Part, draws};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep};

/// What is known of keys, by the group that shares them: when each was first seen.
#[derive(Default)]
pub struct Keys(Mutex<HashMap<(Option<usize>, String), Instant>>);

impl Keys {
    /// Whether a key is new within its window; it is known from then on.
    fn fresh(&self, group: Option<usize>, key: &str, window: Duration) -> bool {
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
    /// Listed as draining, since the list said so.
    pub draining: Option<Instant>,
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
    kind: Kind,
    world: Arc<World>,
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
}

/// What all endpoints share.
pub struct World {
    /// Of the experiment.
    pub seed: u64,
    /// Classes.
    pub classes: Vec<Class>,
    /// The mean work of a request, over all classes, on a core of speed 1.
    pub mean_work: Duration,
    /// For so long after it was told, requests may still come to a draining endpoint.
    pub drain_grace: Duration,
    /// What they saw.
    pub ledger: Arc<Ledger>,
    /// Known keys.
    pub keys: Keys,
}

impl Endpoint {
    /// One that has been there for long.
    pub fn new(
        name: String,
        zone: usize,
        address: SocketAddr,
        kind: &Kind,
        world: Arc<World>,
    ) -> Arc<Self> {
        let condition = Condition { slow: 1.0, failing: 0.0, silent: false, draining: None, started: None };
        Arc::new(Endpoint {
            name,
            zone,
            address,
            up: watch::Sender::new(true),
            condition: Mutex::new(condition),
            cores: Arc::new(Semaphore::new(kind.cores)),
            kind: kind.clone(),
            world,
            held: Mutex::default(),
        })
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
            let this = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| this.answer(request));
                // An error here is a caller's leaving.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        if body.collect().await.is_err() {
            return Ok(reply(StatusCode::BAD_REQUEST, ""));
        }
        let header =
            |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let (id, key) = (header("x-request-id"), header("idempotency-key"));
        let class = head.uri.path().split('/').nth(1).unwrap_or_default();
        let Some(class) = self.world.classes.iter().find(|known| known.name == class) else {
            return Ok(reply(StatusCode::NOT_FOUND, ""));
        };
        let number = id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0);
        self.world.ledger.attempt();
        let condition = self.condition();
        if condition.draining.is_some_and(|told| told.elapsed() > self.world.drain_grace) {
            self.world.ledger.breach(Breach::Draining { endpoint: self.name.clone() });
        }
        let warmth = self.warmth(&condition);
        if self.falls(warmth) {
            self.world.ledger.breach(Breach::PushedOver { endpoint: self.name.clone() });
            self.stop();
        }
        let Some(_place) = Place::take(self) else {
            let mut full = reply(StatusCode::SERVICE_UNAVAILABLE, "");
            full.headers_mut().insert("x-not-processed", hyper::header::HeaderValue::from_static("1"));
            return Ok(full);
        };
        let group = match class.group {
            Group::All => None,
            Group::Zone => Some(self.zone),
        };
        let known = class.repeats == Repeats::Keyed && !self.world.keys.fresh(group, key, class.window);
        if !known {
            self.world.ledger.effect(id, class.repeats != Repeats::Safe);
        }
        if condition.silent {
            std::future::pending::<()>().await;
        }
        if draws(self.world.seed, Part::Failing, number).random::<f64>() < condition.failing {
            return Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        if !known {
            let speed = (self.kind.speed * warmth / condition.slow).max(1e-3);
            let work = work(self.world.seed, number, class).div_f64(speed);
            let cores = self.cores.clone();
            // Work that has begun goes on, also when its caller leaves.
            let worked = tokio::spawn(async move {
                if let Ok(_core) = cores.acquire().await {
                    sleep(work).await;
                }
            });
            let _ = worked.await;
        }
        Ok(reply(StatusCode::OK, &self.name))
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
        let a_second =
            self.kind.cores as f64 * self.kind.speed * warmth / self.world.mean_work.as_secs_f64();
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
    }
}

/// A request's work on a core of speed 1: the same in every run of the seed, whoever does it.
fn work(seed: u64, number: u64, class: &Class) -> Duration {
    let median = class.work.as_secs_f64().max(1e-6);
    match LogNormal::new(median.ln(), class.spread.max(0.0)) {
        Ok(spread) => {
            Duration::from_secs_f64(spread.sample(&mut draws(seed, Part::Work, number)).min(60.0))
        }
        Err(_) => class.work,
    }
}

/// The mean of a request's work over all classes.
pub fn mean_work(classes: &[Class]) -> Duration {
    let shares: f64 = classes.iter().map(|class| class.share).sum();
    let mean = |class: &Class| class.work.as_secs_f64() * (class.spread * class.spread / 2.0).exp();
    let whole: f64 = classes.iter().map(|class| class.share * mean(class)).sum();
    Duration::from_secs_f64((whole / shares.max(1e-9)).max(1e-6))
}

fn reply(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}
