//! The sidecar's I/O. This file has start-up, signals and the wiring of the modules; the modules, in an
//! order in which each depends only on those before it:
//!
//! `abort_on_drop`, `body_limits`, `clock`, `early_end`, `own_memory`, `read_progress`, `monitored_connection`, `start_times`, `list_translator`, `budget`,
//! `persistence`, `discovery_health`, `discovery_call`, `peers`, `counters`, `manual_ejections`,
//! `hot_restart`: tasks, limits on bodies, time, reasons and records of stalled transfers, lists in the policy's types, limits
//! on sockets and memory, persisted state, metrics of discovery, calls to it, the fleet, counters, suspended
//! endpoints, other processes of this sidecar;
//! `progress`, `endless_answer`, `streamed_body`, `read_ahead`, `upload`: progress of an attempt, answers that never end, streamed bodies, and those of clients
//! read ahead and forwarded;
//! `connection_pool`, `outbound`, `discovery`: connections to endpoints, attempts on them, connections to discovery;
//! `log_text`, `message`, `shared_ids`, `request_ids`, `request_state`, `driver`: turn I/O into the policy's events, and carry out
//! its actions;
//! `process_phase`, `streaming_clients`, `stream`, `request`, `connection_state`, `reply`, `inbound`: phase of
//! this process, client connections, requests and answers;
//! `shared_limits`, `process_sharing`: the limits of a sidecar among its processes;
//! `orders`, `control`: orders of the operators, the admin API.

mod abort_on_drop;
mod body_limits;
mod budget;
mod clock;
mod connection_pool;
mod connection_state;
mod control;
mod counters;
mod discovery;
mod discovery_call;
mod discovery_health;
mod driver;
mod early_end;
mod endless_answer;
mod hot_restart;
mod inbound;
mod list_translator;
mod log_text;
mod manual_ejections;
mod message;
mod monitored_connection;
mod orders;
mod outbound;
mod own_memory;
mod peers;
mod persistence;
mod process_phase;
mod process_sharing;
mod progress;
mod read_ahead;
mod read_progress;
mod reply;
mod request;
mod request_ids;
mod request_state;
mod shared_ids;
mod shared_limits;
mod start_times;
mod stream;
mod streamed_body;
mod streaming_clients;
mod upload;

use crate::logging::LogHandle;
use budget::Budget;
use clock::Clock;
use control::AdminApi;
use counters::Counters;
use discovery::{Discovery, DiscoveryCommand};
use discovery_health::DiscoveryHealth;
use driver::{Driver, DriverContext};
use gullpulley::config::{
    ADMIN_RESERVED_SOCKETS, Config, ConfigError, Difference, Fault, Named, Vars, differences, keys,
};
use gullpulley::{Balancer, ClassId, is_local_failure};
use hot_restart::ProcessRegistration;
use inbound::Inbound;
use manual_ejections::{ManualEjectionStore, ManualEjections};
use message::Input;
use monitored_connection::CLIENT_RECEIVE_BUFFER;
use orders::{HandledVersion, Orders};
use outbound::Outbound;
use peers::Peers;
use persistence::Persistence;
use process_sharing::{ProcessSharing, SharingContext};
use request::RequestParser;
use request_ids::RequestIds;
use shared_ids::SharedIds;
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

/// A new process accepts clients once it holds a lease on the endpoint list, and after this at the latest:
/// it has to be ready within 6 s.
const LIST_WAIT: Duration = Duration::from_secs(5);
/// Number of attempts to read a faulty configuration file, and the delay between them: it may be half
/// written.
const RELOAD_ATTEMPTS: u32 = 5;
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long binding to an address in use is retried, and the delay between tries.
const BIND_RETRY_FOR: Duration = Duration::from_secs(1);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);
/// A process joins its fleet once its incarnation is durable, or after this without one: neither a hanging
/// disk nor a predecessor that still has the folder locked may keep it out.
const DISK_WAIT: Duration = Duration::from_secs(5);
/// A process that ends before it accepted any client stays for this long, so that its fleet receives its
/// leave message.
const LEAVE_WAIT: Duration = Duration::from_millis(50);
/// Length of the accept queue; the system may allow less.
const BACKLOG: u32 = 1024;

/// Serves until SIGTERM and drains, on a `LocalSet`. On SIGHUP the configuration file is read again.
pub async fn run(config: Config, file: PathBuf, log: LogHandle) -> Result<(), String> {
    let reload = Reload { file, in_force: config.entries(), log: log.clone() };
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
    let sockets = sockets - control.map_or(0, |_| ADMIN_RESERVED_SOCKETS);
    let budget = Budget::new(sockets, memory_mb);
    let (inbox, inputs) = mpsc::unbounded_channel();
    let (commands, received_commands) = mpsc::unbounded_channel();
    let names_of = |named: &[Named]| named.iter().map(|n| n.name.clone()).collect::<Vec<_>>();
    let (classes, tenants) = (names_of(&names.classes), names_of(&names.tenants));
    let (disk_events, disk) = crossbeam_channel::bounded(gullpulley::fleet::host::DISK_EVENT_CAPACITY);
    let has_voters = fleet.as_ref().is_some_and(|fleet| !fleet.voters.is_empty());
    let persistence = match state {
        Some(folder) => {
            let (persistence, statements) =
                Persistence::open(folder, &name, has_voters.then_some(disk_events))
                    .map_err(|e| format!("state: {e}"))?;
            spawn_local(persistence.clone().run(statements));
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
        spawn_local(
            peers.clone().report_balancers(move |count| drop(inbox.send(Input::BalancerCount(count)))),
        );
        let (peers, persistence) = (peers.clone(), persistence.clone());
        spawn_local(async move {
            // An incarnation is not announced before it is durable.
            let start = match &persistence {
                Some(persistence) => persistence.wait_for_incarnation(DISK_WAIT).await,
                None => None,
            };
            let persisted =
                persistence.zip(start).map(|(persistence, (folder, _))| persistence.join_data(folder));
            peers.join(start, persisted);
        });
    }
    let health = DiscoveryHealth::new();
    let counters = Counters::new(&classes, budget.clone(), log, health.clone(), persistence, peers.clone());
    let outbound = Outbound::new(&settings, budget.clone(), counters.clone());
    let parser = RequestParser { settings: settings.clone(), classes, tenants };
    let registration = control.and_then(|_| register_process(&name));
    let shared_ids = registration.as_ref().and_then(|_| share_ids(&name));
    let longest = (0..settings.classes.len()).filter_map(|class| parser.may_run_for(ClassId(class))).max();
    let request_ids = Rc::new(RequestIds::new(shared_ids, longest.unwrap_or_default()));
    let inbound = Inbound::new(
        parser,
        budget.clone(),
        counters.clone(),
        outbound.clone(),
        request_ids.clone(),
        inbox.clone(),
    );
    let updates = inbox.clone();
    let discovery = Discovery::new(discovery, &settings, names, seed, health, clock, move |update| {
        let _ = updates.send(Input::ListUpdate(update)); // fails only while the process ends
    });
    let ejections = ManualEjectionStore::new(&std::env::temp_dir(), &name);
    if control.is_some() {
        // Before the first list, hence before the first attempt.
        let _ = inbox.send(Input::ManualEjections(read_ejections(&ejections), oneshot::channel().0));
    }
    let sharing = registration.map(|registration| {
        let shared = SharingContext {
            budget,
            inbound: inbound.clone(),
            outbound: outbound.clone(),
            request_ids: request_ids.clone(),
            inbox: inbox.clone(),
        };
        ProcessSharing::new(registration, shared)
    });
    // Before the list: beside a predecessor this process does not spread its first call to discovery.
    if let Some(sharing) = &sharing {
        sharing.refresh();
    }
    // The cached list is applied before the first client is accepted.
    let _ = inbox.send(Input::ListUpdate(discovery.cached(known)));
    let attempts = settings.limits.max_attempts;
    let (rules, discovery_mode) = (settings.rules.clone(), settings.discovery);
    spawn_local(reload.run(hup, commands.clone()));
    let context = DriverContext {
        outbound: outbound.clone(),
        discovery: discovery.clone(),
        discovery_commands: commands,
        inbox: inbox.clone(),
        request_ids,
        counters: counters.clone(),
        list_usable: watch::Sender::new(false),
    };
    let mut list_usable = context.list_usable.subscribe();
    let driver = Driver::new(balancer, clock, attempts, context);
    let mut driver = spawn_local(driver.run(inputs));
    spawn_local(discovery.clone().run(received_commands));
    spawn_local(outbound.clone().sweep());
    let startup = async {
        // The predecessor or other sidecars serve meanwhile: the cached list may be stale.
        if timeout(LIST_WAIT, list_usable.wait_for(|usable| *usable)).await.is_err() {
            warn!("no endpoint list in {LIST_WAIT:?}: requests are queued until discovery tells one");
        }
        if let Some(sharing) = sharing {
            sharing.wait_until_known().await;
            spawn_local(sharing.run());
        }
        let api_listener = match control {
            Some(control) => {
                let bind = bind_with_retry(|| listen_at(control, false));
                Some((control, bind.await.map_err(|e| format!("control: {control}: {e}"))?))
            }
            None => None,
        };
        // Last, as clients may connect from here on.
        let bind = bind_with_retry(|| listen_at(listen, control.is_some()));
        let listener = bind.await.map_err(|e| format!("listen: {listen}: {e}"))?;
        Ok::<_, String>((api_listener, listener))
    };
    let ready = tokio::select! {
        biased;
        _ = term.recv() => None,
        ready = startup => Some(ready?),
    };
    // SIGTERM has come already, and SIGKILL may follow before a client accepted now would be answered.
    let Some((api_listener, listener)) = ready else {
        info!("stopping before any client was accepted");
        if let Some(peers) = &peers {
            peers.leave();
            sleep(LEAVE_WAIT).await;
        }
        return Ok(());
    };
    if let Some((control, api_listener)) = api_listener {
        info!(sidecar = name, %control, "admin API is listening");
        let orders = Orders::new(ejections, inbox.clone());
        // Orders given to the predecessor since this process started are in force before the first client.
        let handled = orders.apply_new(HandledVersion::InForce(None)).await;
        spawn_local(orders.clone().follow(handled));
        spawn_local(AdminApi::new(orders, counters, inbound.clone(), inbox).serve(api_listener));
    }
    info!(sidecar = name, %listen, version = env!("CARGO_PKG_VERSION"), "serving");
    let ask_within_ms = rules.ask_within.as_millis() as u64;
    let drain_grace_ms = rules.drain_grace.as_millis() as u64;
    info!(?discovery_mode, ask_within_ms, drain_grace_ms, "endpoint list settings");
    tokio::select! {
        () = inbound.serve(listener, term, || peers.iter().for_each(|peers| peers.leave())) => Ok(()),
        ended = &mut driver => Err(format!("the driver task ended: {ended:?}")),
    }
}

/// Whether binding may succeed a moment later: a killed process holds its address until its last thread has
/// ended, and its successor may start before that; or the machine is temporarily out of descriptors or
/// memory.
fn is_transient(error: &io::Error) -> bool {
    let kind = error.kind();
    kind == io::ErrorKind::AddrInUse || kind != io::ErrorKind::AddrNotAvailable && is_local_failure(error)
}

/// Binds, and retries for up to [`BIND_RETRY_FOR`] after a transient error.
async fn bind_with_retry(bind: impl Fn() -> io::Result<TcpListener>) -> io::Result<TcpListener> {
    let until = Instant::now() + BIND_RETRY_FOR;
    loop {
        match bind() {
            Err(e) if is_transient(&e) && Instant::now() < until => {
                sleep(BIND_RETRY_DELAY).await;
            }
            bound => return bound,
        }
    }
}

/// Opens a listening socket; if `shared`, another process of this sidecar may listen at the same address.
fn listen_at(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    let _ = socket.set_recv_buffer_size(CLIENT_RECEIVE_BUFFER); // without it, the ends of requests are known less well
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Registers this process with the others of the same sidecar. If that fails, it serves as if it were
/// alone.
fn register_process(name: &str) -> Option<ProcessRegistration> {
    let joined = ProcessRegistration::register(&std::env::temp_dir(), name);
    joined.inspect_err(|e| warn!("$TMPDIR: {e}; other processes of this sidecar are not detected")).ok()
}

/// The file of the ids that this process sends. If it fails, other processes of this sidecar don't know of them.
fn share_ids(name: &str) -> Option<SharedIds> {
    let created = SharedIds::create(&std::env::temp_dir(), name);
    created.inspect_err(|e| warn!("$TMPDIR: {e}; ids sent here may run again at a successor")).ok()
}

/// The manual ejections in force when this process starts.
fn read_ejections(ejections: &ManualEjectionStore) -> ManualEjections {
    ejections.read().unwrap_or_else(|problem| {
        error!("suspended endpoints: {problem}; none is suspended");
        ManualEjections::default()
    })
}

/// Reloads the configuration on SIGHUP.
struct Reload {
    file: PathBuf,
    /// The entries of the configuration in force.
    in_force: Vec<(String, String)>,
    log: LogHandle,
}

impl Reload {
    /// Reads the configuration again at each SIGHUP: applies the settings that can change at run time, logs
    /// the others, and ignores a faulty file.
    async fn run(mut self, mut hup: Signal, commands: mpsc::UnboundedSender<DiscoveryCommand>) {
        while hup.recv().await.is_some() {
            match self.read().await {
                Ok(config) => self.apply(config, &commands),
                Err(faults) => {
                    for fault in faults.0 {
                        error!("SIGHUP: {fault}; the configuration stays as it was");
                    }
                }
            }
        }
    }

    /// Reads the file; a faulty one may be half written, and is read again before the fault is reported.
    async fn read(&self) -> Result<Config, ConfigError> {
        let mut attempts_made = 0;
        loop {
            let file = self.file.clone();
            // A slow disk must not delay requests.
            let read = spawn_blocking(move || {
                Config::load(&file, &Vars::from_environment().without_initial_discovery())
            });
            let read = read.await.unwrap_or_else(|e| Err(Fault::new("", "", e, "").into()));
            attempts_made += 1;
            if read.is_ok() || attempts_made == RELOAD_ATTEMPTS {
                return read;
            }
            sleep(RELOAD_RETRY_DELAY).await;
        }
    }

    fn apply(&mut self, config: Config, commands: &mpsc::UnboundedSender<DiscoveryCommand>) {
        for Difference { key, before, after } in differences(&self.in_force, &config.entries()) {
            let [before, after] = [&before, &after].map(|value| value.as_deref().unwrap_or("unsaid"));
            if keys::RELOADABLE.contains(&key.as_str()) {
                if key == "log.level"
                    && let Err(problem) = self.log.set_level(&config.log.level)
                {
                    error!("SIGHUP: {problem}");
                }
                info!("SIGHUP: {key} is {after}, it was {before}");
                self.in_force
                    .iter_mut()
                    .filter(|(held_key, _)| *held_key == key)
                    .for_each(|(_, value)| *value = after.to_owned());
            } else {
                warn!("SIGHUP: {key} stays {before}; {after} holds from the next start");
            }
        }
        let _ = commands.send(DiscoveryCommand::Move(config.discovery)); // fails only while the process ends
    }
}
