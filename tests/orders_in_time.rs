//! Orders by hand bind 1 s after the call, whatever the disk does, and until the call back, whatever one look at their file
//! came to. Read in the code: an order was put in force only once it was kept, behind a lock that another process of the
//! sidecar may hold for as long as its disk takes; and a version of the file that could not be read once was never read again.

#[path = "support/node.rs"]
mod support;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// An order binds so long after its call, said yes to or not.
const BINDS: Duration = Duration::from_secs(1);
/// The grace of drains in the settings here, and some more for a slow machine.
const GRACE: Duration = Duration::from_millis(2000 + 500);
/// Of this many requests each of two endpoints in use gets some, but for one chance in a million.
const MANY: usize = 20;

/// Asks so often; how many requests the peer got of them.
fn share(sidecar: &Sidecar, peer: &Peer, tag: &str) -> usize {
    let before = peer.count();
    for n in 0..MANY {
        assert_eq!(sidecar.ask("quote", &format!("{tag}-{n}")).status(), 200);
    }
    peer.count() - before
}

/// Another process of this sidecar keeps an order, and its disk stands still.
fn hold_orders(shared: &Shared) -> File {
    let lock = shared.0.join("suspended-n0.lock");
    let held = OpenOptions::new().create(true).truncate(false).write(true).open(lock).unwrap();
    held.lock().unwrap();
    held
}

#[test]
fn an_order_binds_after_a_second_though_it_can_not_be_kept_yet() {
    let (first, second) = (Peer::serving("ok"), Peer::serving("ok"));
    let shared = Shared::new();
    let (sidecar, door) = shared.start(&config(&[&first, &second]));
    assert!(share(&sidecar, &first, "before") > 0, "it was in use");
    let held = hold_orders(&shared);
    let (said, answer) = channel();
    let called = Instant::now();
    thread::spawn(move || said.send(call(door, "POST", "/v1/endpoints/s-0/suspend").status()));
    let in_time = answer.recv_timeout(BINDS).ok();
    thread::sleep((BINDS + GRACE).saturating_sub(called.elapsed()));
    // Who was told no in time knows that it is in use.
    let refused = in_time.is_some_and(|status| status >= 400);
    let got = share(&sidecar, &first, "after");
    drop(held);
    assert!(
        refused || got == 0,
        "{got} of {MANY} requests went to it 3.5 s after the call; said: {in_time:?}"
    );
    assert!(in_time.is_some(), "each answer is due within 1 s");
}

#[test]
fn what_could_not_be_read_of_the_orders_is_looked_at_again() {
    let (first, second) = (Peer::serving("ok"), Peer::serving("ok"));
    let shared = Shared::new();
    let (sidecar, door) = shared.start(&config(&[&first, &second]));
    let path = shared.0.join("suspended-n0.json");
    // One look fails, as where descriptors or memory lack for a moment: here as the content is not whole. The version that
    // is there stays the same: the inode, and the time of the last change.
    let mut file = File::create(shared.0.join("half")).unwrap();
    file.write_all(br#"{"suspended":["s-0"#).unwrap();
    let changed = file.metadata().unwrap().modified().unwrap();
    std::fs::rename(shared.0.join("half"), &path).unwrap();
    sidecar.says("what is in force stays");
    file.write_all(br#""],"resumed":{}}"#).unwrap();
    file.set_modified(changed).unwrap();
    drop(file);
    thread::sleep(BINDS + GRACE);
    let got = share(&sidecar, &first, "after");
    assert_eq!(got, 0, "requests to an endpoint that another process was ordered to take out 3.5 s ago");
    assert_eq!(figure(door, "members_unavailable"), 1);
}

/// Orders that were in force before they could be kept were lost, or kept in another order.
#[test]
fn orders_that_bind_before_they_can_be_kept_are_kept_later_in_their_order() {
    let (first, second) = (Peer::serving("ok"), Peer::serving("ok"));
    let shared = Shared::new();
    let (sidecar, door) = shared.start(&config(&[&first, &second]));
    let held = hold_orders(&shared);
    let order = |order: &str| {
        let called = Instant::now();
        let status = call(door, "POST", &format!("/v1/endpoints/s-0/{order}")).status();
        assert!(called.elapsed() < BINDS && status == 202, "{order}: {status}, {:?}", called.elapsed());
    };
    order("suspend");
    order("resume");
    let resumed = Instant::now();
    while share(&sidecar, &first, &format!("back{:?}", resumed.elapsed())) == 0 {
        assert!(resumed.elapsed() < GRACE, "it is not used again: {}", sidecar.log());
        thread::sleep(Duration::from_millis(50));
    }
    order("suspend");
    drop(held);
    let kept = || std::fs::read_to_string(shared.0.join("suspended-n0.json")).unwrap_or_default();
    let released = Instant::now();
    while !kept().starts_with(r#"{"suspended":["s-0"]"#) {
        assert!(released.elapsed() < GRACE, "{}", kept());
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(share(&sidecar, &first, "out"), 0);
    assert_eq!(call(door, "POST", "/v1/endpoints/s-0/resume").status(), 200);
}
