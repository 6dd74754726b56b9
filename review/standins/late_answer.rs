//! An endpoint's second answer comes some milliseconds late: whose answer does the next client get?

use crate::harness::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PLAY: Duration = Duration::from_secs(10);
const CLIENTS: usize = 4;
const ENDPOINTS: usize = 2;
/// What an endpoint needs for a request.
const SERVICE: Duration = Duration::from_millis(30);
/// At each endpoint just this one of its answers is followed by a second one ...
const SPOILT_ANSWER: u64 = 50;
/// ... this much later.
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(5);

/// An endpoint that answers each request with a body that names the request.
fn serve_endpoint(uid: String, spoils: bool, spoilt: Arc<AtomicU64>, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answers = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (uid, answers, spoilt, record) =
                (uid.clone(), answers.clone(), spoilt.clone(), record.clone());
            thread::spawn(move || serve_connection(stream, &uid, spoils, &answers, &spoilt, &record));
        }
    });
    address
}

fn serve_connection(
    stream: TcpStream,
    uid: &str,
    spoils: bool,
    answers: &AtomicU64,
    spoilt: &AtomicU64,
    record: &Record,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut reader = BufReader::new(stream);
    loop {
        let head = Head::read(&mut reader).ok()?;
        head.read_body(&mut reader, |_| {}).ok()?;
        if head.target().starts_with("/-/") {
            write!(writer.lock().unwrap(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let id = head.header("x-request-id").to_owned();
        thread::sleep(SERVICE);
        let body = format!("image of {id}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.lock().unwrap().write_all(answer.as_bytes()).ok()?;
        record.say(&format!("{uid} ran {id} and answered it"));
        let number = answers.fetch_add(1, Ordering::SeqCst) + 1;
        if spoils && number == SPOILT_ANSWER {
            spoilt.fetch_add(1, Ordering::SeqCst);
            let (writer, uid, record) = (writer.clone(), uid.to_owned(), record.clone());
            thread::spawn(move || {
                thread::sleep(SECOND_ANSWER_AFTER);
                let written = writer.lock().unwrap().write_all(answer.as_bytes()).is_ok();
                record.say(&format!("{uid} answered {id} a second time, written: {written}"));
            });
        }
    }
}

#[derive(Default)]
struct Counts {
    own: AtomicU64,
    foreign: AtomicU64,
    other: AtomicU64,
}

/// A client that sends one request after another on a kept connection, each under a fresh id.
fn run_client(number: usize, sidecar: SocketAddr, until: Instant, counts: &Counts, record: &Record) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut sent = 0;
    while Instant::now() < until {
        let Some(mut reader) =
            connection.take().or_else(|| TcpStream::connect(sidecar).ok().map(BufReader::new))
        else {
            continue;
        };
        let _ = reader.get_ref().set_nodelay(true);
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(5)));
        sent += 1;
        let id = format!("c{number}-{sent:05}");
        let request = format!(
            "GET /esikatselu/view?user=1f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: pohjoistila\r\nX-Timeout: 3000m\r\n\r\n"
        );
        if reader.get_mut().write_all(request.as_bytes()).is_err() {
            continue;
        }
        match Answer::read(&mut reader) {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let what = match answer.status {
                    200 if text == format!("image of {id}") => &counts.own,
                    200 => &counts.foreign,
                    _ => &counts.other,
                };
                what.fetch_add(1, Ordering::SeqCst);
                let mark =
                    if answer.status == 200 && !text.ends_with(&id) { "  <-- NOT ITS OWN" } else { "" };
                record.say(&format!("client got for {id}: {} \"{text}\"{mark}", answer.status));
                if !answer.closes {
                    connection = Some(reader);
                }
            }
            Err(error) => {
                counts.other.fetch_add(1, Ordering::SeqCst);
                record.say(&format!("client got for {id}: no whole answer ({error})"));
            }
        }
    }
}

pub fn play(record: &Record) -> Verdict {
    let spoilt = Arc::new(AtomicU64::new(0));
    let endpoints: Vec<Listed> = (0..ENDPOINTS)
        .map(|i| {
            let uid = format!("s-{i}");
            let address = serve_endpoint(uid.clone(), trouble(), spoilt.clone(), record.clone());
            Listed { uid, address }
        })
        .collect();
    let discovery = serve_discovery(endpoints.clone());
    let Some(sidecar) = Sidecar::start(SMALL, &endpoints, discovery, record) else {
        return Verdict::CouldNotRun;
    };
    let counts = Counts::default();
    let until = Instant::now() + PLAY;
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (counts, address) = (&counts, sidecar.address);
            scope.spawn(move || run_client(number, address, until, counts, record));
        }
    });
    let [own, foreign, other] =
        [&counts.own, &counts.foreign, &counts.other].map(|c| c.load(Ordering::SeqCst));
    let spoilt = spoilt.load(Ordering::SeqCst);
    record.result(&format!(
        "{own} requests got their own answer, {foreign} a 200 with another request's body, {other} something else; \
         {spoilt} answers came twice"
    ));
    match (own, foreign) {
        (0, 0) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
