//! Lists are pushed; a watch is reset, and the next call waits for its turn. What the agent has counts as told meanwhile.

mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long the call after the reset waits for its turn.
const TURN: Duration = Duration::from_millis(2000);
/// The grace of the settings, and the longer limit on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);

fn main() {
    let record_path = std::env::args().nth(1).unwrap_or_else(|| fail("no record named"));
    open_record(&record_path);
    std::process::exit(play());
}

fn play() -> i32 {
    let folder = Folder::new();
    let arrivals_seen: Arc<Mutex<Vec<(Duration, String)>>> = Arc::default();
    let targets: Vec<Target> = (0..4).map(|number| target(number, arrivals_seen.clone())).collect();
    let discovery = Discovery::start(41, targets.clone());
    let setup = Setup { discovery_mode: "automatic", ..Setup::small(41, &targets) };
    let sidecar = Sidecar::start(&setup, discovery.address, &folder);
    let clients = Clients::new(sidecar.listen);
    let over = Arc::new(AtomicBool::new(false));
    let load = thread::spawn({
        let over = over.clone();
        move || {
            arrivals(50.0, Duration::from_secs(12), move |_| {
                let class = &classes()[0];
                let id = fresh_id();
                record(&format!("client: {id} sent"));
                let got = clients.call(class, &id, Duration::from_millis(class.deadline_ms), b"");
                match got {
                    Got::Answer(status, _) => record(&format!("client: {id} {status}")),
                    other => record(&format!("client: {id} {other:?}")),
                }
            });
            over.store(true, Ordering::SeqCst);
        }
    });
    thread::sleep(Duration::from_secs(4));
    if trouble() {
        // The calls after the reset wait for their turn, well below the 3 s after which discovery gives up on them.
        discovery.on_call(|_| Call::AnswerAfter(TURN));
        discovery.end_watches();
    }
    thread::sleep(Duration::from_millis(100));
    let told = discovery.change("s-0", "draining");
    let _ = load.join();
    drop(sidecar);
    let late: Vec<_> = arrivals_seen
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, uid)| uid == "s-0" && *at > told + GRACE)
        .cloned()
        .collect();
    for (at, _) in &late {
        record(&format!("sent to s-0 {} ms after the agent had its drain", (*at - told).as_millis()));
    }
    let before =
        arrivals_seen.lock().unwrap().iter().filter(|(at, uid)| uid == "s-0" && *at <= told).count();
    let line = format!(
        "requests to the draining endpoint: {before} before it drained, {} later than the grace allows",
        late.len()
    );
    record(&line);
    println!("{line}");
    if before == 0 {
        return COULD_NOT_RUN;
    }
    if late.is_empty() { HELD } else { BROKEN }
}

fn target(number: usize, seen: Arc<Mutex<Vec<(Duration, String)>>>) -> Target {
    let uid = format!("s-{number}");
    let name = uid.clone();
    let address = endpoint(move |request, connection| {
        let id = request.header("x-request-id");
        record(&format!("{name}: {id} begins"));
        seen.lock().unwrap().push((at(), name.clone()));
        thread::sleep(Duration::from_millis(30));
        connection.write_all(served(&format!("{id} made by {name}")).as_bytes()).is_ok()
    });
    Target { uid, endpoint: address, zone: "tampere-hervanta".to_owned(), cell: 1, state: "up" }
}
