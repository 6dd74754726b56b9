//! Many large bodies at once, more than may be read ahead, so that the process does not read some of them for a while.
//! Guards against answers that came seconds after the client's time: while nobody read a body, its client was taken to be
//! still sending it.

#[path = "support/node.rs"]
mod support;
#[path = "support/transfers.rs"]
mod transfers;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;
use transfers::{
    LargeBody, Reading, ask_one_after_another, endpoint, endpoints_by_number, large, numbered_id,
};

/// Up to half a second after its time an answer only earns nothing; later it is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
const ENDPOINTS: usize = 6;
const MEMORY_MB: usize = 48;
const START_INTERVAL: Duration = Duration::from_millis(50);
/// Each body is a part of these bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Bytes that an endpoint reads at once.
const READ_AT_ONCE: usize = 2_000;
/// Of a body as large as this a client has written the last byte before much of it is read.
const MAX_TAKEN_AT_ONCE: usize = 1_800_000;
/// The slowest client.
const SLOW_CLIENT_RATE: usize = 64_000;

/// A request with a large body.
#[derive(Clone, Copy, Debug)]
struct Shape {
    body: LargeBody,
    time: Duration,
    reading: Reading,
}

/// What a client saw.
#[derive(Debug)]
struct Outcome {
    number: usize,
    /// Zero if there was none.
    status: u16,
    /// Counted from its last byte; zero if the answer came before that was written.
    answered_after: Duration,
}

struct Draws(Pcg32);

impl Draws {
    fn between(&mut self, low: usize, high: usize) -> usize {
        low + (self.0.next_u64() % (high - low + 1) as u64) as usize
    }

    /// Sent at once to an endpoint that stops reading it; mostly less than the buffers on the way hold.
    fn stopped(&mut self) -> Shape {
        let length = match self.between(0, 19) {
            0 => self.between(4 << 20, MAX_BODY_BYTES),
            1..=4 => self.between(600_000, 1_800_000),
            _ => self.between(300_000, 600_000),
        };
        let body = LargeBody {
            length,
            chunked: self.between(0, 1) == 0,
            piece: [4_000, 16_000, 64_000, 300_000, 2_000_000][self.between(0, 4)],
            sent_per_second: None,
        };
        Shape {
            body,
            time: Duration::from_millis([1200, 2000, 2500][self.between(0, 2)]),
            reading: Reading::Stops(self.between(8_000, 18_000)),
        }
    }

    /// Sent at once to an endpoint that reads it slowly, mostly for longer than its client waits. The client's system takes
    /// all of it.
    fn read_slowly(&mut self) -> Shape {
        let drawn = self.stopped();
        let body = LargeBody { length: drawn.body.length.min(MAX_TAKEN_AT_ONCE), ..drawn.body };
        Shape { body, reading: Reading::Slow(self.between(30_000, 600_000)), ..drawn }
    }

    /// Sent for longer than its own time to an endpoint that reads it a little more slowly.
    fn sent_slowly(&mut self) -> Shape {
        let body = LargeBody {
            length: self.between(200_000, 400_000),
            chunked: self.between(0, 1) == 0,
            piece: [2_000, 8_000, 16_000][self.between(0, 2)],
            sent_per_second: Some(SLOW_CLIENT_RATE),
        };
        Shape {
            body,
            time: Duration::from_millis(2500),
            reading: Reading::Slow(self.between(60_000, 100_000)),
        }
    }
}

fn ask(shape: Shape, body: Arc<Vec<u8>>, sidecar: SocketAddr, number: usize) -> Outcome {
    let mut stream = TcpStream::connect(sidecar).unwrap();
    let time = format!("{}m", shape.time.as_millis());
    let head = request("book", &numbered_id(number, 0), &time);
    let head = head.replace("Content-Length: 4", &shape.body.framing());
    stream.write_all(head.trim_end_matches("body").as_bytes()).unwrap();
    let to = stream.try_clone().unwrap();
    let writing = thread::spawn(move || shape.body.write(&body, to).ok());
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let answer = Message::read(&mut BufReader::new(&stream));
    let answered = Instant::now();
    let _ = stream.shutdown(std::net::Shutdown::Both); // ends a write that nobody takes
    let sent = writing.join().unwrap();
    Outcome {
        number,
        status: answer.map_or(0, |answer| answer.status()),
        answered_after: sent.map_or(Duration::ZERO, |sent| answered.saturating_duration_since(sent)),
    }
}

/// Plays these one after another; what became of each, and what the log says of them.
fn play(shapes: Vec<Shape>) -> (Vec<(Shape, Outcome)>, String) {
    let (shapes, body) = (Arc::new(shapes), large(MAX_BODY_BYTES));
    let read = shapes.clone();
    let endpoints = endpoints_by_number(ENDPOINTS, move |number, reader| {
        let Shape { body, reading, .. } = read[number];
        let text = answer("200 OK", "", "read");
        let _ = body.read(reading, READ_AT_ONCE, reader, &text); // fails where the sidecar gives up
    });
    let mut config = config_at(&endpoints);
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let sidecar = Sidecar::start(&config);
    let address = sidecar.address;
    let (count, asked, body) = (shapes.len(), shapes.clone(), Arc::new(body));
    let outcomes = ask_one_after_another(count, START_INTERVAL, move |number| {
        ask(asked[number], body.clone(), address, number)
    });
    let ends = shapes.iter().copied().zip(outcomes).collect();
    (ends, sidecar.log())
}

/// Fails if there are such outcomes, with the lines of the log about them.
fn assert_none(what: &str, of: usize, outcomes: &[&(Shape, Outcome)], log: &str) {
    let report = outcomes.iter().map(|(shape, outcome)| {
        let id = format!("\"{}\"", numbered_id(outcome.number, 0));
        let lines = log.lines().filter(|line| line.contains(&id));
        format!("{shape:?}: {outcome:?}\n{}", lines.collect::<Vec<_>>().join("\n"))
    });
    let report: Vec<_> = report.collect();
    assert!(report.is_empty(), "{what}: {} of {of}\n{}", report.len(), report.join("\n"));
}

fn none_late(shapes: Vec<Shape>) {
    let (ends, log) = play(shapes);
    let is_late = |(shape, outcome): &&(Shape, Outcome)| {
        outcome.status == 0 || outcome.answered_after > shape.time + LOST_AFTER
    };
    assert_none("late", ends.len(), &ends.iter().filter(is_late).collect::<Vec<_>>(), &log);
}

fn stopped_endpoints(seed: u64) {
    let mut draws = Draws(Pcg32::seed_from_u64(seed));
    none_late((0..120).map(|_| draws.stopped()).collect());
}

/// The same while endpoints go on reading a little, so that reading ahead pauses and goes on again and again.
#[test]
fn no_answer_to_many_large_bodies_whose_endpoints_read_slowly_comes_late() {
    let mut draws = Draws(Pcg32::seed_from_u64(4));
    none_late((0..120).map(|n| if n % 4 == 0 { draws.stopped() } else { draws.read_slowly() }).collect());
}

#[test]
fn no_answer_to_many_large_bodies_whose_endpoints_stop_reading_comes_late_seed_1() {
    stopped_endpoints(1);
}

#[test]
fn no_answer_to_many_large_bodies_whose_endpoints_stop_reading_comes_late_seed_2() {
    stopped_endpoints(2);
}

/// A client that sends more slowly than its time allows is given that, also where others have used up the memory.
#[test]
fn clients_that_send_large_bodies_slowly_are_served_beside_endpoints_that_stop_reading() {
    let mut draws = Draws(Pcg32::seed_from_u64(3));
    // Each stopped one is out for up to its time: some ten of them at once leave connections for the others.
    let shapes = (0..80).map(|n| if n % 2 == 0 { draws.sent_slowly() } else { draws.stopped() });
    let (ends, log) = play(shapes.collect());
    let slow = ends.iter().filter(|(shape, _)| shape.body.sent_per_second.is_some());
    let failed = slow.filter(|(_, outcome)| outcome.status != 200);
    assert_none("not served", ends.len(), &failed.collect::<Vec<_>>(), &log);
}

/// A body that was not read for lack of memory was read on only once its own endpoint took some of it.
#[test]
fn a_large_body_is_read_on_once_others_have_given_their_memory_back() {
    let body = LargeBody { length: 600_000, chunked: false, piece: 600_000, sent_per_second: None };
    let stopped = Shape { body, time: Duration::from_millis(1200), reading: Reading::Stops(8_000) };
    let others = 12;
    let mut shapes = vec![stopped; others];
    shapes.push(Shape { time: Duration::from_millis(3600), ..stopped });
    let (ends, log) = play(shapes);
    let last = format!("\"{}\"", numbered_id(others, 0));
    let line = log.lines().find(|line| line.contains(&last)).expect("the end of the attempt");
    assert!(line.contains("received=true"), "{line}\n{:?}", ends[others]);
}

/// A client that leaves is seen to leave also while nobody reads its body.
#[test]
fn a_client_is_seen_to_leave_while_its_large_body_is_not_read() {
    const LENGTH: usize = 3_000_000;
    let left = Arc::new(AtomicUsize::new(0));
    let counted = left.clone();
    let stopped = endpoint(move |_, mut reader| {
        thread::sleep(Duration::from_millis(1000)); // reads nothing until its client has left
        if std::io::copy(&mut reader, &mut std::io::sink()).is_ok_and(|read| read < LENGTH as u64) {
            counted.fetch_add(1, Ordering::SeqCst);
        }
    });
    let mut config = config_at(&[stopped]);
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let shared = Shared::new();
    let (sidecar, door) = shared.start(&config);
    let body = large(LENGTH);
    let clients: Vec<_> = (0..12)
        .map(|number| {
            let mut stream = TcpStream::connect(sidecar.address).unwrap();
            let text = request("book", &format!("r{number}"), "20000m");
            let text = text.replace("Content-Length: 4", &format!("Content-Length: {LENGTH}"));
            stream.write_all(text.trim_end_matches("body").as_bytes()).unwrap();
            stream.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
            let _ = stream.write_all(&body); // as much as is taken
            stream
        })
        .collect();
    wait_for("all requests", || figure(door, "pending") == 12);
    for stream in clients {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    let gone = Instant::now();
    wait_for("the end of all requests", || figure(door, "pending") == 0);
    assert!(gone.elapsed() < Duration::from_millis(500), "{:?}", gone.elapsed());
    wait_for("the end of all attempts", || left.load(Ordering::SeqCst) == 12);
}
