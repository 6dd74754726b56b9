//! A client reads a large answer slowly and steadily: does it get the whole answer?

use crate::harness::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The answer's length; the pages allow 32 MB.
const ANSWER_BYTES: usize = 32_000_000;
/// What a slow client reads in a second: the rate that the pages name for a slow body.
const SLOW_BYTES_PER_S: usize = 64_000;
/// The client reads this much at a time.
const READ_BYTES: usize = 8_000;
/// The case ends after this, as the whole answer would take 500 s.
const PLAY: Duration = Duration::from_secs(95);
/// The rest of an answer that is held back for 2 s is lost; this is well beyond that.
const SILENCE: Duration = Duration::from_secs(5);
/// Interval of the notes in the record.
const NOTE_EACH: Duration = Duration::from_secs(5);

/// An endpoint that answers with a large body as fast as it is taken.
fn serve_endpoint(record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || serve_connection(stream, &record));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, record: &Record) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let head = Head::read(&mut reader).ok()?;
        head.read_body(&mut reader, |_| {}).ok()?;
        if head.target().starts_with("/-/") {
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let id = head.header("x-request-id").to_owned();
        record.say(&format!("endpoint ran {id}, answers with {ANSWER_BYTES} bytes"));
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n").ok()?;
        let piece = [b'x'; 64 * 1024];
        let mut written = 0;
        while written < ANSWER_BYTES {
            let next = piece.len().min(ANSWER_BYTES - written);
            if let Err(error) = stream.write_all(&piece[..next]) {
                record.say(&format!(
                    "the sidecar ended the endpoint's connection at byte {written} of {id}: {error}"
                ));
                return None;
            }
            written += next;
        }
        record.say(&format!("endpoint wrote the whole answer to {id}"));
    }
}

pub fn play(record: &Record) -> Verdict {
    let endpoint = Listed { uid: "s-0".to_owned(), address: serve_endpoint(record.clone()) };
    let discovery = serve_discovery(vec![endpoint.clone()]);
    let Some(mut sidecar) = Sidecar::start(SMALL, &[endpoint], discovery, record) else {
        return Verdict::CouldNotRun;
    };
    let Ok(stream) = TcpStream::connect(sidecar.address) else { return Verdict::CouldNotRun };
    let _ = stream.set_read_timeout(Some(SILENCE));
    let mut reader = BufReader::with_capacity(READ_BYTES, stream);
    let request = "GET /esikatselu/view?user=1f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: c0-00001\r\n\
                   X-Tenant-Id: pohjoistila\r\nX-Timeout: 3000m\r\n\r\n";
    record.say("client sends c0-00001");
    if reader.get_mut().write_all(request.as_bytes()).is_err() {
        return Verdict::CouldNotRun;
    }
    let Ok(head) = Head::read(&mut reader) else { return Verdict::CouldNotRun };
    record.say(&format!("client got the head: {}", head.first_line));
    if status(&head) != 200 {
        return Verdict::CouldNotRun;
    }
    let began = Instant::now();
    let (mut read, mut next_note, mut longest_pause) = (0, NOTE_EACH, Duration::ZERO);
    let mut last_read = began;
    let mut buffer = [0; READ_BYTES];
    let end = loop {
        match reader.read(&mut buffer) {
            Ok(0) => break Some("was cut off: the connection was closed"),
            Ok(count) => read += count,
            Err(error) => {
                record.say(&format!("client reads: {error}"));
                break Some("was cut off: the connection broke or stood still");
            }
        }
        longest_pause = longest_pause.max(last_read.elapsed());
        last_read = Instant::now();
        if began.elapsed() >= next_note {
            record.say(&format!("client has read {read} bytes"));
            next_note += NOTE_EACH;
        }
        if read >= ANSWER_BYTES {
            break None;
        }
        if began.elapsed() >= PLAY {
            record.result("the play is over, and the client still reads");
            break None;
        }
        if trouble() {
            let due = Duration::from_secs_f64(read as f64 / SLOW_BYTES_PER_S as f64);
            thread::sleep(due.saturating_sub(began.elapsed()));
        }
    };
    if let Some(exit) = sidecar.ended() {
        record.result(&format!("the sidecar has ended: {exit}"));
    }
    record.result(&format!(
        "the answer {}: {read} of {ANSWER_BYTES} bytes after {:.1} s; the client's longest pause between two reads was {} ms",
        end.unwrap_or("was not cut off"),
        began.elapsed().as_secs_f64(),
        longest_pause.as_millis()
    ));
    if end.is_none() { Verdict::Held } else { Verdict::Broken }
}
