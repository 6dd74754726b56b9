//! The process stays under its memory limit whatever a crowd of clients does, and goes on serving small requests beside it.

#[path = "support/node.rs"]
mod support;
#[path = "support/transfers.rs"]
mod transfers;

use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// What every client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crowd {
    /// Reads a large answer slowly.
    ReadsSlowly,
    /// Writes a large body slowly.
    WritesSlowly,
    /// Stops half way through a large body.
    StopsWriting,
    /// Sends a head of very many short fields, and stops before its end.
    LongHead,
    /// Sends a head of many short fields, field by field.
    SlowHead,
    /// Sends a large body in chunks of one byte.
    TinyChunks,
    /// All of these.
    Mixed,
}

/// How many clients a crowd has.
const CROWD: usize = 300;
/// How long it lasts.
const PLAY: Duration = Duration::from_secs(8);
/// The rate of slow clients, in bytes a second.
const SLOW_RATE: usize = 64_000;
/// Bytes that a slow client reads or writes at once.
const PIECE_BYTES: usize = 6_400;
const LARGE_ANSWER_BYTES: usize = 3_000_000;
const LARGE_BODY_BYTES: usize = 3_000_000;
/// The receive buffer of a slow reader.
const SMALL_RECEIVE_BUFFER: usize = 8 * 1024;
static LARGE_ANSWER: LazyLock<Vec<u8>> = LazyLock::new(|| transfers::large(LARGE_ANSWER_BYTES));

/// An endpoint with large answers to `quote`, and small ones to all else, each after 30 ms.
fn endpoint() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::Builder::new().stack_size(128 * 1024).spawn(move || serve(stream)).unwrap();
        }
    });
    address
}

fn serve(mut stream: TcpStream) -> Option<()> {
    let mut reader = std::io::BufReader::new(stream.try_clone().ok()?);
    loop {
        let message = read_message(&mut reader)?;
        thread::sleep(Duration::from_millis(30));
        if message.target().starts_with("/quote") {
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {LARGE_ANSWER_BYTES}\r\n\r\n").ok()?;
            stream.write_all(&LARGE_ANSWER).ok()?;
        } else {
            stream.write_all(answer("200 OK", "", "small").as_bytes()).ok()?;
        }
    }
}

/// A message whose body is chunked or counted, and is dropped.
fn read_message(reader: &mut std::io::BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::read(reader)?;
    if message.header("transfer-encoding") == "chunked" {
        transfers::read_chunks(reader)?;
    }
    message.body.clear();
    Some(message)
}

fn connect(sidecar: SocketAddr, receive_buffer: Option<usize>) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes).ok()?;
    }
    socket.connect(&sidecar.into()).ok()?;
    socket.set_read_timeout(Some(PATIENCE)).ok()?;
    socket.set_write_timeout(Some(Duration::from_secs(2))).ok()?;
    Some(socket.into())
}

/// One client of a crowd, once.
fn visit(crowd: Crowd, number: usize, sidecar: SocketAddr, id: &str, over: &AtomicBool) -> Option<()> {
    let pause = || thread::sleep(Duration::from_secs_f64(PIECE_BYTES as f64 / SLOW_RATE as f64));
    let large_head = |framing: &str| {
        request("book", id, "3000m")
            .replace("Content-Length: 4", framing)
            .trim_end_matches("body")
            .to_owned()
    };
    let length = format!("Content-Length: {LARGE_BODY_BYTES}");
    match crowd {
        Crowd::Mixed => {
            let kinds = [
                Crowd::ReadsSlowly,
                Crowd::WritesSlowly,
                Crowd::StopsWriting,
                Crowd::LongHead,
                Crowd::TinyChunks,
            ];
            return visit(kinds[number % kinds.len()], number, sidecar, id, over);
        }
        Crowd::ReadsSlowly => {
            let mut stream = connect(sidecar, Some(SMALL_RECEIVE_BUFFER))?;
            stream.write_all(request("quote", id, "3000m").as_bytes()).ok()?;
            let mut piece = [0; PIECE_BYTES];
            while !over.load(Ordering::SeqCst) && stream.read(&mut piece).ok()? > 0 {
                pause();
            }
        }
        Crowd::WritesSlowly => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(large_head(&length).as_bytes()).ok()?;
            for _ in 0..LARGE_BODY_BYTES / PIECE_BYTES {
                if over.load(Ordering::SeqCst) {
                    return None;
                }
                stream.write_all(&[b'x'; PIECE_BYTES]).ok()?;
                pause();
            }
        }
        Crowd::StopsWriting => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(large_head(&length).as_bytes()).ok()?;
            stream.write_all(&vec![b'x'; LARGE_BODY_BYTES / 2]).ok()?;
            let _ = stream.read(&mut [0; 64]);
        }
        Crowd::LongHead => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(request("book", id, "3000m").split("\r\n\r\n").next()?.as_bytes()).ok()?;
            for field in 0..6_000 {
                stream.write_all(format!("\r\na{field}:b").as_bytes()).ok()?;
            }
            let _ = stream.read(&mut [0; 64]);
        }
        Crowd::SlowHead => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(request("pay", id, "3000m").split("\r\n\r\n").next()?.as_bytes()).ok()?;
            for field in 0..90 {
                stream.write_all(format!("\r\na{field}:b").as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(10));
            }
            stream.write_all(b"\r\n\r\nbody").ok()?;
            Client::over(stream).receive()?;
        }
        Crowd::TinyChunks => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(large_head("Transfer-Encoding: chunked").as_bytes()).ok()?;
            let chunks = "1\r\nx\r\n".repeat(PIECE_BYTES / 6);
            while !over.load(Ordering::SeqCst) {
                stream.write_all(chunks.as_bytes()).ok()?;
            }
        }
    }
    Some(())
}

/// What came of a play.
#[derive(Debug)]
struct Outcome {
    memory_mb: u64,
    peak_kib: u64,
    small_served: usize,
    small_sent: usize,
}

fn play(crowd: Crowd, memory_mb: u64) -> Outcome {
    let endpoints: Vec<_> = (0..6).map(|_| endpoint()).collect();
    let mut config = config_at(&endpoints);
    config["limits"]["memory_mb"] = json!(memory_mb);
    let mut sidecar = Sidecar::start(&config);
    let (address, over) = (sidecar.address, Arc::new(AtomicBool::new(false)));
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for number in 0..CROWD {
        let over = over.clone();
        let client = move || {
            for visited in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                visit(crowd, number, address, &format!("c{number}-{visited}"), &over);
                thread::sleep(Duration::from_millis(200)); // a client that was refused does not come back at once
            }
        };
        clients.push(thread::Builder::new().stack_size(128 * 1024).spawn(client).unwrap());
    }
    for number in 0..4 {
        let (over, sent, served) = (over.clone(), sent.clone(), served.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_secs(2)); // by then the crowd has what it can get
            for asked in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                sent.fetch_add(1, Ordering::SeqCst);
                let status = connect(address, None).map(Client::over).and_then(|mut client| {
                    client.send(&request("pay", &format!("s{number}-{asked}"), "3000m"));
                    client.receive().map(|answer| answer.status())
                });
                served.fetch_add(usize::from(status == Some(200)), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    let (began, mut peak_kib) = (Instant::now(), 0);
    while began.elapsed() < PLAY {
        assert!(sidecar.child.try_wait().unwrap().is_none(), "it ended: {}", sidecar.log());
        peak_kib = peak_kib.max(sidecar.own_memory_kib());
        thread::sleep(Duration::from_millis(20));
    }
    over.store(true, Ordering::SeqCst);
    drop(sidecar);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let [small_served, small_sent] = [served, sent].map(|count| count.load(Ordering::SeqCst));
    Outcome { memory_mb, peak_kib, small_served, small_sent }
}

/// Hundreds of clients at once took the process over its memory limit.
#[test]
fn no_crowd_takes_the_process_over_its_memory_or_all_service_from_small_requests() {
    LazyLock::force(&LARGE_ANSWER);
    let plays = [
        (Crowd::ReadsSlowly, 32),
        (Crowd::ReadsSlowly, 48),
        (Crowd::ReadsSlowly, 64),
        (Crowd::WritesSlowly, 32),
        (Crowd::StopsWriting, 32),
        (Crowd::StopsWriting, 48),
        (Crowd::LongHead, 32),
        (Crowd::SlowHead, 48),
        (Crowd::TinyChunks, 32),
        (Crowd::Mixed, 32),
        (Crowd::Mixed, 64),
    ];
    let outcomes = plays.map(|(crowd, memory_mb)| (crowd, play(crowd, memory_mb)));
    let held = |outcome: &Outcome| {
        outcome.peak_kib < outcome.memory_mb * 1024 && outcome.small_served * 2 >= outcome.small_sent
    };
    let failed: Vec<_> = outcomes.iter().filter(|(_, outcome)| !held(outcome)).collect();
    println!("{outcomes:#?}");
    assert!(failed.is_empty(), "{failed:#?}");
}
