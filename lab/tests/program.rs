//! Several copies of the program with faults between them.

mod support;

use gullpulley_lab::check::verdicts;
use gullpulley_lab::experiment::{Experiment, Fault};
use gullpulley_lab::run::run;
use std::sync::Arc;
use std::time::Duration;
use support::{PATIENCE, TWO_ZONES, fault, figure, program, stand, wait};
use tokio::time::{Instant, sleep, timeout};

#[tokio::test]
async fn copies_go_on_with_the_list_they_have_while_discovery_is_torn_or_down_and_follow_it_again() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand(program(), "", folder.path()).await;
    let served = async || {
        let request = plain_request(&deployment.copies[0].name);
        let answer = timeout(PATIENCE, deployment.copies[0].pool.ask(request)).await.unwrap();
        answer.unwrap().status.as_u16()
    };
    for what in ["discovery-torn", "discovery-down"] {
        let faulty = fault(&format!("what = \"{what}\""));
        let missing = fault("what = \"discovery-missing\"\nof = \"b\"");
        deployment.strike(&faulty).await.unwrap();
        deployment.strike(&missing).await.unwrap();
        assert_eq!(served().await, 200, "{what}");
        assert_eq!(
            figure(&deployment, 0, "members").await,
            4.0,
            "{what}: nothing is believed of half a list"
        );
        deployment.lift(&faulty).await.unwrap();
        for copy in [0, 1] {
            wait(&deployment, copy, "members", |members| members == 2.0).await;
        }
        deployment.lift(&missing).await.unwrap();
        wait(&deployment, 1, "members", |members| members == 4.0).await;
        wait(&deployment, 0, "members", |members| members == 4.0).await;
    }
}

#[tokio::test]
async fn what_a_silent_watch_misses_is_known_within_six_seconds() {
    // Falling silent alone, as discovery goes down for a moment, and right after an outage; lists come in any form.
    for (layout, around) in [("", ""), ("indented = true\npieces = 7\n", "during"), ("", "before")] {
        let folder = tempfile::tempdir().unwrap();
        let deployment = stand(program(), &format!("[discovery]\n{layout}"), folder.path()).await;
        let down = fault("what = \"discovery-down\"");
        if around == "before" {
            let calls_fail = async || {
                let told =
                    gullpulley_lab::http::get(deployment.copies[0].discovery[0], "/api/targets", PATIENCE);
                told.await.is_some_and(|answer| answer.status == 503)
            };
            deployment.strike(&down).await.unwrap();
            assert!(calls_fail().await);
            deployment.lift(&down).await.unwrap();
            for copy in [0, 1] {
                // News comes through again: the watch is up.
                let drain = fault("what = \"drain\"\nof = \"a/plain-0\"");
                deployment.strike(&drain).await.unwrap();
                wait(&deployment, copy, "members_unavailable", |out| out == 1.0).await;
                deployment.lift(&drain).await.unwrap();
                wait(&deployment, copy, "members_unavailable", |out| out == 0.0).await;
            }
        }
        deployment.strike(&fault("what = \"discovery-silent\"")).await.unwrap();
        let silent = Instant::now();
        deployment.strike(&fault("what = \"discovery-missing\"\nof = \"b\"")).await.unwrap();
        if around == "during" {
            deployment.strike(&down).await.unwrap();
            sleep(Duration::from_millis(300)).await;
            deployment.lift(&down).await.unwrap();
        }
        for copy in [0, 1] {
            wait(&deployment, copy, "members", |members| members == 2.0).await;
        }
        let within = silent.elapsed();
        assert!(within < Duration::from_secs(6), "{layout}{around}: known after {within:?}");
    }
}

#[tokio::test]
async fn what_a_process_keeps_outlives_cuts_and_what_its_disk_spoils_is_set_aside() {
    let folder = tempfile::tempdir().unwrap();
    let cut = "at = \"0s\"\nwhat = \"power-cut\"\nof = \"a\"\n";
    let more = format!("[copy.state]\n[[fault]]\n{cut}");
    let deployment = stand(program(), &more, folder.path()).await;
    let cut: Fault = toml::from_str(cut).unwrap();
    let state = async |copy: usize, name: &str, value: f64| {
        let begun = Instant::now();
        loop {
            let metrics = deployment.copies[copy].metrics().await.unwrap_or_default();
            let line = format!("gullpulley_state_{name} ");
            let said = metrics.lines().find_map(|found| found.strip_prefix(&*line)?.parse::<f64>().ok());
            if said == Some(value) {
                return;
            }
            assert!(begun.elapsed() < PATIENCE, "{name} of copy {copy} is {said:?}, not {value}");
            sleep(Duration::from_millis(20)).await;
        }
    };
    for start in 1..=4 {
        state(0, "incarnation", f64::from(start)).await;
        deployment.strike(&cut).await.unwrap();
        deployment.lift(&cut).await.unwrap();
    }
    state(0, "set_aside", 0.0).await;
    let kill = fault("what = \"kill\"\nof = \"b-0\"");
    state(1, "incarnation", 1.0).await;
    deployment.strike(&kill).await.unwrap();
    let file = folder.path().join("b-0/state/memory.redb");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes.iter_mut().skip(4096).for_each(|byte| *byte ^= 0x55);
    std::fs::write(&file, &bytes).unwrap();
    deployment.lift(&kill).await.unwrap();
    state(1, "set_aside", 1.0).await;
    state(1, "incarnation", 1.0).await;
    state(1, "kept", 1.0).await;
    let answer = timeout(PATIENCE, deployment.copies[1].pool.ask(plain_request("b"))).await.unwrap();
    assert_eq!(answer.unwrap().status.as_u16(), 200, "serving goes on without what was set aside");
}

/// A request that can be sent at any time.
fn plain_request(id: &str) -> hyper::Request<http_body_util::Full<hyper::body::Bytes>> {
    let experiment = Experiment::parse("test", TWO_ZONES).unwrap();
    experiment.class[0].request(&format!("{id}-1"), "", PATIENCE).body(Default::default()).unwrap()
}

#[test]
fn copies_told_to_end_one_after_the_other_under_load_lose_nothing() {
    let restarts = "[[fault]]\nat = \"300ms\"\nlasts = \"400ms\"\nwhat = \"term\"\nof = \"a-0\"\n\
                    [[fault]]\nat = \"1200ms\"\nlasts = \"400ms\"\nwhat = \"term\"\nof = \"b-0\"\n";
    let text = TWO_ZONES
        .replace("lasts = \"1s\"", "lasts = \"2s\"")
        .replace("rate = 10.0", "rate = 100.0\nretries = 8\nfront_lag = \"100ms\"");
    let experiment = Arc::new(Experiment::parse("test", &format!("{text}{restarts}")).unwrap());
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let done = runtime.block_on(run(experiment, program(), folder.path(), |_| {})).unwrap();
    let broken: Vec<_> = verdicts(&done).into_iter().filter(|verdict| !verdict.holds).collect();
    assert!(broken.is_empty() && done.faults.len() == 2, "{broken:?}");
    // A client whose try found nobody at the door asks again; none is left without an answer.
    let unanswered = done.records.iter().filter(|record| record.endpoint.is_none()).count();
    assert_eq!(unanswered, 0, "of {}", done.records.len());
}
