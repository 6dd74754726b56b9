//! Clients that stop in the middle of a request and stay are owed an error or a close within 3 s. What had come of a body
//! earned further time to say nothing, a large one was waited for from its last piece on, and half a head on a connection
//! that had been used was waited for as long as a client that rests. Read in the code.

#[path = "support/node.rs"]
mod support;

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// What bad clients are owed, with the slack of all times.
const OWED: Duration = Duration::from_millis(3000 + 50);
/// Longer is not waited for.
const LOOKS: Duration = Duration::from_secs(6);

/// How long until something comes, or the end.
fn waits(stream: &mut TcpStream, since: Instant) -> Option<Duration> {
    stream.set_read_timeout(Some(LOOKS)).unwrap();
    match stream.read(&mut [0; 1]) {
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => None,
        _ => Some(since.elapsed()),
    }
}

/// The head of a request with a body of this length.
fn head(id: &str, length: usize) -> String {
    let text =
        request("book", id, "10000m").replace("Content-Length: 4", &format!("Content-Length: {length}"));
    text.replace("\r\n\r\nbody", "\r\n\r\n")
}

#[test]
fn what_has_come_of_a_body_earns_no_time_to_say_nothing() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let (mut client, connected) = (sidecar.client(), Instant::now());
    client.send(&head("r1", 64_000));
    client.send(&"b".repeat(60_000));
    let took = waits(client.stream(), connected);
    assert!(took.is_some_and(|took| took <= OWED), "neither an error nor a close for {took:?}");
}

#[test]
fn a_large_body_that_stops_is_cut_off_within_three_seconds_of_the_connection() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let (mut client, connected) = (sidecar.client(), Instant::now());
    client.send(&head("r1", 100_000));
    client.send(&"b".repeat(70_000));
    thread::sleep(Duration::from_millis(500)); // so much of the time owed has passed as it stops
    client.send("b");
    let took = waits(client.stream(), connected);
    assert!(took.is_some_and(|took| took <= OWED), "neither an error nor a close for {took:?}");
}

#[test]
fn half_a_head_on_a_connection_that_was_used_is_cut_off_within_three_seconds() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    assert_eq!(client.ask("book", "r1").status(), 200);
    let post = request("book", "r2", "10000m");
    let stopped = Instant::now();
    client.send(&post[..post.len() / 2]);
    let took = waits(client.stream(), stopped);
    assert!(took.is_some_and(|took| took <= OWED), "neither an error nor a close for {took:?}");
}

#[test]
fn a_large_body_that_trickles_is_cut_off() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let (mut client, connected) = (sidecar.client(), Instant::now());
    client.send(&head("r1", 100_000));
    client.send(&"b".repeat(70_000));
    // At half of the slowest pace that clients keep, from the last moment for a first body on, it would be over by then.
    let most = Duration::from_millis(2800)
        + Duration::from_secs_f64(100_000.0 / 32_000.0)
        + Duration::from_secs(1);
    client.stream().set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    while let Err(e) = client.stream().read(&mut [0; 1]) {
        if e.kind() != std::io::ErrorKind::WouldBlock {
            break;
        }
        assert!(connected.elapsed() < most, "neither an error nor a close for {:?}", connected.elapsed());
        client.send("b");
    }
}
