//! An X-Request-ID that comes again while an endpoint may still be working on its first request must not run twice.

#[path = "support/node.rs"]
mod support;

use std::thread;
use std::time::Duration;
use support::*;

/// What an endpoint needs for a request.
const WORK: Duration = Duration::from_millis(1500);
/// The time between a client's leaving and the same id again.
const PAUSE: Duration = Duration::from_millis(50);

fn slow_endpoint() -> Peer {
    Peer::new(|_| Do::Late(WORK))
}

/// It ran twice when it came again after its client had left.
#[test]
fn an_id_whose_client_has_left_while_it_runs_does_not_run_again() {
    for (class, runs) in [("book", 1), ("pay", 1), ("quote", 2)] {
        let peer = slow_endpoint();
        let sidecar = Sidecar::start(&config(&[&peer]));
        let mut first = sidecar.client();
        first.send(&request(class, "again", "10000m"));
        wait_for("the attempt", || peer.count() == 1);
        drop(first);
        thread::sleep(PAUSE);
        let answer = sidecar.ask(class, "again");
        assert_eq!(peer.count(), runs, "{class}");
        if runs == 1 {
            assert_eq!(answer.status(), 409);
            assert_eq!(answer.body, b"X-Request-ID is not fresh: its request may still run");
        }
        assert_eq!(sidecar.ask(class, "other").status(), 200, "another id is taken");
    }
}

/// Its client's time was up, and its endpoint still works on it.
#[test]
fn an_id_that_was_given_up_while_it_runs_does_not_run_again() {
    let peer = slow_endpoint();
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    client.send(&request("book", "again", "300m"));
    assert!(matches!(client.receive().expect("an answer").status(), 502 | 504));
    assert_eq!(sidecar.ask("book", "again").status(), 409);
    assert_eq!(peer.count(), 1);
}

/// A connection that is closed as a request crosses it: the client sends the same again, as nobody has read it.
#[test]
fn an_id_that_no_endpoint_was_sent_may_come_again() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    let text = request("book", "again", "10000m");
    client.send(&text[..text.len() - 1]);
    drop(client);
    thread::sleep(PAUSE);
    assert_eq!(sidecar.ask("book", "again").status(), 200);
    assert_eq!(peer.count(), 1);
}

/// The client comes to the other process of an upgrade, and the older one is killed or goes on.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_again() {
    for killed in [false, true] {
        let peer = slow_endpoint();
        let shared = Shared::new();
        let config = config(&[&peer]);
        let (mut old, _) = shared.start(&config);
        let mut first = old.client();
        first.send(&request("book", "again", "10000m"));
        wait_for("the attempt", || peer.count() == 1);
        let (new, _) = shared.start(&config);
        if killed {
            old.child.kill().unwrap();
        } else {
            old.signal("-TERM");
        }
        drop(first);
        old.ended();
        assert_eq!(new.ask("book", "again").status(), 409, "killed {killed}");
        assert_eq!(peer.count(), 1, "killed {killed}");
    }
}
