//! What on-call would see, a line a change, in made time. Each transcript was read before it was approved; where one differs,
//! `cargo insta review` shows how, and nothing accepts it by itself.

#[path = "support/agreement.rs"]
mod net;

use net::{Net, ms, name};

/// What happened since the play was founded.
fn transcript(net: &Net, from: usize) -> String {
    net.lines[from..].join("\n")
}

/// A founded fleet of three voters and one that follows, and how many lines that took.
fn founded(seed: u64) -> (Net, usize) {
    let net = Net::founded(3, 1, seed);
    let from = net.lines.len();
    (net, from)
}

#[test]
fn three_voters_start_and_found_a_log() {
    let net = Net::founded(3, 1, 1);
    insta::assert_snapshot!(transcript(&net, 0));
}

#[test]
fn the_leader_is_killed_and_comes_back() {
    let (mut net, from) = founded(2);
    let leader = net.leader().unwrap();
    net.note(&format!("-- {} is killed, and an order given at {}", name(leader), name(3)));
    net.kill(leader);
    net.set(3, "a");
    net.run(ms(4000));
    net.note(&format!("-- {} starts again", name(leader)));
    net.start(leader);
    net.run(ms(2000));
    insta::assert_snapshot!(transcript(&net, from));
}

#[test]
fn the_links_to_the_leader_stall_one_way() {
    let (mut net, from) = founded(3);
    let leader = net.leader().unwrap();
    net.note(&format!("-- nobody hears {} any more; it hears all", name(leader)));
    net.passes = Box::new(move |from, _| from != leader);
    net.run(ms(4000));
    net.note("-- it is heard again");
    net.passes = Box::new(|_, _| true);
    net.run(ms(2000));
    insta::assert_snapshot!(transcript(&net, from));
}

#[test]
fn the_leaders_disk_stalls() {
    let (mut net, from) = founded(4);
    let leader = net.leader().unwrap();
    net.note(&format!(
        "-- the disk of {} stalls for 5 s; an order a second is given at {}",
        name(leader),
        name(3)
    ));
    net.places[leader].disk_stalled_until = net.now + ms(5000);
    for _ in 0..5 {
        net.set(3, "a");
        net.run(ms(1000));
    }
    insta::assert_snapshot!(transcript(&net, from));
}

#[test]
fn a_voter_finds_its_folder_empty() {
    let (mut net, from) = founded(5);
    let lost = (net.leader().unwrap() + 1) % 3;
    net.note(&format!("-- {} is killed, and starts on an empty folder", name(lost)));
    net.kill(lost);
    net.wipe(lost);
    net.start(lost);
    net.run(ms(4000));
    insta::assert_snapshot!(transcript(&net, from));
}

#[test]
fn two_of_three_voters_find_their_folders_empty() {
    let (mut net, from) = founded(6);
    net.note("-- copy-0 and copy-1 are killed, and start on empty folders");
    for number in [0, 1] {
        net.kill(number);
        net.wipe(number);
        net.start(number);
    }
    net.set(3, "a");
    net.run(ms(6000));
    insta::assert_snapshot!(transcript(&net, from));
}

#[test]
fn a_voter_loses_its_folder_while_the_log_is_being_founded() {
    let mut net = Net::new(3, 0, 7);
    (0..3).for_each(|number| net.start(number));
    net.run(ms(400));
    net.note("-- copy-2 is killed, and starts on an empty folder");
    net.kill(2);
    net.wipe(2);
    net.start(2);
    net.run(ms(2000));
    net.note("-- all are killed, and start on empty folders");
    for number in 0..3 {
        net.kill(number);
        net.wipe(number);
        net.start(number);
    }
    net.run(ms(4000));
    insta::assert_snapshot!(transcript(&net, 0));
}

#[test]
fn two_voters_and_two_that_follow_are_cut_off_from_three() {
    let mut net = Net::founded(5, 4, 8);
    let from = net.lines.len();
    net.note(
        "-- copy-0, copy-1, copy-5 and copy-6 are cut off; an order is given at copy-5, and one at copy-7",
    );
    let apart = |number: usize| [0, 1, 5, 6].contains(&number);
    net.passes = Box::new(move |from, to| apart(from) == apart(to));
    net.set(5, "a");
    net.set(7, "a");
    net.run(ms(6000));
    net.note("-- all are together again");
    net.passes = Box::new(|_, _| true);
    net.run(ms(2000));
    insta::assert_snapshot!(transcript(&net, from));
}
