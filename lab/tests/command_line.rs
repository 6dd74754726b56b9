//! The lab's own command line.

use std::fs;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_gullpulley-lab");
const STAND_IN: &str = env!("CARGO_BIN_EXE_gullpulley-lab-standin");
const PATIENCE: Duration = Duration::from_secs(60);

fn experiment(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments").join(name).display().to_string()
}

fn said(output: &Output) -> (i32, String) {
    let text = [&output.stdout, &output.stderr].map(|text| String::from_utf8_lossy(text).into_owned());
    (output.status.code().unwrap(), text.concat())
}

/// Processes whose command line speaks of a folder.
fn living(folder: &Path) -> usize {
    let folder = folder.display().to_string();
    let processes = fs::read_dir("/proc").unwrap().flatten();
    let lines = processes.filter_map(|process| fs::read(process.path().join("cmdline")).ok());
    lines.filter(|line| String::from_utf8_lossy(line).contains(&folder)).count()
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn copies_end_with_the_lab_also_where_it_is_killed() {
    let folder = tempfile::tempdir().unwrap();
    // The copies alone name files below it.
    let files = folder.path().join("copies");
    let mut lab = Command::new(LAB)
        .args(["run", &experiment("rules.toml"), "--program", STAND_IN, "--into"])
        .arg(&files)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let copies = || living(&files.join("a-0")) + living(&files.join("a-1"));
    wait_for("two copies", || copies() == 2);
    lab.kill().unwrap();
    lab.wait().unwrap();
    wait_for("their end", || copies() == 0);
}

#[test]
fn a_run_ends_with_what_held_and_with_its_results() {
    let folder = tempfile::tempdir().unwrap();
    let into = folder.path().display().to_string();
    let run = |arguments: &[&str]| said(&Command::new(LAB).args(arguments).output().unwrap());
    let (code, told) = run(&["run", &experiment("calm.toml"), "--program", STAND_IN, "--into", &into]);
    // What holds and whether the lab was in time is the machine's matter here; that it is told is not.
    assert!([0, 1, 3].contains(&code) && told.contains("  served ") && told.contains("  lost "), "{told}");
    let lines = fs::read_to_string(folder.path().join("results.jsonl")).unwrap();
    let values: Vec<serde_json::Value> =
        lines.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(values[0]["run"], "calm");
    let requests = values.iter().filter(|value| value["request"].is_object()).count();
    assert!((600..900).contains(&requests), "{requests} requests, not about 750");
    let page = fs::read_to_string(folder.path().join("report.html")).unwrap();
    assert!(
        page.contains("<svg") && !page.contains("http://127") && !page.contains("<script"),
        "it needs but itself"
    );
    fs::remove_file(folder.path().join("report.html")).unwrap();
    let (code, told) = run(&["report", &into]);
    assert!(code == 0 && told.contains("report.html"), "{told}");
    assert_eq!(fs::read_to_string(folder.path().join("report.html")).unwrap(), page, "the same page again");
    let (code, told) = run(&["report", &folder.path().join("..").display().to_string()]);
    assert!(code == 2 && told.contains("neither results.jsonl nor"), "{told}");
    let (code, told) = run(&["run", "/nonexistent.toml"]);
    assert!(code == 2 && told.contains("/nonexistent.toml: No such file"), "{told}");
    let broken = ["run", &experiment("calm.toml"), "--program", "/bin/false", "--into", &into];
    let (code, told) = run(&broken);
    assert!(code == 2 && told.contains("it ended before it was ready"), "{told}");
}

#[test]
fn plays_of_two_variants_end_with_a_page_that_can_be_made_again() {
    let folder = tempfile::tempdir().unwrap();
    let into = folder.path().display().to_string();
    let run = |arguments: &[&str]| said(&Command::new(LAB).args(arguments).output().unwrap());
    let variants = ["load.rate=20,lasts=300ms", "load.rate=40,lasts=300ms"];
    let (code, told) = run(&[
        "compare",
        &experiment("calm.toml"),
        variants[0],
        variants[1],
        "--plays",
        "1",
        "--program",
        STAND_IN,
        "--into",
        &into,
    ]);
    assert!([0, 3].contains(&code) && told.contains("too few plays to say"), "{told}");
    let page = fs::read_to_string(folder.path().join("report.html")).unwrap();
    assert!(page.contains("worth served: B - A") && page.contains("load.rate=40"));
    assert!(folder.path().join("0-1/results.jsonl").is_file(), "each play is kept");
    assert_eq!(run(&["report", &into]).0, 0);
    assert_eq!(fs::read_to_string(folder.path().join("report.html")).unwrap(), page);
}

#[test]
fn cargo_finds_the_program_by_the_words_of_the_readme() {
    let readme = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../README.md")).unwrap();
    let first = readme.lines().find_map(|line| line.strip_prefix("cargo run --release ")).unwrap();
    let (words, _) = first.split_once("-- demo").expect("the first command is the demo");
    let run = |of| {
        Command::new(env!("CARGO"))
            .args(["run", "--locked"])
            .args(words.split(' ').filter(|w| !w.is_empty()))
            .args(["--", of])
            .output()
    };
    let (code, told) = said(&run("list").unwrap());
    assert!(code == 0 && told.contains("demo  "), "{told}");
}
