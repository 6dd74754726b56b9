//! What the address that was moved from has written counts as told. An answer at the new address that confirms nothing, as
//! it is no newer, ends the watch at the old one, and what was written there and not yet read is lost with it.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

const DRAIN_GRACE: Duration = Duration::from_millis(250);
const SLACK: Duration = Duration::from_millis(50);
/// The sidecar is held up for so long.
const HELD_UP: Duration = Duration::from_millis(100);
/// The new address tells the change so long after the old one.
const REPLICA_LAG: Duration = Duration::from_millis(1000);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// Takes one call, and gives its connection.
fn called(listener: &TcpListener) -> TcpStream {
    let mut stream = listener.accept().unwrap().0;
    stream.set_nodelay(true).unwrap();
    Message::read(&mut BufReader::new(&mut stream)).unwrap();
    stream
}

#[test]
fn what_the_address_before_has_written_is_read_before_its_watch_is_ended() {
    let [leaving, staying] = [(); 2].map(|()| Peer::serving("ok"));
    let up = [target("s-0", leaving.address, "up"), target("s-1", staying.address, "up")];
    let whole = list(8, true, &up).to_string();
    let news = list(9, false, &[target("s-0", leaving.address, "draining")]).to_string();
    let [before, after] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let mut config = config(&[&leaving, &staying]);
    config["discovery"] = json!(before.local_addr().unwrap().to_string());
    config["settings"]["balancers"] = json!(4);
    config["settings"]["rules"]["askWithinMs"] = json!(10_000.0);
    config["settings"]["rules"]["drainGraceMs"] = json!(DRAIN_GRACE.as_millis() as f64);
    let (watch, watched) = mpsc::channel();
    thread::spawn(move || {
        let mut stream = called(&before);
        stream.write_all((HEAD.to_owned() + &chunk(&whole)).as_bytes()).unwrap();
        watch.send(stream).unwrap();
    });
    let sidecar = Sidecar::start(&config);
    sidecar.says("list: whole list");
    let mut old = watched.recv().unwrap();
    config["discovery"] = json!(after.local_addr().unwrap().to_string());
    sidecar.reconfigure(&config.to_string());
    sidecar.signal("-HUP");
    let mut new = called(&after);
    sidecar.signal("-STOP");
    new.write_all((HEAD.to_owned() + &chunk(&list(8, false, &[]).to_string())).as_bytes()).unwrap();
    old.write_all(chunk(&news).as_bytes()).unwrap();
    let told = Instant::now();
    thread::sleep(HELD_UP);
    sidecar.signal("-CONT");
    let (from, mut before, mut n) = (told + DRAIN_GRACE + SLACK, None, 0);
    while Instant::now() < told + REPLICA_LAG {
        if Instant::now() >= from {
            before.get_or_insert(leaving.count());
        }
        let mut client = sidecar.client();
        client.send(&request("quote", &format!("q{n}"), "200m"));
        let _ = client.receive();
        n += 1;
        thread::sleep(Duration::from_millis(5));
    }
    let late = leaving.count() - before.unwrap_or(0);
    drop((old, new));
    assert!(late == 0, "{late} sent late of {n}. {}", sidecar.log());
}
