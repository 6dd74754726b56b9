//! A new version is started under load beside the old process: to limits both are one sidecar.

mod common;

use common::*;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The limits, within what the terms of service name: 32 to 192 MB and 256 to 1,024 descriptors.
const SOCKETS: u32 = 1024;
const MEMORY_MB: u32 = 32;
/// Clients with requests, together less than a third of the descriptors: so many read a large answer slowly, ...
const SLOW_READERS: usize = 130;
/// ... and so many send ordinary requests, of at most 64 KiB both ways.
const ORDINARY: usize = 190;
/// Peers that begin a head and stop.
const STOPPING: usize = 200;
const LARGE_ANSWER: usize = 32_000_000;
/// 64 kB a second.
const SLOW_PIECE: usize = 16_000;
const SLOW_GAP: Duration = Duration::from_millis(250);
const BODY: usize = 63 * 1024;
const HALF_HEAD: usize = 31_000;
const ENDPOINTS: usize = 14;
const UPGRADE_AT: Duration = Duration::from_secs(16);
/// SIGKILL comes this long after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);
const READY_WITHIN: Duration = Duration::from_secs(6);
const MEASURE_EACH: Duration = Duration::from_millis(100);

fn main() {
    let record_path = std::env::args().nth(1).unwrap_or_else(|| fail("no record named"));
    open_record(&record_path);
    std::process::exit(play());
}

#[derive(Default)]
struct Counts {
    large_begun: AtomicUsize,
    ordinary_served: AtomicUsize,
}

/// What the platform's stand-in counts of a sidecar's processes, in KiB.
struct Memory {
    peak: u64,
    exceeded_at: Option<Duration>,
}

impl Memory {
    fn measure(&mut self, processes: &[&Sidecar]) {
        let each: Vec<u64> = processes.iter().map(|process| anonymous_kib(process.pid())).collect();
        let sum = each.iter().sum();
        if sum > self.peak {
            record(&format!("memory: {each:?} KiB, together {sum} of {}", limit_kib()));
            self.peak = sum;
        }
        if sum > limit_kib() && self.exceeded_at.is_none() {
            record("memory: over the limit, the platform kills the sidecar");
            self.exceeded_at = Some(at());
        }
    }

    fn measure_for(&mut self, time: Duration, processes: &[&Sidecar]) {
        let end = Instant::now() + time;
        while Instant::now() < end && self.exceeded_at.is_none() {
            self.measure(processes);
            thread::sleep(MEASURE_EACH);
        }
    }
}

fn limit_kib() -> u64 {
    u64::from(MEMORY_MB) * 1024
}

/// The process's own memory, without pages of files such as the program's.
fn anonymous_kib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn play() -> i32 {
    let folder = Folder::new();
    let targets: Vec<Target> = (0..ENDPOINTS).map(target).collect();
    let discovery = Discovery::start(41, targets.clone());
    let listen = free_address();
    let setup = |control| Setup {
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
        control: Some(control),
        ..Setup::small(41, &targets)
    };
    let old = Sidecar::spawn(&setup(free_address()), listen, discovery.address, &folder);
    old.wait_until_ready();
    let counts: Arc<Counts> = Arc::default();
    for _ in 0..SLOW_READERS {
        let counts = counts.clone();
        start(move || slow_reader(listen, &counts));
    }
    for _ in 0..ORDINARY {
        let counts = counts.clone();
        start(move || ordinary(listen, &counts));
    }
    let mut memory = Memory { peak: 0, exceeded_at: None };
    memory.measure_for(UPGRADE_AT / 2, &[&old]);
    for _ in 0..STOPPING {
        start(move || stopping(listen));
    }
    memory.measure_for(UPGRADE_AT / 2, &[&old]);
    let (before, alone) = (memory.exceeded_at, memory.peak);
    if trouble() && before.is_none() {
        upgrade(&mut memory, &old, &setup(free_address()), listen, discovery.address, &folder);
    } else {
        memory.measure_for(READY_WITHIN + KILL_AFTER, &[&old]);
    }
    let (large, served) =
        (counts.large_begun.load(Ordering::SeqCst), counts.ordinary_served.load(Ordering::SeqCst));
    drop(old);
    let line = format!(
        "memory: at most {alone} KiB before, {} KiB at most in all, of {}; large answers begun: {large}, ordinary requests served: {served}",
        memory.peak,
        limit_kib()
    );
    record(&line);
    println!("{line}");
    if large == 0 || served == 0 {
        return COULD_NOT_RUN;
    }
    if memory.exceeded_at.is_some() { BROKEN } else { HELD }
}

/// The new process says yes, then SIGTERM goes to the old one, then SIGKILL.
fn upgrade(
    memory: &mut Memory,
    old: &Sidecar,
    setup: &Setup,
    listen: SocketAddr,
    discovery: SocketAddr,
    folder: &Folder,
) {
    record("upgrade: the new version is started");
    let new = Sidecar::spawn(setup, listen, discovery, folder);
    let control = setup.control.unwrap_or(listen);
    let started = Instant::now();
    while !says_yes(control) {
        if started.elapsed() > READY_WITHIN {
            fail("the new process did not say yes");
        }
        memory.measure(&[old, &new]);
        thread::sleep(Duration::from_millis(20));
    }
    record("upgrade: the new process says yes");
    old.signal("TERM");
    memory.measure_for(KILL_AFTER, &[old, &new]);
    old.signal("KILL");
    if memory.exceeded_at.is_none() {
        memory.measure_for(Duration::from_secs(2), &[&new]);
    }
}

fn says_yes(control: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(control) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: operators\r\n\r\n");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
}

fn start(client: impl FnOnce() + Send + 'static) {
    let _ = thread::Builder::new().stack_size(128 << 10).spawn(client);
    thread::sleep(Duration::from_millis(5));
}

/// Asks for a large answer and reads it at 64 kB a second; refused, it asks again a second later.
fn slow_reader(listen: SocketAddr, counts: &Counts) {
    let class = &classes()[0];
    loop {
        let head = request_head(class, &fresh_id(), Duration::from_millis(class.deadline_ms), 0)
            .replace("/job", "/large");
        let Ok(mut client) = Client::connect(listen) else {
            thread::sleep(Duration::from_secs(1));
            continue;
        };
        let mut piece = vec![0; SLOW_PIECE];
        let begun = client.stream.write_all(head.as_bytes()).is_ok()
            && client.stream.read_exact(&mut piece[..12]).is_ok()
            && piece.starts_with(b"HTTP/1.1 200");
        if begun {
            counts.large_begun.fetch_add(1, Ordering::SeqCst);
            while client.stream.read_exact(&mut piece).is_ok() {
                thread::sleep(SLOW_GAP);
            }
        }
        drop(client);
        thread::sleep(Duration::from_secs(1));
    }
}

/// Sends one request after another, each with a body, and waits for its answer.
fn ordinary(listen: SocketAddr, counts: &Counts) {
    let class = &classes()[1];
    let patience = Duration::from_millis(class.deadline_ms);
    let body = vec![b'b'; BODY];
    let mut kept: Option<Client> = None;
    loop {
        let Some(mut client) = kept.take().or_else(|| Client::connect(listen).ok()) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        if client.send(class, &fresh_id(), patience, &body).is_err() {
            continue;
        }
        match client.receive(patience + Duration::from_secs(1)) {
            Got::Answer(200, _) => {
                counts.ordinary_served.fetch_add(1, Ordering::SeqCst);
                kept = Some(client);
            }
            Got::Answer(..) => {
                kept = Some(client);
                thread::sleep(Duration::from_millis(500));
            }
            _ => thread::sleep(Duration::from_millis(200)),
        }
    }
}

/// Sends a part of a head and stays; it comes again when it is closed on.
fn stopping(listen: SocketAddr) {
    let part =
        [&b"GET /esikatselu/job HTTP/1.1\r\nHost: origin.svc\r\nX-Note: "[..], &vec![b'n'; HALF_HEAD]]
            .concat();
    loop {
        if let Ok(mut client) = Client::connect(listen) {
            let _ = client.stream.write_all(&part);
            let mut buffer = [0; 512];
            while client.stream.read(&mut buffer).is_ok_and(|read| read > 0) {}
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn target(number: usize) -> Target {
    let address = endpoint(move |request, connection| {
        if request.path().ends_with("/large") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_ANSWER}\r\n\r\n");
            let piece = vec![b'l'; 64 * 1000];
            return connection.write_all(head.as_bytes()).is_ok()
                && (0..LARGE_ANSWER / piece.len()).all(|_| connection.write_all(&piece).is_ok());
        }
        // Written slowly, in pieces.
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\n\r\n");
        let piece = vec![b'a'; BODY / 8];
        connection.write_all(head.as_bytes()).is_ok()
            && (0..8).all(|_| {
                thread::sleep(Duration::from_millis(150));
                connection.write_all(&piece).is_ok()
            })
    });
    Target {
        uid: format!("s-{number}"),
        endpoint: address,
        zone: "tampere-hervanta".to_owned(),
        cell: 1,
        state: "up",
    }
}
