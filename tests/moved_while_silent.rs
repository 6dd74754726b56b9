//! A watch that had been silent for 2.4 s as discovery moved: what it missed counts as told 6 s after it fell silent, and
//! the lease runs for 4 s from the move, 6.4 s after the last word.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

const TOLD_WITHIN: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_millis(250);
const SLACK: Duration = Duration::from_millis(50);
const SILENT_BEFORE_MOVE: Duration = Duration::from_millis(2420);

#[test]
fn a_move_does_not_put_off_what_a_silent_watch_missed() {
    let [leaving, staying] = [(); 2].map(|()| Peer::serving("ok"));
    let up = [target("s-0", leaving.address, "up"), target("s-1", staying.address, "up")];
    let line = format!("{}\n", list(8, true, &up));
    let written = Arc::new(OnceLock::new());
    let [before, after] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let [at, then] = [&before, &after].map(|listener| listener.local_addr().unwrap());
    let told = written.clone();
    thread::spawn(move || {
        let mut stream = before.accept().unwrap().0;
        Message::read(&mut BufReader::new(&mut stream)).unwrap();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).unwrap();
        told.get_or_init(Instant::now);
        let _ = stream.read_to_end(&mut Vec::new());
    });
    thread::spawn(move || {
        for mut stream in after.incoming().flatten() {
            let _ = Message::read(&mut BufReader::new(&mut stream));
            let _ = stream.write_all(answer("503 Busy", "", "").as_bytes());
        }
    });
    let mut config = config(&[&leaving, &staying]);
    config["discovery"] = json!(at.to_string());
    config["settings"]["balancers"] = json!(4);
    config["settings"]["rules"]["askWithinMs"] = json!(10_000.0);
    config["settings"]["rules"]["drainGraceMs"] = json!(DRAIN_GRACE.as_millis() as f64);
    let sidecar = Sidecar::start(&config);
    sidecar.says("list: whole list");
    let silent_since = *written.get().unwrap();
    config["discovery"] = json!(then.to_string());
    sidecar.reconfigure(&config.to_string());
    thread::sleep((silent_since + SILENT_BEFORE_MOVE).saturating_duration_since(Instant::now()));
    sidecar.signal("-HUP");
    let from = silent_since + TOLD_WITHIN + DRAIN_GRACE + SLACK;
    let (mut before, mut last) = (None, silent_since);
    while Instant::now() < from + Duration::from_secs(2) {
        if Instant::now() >= from {
            before.get_or_insert(leaving.count());
        }
        let counted = leaving.count();
        let mut client = sidecar.client();
        client.send(&request("quote", &format!("q{:?}", silent_since.elapsed()), "100m"));
        let _ = client.receive();
        if leaving.count() > counted {
            last = Instant::now();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let late = leaving.count() - before.unwrap_or(0);
    assert!(late == 0, "{late} sent late, the last {:?} after the last word", last - silent_since);
}
