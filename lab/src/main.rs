//! `gullpulley-lab`: experiments with copies of the program, from the command line.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use gullpulley_lab::check::verdicts;
use gullpulley_lab::compare::{self, FIGURES};
use gullpulley_lab::experiment::Experiment;
use gullpulley_lab::report::{self, plays::Plays};
use gullpulley_lab::run::{Run, Second, run};
use gullpulley_lab::telling;
use std::path::{Path, PathBuf};
use std::process::{Command as Process, ExitCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

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
        /// Play so many fault schedules drawn by its `[draw]`, from the seed on, and say which seeds fail
        #[arg(long, value_name = "N")]
        schedules: Option<u64>,
        /// Of these, play so many at a time
        #[arg(long, value_name = "K", default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=6))]
        at_once: u64,
    },
    /// Play two variants in turn on the same seeds, and say whether they differ
    Compare {
        /// The experiment
        file: PathBuf,
        /// A binary, or settings of the experiment as `path.to.key=value,...`; `-` for neither
        first: String,
        /// The same of the second
        second: String,
        /// Plays of each
        #[arg(long, default_value_t = 20)]
        plays: u64,
        #[command(flatten)]
        with: With,
    },
    /// Play an experiment with each of several values of one setting
    Sweep {
        /// The experiment
        file: PathBuf,
        /// `path.to.key=value,value,...`, such as load.rate=50,100,200
        setting: String,
        /// Plays of each
        #[arg(long, default_value_t = 3)]
        plays: u64,
        #[command(flatten)]
        with: With,
    },
    /// Make the page of a folder with results anew: of a run, a comparison or a sweep
    Report {
        /// The folder
        folder: PathBuf,
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
        Command::Run { file, with, schedules, at_once } => {
            Experiment::load(&file).map_err(|e| e.to_string()).and_then(|experiment| match schedules {
                Some(count) => play_schedules(&experiment, count, at_once, &with),
                None => play(experiment, &with),
            })
        }
        Command::Compare { file, first, second, plays, with } => {
            compare(&file, [&first, &second], plays, &with)
        }
        Command::Sweep { file, setting, plays, with } => sweep(&file, &setting, plays, &with),
        Command::Report { folder } => report::again(&folder)
            .map(|page| println!("report: {}", page.display()))
            .map_err(|e| e.to_string())
            .map(|()| 0),
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

impl With {
    fn program(&self) -> Result<PathBuf, String> {
        self.program.clone().map_or_else(build, Ok)
    }

    fn folder(&self, name: &str) -> PathBuf {
        self.into.clone().unwrap_or_else(|| results(name))
    }
}

/// One variant of an experiment.
struct Variant {
    shown: String,
    program: PathBuf,
    settings: Vec<String>,
}

impl Variant {
    /// From a binary's path, settings, or `-`.
    fn of(text: &str, with: &With) -> Result<Self, String> {
        let binary = Path::new(text).is_file();
        let program = if binary { PathBuf::from(text) } else { with.program()? };
        let settings = if binary || text == "-" { "" } else { text };
        let settings =
            settings.split(',').filter(|setting| !setting.is_empty()).map(str::to_owned).collect();
        Ok(Variant { shown: text.to_owned(), program, settings })
    }

    /// Plays the experiment in this variant; a play that is void is told and counts all the same.
    fn play(
        &self,
        file: &Path,
        text: &str,
        seed: Option<u64>,
        add: u64,
        folder: &Path,
    ) -> Result<Run, String> {
        let settings: Vec<&str> = self.settings.iter().map(String::as_str).collect();
        let shown = file.display().to_string();
        let mut experiment = Experiment::varied(&shown, text, &settings).map_err(|e| e.to_string())?;
        experiment.seed = seed.unwrap_or(experiment.seed) + add;
        let run = in_time(Arc::new(experiment), &self.program, folder, |_| {})?;
        run.void().iter().for_each(|void| println!("VOID: {void}"));
        report::keep(&run, folder).map_err(|e| e.to_string())?;
        Ok(run)
    }
}

fn compare(file: &Path, variants: [&str; 2], plays: u64, with: &With) -> Result<u8, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let [first, second] = variants.map(|variant| Variant::of(variant, with));
    let variants = [first?, second?];
    let folder = with.folder("compare");
    let described = Experiment::parse(&file.display().to_string(), &text).map_err(|e| e.to_string())?;
    let shown = variants.iter().map(|variant| variant.shown.clone()).collect();
    let mut all = Plays::new(&described.name, &described.about, None, shown);
    for play in 0..plays {
        let mut pair = [[0.0; FIGURES.len()]; 2];
        // Each goes first half of the time: what comes second may find the machine warmer.
        for side in if play % 2 == 0 { [0, 1] } else { [1, 0] } {
            let here = folder.join(format!("{play}-{side}"));
            let run = variants[side].play(file, &text, with.seed, play, &here)?;
            pair[side] = all.add(side, &run);
        }
        println!(
            "play {:>3}: worth served {:.4} and {:.4}, p50 {:.1} and {:.1} ms",
            play + 1,
            pair[0][0],
            pair[1][0],
            pair[0][2],
            pair[1][2]
        );
    }
    println!("\nA: {}\nB: {}\n", variants[0].shown, variants[1].shown);
    println!("{:<20} {:>10} {:>10} {:>10}  interval of the difference", "median of", "A", "B", "B - A");
    for (i, name) in FIGURES.iter().enumerate() {
        let seen = compare::compare(&all.pairs(i));
        let interval =
            seen.interval.map_or_else(String::new, |[low, high]| format!("{low:+.4} to {high:+.4}: "));
        let [a, b] = seen.medians;
        println!("{name:<20} {a:>10.4} {b:>10.4} {:>+10.4}  {interval}{}", seen.difference, seen.said());
    }
    conclude_plays(&all, &folder)
}

fn conclude_plays(plays: &Plays, folder: &Path) -> Result<u8, String> {
    let page = report::plays::write(plays, folder).map_err(|e| e.to_string())?;
    println!("\nreport: {}", page.display());
    Ok(if plays.void > 0 { VOID } else { 0 })
}

fn sweep(file: &Path, setting: &str, plays: u64, with: &With) -> Result<u8, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let (key, values) = setting.split_once('=').ok_or(format!("`{setting}` is no key=value,value"))?;
    let (folder, program) = (with.folder("sweep"), with.program()?);
    println!("{key:<24} {:>6} {}", "play", FIGURES.map(|name| format!("{name:>19}")).concat());
    let described = Experiment::parse(&file.display().to_string(), &text).map_err(|e| e.to_string())?;
    let shown = values.split(',').map(str::to_owned).collect();
    let mut all = Plays::new(&described.name, &described.about, Some(key.to_owned()), shown);
    for (column, value) in values.split(',').enumerate() {
        let settings = vec![format!("{key}={value}")];
        let variant = Variant { shown: value.to_owned(), program: program.clone(), settings };
        for play in 0..plays {
            let run =
                variant.play(file, &text, with.seed, play, &folder.join(format!("{value}-{play}")))?;
            let figures = all.add(column, &run);
            let shown = figures.map(|figure| format!("{figure:>19.4}")).concat();
            println!("{value:<24} {:>6} {shown}", play + 1);
        }
    }
    conclude_plays(&all, &folder)
}

/// Runs an experiment until it ends or is given up; copies of the program end with it either way.
fn in_time(
    experiment: Arc<Experiment>,
    program: &Path,
    folder: &Path,
    progress: impl FnMut(&Second),
) -> Result<Run, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        tokio::select! {
            done = run(experiment, program, folder, progress) => done.map_err(|e| e.to_string()),
            _ = tokio::signal::ctrl_c() => Err("given up".to_owned()),
        }
    })
}

/// Runs an experiment, shows it, and writes its report.
fn play(mut experiment: Experiment, with: &With) -> Result<u8, String> {
    experiment.seed = with.seed.unwrap_or(experiment.seed);
    let (program, folder) = (with.program()?, with.folder(&experiment.name));
    println!("{}: {}\n", experiment.name, experiment.about);
    println!("second   ended  served  refused  failed  copies  faults in force");
    let done = in_time(Arc::new(experiment), &program, &folder, show)?;
    let page = report::write(&done, &folder).map_err(|e| e.to_string())?;
    let code = conclude(&done);
    println!("\nreport: {}", page.display());
    Ok(code)
}

/// Plays fault schedules, several at a time, and says which seeds failed; each keeps its files and report.
fn play_schedules(experiment: &Experiment, count: u64, at_once: u64, with: &With) -> Result<u8, String> {
    let (program, folder) = (with.program()?, with.folder(&experiment.name));
    let first = with.seed.unwrap_or(experiment.seed);
    let next = AtomicU64::new(first);
    let (failed, void) = (Mutex::new(Vec::new()), AtomicU64::new(0));
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::SeqCst);
            if seed >= first + count {
                return Ok(());
            }
            let drawn = experiment.drawn(seed).ok_or("the experiment has no [draw]")?;
            let folder = folder.join(seed.to_string());
            let run = in_time(Arc::new(drawn), &program, &folder, |_| {})?;
            report::write(&run, &folder).map_err(|e| e.to_string())?;
            let verdicts = verdicts(&run);
            let broken: Vec<_> = verdicts.iter().filter(|verdict| !verdict.holds).collect();
            let faults: Vec<&str> = run.faults.iter().map(|fault| fault.what.as_str()).collect();
            let mark = match (run.void(), broken.is_empty()) {
                (Some(_), _) => "VOID  ",
                (None, true) => "holds ",
                (None, false) => "BROKEN",
            };
            println!("{mark}  seed {seed}: {}", faults.join(", "));
            if run.void().is_some() {
                void.fetch_add(1, Ordering::SeqCst);
            } else if !broken.is_empty() {
                for verdict in broken {
                    let figure =
                        verdict.figure.map_or_else(|| "none".to_owned(), |figure| format!("{figure:.3}"));
                    println!("        seed {seed}: {} is {figure} ({})", verdict.check, verdict.wanted);
                }
                failed.lock().unwrap_or_else(PoisonError::into_inner).push(seed);
            }
        }
    };
    let ended: Vec<Result<(), String>> = std::thread::scope(|scope| {
        let working: Vec<_> = (0..at_once).map(|_| scope.spawn(work)).collect();
        let lost = |_| Err("a play ended early".to_owned());
        working.into_iter().map(|work| work.join().unwrap_or_else(lost)).collect()
    });
    ended.into_iter().collect::<Result<Vec<()>, String>>()?;
    let mut failed = failed.into_inner().unwrap_or_else(PoisonError::into_inner);
    failed.sort_unstable();
    let void = void.into_inner();
    println!(
        "\n{count} schedules from seed {first}: {} failed, {void} void; in {}",
        failed.len(),
        folder.display()
    );
    for seed in &failed {
        println!("        replay: run FILE --schedules 1 --seed {seed}");
    }
    Ok(if !failed.is_empty() {
        BROKEN
    } else if void > 0 {
        VOID
    } else {
        0
    })
}

fn show(second: &Second) {
    let Second { second, ended, served, refused, failed, fronted, faults } = second;
    println!("{second:6} {ended:7} {served:7} {refused:8} {failed:7} {fronted:7}  {}", faults.join(", "));
}

/// Prints what must hold; the exit code that follows.
fn conclude(run: &Run) -> u8 {
    println!();
    told(run);
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

/// Prints within which time copies were told of changes of the list.
fn told(run: &Run) {
    let within = |part: f64| telling::within(run.tellings.iter(), part);
    let slowest = run.tellings.iter().max_by(|a, b| a.after.total_cmp(&b.after));
    let (Some(p99), Some(worst), Some(slowest)) = (within(0.99), within(1.0), slowest) else { return };
    let never = run.tellings.iter().filter(|telling| !telling.written).count();
    let copies = run.experiment.copies();
    let copy = copies.get(slowest.copy).map_or("?", |copy| copy.name.as_str());
    println!(
        "told    {} times of a change: p99 {p99:.2} s, worst {worst:.2} s ({copy}: {} at {:.1} s), {never} not by the end",
        run.tellings.len(),
        slowest.change,
        slowest.had
    );
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
