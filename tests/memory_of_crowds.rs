//! The process stays under its memory limit whatever a crowd of clients does, and goes on serving small requests beside it.

#[path = "support/crowds.rs"]
mod crowds;
#[path = "support/node.rs"]
mod support;
#[path = "support/transfers.rs"]
mod transfers;

use crowds::*;
use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// How many clients a crowd has.
const CROWD: usize = 300;
/// How long it lasts.
const PLAY: Duration = Duration::from_secs(8);

/// What came of a play.
#[derive(Debug)]
struct Outcome {
    memory_mb: u64,
    peak_kib: u64,
    small_served: usize,
    small_sent: usize,
}

fn play(crowd: Crowd, memory_mb: u64) -> Outcome {
    let endpoints: Vec<_> = (0..6).map(|_| endpoint()).collect();
    let mut config = config_at(&endpoints);
    config["limits"]["memory_mb"] = json!(memory_mb);
    let mut sidecar = Sidecar::start(&config);
    let (address, crowd_play) = (sidecar.address, Arc::new(Play::default()));
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = crowd_play.start_crowd(crowd, CROWD, address);
    for number in 0..4 {
        let (crowd_play, sent, served) = (crowd_play.clone(), sent.clone(), served.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_secs(2)); // by then the crowd has what it can get
            for asked in 0.. {
                if crowd_play.over.load(Ordering::SeqCst) {
                    return;
                }
                sent.fetch_add(1, Ordering::SeqCst);
                let status = connect(address, None).map(Client::over).and_then(|mut client| {
                    client.send(&request("pay", &format!("s{number}-{asked}"), "3000m"));
                    client.receive().map(|answer| answer.status())
                });
                served.fetch_add(usize::from(status == Some(200)), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    let (began, mut peak_kib) = (Instant::now(), 0);
    while began.elapsed() < PLAY {
        assert!(sidecar.child.try_wait().unwrap().is_none(), "it ended: {}", sidecar.log());
        peak_kib = peak_kib.max(sidecar.own_memory_kib());
        thread::sleep(Duration::from_millis(20));
    }
    crowd_play.over.store(true, Ordering::SeqCst);
    drop(sidecar);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let [small_served, small_sent] = [served, sent].map(|count| count.load(Ordering::SeqCst));
    Outcome { memory_mb, peak_kib, small_served, small_sent }
}

/// Hundreds of clients at once took the process over its memory limit.
#[test]
fn no_crowd_takes_the_process_over_its_memory_or_all_service_from_small_requests() {
    LazyLock::force(&LARGE_ANSWER);
    let plays = [
        (Crowd::ReadsSlowly, 32),
        (Crowd::ReadsSlowly, 48),
        (Crowd::ReadsSlowly, 64),
        (Crowd::WritesSlowly, 32),
        (Crowd::StopsWriting, 32),
        (Crowd::StopsWriting, 48),
        (Crowd::LongHead, 32),
        (Crowd::SlowHead, 48),
        (Crowd::TinyChunks, 32),
        (Crowd::Mixed, 32),
        (Crowd::Mixed, 64),
    ];
    let outcomes = plays.map(|(crowd, memory_mb)| (crowd, play(crowd, memory_mb)));
    let held = |outcome: &Outcome| {
        outcome.peak_kib < outcome.memory_mb * 1024 && outcome.small_served * 2 >= outcome.small_sent
    };
    let failed: Vec<_> = outcomes.iter().filter(|(_, outcome)| !held(outcome)).collect();
    println!("{outcomes:#?}");
    assert!(failed.is_empty(), "{failed:#?}");
}
