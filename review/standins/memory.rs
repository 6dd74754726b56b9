//! Many clients read large answers slowly: does the sidecar stay within its memory?

use crate::harness::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The deployment: 4 sidecars as the site has them, and sixteen times its 20 endpoints of the first tier.
const DEPLOYMENT: Deployment = Deployment { balancers: 4, memory_mb: 48 };
const ENDPOINTS: usize = 16 * 20;
/// The endpoints run in this many processes.
const PROCESSES: usize = 4;
/// What an endpoint needs for a request.
const SERVICE: Duration = Duration::from_millis(400);
/// Clients that send one request after another: some 60 requests a second.
const CLIENTS: usize = 24;
/// The length of an ordinary answer: no more than 64 KiB.
const ANSWER_BYTES: usize = 60_000;
/// Clients that fetch a large answer; with the others they hold fewer than a third of the descriptors.
const LARGE_CLIENTS: usize = 150;
/// The length of a large answer; the pages allow 32 MB.
const LARGE_ANSWER_BYTES: usize = 32_000_000;
/// What each of these clients reads in a second.
const SLOW_BYTES_PER_S: usize = 64_000;
const READ_BYTES: usize = 6_400;
/// Ordinary traffic alone, and then large answers beside it.
const ORDINARY: Duration = Duration::from_secs(40);
const LARGE: Duration = Duration::from_secs(40);
const SAMPLE_EACH: Duration = Duration::from_millis(100);

/// Serves this many endpoints, prints their addresses, and ends with its standard input.
pub fn serve_endpoints(count: usize) {
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        println!("{}", listener.local_addr().unwrap());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || serve_connection(stream));
            }
        });
    }
    let _ = std::io::stdin().read(&mut [0]);
}

fn serve_connection(stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    loop {
        let head = Head::read(&mut reader).ok()?;
        head.read_body(&mut reader, |_| {}).ok()?;
        let stream = reader.get_mut();
        if head.target().starts_with("/-/") {
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        thread::sleep(SERVICE);
        let mut left =
            if head.target().starts_with("/esikatselu") { LARGE_ANSWER_BYTES } else { ANSWER_BYTES };
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {left}\r\n\r\n").ok()?;
        let piece = [b'x'; 64 * 1024];
        while left > 0 {
            stream.write_all(&piece[..left.min(piece.len())]).ok()?;
            left -= left.min(piece.len());
        }
    }
}

/// Processes that serve endpoints; they end when dropped.
struct EndpointProcesses(Vec<Child>);

impl Drop for EndpointProcesses {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn start_endpoints(total: usize) -> Option<(EndpointProcesses, Vec<Listed>)> {
    let (mut processes, mut endpoints) = (EndpointProcesses(Vec::new()), Vec::new());
    for _ in 0..PROCESSES {
        let count = total / PROCESSES;
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["endpoints", &count.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let output = child.stdout.take()?;
        processes.0.push(child);
        for line in BufReader::new(output).lines().take(count) {
            let uid = format!("s-{}", endpoints.len());
            endpoints.push(Listed { uid, address: line.ok()?.parse().ok()? });
        }
    }
    (endpoints.len() == total).then_some((processes, endpoints))
}

#[derive(Default)]
struct Counts {
    ordinary_sent: AtomicUsize,
    ordinary_served: AtomicUsize,
    large_sent: AtomicUsize,
    large_begun: AtomicUsize,
    refused: AtomicUsize,
    ended: AtomicBool,
}

impl Counts {
    fn text(&self) -> String {
        let [a, b, c, d, e] = [
            &self.ordinary_served,
            &self.ordinary_sent,
            &self.large_begun,
            &self.large_sent,
            &self.refused,
        ]
        .map(|count| count.load(Ordering::SeqCst));
        format!("{a} of {b} ordinary requests served, {c} of {d} large answers begun, {e} refused")
    }
}

fn run_client(number: usize, sidecar: SocketAddr, counts: &Counts) {
    let (mut connection, mut sent): (Option<BufReader<TcpStream>>, usize) = (None, 0);
    while !counts.ended.load(Ordering::SeqCst) {
        let Some(mut reader) =
            connection.take().or_else(|| TcpStream::connect(sidecar).ok().map(BufReader::new))
        else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(7)));
        sent += 1;
        let request = format!(
            "POST /lopullinen/view?user=1f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: c{number}-{sent:05}\r\n\
             X-Tenant-Id: pohjoistila\r\nX-Timeout: 6000m\r\nIdempotency-Key: key-c{number}-{sent:05}\r\n\
             Content-Length: 4\r\n\r\nplan"
        );
        counts.ordinary_sent.fetch_add(1, Ordering::SeqCst);
        if reader.get_mut().write_all(request.as_bytes()).is_err() {
            continue;
        }
        let Ok(answer) = Answer::read(&mut reader) else { continue };
        let count = if answer.status == 200 { &counts.ordinary_served } else { &counts.refused };
        count.fetch_add(1, Ordering::SeqCst);
        if answer.status != 200 {
            thread::sleep(Duration::from_millis(500));
        }
        if !answer.closes {
            connection = Some(reader);
        }
    }
}

/// Fetches one large answer and reads it slowly; after a refusal it tries again.
fn run_large_client(number: usize, sidecar: SocketAddr, counts: &Counts) -> Option<()> {
    for sent in 1.. {
        let mut reader = BufReader::with_capacity(READ_BYTES, TcpStream::connect(sidecar).ok()?);
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(7)));
        let request = format!(
            "GET /esikatselu/view?user=1f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: l{number}-{sent:03}\r\n\
             X-Tenant-Id: pohjoistila\r\nX-Timeout: 3000m\r\n\r\n"
        );
        counts.large_sent.fetch_add(1, Ordering::SeqCst);
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        let head = Head::read(&mut reader).ok()?;
        if status(&head) != 200 {
            counts.refused.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_secs(2));
            if counts.ended.load(Ordering::SeqCst) {
                return None;
            }
            continue;
        }
        counts.large_begun.fetch_add(1, Ordering::SeqCst);
        let mut buffer = [0; READ_BYTES];
        while !counts.ended.load(Ordering::SeqCst) {
            if reader.read(&mut buffer).ok()? == 0 {
                return None;
            }
            thread::sleep(Duration::from_secs_f64(READ_BYTES as f64 / SLOW_BYTES_PER_S as f64));
        }
        return None;
    }
    None
}

/// Watches the sidecar's memory for a while as the platform does. True if it had to be killed or ended.
fn watch(sidecar: &mut Sidecar, length: Duration, counts: &Counts, record: &Record) -> bool {
    let (until, mut next_note) = (Instant::now() + length, Instant::now());
    let limit = DEPLOYMENT.memory_mb * 1024;
    while Instant::now() < until {
        if let Some(exit) = sidecar.ended() {
            record.result(&format!("the sidecar ended: {exit}"));
            return true;
        }
        let used = sidecar.own_memory_kib().unwrap_or(0);
        if Instant::now() >= next_note || used > limit {
            record.say(&format!("sidecar: {used} KiB of {limit} KiB; {}", counts.text()));
            next_note = Instant::now() + Duration::from_secs(2);
        }
        if used > limit {
            record.result(&format!(
                "the sidecar is over its memory, {used} KiB of {limit} KiB, and is killed"
            ));
            sidecar.kill();
            return true;
        }
        thread::sleep(SAMPLE_EACH);
    }
    false
}

pub fn play(record: &Record) -> Verdict {
    let Some((_processes, endpoints)) = start_endpoints(ENDPOINTS) else { return Verdict::CouldNotRun };
    let discovery = serve_discovery(endpoints.clone());
    let Some(mut sidecar) = Sidecar::start(DEPLOYMENT, &endpoints, discovery, record) else {
        return Verdict::CouldNotRun;
    };
    let (counts, address) = (Counts::default(), sidecar.address);
    let over = thread::scope(|scope| {
        for number in 0..CLIENTS {
            let counts = &counts;
            scope.spawn(move || run_client(number, address, counts));
        }
        let mut over = watch(&mut sidecar, ORDINARY, &counts, record);
        if !over {
            let large = if trouble() { LARGE_CLIENTS } else { 0 };
            record.say(&format!("{large} clients fetch large answers and read them slowly"));
            for number in 0..large {
                let counts = &counts;
                scope.spawn(move || run_large_client(number, address, counts));
            }
            over = watch(&mut sidecar, LARGE, &counts, record);
        }
        counts.ended.store(true, Ordering::SeqCst);
        over
    });
    let served = counts.ordinary_served.load(Ordering::SeqCst);
    record.result(&counts.text());
    match (served, over) {
        (0, _) => Verdict::CouldNotRun,
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}
