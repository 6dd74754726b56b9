//! A planned restart while clients that write slowly are in the middle of a request on a connection that they keep.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Pieces of a slow client's request, and the time between them: 1.4 s in all, where a client may take 2 s for a head.
const PIECES: usize = 8;
const PIECE_GAP: Duration = Duration::from_millis(200);
/// A request of which something was written so long before the connection was shut has not crossed the shutting.
const NO_CROSSING: Duration = Duration::from_millis(200);
const CLIENTS: usize = 24;
const PATIENCE: Duration = Duration::from_millis(3000);

fn main() {
    let record_path = std::env::args().nth(1).unwrap_or_else(|| fail("no record named"));
    open_record(&record_path);
    std::process::exit(play());
}

/// How a slow request ended.
struct Slow {
    id: String,
    first_piece: Duration,
    last_piece: Option<Duration>,
    ended: Duration,
    bytes: Vec<u8>,
    /// What became of it when it was sent once more on a new connection.
    again: Option<Got>,
}

fn play() -> i32 {
    let folder = Folder::new();
    let begun: Arc<Mutex<Vec<String>>> = Arc::default();
    let targets: Vec<Target> = (0..4).map(|number| target(number, begun.clone())).collect();
    let discovery = Discovery::start(41, targets.clone());
    let setup = Setup::small(41, &targets);
    let sidecar = Sidecar::start(&setup, discovery.address, &folder);
    let (listen, results) = (sidecar.listen, Arc::new(Mutex::new(Vec::new())));
    let term_at = Instant::now() + Duration::from_secs(5);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let results = results.clone();
            // Their requests begin from 0.9 s before the signal to 0.2 s before it.
            let begins = term_at - Duration::from_millis(900)
                + Duration::from_millis(700) * number as u32 / CLIENTS as u32;
            thread::spawn(move || {
                if let Some(slow) = slow_client(listen, begins) {
                    results.lock().unwrap().push(slow);
                }
            })
        })
        .collect();
    thread::sleep(term_at.saturating_duration_since(Instant::now()));
    if trouble() {
        sidecar.signal("TERM");
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut sidecar = sidecar;
    record(&format!("sidecar has ended: {:?}", sidecar.ended()));
    drop(sidecar);
    let (mut taken, mut lost) = (0, 0);
    for slow in results.lock().unwrap().iter() {
        let Some(last_piece) = slow.last_piece else {
            record(&format!("client: {} could not write its last byte, counts as not taken", slow.id));
            continue;
        };
        taken += 1;
        let answer = String::from_utf8_lossy(&slow.bytes).lines().next().unwrap_or("").to_owned();
        let crossed = slow.ended < slow.first_piece + NO_CROSSING;
        let served_again = matches!(slow.again, Some(Got::Answer(..)));
        let is_lost = slow.bytes.is_empty() && !crossed && !served_again;
        lost += usize::from(is_lost);
        record(&format!(
            "client: {} first byte {:.3}, last byte {:.3}, connection answered or ended {:.3}: {}, once more: {:?}{}",
            slow.id,
            slow.first_piece.as_secs_f64(),
            last_piece.as_secs_f64(),
            slow.ended.as_secs_f64(),
            if answer.is_empty() { "no answer" } else { &answer },
            slow.again,
            if is_lost { ", lost" } else { "" }
        ));
    }
    let line =
        format!("slow requests written whole: {taken}; ended by the sidecar without an answer: {lost}");
    record(&line);
    println!("{line}");
    if results.lock().unwrap().len() < CLIENTS / 2 {
        return COULD_NOT_RUN;
    }
    if lost > 0 { BROKEN } else { HELD }
}

fn slow_client(listen: std::net::SocketAddr, begins: Instant) -> Option<Slow> {
    let class = &classes()[0];
    let mut client = Client::connect(listen).ok()?;
    let id = fresh_id();
    client.send(class, &id, PATIENCE, b"").ok()?;
    let got = client.receive(PATIENCE);
    if !matches!(got, Got::Answer(200, _)) {
        record(&format!("client: {id}, the first on its connection: {got:?}"));
        return None;
    }
    thread::sleep(begins.saturating_duration_since(Instant::now()));
    let id = fresh_id();
    let head = request_head(class, &id, PATIENCE, 0);
    let first_piece = at();
    record(&format!(
        "client: {id} begins to write, process and port {:?}",
        client.stream.local_addr().ok()
    ));
    // A client sees what comes while it writes, as its own thread.
    let reading = thread::spawn({
        let stream = client.stream.try_clone().ok()?;
        move || read_answer(stream)
    });
    let length = head.len().div_ceil(PIECES);
    let mut last_piece = None;
    for (number, piece) in head.as_bytes().chunks(length).enumerate() {
        if number > 0 {
            thread::sleep(PIECE_GAP);
        }
        last_piece = None;
        if client.stream.write_all(piece).is_err() {
            break;
        }
        last_piece = Some(at());
    }
    let (ended, bytes) = reading.join().ok()?;
    // As if the closing had crossed a request that the sidecar has not read.
    let again = bytes.is_empty().then(|| Client::connect(listen)).map(|connected| {
        let Ok(mut client) = connected else { return Got::Closed };
        client.send(class, &id, PATIENCE, b"").map_or(Got::Closed, |()| client.receive(PATIENCE))
    });
    Some(Slow { id, first_piece, last_piece, ended, bytes, again })
}

/// The first bytes of the answer and when they came, or when the connection ended without any.
fn read_answer(mut stream: TcpStream) -> (Duration, Vec<u8>) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut buffer = [0; 1024];
    let bytes = stream.read(&mut buffer).map_or(Vec::new(), |n| buffer[..n].to_vec());
    (at(), bytes)
}

fn target(number: usize, begun: Arc<Mutex<Vec<String>>>) -> Target {
    let uid = format!("s-{number}");
    let name = uid.clone();
    let address = endpoint(move |request, connection| {
        let id = request.header("x-request-id").to_owned();
        record(&format!("{name}: {id} begins"));
        begun.lock().unwrap().push(id.clone());
        thread::sleep(Duration::from_millis(30));
        connection.write_all(served(&format!("{id} made by {name}")).as_bytes()).is_ok()
    });
    Target { uid, endpoint: address, zone: "tampere-hervanta".to_owned(), cell: 1, state: "up" }
}
