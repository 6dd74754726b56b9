//! A small deployment, the program and its stand-in, and waits on figures at doors.
#![allow(dead_code)] // each test uses a part

use gullpulley_lab::deployment::Deployment;
use gullpulley_lab::experiment::{Experiment, Fault};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub const STAND_IN: &str = env!("CARGO_BIN_EXE_gullpulley-lab-standin");
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The program, built once for all tests, next to the lab's own.
pub fn program() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "--bin", "gullpulley"]).current_dir(root);
        assert!(build.status().unwrap().success());
        Path::new(STAND_IN).with_file_name("gullpulley")
    })
}

pub const TWO_ZONES: &str = r#"
name = "test"
lasts = "1s"
[[zone]]
name = "a"
copies = 1
endpoints = { plain = 2 }
[[zone]]
name = "b"
copies = 1
endpoints = { plain = 2 }
[kind.plain]
cores = 1
waiting = 30
[[class]]
name = "read"
repeats = "safe"
share = 1.0
work = "10ms"
wanted = "1s"
deadline = "2s"
[load]
rate = 10.0
"#;

/// Two zones with a copy each of a program and two endpoints, and what else an experiment may say.
pub async fn stand(program: &Path, more: &str, folder: &Path) -> Deployment {
    let experiment = Arc::new(Experiment::parse("test", &format!("{TWO_ZONES}{more}")).unwrap());
    Deployment::stand(&experiment, program, folder).await.unwrap()
}

pub fn fault(text: &str) -> Fault {
    toml::from_str(&format!("at = \"0s\"\n{text}")).unwrap()
}

pub async fn figure(deployment: &Deployment, copy: usize, name: &str) -> f64 {
    deployment.copies[copy].figure(name).await.unwrap_or(-1.0)
}

/// Waits until a copy's figure is as it should be.
pub async fn wait(deployment: &Deployment, copy: usize, name: &str, fits: impl Fn(f64) -> bool) {
    let begun = Instant::now();
    loop {
        let now = figure(deployment, copy, name).await;
        if fits(now) {
            return;
        }
        assert!(begun.elapsed() < PATIENCE, "{name} of {} stays {now}", deployment.copies[copy].name);
        sleep(Duration::from_millis(20)).await;
    }
}

/// A figure of its fleet, or of its state, at a copy's door, in OpenMetrics.
pub async fn metric(deployment: &Deployment, copy: usize, name: &str) -> Option<f64> {
    let text = deployment.copies[copy].metrics().await?;
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("gullpulley_{name} ")))?;
    line.parse().ok()
}

/// Waits until this holds of a figure of all these copies.
pub async fn all(deployment: &Deployment, copies: &[usize], name: &str, holds: impl Fn(f64) -> bool) {
    let begun = Instant::now();
    loop {
        let mut said = Vec::new();
        for &copy in copies {
            said.push(metric(deployment, copy, name).await);
        }
        if said.iter().all(|said| said.is_some_and(&holds)) {
            return;
        }
        assert!(begun.elapsed() < PATIENCE, "{name} of {copies:?} stays {said:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Builds the library that injects faults, next to the lab's own programs.
pub fn build_injection() {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "gullpulley-faults"]).current_dir(root);
        assert!(build.status().unwrap().success());
    });
}
