//! Copies whose system calls and clocks fail as Linux documents keep the rules; what is wrong with an injection is said.

mod support;

use gullpulley_lab::check::verdicts;
use gullpulley_lab::deployment::Deployment;
use gullpulley_lab::experiment::Experiment;
use gullpulley_lab::plan::Plan;
use gullpulley_lab::run::run;
use std::sync::Arc;
use std::time::Duration;
use support::{PATIENCE, TWO_ZONES, all, build_injection, fault, metric, program};
use tokio::time::{Instant, sleep};

const RULES: &str = include_str!("../experiments/rules.toml");

/// The rules that did not hold under an injection, and how many faults were injected.
fn play(inject: &str, seed: u64) -> (Vec<String>, usize) {
    build_injection();
    let folder = tempfile::tempdir().unwrap();
    let mut experiment = Experiment::parse("test", &format!("{RULES}\n[inject]\n{inject}\n")).unwrap();
    experiment.seed = seed;
    let copies = experiment.copies();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let run = runtime.block_on(run(Arc::new(experiment), program(), folder.path(), |_| {})).unwrap();
    let noted = copies.iter().map(|copy| {
        let file = folder.path().join(&copy.name).join("injected");
        std::fs::read_to_string(file).unwrap().lines().filter(|line| !line.contains("loaded")).count()
    });
    let broken = verdicts(&run).into_iter().filter(|verdict| !verdict.holds);
    (broken.map(|verdict| verdict.check).collect(), noted.sum())
}

/// Half of all reads brought at most 40 bytes, and requests went to an endpoint long after its drain had been written
/// to the copies: 1 to 8 of them on four seeds of six. The runtime takes a read that is shorter than its buffer to mean
/// that the socket is empty, and waits for the next event; the rest of a line of the list then lay unread until the
/// empty line 2 s later. Clients' connections already read until the system said that nothing was left.
#[test]
fn short_reads_and_writes_lose_nothing_and_delay_nothing() {
    for seed in [4, 5, 7] {
        let (broken, injected) = play("short_read = 0.5\nshort_write = 0.3", seed);
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
        assert!(injected > 100, "seed {seed}: {injected} short reads and writes");
    }
}

#[test]
fn failing_calls_broken_connections_hold_ups_and_stepped_clocks_break_no_rule() {
    let clock = "clock = [{ at = \"300ms\", forward = \"1h\" }, { at = \"1s\", back = \"2h\" }, \
                 { at = \"2s\", forward = \"9s\" }]";
    let calls = "accept = 0.2\nsocket = 0.03\nconnect = 0.06\nwait = 0.1";
    for (inject, least) in [(calls, 5), ("broken = 0.01\nhold_up = 0.004", 3), (clock, 0)] {
        let (broken, injected) = play(inject, 3);
        assert_eq!(broken, Vec::<String>::new(), "{inject}");
        assert!(injected >= least, "{inject}: {injected} faults");
    }
}

/// While the disks of three voters refused for 14 s their leader was killed. Each vote is written before it is said, the
/// write failed, and the two that were left voted no more until they were started again: the log had no leader for good.
#[tokio::test(flavor = "multi_thread")]
async fn voters_whose_disks_fail_for_a_while_vote_again_once_the_disks_take_a_fresh_file() {
    build_injection();
    let folder = tempfile::tempdir().unwrap();
    let third = "[[zone]]\nname = \"c\"\ncopies = 1\nendpoints = { plain = 1 }\n[copy.state]\n[copy.fleet]\n\
                 round_trip = \"100ms\"\nvoters = [\"a-0\", \"b-0\", \"c-0\"]\n";
    // Longer than an election takes: 7 s in 99 of 100 at this round trip.
    let inject = "[inject]\ndisk = [{ at = \"12s\", lasts = \"14s\" }]\n";
    let experiment = Experiment::parse("disks", &format!("{TWO_ZONES}{third}{inject}")).unwrap();
    let deployment = Deployment::stand(&Arc::new(experiment), program(), folder.path()).await.unwrap();
    let injected = |copy: usize| folder.path().join(&deployment.copies[copy].name).join("injected");
    let leads = |copy| metric(&deployment, copy, "fleet_log_leader");
    // Each disk fails by its own process's time, which begins with the first note. The last to start decides.
    let began = |copy| std::fs::metadata(injected(copy)).unwrap().created().unwrap();
    let last = (0..3).map(began).max().unwrap();
    let age = || last.elapsed().unwrap_or_default();
    let mut leader = None;
    while leader.is_none() || age() < Duration::from_millis(12_500) {
        for copy in 0..3 {
            leader = leads(copy).await.filter(|said| *said == 1.0).map(|_| copy).or(leader);
        }
        assert!(age() < Duration::from_secs(16), "no leader while the disks fail");
        sleep(Duration::from_millis(50)).await;
    }
    let leader = leader.unwrap();
    let killed = deployment.copies[leader].name.clone();
    deployment.strike(&fault(&format!("what = \"kill\"\nof = \"{killed}\""))).await.unwrap();
    let others: Vec<usize> = (0..3).filter(|copy| *copy != leader).collect();
    let begun = Instant::now();
    while leads(others[0]).await != Some(1.0) && leads(others[1]).await != Some(1.0) {
        assert!(begun.elapsed() < PATIENCE, "none of {others:?} ever leads");
        sleep(Duration::from_millis(50)).await;
    }
    all(&deployment, &others, "state_kept", |kept| kept == 1.0).await;
    let noted = |copy: &usize| std::fs::read_to_string(injected(*copy)).unwrap().lines().count() - 1;
    assert!(others.iter().map(noted).sum::<usize>() > 0, "a disk failed");
}

#[test]
fn an_injection_that_makes_no_sense_is_named_with_its_line_and_what_there_is() {
    for (inject, told) in [
        ("acept = 0.1", "unknown field `acept`, expected one of `accept`, `socket`"),
        ("accept = 2.0", "inject: accept = 2: say which part, from 0 to 1"),
        (
            "clock = [{ at = \"1s\", ahead = \"1h\" }]",
            "unknown field `ahead`, expected one of `at`, `forward`",
        ),
    ] {
        let text = format!("{RULES}\n[inject]\n{inject}\n");
        let error = Experiment::parse("test", &text).expect_err(told).to_string();
        assert!(error.contains(told), "{error}");
    }
    for (plan, told) in [
        ("accept=0.1;acept=0.2", "faults: there is no `acept`"),
        ("accept", "faults: `accept` is no key=value"),
        ("accept=7", "faults: accept: `7` is no part from 0 to 1"),
        ("clock=5", "faults: clock: `5` is no list of steps in milliseconds"),
    ] {
        assert_eq!(plan.parse::<Plan>().expect_err(told).to_string(), told);
    }
}
