//! A voter whose older process lived on for longer than 5 s beside it had no part in the log until it was started again: it waited
//! for its state folder for that long and no longer, where an upgrade lasts for up to 6 s and the old process's drain for up to 3.7 s
//! more. Three voters upgraded in turn were a log without any. Read in `net/mod.rs` (`DISK_WAIT`) and `net/peers.rs` `join`.

#[path = "support/node.rs"]
mod support;

use gullpulley::config::keys;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Whether a voter has its part in the log, at the latest 10 s after its older process, which lives for so long beside it, ended.
fn has_its_part(beside: Duration) -> bool {
    let (shared, folder) = (Shared::new(), tempfile::tempdir().unwrap());
    let (clients, fleet) = (nowhere(), nowhere());
    let start = || -> (Sidecar, SocketAddr) {
        let door = nowhere();
        let text = keys::example()
            .replace("\"127.0.0.1:7070\"", &format!("\"{clients}\""))
            .replace("# operators = \"127.0.0.1:7071\"", &format!("operators = \"{door}\""))
            .replace("\"127.0.0.1:8500\"", &format!("\"{}\"", nowhere()))
            .replace("# dir = \"/var/lib/gullpulley\"", &format!("dir = \"{}\"", folder.path().display()))
            .replace("# cluster = \"render\"", "cluster = \"render\"")
            .replace("# listen = \"127.0.0.1:7072\"", &format!("listen = \"{fleet}\""))
            .replace("# voters = []", "voters = [\"front\", \"b\", \"c\"]");
        let prefix = format!("export TMPDIR={};", shared.0.display());
        let sidecar = Sidecar::start_text(&text, clients, &prefix);
        wait_for("the door", || Client::connect(door).is_some());
        (sidecar, door)
    };
    let part = |door| String::from_utf8(call(door, "GET", "/v1/fleet").body).unwrap().contains("log.part=");
    let (mut old, at_old) = start();
    wait_for("the old one's part", || part(at_old));
    let (_new, at_new) = start();
    thread::sleep(beside);
    old.signal("-TERM");
    assert!(old.ended().success());
    let ended = Instant::now();
    while ended.elapsed() < Duration::from_secs(10) {
        if part(at_new) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

#[test]
fn a_voter_upgraded_beside_its_older_process_has_its_part_once_that_has_ended() {
    assert!(has_its_part(Duration::from_secs(1)), "beside it for 1 s");
    // An upgrade as the operators bound it: 6 s to be ready, then the old one is told to end.
    assert!(has_its_part(Duration::from_secs(6)), "beside it for 6 s");
}
