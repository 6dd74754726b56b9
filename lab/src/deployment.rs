//! A whole deployment on loopback: zones, endpoints behind relays, discovery, copies of the program.

use crate::copies::{Copy, CopyError, Keeper, front};
use crate::discovery::{self, Entry, Table};
use crate::endpoint::{Endpoint, World, mean_work};
use crate::experiment::{Experiment, Fault, Group, Repeats, What};
use crate::ledger::Ledger;
use crate::network::{self, Network, Place};
use crate::schedule::TraceError;
use nix::sys::signal::Signal;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Ports of one deployment: endpoints and copies at most.
const PORTS: u16 = 4000;
/// The first port; above those of well-known services, and below those that the system gives out.
const PORT: u16 = 4100;
/// Deployments of one process that can stand at once.
const DEPLOYMENTS: u16 = 7;
/// Sidecars may send to a draining endpoint for so long after it was told, the sockets' allowance included.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// The list has reached every copy within this of its readiness.
const LIST_WITHIN: Duration = Duration::from_secs(5);

static STOOD: AtomicU16 = AtomicU16::new(0);

/// Why a deployment does not stand.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// The system refused.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// There is no load for it.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// A copy did not start.
    #[error(transparent)]
    Copy(#[from] CopyError),
    /// It is too large.
    #[error("{0} endpoints and copies are too many; {PORTS} fit")]
    TooLarge(usize),
    /// A copy never heard of the endpoints.
    #[error("{0} knows no endpoints after {1} s")]
    NoList(String, u64),
}

/// A deployment that stands; taken down when dropped.
pub struct Deployment {
    /// Its copies, in the order of their names in the experiment.
    pub copies: Vec<Arc<Copy>>,
    /// Its endpoints.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// What the endpoints saw.
    pub ledger: Arc<Ledger>,
    /// What a relay adds to a round trip at the median, measured before the load.
    pub relay_adds: Duration,
    experiment: Arc<Experiment>,
    network: Arc<Network>,
    table: Arc<watch::Sender<Table>>,
    _tasks: JoinSet<()>,
}

/// The addresses of one deployment: an IP address for each sort of part, a port for each part.
struct Addresses {
    process: [u8; 2],
    base: u16,
}

impl Addresses {
    fn new() -> Self {
        let process = std::process::id();
        let turn = STOOD.fetch_add(1, Ordering::SeqCst) % DEPLOYMENTS;
        Addresses { process: [1 + (process >> 8) as u8 % 250, process as u8], base: PORT + turn * PORTS }
    }

    fn at(&self, sort: usize, number: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.process[0], self.process[1], 1 + sort as u8);
        SocketAddr::from((ip, self.base + number as u16))
    }
}

/// Sorts of parts, above the zones' numbers.
const ENDPOINT: usize = 200;
const CLIENTS: usize = 201;
const DOOR: usize = 202;
const DISCOVERY: usize = 203;
const ECHO: usize = 204;
/// Round trips by which the relays are measured.
const TRIPS: usize = 300;

impl Deployment {
    /// Sets a deployment up, with copies of this program and their files in this folder; returns once every copy is
    /// ready and knows the endpoints.
    pub async fn stand(
        experiment: &Arc<Experiment>,
        program: &Path,
        folder: &Path,
    ) -> Result<Self, DeploymentError> {
        let parts = experiment.endpoints().len() + experiment.copies().len();
        if parts > usize::from(PORTS) {
            return Err(DeploymentError::TooLarge(parts));
        }
        let addresses = Addresses::new();
        let zones = experiment.zone.len();
        let network = Network::new(zones, |from, to| experiment.delay(from, to));
        let ledger = Arc::new(Ledger::default());
        let world = Arc::new(World {
            seed: experiment.seed,
            classes: experiment.class.clone(),
            mean_work: mean_work(&experiment.class),
            drain_grace: DRAIN_GRACE,
            ledger: ledger.clone(),
            keys: Default::default(),
        });
        let mut tasks = JoinSet::new();
        let (mut endpoints, mut entries) = (Vec::new(), Vec::new());
        for (number, described) in experiment.endpoints().into_iter().enumerate() {
            let (address, zone, cell) = (addresses.at(ENDPOINT, number), described.zone, described.cell);
            let name = described.name.clone();
            let endpoint = Endpoint::new(described, number as u64, address, world.clone());
            tasks.spawn(endpoint.clone().serve(bind("an endpoint", address).await?));
            let mut relays = Vec::new();
            for from in 0..zones {
                let place = Place { at: addresses.at(from, number), target: address };
                let (there, back) = (network.way(from, zone), network.way(zone, from));
                let (first, up) = (bind("a relay", place.at).await?, endpoint.up.subscribe());
                tasks.spawn(ended("a relay", network::relay(first, place, there, back, up)));
                relays.push(place.at);
            }
            let zone = experiment.zone[zone].name.clone();
            entries.push(Entry {
                uid: name,
                zone,
                cell,
                addresses: relays,
                state: "up",
                boot_ms: 0,
                rev: 1,
            });
            endpoints.push(endpoint);
        }
        let table = Arc::new(watch::Sender::new(Table { rev: 1, entries, ..Table::default() }));
        for zone in 0..zones {
            let at = addresses.at(DISCOVERY, zone);
            tasks.spawn(discovery::serve(bind("discovery", at).await?, zone, table.subscribe()));
        }
        let keeper = Keeper::start().map_err(|e| DeploymentError::Io("the keeper".to_owned(), e))?;
        let (names, mut copies) = (experiment.copies(), Vec::new());
        for (zone, described) in experiment.zone.iter().enumerate() {
            for _ in 0..described.copies {
                let number = copies.len();
                let here = folder.join(&names[number]);
                let listens = [addresses.at(CLIENTS, number), addresses.at(DOOR, number)];
                let text = configuration(experiment, number, zone, listens, addresses.at(DISCOVERY, zone));
                std::fs::create_dir_all(&here)
                    .and_then(|()| std::fs::write(here.join("copy.toml"), text))
                    .map_err(|e| DeploymentError::Io(here.display().to_string(), e))?;
                copies.push(Copy::new(names[number].clone(), zone, listens, program, here, keeper.clone()));
            }
        }
        let measured = network::overhead(addresses.at(ECHO, 0), addresses.at(ECHO, 1), TRIPS).await;
        let relay_adds = measured.map_err(|e| DeploymentError::Io("a relay".to_owned(), e))?;
        let experiment = experiment.clone();
        let deployment =
            Deployment { copies, endpoints, ledger, relay_adds, experiment, network, table, _tasks: tasks };
        deployment.start_copies().await?;
        Ok(deployment)
    }

    async fn start_copies(&self) -> Result<(), DeploymentError> {
        let mut starting = JoinSet::new();
        for copy in self.copies.clone() {
            starting.spawn(async move {
                copy.start().await?;
                let until = Instant::now() + LIST_WITHIN;
                while copy.figure("members").await.is_none_or(|members| members < 1.0) {
                    if Instant::now() > until {
                        return Err(DeploymentError::NoList(copy.name.clone(), LIST_WITHIN.as_secs()));
                    }
                    sleep(Duration::from_millis(20)).await;
                }
                copy.fronted.store(true, Ordering::SeqCst);
                Ok::<_, DeploymentError>(())
            });
        }
        while let Some(started) = starting.join_next().await {
            started
                .map_err(|e| DeploymentError::Io("a copy's start".to_owned(), io::Error::other(e)))??;
        }
        Ok(())
    }

    /// The front's watch over the copies; to be run beside the load.
    pub fn fronts(&self) -> JoinSet<()> {
        let lag = self.experiment.load.front_lag;
        let mut fronts = JoinSet::new();
        self.copies.iter().for_each(|copy| drop(fronts.spawn(front(copy.clone(), lag))));
        fronts
    }

    /// Changes the list for some endpoints, once discovery tells it.
    async fn tell(&self, of: &[Arc<Endpoint>], state: &'static str, boot: bool) {
        sleep(self.experiment.discovery.late).await;
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.table.send_modify(|table| {
            table.rev += 1;
            for entry in table.entries.iter_mut().filter(|entry| of.iter().any(|e| e.name == entry.uid)) {
                (entry.state, entry.rev) = (state, table.rev);
                if boot {
                    entry.boot_ms = boot_ms;
                }
            }
        });
    }

    /// The endpoints that a fault strikes: one by its name, or all of a zone.
    fn struck(&self, fault: &Fault) -> Vec<Arc<Endpoint>> {
        let zone = self.experiment.zone.iter().position(|zone| zone.name == fault.of);
        let hit = |e: &&Arc<Endpoint>| e.name == fault.of || Some(e.zone) == zone;
        self.endpoints.iter().filter(hit).cloned().collect()
    }

    fn copy(&self, name: &str) -> Option<&Arc<Copy>> {
        self.copies.iter().find(|copy| copy.name == name)
    }

    /// Changes the ways between a fault's zone and the others, or the one that it names.
    fn change_ways(&self, fault: &Fault, both: bool, change: impl Fn(&mut network::Way)) {
        let number = |name: &String| self.experiment.zone.iter().position(|zone| zone.name == *name);
        let Some(from) = number(&fault.of) else { return };
        let to = fault.to.as_ref().and_then(number);
        for other in (0..self.experiment.zone.len()).filter(|&z| z != from && to.is_none_or(|to| to == z)) {
            self.network.change(from, other, &change);
            if both {
                self.network.change(other, from, &change);
            }
        }
    }

    /// Lets a fault begin.
    pub async fn strike(&self, fault: &Fault) -> Result<(), DeploymentError> {
        match fault.what {
            What::Kill | What::Term => {
                if let Some(copy) = self.copy(&fault.of) {
                    copy.end(if fault.what == What::Kill { Signal::SIGKILL } else { Signal::SIGTERM })
                        .await;
                }
            }
            What::Pause => self.copy(&fault.of).into_iter().for_each(|copy| copy.pause(true)),
            What::ZoneLost => {
                let zone = self.experiment.zone.iter().position(|zone| zone.name == fault.of);
                let copies = self.copies.iter().filter(|copy| Some(copy.zone) == zone);
                let mut ending: JoinSet<()> = JoinSet::new();
                for copy in copies.map(Arc::clone) {
                    ending.spawn(async move { copy.end(Signal::SIGKILL).await });
                }
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.stop());
                while ending.join_next().await.is_some() {}
                self.tell(&struck, "removed", false).await;
            }
            What::CutOff => self.change_ways(fault, true, |way| way.open = false),
            What::CutOffOneWay => self.change_ways(fault, false, |way| way.open = false),
            What::Reset => self.change_ways(fault, true, |way| way.reset = true),
            What::Loss => self.change_ways(fault, true, |way| way.loss = fault.by),
            What::Delay => {
                let more = Duration::from_secs_f64(fault.by.max(0.0) / 1e3);
                self.change_ways(fault, true, |way| way.delay += more);
            }
            What::Slow => self.struck(fault).iter().for_each(|e| e.change(|c| c.slow = fault.by.max(0.01))),
            What::Failing => self.struck(fault).iter().for_each(|e| e.change(|c| c.failing = fault.by)),
            What::Silent => self.struck(fault).iter().for_each(|e| e.change(|c| c.silent = true)),
            What::Gone => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.stop());
                self.tell(&struck, "removed", false).await;
            }
            What::Drain => {
                let struck = self.struck(fault);
                self.tell(&struck, "draining", false).await;
                struck.iter().for_each(|e| e.change(|c| c.draining = Some(Instant::now())));
            }
            What::DiscoveryDown => self.table.send_modify(|table| table.down = true),
            What::DiscoveryStale => {
                if let Some(zone) = self.experiment.zone.iter().position(|zone| zone.name == fault.of) {
                    self.table.send_modify(|table| {
                        let now = (table.rev, table.entries.clone());
                        table.stale.insert(zone, now);
                    });
                }
            }
        }
        Ok(())
    }

    /// Lets a fault end.
    pub async fn lift(&self, fault: &Fault) -> Result<(), DeploymentError> {
        match fault.what {
            What::Kill | What::Term => {
                if let Some(copy) = self.copy(&fault.of) {
                    copy.start().await?;
                }
            }
            What::Pause => self.copy(&fault.of).into_iter().for_each(|copy| copy.pause(false)),
            What::ZoneLost => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.start());
                let zone = self.experiment.zone.iter().position(|zone| zone.name == fault.of);
                for copy in self.copies.iter().filter(|copy| Some(copy.zone) == zone) {
                    copy.start().await?;
                }
                self.tell(&struck, "up", true).await;
            }
            What::CutOff => self.change_ways(fault, true, |way| way.open = true),
            What::CutOffOneWay => self.change_ways(fault, false, |way| way.open = true),
            What::Reset => self.change_ways(fault, true, |way| way.reset = false),
            What::Loss => self.change_ways(fault, true, |way| way.loss = 0.0),
            What::Delay => {
                let more = Duration::from_secs_f64(fault.by.max(0.0) / 1e3);
                self.change_ways(fault, true, |way| way.delay = way.delay.saturating_sub(more));
            }
            What::Slow => self.struck(fault).iter().for_each(|e| e.change(|c| c.slow = 1.0)),
            What::Failing => self.struck(fault).iter().for_each(|e| e.change(|c| c.failing = 0.0)),
            What::Silent => self.struck(fault).iter().for_each(|e| e.change(|c| c.silent = false)),
            What::Gone => {
                let struck = self.struck(fault);
                struck.iter().for_each(|endpoint| endpoint.start());
                self.tell(&struck, "up", true).await;
            }
            What::Drain => {
                let struck = self.struck(fault);
                struck.iter().for_each(|e| e.change(|c| c.draining = None));
                self.tell(&struck, "up", false).await;
            }
            What::DiscoveryDown => self.table.send_modify(|table| table.down = false),
            What::DiscoveryStale => {
                if let Some(zone) = self.experiment.zone.iter().position(|zone| zone.name == fault.of) {
                    self.table.send_modify(|table| drop(table.stale.remove(&zone)));
                }
            }
        }
        Ok(())
    }
}

/// Binds a part's address, or says which part can't have it.
async fn bind(part: &str, at: SocketAddr) -> Result<TcpListener, DeploymentError> {
    network::listen(at).await.map_err(|e| DeploymentError::Io(format!("{part} at {at}"), e))
}

/// Says why a part of the world ended before it: nothing would ever answer in its place.
async fn ended(part: &'static str, serving: impl Future<Output = io::Result<()>>) {
    if let Err(e) = serving.await {
        eprintln!("lab: {part} ended: {e}");
    }
}

/// A copy's configuration, as an operator would write it.
fn configuration(
    experiment: &Experiment,
    number: usize,
    zone: usize,
    [clients, door]: [SocketAddr; 2],
    discovery: SocketAddr,
) -> String {
    let micros = |time: Duration| format!("{}us", time.as_micros());
    let zones: Vec<&str> = experiment.zone.iter().map(|zone| zone.name.as_str()).collect();
    let kind = experiment.kind.values().next();
    let classes = experiment.class.iter().map(|class| {
        let mut table = toml::toml! { name = "" };
        let (repeats, group) = match (class.repeats, class.group) {
            (Repeats::Safe, _) => ("safe", "all"),
            (Repeats::Keyed, Group::All) => ("keyed", "all"),
            (Repeats::Keyed, Group::Zone) => ("keyed", "zone"),
            (Repeats::Keyed, Group::Cell) => ("keyed", "cell"),
            (Repeats::Never, _) => ("never", "all"),
        };
        table.insert("name".into(), class.name.clone().into());
        table.insert("repeats".into(), repeats.into());
        table.insert("group".into(), group.into());
        table.insert("window".into(), micros(class.window).into());
        table.insert("wanted".into(), micros(class.wanted).into());
        table.insert("deadline".into(), micros(class.deadline).into());
        table.insert("worth".into(), class.worth.into());
        toml::Value::Table(table)
    });
    let classes: Vec<toml::Value> = classes.collect();
    let (cold, warm, fall, after) = kind.map_or((0.25, 5, 4.0, 3), |kind| {
        (
            kind.cold_share,
            kind.warm_within.as_secs().max(1),
            kind.fall_multiple,
            kind.fall_after.as_secs().max(1),
        )
    });
    let mut table = toml::toml! {
        [discovery]
        mode = "watch"
        [limits]
        second_copies = true
        max_attempts = 4
        [rules]
        drain_grace = "500ms"
    };
    let put = |table: &mut toml::Table, section: &str, key: &str, value: toml::Value| {
        let section = table.entry(section).or_insert_with(|| toml::Table::new().into());
        if let Some(section) = section.as_table_mut() {
            section.insert(key.to_owned(), value);
        }
    };
    put(&mut table, "listen", "clients", clients.to_string().into());
    put(&mut table, "listen", "operators", door.to_string().into());
    put(&mut table, "discovery", "address", discovery.to_string().into());
    put(&mut table, "place", "zone", zones[zone].into());
    put(&mut table, "place", "zones", zones.into_iter().map(toml::Value::from).collect::<Vec<_>>().into());
    put(&mut table, "place", "balancers", (experiment.copies().len() as i64).into());
    put(&mut table, "place", "number", (number as i64).into());
    put(&mut table, "rules", "cold_share", cold.into());
    put(&mut table, "rules", "warm_within", format!("{warm}s").into());
    put(&mut table, "rules", "fall_multiple", fall.into());
    put(&mut table, "rules", "fall_after", format!("{after}s").into());
    table.insert("name".to_owned(), experiment.copies()[number].clone().into());
    table.insert("class".to_owned(), classes.into());
    let tenants = experiment.tenant.iter().map(|tenant| {
        let mut table = toml::Table::new();
        table.insert("name".into(), tenant.name.clone().into());
        table.insert("allowance_per_s".into(), tenant.allowance_per_s.into());
        toml::Value::Table(table)
    });
    if !experiment.tenant.is_empty() {
        table.insert("tenant".to_owned(), tenants.collect::<Vec<_>>().into());
    }
    for (section, given) in &experiment.copy {
        match (given, table.get_mut(section)) {
            (toml::Value::Table(given), Some(toml::Value::Table(section))) => section.extend(given.clone()),
            _ => drop(table.insert(section.clone(), given.clone())),
        }
    }
    table.to_string()
}
