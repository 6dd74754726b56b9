//! A deployment as tests use it: stood up, struck, and asked at its copies' doors.

mod support;

use gullpulley_lab::deployment::Deployment;
use gullpulley_lab::experiment::{Experiment, Fault};
use gullpulley_lab::http::COPY;
use gullpulley_lab::ledger::Breach;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use support::{PATIENCE, STAND_IN, TWO_ZONES, fault, figure, wait};
use tokio::time::{Instant, sleep};

async fn stand(more: &str, folder: &Path) -> Deployment {
    support::stand(Path::new(STAND_IN), more, folder).await
}

#[tokio::test]
async fn copies_hear_of_each_other_through_the_lab_and_not_past_it() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("[copy.fleet]\n", folder.path()).await;
    for copy in [0, 1] {
        wait(&deployment, copy, "heard", |heard| heard > 0.0).await;
    }
    let cut = fault("what = \"cut-off-one-way\"\nof = \"a-0\"");
    deployment.strike(&cut).await.unwrap();
    let before = figure(&deployment, 1, "heard").await;
    let there = figure(&deployment, 0, "heard").await;
    wait(&deployment, 0, "heard", |heard| heard > there + 3.0).await;
    let after = figure(&deployment, 1, "heard").await;
    assert!(
        after <= before + 1.0,
        "b-0 heard {after} of a-0, after {before}: one may have been on its way"
    );
    deployment.lift(&cut).await.unwrap();
    wait(&deployment, 1, "heard", |heard| heard > after).await;
}

#[tokio::test]
async fn a_faulty_discovery_hides_a_zone_breaks_off_and_makes_callers_wait() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("[discovery]\nper_line = \"1ms\"\npatience = \"100ms\"\n", folder.path()).await;
    wait(&deployment, 0, "members", |members| members == 4.0).await;
    let missing = fault("what = \"discovery-missing\"\nof = \"b\"");
    deployment.strike(&missing).await.unwrap();
    wait(&deployment, 0, "members", |members| members == 2.0).await;
    let torn = fault("what = \"discovery-torn\"");
    deployment.strike(&torn).await.unwrap();
    deployment.lift(&missing).await.unwrap();
    let asked = |copy: usize| {
        let discovery = deployment.copies[copy].discovery[0];
        gullpulley_lab::http::get(discovery, "/api/targets", PATIENCE)
    };
    assert_eq!(asked(0).await, None, "half a list, and then its end");
    deployment.lift(&torn).await.unwrap();
    wait(&deployment, 0, "members", |members| members == 4.0).await;
    // Four lines take 4 ms: of a hundred callers at once the last can't have its turn within 100 ms.
    let all: Vec<_> = (0..100).map(|_| tokio::spawn(asked(0))).collect();
    let (mut told, mut refused) = (0, 0);
    for answer in all {
        let answer = answer.await.unwrap().unwrap();
        (told, refused) =
            (told + u32::from(answer.status == 200), refused + u32::from(answer.status == 503));
    }
    assert!(told >= 1 && refused >= 20 && told + refused == 100, "{told} told, {refused} sent away");
}

#[tokio::test]
async fn a_drain_counts_as_told_to_the_copy_that_it_was_written_to_and_to_others_later() {
    let folder = tempfile::tempdir().unwrap();
    let more = "[copy.stand_in]\nbreaks = \"drain\"\n[discovery]\ntold_after = \"60s\"\n";
    let deployment = stand(more, folder.path()).await;
    for copy in [0, 1] {
        wait(&deployment, copy, "members", |members| members == 4.0).await;
    }
    deployment.strike(&fault("what = \"drain\"\nof = \"a\"")).await.unwrap();
    let list = gullpulley_lab::http::get(deployment.copies[0].discovery[0], "/api/targets", PATIENCE).await;
    assert!(list.unwrap().body.contains("draining"));
    let counts = |copy| deployment.tellings.counts(2, Some(copy)).unwrap();
    let begun = Instant::now();
    while counts(0) > Instant::now() {
        assert!(begun.elapsed() < PATIENCE, "it has been written to a-0");
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(600)).await; // the grace
    let experiment = Experiment::parse("test", TWO_ZONES).unwrap();
    let mut drained = Vec::new();
    for (copy, id) in [0, 1].into_iter().flat_map(|copy| (0..40).map(move |id| (copy, id))) {
        let request = experiment.class[0].request(&format!("q{copy}-{id}"), "", PATIENCE);
        let request = request.header(COPY, copy).body(Default::default()).unwrap();
        let answer = deployment.copies[copy].pool.ask(request).await.unwrap();
        drained.extend(answer.body.starts_with("a/").then_some(copy));
    }
    assert!(drained.contains(&0) && drained.contains(&1), "both still send there: {drained:?}");
    let breaches = deployment.ledger.so_far().1;
    let of = |breach: &Breach| matches!(breach, Breach::Draining { copy: Some(0), .. });
    assert!(breaches.iter().all(of), "b-0 has not been told: {breaches:?}");
    assert_eq!(breaches.len(), drained.iter().filter(|copy| **copy == 0).count());
}

#[tokio::test]
async fn an_endpoint_of_an_upper_tier_lives_and_dies_with_the_copy_beside_it() {
    let folder = tempfile::tempdir().unwrap();
    let tiers = "[[tier]]\nname = \"x\"\nwork = 0.5\n[[tier]]\nname = \"y\"\nwork = 0.5\ncalls = 2.0\n\
                 [kind.deep]\ntier = 1\ncores = 1\nwaiting = 30\n";
    let text = TWO_ZONES.replace("{ plain = 2 }", "{ plain = 1, deep = 1 }");
    let experiment = Arc::new(Experiment::parse("test", &format!("{text}{tiers}")).unwrap());
    let deployment = Deployment::stand(&experiment, Path::new(STAND_IN), folder.path()).await.unwrap();
    let names: Vec<&str> = deployment.copies.iter().map(|copy| copy.name.as_str()).collect();
    assert_eq!(names, ["a-0", "b-0", "a-plain-0", "b-plain-0"]);
    wait(&deployment, 2, "members", |members| members == 2.0).await;
    let ask = || async {
        let request = experiment.class[0].request("q1-1", "", PATIENCE).body(Default::default()).unwrap();
        deployment.copies[0].pool.ask(request).await.map(|answer| answer.status.as_u16())
    };
    assert_eq!(ask().await, Ok(200));
    assert_eq!(deployment.ledger.so_far().0, 3, "one attempt at the first tier, two calls of the second");
    let gone = fault("what = \"gone\"\nof = \"a/plain-0\"");
    deployment.strike(&gone).await.unwrap();
    assert!(!deployment.copies[2].is_ready().await, "its copy has ended with it");
    deployment.lift(&gone).await.unwrap();
    assert!(deployment.copies[2].is_ready().await, "and is there before it");
}

#[tokio::test]
async fn a_power_cut_leaves_what_was_durable_and_a_disk_fails_fills_up_and_slows_down() {
    for (breaks, keeps) in [("", true), ("breaks = \"sync\"", false)] {
        let folder = tempfile::tempdir().unwrap();
        let cut = "at = \"0s\"\nwhat = \"power-cut\"\nof = \"a\"\n";
        let more = format!("[copy.state]\n[copy.stand_in]\n{breaks}\n[[fault]]\n{cut}");
        let deployment = stand(&more, folder.path()).await;
        assert!(deployment.copies[0].is_warded() && !deployment.copies[1].is_warded());
        wait(&deployment, 0, "kept", |kept| kept >= 5.0).await;
        let told = figure(&deployment, 0, "kept").await;
        let cut: Fault = toml::from_str(cut).unwrap();
        deployment.strike(&cut).await.unwrap();
        assert!(!deployment.copies[0].is_ready().await);
        deployment.lift(&cut).await.unwrap();
        let left = figure(&deployment, 0, "kept").await;
        assert_eq!(left >= told, keeps, "{left} after {told}");
        if !keeps {
            continue;
        }
        let stays = async |what: &str| {
            let disk = fault(&format!("what = \"{what}\"\nof = \"a-0\"\nby = 600000.0"));
            deployment.strike(&disk).await.unwrap();
            sleep(Duration::from_millis(100)).await; // a write may be under way
            let before = figure(&deployment, 0, "kept").await;
            sleep(Duration::from_millis(300)).await;
            assert_eq!(
                figure(&deployment, 0, "kept").await,
                before,
                "{what}: nothing more is kept, and it answers"
            );
            deployment.lift(&disk).await.unwrap();
            (before, disk)
        };
        for what in ["disk-full", "disk-failing"] {
            let (before, _) = stays(what).await;
            wait(&deployment, 0, "kept", |kept| kept > before).await;
        }
        stays("disk-slow").await; // what waits for the disk waits on
        assert_eq!(deployment.copies[0].crashes.load(std::sync::atomic::Ordering::SeqCst), 0);
    }
}
