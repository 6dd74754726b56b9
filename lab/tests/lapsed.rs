//! Discovery that answers from behind and is then crowded for longer than any term, as endpoints drain.

mod support;

use gullpulley_lab::check::verdicts;
use gullpulley_lab::experiment::Experiment;
use gullpulley_lab::run::run;
use std::sync::Arc;
use support::program;

const LAPSED: &str = include_str!("../experiments/discovery-lapsed.toml");
/// On f0be25c 214 requests came to draining endpoints with this seed (release build).
const SEED: u64 = 1;

#[test]
fn a_crowded_discovery_that_answered_from_behind_lets_nothing_go_to_draining_endpoints() {
    let lapsed = Experiment::parse("discovery-lapsed", LAPSED).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let lapsed = Arc::new(Experiment { seed: SEED, ..lapsed });
    let run = runtime.block_on(run(lapsed, program(), folder.path(), |_| {})).unwrap();
    let broken: Vec<String> = verdicts(&run)
        .into_iter()
        .filter(|verdict| !verdict.holds)
        .map(|verdict| format!("{} {:?}", verdict.check, verdict.figure))
        .collect();
    assert_eq!(broken, Vec::<String>::new());
}
