//! While a new process takes over, both together stay under the sidecar's limits on memory and descriptors, and go on
//! serving. Guards against a new process that took its half of the limits while the old one still held all of them.

#[path = "support/crowds.rs"]
mod crowds;
#[path = "support/node.rs"]
mod support;
#[path = "support/transfers.rs"]
mod transfers;

use crowds::*;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Until the crowds have all that they can get.
const FILL_TIME: Duration = Duration::from_secs(6);
/// SIGKILL comes this long after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// How long a process serves alone after an upgrade.
const ALONE_AFTER: Duration = Duration::from_secs(2);
/// How long a new process lives that is killed before it says yes.
const KILLED_AFTER: Duration = Duration::from_millis(500);
/// All processes together take at most this part of the memory limit.
const MEMORY_SHARE: f64 = 0.9;
/// Ordinary requests are served at a third of the rate before, or more.
const LEAST_RATE: f64 = 1.0 / 3.0;

/// Crowds, the limits that they press against, and how often a new process takes over.
#[derive(Clone, Copy, Debug)]
struct Load {
    crowds: &'static [(Crowd, usize)],
    memory_mb: u64,
    sockets: usize,
    endpoints: usize,
    /// The first new process is killed before it says yes.
    killed_first: bool,
    upgrades: usize,
}

/// A sidecar whose processes share a directory and limits.
struct Upgraded {
    shared: Shared,
    config: Value,
    play: Arc<Play>,
    peak_kib: u64,
    peak_sockets: usize,
    /// What the processes held each 0.1 s.
    seen: Vec<String>,
}

impl Upgraded {
    fn new(load: Load) -> Upgraded {
        let mut config = config_at(&endpoints(load.endpoints));
        config["limits"]["memory_mb"] = json!(load.memory_mb);
        config["limits"]["sockets"] = json!(load.sockets);
        let (play, seen) = Default::default();
        Upgraded { shared: Shared::new(), config, play, peak_kib: 0, peak_sockets: 0, seen }
    }

    /// Looks at what these processes hold for a while; how many ordinary requests were served in a second.
    fn watch(&mut self, time: Duration, processes: &[&Sidecar]) -> f64 {
        let (began, served) = (Instant::now(), self.play.ordinary_served.load(Ordering::SeqCst));
        let mut looks = 0;
        while began.elapsed() < time {
            let each: Vec<_> = processes.iter().map(|process| process.own_memory_kib()).collect();
            let sockets: usize = processes.iter().map(|process| descriptors(process)).sum();
            let files = std::fs::read_dir(&self.shared.0).unwrap().flatten();
            let files: u64 =
                files.filter_map(|file| Some(file.metadata().ok()?.len().div_ceil(1024))).sum();
            if looks % 5 == 0 {
                self.seen.push(format!("{each:?} and {files} KiB, {sockets} descriptors"));
            }
            looks += 1;
            self.peak_kib = self.peak_kib.max(each.iter().sum::<u64>() + files);
            self.peak_sockets = self.peak_sockets.max(sockets);
            thread::sleep(Duration::from_millis(20));
        }
        let served = self.play.ordinary_served.load(Ordering::SeqCst) - served;
        served as f64 / began.elapsed().as_secs_f64()
    }

    fn start(&self) -> Sidecar {
        self.shared.start(&self.config).0
    }

    /// A new process that is killed before it says yes.
    fn start_in_vain(&mut self, old: &Sidecar) {
        let mut config = self.config.clone();
        config["control"] = json!(nowhere().to_string());
        let prefix = format!("export TMPDIR={};", self.shared.0.display());
        let new = Sidecar::spawn(&config.to_string(), old.address, &prefix, None);
        self.watch(KILLED_AFTER, &[old, &new]);
    }
}

/// The descriptors of a process, once it is the program: until then it has copies of those of this test.
fn descriptors(process: &Sidecar) -> usize {
    let program = std::fs::read_link(format!("/proc/{}/exe", process.child.id()));
    let is_started = program.is_ok_and(|program| program.ends_with("gullpulley"));
    if is_started { process.descriptors() } else { 0 }
}

/// The addresses of so many endpoints, a few of which really are.
fn endpoints(count: usize) -> Vec<SocketAddr> {
    const LISTENERS: usize = 20;
    let listeners: Vec<_> =
        (0..count.min(LISTENERS)).map(|_| endpoint_at((Ipv4Addr::UNSPECIFIED, 0).into())).collect();
    let address = |number: usize| {
        let [.., high, low] = (number / LISTENERS).to_be_bytes();
        SocketAddr::from(([127, 9, high, 1 + low], listeners[number % listeners.len()].port()))
    };
    (0..count).map(address).collect()
}

fn play(load: Load) {
    LazyLock::force(&LARGE_ANSWER);
    let mut sidecar = Upgraded::new(load);
    let mut old = sidecar.start();
    let clients: Vec<_> = (load.crowds.iter())
        .flat_map(|&(crowd, clients)| sidecar.play.start_crowd(crowd, clients, old.address))
        .collect();
    sidecar.watch(FILL_TIME / 2, &[&old]);
    let before = sidecar.watch(FILL_TIME / 2, &[&old]);
    if load.killed_first {
        sidecar.start_in_vain(&old);
    }
    for _ in 0..load.upgrades {
        sidecar.seen.push("upgrade".to_owned());
        let new = sidecar.start();
        old.signal("-TERM");
        let during = sidecar.watch(KILL_AFTER, &[&old, &new]);
        println!("{before:.1} a second before, {during:.1} during");
        assert!(
            during >= before * LEAST_RATE,
            "{load:?}: {before} a second before, {during} during, {:#?}\nold:\n{}\nnew:\n{}",
            sidecar.seen,
            old.log(),
            new.log()
        );
        old = new; // the older process is killed
        sidecar.watch(ALONE_AFTER, &[&old]);
    }
    sidecar.play.over.store(true, Ordering::SeqCst);
    let log = old.log();
    drop(old);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let Upgraded { peak_kib, peak_sockets, seen, .. } = sidecar;
    println!("{load:?}: {peak_kib} KiB, {peak_sockets} descriptors");
    let within = peak_kib as f64 <= load.memory_mb as f64 * 1024.0 * MEMORY_SHARE;
    assert!(
        within && peak_sockets <= load.sockets,
        "{peak_kib} KiB, {peak_sockets}: {load:?}, {seen:#?}\n{log}"
    );
}

/// The review's case: what was freed stayed with the old process, and the new one took its half of the limit.
#[test]
fn an_upgrade_beside_slow_readers_ordinary_requests_and_half_heads_stays_within_the_limits() {
    play(Load {
        crowds: &[(Crowd::ReadsSlowly, 130), (Crowd::Ordinary, 190), (Crowd::StopsAmidHead, 200)],
        memory_mb: 32,
        sockets: 1024,
        endpoints: 14,
        killed_first: false,
        upgrades: 1,
    });
}

#[test]
fn two_upgrades_in_a_row_beside_stopped_clients_stay_within_few_descriptors() {
    play(Load {
        crowds: &[(Crowd::StopsWriting, 60), (Crowd::StopsAmidHead, 40), (Crowd::Ordinary, 10)],
        memory_mb: 32,
        sockets: 256,
        endpoints: 2,
        killed_first: false,
        upgrades: 2,
    });
}

#[test]
fn an_upgrade_with_thousands_of_endpoints_stays_within_the_limits() {
    play(Load {
        crowds: &[(Crowd::ReadsSlowly, 150), (Crowd::Ordinary, 60)],
        memory_mb: 64,
        sockets: 1024,
        endpoints: 3200,
        killed_first: false,
        upgrades: 1,
    });
}

#[test]
fn an_upgrade_after_one_whose_process_was_killed_stays_within_the_limits() {
    play(Load {
        crowds: &[(Crowd::Mixed, 150), (Crowd::Ordinary, 60)],
        memory_mb: 48,
        sockets: 512,
        endpoints: 20,
        killed_first: true,
        upgrades: 1,
    });
}
