//! An answer of no length that never ends: the request is owed its end half a second after its time at the latest.

mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long after its time a request may still be ended.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// Bytes of an answer that comes and never ends: below the 64 KiB that a body holds at most.
const PART: usize = 48 * 1024;

fn main() {
    let record_path = std::env::args().nth(1).unwrap_or_else(|| fail("no record named"));
    open_record(&record_path);
    std::process::exit(play());
}

fn play() -> i32 {
    let folder = Folder::new();
    let random = Arc::new(Mutex::new(Random::from_clock()));
    let targets: Vec<Target> = (0..4).map(|number| target(number, random.clone())).collect();
    let discovery = Discovery::start(41, targets.clone());
    let setup = Setup::small(41, &targets);
    let sidecar = Sidecar::start(&setup, discovery.address, &folder);
    let listen = sidecar.listen;
    let (late, ended) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let (late_seen, ended_seen) = (late.clone(), ended.clone());
    arrivals(20.0, Duration::from_secs(15), move |_| {
        let classes = classes();
        let class = &classes[0];
        let id = fresh_id();
        let patience = Duration::from_millis(class.deadline_ms);
        let Ok(mut client) = Client::connect(listen) else { return };
        record(&format!("client: {id} sent, {}", class.name));
        if client.send(class, &id, patience, b"").is_err() {
            return;
        }
        // From its last byte.
        let sent = Instant::now();
        let mut got = client.receive(Duration::from_secs(8));
        if let Got::Answer(_, body) = &mut got {
            body.clear()
        }
        let took = sent.elapsed();
        ended.fetch_add(1, Ordering::SeqCst);
        let beyond = took > patience + GRACE;
        late.fetch_add(usize::from(beyond), Ordering::SeqCst);
        record(&format!(
            "client: {id} {got:?} after {} ms{}",
            took.as_millis(),
            if beyond { ", too late" } else { "" }
        ));
    });
    drop(sidecar);
    let (late, ended) = (late_seen.load(Ordering::SeqCst), ended_seen.load(Ordering::SeqCst));
    let line = format!("requests: {ended}; ended later than half a second after their time: {late}");
    record(&line);
    println!("{line}");
    if ended == 0 {
        return COULD_NOT_RUN;
    }
    if late > 0 { BROKEN } else { HELD }
}

fn target(number: usize, random: Arc<Mutex<Random>>) -> Target {
    let uid = format!("s-{number}");
    let name = uid.clone();
    let address = endpoint(move |request, connection| {
        let id = request.header("x-request-id").to_owned();
        let spoilt = random.lock().unwrap().uniform() < 0.1;
        record(&format!("{name}: {id} begins"));
        thread::sleep(Duration::from_millis(30));
        if spoilt && trouble() {
            record(&format!("{name}: {id} gets an answer that never ends"));
            let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{PART:x}\r\n");
            let part = [head.as_bytes(), &vec![b'x'; PART], b"\r\n"].concat();
            let _ = connection.write_all(&part);
            // Until the sidecar ends the connection.
            let _ = read_some(connection, &mut [0; 1]);
            return false;
        }
        connection.write_all(served(&format!("{id} made by {name}")).as_bytes()).is_ok()
    });
    Target { uid, endpoint: address, zone: "tampere-hervanta".to_owned(), cell: 1, state: "up" }
}
