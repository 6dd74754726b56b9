//! Discovery's desk and what is known of who was told what, on a made clock.

use gullpulley_lab::discovery::{Desk, Table};
use gullpulley_lab::experiment::{Abandoned, Discovery, WhileDown};
use gullpulley_lab::telling::{Tellings, within};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

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
