//! Two ways in which a list that discovery tells does not end the sending: a whole list that comes from the address that
//! was moved from is taken as changes, so what it leaves out stays in use; and a list whose bytes drip in keeps the watch
//! up, and the lease with it, though it never ends.

#[path = "support/node.rs"]
mod support;

use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

const TOLD_WITHIN: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_millis(50);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const HEARTBEAT: Duration = Duration::from_secs(2);

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A discovery: what becomes of each call, by its number and its path.
fn discovery(play: impl Fn(usize, &str, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (calls, play) = (AtomicUsize::new(0), Arc::new(play));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (number, play) = (calls.fetch_add(1, Ordering::SeqCst), play.clone());
            thread::spawn(move || {
                if let Some(call) = Message::read(&mut BufReader::new(&mut stream)) {
                    play(number, call.target(), stream);
                }
            });
        }
    });
    address
}

fn endpoints() -> (Peer, Peer) {
    (Peer::new(|_| Do::Late(SERVICE_TIME)), Peer::new(|_| Do::Late(SERVICE_TIME)))
}

fn started(leaving: &Peer, staying: &Peer, at: SocketAddr, mode: &str) -> (Sidecar, Value) {
    let mut config = config(&[leaving, staying]);
    config["discovery"] = json!(at.to_string());
    config["settings"]["discovery"] = json!(mode);
    config["settings"]["balancers"] = json!(4);
    config["settings"]["rules"]["askWithinMs"] = json!(10_000.0);
    config["settings"]["rules"]["drainGraceMs"] = json!(DRAIN_GRACE.as_millis() as f64);
    let sidecar = Sidecar::start(&config);
    sidecar.says("list: whole list");
    (sidecar, config)
}

/// Asks one after another until `until`; how often the endpoint was sent to after `from`.
fn sent_after(sidecar: &Sidecar, leaving: &Peer, from: Instant, until: Instant) -> usize {
    let (mut before, mut n) = (None, 0);
    while Instant::now() < until {
        if Instant::now() >= from {
            before.get_or_insert(leaving.count());
        }
        let mut client = sidecar.client();
        client.send(&request("quote", &format!("q{n}"), "250m"));
        let _ = client.receive();
        n += 1;
        thread::sleep(Duration::from_millis(20));
    }
    leaving.count() - before.unwrap_or(0)
}

fn after_a_whole_list_from_the_address_before(mode: &str) -> String {
    let (leaving, staying) = endpoints();
    let [up, stays] = [target("s-0", leaving.address, "up"), target("s-1", staying.address, "up")];
    let (whole, without) = (list(8, true, &[up, stays.clone()]), list(9, true, &[stays]));
    let lose = Arc::new(AtomicBool::new(false));
    let called_again = Arc::new(AtomicBool::new(false));
    let moved = Arc::new(AtomicBool::new(false));
    let written = Arc::new(OnceLock::new());
    let (lost, again, has_moved, told) =
        (lose.clone(), called_again.clone(), moved.clone(), written.clone());
    // The watch is lost; the call after it is answered with the whole list just after the move.
    let before = discovery(move |number, _, mut stream| match number {
        0 => {
            let _ = stream.write_all((HEAD.to_owned() + &chunk(&format!("{whole}\n"))).as_bytes());
            wait_for("the loss", || lost.load(Ordering::SeqCst));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        _ => {
            again.store(true, Ordering::SeqCst);
            wait_for("the move", || has_moved.load(Ordering::SeqCst));
            let _ = stream.write_all((HEAD.to_owned() + &chunk(&format!("{without}\n"))).as_bytes());
            told.get_or_init(Instant::now);
            thread::sleep(Duration::from_millis(1500));
        }
    });
    let drained = target("s-0", leaving.address, "draining");
    // The first call at the new address is refused; further ones are told what changed after the version they name.
    let after = discovery(move |number, path, mut stream| {
        if number == 0 {
            let _ = stream.write_all(answer("503 Busy", "", "").as_bytes());
            return;
        }
        let news = if path.ends_with("after=9") { vec![] } else { vec![drained.clone()] };
        let line = format!("{}\n", list(9, false, &news));
        let mut sent = stream.write_all((HEAD.to_owned() + &chunk(&line)).as_bytes());
        while sent.is_ok() {
            thread::sleep(HEARTBEAT);
            sent = stream.write_all(chunk("\n").as_bytes());
        }
    });
    let (sidecar, mut config) = started(&leaving, &staying, before, mode);
    lose.store(true, Ordering::SeqCst);
    wait_for("a further call", || called_again.load(Ordering::SeqCst));
    config["discovery"] = json!(after.to_string());
    sidecar.reconfigure(&config.to_string());
    sidecar.signal("-HUP");
    sidecar.says("discovery: now at");
    moved.store(true, Ordering::SeqCst);
    wait_for("the list", || written.get().is_some());
    let told = *written.get().unwrap();
    let from = told + DRAIN_GRACE + SLACK;
    let late = sent_after(&sidecar, &leaving, from, from + Duration::from_secs(9));
    if late > 0 { format!("{mode}: {late} sent late. {}", sidecar.log()) } else { String::new() }
}

#[test]
fn what_a_whole_list_from_the_address_before_leaves_out_is_gone() {
    let failed = ["subscribe", "automatic"].map(after_a_whole_list_from_the_address_before).concat();
    assert!(failed.is_empty(), "{failed}");
}

#[test]
fn a_list_that_drips_in_does_not_keep_a_lapsed_one_in_use() {
    let (leaving, staying) = endpoints();
    let [up, stays] = [target("s-0", leaving.address, "up"), target("s-1", staying.address, "up")];
    let whole = list(8, true, &[up, stays]);
    let news = format!("{}\n", list(9, false, &[target("s-0", leaving.address, "draining")]));
    let drains = Arc::new(OnceLock::new());
    let known = drains.clone();
    let at = discovery(move |number, _, mut stream| {
        if number > 0 {
            let _ = stream.write_all(answer("503 Busy", "", "").as_bytes());
            return;
        }
        let _ = stream.write_all((HEAD.to_owned() + &chunk(&format!("{whole}\n"))).as_bytes());
        thread::sleep(Duration::from_secs(1));
        known.get_or_init(Instant::now);
        for piece in news.as_bytes().chunks(8) {
            let piece = std::str::from_utf8(piece).unwrap();
            if stream.write_all(chunk(piece).as_bytes()).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
    let (sidecar, _) = started(&leaving, &staying, at, "subscribe");
    wait_for("the drain", || drains.get().is_some());
    let from = *drains.get().unwrap() + TOLD_WITHIN + DRAIN_GRACE + SLACK;
    let late = sent_after(&sidecar, &leaving, from, from + Duration::from_secs(4));
    assert!(late == 0, "{late} sent late. {}", sidecar.log());
}
