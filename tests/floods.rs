//! One client that floods its connection, or the listener, takes neither service nor memory from the others, also where the
//! process has half a core.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// What the flood consists of.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flood {
    /// Sound requests, one behind the other.
    Sound,
    /// The same, and no answer is read.
    Unread,
    /// Classes that nobody has, ever new ones.
    UnknownClasses,
    /// Tenants, users and query names, ever new ones.
    NewNames,
    /// Time-outs that are none, and the same id again and again.
    BadFields,
    /// Questions whether the process is ready.
    Readiness,
    /// Lines that are no HTTP, on one connection after another.
    Junk,
}

/// How long a flood lasts.
const PLAY: Duration = Duration::from_secs(4);
/// The time of the others' requests; up to half a second later an answer only earns nothing.
const TIME: Duration = Duration::from_millis(1000);
const LOST_AFTER: Duration = Duration::from_millis(500);
/// A process may be held up for so long by anything; nine in ten answers come within it.
const HOLD_UP: Duration = Duration::from_millis(150);
/// What the process may take for a flood, in KiB: its share of the buffers, not what was sent.
const MAX_GROWTH_KIB: u64 = 8 * 1024;

fn message(flood: Flood, number: usize) -> String {
    let sound = request("quote", &format!("f{number}"), "500m");
    match flood {
        Flood::Sound | Flood::Unread => sound,
        Flood::UnknownClasses => sound.replace("/quote", &format!("/class{number}")),
        Flood::NewNames => {
            sound.replace("acme", &format!("tenant{number}")).replace("&n=1", &format!("&n{number}=1"))
        }
        Flood::BadFields => request("book", "same", "soon"),
        Flood::Readiness => "GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n".to_owned(),
        Flood::Junk => format!("what {number}\r\n\r\n"),
    }
}

/// Sends messages at full speed until the play is over; how many.
fn flood(kind: Flood, sidecar: SocketAddr, over: &AtomicBool) -> usize {
    let mut sent = 0;
    while !over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(sidecar) else { continue };
        stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
        if kind != Flood::Unread {
            let mut answers = stream.try_clone().unwrap();
            thread::spawn(move || while answers.read(&mut [0; 16 * 1024]).is_ok_and(|count| count > 0) {});
        }
        while !over.load(Ordering::SeqCst) {
            let batch: String = (sent..sent + 16).map(|number| message(kind, number)).collect();
            if stream.write_all(batch.as_bytes()).is_err() {
                break;
            }
            sent += 16;
        }
        let _ = stream.shutdown(Shutdown::Both);
    }
    sent
}

/// Discovery that tells of these two, and then of no change: without it requests wait for health checks after a while.
fn discovery_of(peers: &[Peer; 2]) -> Peer {
    let targets = [target("s-0", peers[0].address, "up"), target("s-1", peers[1].address, "up")];
    let line = format!("{}\n", list(8, true, &targets));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let watch = format!("{head}{:x}\r\n{line}\r\n", line.len());
    Peer::new(move |_| Do::WatchAndLive(watch.clone()))
}

/// Takes half of the first core until dropped.
struct BusyLoop(Child);

impl BusyLoop {
    fn start() -> Self {
        let script = "taskset -pc 0 $$ > /dev/null; while :; do :; done";
        BusyLoop(Command::new("/bin/sh").args(["-c", script]).spawn().unwrap())
    }
}

impl Drop for BusyLoop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Other clients got their answers late or never beside it, or memory grew without end.
#[test]
fn a_flood_on_one_connection_delays_no_other_client_and_takes_no_memory() {
    let _busy = BusyLoop::start();
    let floods = [
        Flood::Sound,
        Flood::Unread,
        Flood::UnknownClasses,
        Flood::NewNames,
        Flood::BadFields,
        Flood::Readiness,
        Flood::Junk,
    ];
    let mut broken = Vec::new();
    for kind in floods {
        let peers = [Peer::serving("ok"), Peer::serving("ok")];
        let discovery = discovery_of(&peers);
        let mut config = config(&[&peers[0], &peers[1]]);
        config["discovery"] = json!(discovery.address.to_string());
        let sidecar = Sidecar::start_with(&config, "taskset -pc 0 $$ > /dev/null;");
        let (address, over) = (sidecar.address, Arc::new(AtomicBool::new(false)));
        let sent = Arc::new(AtomicUsize::new(0));
        let flooding = thread::spawn({
            let (over, sent) = (over.clone(), sent.clone());
            move || sent.store(flood(kind, address, &over), Ordering::SeqCst)
        });
        thread::sleep(Duration::from_millis(500));
        let (began, before) = (Instant::now(), sidecar.own_memory_kib());
        let (mut times, mut answers) = (Vec::new(), 0);
        while began.elapsed() < PLAY {
            let at = Instant::now();
            let mut client = sidecar.client();
            client.send(&request("pay", &format!("o{}", times.len()), &format!("{}m", TIME.as_millis())));
            answers += usize::from(client.receive().is_some_and(|answer| answer.status() == 200));
            times.push(at.elapsed());
            thread::sleep(Duration::from_millis(50));
        }
        let growth = sidecar.own_memory_kib().saturating_sub(before);
        over.store(true, Ordering::SeqCst);
        flooding.join().unwrap();
        let sent = sent.load(Ordering::SeqCst);
        times.sort();
        let (asked, worst, most) = (times.len(), times[times.len() - 1], times[times.len() * 9 / 10]);
        let told = format!(
            "{kind:?}: {sent} sent, {answers} of {asked} served, nine in ten within {most:?}, the last in {worst:?}, \
             {growth} KiB more"
        );
        println!("{told}");
        if answers < asked || most > HOLD_UP || worst > TIME + LOST_AFTER || growth > MAX_GROWTH_KIB {
            broken.push(told);
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
