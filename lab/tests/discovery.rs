//! Discovery's desk and what is known of who was told what, on a made clock; and how watches end, on loopback.

use gullpulley_lab::discovery::{self, Behind, Caller, Desk, Entry, Table, Troubles};
use gullpulley_lab::experiment::{Abandoned, Discovery, WhileDown};
use gullpulley_lab::telling::{Tellings, within};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// A watch that has said what it has to say is silent for so long, and comes from behind no later.
const SOON: Duration = Duration::from_millis(300);

/// A desk that takes 100 ms for a call and 10 ms for a line, with a patience of 250 ms.
fn desk(abandoned: Abandoned, while_down: WhileDown) -> (watch::Sender<Table>, Arc<Desk>) {
    let table = watch::Sender::new(Table::default());
    let [per_call, per_line, patience] = [100, 10, 250].map(Duration::from_millis);
    let described =
        Discovery { per_call, per_line, patience, abandoned, while_down, ..Discovery::default() };
    let desk = Arc::new(Desk::new(&described, table.subscribe()));
    desk.open();
    (table, desk)
}

/// A call told so many lines: whether it was answered with them, and after how many ms.
fn call(desk: &Arc<Desk>, lines: usize) -> JoinHandle<(bool, u128)> {
    let (desk, began) = (desk.clone(), Instant::now());
    tokio::spawn(async move { (desk.call(lines).await, began.elapsed().as_millis()) })
}

fn news(desk: &Arc<Desk>, lines: usize) -> JoinHandle<(bool, u128)> {
    let (desk, began) = (desk.clone(), Instant::now());
    tokio::spawn(async move { (desk.news(lines).await, began.elapsed().as_millis()) })
}

async fn ms(time: u64) {
    sleep(Duration::from_millis(time)).await;
}

#[tokio::test(start_paused = true)]
async fn a_call_sent_away_still_uses_its_turn_or_leaves_the_queue() {
    for (abandoned, then) in [(Abandoned::Served, 329), (Abandoned::Dropped, 110)] {
        let (_table, desk) = desk(abandoned, WhileDown::Refused);
        let first: Vec<_> = (0..5).map(|_| call(&desk, 1)).collect();
        let mut ended = Vec::new();
        for call in first {
            ended.push(call.await.unwrap());
        }
        assert_eq!(ended, [(true, 110), (true, 220), (true, 330), (false, 250), (false, 250)]);
        ms(1).await; // 331 ms: done are the calls that were answered, and all five take 550 ms
        assert_eq!(call(&desk, 1).await.unwrap(), (true, then), "{abandoned:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_work_of_a_caller_that_left_is_done_all_the_same() {
    for (abandoned, then) in [(Abandoned::Served, 300), (Abandoned::Dropped, 200)] {
        let (_table, desk) = desk(abandoned, WhileDown::Refused);
        let first = call(&desk, 0);
        let leaves = call(&desk, 0);
        let last = call(&desk, 0);
        ms(50).await;
        leaves.abort();
        assert_eq!(first.await.unwrap(), (true, 100));
        assert_eq!(last.await.unwrap(), (true, then), "{abandoned:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn news_waits_in_the_same_queue_with_the_calls_and_is_not_dropped_for_patience() {
    let (_table, desk) = desk(Abandoned::Served, WhileDown::Refused);
    let before: Vec<_> = (0..4).map(|_| call(&desk, 0)).collect();
    let news = news(&desk, 3);
    tokio::task::yield_now().await;
    let after = call(&desk, 0);
    assert_eq!(news.await.unwrap(), (true, 430), "after 400 ms of calls, past any call's patience");
    assert_eq!(after.await.unwrap(), (false, 250));
    assert_eq!(before.into_iter().next_back().unwrap().await.unwrap(), (false, 250));
    ms(100).await;
    assert_eq!(call(&desk, 0).await.unwrap(), (true, 100), "idle again after 530 ms");
}

#[tokio::test(start_paused = true)]
async fn nothing_costs_while_down_and_the_queue_is_empty_at_the_return() {
    for (while_down, ends) in [(WhileDown::Refused, [10, 0]), (WhileDown::Waits, [250, 250])] {
        let (table, desk) = desk(Abandoned::Served, while_down);
        let before: Vec<_> = (0..9).map(|_| call(&desk, 0)).collect();
        let news = news(&desk, 1);
        ms(10).await;
        table.send_modify(|table| (table.down, table.downs) = (true, 1));
        let mut amid: Vec<_> = (0..9).map(|_| call(&desk, 0)).collect();
        for call in before.into_iter().skip(1) {
            assert_eq!(call.await.unwrap(), (false, ends[0]), "{while_down:?}: waiting when it went down");
        }
        assert!(!news.await.unwrap().0, "its watch has ended");
        ms(1000).await;
        amid.push(call(&desk, 0));
        ms(20).await;
        table.send_modify(|table| table.down = false);
        let fresh = call(&desk, 0);
        assert_eq!(fresh.await.unwrap(), (true, 100), "{while_down:?}: nothing was before it");
        for call in amid {
            assert_eq!(call.await.unwrap(), (false, ends[1]), "{while_down:?}: called while down");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_counts_as_told_once_written_or_so_long_after_it_could_be_and_untold_ones_show() {
    let secs = Duration::from_secs;
    let start = Instant::now();
    let tellings = Tellings::new(secs(6), vec![0, 0, 1]);
    tellings.turn(true);
    tellings.had(2, "draining a/x-0".to_owned(), vec![0], true);
    sleep(secs(8)).await;
    assert_eq!(tellings.counts(2, Some(0)), None, "nobody can be told");
    tellings.turn(false);
    let back = Instant::now();
    sleep(secs(1)).await;
    tellings.written(0, 1);
    tellings.written(2, 2);
    assert_eq!(tellings.counts(2, Some(0)), Some(back + secs(6)), "an older list does not tell it");
    tellings.written(0, 2);
    assert_eq!(tellings.counts(2, Some(0)), Some(back + secs(1)));
    assert_eq!(tellings.counts(2, Some(1)), Some(back + secs(6)));
    assert_eq!(tellings.counts(2, None), Some(back + secs(6)), "of a sender that is not known");
    sleep(secs(2)).await;
    tellings.turn(true);
    assert_eq!(tellings.counts(2, Some(1)), None, "it went down before it had counted");
    sleep(secs(2)).await;
    tellings.turn(false);
    sleep(secs(7)).await;
    tellings.turn(true);
    assert_eq!(tellings.counts(2, Some(1)), Some(back + secs(11)), "what once counted does so for good");
    tellings.turn(false);
    sleep(secs(3)).await;
    let all = tellings.so_far(start, |_, _| true);
    let seen: Vec<_> = all.iter().map(|one| (one.copy, one.had, one.after, one.written)).collect();
    assert_eq!(seen, [(0, 0.0, 1.0, true), (1, 0.0, 3.0, false)], "no copy of another tier");
    assert_eq!(within(all.iter(), 1.0), Some(3.0));
    assert!(tellings.so_far(start, |copy, _| copy == 2).is_empty(), "those that did not live are left out");
}

#[test]
fn part_of_the_tellings_is_counted_from_the_fastest() {
    let tellings = Tellings::new(Duration::ZERO, vec![0; 200]);
    tellings.had(1, String::new(), vec![0], false);
    let mut all = tellings.so_far(Instant::now(), |_, _| true);
    all.iter_mut().enumerate().for_each(|(i, telling)| telling.after = i as f64);
    assert_eq!(
        [0.0, 0.5, 0.99, 1.0].map(|part| within(all.iter(), part).unwrap()),
        [0.0, 100.0, 198.0, 199.0]
    );
    assert_eq!(within([].iter(), 0.99), None);
}

/// Discovery on loopback with one endpoint that drains as version 2, and the table that it tells.
async fn discovery(while_down: WhileDown) -> (watch::Sender<Table>, SocketAddr) {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let entry = Entry {
        uid: "one".to_owned(),
        zone: "a".to_owned(),
        cell: 0,
        tier: 0,
        addresses: vec![address],
        state: "draining",
        boot_ms: 0,
        rev: 2,
    };
    let table = watch::Sender::new(Table { rev: 2, entries: vec![entry], ..Table::default() });
    let described = Discovery { while_down, ..Discovery::default() };
    let behind = Behind {
        table: table.subscribe(),
        desk: Arc::new(Desk::new(&described, table.subscribe())),
        troubles: Arc::new(Troubles::new(1)),
        tellings: Arc::new(Tellings::new(Duration::ZERO, vec![0])),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(discovery::serve(listener, Caller { copy: 0, zone: 0, tier: 0 }, behind));
    (table, at)
}

/// What a watch after a version brings within [`SOON`], and whether it is over by then; none where nothing listens.
async fn told(at: SocketAddr, after: u64, amid: impl FnOnce()) -> Option<(String, bool)> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    let call = format!("GET /api/targets?watch=1&after={after} HTTP/1.1\r\nHost: d\r\n\r\n");
    stream.write_all(call.as_bytes()).await.unwrap();
    let (mut bytes, mut text) = ([0; 4096], String::new());
    let mut amid = Some(amid);
    loop {
        match timeout(SOON, stream.read(&mut bytes)).await {
            Ok(Ok(count)) if count > 0 => text += &String::from_utf8_lossy(&bytes[..count]),
            Ok(_) => return Some((text, true)),
            Err(_) => return Some((text, false)),
        }
        if let Some(amid) = amid.take_if(|_| text.contains("rev")) {
            amid();
        }
    }
}

#[tokio::test]
async fn a_watch_is_told_from_behind_and_reset_or_reset_or_refused_as_discovery_stands() {
    let quiet = || {};
    let (table, at) = discovery(WhileDown::RefusesConnections).await;
    let shows = |told: &Option<(String, bool)>| {
        told.as_ref().map(|(text, over)| (text.contains("draining"), text.contains("200 OK"), *over))
    };
    let first = told(at, 1, quiet).await;
    assert_eq!(shows(&first), Some((true, true, false)), "{first:?}");
    let reset = told(at, 1, || table.send_modify(|table| table.resets += 1)).await;
    assert_eq!(shows(&reset), Some((true, true, true)), "{reset:?}");
    table.send_modify(|table| table.behind = true);
    for (after, wording) in [(1, "\"all\":false,\"rev\":1,\"targets\":[]"), (0, "\"state\":\"up\"")] {
        let behind = told(at, after, quiet).await;
        assert_eq!(shows(&behind), Some((false, true, true)), "{behind:?}");
        assert!(behind.as_ref().unwrap().0.contains(wording), "{behind:?}");
    }
    table.send_modify(|table| table.crowded.extend([0]));
    assert!(!told(at, 1, quiet).await.unwrap().0.contains("200 OK"), "crowded goes before behind");
    table.send_modify(|table| (table.down, table.downs) = (true, 1));
    sleep(SOON).await;
    assert_eq!(told(at, 1, quiet).await, None, "nothing listens");
    table.send_modify(|table| *table = Table { down: false, behind: false, ..table.clone() });
    table.send_modify(|table| table.crowded.clear());
    sleep(SOON).await;
    assert_eq!(shows(&told(at, 1, quiet).await), Some((true, true, false)), "back");
}
