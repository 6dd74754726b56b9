//! The program keeps the four rules, and the lab sees a stand-in break each of them.

mod support;

use gullpulley_lab::check::verdicts;
use gullpulley_lab::experiment::Experiment;
use gullpulley_lab::run::{Run, run};
use std::path::Path;
use std::sync::Arc;
use support::{STAND_IN, program};

const RULES: &str = include_str!("../experiments/rules.toml");

fn play(text: &str, program: &Path) -> Run {
    let folder = tempfile::tempdir().unwrap();
    let experiment = Arc::new(Experiment::parse("test", text).unwrap());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(run(experiment, program, folder.path(), |_| {})).unwrap()
}

/// The rules that did not hold.
fn broken(run: &Run) -> Vec<String> {
    verdicts(run).into_iter().filter(|verdict| !verdict.holds).map(|verdict| verdict.check).collect()
}

#[test]
fn the_program_keeps_the_rules_under_a_drain_a_cold_start_and_a_killed_copy() {
    let run = play(RULES, program());
    assert_eq!(broken(&run), Vec::<String>::new());
    assert!(run.records.len() > 300 && run.faults.len() == 3, "{} {:?}", run.records.len(), run.faults);
}

#[test]
fn a_stand_in_that_breaks_a_rule_is_seen_to() {
    let one_holder = "[[check]]\nthat = \"holders-of-a-duty\"\nat_most = 1.0\n";
    for (breaks, rule) in [
        ("breaks = \"lost\"", "lost"),
        ("breaks = \"repeat\"", "repeated-effects"),
        ("breaks = \"drain\"", "sent-to-draining"),
        ("breaks = \"cold\"", "pushed-over"),
        ("holds = \"orders\"", "holders-of-a-duty"),
    ] {
        let text = format!("{RULES}\n[copy.stand_in]\n{breaks}\n{one_holder}");
        let broken = broken(&play(&text, Path::new(STAND_IN)));
        // A plain proxy may break others besides: it spares no cold endpoint.
        assert!(broken.iter().any(|broken| broken == rule), "{breaks}: only {broken:?}");
    }
}
