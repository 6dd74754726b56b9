//! Answers of no length: one that never ends is ended half a second after its client's time at the latest, where the client
//! can tell that it is not whole; one that is slow or large and ends comes whole. Guards against an answer that had begun being
//! waited for for seconds beyond its client's time.

#[path = "support/node.rs"]
mod support;
#[path = "support/transfers.rs"]
mod transfers;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::*;
use transfers::{endpoint, is_whole, large};

/// Up to half a second after its time an answer only earns nothing; later it is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// A body of up to so many bytes is timed to its last byte; of a larger one the first bytes are.
const SMALL_BYTES: usize = 64 * 1024;
/// What never ends stays below that.
const MAX_SPOILT_BYTES: usize = 60_000;
/// Exchanges of one play, and the time between the starts of two.
const EXCHANGES: usize = 48;
const START_INTERVAL: Duration = Duration::from_millis(40);
const ENDPOINTS: usize = 12;
/// An endpoint that is cut off leaves by then.
const MAX_PLAY: Duration = Duration::from_secs(20);
/// The body of each answer begins like this one.
const BODY_BYTES: usize = 600_000;

/// How an answer tells where it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Chunked,
    UntilClose,
    /// Its length is stated, and more than what comes.
    Counted,
}

/// How a client asks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Asks {
    Http11,
    Http11Close,
    Http10,
}

impl Asks {
    fn request(self, class: &str, id: &str, time: Duration) -> String {
        let text = request(class, id, &format!("{}m", time.as_millis()));
        match self {
            Asks::Http11 => text,
            Asks::Http11Close => text.replace("X-Timeout", "Connection: close\r\nX-Timeout"),
            Asks::Http10 => text.replacen("HTTP/1.1", "HTTP/1.0", 1),
        }
    }
}

/// One request and its answer.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    class: &'static str,
    asks: Asks,
    time: Duration,
    framing: Framing,
    /// Until the head comes, and with it the first bytes.
    begins_after: Duration,
    first_bytes: usize,
    /// What follows, piece by piece with this pause before each, until so many bytes have come in all.
    piece: usize,
    pause: Duration,
    bytes: usize,
    /// It ends then; otherwise nothing more comes, and no end.
    ends: bool,
}

struct Draws(Pcg32);

impl Draws {
    fn below(&mut self, bound: usize) -> usize {
        (self.0.next_u64() % bound as u64) as usize
    }

    fn between(&mut self, low: usize, high: usize) -> usize {
        low + self.below(high - low + 1)
    }

    fn millis(&mut self, low: usize, high: usize) -> Duration {
        Duration::from_millis(self.between(low, high) as u64)
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len())]
    }

    fn exchange(&mut self) -> Exchange {
        let time = self.one_of(&[1200, 2000, 3000]);
        let drawn = Exchange {
            class: self.one_of(&["quote", "book", "pay"]),
            asks: self.one_of(&[Asks::Http11, Asks::Http11, Asks::Http11Close, Asks::Http10]),
            time: Duration::from_millis(time as u64),
            framing: self.one_of(&[Framing::Chunked, Framing::Chunked, Framing::UntilClose]),
            begins_after: Duration::ZERO,
            first_bytes: 0,
            piece: 1,
            pause: Duration::ZERO,
            bytes: 0,
            ends: true,
        };
        match self.below(5) {
            0 => self.small_and_slow(drawn, time),
            1 => self.large(drawn, time),
            _ => self.endless(drawn, time),
        }
    }

    /// Whole before its time.
    fn small_and_slow(&mut self, drawn: Exchange, time: usize) -> Exchange {
        let (pieces, bytes) = (self.between(2, 8), self.between(100, MAX_SPOILT_BYTES));
        let begins_after = self.between(0, time / 4);
        let most = (time * 3 / 4 - begins_after) / pieces;
        Exchange {
            begins_after: Duration::from_millis(begins_after as u64),
            piece: bytes.div_ceil(pieces),
            pause: self.millis(most / 3, most),
            bytes,
            ..drawn
        }
    }

    /// At 80 to 200 kB a second, from 0.3 s before its time or earlier until seconds after it.
    fn large(&mut self, drawn: Exchange, time: usize) -> Exchange {
        let (rate, pause) = (self.between(80, 200), self.between(20, 150));
        Exchange {
            begins_after: self.millis(0, time - 300),
            first_bytes: 1,
            piece: rate * pause,
            pause: Duration::from_millis(pause as u64),
            bytes: self.between(400_000, BODY_BYTES),
            ..drawn
        }
    }

    /// Nothing more after the first bytes, or a little now and then.
    fn endless(&mut self, drawn: Exchange, time: usize) -> Exchange {
        let (first_bytes, pause) = (self.one_of(&[0, 1, 4_000, 48 * 1024]), self.between(50, 400));
        let bytes = self.one_of(&[first_bytes, MAX_SPOILT_BYTES]);
        let framings = [Framing::Chunked, Framing::Chunked, Framing::UntilClose, Framing::Counted];
        Exchange {
            framing: self.one_of(&framings),
            begins_after: self.millis(0, time - 100),
            first_bytes,
            piece: self.one_of(&[1, 10, pause * 10]),
            pause: Duration::from_millis(pause as u64),
            bytes,
            ends: false,
            ..drawn
        }
    }
}

/// What a client saw.
#[derive(Debug)]
struct Seen {
    took: Duration,
    raw: Vec<u8>,
    /// The connection was reset.
    reset: bool,
}

impl Seen {
    fn status(&self) -> u16 {
        let first_line = String::from_utf8_lossy(&self.raw[..self.raw.len().min(12)]).into_owned();
        first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn is_whole(&self, exchange: &Exchange) -> bool {
        self.status() == 200 && !self.reset && is_whole(&self.raw, &large(exchange.bytes))
    }

    /// An answer of no length whose connection just ends looks like a whole one.
    fn looks_whole(&self) -> bool {
        let text = String::from_utf8_lossy(&self.raw).to_lowercase();
        let has_end = text.contains("chunked") && text.ends_with("\r\n0\r\n\r\n");
        let has_no_length = !text.contains("chunked") && !text.contains("content-length");
        self.status() == 200 && !self.reset && (has_end || has_no_length)
    }
}

fn answer_as_drawn(exchange: &Exchange, mut to: TcpStream) -> std::io::Result<()> {
    thread::sleep(exchange.begins_after);
    let head = match exchange.framing {
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
        Framing::UntilClose => "Connection: close".to_owned(),
        Framing::Counted => format!("Content-Length: {SMALL_BYTES}"),
    };
    to.set_nodelay(true)?;
    write!(to, "HTTP/1.1 200 OK\r\n{head}\r\n\r\n")?;
    let (body, mut written) = (large(exchange.bytes), 0);
    let mut next = exchange.first_bytes;
    loop {
        let piece = &body[written..(written + next).min(body.len())];
        if exchange.framing == Framing::Chunked && !piece.is_empty() {
            to.write_all(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat())?;
        } else {
            to.write_all(piece)?;
        }
        written += piece.len();
        if written == body.len() {
            break;
        }
        thread::sleep(exchange.pause);
        next = exchange.piece;
    }
    if !exchange.ends {
        let _ = to.read(&mut [0]); // until the sidecar ends the connection
    } else if exchange.framing == Framing::Chunked {
        to.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

fn ask(sidecar: SocketAddr, exchange: &Exchange, id: &str) -> Seen {
    let text = exchange.asks.request(exchange.class, id, exchange.time);
    let mut stream = TcpStream::connect(sidecar).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let (sent, mut raw, mut piece) = (Instant::now(), Vec::new(), [0; 64 * 1024]);
    let reset = loop {
        match stream.read(&mut piece) {
            Ok(0) => break false,
            Ok(count) => raw.extend_from_slice(&piece[..count]),
            Err(_) => break true,
        }
        // The connection stays open behind a whole answer.
        if is_kept_answer(&raw) {
            break false;
        }
    };
    Seen { took: sent.elapsed(), raw, reset }
}

/// Whether this is a whole answer whose end its framing tells.
fn is_kept_answer(raw: &[u8]) -> bool {
    let text = String::from_utf8_lossy(raw).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
    (head.contains("chunked") && body.ends_with("\r\n0\r\n\r\n")) || length == Some(body.len())
}

/// Asks as drawn, again where that is refused: which exchange an answer belongs to goes by its id.
fn play(exchange: &Exchange, sidecar: SocketAddr, number: usize) -> Result<(), String> {
    for tried in 0..5 {
        let seen = ask(sidecar, exchange, &format!("e-{number}-{tried}"));
        let status = seen.status();
        if exchange.ends && status == 503 {
            continue;
        }
        let problem = if exchange.ends && !seen.is_whole(exchange) {
            "is not whole"
        } else if !exchange.ends && seen.took > exchange.time + LOST_AFTER {
            "was ended too late"
        } else if !exchange.ends && seen.looks_whole() {
            "looks whole"
        } else {
            return Ok(());
        };
        let (took, bytes, reset) = (seen.took, seen.raw.len(), seen.reset);
        return Err(format!(
            "{problem}: {status}, {bytes} bytes after {took:?}, reset {reset}: {exchange:?}"
        ));
    }
    Err(format!("refused each time: {exchange:?}"))
}

fn answers_of_no_length(seed: u64) {
    let mut draws = Draws(Pcg32::seed_from_u64(seed));
    let exchanges: Arc<Vec<_>> = Arc::new((0..EXCHANGES).map(|_| draws.exchange()).collect());
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|_| {
            let exchanges = exchanges.clone();
            endpoint(move |head, reader| {
                let number = head.split("e-").nth(1).and_then(|id| id.split('-').next()?.parse().ok());
                let number: usize = number.expect("the id of an exchange");
                let _ = answer_as_drawn(&exchanges[number], reader.into_inner()); // fails where it was cut off
            })
        })
        .collect();
    let shared = Shared::new();
    let (sidecar, door) = shared.start(&config_at(&endpoints));
    let (address, began) = (sidecar.address, Instant::now());
    let asking: Vec<_> = (0..EXCHANGES)
        .map(|number| {
            thread::sleep(START_INTERVAL);
            let exchanges = exchanges.clone();
            thread::spawn(move || play(&exchanges[number], address, number))
        })
        .collect();
    let ends: Vec<_> = asking.into_iter().map(|thread| thread.join().unwrap()).collect();
    let problems: Vec<_> = ends.into_iter().filter_map(Result::err).collect();
    assert!(problems.is_empty(), "{} of {EXCHANGES}: {problems:#?}", problems.len());
    wait_for("the end of all requests", || figure(door, "pending") == 0);
    assert!(began.elapsed() < MAX_PLAY, "{:?}", began.elapsed());
}

#[test]
fn an_answer_of_no_length_that_never_ends_is_ended_in_time_and_a_sound_one_comes_whole_seed_1() {
    answers_of_no_length(1);
}

#[test]
fn an_answer_of_no_length_that_never_ends_is_ended_in_time_and_a_sound_one_comes_whole_seed_2() {
    answers_of_no_length(2);
}

#[test]
fn an_answer_of_no_length_that_never_ends_is_ended_in_time_and_a_sound_one_comes_whole_seed_3() {
    answers_of_no_length(3);
}

/// The chunked answer of a slow endpoint below 32 kB a second had been taken for one that never ends.
#[test]
fn a_large_answer_that_comes_very_slowly_goes_on_for_as_long_as_its_endpoint_gives_it() {
    let exchange = Exchange {
        class: "quote",
        asks: Asks::Http11,
        time: Duration::from_secs(6),
        framing: Framing::Chunked,
        begins_after: Duration::ZERO,
        first_bytes: 1,
        piece: 1_600,
        pause: Duration::from_millis(100),
        bytes: 300_000,
        ends: true,
    };
    let peer = endpoint(move |_, reader| drop(answer_as_drawn(&exchange, reader.into_inner())));
    let sidecar = Sidecar::start(&config_at(&[peer]));
    assert_eq!(play(&exchange, sidecar.address, 0), Ok(()));
}

/// A client of HTTP/1.0 took what had come for the whole answer.
#[test]
fn a_client_can_tell_that_its_answer_is_not_whole_however_its_process_ends() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n";
    for signal in ["-TERM", "-KILL"] {
        let peer = Peer::new(move |_| Do::WriteAndWait(head.to_owned()));
        let mut sidecar = Sidecar::start(&config(&[&peer]));
        let mut clients = [Asks::Http11, Asks::Http10].map(|asks| {
            let mut client = sidecar.client();
            client.send(&asks.request("quote", &format!("{asks:?}"), Duration::from_secs(1)));
            (client, Instant::now())
        });
        for (client, _) in &mut clients {
            client.stream().read_exact(&mut [0; 12]).expect("the beginning of an answer");
        }
        sidecar.signal(signal);
        let looks_whole = clients.map(|(mut client, sent)| {
            let (mut raw, mut piece) = (b"HTTP/1.1 200".to_vec(), [0; 1024]);
            let reset = loop {
                match client.stream().read(&mut piece) {
                    Ok(0) => break false,
                    Ok(count) => raw.extend_from_slice(&piece[..count]),
                    Err(_) => break true,
                }
            };
            assert!(sent.elapsed() < Duration::from_secs(1) + LOST_AFTER, "{:?}", sent.elapsed());
            Seen { took: sent.elapsed(), raw, reset }.looks_whole()
        });
        assert_eq!(looks_whole, [false, false], "{signal}");
        assert_eq!(sidecar.ended().success(), signal == "-TERM");
    }
}

/// An answer that was cut was neither counted as what it was, nor did the choice of endpoints know of it.
#[test]
fn an_answer_that_never_ends_is_counted_once_and_its_endpoint_is_avoided() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n";
    let spoilt = Peer::new(move |_| Do::WriteAndWait(head.to_owned()));
    let sound = Peer::serving("ok");
    let shared = Shared::new();
    let (sidecar, door) = shared.start(&config(&[&spoilt, &sound]));
    let mut asked = 0;
    while spoilt.count() == 0 {
        asked += 1;
        let mut client = sidecar.client();
        client.send(&Asks::Http11Close.request("book", &format!("r{asked}"), Duration::from_secs(1)));
        let _ = client.stream().read_to_end(&mut Vec::new());
    }
    wait_for("its connection's end", || spoilt.closed() == 1);
    let metrics = String::from_utf8(call(door, "GET", "/v1/metrics?format=openmetrics").body).unwrap();
    for count in [
        "gullpulley_answers_ended_early_total{reason=\"endless\"} 1".to_owned(),
        format!("gullpulley_attempts_total {asked}"),
        "gullpulley_requests_total{class=\"book\",outcome=\"failed\"} 1".to_owned(),
    ] {
        assert!(metrics.lines().any(|line| line == count), "{count}\n{metrics}");
    }
    assert_eq!(figure(door, "pending"), 0);
    for number in 0..8 {
        assert_eq!(sidecar.ask("book", &format!("s{number}")).status(), 200);
    }
    assert_eq!((spoilt.count(), sound.count()), (1, asked + 7));
}
