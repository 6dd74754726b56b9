//! A machine's wall clock may be stepped, and the age of an endpoint that has just started was reckoned by it: stepped
//! forward by an hour, a new process counted as warm at once and got its whole share, where all sidecars together may send
//! it a third; stepped back, it counted as cold for an hour. Read in `net/clock.rs`; the age counts from when a start
//! is first told now, on the monotonic clock.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::*;

const HOUR_MS: i64 = 3_600_000;
/// An endpoint is warm after this.
const WARM_WITHIN: Duration = Duration::from_secs(1);
const REQUESTS: usize = 80;

/// How many of so many requests in a row a new endpoint gets beside three warm ones, told of a start that lies so far from
/// this machine's wall clock; once it is told, or once it is warm.
fn gets(off_ms: i64, warm: bool) -> usize {
    // Slower than a connection comes up: an endpoint whose first answers take longer than the others' gets fewer.
    let peers = [(); 4].map(|()| Peer::new(|_| Do::Late(Duration::from_millis(4))));
    let [old @ .., new] = &peers;
    let discovery = Discovery::new(list(8, false, &[]));
    let mut config = config(&[&old[0], &old[1], &old[2]]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["discovery"] = json!("automatic");
    config["settings"]["rules"]["warmWithinMs"] = json!(WARM_WITHIN.as_millis() as f64);
    let sidecar = Sidecar::start(&config);
    wait_for("the watch", || discovery.calls().len() == 1);
    (0..REQUESTS).for_each(|n| drop(sidecar.ask("quote", &format!("warm{n}"))));
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    let mut started = target("s-new", new.address, "up");
    started["boot_ms"] = json!(wall + off_ms);
    discovery.say(&list(9, false, &[started]).to_string());
    sidecar.says("list: changes");
    if warm {
        thread::sleep(WARM_WITHIN + Duration::from_millis(200));
    }
    (0..REQUESTS).for_each(|n| drop(sidecar.ask("quote", &format!("r{n}"))));
    new.count()
}

#[test]
fn whatever_the_wall_clock_says_a_new_endpoint_is_cold_at_first_and_warm_in_time() {
    let usual = gets(0, false);
    for off_ms in [-HOUR_MS, -9_000, HOUR_MS] {
        // Its even share is 20: a cold one is sent a few.
        let cold = gets(off_ms, false);
        assert!(
            cold <= usual + 4,
            "off by {off_ms} ms: {cold} requests while cold, {usual} with a true clock"
        );
        let warm = gets(off_ms, true);
        assert!(warm >= 8, "off by {off_ms} ms: {warm} requests once warm");
    }
    assert!(usual <= 8, "{usual} requests while cold");
}
