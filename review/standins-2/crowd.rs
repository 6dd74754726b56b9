//! Idle clients fill the descriptors while others send requests.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Limits within what the terms of service name: 32 to 192 MB and 256 to 1,024 descriptors.
const SOCKETS: u32 = 1024;
const MEMORY_MB: u32 = 32;
/// As many idle clients as fill those descriptors, and how long each stays if nobody ends its connection.
const CROWD: usize = 1000;
const STAY: Duration = Duration::from_secs(20);
/// A request may be ended half a second after its time, and 50 ms on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);

fn main() {
    let record_path = std::env::args().nth(1).unwrap_or_else(|| fail("no record named"));
    open_record(&record_path);
    std::process::exit(play());
}

fn play() -> i32 {
    let folder = Folder::new();
    let targets: Vec<Target> = (0..4).map(target).collect();
    let discovery = Discovery::start(41, targets.clone());
    let setup = Setup { sockets: SOCKETS, memory_mb: MEMORY_MB, ..Setup::small(41, &targets) };
    let sidecar = Sidecar::start(&setup, discovery.address, &folder);
    let listen = sidecar.listen;
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(2));
        if trouble() {
            crowd(listen);
        }
    });
    let (late, ended) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let (late_seen, ended_seen) = (late.clone(), ended.clone());
    arrivals(20.0, Duration::from_secs(12), move |_| {
        let class = &classes()[0];
        let id = fresh_id();
        let patience = Duration::from_millis(class.deadline_ms);
        let begun = Instant::now();
        let Ok(mut client) = Client::connect(listen) else {
            return record(&format!("client: {id} could not connect"));
        };
        if client.send(class, &id, patience, b"").is_err() {
            return record(&format!("client: {id} could not send"));
        }
        let sent = Instant::now();
        let got = client.receive(Duration::from_secs(15));
        let took = sent.elapsed();
        ended.fetch_add(1, Ordering::SeqCst);
        // A connection may be shut unread: that is no answer, and excused.
        let too_late = got != Got::Closed && took > patience + GRACE;
        late.fetch_add(usize::from(too_late), Ordering::SeqCst);
        let text = match &got {
            Got::Answer(status, _) => format!("{status}"),
            other => format!("{other:?}"),
        };
        let (took, connected) = (took.as_millis(), (sent - begun).as_millis());
        let remark = if too_late { ", too late" } else { "" };
        record(&format!(
            "client: {id} {text} after {took} ms, connected and sent within {connected} ms{remark}"
        ));
    });
    drop(sidecar);
    let (late, ended) = (late_seen.load(Ordering::SeqCst), ended_seen.load(Ordering::SeqCst));
    let line = format!(
        "requests sent on new connections: {ended}; answered later than half a second after their time: {late}"
    );
    record(&line);
    println!("{line}");
    if ended == 0 {
        return COULD_NOT_RUN;
    }
    if late > 0 { BROKEN } else { HELD }
}

/// Clients that connect, say nothing, and stay until the sidecar ends their connections.
fn crowd(listen: SocketAddr) {
    record(&format!("{CROWD} idle clients connect"));
    let connected: Vec<Client> = (0..CROWD).filter_map(|_| Client::connect(listen).ok()).collect();
    record(&format!("{} idle clients are connected", connected.len()));
    for mut client in connected {
        let _ = thread::Builder::new().stack_size(64 << 10).spawn(move || {
            let _ = client.stream.set_read_timeout(Some(STAY));
            let mut buffer = [0; 512];
            while client.stream.read(&mut buffer).is_ok_and(|n| n > 0) {}
        });
    }
}

fn target(number: usize) -> Target {
    let uid = format!("s-{number}");
    let name = uid.clone();
    let address = endpoint(move |request, connection| {
        let id = request.header("x-request-id").to_owned();
        thread::sleep(Duration::from_millis(30));
        connection.write_all(served(&format!("{id} made by {name}")).as_bytes()).is_ok()
    });
    Target { uid, endpoint: address, zone: "tampere-hervanta".to_owned(), cell: 1, state: "up" }
}
