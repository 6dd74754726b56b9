//! A start that was told counts: an older list, believed once discovery tells nothing newer for 6 s, took it back, and an endpoint
//! that had just started got the share of a warm one. Read in `net/start_times.rs`, which takes any other start than the last.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::*;

const REQUESTS: usize = 80;

/// How many of so many requests an endpoint that has just started gets beside three warm ones, after an older list came
/// that tells of its start, or of its forerunner's, long ago.
fn gets(forerunner: bool) -> usize {
    // Slower than a connection comes up: an endpoint whose first answers take longer than the others' gets fewer.
    let peers = [(); 4].map(|()| Peer::new(|_| Do::Late(Duration::from_millis(4))));
    let [old @ .., new] = &peers;
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let told = |boot_ms: u64| {
        let mut entries: Vec<_> = (0..3).map(|n| target(&format!("s-{n}"), old[n].address, "up")).collect();
        let mut started = target("s-new", new.address, "up");
        started["boot_ms"] = json!(boot_ms);
        entries.push(started);
        entries
    };
    let discovery = Discovery::new(list(9, true, &told(wall)));
    let mut config = config(&[&old[0], &old[1], &old[2]]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["discovery"] = json!("automatic");
    config["settings"]["rules"]["warmWithinMs"] = json!(60_000.0);
    let sidecar = Sidecar::start(&config);
    wait_for("the watch", || discovery.calls().len() == 1);
    sidecar.says("rev=9");
    (0..REQUESTS).for_each(|n| drop(sidecar.ask("quote", &format!("before{n}"))));
    discovery.answers(list(8, true, &told(if forerunner { 0 } else { wall })));
    drop(discovery.let_go());
    sidecar.says("rev=8");
    let before = new.count();
    (0..REQUESTS).for_each(|n| drop(sidecar.ask("quote", &format!("r{n}"))));
    new.count() - before
}

#[test]
fn an_older_list_makes_no_endpoint_warm_that_has_just_started() {
    // Its even share is 20: a cold one is sent a few.
    let (usual, taken_back) = (gets(false), gets(true));
    assert!(usual <= 8, "{usual} requests while cold");
    assert!(
        taken_back <= usual + 4,
        "{taken_back} requests while cold, {usual} where its start is told again"
    );
}
