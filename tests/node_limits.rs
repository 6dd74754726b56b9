//! The built sidecar at its limits and at its end: descriptors, SIGTERM, the backlog.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

#[test]
fn more_clients_than_sockets_are_all_answered_within_the_limit() {
    let peer = Peer::new(|_| Do::Late(Duration::from_millis(300)));
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(128);
    // The kernel holds it to the same figure: going over would show as errors.
    let sidecar = Sidecar::start_with(&config, "ulimit -n 128;");
    let mut clients: Vec<Client> = (0..200).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("quote", &format!("r{n}"), "20000m"));
    }
    let mut most = 0;
    let mut served = 0;
    for client in &mut clients {
        most = most.max(sidecar.descriptors());
        let answer = client.receive().expect("a whole answer for everyone");
        assert!(matches!(answer.status(), 200 | 503), "{}", answer.first_line);
        served += usize::from(answer.status() == 200);
    }
    assert!(most <= 128, "{most} descriptors");
    assert!(served >= 40, "{served} served");
    drop(clients);
    assert_eq!(sidecar.ask("quote", "after").status(), 200);
}

#[test]
fn running_out_of_descriptors_neither_spins_nor_exits() {
    let peer = Peer::serving("ok");
    // Its budget says 1,024, but the kernel gives it far fewer.
    let mut sidecar = Sidecar::start_with(&config(&[&peer]), "ulimit -n 40;");
    assert_eq!(sidecar.ask("quote", "before").status(), 200);
    let clients: Vec<Client> = (0..60).map(|_| sidecar.client()).collect();
    wait_for("its descriptors to be used up", || sidecar.descriptors() >= 40);
    let before = sidecar.ticks();
    thread::sleep(Duration::from_secs(1));
    let used = sidecar.ticks() - before;
    assert!(used < 50, "{used} ticks of a second spent on failing to accept");
    drop(clients);
    assert_eq!(sidecar.ask("quote", "after").status(), 200);
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

/// Clients that say nothing, and come again as often as they are let go, until dropped.
struct Crowd {
    over: Arc<AtomicBool>,
    comers: Vec<thread::JoinHandle<()>>,
}

impl Crowd {
    fn around(address: SocketAddr, size: usize) -> Crowd {
        let over = Arc::new(AtomicBool::new(false));
        let comer = |_| {
            let over = over.clone();
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let Some(mut client) = Client::connect(address) else { continue };
                    let _ = client.stream().set_read_timeout(Some(Duration::from_millis(100)));
                    while !over.load(Ordering::SeqCst)
                        && matches!(client.stream().read(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock)
                    {
                    }
                }
            })
        };
        let comers = (0..size).map(comer).collect();
        Crowd { over, comers }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.comers.drain(..).for_each(|comer| comer.join().unwrap());
    }
}

#[test]
fn idle_clients_in_all_descriptors_keep_out_neither_discovery_nor_endpoints_nor_operators() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let (discovery, door) = (nowhere(), nowhere()); // down as yet
        let mut config = config(&[&old]);
        config["limits"]["sockets"] = json!(160);
        config["discovery"] = json!(discovery.to_string());
        config["control"] = json!(door.to_string());
        config["settings"]["discovery"] = json!(mode);
        let shared = Shared::new();
        // The kernel holds it to the same figure: going over would show as errors.
        let sidecar =
            Sidecar::start_with(&config, &format!("ulimit -n 160; export TMPDIR={};", shared.0.display()));
        let crowd = Crowd::around(sidecar.address, 300);
        wait_for("its places to be taken", || sidecar.descriptors() >= 70);
        let moved = [target("s-0", old.address, "removed"), target("s-new", new.address, "up")];
        let discovery = Discovery::back_at(discovery, list(8, false, &moved));
        let back = Instant::now();
        wait_for("a watch", || !discovery.calls().is_empty());
        sidecar.says("s-0 is gone");
        assert!(back.elapsed() < Duration::from_secs(6), "{mode}: {:?}", back.elapsed());
        assert_eq!(call(door, "GET", "/v1/readyz").status(), 200);
        assert_eq!(sidecar.ready(), Some(200));
        wait_for("room for a request", || sidecar.ask("quote", "r").body == b"new");
        assert!(sidecar.descriptors() <= 160);
        assert!(!sidecar.log().contains("accept:"), "{}", sidecar.log());
        drop(crowd);
    }
}

#[test]
fn idle_clients_make_room_for_new_ones() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    let mut idle = Vec::new();
    for n in 0..80 {
        let mut client = sidecar.client();
        assert!(matches!(client.ask("quote", &format!("r{n}")).status(), 200 | 503));
        idle.push(client);
    }
    wait_for("room", || sidecar.ask("quote", "new").status() == 200);
}

#[test]
fn a_new_connection_is_not_closed_before_its_first_request() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    // One after another they take all there is, and more.
    let mut clients: Vec<Client> = (0..45).map(|_| sidecar.client()).collect();
    wait_for("the connections to be taken", || sidecar.descriptors() >= 45);
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("book", &format!("r{n}"), "20000m"));
        let status = client.receive().expect("whoever connected gets an answer").status();
        assert!(matches!(status, 200 | 503), "{status}");
    }
}

#[test]
fn a_connection_just_used_is_not_closed_under_its_client_to_make_room() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    for _ in 0..20 {
        let sidecar = Sidecar::start(&config);
        let mut client = sidecar.client();
        assert_eq!(client.ask("book", "r1").status(), 200);
        let answered = Instant::now();
        let _others: Vec<Client> = (0..40).map(|_| sidecar.client()).collect();
        wait_for("the connections to be taken", || sidecar.descriptors() >= 41);
        client.send(&request("book", "r2", "20000m"));
        if answered.elapsed() > Duration::from_millis(500) {
            continue; // too slow a machine to say that it was just used
        }
        let answer = client.receive().expect("an answer on the same connection");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        return;
    }
    panic!("the machine never was quick enough");
}

#[test]
fn sigterm_finishes_what_is_in_flight_and_what_still_comes() {
    let peer = Peer::new(|_| Do::Late(Duration::from_millis(1000)));
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut idle = sidecar.client();
    assert_eq!(idle.ask("quote", "r0").status(), 200);
    let mut early = sidecar.client();
    early.send(&request("book", "r1", "20000m"));
    wait_for("the attempt", || peer.count() == 2);
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.ready() != Some(200));
    let mut late = sidecar.client();
    late.send(&request("book", "r2", "20000m"));
    for client in [&mut early, &mut late] {
        let answer = client.receive().expect("an answer in spite of the drain");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    }
    assert!(idle.receive().is_none(), "idle connections are closed");
    assert!(sidecar.ended().success());
}

#[test]
fn whatever_is_sent_on_a_connection_open_at_sigterm_is_answered_or_never_taken() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut clients: Vec<Client> = (0..24).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate().skip(8) {
        assert_eq!(client.ask("book", &format!("r{n}")).status(), 200);
    }
    let whole = request("book", "half", "20000m");
    let (sent, rest) = whole.split_at(whole.len() - 2);
    let mut half = sidecar.client();
    half.send(sent);
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.ready() != Some(200));
    half.send(rest);
    let answer = half.receive().expect("a request whose body was half sent is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    // One after the other until each is closed: some at once, some just as their connection is closed.
    let mut answered = 0;
    for (n, client) in clients.iter_mut().enumerate() {
        thread::sleep(Duration::from_millis(25)); // spreads them over the time in which connections are closed
        client.send(&request("book", &format!("t{n}"), "20000m"));
        match client.receive() {
            Some(answer) => assert_eq!((answer.status(), answer.header("connection")), (200, "close")),
            None => continue,
        }
        answered += 1;
    }
    assert!(sidecar.ended().success());
    let ran = |message: &Message| message.header("x-request-id").starts_with('t');
    assert_eq!(
        peer.seen.lock().unwrap().iter().filter(|m| ran(m)).count(),
        answered,
        "none ran unanswered"
    );
    assert!(answered >= 8, "{answered}");
}

#[test]
fn what_comes_as_a_resting_connection_is_shut_is_answered_or_never_sent_on() {
    let whole = request("book", "r1", "20000m");
    // How much comes in the moment of the shutdown, all or half or nothing, and the rest after it.
    for now in [whole.len(), 60, 0] {
        let peer = Peer::serving("ok");
        let mut sidecar = Sidecar::start(&config(&[&peer]));
        let mut client = sidecar.client();
        assert_eq!(client.ask("book", "r0").status(), 200);
        sidecar.stop();
        sidecar.signal("-TERM");
        client.send(&whole[..now]);
        sidecar.signal("-CONT");
        if now == 0 {
            assert!(client.receive().is_none(), "it is shut, and read on for a while");
        }
        client.send(&whole[now..]);
        let answer =
            client.receive().map(|answer| (answer.status(), answer.header("connection").to_owned()));
        assert!(answer.as_ref().is_none_or(|answer| *answer == (200, "close".to_owned())), "{answer:?}");
        assert!(sidecar.ended().success());
        let sent =
            peer.seen.lock().unwrap().iter().filter(|seen| seen.header("x-request-id") == "r1").count();
        assert_eq!(sent, usize::from(answer.is_some()), "{now}: sent on where it is answered");
        assert!(answer.is_none() || now > 0);
    }
}

#[test]
fn what_waits_in_the_backlog_at_sigterm_is_answered() {
    let peer = Peer::serving("ok");
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    // Stopped, it can accept nothing: the kernel does.
    sidecar.signal("-STOP");
    let mut clients: Vec<Client> = (0..50).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("book", &format!("r{n}"), "20000m"));
    }
    sidecar.signal("-TERM");
    thread::sleep(Duration::from_millis(50));
    sidecar.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.receive().expect("taken, so answered").status(), 200);
    }
    assert!(sidecar.ended().success());
}

#[test]
fn what_can_not_be_finished_before_sigkill_is_failed() {
    let peer = Peer::new(|_| Do::Silence);
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    client.send(&request("book", "r1", "20000m"));
    wait_for("the attempt", || peer.count() == 1);
    sidecar.signal("-TERM");
    let answer = client.receive().expect("a whole answer before the end");
    assert!(!matches!(answer.status(), 200 | 429 | 503), "{}", answer.first_line);
    assert!(sidecar.ended().success());
}

#[test]
fn a_peer_that_sends_no_whole_request_is_cut_off_within_three_seconds() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let post = request("book", "r1", "20000m");
    let half_head = &post[..post.len() / 2];
    let half_body = &post[..post.len() - 2];
    let chunked = post.replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let endless = chunked.replace("\r\n\r\nbody", "\r\n\r\n4\r\nbody\r\n");
    let start = Instant::now();
    let mut clients: Vec<_> = ["", "GET", half_head, half_body, &endless]
        .map(|said| {
            let mut client = sidecar.client();
            client.send(said);
            (said, client)
        })
        .into();
    for (said, client) in &mut clients {
        let status = client.receive().map(|answer| answer.status());
        assert!(status.is_none_or(|status| (400..500).contains(&status)), "{status:?} for {said:?}");
        assert!(start.elapsed() < Duration::from_secs(3), "{:?} for {said:?}", start.elapsed());
    }
    assert_eq!(peer.count(), 0);
}

#[test]
fn a_request_in_work_for_longer_than_a_first_one_may_take_to_come_is_answered() {
    let peer = Peer::new(|_| Do::Late(Duration::from_millis(3000)));
    let sidecar = Sidecar::start(&config(&[&peer]));
    assert_eq!(sidecar.ask("book", "r1").status(), 200);
}

#[test]
fn silent_peers_do_not_keep_the_places_of_clients_for_long() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    let _silent: Vec<Client> = (0..60).map(|_| sidecar.client()).collect();
    wait_for("the places to be taken", || sidecar.descriptors() >= 60);
    let start = Instant::now();
    wait_for("a place", || sidecar.ask("quote", "new").status() == 200);
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

#[test]
fn memory_bounds_the_requests_in_work_and_not_the_idle_connections() {
    let peer = Peer::new(|_| Do::Late(Duration::from_millis(300)));
    let mut config = config(&[&peer]);
    // Memory for 25 requests, and for four times as many connections.
    config["limits"]["memory_mb"] = json!(8);
    config["limits"]["sockets"] = json!(256);
    let sidecar = Sidecar::start(&config);
    let mut idle: Vec<Client> = (0..26).map(|_| sidecar.client()).collect();
    for client in &mut idle {
        client.send("GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n");
        assert_eq!(client.receive().expect("an answer").status(), 200);
    }
    // Beside 26 that are idle there still is a place.
    assert_eq!(sidecar.ask("quote", "beside").status(), 200);
    for (n, client) in idle.iter_mut().enumerate() {
        client.send(&request("quote", &format!("r{n}"), "20000m"));
    }
    let answers: Vec<Message> = idle.iter_mut().map(|c| c.receive().expect("an answer")).collect();
    assert!(answers.iter().all(|answer| matches!(answer.status(), 200 | 503)));
    assert_eq!(answers.iter().filter(|answer| answer.body == b"too many requests").count(), 1);
}

#[test]
fn a_crowd_that_asks_for_readiness_and_stays_does_not_take_the_clients_places() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    let mut crowd = Vec::new();
    for n in 0..100 {
        let mut client = sidecar.client();
        client.send("GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n");
        assert_eq!(client.receive().expect("an answer").status(), 200);
        crowd.push(client);
        if n % 10 == 9 {
            assert_eq!(sidecar.ask("quote", &format!("r{n}")).status(), 200, "after {n} of them");
        }
    }
}

#[test]
fn silent_peers_over_the_cap_do_not_keep_clients_waiting() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(96);
    let sidecar = Sidecar::start(&config);
    // All the clients' places, and all those over the cap.
    let silent: Vec<Client> = (0..54).map(|_| sidecar.client()).collect();
    let start = Instant::now();
    let status = sidecar.ask("quote", "r").status();
    assert!(matches!(status, 200 | 503), "{status}");
    assert!(start.elapsed() < Duration::from_millis(1800), "answered after {:?}", start.elapsed());
    drop(silent);
}

/// Those who waited behind a crowd that says nothing had their answers, refusals too, seconds after their time.
#[test]
fn requests_behind_a_crowd_that_says_nothing_are_answered_in_time_or_never_taken() {
    const CROWD: usize = 1000;
    const REQUESTS: usize = 60;
    const TIME: Duration = Duration::from_millis(1200);
    const LOST_AFTER: Duration = Duration::from_millis(500);
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["memory_mb"] = json!(32);
    let sidecar = Sidecar::start(&config);
    let address = sidecar.address;
    let _silent: Vec<TcpStream> = (0..CROWD).map(|_| TcpStream::connect(address).unwrap()).collect();
    let asking: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || {
                let mut client = Client::over(TcpStream::connect(address).unwrap());
                let sent = Instant::now();
                client.send(&request("quote", &format!("r{number}"), &format!("{}m", TIME.as_millis())));
                (client.receive().map(|answer| answer.status()), sent.elapsed())
            })
        })
        .collect();
    let ends: Vec<_> = asking.into_iter().map(|asking| asking.join().unwrap()).collect();
    let served = ends.iter().filter(|(status, _)| *status == Some(200)).count();
    println!(
        "{served} of {REQUESTS} served, the last answer after {:?}",
        ends.iter().map(|(_, took)| took).max()
    );
    let late: Vec<_> = ends.iter().filter(|(_, took)| *took > TIME + LOST_AFTER).collect();
    assert!(late.is_empty(), "{} of {REQUESTS}: {late:?}", late.len());
}

#[test]
fn connections_told_that_there_is_no_room_have_their_answer_before_the_end() {
    const PLACES: usize = 10; // five eighths of 64 descriptors less 48
    const SHED: usize = 24;
    const OWED: usize = 8;
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(64);
    for _ in 0..20 {
        let mut sidecar = Sidecar::start(&config);
        let before = sidecar.descriptors();
        let mut silent: Vec<Client> = (0..PLACES).map(|_| sidecar.client()).collect();
        // Also without the first request's connection, which may still have been open.
        wait_for("the places to be taken", || sidecar.descriptors() + 1 >= before + PLACES);
        sidecar.stop();
        silent.extend((0..SHED).map(|_| sidecar.client()));
        // For these there is no place even to be told so: they are taken as the listener closes.
        let mut owed: Vec<Client> = (0..OWED).map(|_| sidecar.client()).collect();
        let whole = request("quote", "r1", "20000m");
        let (half, rest) = whole.split_at(20);
        owed.iter_mut().for_each(|client| client.send(half));
        sidecar.signal("-TERM");
        let asked = Instant::now();
        sidecar.signal("-CONT");
        // After 0.2 s the first of the silent ones would have been let go, and others taken in their places.
        let too_late = || asked.elapsed() > Duration::from_millis(200);
        wait_for("all places to be taken", || {
            too_late() || sidecar.descriptors() + 1 >= before + PLACES + SHED
        });
        sidecar.stop();
        let mut in_time = !too_late();
        wait_for("the listener's time to be over", || asked.elapsed() > Duration::from_millis(700));
        // In one turn the listener closes and all others leave. Only those are left that there was no place for.
        silent.into_iter().for_each(Client::reset);
        let went_on = Instant::now();
        sidecar.signal("-CONT");
        if in_time {
            wait_for("the others to have left", || sidecar.descriptors() <= before + OWED);
        }
        owed.iter_mut().for_each(|client| client.send(rest));
        // After 0.5 s a head that is not whole is not waited for.
        in_time &= went_on.elapsed() < Duration::from_millis(400);
        let answers: Vec<_> = owed.iter_mut().map(Client::receive).collect();
        assert!(sidecar.ended().success());
        if in_time {
            let status = |answer: &Option<Message>| answer.as_ref().map(Message::status);
            assert!(answers.iter().all(|answer| status(answer) == Some(503)), "{answers:?}");
            return;
        }
    }
    panic!("the machine never was quick enough");
}
