//! Crowds of clients, and endpoints that answer all that they ask.
#![allow(dead_code)]

use crate::support::*;
use crate::transfers;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What every client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Crowd {
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
    /// Sends ordinary requests one after another, with bodies and answers of just under 64 KiB.
    Ordinary,
    /// Sends a large part of a head, and stops.
    StopsAmidHead,
    /// The first kinds in turn.
    Mixed,
}

/// The rate of slow clients, in bytes a second.
const SLOW_RATE: usize = 64_000;
/// Bytes that a slow client reads or writes at once.
const PIECE_BYTES: usize = 6_400;
pub const LARGE_ANSWER_BYTES: usize = 3_000_000;
const LARGE_BODY_BYTES: usize = 3_000_000;
/// The receive buffer of a slow reader.
const SMALL_RECEIVE_BUFFER: usize = 8 * 1024;
/// The largest body that is not a large one, less a little.
const ORDINARY_BYTES: usize = 63 * 1024;
/// A part of a head that is just below the limit on a whole one.
const HALF_HEAD_BYTES: usize = 31_000;
pub static LARGE_ANSWER: LazyLock<Vec<u8>> = LazyLock::new(|| transfers::large(LARGE_ANSWER_BYTES));

/// A play: whether it is over, and what has come of it.
#[derive(Default)]
pub struct Play {
    pub over: AtomicBool,
    /// Ordinary requests that were served.
    pub ordinary_served: AtomicUsize,
    /// Large answers that began.
    pub large_begun: AtomicUsize,
}

impl Play {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Clients of a crowd, each of which comes back after a while when it was refused.
    pub fn start_crowd(
        self: &Arc<Play>,
        crowd: Crowd,
        clients: usize,
        sidecar: SocketAddr,
    ) -> Vec<JoinHandle<()>> {
        let client = |number: usize| {
            let play = self.clone();
            move || {
                for visited in 0.. {
                    if play.is_over() {
                        return;
                    }
                    visit(crowd, number, sidecar, &format!("{crowd:?}{number}-{visited}"), &play);
                    thread::sleep(Duration::from_millis(200));
                }
            }
        };
        let spawn = |number| thread::Builder::new().stack_size(128 * 1024).spawn(client(number)).unwrap();
        (0..clients).map(spawn).collect()
    }
}

/// An endpoint with large answers to `quote`, and small ones to all else, each after 30 ms.
pub fn endpoint() -> SocketAddr {
    endpoint_at((Ipv4Addr::LOCALHOST, 0).into())
}

/// The same at an address.
pub fn endpoint_at(address: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind(address).unwrap();
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
        } else if message.header("content-length") == ORDINARY_BYTES.to_string() {
            write_in_pieces(&mut stream)?;
        } else {
            stream.write_all(answer("200 OK", "", "small").as_bytes()).ok()?;
        }
    }
}

/// Writes an ordinary answer in over a second.
fn write_in_pieces(stream: &mut TcpStream) -> Option<()> {
    const PIECES: usize = 8;
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {ORDINARY_BYTES}\r\n\r\n").ok()?;
    for _ in 0..PIECES {
        thread::sleep(Duration::from_millis(150));
        stream.write_all(&[b'a'; ORDINARY_BYTES / PIECES]).ok()?;
    }
    Some(())
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

pub fn connect(sidecar: SocketAddr, receive_buffer: Option<usize>) -> Option<TcpStream> {
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
fn visit(crowd: Crowd, number: usize, sidecar: SocketAddr, id: &str, play: &Play) -> Option<()> {
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
            return visit(kinds[number % kinds.len()], number, sidecar, id, play);
        }
        Crowd::ReadsSlowly => {
            let mut stream = connect(sidecar, Some(SMALL_RECEIVE_BUFFER))?;
            stream.write_all(request("quote", id, "3000m").as_bytes()).ok()?;
            let mut piece = [0; PIECE_BYTES];
            stream.read_exact(&mut piece[..12]).ok()?;
            play.large_begun.fetch_add(usize::from(piece.starts_with(b"HTTP/1.1 200")), Ordering::SeqCst);
            while !play.is_over() && stream.read(&mut piece).ok()? > 0 {
                pause();
            }
        }
        Crowd::WritesSlowly => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(large_head(&length).as_bytes()).ok()?;
            for _ in 0..LARGE_BODY_BYTES / PIECE_BYTES {
                if play.is_over() {
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
        Crowd::Ordinary => {
            let mut client = Client::over(connect(sidecar, None)?);
            let text = request("pay", id, "3000m")
                .replace("Content-Length: 4", &format!("Content-Length: {ORDINARY_BYTES}"));
            for number in 0.. {
                if play.is_over() {
                    return None;
                }
                let own_id = text.replace(id, &format!("{id}-{number}"));
                client.send(
                    &own_id.replace("\r\n\r\nbody", &format!("\r\n\r\n{}", "b".repeat(ORDINARY_BYTES))),
                );
                match client.receive()?.status() {
                    200 => drop(play.ordinary_served.fetch_add(1, Ordering::SeqCst)),
                    _ => thread::sleep(Duration::from_millis(500)),
                }
            }
        }
        Crowd::StopsAmidHead => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(request("book", id, "3000m").split("\r\n\r\n").next()?.as_bytes()).ok()?;
            stream.write_all(format!("\r\nX-Note: {}", "n".repeat(HALF_HEAD_BYTES)).as_bytes()).ok()?;
            let _ = stream.read(&mut [0; 64]);
        }
        Crowd::TinyChunks => {
            let mut stream = connect(sidecar, None)?;
            stream.write_all(large_head("Transfer-Encoding: chunked").as_bytes()).ok()?;
            let chunks = "1\r\nx\r\n".repeat(PIECE_BYTES / 6);
            while !play.is_over() {
                stream.write_all(chunks.as_bytes()).ok()?;
            }
        }
    }
    Some(())
}
