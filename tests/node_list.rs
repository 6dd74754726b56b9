//! The built sidecar and its list of endpoints: known at start, watched, drained.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use socket2::SockRef;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// A sidecar that starts with the first peer and follows this discovery.
fn following(peer: &Peer, discovery: &Discovery, mode: &str) -> Sidecar {
    let mut config = config(&[peer]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["discovery"] = json!(mode);
    Sidecar::start(&config)
}

#[test]
fn the_known_list_serves_while_discovery_is_down() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer])); // its discovery refuses connections
    assert_eq!(sidecar.ask("book", "r1").status(), 200);
}

#[test]
fn a_drain_told_stops_sends_and_closes_idle_connections() {
    for (mode, state) in [("subscribe", "draining"), ("automatic", "removed")] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let discovery = Discovery::new(list(8, false, &[]));
        let sidecar = following(&old, &discovery, mode);
        assert_eq!(sidecar.ask("book", "r1").body, b"old");
        discovery.say(&list(9, false, &[target("s-new", new.address, "up")]).to_string());
        discovery.say(&list(10, false, &[target("s-0", old.address, state)]).to_string());
        wait_for("the idle connection's end", || old.closed() == 1);
        let before = old.count();
        for n in 0..20 {
            assert_eq!(sidecar.ask("book", &format!("s{n}")).body, b"new");
        }
        assert_eq!(old.count(), before, "nothing new went there");
    }
}

#[test]
fn an_endpoint_at_a_new_address_is_found_there() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = following(&old, &discovery, "subscribe");
    assert_eq!(sidecar.ask("book", "r1").body, b"old");
    discovery.say(&list(9, false, &[target("s-0", new.address, "up")]).to_string());
    wait_for("the old address's connection to end", || old.closed() == 1);
    assert_eq!(sidecar.ask("book", "r2").body, b"new");
}

#[test]
fn a_whole_list_without_an_endpoint_says_that_it_is_gone() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, true, &[target("s-new", new.address, "up")]));
    let sidecar = following(&old, &discovery, "subscribe");
    wait_for("the new list", || sidecar.ask("quote", "r").body == b"new");
    for n in 0..10 {
        assert_eq!(sidecar.ask("book", &format!("r{n}")).body, b"new");
    }
}

#[test]
fn a_silent_watch_is_dropped_and_followed_from_the_last_version() {
    for mode in ["subscribe", "automatic"] {
        let peer = Peer::serving("ok");
        let discovery = Discovery::new(list(8, false, &[])); // no empty line ever comes
        let sidecar = following(&peer, &discovery, mode);
        wait_for("the first watch", || discovery.calls().len() == 1);
        assert_eq!(discovery.calls()[0], "/api/targets?watch=1&after=7", "from the known version");
        discovery.say(&list(12, false, &[]).to_string());
        wait_for("a second watch", || discovery.calls().len() == 2);
        assert_eq!(discovery.calls()[1], "/api/targets?watch=1&after=12");
        assert_eq!(sidecar.ask("quote", "r").status(), 200);
    }
}

/// How a watch is lost.
#[derive(Clone, Copy, Debug)]
enum Lost {
    /// After it has been alive for longer than it may be silent.
    Silent,
    Reset,
    Ended,
}

/// An endpoint begins to drain just as the watch is lost, and the next one's first answer tells of it: by a change, or
/// by a whole list without it. It stays up, and would answer.
fn drains_as_a_watch_is_lost(lost: Lost, mode: &str, whole: bool) {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = following(&old, &discovery, mode);
    wait_for("the first watch", || discovery.calls().len() == 1);
    assert_eq!(sidecar.ask("book", "r1").body, b"old");
    let mut told = vec![target("s-new", new.address, "up")];
    if !whole {
        told.push(target("s-0", old.address, "draining"));
    }
    discovery.answers(list(9, whole, &told));
    let began = Instant::now();
    while matches!(lost, Lost::Silent) && began.elapsed() < Duration::from_secs(4) {
        discovery.say("");
        thread::sleep(Duration::from_millis(500)); // the pace of its empty lines
    }
    let watch = discovery.let_go();
    let lost_at = Instant::now();
    match lost {
        Lost::Silent => std::mem::forget(watch),
        Lost::Reset => SockRef::from(&watch).set_linger(Some(Duration::ZERO)).unwrap(),
        Lost::Ended => watch.shutdown(Shutdown::Both).unwrap(),
    }
    wait_for("the idle connection's end", || old.closed() == 1);
    assert!(lost_at.elapsed() < Duration::from_secs(6), "{lost:?}, {mode}: {:?}", lost_at.elapsed());
    for n in 0..5 {
        assert_eq!(sidecar.ask("book", &format!("s{n}")).body, b"new");
    }
    assert_eq!(old.count(), 1, "{lost:?}, {mode}, whole {whole}");
}

#[test]
fn however_a_watch_is_lost_what_drains_then_is_known_within_six_seconds() {
    thread::scope(|scope| {
        for lost in [Lost::Silent, Lost::Reset, Lost::Ended] {
            for mode in ["subscribe", "automatic"] {
                for whole in [true, false] {
                    scope.spawn(move || drains_as_a_watch_is_lost(lost, mode, whole));
                }
            }
        }
    });
}

#[test]
fn a_watch_with_what_is_no_list_or_only_half_of_one_begins_again() {
    // Empty lines behind half a list: the watch is alive, and will never tell anything.
    for said in
        ["{\"rev\":9,\"all\":false,\"targets\":[{\"uid\":7}]}", "{\"rev\":9,\"all\":false,\n \"targets\":["]
    {
        for mode in ["subscribe", "automatic"] {
            let peer = Peer::serving("ok");
            let discovery = Discovery::new(list(8, false, &[]));
            let sidecar = following(&peer, &discovery, mode);
            wait_for("the first watch", || discovery.calls().len() == 1);
            discovery.say(said);
            wait_for("a second watch", || {
                discovery.say("");
                discovery.calls().len() == 2
            });
            assert_eq!(discovery.calls()[1], "/api/targets?watch=1&after=8", "the change was not skipped");
            assert_eq!(sidecar.ask("quote", "r").status(), 200);
        }
    }
}

#[test]
fn an_indented_list_is_followed_and_of_an_endpoint_named_twice_the_last_word_counts() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let discovery = Discovery::new(list(8, false, &[]));
        let sidecar = following(&old, &discovery, mode);
        assert_eq!(sidecar.ask("book", "r1").body, b"old");
        let twice = [
            target("s-0", old.address, "up"),
            target("s-new", new.address, "up"),
            target("s-0", old.address, "draining"),
        ];
        discovery.say(&format!("{:#}", list(9, false, &twice)));
        wait_for("the idle connection's end", || old.closed() == 1);
        assert_eq!(sidecar.ask("book", "r2").body, b"new");
        assert_eq!(discovery.calls().len(), 1, "on the same watch");
    }
}

#[test]
fn where_lists_are_pushed_a_new_process_serves_by_what_the_agent_has_now() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let replaced = list(90, true, &[target("s-new", new.address, "up")]);
    let discovery = Discovery::slow(replaced, Duration::from_millis(200));
    let sidecar = following(&old, &discovery, "automatic");
    for n in 0..10 {
        assert_eq!(sidecar.ask("book", &format!("r{n}")).body, b"new");
    }
    assert_eq!(old.count(), 0, "not even the first");
}

#[test]
fn a_watch_kept_alive_by_empty_lines_is_not_dropped() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let _sidecar = following(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    for _ in 0..14 {
        thread::sleep(Duration::from_millis(500));
        discovery.say("");
    }
    assert_eq!(discovery.calls().len(), 1);
}

#[test]
fn sighup_moves_the_watch_to_where_discovery_is_by_then() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let was = Discovery::new(list(8, false, &[]));
        let moved = Discovery::new(list(
            9,
            false,
            &[target("s-0", old.address, "removed"), target("s-new", new.address, "up")],
        ));
        let mut config = config(&[&old]);
        config["settings"]["discovery"] = json!(mode);
        // What the variable says is true only of the start.
        let mut sidecar = Sidecar::start_with(&config, &format!("ROUTER_DISCOVERY={}", was.address));
        wait_for("the first watch", || was.calls().len() == 1);
        wait_for("the first line", || sidecar.ask("book", "r1").body == b"old");
        sidecar.reconfigure("{");
        sidecar.signal("-HUP");
        assert_eq!(sidecar.ask("book", "r2").body, b"old", "a malformed file changes nothing");
        config["discovery"] = json!(moved.address.to_string());
        sidecar.reconfigure(&config.to_string());
        let start = Instant::now();
        sidecar.signal("-HUP");
        wait_for("a watch at the new address", || moved.calls().len() == 1);
        wait_for("its news", || sidecar.ask("quote", "r3").body == b"new");
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
        assert_eq!(was.calls().len(), 1, "the old one is not asked again");
        assert!(sidecar.child.try_wait().unwrap().is_none());
        sidecar.signal("-TERM");
        assert!(sidecar.ended().success());
    }
}

#[test]
fn whatever_calls_were_lost_before_a_change_is_known_within_six_seconds_of_discoverys_return() {
    // Refused at once, or never answered; back after 4 s or in the middle of a call. All at a time, as each takes a while.
    let cases = [
        ("subscribe", true, 4000),
        ("subscribe", false, 4700),
        ("automatic", true, 4000),
        ("automatic", false, 4700),
    ];
    let plays = cases.map(|(mode, refused, down_ms)| {
        thread::spawn(move || {
            let (old, new) = (Peer::serving("old"), Peer::serving("new"));
            let replaced = list(90, true, &[target("s-new", new.address, "up")]).to_string();
            let watch = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{replaced}\n\r\n",
                replaced.len() + 1
            );
            let back = Instant::now() + Duration::from_millis(down_ms);
            let discovery = Peer::new(move |_| match (Instant::now() < back, refused) {
                (true, true) => Do::WriteAndClose(answer("503 Busy", "", "")),
                (true, false) => Do::Silence,
                (false, _) => Do::WriteAndWait(watch.clone()),
            });
            let mut config = config(&[&old]);
            config["discovery"] = json!(discovery.address.to_string());
            config["settings"]["discovery"] = json!(mode);
            config["settings"]["rules"]["askWithinMs"] = json!(10_000.0);
            let sidecar = Sidecar::start(&config);
            while sidecar.ask("quote", "r").body != b"new" {
                let late = back.elapsed();
                assert!(late < Duration::from_millis(6000), "{mode}, refused {refused}: {late:?}");
                thread::sleep(Duration::from_millis(20));
            }
        })
    });
    plays.into_iter().for_each(|play| play.join().unwrap());
}

#[test]
fn whatever_the_list_known_at_the_start_is_a_sidecar_is_ready_and_follows_discovery() {
    let away = json!({"uid": "x", "endpoint": nowhere().to_string(), "az": "elsewhere", "model": "other",
                      "pod_group": 9, "state": "up", "capacity_hint": 1.0, "boot_ms": 0});
    for (known, told) in [
        (
            json!({"rev": 3, "all": true, "targets": [{"uid": 5}]}),
            Some("known.targets[0].uid: invalid type"),
        ),
        (json!("gone"), Some("known: invalid type")),
        (json!(null), Some("known: invalid type")),
        (list(0, true, &[]), None),
        (list(90, true, &[away]), None),
    ] {
        for mode in ["subscribe", "automatic"] {
            let new = Peer::serving("new");
            let discovery = Discovery::new(list(8, true, &[target("s-new", new.address, "up")]));
            let mut config = config(&[]);
            config["known"] = known.clone();
            config["discovery"] = json!(discovery.address.to_string());
            config["settings"]["discovery"] = json!(mode);
            let began = Instant::now();
            let sidecar = Sidecar::start(&config);
            assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
            wait_for("what discovery tells", || sidecar.ask("quote", "r").body == b"new");
            if let Some(told) = told {
                // The log has a thread of its own, and may be written later than a request is answered.
                sidecar.says(told);
                sidecar.says("until discovery tells");
            }
        }
    }
}

#[test]
fn a_discovery_that_counts_from_the_start_again_is_followed() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        // The sidecar knows version 7.
        let discovery = Discovery::new(list(2, true, &[target("s-new", new.address, "up")]));
        let sidecar = following(&old, &discovery, mode);
        wait_for("its list", || sidecar.ask("quote", "r").body == b"new");
        assert_eq!(discovery.calls()[0], "/api/targets?watch=1&after=7");
        discovery.say(&list(3, false, &[target("s-new", new.address, "removed")]).to_string());
        sidecar.says("s-new is gone");
    }
}

#[test]
fn a_silent_watch_is_given_up_while_there_is_time_for_two_calls() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = following(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    let start = Instant::now();
    wait_for("a second watch", || discovery.calls().len() == 2);
    // News counts as told after 6 s. Lines are due every 2 s, and the module waits 0.25 s at least.
    let silent = start.elapsed();
    assert!(silent > Duration::from_secs(3), "{silent:?}: a late line is no silence");
    assert!(silent < Duration::from_millis(4200), "{silent:?}");
    assert_eq!(sidecar.ask("quote", "r").status(), 200);
}

#[test]
fn a_thousand_endpoints_are_served_and_drained_by_the_known_list_a_watch_and_a_whole_list() {
    const MANY: usize = 1024;
    const SOCKETS: usize = 256;
    // As one of a thousand processes it uses a part of them; alone all, with far fewer descriptors than endpoints.
    for (balancers, me, requests) in [(MANY, MANY - 1, 60), (1, 0, 400)] {
        let peers = ["a", "b", "c", "d"].map(Peer::serving);
        let entries = |which: &dyn Fn(usize) -> bool, state: &str| {
            let named = (0..MANY).filter(|n| which(*n));
            named.map(|n| target(&format!("s-{n}"), peers[n % 4].address, state)).collect::<Vec<_>>()
        };
        let discovery = Discovery::new(list(8, false, &[]));
        let mut config = config(&[]);
        config["known"] = list(7, true, &entries(&|_| true, "up"));
        config["discovery"] = json!(discovery.address.to_string());
        config["limits"]["sockets"] = json!(SOCKETS);
        config["settings"]["balancers"] = json!(balancers);
        config["settings"]["me"] = json!(me);
        let shared = Shared::new();
        let (sidecar, door) = shared.start(&config);
        let mut client = sidecar.client();
        let mut asked = 0;
        let mut serves = |peers_used: &[usize]| {
            let before: Vec<usize> = peers.iter().map(Peer::count).collect();
            for _ in 0..requests {
                asked += 1;
                discovery.say(""); // the watch lives, however slow the machine
                assert_eq!(client.ask("book", &format!("r{asked}")).status(), 200);
            }
            for (n, peer) in peers.iter().enumerate() {
                let used = peers_used.contains(&n);
                assert!(used || peer.count() == before[n], "{balancers}: nothing new at {n}");
            }
            assert!(sidecar.descriptors() <= SOCKETS, "{} descriptors", sidecar.descriptors());
        };
        let listed = |members: u64, unavailable: u64| {
            wait_for("the list", || {
                discovery.say("");
                (figure(door, "members"), figure(door, "members_unavailable")) == (members, unavailable)
            });
        };
        listed(1024, 0);
        serves(&[0, 1, 2, 3]);
        // By a watch: half of them drain.
        discovery.say(&list(9, false, &entries(&|n| n % 4 < 2, "draining")).to_string());
        listed(1024, 512);
        sidecar.says("list: 512 are draining");
        serves(&[2, 3]);
        // By a whole list: what it does not name is gone, though it still answers.
        discovery.say(&format!("{:#}", list(10, true, &entries(&|n| n % 4 == 3, "up"))));
        listed(256, 0);
        serves(&[3]);
        // And all are back.
        discovery.say(&list(11, true, &entries(&|_| true, "up")).to_string());
        listed(1024, 0);
        serves(&[0, 1, 2, 3]);
    }
}
