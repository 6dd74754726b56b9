//! Some answers are followed by a second one, some milliseconds late; no client may get an answer of another request.

mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests a second: a quarter of the 200 that four sidecars carry together.
const RATE: f64 = 50.0;
const PLAY: Duration = Duration::from_secs(60);
/// The part of the answers that is followed by a second one, and how late that is, in milliseconds.
const SPOILT_SHARE: f64 = 0.05;
const LATE_MS: (u64, u64) = (3, 10);

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
    let clients = Clients::new(sidecar.listen);
    let (foreign, answered) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let (foreign_seen, answered_seen) = (foreign.clone(), answered.clone());
    arrivals(RATE, PLAY, move |number| {
        let classes = classes();
        let class = &classes[if number % 100 < 45 {
            0
        } else if number % 100 < 73 {
            1
        } else {
            2
        }];
        let (id, body) = (fresh_id(), if class.semantics == "safe" { &b""[..] } else { &b"job"[..] });
        record(&format!("client: {id} sent, {}", class.name));
        let got = clients.call(class, &id, Duration::from_millis(class.deadline_ms), body);
        match got {
            Got::Answer(200, body) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                answered.fetch_add(1, Ordering::SeqCst);
                if body.split(' ').next() == Some(&id) {
                    record(&format!("client: {id} 200"));
                } else {
                    foreign.fetch_add(1, Ordering::SeqCst);
                    record(&format!("client: {id} 200 with the answer to another request: {body}"));
                }
            }
            other => record(&format!("client: {id} {other:?}")),
        }
    });
    drop(sidecar);
    let (foreign, answered) = (foreign_seen.load(Ordering::SeqCst), answered_seen.load(Ordering::SeqCst));
    let line = format!("answered 200: {answered}; with the answer to another request: {foreign}");
    record(&line);
    println!("{line}");
    if answered == 0 {
        return COULD_NOT_RUN;
    }
    if foreign > 0 { BROKEN } else { HELD }
}

fn target(number: usize, random: Arc<Mutex<Random>>) -> Target {
    let uid = format!("s-{number}");
    let name = uid.clone();
    let address = endpoint(move |request, connection| {
        let id = request.header("x-request-id").to_owned();
        let (work, spoilt, late) = {
            let mut random = random.lock().unwrap();
            let late = LATE_MS.0 + random.below((LATE_MS.1 - LATE_MS.0) as usize + 1) as u64;
            (20 + random.below(40) as u64, random.uniform() < SPOILT_SHARE, late)
        };
        record(&format!("{name}: {id} begins"));
        thread::sleep(Duration::from_millis(work));
        let answer = served(&format!("{id} made by {name}"));
        if connection.write_all(answer.as_bytes()).is_err() {
            return false;
        }
        if spoilt && trouble() {
            let Ok(mut second) = connection.try_clone() else { return false };
            let (name, id) = (name.clone(), id.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(late));
                let written = second.write_all(answer.as_bytes()).is_ok();
                record(&format!("{name}: {id} second answer after {late} ms, written: {written}"));
            });
        }
        true
    });
    Target { uid, endpoint: address, zone: "tampere-hervanta".to_owned(), cell: 1, state: "up" }
}
