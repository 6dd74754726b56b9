//! Requests went to an endpoint that was leaving, 4.8 s and more after a new configuration had moved discovery, and what
//! discovery says counts as known 4 s after that. The sidecar had been moved four times within 1.7 s and had heard nothing
//! since its start: its calls ended in 503 after 3 s, or at once, and none at the last address was answered before 20.4 s.
//! Meanwhile the endpoint, listed as draining since 10.5 s, went on taking calls, which the sidecar took for a proof that it
//! was not leaving. Calls were made one at a time, each waited for up to 3.1 s, and two that failed used up the 4 s. An earlier
//! incident had the same cause with one call lost.
//!
//! ```text
//!  4.002  call address=127.12.0.1:8500 outcome="unavailable" ms=3000
//!  9.538  call address=127.12.0.1:8500 outcome="unavailable" ms=3038
//! 12.589  call address=127.12.0.1:8503 outcome="unavailable" ms=21
//! 13.467  new configuration, SIGHUP
//! 18.304  a request went to server s-68c12f03 0.84 s after this instance was told that it drains or is gone
//! 20.4    discovery wrote its answer: v2
//! ```

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

/// What becomes of a call that reaches discovery at its last address.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Refused,
    RefusedLate,
    Reset,
    NeverAnswered,
    HeadersOnly,
    EmptyLineAndSilence,
    HalfListAndSilence,
    OlderList,
}

use Trouble::*;

/// What becomes of the first calls; those after them are answered with the list at once.
const SEQUENCES: [&[Trouble]; 15] = [
    &[Refused],
    &[Reset],
    &[NeverAnswered],
    &[NeverAnswered, Refused],
    &[NeverAnswered, Reset],
    &[Refused, NeverAnswered],
    &[Refused, Refused],
    &[RefusedLate],
    &[RefusedLate, Refused],
    &[HalfListAndSilence],
    &[HalfListAndSilence, Refused],
    &[EmptyLineAndSilence, Reset],
    &[Reset, Reset, Reset],
    &[HeadersOnly],
    &[OlderList],
];

/// How often discovery moves, and whether lists are asked for or pushed.
const STARTS: [(usize, &str); 5] =
    [(1, "subscribe"), (3, "subscribe"), (4, "subscribe"), (1, "automatic"), (4, "automatic")];

/// The start of a watch's answer, with these bytes as its first line.
fn watch_with(line: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())
}

impl Trouble {
    /// What discovery does, whose list this is, and was this once.
    fn act(self, list: &str, older: &str) -> Do {
        match self {
            Refused => Do::WriteAndClose(answer("503 Busy", "", "")),
            RefusedLate => {
                thread::sleep(Duration::from_secs(2)); // on the connection's own thread
                Do::WriteAndClose(answer("503 Busy", "", ""))
            }
            Reset => Do::WriteAndReset(String::new()),
            NeverAnswered => Do::Silence,
            HeadersOnly => {
                Do::WriteAndWait("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned())
            }
            EmptyLineAndSilence => Do::WriteAndWait(watch_with("\n")),
            HalfListAndSilence => Do::WriteAndWait(watch_with(&list[..list.len() / 2])),
            OlderList => Do::WriteAndWait(watch_with(&format!("{older}\n"))),
        }
    }
}

fn what_drains_is_left_in_time(
    sequence: &'static [Trouble],
    moves: usize,
    mode: &str,
) -> Result<(), String> {
    let (leaving, staying) = (Peer::serving("leaving"), Peer::serving("staying"));
    let told = list(9, false, &[target("s-0", leaving.address, "draining")]).to_string();
    let up = [target("s-0", leaving.address, "up"), target("s-1", staying.address, "up")];
    let older = list(3, true, &up).to_string();
    let before = Peer::new(move |_| Do::WriteAndClose(answer("503 Busy", "", "")));
    let addresses: Vec<Peer> = (0..moves)
        .map(|_| {
            let (calls, told, older) = (Arc::new(AtomicUsize::new(0)), told.clone(), older.clone());
            Peer::new(move |_| match sequence.get(calls.fetch_add(1, Ordering::SeqCst)) {
                Some(trouble) => trouble.act(&told, &older),
                None => Do::WatchAndLive(watch_with(&format!("{told}\n"))),
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
    let (mut asked, mut served, mut late) = (0, 0, 0);
    while moved.elapsed() < KNOWN + DRAIN_GRACE * 3 {
        let seen = leaving.count();
        let binds = moved.elapsed() > KNOWN + DRAIN_GRACE;
        served += usize::from(sidecar.ask("quote", &format!("r{asked}")).status() == 200);
        asked += 1;
        late += if binds { leaving.count() - seen } else { 0 };
        thread::sleep(Duration::from_millis(20));
    }
    match late == 0 && served == asked {
        true => Ok(()),
        false => Err(format!(
            "{sequence:?}, {moves} moves, {mode}: {late} of {asked} requests went to the endpoint that leaves, \
             {served} were served"
        )),
    }
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
fn a_drain_is_known_in_time_after_a_move_whatever_becomes_of_the_first_calls_at_discovery() {
    let mut failed = Vec::new();
    for (moves, mode) in STARTS {
        thread::scope(|scope| {
            let play = |sequence| scope.spawn(move || what_drains_is_left_in_time(sequence, moves, mode));
            let plays: Vec<_> = SEQUENCES.into_iter().map(play).collect();
            failed.extend(plays.into_iter().filter_map(|play| play.join().unwrap().err()));
        });
    }
    assert!(
        failed.is_empty(),
        "{} of {}:\n{}",
        failed.len(),
        SEQUENCES.len() * STARTS.len(),
        failed.join("\n")
    );
}

/// A change was written to a sidecar in the very moment in which a new configuration moved its discovery. It closed the
/// watch over the unread line, and sent to the endpoint until the next address answered 1.2 s later.
#[test]
fn what_the_address_before_still_tells_is_taken() {
    for mode in ["subscribe", "automatic"] {
        let (leaving, staying) = (Peer::serving("leaving"), Peer::serving("staying"));
        let up = [target("s-0", leaving.address, "up"), target("s-1", staying.address, "up")];
        let before = Discovery::new(list(8, true, &up));
        let silent = Peer::new(|_| Do::Silence);
        let mut config = config(&[&leaving, &staying]);
        config["discovery"] = json!(before.address.to_string());
        config["settings"]["discovery"] = json!(mode);
        let sidecar = Sidecar::start(&config);
        sidecar.says("list: whole list");
        config["discovery"] = json!(silent.address.to_string());
        sidecar.reconfigure(&config.to_string());
        sidecar.signal("-HUP");
        wait_for("a call at the next address", || silent.count() > 0);
        before.say(&list(9, false, &[target("s-0", leaving.address, "draining")]).to_string());
        sidecar.says("told by the address before");
        let seen = leaving.count();
        for n in 0..20 {
            assert_eq!(sidecar.ask("quote", &format!("{mode}{n}")).status(), 200);
        }
        assert_eq!(leaving.count(), seen, "{mode}: it was told that the endpoint drains");
    }
}
