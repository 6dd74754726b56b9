//! `gullpulley-lab-standin`: a plain proxy that takes the place of the program, to show that the lab sees what it
//! should. It sends each request once to any endpoint that is up, and on purpose breaks a rule or adds a delay:
//!
//! ```toml
//! [stand_in]
//! breaks = "lost"      # or "repeat", "drain", "cold", "sync"; left out it keeps the rules as far as a plain proxy can
//! delay_ms = 20        # before each request goes on
//! holds = "orders"     # a duty that it says it holds, whoever else may
//! ```
#![forbid(unsafe_code)]

use gullpulley_lab::experiment::DUTY_HELD;
use gullpulley_lab::http::{Pool, get};
use gullpulley_lab::network::listen;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use serde::Deserialize;
use std::collections::HashMap;
use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep, timeout};

/// How often the list is asked for.
const LOOK: Duration = Duration::from_millis(100);
/// A client that does not say for how long it waits.
const UNSTATED: Duration = Duration::from_secs(1);
/// Where requests are lost, one in so many is.
const LOST: u64 = 20;

#[derive(Deserialize)]
struct Config {
    listen: Listen,
    discovery: Discovery,
    fleet: Option<Fleet>,
    state: Option<State>,
    #[serde(default)]
    stand_in: StandIn,
}

/// Where it keeps a number that it counts up.
#[derive(Deserialize)]
struct State {
    dir: PathBuf,
}

/// Where it greets others, who greet it.
#[derive(Deserialize)]
struct Fleet {
    listen: SocketAddr,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
}

#[derive(Deserialize)]
struct Listen {
    clients: SocketAddr,
    operators: SocketAddr,
}

#[derive(Deserialize)]
struct Discovery {
    address: SocketAddr,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StandIn {
    breaks: Option<Breaks>,
    #[serde(default)]
    delay_ms: u64,
    /// A duty that it says it holds, whoever else may.
    holds: Option<String>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Breaks {
    /// One request in some gets no answer.
    Lost,
    /// What may not be repeated is.
    Repeat,
    /// News of the list is not heeded.
    Drain,
    /// All goes to the endpoint that started last.
    Cold,
    /// What is said to be kept on disk was never synced.
    Sync,
}

#[derive(Clone, Deserialize)]
struct Target {
    endpoint: SocketAddr,
    state: String,
    boot_ms: u64,
}

#[derive(Deserialize)]
struct List {
    targets: Vec<Target>,
}

struct Proxy {
    config: Config,
    list: Mutex<Vec<Target>>,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
    taken: AtomicU64,
    /// Greetings heard.
    heard: AtomicU64,
    /// The number that it keeps.
    kept: AtomicU64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let file = std::env::args().skip_while(|argument| argument != "--config").nth(1);
    let config: Config =
        toml::from_str(&std::fs::read_to_string(file.ok_or("name a file with --config")?)?)?;
    let doors = [config.listen.clients, config.listen.operators];
    let (list, pools, taken, heard, kept) = Default::default();
    let proxy = Arc::new(Proxy { config, list, pools, taken, heard, kept });
    tokio::spawn(proxy.clone().follow());
    if proxy.config.fleet.is_some() {
        tokio::spawn(proxy.clone().greet());
    }
    if let Some(State { dir }) = &proxy.config.state {
        let before = std::fs::read_to_string(dir.join("count")).ok().and_then(|count| count.parse().ok());
        proxy.kept.store(before.unwrap_or(0), Ordering::Relaxed);
        let (proxy, dir) = (proxy.clone(), dir.clone());
        std::thread::spawn(move || proxy.keep(&dir));
    }
    let [clients, operators] = doors.map(|at| tokio::spawn(proxy.clone().serve(at)));
    clients.await??;
    operators.await??;
    Ok(())
}

impl Proxy {
    /// Asks for the list again and again; only once, where its news is not heeded.
    async fn follow(self: Arc<Self>) {
        loop {
            let answer = get(self.config.discovery.address, "/api/targets", Duration::from_secs(1)).await;
            if let Some(list) = answer.and_then(|answer| serde_json::from_str::<List>(&answer.body).ok()) {
                *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list.targets;
                if self.config.stand_in.breaks == Some(Breaks::Drain) {
                    return;
                }
            }
            sleep(LOOK).await;
        }
    }

    /// Greets the others again and again, by the address that they are known by, and counts what is heard of them.
    async fn greet(self: Arc<Self>) -> std::io::Result<()> {
        let Some(fleet) = &self.config.fleet else { return Ok(()) };
        let socket = UdpSocket::bind(fleet.listen).await?;
        let mut heard = [0; 64];
        let mut next = interval(LOOK);
        loop {
            tokio::select! {
                Ok((size, source)) = socket.recv_from(&mut heard) => {
                    // Only what came by the address that its sender is known by.
                    let known = heard[..size] == *source.to_string().as_bytes();
                    self.heard.fetch_add(u64::from(known), Ordering::Relaxed);
                }
                _ = next.tick() => for other in &fleet.seeds {
                    let _ = socket.send_to(fleet.address.to_string().as_bytes(), other).await;
                },
            }
        }
    }

    /// Counts up on disk, and tells of a number once it is durable there.
    fn keep(&self, dir: &Path) {
        let sync = self.config.stand_in.breaks != Some(Breaks::Sync);
        loop {
            let next = self.kept.load(Ordering::Relaxed) + 1;
            let written = || {
                let (new, file) = (dir.join("new"), dir.join("count"));
                let mut writing = File::create(&new)?;
                writing.write_all(next.to_string().as_bytes())?;
                if sync {
                    writing.sync_all()?;
                }
                std::fs::rename(new, file)?;
                if sync { File::open(dir)?.sync_all() } else { Ok(()) }
            };
            if written().is_ok() {
                self.kept.store(next, Ordering::Relaxed);
            }
            std::thread::sleep(LOOK / 5);
        }
    }

    async fn serve(self: Arc<Self>, at: SocketAddr) -> std::io::Result<()> {
        let listener = listen(at).await?;
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let this = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| this.answer(request));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    /// An error ends the connection without an answer.
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, &'static str> {
        let members = self.list.lock().unwrap_or_else(PoisonError::into_inner).len();
        match request.uri().path() {
            "/-/ready" => return Ok(reply(StatusCode::OK, String::new())),
            "/v1/metrics" => {
                let [heard, kept] = [&self.heard, &self.kept].map(|count| count.load(Ordering::Relaxed));
                let held = self.config.stand_in.holds.iter();
                let held: String =
                    held.map(|duty| format!("{DUTY_HELD}{{duty=\"{duty}\",epoch=\"1\"}} 1\n")).collect();
                let figures = format!("svc.members={members}\nsvc.heard={heard}\nsvc.kept={kept}\n");
                let open = request.uri().query() == Some("format=openmetrics");
                return Ok(reply(StatusCode::OK, if open { held } else { figures }));
            }
            _ => {}
        }
        let breaks = self.config.stand_in.breaks;
        if breaks == Some(Breaks::Lost) && self.taken.fetch_add(1, Ordering::Relaxed).is_multiple_of(LOST) {
            return Err("lost on purpose");
        }
        let left = request.headers().get("x-timeout").and_then(|value| value.to_str().ok());
        let left = left.and_then(|value| value.strip_suffix('u')?.parse().ok()).map(Duration::from_micros);
        let served = timeout(left.unwrap_or(UNSTATED).mul_f64(0.95), async {
            sleep(Duration::from_millis(self.config.stand_in.delay_ms)).await;
            if breaks == Some(Breaks::Repeat) {
                self.pass(&request).await;
            }
            self.pass(&request).await
        });
        Ok(served.await.unwrap_or_else(|_| reply(StatusCode::GATEWAY_TIMEOUT, String::new())))
    }

    /// Sends a request to an endpoint; what its client is told.
    async fn pass(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(at) = self.choose() else { return reply(StatusCode::SERVICE_UNAVAILABLE, String::new()) };
        let pool = {
            let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
            pools.entry(at).or_insert_with(|| Arc::new(Pool::new(at))).clone()
        };
        let mut onward = Request::new(Full::default());
        *onward.method_mut() = request.method().clone();
        *onward.uri_mut() = request.uri().clone();
        *onward.headers_mut() = request.headers().clone();
        match pool.ask(onward).await {
            Ok(answer) => reply(answer.status, answer.body),
            Err(_) => reply(StatusCode::BAD_GATEWAY, String::new()),
        }
    }

    fn choose(&self) -> Option<SocketAddr> {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let up: Vec<&Target> = list.iter().filter(|target| target.state == "up").collect();
        if self.config.stand_in.breaks == Some(Breaks::Cold) {
            return up.iter().max_by_key(|target| target.boot_ms).map(|target| target.endpoint);
        }
        (!up.is_empty()).then(|| up[rand::rng().random_range(0..up.len())].endpoint)
    }
}

fn reply(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
}
