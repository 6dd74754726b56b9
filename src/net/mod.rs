//! The sidecar on its sockets. Start-up, signals and the parts' acquaintance are here; the rest, from
//! plain types up, each knowing only what stands before it:
//!
//! `guard`, `clock`, `start_times`, `list_translator`, `budget`, `persistence`, `discovery_health`, `discovery_call`,
//! `peers`, `counters`, `manual_ejections`, `hot_restart`: tasks, time, lists in the policy's terms, sockets held, what is kept, what
//! comes of discovery, calls at it, the fleet, counts, orders, other processes of this sidecar;
//! `progress`, `passing`: how far an attempt is, bodies that pass through;
//! `outbound`, `discovery`: connections to endpoints and to discovery;
//! `log_text`, `message`, `open`, `driver`: turns what happens there into the policy's events, and carries out its actions;
//! `phase`, `stream`, `request`, `turn`, `reply`, `inbound`: how far this process is, clients' words, connections and answers;
//! `control`: the operators' door.

mod budget;
mod clock;
mod control;
mod counters;
mod discovery;
mod discovery_call;
mod discovery_health;
mod driver;
mod guard;
mod hot_restart;
mod inbound;
mod list_translator;
mod log_text;
mod manual_ejections;
mod message;
mod open;
mod outbound;
mod passing;
mod peers;
mod persistence;
mod phase;
mod progress;
mod reply;
mod request;
mod start_times;
mod stream;
mod turn;

use crate::logging::LogHandle;
use budget::Budget;
use clock::Clock;
use control::{AdminApi, Followed};
use counters::Counters;
use discovery::{Discovery, DiscoveryCommand};
use discovery_health::DiscoveryHealth;
use driver::{Around, Driver};
use gullpulley::config::{
    Config, ConfigError, DOOR_RESERVE, Difference, Fault, Named, Vars, differences, keys,
};
use gullpulley::{Balancer, is_local};
use hot_restart::ProcessRegistration;
use inbound::Inbound;
use manual_ejections::{ManualEjectionStore, ManualEjections};
use message::{Inbox, Input};
use outbound::Outbound;
use peers::Peers;
use persistence::Persistence;
use request::Wording;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use tracing::{error, info, warn};

/// How often other processes of this sidecar are looked for.
const LOOK: Duration = Duration::from_millis(100);
/// A new process takes clients once it may send by the endpoint list, and not later than this: it has 6 s to say that
/// it is ready.
const LIST_WAIT: Duration = Duration::from_secs(5);
/// How often and how long after each other a faulty file is looked at: it may just be being written.
const RELOAD_LOOKS: u32 = 5;
const RELOAD_LOOK: Duration = Duration::from_millis(100);
/// An address in use is tried again for so long, and this often.
const BIND_PATIENCE: Duration = Duration::from_secs(1);
const BIND_LOOK: Duration = Duration::from_millis(5);
/// A process joins its fleet when its start is durable, or after this without it: a disk that hangs, or that an older
/// process still has, must not keep it out.
const DISK_WAIT: Duration = Duration::from_secs(5);
/// A process that ends before it took any client stays for so long, for its fleet to hear that it leaves.
const LEAVING: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted; the system may allow fewer.
const BACKLOG: u32 = 1024;

/// Serves until SIGTERM and drains, on a `LocalSet`. At SIGHUP the configuration's file is read again.
pub async fn run(config: Config, file: PathBuf, log: LogHandle) -> Result<(), String> {
    let reload = Reload { file, held: config.entries(), log: log.clone() };
    let Config {
        name,
        listen,
        control,
        discovery,
        seed,
        sockets,
        memory_mb,
        known,
        settings,
        names,
        state,
        fleet,
        ..
    } = config;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let clock = Clock::start();
    let balancer =
        Balancer::new(settings.clone(), seed, clock.now()).map_err(|e| format!("settings: {e}"))?;
    let sockets = sockets - control.map_or(0, |_| DOOR_RESERVE);
    let budget = Budget::new(sockets, memory_mb);
    let (inbox, inputs) = mpsc::unbounded_channel();
    let (calls, asked) = mpsc::unbounded_channel();
    let listed = |named: &[Named]| named.iter().map(|n| n.name.clone()).collect::<Vec<_>>();
    let (classes, tenants) = (listed(&names.classes), listed(&names.tenants));
    let (to_log, disk) = crossbeam_channel::bounded(gullpulley::fleet::host::DISK_DEPTH);
    let agrees = fleet.as_ref().is_some_and(|fleet| !fleet.voters.is_empty());
    let persistence = match state {
        Some(folder) => {
            let (persistence, said) = Persistence::open(folder, &name, agrees.then_some(to_log))
                .map_err(|e| format!("state: {e}"))?;
            spawn_local(persistence.clone().follow(said));
            Some(persistence)
        }
        None => None,
    };
    let peers = match fleet {
        Some(fleet) => {
            let zone = names.areas.get(settings.zone.0 as usize).map_or("", String::as_str);
            let peers = Peers::start(fleet, &name, zone, settings.balancers, disk);
            Some(peers.map_err(|e| format!("fleet: {e}"))?)
        }
        None => None,
    };
    if let Some(peers) = &peers {
        let inbox = inbox.clone();
        // Fails only while the process ends.
        spawn_local(peers.clone().follow(move |living| drop(inbox.send(Input::Balancers(living)))));
        let (peers, persistence) = (peers.clone(), persistence.clone());
        spawn_local(async move {
            // Nothing is said of a start before it is durable.
            let start = match &persistence {
                Some(persistence) => persistence.start(DISK_WAIT).await,
                None => None,
            };
            let kept = persistence.zip(start).map(|(persistence, (folder, _))| persistence.joining(folder));
            peers.join(start, kept);
        });
    }
    let health = DiscoveryHealth::new();
    let counters = Counters::new(&classes, log, health.clone(), persistence, peers.clone());
    let outbound = Outbound::new(&settings, budget.clone(), counters.clone());
    let inbound = Inbound::new(
        Wording { settings: settings.clone(), classes, tenants },
        budget.clone(),
        counters.clone(),
        outbound.clone(),
        inbox.clone(),
    );
    let news = inbox.clone();
    let discovery = Discovery::new(discovery, &settings, names, seed, health, clock, move |said| {
        let _ = news.send(Input::List(said)); // fails only while the process ends
    });
    let ejections = ManualEjectionStore::new(&std::env::temp_dir(), &name);
    if control.is_some() {
        // Before the first list, so before the first send.
        let _ = inbox.send(Input::Standing(standing(&ejections), oneshot::channel().0));
    }
    let sharing = control.and_then(|_| join(&name)).map(|registration| Sharing {
        registration,
        budget,
        inbound: inbound.clone(),
        outbound: outbound.clone(),
        inbox: inbox.clone(),
    });
    // Before the list: beside an older process this one does not wait for its turn at discovery.
    if let Some(sharing) = &sharing {
        sharing.look();
    }
    // The list as last held is there before the first client.
    let _ = inbox.send(Input::List(discovery.cached(known)));
    let attempts = settings.limits.max_attempts;
    let (rules, discovery_mode) = (settings.rules.clone(), settings.discovery);
    spawn_local(reload.follow(hup, calls.clone()));
    let around = Around {
        outbound: outbound.clone(),
        discovery: discovery.clone(),
        calls,
        inbox: inbox.clone(),
        counters: counters.clone(),
        list_holds: watch::Sender::new(false),
    };
    let mut list_holds = around.list_holds.subscribe();
    let driver = Driver::new(balancer, clock, attempts, around);
    let mut driver = spawn_local(driver.run(inputs));
    spawn_local(discovery.clone().run(asked));
    spawn_local(outbound.clone().sweep());
    let getting_ready = async {
        // Others serve meanwhile: the list known at its start may be old.
        if timeout(LIST_WAIT, list_holds.wait_for(|holds| *holds)).await.is_err() {
            warn!("no list in {LIST_WAIT:?}: requests are held until discovery tells one");
        }
        if let Some(sharing) = sharing {
            spawn_local(sharing.keep_up());
        }
        let door = match control {
            Some(control) => {
                let bind = patiently(|| listen_at(control, false));
                Some((control, bind.await.map_err(|e| format!("control: {control}: {e}"))?))
            }
            None => None,
        };
        // Last: from here on clients may wait in the backlog.
        let bind = patiently(|| listen_at(listen, control.is_some()));
        let listener = bind.await.map_err(|e| format!("listen: {listen}: {e}"))?;
        Ok::<_, String>((door, listener))
    };
    let ready = tokio::select! {
        biased;
        _ = term.recv() => None,
        ready = getting_ready => Some(ready?),
    };
    // Its time until it is killed runs already: whom it took now it might not answer.
    let Some((door, listener)) = ready else {
        info!("told to end before it took any client");
        if let Some(peers) = &peers {
            peers.leave();
            sleep(LEAVING).await;
        }
        return Ok(());
    };
    if let Some((control, door)) = door {
        info!(sidecar = name, %control, "the operators' door is open");
        let behind = AdminApi::new(ejections, counters, inbound.clone(), inbox);
        // Orders given to an older process since this one began hold from the first client on.
        let followed = behind.look(Followed::InForce(None)).await;
        spawn_local(behind.clone().follow(followed));
        spawn_local(behind.serve(door));
    }
    info!(sidecar = name, %listen, version = env!("CARGO_PKG_VERSION"), "serving");
    let ask_within_ms = rules.ask_within.as_millis() as u64;
    let drain_grace_ms = rules.drain_grace.as_millis() as u64;
    info!(?discovery_mode, ask_within_ms, drain_grace_ms, "the terms of the endpoint list");
    tokio::select! {
        () = inbound.serve(listener, term, || peers.iter().for_each(|peers| peers.leave())) => Ok(()),
        ended = &mut driver => Err(format!("the driver ended: {ended:?}")),
    }
}

/// Whether a bind may succeed a moment later: a process that was killed holds its address until the last of its threads
/// has ended, and its successor may be there before; or the machine lacks descriptors or memory for a moment.
fn is_passing(error: &io::Error) -> bool {
    let kind = error.kind();
    kind == io::ErrorKind::AddrInUse || kind != io::ErrorKind::AddrNotAvailable && is_local(error)
}

/// Binds, and tries again for a while where that may help.
async fn patiently(bind: impl Fn() -> io::Result<TcpListener>) -> io::Result<TcpListener> {
    let until = Instant::now() + BIND_PATIENCE;
    loop {
        match bind() {
            Err(e) if is_passing(&e) && Instant::now() < until => {
                sleep(BIND_LOOK).await;
            }
            bound => return bound,
        }
    }
}

/// Listens for clients; shared, another process of this sidecar may do so at the same address.
fn listen_at(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Makes this process known to others of the same sidecar. Where that fails it serves as if alone.
fn join(name: &str) -> Option<ProcessRegistration> {
    let joined = ProcessRegistration::register(&std::env::temp_dir(), name);
    joined.inspect_err(|e| warn!("$TMPDIR: {e}; other processes of this sidecar go unseen")).ok()
}

/// Parts with other processes of this sidecar what it may hold.
struct Sharing {
    registration: ProcessRegistration,
    budget: Rc<Budget>,
    inbound: Rc<Inbound>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
}

impl Sharing {
    /// Looks for others, and parts with them; how many there are.
    fn look(&self) -> usize {
        let others = self.registration.count_others();
        if self.budget.share(others + 1) {
            let _ = self.inbox.send(Input::Shared(others + 1));
            self.outbound.shrink();
        }
        others
    }

    async fn keep_up(self) {
        loop {
            sleep(LOOK).await;
            self.inbound.succeeded(self.look() > 0);
        }
    }
}

/// What the operators had said of endpoints before this process began.
fn standing(ejections: &ManualEjectionStore) -> ManualEjections {
    ejections.read().unwrap_or_else(|problem| {
        error!("suspended endpoints: {problem}; none is taken out");
        ManualEjections::default()
    })
}

/// What a SIGHUP changes.
struct Reload {
    file: PathBuf,
    /// What is in force, as a configuration's entries.
    held: Vec<(String, String)>,
    log: LogHandle,
}

impl Reload {
    /// At each SIGHUP reads the configuration again: what can change does, what can't is said, and a faulty file
    /// changes nothing.
    async fn follow(mut self, mut hup: Signal, calls: mpsc::UnboundedSender<DiscoveryCommand>) {
        while hup.recv().await.is_some() {
            match self.read().await {
                Ok(config) => self.apply(config, &calls),
                Err(faults) => {
                    for fault in faults.0 {
                        error!("SIGHUP: {fault}; the configuration stays as it was");
                    }
                }
            }
        }
    }

    /// Reads the file; a faulty one may be half written, and is looked at again before that is said.
    async fn read(&self) -> Result<Config, ConfigError> {
        let mut looks = 0;
        loop {
            let file = self.file.clone();
            // A slow disk must not hold up requests.
            let read = spawn_blocking(move || Config::load(&file, &Vars::of_process().after_the_start()));
            let read = read.await.unwrap_or_else(|e| Err(Fault::new("", "", e, "").into()));
            looks += 1;
            if read.is_ok() || looks == RELOAD_LOOKS {
                return read;
            }
            sleep(RELOAD_LOOK).await;
        }
    }

    fn apply(&mut self, config: Config, calls: &mpsc::UnboundedSender<DiscoveryCommand>) {
        for Difference { key, before, after } in differences(&self.held, &config.entries()) {
            let [before, after] = [&before, &after].map(|value| value.as_deref().unwrap_or("unsaid"));
            if keys::LIVE.contains(&key.as_str()) {
                if key == "log.level"
                    && let Err(problem) = self.log.set_level(&config.log.level)
                {
                    error!("SIGHUP: {problem}");
                }
                info!("SIGHUP: {key} is {after}, it was {before}");
                self.held
                    .iter_mut()
                    .filter(|(held, _)| *held == key)
                    .for_each(|(_, value)| *value = after.to_owned());
            } else {
                warn!("SIGHUP: {key} stays {before}; {after} holds from the next start");
            }
        }
        let _ = calls.send(DiscoveryCommand::Move(config.discovery)); // fails only while the process ends
    }
}
