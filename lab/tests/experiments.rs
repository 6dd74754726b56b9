//! Experiments: what is read, what is said of what can't be, and that a seed fixes all that is drawn.

use gullpulley_lab::experiment::Experiment;
use gullpulley_lab::schedule::{Planned, schedule};
use std::path::Path;

const DEMO: &str = include_str!("../experiments/demo.toml");

#[test]
fn the_experiments_of_the_project_can_all_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let read: Vec<Experiment> = files.map(|file| Experiment::load(&file).unwrap()).collect();
    assert!(!read.is_empty());
}

#[test]
fn what_does_not_fit_together_is_named_before_anything_starts() {
    for (old, new, told) in [
        ("of = \"b-0\"", "of = \"b-7\"", "fault[0]: there is no copy `b-7`; there are a-0, b-0, c-0"),
        ("of = \"c\"", "of = \"d\"", "fault[1]: there is no zone `d`; there are a, b, c"),
        ("between = [\"a\", \"b\"]", "between = [\"a\", \"x\"]", "link: there is no zone `x`"),
        ("name = \"b\"\ncopies", "name = \"a\"\ncopies", "zone `a` stands twice"),
        ("old = 1 }", "odd = 1 }", "zone `a`: there is no kind `odd`"),
        ("at_least = 0.97", "", "check[0]: say at_least or at_most"),
        ("rate = 150.0", "rat = 150.0", "unknown field `rat`"),
        ("what = \"kill\"", "what = \"kil\"", "unknown variant `kil`"),
        ("late = \"1s\"", "abandoned = \"kept\"", "unknown variant `kept`"),
        ("late = \"1s\"", "abandoned = \"served\"", "`abandoned` work takes per_call or"),
        ("late = \"1s\"", "per_call = \"1ms\"\npatience = \"0s\"", "a patience of 0"),
    ] {
        assert!(DEMO.contains(old), "{old}");
        let told_then = Experiment::parse("demo", &DEMO.replacen(old, new, 1)).expect_err(told).to_string();
        assert!(told_then.contains(told), "{told_then}");
    }
}

#[test]
fn the_same_seed_gives_the_same_requests_to_the_microsecond_and_another_gives_others() {
    let mut experiment = Experiment::parse("demo", DEMO).unwrap();
    let first = schedule(&experiment).unwrap();
    assert_eq!(first, schedule(&experiment).unwrap());
    let seconds = experiment.lasts.as_secs_f64();
    let rate = first.len() as f64 / seconds;
    assert!((130.0..170.0).contains(&rate), "{rate} a second, not about 150");
    let previews = first.iter().filter(|planned| planned.class == 0).count() as f64 / first.len() as f64;
    assert!((0.45..0.55).contains(&previews), "{previews}, not about a half");
    experiment.seed = 2;
    assert_ne!(first, schedule(&experiment).unwrap());
}

#[test]
fn settings_vary_an_experiment_and_what_they_miss_is_named() {
    let vary = |settings: &[&str]| Experiment::varied("demo", DEMO, settings);
    let varied =
        vary(&["load.rate=20", "zone.1.copies=4", "copy.limits.max_attempts=2", "class.0.repeats=never"]);
    let varied = varied.unwrap();
    assert_eq!((varied.load.rate, varied.zone[1].copies), (20.0, 4));
    assert_eq!(varied.copy["limits"]["max_attempts"].as_integer(), Some(2));
    assert_eq!(varied.class[0].repeats, gullpulley_lab::experiment::Repeats::Never);
    let error = vary(&["check.1.that=told-within", "fault.1.what=reset"]).unwrap_err().to_string();
    assert!(error.ends_with("check[1]: no fault changes the list"), "{error}");
    for (setting, told) in [
        ("load.rate", "is no key=value"),
        ("zone.7.copies=1", "there is no `7`"),
        ("load.rat=1", "unknown field `rat`"),
        ("zone.0.copies=many", "invalid type: string \"many\""),
    ] {
        let error = vary(&[setting]).expect_err(told).to_string();
        assert!(error.contains(told), "{error}");
    }
}

#[test]
fn tenants_and_bursts_are_drawn_and_an_earlier_run_can_be_replayed() {
    let tenants = "[[tenant]]\nname = \"x\"\nshare = 3.0\nallowance_per_s = 90.0\n[[tenant]]\nname = \"y\"\nshare = 1.0\n\
                   allowance_per_s = 30.0\n[[load.burst]]\nat = \"4s\"\nlasts = \"2s\"\ntimes = 3.0\n";
    let text = format!("{DEMO}\n{tenants}");
    let experiment = Experiment::parse("demo", &text).unwrap();
    let drawn = schedule(&experiment).unwrap();
    let part = drawn.iter().filter(|planned| planned.tenant == 0).count() as f64 / drawn.len() as f64;
    assert!((0.70..0.80).contains(&part), "{part}, not about three quarters");
    let within =
        |from: u64, to: u64| drawn.iter().filter(|p| (from..to).contains(&p.at.as_secs())).count() as f64;
    let times = within(4, 6) / within(0, 2);
    assert!((2.5..3.5).contains(&times), "{times} times, not about three");
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("results.jsonl");
    let lines = drawn.iter().map(|planned| {
        let (at, class, zone, tenant) =
            (planned.at.as_secs_f64() * 1e3, planned.class, planned.zone, planned.tenant);
        format!(
            "{{\"request\":{{\"at_ms\":{at},\"class\":{class},\"zone\":{zone},\"tenant\":{tenant}}}}}\n"
        )
    });
    std::fs::write(&file, format!("{{\"run\":\"demo\"}}\n{}", lines.collect::<String>())).unwrap();
    let trace = format!("load.trace={:?}", file.display().to_string());
    let replayed = schedule(&Experiment::varied("demo", &text, &[&trace, "seed=9"]).unwrap()).unwrap();
    let same = |(a, b): (&Planned, &Planned)| {
        let apart = a.at.abs_diff(b.at).as_micros();
        apart <= 1 && (a.number, a.class, a.zone, a.tenant) == (b.number, b.class, b.zone, b.tenant)
    };
    assert!(replayed.len() == drawn.len() && replayed.iter().zip(&drawn).all(same));
    std::fs::write(&file, "{\"request\":{\"at_ms\":1,\"class\":9,\"zone\":0}}\n").unwrap();
    let error = schedule(&Experiment::varied("demo", &text, &[&trace]).unwrap()).unwrap_err().to_string();
    assert!(error.ends_with("results.jsonl:1: there is no such class"), "{error}");
}

#[test]
fn a_seed_draws_the_same_faults_each_time_and_none_that_do_not_fit_or_undo_each_other() {
    const SCHEDULES: &str = include_str!("../experiments/members-schedules.toml");
    let experiment = Experiment::parse("schedules", SCHEDULES).unwrap();
    let draw = experiment.draw.clone().unwrap();
    let mut sorts = std::collections::BTreeSet::new();
    for seed in 1..=200 {
        let drawn = experiment.drawn(seed).unwrap();
        let text = drawn.text();
        assert_eq!(text, experiment.drawn(seed).unwrap().text());
        let read = Experiment::parse("drawn", &text).expect("a drawn schedule can be read again");
        assert_eq!(read.fault.len(), draw.faults, "seed {seed}");
        for (number, fault) in read.fault.iter().enumerate() {
            let end = fault.at + fault.lasts.unwrap();
            assert!(fault.at >= draw.from && end <= draw.until && fault.lasts.unwrap() <= draw.longest);
            let same = |other: &&gullpulley_lab::experiment::Fault| {
                (other.what == fault.what || other.of == fault.of)
                    && other.at < end
                    && fault.at < other.at + other.lasts.unwrap()
            };
            assert_eq!(read.fault[number + 1..].iter().filter(same).count(), 0, "seed {seed}: {text}");
            sorts.insert(format!("{:?}", fault.what));
        }
    }
    assert_eq!(sorts.len(), draw.what.len(), "all sorts come up: {sorts:?}");
    for (old, new, told) in [
        ("until = \"16s\"", "until = \"60s\"", "draw: from, longest and until must fit"),
        ("faults = 6", "faults = 0", "draw: say how many faults"),
        ("\"kill\", \"term\"", "\"kil\"", "unknown variant `kil`"),
    ] {
        let told_then = Experiment::parse("schedules", &SCHEDULES.replacen(old, new, 1)).expect_err(told);
        assert!(told_then.to_string().contains(told), "{told_then}");
    }
}
