//! A request taken after a drain had given up what was open was sent on, and the process ended under it: lost. What is open is
//! failed once, 0.45 s after the longest deadline, and the process lives on for up to 0.15 s, in which bodies still come whole
//! on connections that it reads. Read in the code.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::collections::HashSet;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The longest deadline of a class here.
const LONGEST: Duration = Duration::from_millis(1000);
/// What is open this long after the longest deadline is given up.
const GIVES_UP: Duration = Duration::from_millis(450);

#[test]
fn what_comes_whole_after_a_drain_gave_up_is_answered_or_not_sent_on() {
    let peer = Peer::new(|_| Do::Late(Duration::from_millis(600)));
    let mut config = config(&[&peer]);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadlineMs"] = json!(LONGEST.as_millis() as f64);
        class["objectiveMs"] = json!(900.0);
    }
    let mut sidecar = Sidecar::start(&config);
    // Bodies lack their last byte, which comes from shortly before the end to shortly after it.
    let whole = |n: usize| request("book", &format!("r{n}"), "900m");
    let clients: Vec<Client> = (0..24)
        .map(|n| {
            let mut client = sidecar.client();
            let text = whole(n);
            client.send(&text[..text.len() - 1]);
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(100)); // their heads are read
    let told = Instant::now();
    sidecar.signal("-TERM");
    let answered = Mutex::new(HashSet::new());
    thread::scope(|scope| {
        for (n, mut client) in clients.into_iter().enumerate() {
            let answered = &answered;
            scope.spawn(move || {
                let at =
                    LONGEST + GIVES_UP - Duration::from_millis(60) + Duration::from_millis(10) * n as u32;
                thread::sleep(at.saturating_sub(told.elapsed()));
                client.send("y");
                if client.receive().is_some() {
                    answered.lock().unwrap().insert(format!("r{n}"));
                }
            });
        }
    });
    assert!(sidecar.ended().success());
    let seen = peer.seen.lock().unwrap();
    let sent: HashSet<String> = seen.iter().map(|seen| seen.header("x-request-id").to_owned()).collect();
    let mut lost: Vec<_> = sent.difference(&answered.into_inner().unwrap()).cloned().collect();
    lost.sort();
    assert!(lost.is_empty(), "sent on and never answered: {lost:?}, of {} sent on", sent.len());
}
