//! `runtrack`: the sidecar. Start-up, signals and exit codes; the rest is in `net/` and, for all
//! decisions, in the library.
#![forbid(unsafe_code)]

mod net {
    pub mod bans;
    pub mod budget;
    pub mod config;
    pub mod control;
    pub mod counters;
    pub mod discovery;
    pub mod driver;
    pub mod inbound;
    pub mod outbound;
}

use net::bans::{Bans, Standing};
use net::budget::{Budget, DOOR_RESERVE};
use net::config::{Config, Named};
use net::control::Door;
use net::counters::Counters;
use net::discovery::{Call, Discovery};
use net::driver::{Clock, Driver, Input};
use net::inbound::Inbound;
use net::outbound::Outbound;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use weirwharf::Balancer;

fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(problem) => {
            eprintln!("runtrack: {problem}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map_err(|e| e.to_string()).and_then(|rt| LocalSet::new().block_on(&rt, run(config))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("runtrack: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let Config { name, listen, control, discovery, seed, sockets, memory_mb, known, settings, names } =
        config;
    let term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let clock = Clock::start();
    let balancer =
        Balancer::new(settings.clone(), seed, clock.now()).map_err(|e| format!("settings: {e}"))?;
    let sockets = sockets - control.map_or(0, |_| DOOR_RESERVE.min(sockets / 4));
    let budget = Budget::new(sockets, memory_mb);
    let (inbox, inputs) = mpsc::unbounded_channel();
    let (calls, asked) = mpsc::unbounded_channel();
    let listed = |named: &[Named]| named.iter().map(|n| n.name.clone()).collect::<Vec<_>>();
    let (classes, tenants) = (listed(&names.classes), listed(&names.tenants));
    let counters = Counters::new(&classes);
    let outbound = Outbound::new(&settings, budget.clone(), counters.clone());
    let inbound = Inbound::new(
        settings.clone(),
        classes,
        tenants,
        budget,
        counters.clone(),
        outbound.clone(),
        inbox.clone(),
    );
    let discovery = Discovery::new(discovery, settings.discovery, names, seed, inbox.clone());
    let bans = Bans::new(&std::env::temp_dir(), &name);
    if control.is_some() {
        // Before the first list, so before the first send.
        let _ = inbox.send(Input::Standing(standing(&bans), oneshot::channel().0));
    }
    // The list as last held is there before the first client.
    let _ = inbox.send(Input::List(discovery.cached(known)));
    let attempts = settings.limits.max_attempts;
    spawn_local(reload(hup, calls.clone()));
    let driver =
        Driver::new(balancer, clock, attempts, outbound.clone(), discovery.clone(), calls, inbox.clone());
    let mut driver = spawn_local(driver.run(inputs));
    spawn_local(discovery.run(asked));
    spawn_local(outbound.sweep());
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen: {listen}: {e}"))?;
    if let Some(control) = control {
        let door = TcpListener::bind(control).await.map_err(|e| format!("control: {control}: {e}"))?;
        eprintln!("{name}: operators' door at {control}");
        let behind = Door::new(bans, counters, inbound.clone(), inbox);
        spawn_local(behind.clone().follow());
        spawn_local(behind.serve(door));
    }
    eprintln!("{name}: serving on {listen}");
    tokio::select! {
        () = inbound.serve(listener, term) => Ok(()),
        ended = &mut driver => Err(format!("the driver ended: {ended:?}")),
    }
}

/// What the operators had said of endpoints before this process began.
fn standing(bans: &Bans) -> Standing {
    bans.read().unwrap_or_else(|problem| {
        eprintln!("suspended endpoints: {problem}; none is taken out");
        Standing::default()
    })
}

/// At each SIGHUP reads the configuration again and follows discovery to where it is by now.
async fn reload(mut hup: Signal, calls: mpsc::UnboundedSender<Call>) {
    while hup.recv().await.is_some() {
        match Config::moved_discovery() {
            Ok(address) => drop(calls.send(Call::Move(address))), // fails only while the process ends
            Err(problem) => eprintln!("SIGHUP: {problem}; the configuration stays as it was"),
        }
    }
}
