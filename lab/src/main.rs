//! `gullpulley-lab`: experiments with copies of the program, from the command line.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use gullpulley_lab::check::verdicts;
use gullpulley_lab::experiment::Experiment;
use gullpulley_lab::report;
use gullpulley_lab::run::{Run, Second, run};
use std::path::{Path, PathBuf};
use std::process::{Command as Process, ExitCode};
use std::sync::Arc;

const DEMO: &str = include_str!("../experiments/demo.toml");
/// The project's folder, as this program was built from it.
const PROJECT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");

/// Something that must hold does not.
const BROKEN: u8 = 1;
/// The experiment or the command is at fault, or nothing could be run.
const AT_FAULT: u8 = 2;
/// The lab itself was too slow for the result to mean anything.
const VOID: u8 = 3;

const CODES: &str = "\
Exit codes:
  0  all that must hold does
  1  something does not; it is printed with its figure
  2  the experiment or the command is at fault, or nothing could be run
  3  void: the lab itself was too late for the result to mean anything";

/// Emulates a deployment around copies of gullpulley: zones, endpoints, discovery, clients; lets things fail, and
/// checks what must hold.
#[derive(Parser)]
#[command(version, after_help = CODES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show in some twenty seconds what the sidecar does: a copy is killed, a zone is lost and returns
    Demo(With),
    /// Run an experiment from a file
    Run {
        /// The experiment
        file: PathBuf,
        #[command(flatten)]
        with: With,
    },
    /// List the experiments that come with the project
    List,
}

#[derive(Args)]
struct With {
    /// The program to run copies of; without it the project's own is built and taken
    #[arg(long, value_name = "BINARY")]
    program: Option<PathBuf>,
    /// Where files and the report go; without it a new folder under target/lab
    #[arg(long, value_name = "FOLDER")]
    into: Option<PathBuf>,
    /// Another seed than the experiment's
    #[arg(long)]
    seed: Option<u64>,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Demo(with) => {
            Experiment::parse("demo", DEMO).map_err(|e| e.to_string()).and_then(|demo| play(demo, &with))
        }
        Command::Run { file, with } => Experiment::load(&file)
            .map_err(|e| e.to_string())
            .and_then(|experiment| play(experiment, &with)),
        Command::List => list().map(|()| 0),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(problem) => {
            eprintln!("gullpulley-lab: {}", problem.trim_end());
            ExitCode::from(AT_FAULT)
        }
    }
}

/// Runs an experiment, shows it, and writes its report.
fn play(mut experiment: Experiment, with: &With) -> Result<u8, String> {
    experiment.seed = with.seed.unwrap_or(experiment.seed);
    let program = match &with.program {
        Some(program) => program.clone(),
        None => build()?,
    };
    let folder = match &with.into {
        Some(folder) => folder.clone(),
        None => results(&experiment.name),
    };
    println!("{}: {}\n", experiment.name, experiment.about);
    println!("second   ended  served  refused  failed  copies  faults in force");
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let done = runtime.block_on(async {
        tokio::select! {
            done = run(Arc::new(experiment), &program, &folder, show) => done.map_err(|e| e.to_string()),
            _ = tokio::signal::ctrl_c() => Err("given up".to_owned()),
        }
    })?;
    let page = report::write(&done, &folder).map_err(|e| e.to_string())?;
    let code = conclude(&done);
    println!("\nreport: {}", page.display());
    Ok(code)
}

fn show(second: &Second) {
    let Second { second, ended, served, refused, failed, fronted, faults } = second;
    println!("{second:6} {ended:7} {served:7} {refused:8} {failed:7} {fronted:7}  {}", faults.join(", "));
}

/// Prints what must hold; the exit code that follows.
fn conclude(run: &Run) -> u8 {
    println!();
    let verdicts = verdicts(run);
    for verdict in &verdicts {
        let figure = verdict.figure.map_or_else(|| "none".to_owned(), |figure| format!("{figure:.3}"));
        let mark = if verdict.holds { "holds " } else { "BROKEN" };
        println!("{mark}  {:<28} {figure:>10}  ({})", verdict.check, verdict.wanted);
    }
    if let Some(void) = run.void() {
        println!("VOID    {void}");
        return VOID;
    }
    if verdicts.iter().all(|verdict| verdict.holds) { 0 } else { BROKEN }
}

/// Builds the project's own program.
fn build() -> Result<PathBuf, String> {
    let built = Process::new("cargo").args(["build", "--release", "--quiet"]).current_dir(PROJECT).status();
    match built {
        Ok(status) if status.success() => Ok(Path::new(PROJECT).join("target/release/gullpulley")),
        Ok(status) => Err(format!("cargo build --release ended with {status}")),
        Err(e) => Err(format!("cargo: {e}; name a program with --program")),
    }
}

/// A new folder for results.
fn results(name: &str) -> PathBuf {
    let all =
        Path::new(PROJECT).canonicalize().unwrap_or_else(|_| PathBuf::from(PROJECT)).join("target/lab");
    let fresh = (1..).map(|n| all.join(format!("{name}-{n}"))).find(|folder| !folder.exists());
    fresh.unwrap_or(all)
}

fn list() -> Result<(), String> {
    let folder = Path::new(PROJECT).join("lab/experiments");
    let entries = std::fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|ending| ending == "toml")) {
        match Experiment::load(file) {
            Ok(experiment) => println!("{:<24} {}", experiment.name, experiment.about),
            Err(e) => println!("{:<24} {e}", file.display()),
        }
    }
    Ok(())
}
