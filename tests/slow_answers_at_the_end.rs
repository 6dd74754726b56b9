//! Large answers that are read slowly while their process drains, is upgraded or is killed. A process that ended by
//! itself amid such an answer cut it off, though nobody had killed it.

#[path = "support/node.rs"]
mod support;
#[path = "support/transfers.rs"]
mod transfers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use support::*;
use transfers::*;

/// SIGKILL comes no sooner than this after SIGTERM, for these classes.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// A client that reads nothing holds up the end no longer than this.
const MAX_DRAIN: Duration = Duration::from_secs(70);

/// An endpoint that answers with this many bytes.
fn answering(length: usize) -> SocketAddr {
    endpoint(move |_, reader| {
        let mut to = reader.into_inner();
        let _ = write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
            .and_then(|()| to.write_all(&large(length))); // fails where the answer was cut off
    })
}

/// A client that has sent its request.
fn ask(sidecar: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(sidecar).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(request("quote", "slow", "10000m").as_bytes()).unwrap();
    stream
}

/// Reads at this rate until the end, or for so long at the most.
fn read_at(stream: &mut TcpStream, bytes_per_second: usize, time: Duration, raw: &mut Vec<u8>) {
    let (began, before, mut piece) = (Instant::now(), raw.len(), vec![0; bytes_per_second / 20]);
    while began.elapsed() < time {
        match stream.read(&mut piece) {
            Ok(count @ 1..) => raw.extend_from_slice(&piece[..count]),
            _ => return,
        }
        let due = (raw.len() - before) as f64 / bytes_per_second as f64;
        thread::sleep(Duration::from_secs_f64(due).saturating_sub(began.elapsed()));
    }
}

#[test]
fn a_slow_answer_under_way_at_sigterm_comes_whole_while_nobody_kills_the_process() {
    let length = 24 << 20;
    let mut sidecar = Sidecar::start(&config_at(&[answering(length)]));
    let (mut client, mut raw) = (ask(sidecar.address), Vec::new());
    read_at(&mut client, 2_500_000, Duration::from_secs(1), &mut raw);
    sidecar.signal("-TERM");
    read_at(&mut client, 2_500_000, PATIENCE, &mut raw);
    assert!(is_whole(&raw, &large(length)), "{} of {length} bytes", raw.len());
    assert!(sidecar.ended().success());
}

/// What fits into the system's buffers is theirs by then.
#[test]
fn the_rest_of_a_slow_answer_comes_after_sigkill() {
    let length = 2_000_000;
    let sidecar = Sidecar::start(&config_at(&[answering(length)]));
    let (mut client, mut raw) = (ask(sidecar.address), Vec::new());
    read_at(&mut client, 64_000, Duration::from_secs(1), &mut raw);
    sidecar.signal("-TERM");
    read_at(&mut client, 64_000, KILLED_AFTER, &mut raw);
    sidecar.signal("-KILL");
    read_at(&mut client, 64_000, Duration::from_secs(3), &mut raw);
    let _ = client.read_to_end(&mut raw); // what came until an error counts
    assert!(is_whole(&raw, &large(length)), "{} of {length} bytes", raw.len());
}

#[test]
fn an_upgrade_amid_a_slow_answer_does_not_cut_it_off() {
    let length = 24 << 20;
    let (config, shared) = (config_at(&[answering(length)]), Shared::new());
    let (mut old, _) = shared.start(&config);
    let (mut client, mut raw) = (ask(old.address), Vec::new());
    read_at(&mut client, 2_500_000, Duration::from_secs(1), &mut raw);
    let (new, _) = shared.start(&config);
    old.signal("-TERM");
    read_at(&mut client, 2_500_000, PATIENCE, &mut raw);
    assert!(is_whole(&raw, &large(length)), "{} of {length} bytes", raw.len());
    assert!(old.ended().success());
    assert_eq!(new.ready(), Some(200));
}

#[test]
fn a_client_that_has_stopped_reading_does_not_hold_up_the_end_for_ever() {
    let mut sidecar = Sidecar::start(&config_at(&[answering(24 << 20)]));
    let mut client = ask(sidecar.address);
    client.read_exact(&mut [0; 1000]).unwrap();
    let began = Instant::now();
    sidecar.signal("-TERM");
    while sidecar.child.try_wait().unwrap().is_none() {
        assert!(began.elapsed() < MAX_DRAIN, "it drains for {:?}", began.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
}
