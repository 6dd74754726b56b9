//! Endpoints and clients of bodies and answers that are too large to be held.
#![allow(dead_code)]

use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// An endpoint that has stopped reading keeps its connection for so long.
const STOPPED_FOR: Duration = Duration::from_secs(30);

/// What an endpoint does with a body.
#[derive(Clone, Copy, Debug)]
pub enum Reading {
    /// Reads so many bytes a second, and answers after the last one.
    Slow(usize),
    /// Reads so many bytes, and then none.
    Stops(usize),
}

/// A large body, as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct LargeBody {
    pub length: usize,
    pub chunked: bool,
    /// Bytes that the client writes at once.
    pub piece: usize,
    /// Bytes that it writes in a second; as fast as they are taken if none.
    pub sent_per_second: Option<usize>,
}

impl LargeBody {
    /// The header that tells its end.
    pub fn framing(&self) -> String {
        match self.chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", self.length),
        }
    }

    /// Writes it, as the first part of these bytes; when its last byte was written.
    pub fn write(&self, bytes: &[u8], mut to: TcpStream) -> std::io::Result<Instant> {
        let (began, mut written) = (Instant::now(), 0);
        for piece in bytes[..self.length].chunks(self.piece) {
            if let Some(rate) = self.sent_per_second {
                let due = Duration::from_secs_f64(written as f64 / rate as f64);
                thread::sleep(due.saturating_sub(began.elapsed()));
            }
            if self.chunked {
                to.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
            }
            to.write_all(piece)?;
            if self.chunked {
                to.write_all(b"\r\n")?;
            }
            written += piece.len();
        }
        if self.chunked {
            to.write_all(b"0\r\n\r\n")?;
        }
        Ok(Instant::now())
    }

    /// Reads it as an endpoint, at most so many bytes at once, and then gives this answer.
    pub fn read(
        &self,
        reading: Reading,
        at_once: usize,
        mut from: BufReader<TcpStream>,
        answer: &str,
    ) -> std::io::Result<()> {
        let (began, mut read, mut tail) = (Instant::now(), 0, Vec::new());
        loop {
            let piece = from.fill_buf()?;
            let count = piece.len().min(at_once);
            if count == 0 {
                return Ok(());
            }
            tail.extend_from_slice(&piece[..count]);
            tail.drain(..tail.len().saturating_sub(5));
            from.consume(count);
            read += count;
            match reading {
                Reading::Stops(at) if read >= at => {
                    thread::sleep(STOPPED_FOR);
                    return Ok(());
                }
                Reading::Stops(_) => {}
                Reading::Slow(rate) => {
                    let due = Duration::from_secs_f64(read as f64 / rate as f64);
                    thread::sleep(due.saturating_sub(began.elapsed()));
                }
            }
            if if self.chunked { tail == b"0\r\n\r\n" } else { read == self.length } {
                return from.into_inner().write_all(answer.as_bytes());
            }
        }
    }
}

/// Bytes that tell where they belong.
pub fn large(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// An endpoint that does this with each connection, given what follows the head of its first request.
pub fn endpoint(serve: impl Fn(&str, BufReader<TcpStream>) + Send + Sync + 'static) -> SocketAddr {
    endpoint_at(TcpListener::bind("127.0.0.1:0").unwrap(), serve)
}

/// So many endpoints that do this with each connection, given the number that `numbered_id` put into its request's id.
pub fn endpoints_by_number(
    count: usize,
    serve: impl Fn(usize, BufReader<TcpStream>) + Send + Sync + 'static,
) -> Vec<SocketAddr> {
    let serve = Arc::new(serve);
    let one = |_| {
        let serve = serve.clone();
        endpoint(move |head, reader| {
            let number = head.split("e-").nth(1).and_then(|id| id.split('-').next()?.parse().ok());
            serve(number.expect("the id of a request"), reader);
        })
    };
    (0..count).map(one).collect()
}

/// An id with a number, the same for each try.
pub fn numbered_id(number: usize, tried: usize) -> String {
    format!("e-{number}-{tried}")
}

/// Asks so many times, each in a thread of its own that starts this long after the one before; what came of each.
pub fn ask_one_after_another<T: Send + 'static>(
    count: usize,
    interval: Duration,
    ask: impl Fn(usize) -> T + Send + Sync + 'static,
) -> Vec<T> {
    let ask = Arc::new(ask);
    let start = |number| {
        thread::sleep(interval);
        let ask = ask.clone();
        thread::spawn(move || ask(number))
    };
    let asking: Vec<_> = (0..count).map(start).collect();
    asking.into_iter().map(|thread| thread.join().unwrap()).collect()
}

/// The same with a listener that has its options already.
pub fn endpoint_at(
    listener: TcpListener,
    serve: impl Fn(&str, BufReader<TcpStream>) + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let mut head = String::new();
                while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).is_ok_and(|n| n > 0) {}
                if head.ends_with("\r\n\r\n") {
                    serve(&head, reader);
                }
            });
        }
    });
    address
}

/// A listener whose connections have this receive buffer; the system's own choice if none.
pub fn listener(receive_buffer: Option<usize>) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes).unwrap();
    }
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(16).unwrap();
    TcpListener::from(socket)
}

/// Reads a chunked body to its end.
pub fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut all = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut piece = vec![0; size + 2];
        reader.read_exact(&mut piece).ok()?;
        if size == 0 {
            return Some(all);
        }
        all.extend_from_slice(&piece[..size]);
    }
}

/// Whether these bytes are the head of a message and this whole body behind it.
pub fn is_whole(raw: &[u8], body: &[u8]) -> bool {
    let Some(end) = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { return false };
    let (head, mut rest) = raw.split_at(end + 4);
    let chunked = String::from_utf8_lossy(head).to_lowercase().contains("chunked");
    if chunked { read_chunks(&mut rest).is_some_and(|chunks| chunks == body) } else { rest == body }
}
