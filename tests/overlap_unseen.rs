//! During an upgrade both processes are one sidecar, as long as both live. A process that lacks a descriptor for its look at the
//! other's mark took that for the other's end: it took back the whole of what it may hold, and the whole budget of cold endpoints.
//! Read in `net/hot_restart.rs`: what can't be opened counts as dead, and a folder that can't be read as empty.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::thread;
use std::time::Duration;
use support::*;

#[test]
fn a_look_that_fails_is_no_end_of_the_other_process() {
    let peer = Peer::serving("ok");
    let shared = Shared::new();
    let config = config(&[&peer]);
    let mut first = config.clone();
    first["control"] = json!(nowhere().to_string());
    let prefix = format!("export TMPDIR={}; ulimit -n 64;", shared.0.display());
    let old = Sidecar::start_with(&first, &prefix);
    let (_new, _) = shared.start(&config);
    old.says("processes of this sidecar: 2");
    // Of these each process gets about half: all that the first one can open, and more.
    let crowd: Vec<Client> = (0..200).filter_map(|_| Client::connect(old.address)).collect();
    wait_for("its last descriptor", || old.descriptors() >= 63);
    thread::sleep(Duration::from_millis(500)); // five looks
    let log = old.log();
    drop(crowd);
    assert!(!log.contains("processes of this sidecar: 1"), "the other one lives: {log}");
}
