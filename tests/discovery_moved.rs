//! Requests went to an endpoint that was leaving, 4.7 and 5.1 s after a new configuration had moved discovery, and what
//! discovery says counts as known 4 s after that. The sidecar asked the new address at once, was sent away within
//! 30 ms, and then waited for its turn, which comes every 5.5 s, among four processes as among hundreds. It had been
//! moved four times within 1.6 s and heard nothing between its start and 20.6 s, while the endpoint, listed as draining
//! since 8.6 s, went on taking calls until 17.4 s. Its log:
//!
//! ```text
//!  4.676  WARN discovery: answered 503 Service Unavailable
//! 13.243  INFO discovery: now at 127.12.0.1:8504
//! 20.012  INFO outcomes seconds=10 error=3 turned_away=2 discovery_failed=4
//! 20.642  INFO list: whole list rev=3 entries=3
//! ```
//!
//! The machine's wall clock had been stepped, and was right again 3 s before the first of these calls: the sidecar
//! waits and times by its monotonic clock, and its log shows the same spans on both.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// What discovery says counts as known so long after a move.
const KNOWN: Duration = Duration::from_secs(4);
/// So long after it is known, sends must have ended.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// A seed whose first turn to ask is 0.11 s after the start, so that the next is 5.6 s after it.
const EARLY: &str = "0000000000000023";
/// Between two moves in a row.
const BETWEEN_MOVES: Duration = Duration::from_millis(300);

/// What becomes of the first call that reaches discovery at its new address.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstCall {
    Refused,
    Reset,
    NeverAnswered,
}

fn what_drains_is_left_in_time(first: FirstCall, moves: usize, mode: &str) {
    let name = format!("{first:?}, {moves} moves, {mode}");
    let (leaving, staying) = (Peer::serving("leaving"), Peer::serving("staying"));
    let told = list(9, false, &[target("s-0", leaving.address, "draining")]).to_string();
    let watch = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{told}\n\r\n",
        told.len() + 1
    );
    let refuses = || Do::WriteAndClose(answer("503 Busy", "", ""));
    let before = Peer::new(move |_| refuses());
    let addresses: Vec<Peer> = (0..moves)
        .map(|_| {
            let (calls, watch) = (Arc::new(AtomicUsize::new(0)), watch.clone());
            Peer::new(move |_| match (calls.fetch_add(1, Ordering::SeqCst), first) {
                (0, FirstCall::Refused) => refuses(),
                (0, FirstCall::Reset) => Do::WriteAndReset(String::new()),
                (0, FirstCall::NeverAnswered) => Do::Silence,
                _ => Do::WriteAndWait(watch.clone()),
            })
        })
        .collect();
    let mut config = config(&[&leaving, &staying]);
    config["seed"] = json!(EARLY);
    config["discovery"] = json!(before.address.to_string());
    config["settings"]["discovery"] = json!(mode);
    config["settings"]["balancers"] = json!(4);
    config["settings"]["rules"]["askWithinMs"] = json!(10_000.0);
    config["settings"]["rules"]["drainGraceMs"] = json!(DRAIN_GRACE.as_millis() as f64);
    let sidecar = Sidecar::start(&config);
    wait_for("a first call at discovery", || before.count() > 0);
    for address in &addresses {
        thread::sleep(BETWEEN_MOVES);
        config["discovery"] = json!(address.address.to_string());
        sidecar.reconfigure(&config.to_string());
        sidecar.signal("-HUP");
    }
    let moved = Instant::now();
    let (mut served, mut late) = (0, 0);
    while moved.elapsed() < KNOWN + DRAIN_GRACE * 3 {
        let seen = leaving.count();
        let binds = moved.elapsed() > KNOWN + DRAIN_GRACE;
        assert_eq!(sidecar.ask("quote", &format!("r{served}")).status(), 200, "{name}");
        served += 1;
        late += if binds { leaving.count() - seen } else { 0 };
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(late, 0, "{name}: of {served} requests so many went to the endpoint that leaves");
}

/// Once the first cause was mended, the same machines broke the rule once more: a watch was lost at 13.9 s, calls at
/// 15.689 and 17.601 s were refused after 28 ms, and the next waited for its slot until 23.0 s. An endpoint listed as
/// draining at 16.0 s got requests until 22.9 s; discovery had counted as reachable all the time.
fn what_drains_is_left_in_time_though_calls_are_refused(mode: &str) {
    let (leaving, staying) = (Peer::serving("leaving"), Peer::serving("staying"));
    let told = list(9, false, &[target("s-0", leaving.address, "draining")]).to_string();
    let watch = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{told}\n\r\n",
        told.len() + 1
    );
    // All calls of the first 2 s are refused: the next slot after the first is the one at 5.6 s.
    let began = Instant::now();
    let refused = Duration::from_secs(2);
    let discovery = Peer::new(move |_| match began.elapsed() < refused {
        true => Do::WriteAndClose(answer("503 Busy", "", "")),
        false => Do::WriteAndWait(watch.clone()),
    });
    let mut config = config(&[&leaving, &staying]);
    config["seed"] = json!(EARLY);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["discovery"] = json!(mode);
    config["settings"]["rules"]["askWithinMs"] = json!(10_000.0);
    let sidecar = Sidecar::start(&config);
    let mut known = None;
    for n in 0.. {
        let seen = leaving.count();
        assert_eq!(sidecar.ask("quote", &format!("r{n}")).status(), 200, "{mode}");
        known = if leaving.count() > seen { None } else { known.or(Some(began.elapsed())) };
        if began.elapsed() > refused + Duration::from_millis(3500) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let known = known.expect("the leaving endpoint gets nothing any more");
    assert!(known < refused + Duration::from_millis(2500), "{mode}: known only after {known:?}");
}

#[test]
fn a_drain_is_known_in_time_though_calls_are_refused_at_once_for_a_while() {
    thread::scope(|scope| {
        for mode in ["subscribe", "automatic"] {
            scope.spawn(move || what_drains_is_left_in_time_though_calls_are_refused(mode));
        }
    });
}

#[test]
fn a_drain_is_known_in_time_after_a_move_whose_first_call_at_discovery_fails() {
    thread::scope(|scope| {
        for first in [FirstCall::Refused, FirstCall::Reset, FirstCall::NeverAnswered] {
            for (moves, mode) in [(1, "subscribe"), (4, "subscribe"), (1, "automatic"), (4, "automatic")] {
                scope.spawn(move || what_drains_is_left_in_time(first, moves, mode));
            }
        }
    });
}
