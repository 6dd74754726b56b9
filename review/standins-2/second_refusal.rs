//! Some refusals are followed by a second one, some milliseconds late; no request of a class that is unsafe to repeat may
//! run twice.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests a second at one sidecar, and the part of them that is unsafe to repeat.
const RATE: f64 = 50.0;
const UNSAFE_SHARE: f64 = 0.6;
const PLAY: Duration = Duration::from_secs(105);
/// The part of the requests that an endpoint turns away as its queue is full.
const FULL_SHARE: f64 = 0.25;
/// The part of the answers that is followed by a second one, and how late that is, in milliseconds.
const SPOILT_SHARE: f64 = 0.3;
const LATE_MS: (u64, u64) = (3, 10);
const ENDPOINTS: usize = 4;
const TURNED_AWAY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

fn main() {
    let record_path = std::env::args().nth(1).unwrap_or_else(|| fail("no record named"));
    open_record(&record_path);
    std::process::exit(play());
}

/// Where each request that is unsafe to repeat has begun to run.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// The last class is unsafe to repeat.
fn classes_of_the_day() -> Vec<Class> {
    let mut classes = classes();
    classes[2].semantics = "unsafe";
    classes
}

fn play() -> i32 {
    let folder = Folder::new();
    let random = Arc::new(Mutex::new(Random::from_clock()));
    let runs: Runs = Arc::default();
    let targets: Vec<Target> =
        (0..ENDPOINTS).map(|number| target(number, random.clone(), runs.clone())).collect();
    let discovery = Discovery::start(41, targets.clone());
    let setup = Setup { classes: classes_of_the_day(), ..Setup::small(41, &targets) };
    let sidecar = Sidecar::start(&setup, discovery.address, &folder);
    let clients = Clients::new(sidecar.listen);
    arrivals(RATE, PLAY, move |_| {
        let classes = classes_of_the_day();
        let is_unsafe = random.lock().unwrap().uniform() < UNSAFE_SHARE;
        let class = &classes[if is_unsafe { 2 } else { 0 }];
        let (id, body) = (fresh_id(), if is_unsafe { &b"job"[..] } else { &b""[..] });
        record(&format!("client: {id} sent, {}", class.name));
        let got = clients.call(class, &id, Duration::from_millis(class.deadline_ms), body);
        match got {
            Got::Answer(status, body) => {
                record(&format!("client: {id} {status} {}", String::from_utf8_lossy(&body)));
            }
            other => record(&format!("client: {id} {other:?}")),
        }
    });
    drop(sidecar);
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    for (id, at) in &twice {
        record(&format!("{id}, unsafe to repeat, ran {} times: {}", at.len(), at.join(", ")));
    }
    let line = format!(
        "requests unsafe to repeat that ran: {}; of them more than once: {}",
        runs.len(),
        twice.len()
    );
    record(&line);
    println!("{line}");
    if runs.is_empty() {
        return COULD_NOT_RUN;
    }
    if twice.is_empty() { HELD } else { BROKEN }
}

fn target(number: usize, random: Arc<Mutex<Random>>, runs: Runs) -> Target {
    let uid = format!("s-{number}");
    let name = uid.clone();
    let address = endpoint(move |request, connection| {
        let id = request.header("x-request-id").to_owned();
        let (full, spoilt, work, late) = {
            let mut random = random.lock().unwrap();
            let late = LATE_MS.0 + random.below((LATE_MS.1 - LATE_MS.0) as usize + 1) as u64;
            (
                random.uniform() < FULL_SHARE,
                random.uniform() < SPOILT_SHARE,
                20 + random.below(40) as u64,
                late,
            )
        };
        let answer = if full {
            record(&format!("{name}: {id} turned away"));
            TURNED_AWAY.to_owned()
        } else {
            record(&format!("{name}: {id} runs"));
            if request.path().starts_with("/lopullinen") {
                runs.lock().unwrap().entry(id.clone()).or_default().push(name.clone());
            }
            thread::sleep(Duration::from_millis(work));
            served(&format!("{id} made by {name}"))
        };
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
