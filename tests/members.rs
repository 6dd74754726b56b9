//! Membership in made time: who counts as here, and how many share the work, whatever becomes of processes and datagrams.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Net, ms, settings};
use gullpulley::fleet::members::{
    Counts, Event, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, Members, Output, Peer, Settings, Standing, Start,
    View,
};
use std::time::Duration;

/// A fleet in which all know each other.
fn gathered(size: usize, seed: u64) -> Net {
    let mut net = Net::new(size, seed);
    (0..size).for_each(|number| net.start(number, settings(number, size, 1, seed)));
    assert!(
        net.until(ms(15_000), |view| view.living == size && view.standing == Standing::Converged).is_some()
    );
    net
}

fn counts(net: &Net, number: usize) -> Counts {
    net.places[number].members.as_ref().unwrap().counts()
}

fn balancers(net: &Net, number: usize) -> usize {
    net.places[number].view.as_ref().unwrap().balancers
}

fn is_lost(statement: &Event) -> bool {
    matches!(statement, Event::Lost(_))
}

#[test]
fn hundreds_that_start_at_once_find_each_other_and_a_killed_one_is_known_to_all_within_two_seconds() {
    for many in [32, 300] {
        let mut net = Net::new(many, 1);
        for number in 0..many {
            net.start(number, settings(number, many, 1, 1));
            net.run(Duration::from_secs(1) / many as u32);
        }
        let found = net.until(ms(5000), |view| view.living == many);
        assert!(found.is_some(), "not all are known to all 5 s after the last start");
        let (mut known, mut back) = (Vec::new(), Vec::new());
        for victim in [7, 25, 12] {
            net.kill(victim);
            let told = net.until(ms(2000), |view| view.living == many - 1);
            known.push(told.expect("not all know within 2 s that one was killed"));
            net.start(victim, settings(victim, many, net.now.as_millis() as u64, 1));
            back.push(net.until(ms(2000), |view| view.living == many).expect("not known again within 2 s"));
        }
        println!(
            "{many}: all known to all {found:?} after the last start, killed ones {known:?}, again {back:?}"
        );
        assert!(net.longest <= MAX_DATAGRAM_BYTES);
    }
}

/// Each row of the table in `roster.rs`: what happens to nine, and what those that it leaves here count then.
#[test]
fn who_comes_counts_at_once_and_who_is_away_only_where_that_is_safe() {
    let here = |net: &Net| (0..9).map(|number| net.places[number].members.is_some()).collect::<Vec<_>>();
    let cut = |net: &mut Net, from: usize| net.passes = Box::new(move |a, b| (a < from) == (b < from));

    let mut net = gathered(9, 2);
    net.leave(8);
    net.run(ms(600));
    net.kill(8);
    net.run(ms(3000));
    assert!(here(&net).iter().filter(|up| **up).count() == 8 && (0..8).all(|n| balancers(&net, n) == 8));
    assert_eq!(net.said(Duration::ZERO, is_lost), 0, "it had said so");
    net.start(8, settings(8, 9, 2, 2));
    assert!(
        net.until(ms(3000), |view| view.balancers == 9 && view.known == 9).is_some(),
        "back under its address"
    );

    // Four of nine are cut off: five go on as five, four as if all were here; then all come back.
    cut(&mut net, 5);
    net.run(ms(12_000));
    let counted: Vec<usize> = (0..9).map(|number| balancers(&net, number)).collect();
    assert_eq!(counted, [5, 5, 5, 5, 5, 9, 9, 9, 9]);
    let split = |number: usize| net.places[number].view.as_ref().unwrap().standing == Standing::Split;
    assert!((0..9).all(|number| split(number) == (number >= 5)));
    let parts: f64 = counted.iter().map(|count| 1.0 / *count as f64).sum();
    assert!(parts < 1.5, "parts add up to {parts}");
    net.passes = Box::new(|_, _| true);
    let healed = net.until(ms(5000), |view| view.balancers == 9 && view.standing == Standing::Converged);
    assert!(healed.is_some(), "not whole again 5 s after the cut");

    // One leaves and ends while another is cut off: that one hears of it afterwards, and does not wait for it.
    net.passes = Box::new(|a, b| a != 0 && b != 0);
    net.run(ms(4000));
    net.leave(8);
    net.run(ms(600));
    net.kill(8);
    net.run(ms(4000));
    net.passes = Box::new(|_, _| true);
    assert!(net.until(ms(5000), |view| view.living == 8 && view.known == 8).is_some());

    // Half and half: nobody grows.
    cut(&mut net, 4);
    net.run(ms(12_000));
    assert!((0..8).all(|number| balancers(&net, number) == 8), "half is no majority");
    net.passes = Box::new(|_, _| true);
    assert!(net.until(ms(5000), |view| view.living == 8).is_some());

    // A majority without three for 300 s goes on without them: then four of those five are a majority.
    (5..8).for_each(|number| net.kill(number));
    net.run(ms(290_000));
    assert!((0..5).all(|number| net.places[number].view.as_ref().unwrap().known == 8));
    net.run(ms(20_000));
    assert!((0..5).all(|number| net.places[number].view.as_ref().unwrap().known == 5));
}

#[test]
fn one_that_hears_of_nobody_counts_what_it_was_configured_with() {
    let mut net = Net::new(3, 3);
    net.start(0, settings(0, 40, 1, 3));
    net.run(ms(4000));
    assert_eq!(
        (balancers(&net, 0), net.places[0].view.as_ref().unwrap().standing),
        (40, Standing::Converging)
    );
    net.run(ms(3000));
    assert_eq!((balancers(&net, 0), net.places[0].view.as_ref().unwrap().standing), (40, Standing::Split));
    // More than were configured come: it counts them at once.
    let mut net = Net::new(6, 3);
    (0..6).for_each(|number| net.start(number, settings(number, 2, 1, 3)));
    assert!(net.until(ms(3000), |view| view.balancers == 6).is_some());
}

#[test]
fn one_that_stood_still_accuses_nobody_and_is_back_at_once() {
    let mut net = gathered(12, 4);
    let stopped = net.now;
    net.places[5].stopped_until = net.now + ms(6000);
    net.run(ms(6000));
    assert_eq!(net.said(stopped, is_lost), 11, "each other one lost it, and nobody else");
    assert!(net.until(ms(2000), |view| view.living == 12).is_some(), "not back within 2 s");
    assert!(
        !net.places[5].said.iter().any(|(at, said)| *at >= stopped && is_lost(said)),
        "it accused others"
    );
    assert!(counts(&net, 5).stalls > 0);
}

/// Whoever claims a later generation forgets whom it was about to call lost, and its suspicion may have been told to all
/// but the one that could answer it.
#[test]
fn nobody_stays_suspected_once_a_stalled_way_has_brought_all_it_held() {
    let mut stuck = Vec::new();
    for seed in 0..24 {
        let mut net = gathered(6, seed);
        net.stalls = Box::new(|from, to| (from % 3 == 0) != (to % 3 == 0));
        let lost = (0..20_000).step_by(10).find(|_| {
            net.run(ms(10));
            [1, 2, 4, 5].iter().all(|&number| balancers(&net, number) == 4)
        });
        assert!(lost.is_some(), "those behind the stalled way are not missed");
        net.release();
        let settled = |view: &View| view.living == 6 && view.standing == Standing::Converged;
        if net.until(ms(8000), settled).is_none() {
            stuck.push(seed);
        }
    }
    assert!(
        stuck.is_empty(),
        "8 s later not all see all as here and nobody as suspect, on seeds {stuck:?} of 24"
    );
}

#[test]
fn lost_doubled_and_overtaken_datagrams_cost_no_member() {
    let mut net = Net::new(32, 5);
    (net.loss, net.doubled) = (0.05, 0.1);
    (0..32).for_each(|number| net.start(number, settings(number, 32, 1, 5)));
    assert!(net.until(ms(5000), |view| view.living == 32).is_some());
    let since = net.now;
    net.run(ms(10_000));
    assert_eq!(net.said(since, is_lost), 0, "with one in twenty lost");
    assert!((0..32).all(|number| counts(&net, number).old > 0), "doubled ones are heard once");
    // Nearly a third lost: some are taken for gone, and come back; nobody stays away.
    net.loss = 0.3;
    net.run(ms(10_000));
    assert!((0..32).all(|number| net.places[number].view.as_ref().unwrap().living >= 24));
    net.loss = 0.0;
    assert!(net.until(ms(10_000), |view| view.living == 32 && view.suspects == 0).is_some());
}

#[test]
fn what_is_torn_foreign_later_or_old_is_dropped_and_counted() {
    let mut net = gathered(4, 6);
    net.kept = Some(Vec::new());
    net.run(ms(1000));
    let kept = net.kept.take().unwrap();
    let (_, sample) = kept.iter().find(|(to, _)| *to == 0).unwrap().clone();
    let before = counts(&net, 0);
    let since = |net: &Net| {
        let now = counts(net, 0);
        [
            now.corrupt - before.corrupt,
            now.foreign - before.foreign,
            now.newer - before.newer,
            now.malformed - before.malformed,
        ]
    };
    for at in 25..sample.len() {
        let mut flipped = sample.clone();
        flipped[at] ^= 1 << (at % 8);
        net.deliver(0, &flipped);
    }
    (0..sample.len()).for_each(|length| net.deliver(0, &sample[..length]));
    let [torn, foreign, newer, senseless] = since(&net);
    assert_eq!((torn + foreign, newer, senseless), (2 * sample.len() as u64 - 25, 0, 0));

    // Another cluster, and a build of later days: the version is the byte behind the sum.
    let mut other = Members::new(Settings { cluster: "other".to_owned(), ..settings(3, 4, 1, 8) }, net.now);
    let mut out = Vec::new();
    other.tick(net.now, &mut out);
    let sent = out
        .iter()
        .find_map(|output| if let Output::Send(_, datagram) = output { Some(datagram) } else { None });
    let foreigner = sent.unwrap();
    let before_foreign = counts(&net, 0).foreign;
    net.deliver(0, foreigner);
    assert_eq!(counts(&net, 0).foreign, before_foreign + 1);
    let mut later = sample.clone();
    later[4] = 2;
    let mut sealed = b"made\0".to_vec();
    sealed.extend(&later[4..]);
    later[..4].copy_from_slice(&crc32fast::hash(&sealed).to_le_bytes());
    net.deliver(0, &later);
    assert_eq!(since(&net)[2], 1);

    // A day later everything that was ever said comes once more, to everybody.
    net.run(ms(5000));
    let (old, since, views) =
        (counts(&net, 0).old, net.now, net.places.iter().map(|p| p.view.clone()).collect::<Vec<_>>());
    kept.iter().for_each(|(to, datagram)| net.deliver(*to, datagram));
    let came = kept.iter().filter(|(to, _)| *to == 0).count() as u64;
    assert_eq!(counts(&net, 0).old - old, came);
    net.run(ms(5000));
    assert_eq!(net.said(since, |_| true), 0);
    assert!(net.places.iter().zip(views).all(|(place, view)| place.view == view), "nothing has changed");
}

#[test]
fn a_clock_put_back_keeps_nobody_out_and_a_name_that_stands_twice_is_told() {
    let mut net = gathered(5, 7);
    // Started in a time far ahead, killed, and started again with the clock put right.
    for (generation, most) in [(u64::from(u32::MAX) * 400, 3000), (1_700_000_000_000, 8000)] {
        net.kill(4);
        assert!(net.until(ms(3000), |view| view.living == 4).is_some());
        net.start(4, settings(4, 5, generation, 7));
        let back = net.until(ms(most), |view| view.living == 5);
        assert!(back.is_some(), "generation {generation} is not back within {most} ms");
    }
    net.kill(3);
    assert!(net.until(ms(3000), |view| view.living == 4).is_some());
    let mut twice = settings(3, 5, 2, 7);
    twice.me.name = "copy-1".to_owned();
    net.start(3, twice);
    assert!(
        net.until(ms(3000), |view| view.living == 5 && view.duplicate_names == ["copy-1"]).is_some(),
        "both count, and all say so"
    );
    net.kill(3);
    assert!(net.until(ms(3000), |view| view.duplicate_names.is_empty()).is_some());
}

/// A folder's process says how often it started there; the others remember.
#[test]
fn a_state_folder_put_back_or_copied_is_told_to_its_process_by_the_others() {
    let mut net = gathered(5, 10);
    let older = |net: &Net, number: usize| {
        let said = net.places[number].said.iter().rev();
        said.filter_map(
            |(_, said)| if let Event::NewerStartSeen(start) = said { Some(start.number) } else { None },
        )
        .next()
    };
    let mut generation = 1;
    let mut start = |net: &mut Net, place: usize, number: u64, at: u64| {
        net.kill(place);
        generation += 1;
        net.places[place].said.clear();
        let mut settings = settings(place, 5, generation, 10);
        settings.me.start = Some(Start { folder: 77, number, at });
        net.start(place, settings);
        net.run(ms(4000));
    };
    // Seven starts as they should be, the last after the clock was put back.
    start(&mut net, 4, 6, 1000);
    start(&mut net, 4, 7, 900);
    assert_eq!(older(&net, 4), None);
    // Put back to before the last start, which thereby comes twice; and to long before.
    start(&mut net, 4, 7, 2000);
    assert_eq!(older(&net, 4), Some(7));
    start(&mut net, 4, 3, 3000);
    assert_eq!(older(&net, 4), Some(7));
    // Mended by a later number; and a copy of the folder that another place starts on.
    start(&mut net, 4, 8, 4000);
    assert_eq!(older(&net, 4), None);
    start(&mut net, 3, 8, 5000);
    assert_eq!((older(&net, 3), older(&net, 4)), (Some(8), None));
    assert!(net.running().all(|place| place.view.as_ref().unwrap().living == 5), "all count, as all serve");
}

#[test]
fn what_a_member_says_does_not_grow_with_the_fleet_and_the_longest_names_fit() {
    let mut costs = Vec::new();
    for size in [16, 128] {
        let mut net = gathered(size, 8);
        net.run(ms(5000));
        let bytes = |net: &Net| net.places.iter().map(|place| place.bytes).sum::<u64>();
        let before = bytes(&net);
        net.run(ms(10_000));
        costs.push((bytes(&net) - before) as f64 / 10.0 / size as f64);
    }
    assert!(costs[1] < costs[0] * 1.5 && costs[1] < 4000.0, "bytes a member and second: {costs:?}");

    let mut net = Net::new(20, 9);
    for number in 0..20 {
        let long = settings(number, 20, 1, 9);
        let (name, zone) = (format!("{number:0>MAX_NAME_BYTES$}"), "z".repeat(MAX_NAME_BYTES));
        net.start(number, Settings { me: Peer { name, zone, ..long.me.clone() }, ..long });
    }
    assert!(net.until(ms(10_000), |view| view.living == 20).is_some());
}
