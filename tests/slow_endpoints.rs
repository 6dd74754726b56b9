//! Endpoints that read a large body slowly, beside such that have stopped reading it. What an endpoint reads shows
//! only when its system tells of it, in steps that grow with its receive buffer. And endpoints that write slowly.

#[path = "support/node.rs"]
mod support;
#[path = "support/transfers.rs"]
mod transfers;

use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::LazyLock;
use std::thread;
use std::time::{Duration, Instant};
use support::*;
use transfers::*;

/// More than all buffers between a client and an endpoint hold.
const BODY_BYTES: usize = 24 << 20;
/// Made once, as that takes a second in a debug build.
static BODY: LazyLock<Vec<u8>> = LazyLock::new(|| large(BODY_BYTES));
/// For so long an endpoint reads slowly, several times as long as one that has stopped is waited for.
const SLOW_TIME: Duration = Duration::from_secs(25);
/// An endpoint with a small receive buffer that takes nothing for this long is given up.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(5);
/// A client whose body can't have been written yet may wait for less than its endpoint takes: its time does not run.
const SHORT_PATIENCE: Duration = Duration::from_secs(20);
/// One whose last byte has been written, or may have been for all that can be seen, waits for longer.
const LONG_PATIENCE: Duration = Duration::from_secs(35);
/// No end is seen later than this.
const SLACK: Duration = Duration::from_secs(2);

/// An endpoint that reads slowly.
#[derive(Clone, Copy, Debug)]
struct Reader {
    bytes_per_second: usize,
    /// So much is read at once; the pause before the next follows from the rate.
    piece: usize,
    /// So much is read as fast as it comes at first.
    fast_bytes: usize,
    /// Its receive buffer; the system's own choice if none.
    receive_buffer: Option<usize>,
    /// The client sends chunks.
    chunked: bool,
    /// The client sends so much a second for a while; as fast as it is taken if none.
    sent_per_second: Option<usize>,
    /// How long the client waits after its last byte.
    patience: Duration,
}

const READER: Reader = Reader {
    bytes_per_second: 64_000,
    piece: 8_000,
    fast_bytes: 0,
    receive_buffer: None,
    chunked: false,
    sent_per_second: None,
    patience: SHORT_PATIENCE,
};

/// Reads a body slowly for a while and then all the rest, and answers 200 if it came whole.
fn read_slowly(reader: Reader, mut from: BufReader<TcpStream>) -> std::io::Result<()> {
    let mut raw = vec![0; reader.fast_bytes];
    from.read_exact(&mut raw)?;
    let (mut piece, began) = (vec![0; reader.piece], Instant::now());
    while began.elapsed() < SLOW_TIME {
        from.read_exact(&mut piece)?;
        raw.extend_from_slice(&piece);
        let due = (raw.len() - reader.fast_bytes) as f64 / reader.bytes_per_second as f64;
        thread::sleep(Duration::from_secs_f64(due).saturating_sub(began.elapsed()).min(SLOW_TIME));
    }
    let ended =
        |raw: &[u8]| if reader.chunked { raw.ends_with(b"0\r\n\r\n") } else { raw.len() == BODY_BYTES };
    while !ended(&raw) {
        let bytes = from.fill_buf()?.to_vec();
        if bytes.is_empty() {
            return Ok(());
        }
        from.consume(bytes.len());
        raw.extend_from_slice(&bytes);
    }
    let body = if reader.chunked { read_chunks(&mut &raw[..]) } else { Some(raw) };
    let status = if body.as_ref() == Some(&*BODY) { "200 OK" } else { "500 not whole" };
    from.into_inner().write_all(answer(status, "", "read").as_bytes())
}

/// Sends a large body; the status of the answer, and how long after the beginning it came.
fn send_body(sidecar: &Sidecar, reader: Reader) -> (u16, Duration) {
    let (Reader { chunked, sent_per_second, patience, .. }, body) = (reader, &*BODY);
    let mut stream = TcpStream::connect(sidecar.address).unwrap();
    stream.set_read_timeout(Some(SLOW_TIME + PATIENCE)).unwrap();
    let length = format!("Content-Length: {BODY_BYTES}");
    let framing = if chunked { "Transfer-Encoding: chunked" } else { &length };
    let timeout = format!("{}m", patience.as_millis());
    let head = request("book", "r1", &timeout).replace("Content-Length: 4", framing);
    stream.write_all(head.trim_end_matches("body").as_bytes()).unwrap();
    let mut to = stream.try_clone().unwrap();
    let began = Instant::now();
    thread::spawn(move || {
        for piece in body.chunks(8_000) {
            if let Some(rate) = sent_per_second.filter(|_| began.elapsed() < SLOW_TIME) {
                thread::sleep(Duration::from_secs_f64(piece.len() as f64 / rate as f64));
            }
            if chunked {
                write!(to, "{:x}\r\n", piece.len())?;
            }
            to.write_all(piece)?;
            if chunked {
                to.write_all(b"\r\n")?;
            }
        }
        if chunked { to.write_all(b"0\r\n\r\n") } else { Ok(()) }
    });
    let answer = Message::read(&mut BufReader::new(stream));
    (answer.map_or(0, |answer| answer.status()), began.elapsed())
}

#[test]
fn an_endpoint_that_reads_a_large_body_slowly_gets_all_of_it() {
    let readers = [
        READER,
        Reader { chunked: true, patience: LONG_PATIENCE, ..READER },
        Reader { bytes_per_second: 32_000, piece: 4_000, ..READER },
        Reader { bytes_per_second: 100_000, piece: 100, ..READER },
        Reader { sent_per_second: Some(64_000), chunked: true, ..READER },
        Reader { piece: 128_000, ..READER },
        Reader { piece: 192_000, ..READER },
        Reader { fast_bytes: 8 << 20, patience: LONG_PATIENCE, ..READER },
        Reader { receive_buffer: Some(2_048), ..READER },
        Reader { receive_buffer: Some(1 << 20), chunked: true, patience: LONG_PATIENCE, ..READER },
        Reader { receive_buffer: Some(4 << 20), patience: LONG_PATIENCE, ..READER },
    ];
    let sending = readers.map(|reader| {
        let sending = thread::spawn(move || {
            let at = endpoint_at(listener(reader.receive_buffer), move |_, from| {
                let _ = read_slowly(reader, from); // fails where the sidecar gave up
            });
            let mut config = config_at(&[at]);
            config["settings"]["classes"][1]["deadlineMs"] = json!(LONG_PATIENCE.as_millis() as f64);
            send_body(&Sidecar::start(&config), reader)
        });
        (reader, sending)
    });
    let ends = sending.map(|(reader, thread)| (reader, thread.join().unwrap()));
    let given_up: Vec<_> = ends.iter().filter(|(_, (status, ..))| *status != 200).collect();
    assert!(given_up.is_empty(), "{given_up:#?}");
}

#[test]
fn an_endpoint_that_has_stopped_reading_a_large_body_is_given_up_in_its_time() {
    for read_first in [0, 50_000] {
        let at = endpoint(move |_, mut from| {
            let _ = from.read_exact(&mut vec![0; read_first]);
            thread::sleep(PATIENCE);
        });
        let sidecar = Sidecar::start(&config_at(&[at]));
        let (status, took) = send_body(&sidecar, READER);
        assert_eq!(status, 503, "its last byte was never written");
        assert!(
            took + Duration::from_secs(1) > GIVEN_UP_AFTER && took < GIVEN_UP_AFTER + SLACK,
            "{took:?}"
        );
    }
}

/// How an endpoint writes for a while: so many bytes at once, and then a pause.
const WRITERS: [(usize, Duration, bool); 6] = [
    (8_000, Duration::from_millis(125), false),
    (8_000, Duration::from_millis(125), true),
    (100, Duration::from_millis(1), true),
    (2_000, Duration::from_millis(125), false),
    (128_000, Duration::from_secs(2), true),
    (320_000, Duration::from_secs(5), false),
];

/// Writes a large answer slowly for a while, and then all the rest.
fn write_slowly(
    mut to: TcpStream,
    (piece, pause, chunked): (usize, Duration, bool),
) -> std::io::Result<()> {
    let (body, began) = (&*BODY, Instant::now());
    let framing =
        if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {BODY_BYTES}") };
    write!(to, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n")?;
    let mut written = 0;
    while written < BODY_BYTES {
        let slow = began.elapsed() < SLOW_TIME;
        let next = &body[written..BODY_BYTES.min(written + if slow { piece } else { BODY_BYTES })];
        if chunked {
            write!(to, "{:x}\r\n", next.len())?;
        }
        to.write_all(next)?;
        if chunked {
            to.write_all(b"\r\n")?;
        }
        written += next.len();
        thread::sleep(if slow { pause } else { Duration::ZERO });
    }
    if chunked { to.write_all(b"0\r\n\r\n") } else { Ok(()) }
}

/// Also once the time is up that its client had for the first bytes of it.
#[test]
fn an_endpoint_that_writes_a_large_answer_slowly_is_heard_to_its_end() {
    LazyLock::force(&BODY);
    let reading = WRITERS.map(|writer| {
        thread::spawn(move || {
            let at = endpoint(move |_, from| {
                let _ = write_slowly(from.into_inner(), writer); // fails where the sidecar gave up
            });
            let sidecar = Sidecar::start(&config_at(&[at]));
            let mut stream = TcpStream::connect(sidecar.address).unwrap();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let ask =
                request("quote", "r1", "1000m").replace("X-Timeout", "Connection: close\r\nX-Timeout");
            stream.write_all(ask.as_bytes()).unwrap();
            let mut raw = Vec::new();
            let _ = stream.read_to_end(&mut raw); // what came until an error counts
            (writer, raw.len(), is_whole(&raw, &BODY))
        })
    });
    let ends = reading.map(|thread| thread.join().unwrap());
    assert!(ends.iter().all(|(.., whole)| *whole), "{ends:#?}");
}
