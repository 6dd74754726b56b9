//! A whole deployment on loopback: zones, endpoints behind relays, discovery, copies of the program.

mod addresses;
mod configuration;
mod faults;

use crate::copies::{Copy, CopyError, Handling, INJECTED, Keeper, Places, STATE, front};
use crate::discovery::{self, Behind, Caller, Desk, Entry, Table, Troubles};
use crate::endpoint::{Endpoint, World, mean_work};
use crate::experiment::{DescribedCopy, Experiment};
use crate::ledger::Ledger;
use crate::network::datagrams::{self, Post, Sent};
use crate::network::relay::{self, Place};
use crate::network::{self, Network, streams};
use crate::schedule::TraceError;
use crate::seeds::{Part, draws};
use crate::telling::Tellings;
use addresses::{Addresses, CLIENTS, DISCOVERY, DISCOVERY_MOVED, DOOR, ECHO, ENDPOINT, KNOWN, PORTS};
use configuration::configuration;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Round trips by which the relays are measured.
const TRIPS: usize = 300;
/// Sidecars may send to a draining endpoint for so long after it was told, the sockets' allowance included.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// The list has reached every copy within this of its readiness.
const LIST_WITHIN: Duration = Duration::from_secs(5);

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
    /// What each copy said to others in datagrams; empty where its configuration has no `fleet`.
    pub said: Vec<Arc<Sent>>,
    /// When copies were told of changes.
    pub tellings: Arc<Tellings>,
    /// What a relay adds to a round trip at the median, measured before the load.
    pub relay_adds: Duration,
    experiment: Arc<Experiment>,
    network: Arc<Network>,
    table: Arc<watch::Sender<Table>>,
    _tasks: JoinSet<()>,
}

impl Deployment {
    /// Sets a deployment up, with copies of this program and their files in this folder; returns once every copy is
    /// ready and knows the endpoints.
    pub async fn stand(
        experiment: &Arc<Experiment>,
        program: &Path,
        folder: &Path,
    ) -> Result<Self, DeploymentError> {
        let described_copies = experiment.copies();
        let parts = experiment.endpoints().len() + described_copies.len();
        if parts > usize::from(PORTS) {
            return Err(DeploymentError::TooLarge(parts));
        }
        let addresses = Addresses::new();
        let zones = experiment.zone.len();
        let network = Network::new(zones, |from, to| experiment.delay(from, to));
        let ledger = Arc::new(Ledger::default());
        let tiers = described_copies.iter().map(|copy| copy.tier).collect();
        let tellings = Arc::new(Tellings::new(experiment.discovery.told_after, tiers));
        let world = Arc::new(World {
            seed: experiment.seed,
            classes: experiment.class.clone(),
            tiers: experiment.tiers(),
            mean_work: mean_work(&experiment.class),
            drain_grace: DRAIN_GRACE,
            ledger: ledger.clone(),
            tellings: tellings.clone(),
            keys: Default::default(),
            calls: Default::default(),
        });
        let keeper = Keeper::start().map_err(|e| DeploymentError::Io("the keeper".to_owned(), e))?;
        let mut tasks = JoinSet::new();
        let post = |(number, copy): (usize, &DescribedCopy)| Post {
            own: addresses.of_copy(number),
            known: addresses.at(KNOWN, number),
            zone: copy.zone,
        };
        let posts: Vec<Post> = match experiment.copy.contains_key("fleet") {
            true => described_copies.iter().enumerate().map(post).collect(),
            false => Vec::new(),
        };
        let said = datagrams::pass(&posts, &network, &mut tasks).await;
        let said = said.map_err(|e| DeploymentError::Io("a relay of datagrams".to_owned(), e))?;
        let streams = streams::pass(&posts, &network, &mut tasks).await;
        streams.map_err(|e| DeploymentError::Io("a relay between copies".to_owned(), e))?;
        let copies = set_out(experiment, &addresses, &posts, program, folder, &keeper)?;
        let (mut endpoints, mut entries) = (Vec::new(), Vec::new());
        for (number, described) in experiment.endpoints().into_iter().enumerate() {
            let address = addresses.at(ENDPOINT, number);
            let beside = described_copies.iter().position(|copy| copy.beside == Some(number));
            let behind = beside.map(|copy| copies[copy].clone());
            let (zone, cell, tier) = (described.zone, described.cell, described.kind.tier);
            let endpoint = Endpoint::new(described, number as u64, address, behind, world.clone());
            tasks.spawn(endpoint.clone().serve(bind("an endpoint", address).await?));
            let mut relays = Vec::new();
            for from in 0..zones {
                let place = Place { at: addresses.at(from, number), target: address };
                let (there, back) = (network.way(from, zone), network.way(zone, from));
                let (first, up) = (bind("a relay", place.at).await?, endpoint.up.subscribe());
                tasks.spawn(ended("a relay", relay::relay(first, place, there, back, up)));
                relays.push(place.at);
            }
            let (uid, zone) = (endpoint.name.clone(), experiment.zone[zone].name.clone());
            entries.push(Entry {
                uid,
                zone,
                cell,
                tier,
                addresses: relays,
                state: "up",
                boot_ms: 0,
                rev: 1,
            });
            endpoints.push(endpoint);
        }
        let table = Arc::new(watch::Sender::new(Table { rev: 1, entries, ..Table::default() }));
        let desk = Arc::new(Desk::new(&experiment.discovery, table.subscribe()));
        let troubles = Arc::new(Troubles::new(experiment.seed));
        for copy in &copies {
            for address in copy.discovery {
                let listener = bind("discovery", address).await?;
                let caller = Caller { copy: copy.number, zone: copy.zone, tier: copy.tier };
                let (table, desk, tellings) = (table.subscribe(), desk.clone(), tellings.clone());
                let behind = Behind { table, desk, troubles: troubles.clone(), tellings };
                tasks.spawn(ended("discovery", discovery::serve(listener, caller, behind)));
            }
        }
        let measured = relay::overhead(addresses.at(ECHO, 0), addresses.at(ECHO, 1), TRIPS).await;
        let relay_adds = measured.map_err(|e| DeploymentError::Io("a relay".to_owned(), e))?;
        let experiment = experiment.clone();
        let deployment = Deployment {
            copies,
            endpoints,
            ledger,
            said,
            tellings,
            relay_adds,
            experiment,
            network,
            table,
            _tasks: tasks,
        };
        deployment.start_copies().await?;
        desk.open();
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
            started.map_err(lost_task)??;
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
}

/// Writes each copy's configuration into a folder of its own.
fn set_out(
    experiment: &Experiment,
    addresses: &Addresses,
    posts: &[Post],
    program: &Path,
    folder: &Path,
    keeper: &Arc<Keeper>,
) -> Result<Vec<Arc<Copy>>, DeploymentError> {
    let described = experiment.copies();
    let mut copies = Vec::new();
    for (number, copy) in described.iter().enumerate() {
        let here = folder.join(&copy.name);
        let discovery = [DISCOVERY, DISCOVERY_MOVED].map(|sort| addresses.at(sort, number));
        let [clients, door] = [CLIENTS, DOOR].map(|sort| addresses.at(sort, number));
        let places = [clients, door, discovery[0]];
        let mut table = configuration(experiment, &described, copy, places);
        if experiment.copy.contains_key("state") {
            let dir = here.join(STATE).display().to_string();
            table.insert("state".into(), toml::Table::from_iter([("dir".to_owned(), dir.into())]).into());
        }
        configuration::join(&mut table, &described, copy, posts, number);
        let text = configuration::laid_over(table, &experiment.copy).to_string();
        std::fs::create_dir_all(&here)
            .and_then(|()| std::fs::write(here.join("copy.toml"), text))
            .map_err(|e| DeploymentError::Io(here.display().to_string(), e))?;
        let longest = experiment.class.iter().map(|class| class.deadline).max().unwrap_or_default();
        let injected = experiment.inject.as_ref().map(|inject| {
            let mut draws = draws(experiment.seed, Part::Injected, number as u64);
            inject.plan(draws.random(), &here.join(INJECTED))
        });
        copies.push(Copy::new(
            (number, copy),
            Places { clients, door, discovery },
            [program, &here],
            Handling { warded: experiment.warded(copy), injected, longest },
            keeper.clone(),
        ));
    }
    Ok(copies)
}

fn lost_task(e: tokio::task::JoinError) -> DeploymentError {
    DeploymentError::Io("a task of the lab".to_owned(), io::Error::other(e))
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
