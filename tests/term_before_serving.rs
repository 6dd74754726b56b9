//! A process told to end while it still waits for its first list went on waiting, then listened and took clients, and counted the
//! time of its drain from there: SIGKILL found what it had taken so unanswered. Read in `net/inbound.rs` `serve`: `asked` is when
//! the signal is looked at, which is up to 5.5 s after it came.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The longest deadline of a class here; SIGKILL comes so long after SIGTERM and 0.7 s more.
const LONGEST: Duration = Duration::from_millis(3000);
const CLIENTS: usize = 24;

#[test]
fn a_process_told_to_end_before_it_serves_leaves_nothing_unanswered() {
    let peer = Peer::new(|_| Do::Silence);
    let shared = Shared::new();
    let mut config = config(&[&peer]);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadlineMs"] = json!(LONGEST.as_millis() as f64);
        class["objectiveMs"] = json!(2500.0);
    }
    let (old, _door) = shared.start(&config);
    let mut next = config.clone();
    next["control"] = json!(nowhere().to_string());
    let prefix = format!("export TMPDIR={};", shared.0.display());
    // Beside the old one it waits for a list, which does not come, for 2.5 s.
    let mut new = Sidecar::spawn(&next.to_string(), old.address, &prefix, None);
    new.says("processes of this sidecar: 2");
    let told = Instant::now();
    new.signal("-TERM");
    let kill = told + LONGEST + Duration::from_millis(700);
    // Either of the two may get a client that comes as long as both listen.
    while !new.log().contains("serving") && new.child.try_wait().unwrap().is_none() && Instant::now() < kill
    {
        thread::sleep(Duration::from_millis(5));
    }
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| old.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("book", &format!("r{n}"), "3000m"));
    }
    thread::sleep(kill.saturating_duration_since(Instant::now()));
    let _ = new.child.kill(); // SIGKILL
    let answers = clients.iter_mut().map(|client| client.receive().map(|answer| answer.status()));
    let lost = answers.filter(Option::is_none).count();
    assert_eq!(lost, 0, "of {CLIENTS} requests taken and never answered; {}", new.log());
}
