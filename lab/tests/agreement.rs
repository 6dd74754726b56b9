//! Agreement among real copies: what each says of the log at its door while voters end, are cut off and lose their memory.

mod support;

use gullpulley_lab::deployment::Deployment;
use gullpulley_lab::experiment::Experiment;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use support::{PATIENCE, TWO_ZONES, all, fault, metric, program};
use tokio::time::{Instant, sleep};

/// Three zones with two copies each, the first of each a voter.
async fn stand(more: &str, folder: &Path) -> Deployment {
    let third = "[[zone]]\nname = \"c\"\ncopies = 2\nendpoints = { plain = 1 }\n[copy.state]\n[copy.fleet]\n\
                 round_trip = \"100ms\"\nvoters = [\"a-0\", \"b-0\", \"c-0\"]\n";
    let text = format!("{}{third}{more}", TWO_ZONES.replace("copies = 1", "copies = 2"));
    let experiment = Arc::new(Experiment::parse("agreement", &text).unwrap());
    Deployment::stand(&experiment, program(), folder).await.unwrap()
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
const VOTERS: [usize; 3] = [0, 2, 4];
const NAMES: [&str; 6] = ["a-0", "a-1", "b-0", "b-1", "c-0", "c-1"];

/// Waits until these copies all say at least this of the log.
async fn all_reach(deployment: &Deployment, copies: &[usize], name: &str, least: f64) {
    all(deployment, copies, &format!("fleet_log_{name}"), |said| said >= least).await;
}

/// Waits until no change of who votes is under way: until then a majority of those before is needed too.
async fn changed(deployment: &Deployment) {
    let begun = Instant::now();
    for copy in VOTERS {
        while metric(deployment, copy, "fleet_log_changing").await != Some(0.0) {
            assert!(begun.elapsed() < PATIENCE, "{copy} stays in a change of voters");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The voter that leads, once one does.
async fn leader(deployment: &Deployment, among: &[usize]) -> usize {
    let begun = Instant::now();
    loop {
        for &copy in among {
            if metric(deployment, copy, "fleet_log_leader").await == Some(1.0) {
                return copy;
            }
        }
        assert!(begun.elapsed() < PATIENCE, "none of {among:?} leads");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn applied(deployment: &Deployment, copy: usize) -> f64 {
    metric(deployment, copy, "fleet_log_applied").await.unwrap()
}

fn kill(copy: usize) -> gullpulley_lab::experiment::Fault {
    fault(&format!("what = \"kill\"\nof = \"{}\"", NAMES[copy]))
}

#[tokio::test]
async fn the_voters_elect_another_leader_when_theirs_is_killed_or_cut_off_and_all_follow() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("", folder.path()).await;
    all_reach(&deployment, &ALL, "applied", 1.0).await;
    for what in ["kill", "cut-off"] {
        let first = leader(&deployment, &VOTERS).await;
        let agreed = applied(&deployment, first).await;
        let of = if what == "kill" { NAMES[first] } else { &NAMES[first][..1] };
        let strike = fault(&format!("what = \"{what}\"\nof = \"{of}\""));
        deployment.strike(&strike).await.unwrap();
        let others: Vec<usize> = VOTERS.into_iter().filter(|copy| *copy != first).collect();
        leader(&deployment, &others).await;
        // A leader's first word in its term is an entry, and it reaches those that follow.
        let follows: Vec<usize> = ALL.into_iter().filter(|copy| copy / 2 != first / 2).collect();
        all_reach(&deployment, &follows, "applied", agreed + 1.0).await;
        deployment.lift(&strike).await.unwrap();
        all_reach(&deployment, &ALL, "applied", agreed + 1.0).await;
        all_reach(&deployment, &VOTERS, "led", 1.0).await;
    }
}

#[tokio::test]
async fn all_voters_end_at_once_and_go_on_with_what_was_agreed() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("", folder.path()).await;
    let first = leader(&deployment, &VOTERS).await;
    let (agreed, term) =
        (applied(&deployment, first).await, metric(&deployment, first, "fleet_log_term").await.unwrap());
    for copy in VOTERS {
        deployment.strike(&kill(copy)).await.unwrap();
    }
    for copy in VOTERS {
        deployment.lift(&kill(copy)).await.unwrap();
    }
    all_reach(&deployment, &VOTERS, "term", term + 1.0).await;
    all_reach(&deployment, &ALL, "applied", agreed + 1.0).await;
}

#[tokio::test]
async fn a_voter_whose_memory_is_spoilt_is_let_in_again_and_one_whose_folder_is_older_has_no_part() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("", folder.path()).await;
    let first = leader(&deployment, &VOTERS).await;
    let spoilt = VOTERS.into_iter().find(|copy| *copy != first).unwrap();
    let older = fault(&format!("what = \"disk-older\"\nof = \"{}\"\nlasts = \"1s\"", NAMES[first]));
    deployment.strike(&older).await.unwrap();
    deployment.strike(&kill(spoilt)).await.unwrap();
    deployment
        .strike(&fault(&format!("what = \"disk-flipped\"\nof = \"{}\"", NAMES[spoilt])))
        .await
        .unwrap();
    deployment.lift(&kill(spoilt)).await.unwrap();
    all_reach(&deployment, &[spoilt], "voter", 1.0).await;
    changed(&deployment).await;
    let agreed = applied(&deployment, first).await;
    all_reach(&deployment, &[spoilt], "applied", agreed).await;

    // Once more on its folder, and then with that as it was before.
    deployment.strike(&kill(first)).await.unwrap();
    deployment.lift(&kill(first)).await.unwrap();
    all_reach(&deployment, &[first], "voter", 1.0).await;
    deployment.lift(&older).await.unwrap();
    let others: Vec<usize> = VOTERS.into_iter().filter(|copy| *copy != first).collect();
    leader(&deployment, &others).await;
    all(&deployment, &[first], "fleet_folder_older", |said| said == 2.0).await;
    sleep(Duration::from_secs(2)).await;
    let part = metric(&deployment, first, "fleet_log_voter").await;
    assert!(
        part.is_none() || metric(&deployment, first, "fleet_log_mute").await == Some(1.0),
        "it votes: {part:?}"
    );
}
