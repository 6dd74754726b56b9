//! Membership among real copies: what each says at its door while processes end, stand still and are cut off.

mod support;

use gullpulley_lab::deployment::Deployment;
use gullpulley_lab::experiment::Experiment;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use support::{PATIENCE, TWO_ZONES, all, fault, metric, program};
use tokio::time::{Instant, sleep};

/// Three zones with two copies each, and what else an experiment may say.
async fn stand(more: &str, folder: &Path) -> Deployment {
    let third = "[[zone]]\nname = \"c\"\ncopies = 2\nendpoints = { plain = 1 }\n[copy.fleet]\n\
                 round_trip = \"100ms\"\n"; // other tests may leave a copy without a core for a while
    let text = format!("{}{third}{more}", TWO_ZONES.replace("copies = 1", "copies = 2"));
    let experiment = Arc::new(Experiment::parse("members", &text).unwrap());
    Deployment::stand(&experiment, program(), folder).await.unwrap()
}

async fn all_say(deployment: &Deployment, copies: &[usize], name: &str, value: f64) {
    all(deployment, copies, name, |said| said == value).await;
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

#[tokio::test]
async fn a_copy_that_is_killed_told_to_end_or_stands_still_is_known_to_the_others_and_comes_back() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("", folder.path()).await;
    all_say(&deployment, &ALL, "fleet_living", 6.0).await;
    let others = [0, 1, 3, 4, 5];
    for what in ["kill", "term", "pause"] {
        let end = fault(&format!("what = \"{what}\"\nof = \"b-0\""));
        deployment.strike(&end).await.unwrap();
        all_say(&deployment, &others, "fleet_balancers", 5.0).await;
        let known = if what == "term" { 5.0 } else { 6.0 };
        assert_eq!(
            metric(&deployment, 0, "fleet_known").await,
            Some(known),
            "{what}: one that said so has left"
        );
        deployment.lift(&end).await.unwrap();
        all_say(&deployment, &ALL, "fleet_balancers", 6.0).await;
    }
    all_say(&deployment, &ALL, "fleet_converged", 1.0).await;
}

#[tokio::test]
async fn a_zone_that_is_cut_off_goes_on_with_its_part_and_all_come_together_again() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("", folder.path()).await;
    all_say(&deployment, &ALL, "fleet_converged", 1.0).await;
    let cut = fault("what = \"cut-off\"\nof = \"c\"");
    deployment.strike(&cut).await.unwrap();
    all_say(&deployment, &[0, 1, 2, 3], "fleet_balancers", 4.0).await;
    all_say(&deployment, &[4, 5], "fleet_split", 1.0).await;
    for copy in [4, 5] {
        assert_eq!(
            metric(&deployment, copy, "fleet_balancers").await,
            Some(6.0),
            "a minority counts all that it knew"
        );
    }
    deployment.lift(&cut).await.unwrap();
    all_say(&deployment, &ALL, "fleet_balancers", 6.0).await;
    all_say(&deployment, &ALL, "fleet_converged", 1.0).await;
}

#[tokio::test]
async fn a_folder_put_back_and_a_disk_that_lied_are_found_by_the_others_and_flipped_bits_at_the_start() {
    let folder = tempfile::tempdir().unwrap();
    let more = "[copy.state]\n[[fault]]\nat = \"0s\"\nwhat = \"power-cut\"\nof = \"b-0\"\n";
    let deployment = stand(more, folder.path()).await;
    all_say(&deployment, &ALL, "fleet_living", 6.0).await;
    all_say(&deployment, &ALL, "state_incarnation", 1.0).await;
    let restart = async |of: &str| {
        let kill = fault(&format!("what = \"kill\"\nof = \"{of}\""));
        deployment.strike(&kill).await.unwrap();
        deployment.lift(&kill).await.unwrap();
    };
    // The folder of its first start comes back after its second.
    let older = fault("what = \"disk-older\"\nof = \"a-0\"\nlasts = \"1s\"");
    deployment.strike(&older).await.unwrap();
    restart("a-0").await;
    all_say(&deployment, &[0], "state_incarnation", 2.0).await;
    all_say(&deployment, &ALL, "fleet_living", 6.0).await;
    deployment.lift(&older).await.unwrap();
    all_say(&deployment, &[0], "fleet_folder_older", 2.0).await;

    // Its second start was said to be durable and was not: after the cut there is no more than the first.
    deployment.strike(&fault("what = \"disk-lying\"\nof = \"b-0\"")).await.unwrap();
    restart("b-0").await;
    all_say(&deployment, &[2], "state_incarnation", 2.0).await;
    all_say(&deployment, &ALL, "fleet_living", 6.0).await;
    let cut = fault("what = \"power-cut\"\nof = \"b-0\"");
    deployment.strike(&cut).await.unwrap();
    deployment.lift(&cut).await.unwrap();
    let begun = Instant::now();
    loop {
        let set_aside = metric(&deployment, 2, "state_set_aside").await;
        if set_aside == Some(1.0) || metric(&deployment, 2, "fleet_folder_older").await == Some(2.0) {
            break; // torn, or whole and old
        }
        assert!(begun.elapsed() < PATIENCE, "nobody noticed");
        sleep(Duration::from_millis(20)).await;
    }

    let kill = fault("what = \"kill\"\nof = \"c-1\"");
    deployment.strike(&kill).await.unwrap();
    deployment.strike(&fault("what = \"disk-flipped\"\nof = \"c-1\"")).await.unwrap();
    deployment.lift(&kill).await.unwrap();
    all_say(&deployment, &[5], "state_set_aside", 1.0).await;
    all_say(&deployment, &ALL, "fleet_living", 6.0).await;
    assert_eq!(
        metric(&deployment, 5, "fleet_folder_older").await,
        Some(0.0),
        "it began anew, as somebody else"
    );
}

#[tokio::test]
async fn what_a_stalled_link_brings_all_at_once_changes_nothing_for_long() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = stand("", folder.path()).await;
    all_say(&deployment, &ALL, "fleet_converged", 1.0).await;
    let stall = fault("what = \"stall\"\nof = \"a\"");
    deployment.strike(&stall).await.unwrap();
    all_say(&deployment, &[2, 3, 4, 5], "fleet_balancers", 4.0).await;
    deployment.lift(&stall).await.unwrap();
    all_say(&deployment, &ALL, "fleet_balancers", 6.0).await;
    all_say(&deployment, &ALL, "fleet_converged", 1.0).await;
}
