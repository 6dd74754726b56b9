//! The built sidecar where something ends in the instant in which something is still owed. The peers here
//! hold the order: each step comes once the one before has been seen.

#[path = "support/node.rs"]
mod support;

use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use support::*;

/// Times so long that nothing here ends by them, and a log that tells of each request.
fn patient(peers: &[&Peer]) -> Value {
    let mut config = config(peers);
    config["log"] = json!({"level": "debug"});
    config["settings"]["limits"]["connectTimeoutMs"] = json!(25_000.0);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadlineMs"] = json!(60_000.0);
        class["objectiveMs"] = json!(50_000.0);
    }
    config
}

fn ids(peer: &Peer) -> Vec<String> {
    let seen = peer.seen.lock().unwrap();
    seen.iter().map(|message| message.header("x-request-id").to_owned()).collect()
}

/// A peer that says when a request has come, and does this with it once it is told to.
fn held(act: Do) -> (Peer, Receiver<()>, Sender<()>) {
    let ((says, said), (tell, told)) = (channel(), channel());
    let told = Mutex::new(told);
    let peer = Peer::new(move |_| {
        says.send(()).unwrap();
        let _ = told.lock().unwrap().recv(); // fails where the test is over
        act.clone()
    });
    (peer, said, tell)
}

#[test]
fn an_attempt_that_still_connects_is_not_written_once_its_client_has_left() {
    for cancelling in [false, true] {
        for class in ["quote", "book"] {
            let (peer, open) = Peer::late(|_| Do::Serve("ok"));
            let mut config = patient(&[&peer]);
            config["settings"]["limits"]["cancelling"] = json!(cancelling);
            let sidecar = Sidecar::start(&config);
            let mut client = sidecar.client();
            client.send(&request(class, "left", "60000m"));
            wait_for("an attempt", || connecting_to(peer.address) == 1);
            drop(client);
            sidecar.says("its client has gone");
            open();
            assert_eq!(sidecar.ask(class, "stays").status(), 200);
            wait_for("no connection on its way", || connecting_to(peer.address) == 0);
            assert_eq!(sidecar.ask(class, "after").status(), 200);
            assert_eq!(ids(&peer), ["stays", "after"], "cancelling {cancelling}");
        }
    }
}

#[test]
fn an_attempt_that_still_connects_is_not_written_once_its_endpoint_drains() {
    for state in ["draining", "removed"] {
        let (old, open) = Peer::late(|_| Do::Serve("old"));
        let new = Peer::serving("new");
        let discovery = Discovery::new(list(8, false, &[]));
        let mut config = patient(&[&old]);
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start(&config);
        let mut client = sidecar.client();
        client.send(&request("book", "r1", "60000m"));
        wait_for("an attempt", || connecting_to(old.address) == 1);
        let moved = [target("s-0", old.address, state), target("s-new", new.address, "up")];
        discovery.say(&list(9, false, &moved).to_string());
        sidecar.says(if state == "draining" { "s-0 is draining" } else { "s-0 is gone" });
        open();
        assert_eq!(client.receive().expect("an answer").body, b"new");
        assert!(ids(&old).is_empty());
    }
}

#[test]
fn a_request_taken_in_the_turn_in_which_its_endpoint_drains_does_not_go_there() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[]));
    let mut config = patient(&[&old]);
    config["discovery"] = json!(discovery.address.to_string());
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    wait_for("the watch", || !discovery.calls().is_empty());
    assert_eq!(client.ask("book", "r1").body, b"old");
    // Stopped, it finds both at once when it goes on. News takes a step more within it than a request does: the
    // attempt is decided, then the drain is heard of, then the attempt is first worked on.
    sidecar.signal("-STOP");
    let moved = [target("s-0", old.address, "draining"), target("s-new", new.address, "up")];
    discovery.say(&list(9, false, &moved).to_string());
    client.send(&request("book", "r2", "60000m"));
    sidecar.signal("-CONT");
    assert_eq!(client.receive().expect("an answer").body, b"new");
    assert_eq!(ids(&old), ["r1"]);
}

#[test]
fn a_repeat_that_connects_beyond_its_window_is_not_written() {
    let (first, arrived, fail) = held(Do::Write(answer("500 Internal Server Error", "", "")));
    let (second, open) = Peer::late(|_| Do::Serve("ok"));
    let discovery = Discovery::new(list(8, false, &[]));
    let mut config = patient(&[&first]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["classes"][2]["repeatWindowMs"] = json!(1500.0);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    let began = Instant::now();
    client.send(&request("pay", "repeated", "60000m"));
    arrived.recv().unwrap();
    let moved = [target("s-0", first.address, "draining"), target("s-new", second.address, "up")];
    discovery.say(&list(9, false, &moved).to_string());
    sidecar.says("s-0 is draining");
    fail.send(()).unwrap();
    wait_for("the second attempt", || connecting_to(second.address) == 1);
    // The window closes on it; to go on connecting would take ten times as long.
    let answer = client.receive().expect("an answer");
    assert_ne!(answer.status(), 200);
    assert!(began.elapsed() >= Duration::from_millis(1500), "{:?}", began.elapsed());
    assert!(began.elapsed() < Duration::from_secs(12), "{:?}", began.elapsed());
    open();
    assert_eq!(sidecar.ask("pay", "after").status(), 200);
    assert_eq!(ids(&second), ["after"]);
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
    EndItsSide,
}

