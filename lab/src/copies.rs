//! Copies of the program: started with a configuration each, told and killed by signals, watched until they end.
//! Whatever becomes of the lab, they end with it: a keeper, a shell that reads their process numbers from a pipe,
//! kills what is left once that pipe closes.

mod state_folder;

use crate::experiment::DescribedCopy;
use crate::http::{self, Pool};
use crate::plan::{self, Plan};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStdout;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The keeper: `+ PID` and `- PID` lines say who lives; at the pipe's end it kills the living.
const KEEPER: &str = "trap '' INT TERM HUP; l=; while read -r w p; do case $w in +) l=\"$l $p\";; \
    -) n=; for q in $l; do [ \"$q\" = \"$p\" ] || n=\"$n $q\"; done; l=$n;; esac; done; [ -z \"$l\" ] || kill -9 $l";
/// How often a copy is asked whether it is ready.
const READY_LOOK: Duration = Duration::from_millis(50);
/// A copy that is not ready by then never will be.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// A copy's state folder in its own.
pub const STATE: &str = "state";
/// Where the faults injected into a copy are noted, and how many of them are shown of one that ended.
pub const INJECTED: &str = "injected";
const LAST_INJECTED: usize = 5;
/// The platform kills a copy no earlier after SIGTERM than its longest deadline, counted as this at most, ...
const LONGEST_MOST: Duration = Duration::from_secs(3);
/// ... and so much more.
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// Between two signals in a series.
const SIGNALS_APART: Duration = Duration::from_millis(50);

/// What went wrong with a copy.
#[derive(Debug, Error)]
pub enum CopyError {
    /// It could not be started.
    #[error("{0}: it can't be started: {1}")]
    Start(String, io::Error),
    /// It ended before it was ready.
    #[error("{0}: it ended before it was ready; its log ends: {1}")]
    Ended(String, String),
    /// What was to be injected is not.
    #[error(
        "{0}: the library that injects faults was not loaded, so the run says nothing: is the program linked statically?"
    )]
    NotInjected(String),
    /// It never got ready.
    #[error("{0}: not ready within {1} s; its log ends: {2}")]
    NeverReady(String, u64, String),
}

/// Kills copies that outlive the lab.
pub struct Keeper(Mutex<std::process::Child>);

impl Keeper {
    /// One with nobody to keep yet.
    pub fn start() -> io::Result<Arc<Self>> {
        let mut shell = std::process::Command::new("/bin/sh");
        let shell =
            shell.arg("-c").arg(KEEPER).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        Ok(Arc::new(Keeper(Mutex::new(shell.spawn()?))))
    }

    fn note(&self, sign: char, pid: u32) {
        let mut shell = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pipe) = &mut shell.stdin {
            let _ = writeln!(pipe, "{sign} {pid}"); // without its keeper a copy still ends with its handle
        }
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        let mut shell = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        drop(shell.stdin.take());
        let _ = shell.wait();
    }
}

/// A copy of the program.
pub struct Copy {
    /// Its name.
    pub name: String,
    /// Its number among all copies of the experiment.
    pub number: usize,
    /// Its zone's number.
    pub zone: usize,
    /// The tier that it sends to.
    pub tier: usize,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Its operators' door.
    pub door: SocketAddr,
    /// Where it asks for the list, and where it does so after discovery has moved.
    pub discovery: [SocketAddr; 2],
    /// Clients' connections to it.
    pub pool: Pool,
    /// Whether the front sends clients to it.
    pub fronted: AtomicBool,
    /// Times that it ended though nobody had it end.
    pub crashes: AtomicU64,
    /// How it is started and ended.
    handling: Handling,
    binary: PathBuf,
    folder: PathBuf,
    keeper: Arc<Keeper>,
    process: Mutex<Process>,
    /// When it was last killed or stopped: what breaks then is not its own doing.
    struck_at: Mutex<Option<Instant>>,
    ended: watch::Sender<u64>,
    /// What its disk does from now on, by word: it holds for the next process too.
    disk: Mutex<BTreeMap<String, String>>,
}

#[derive(Default)]
struct Process {
    pid: Option<u32>,
    /// Where the ward takes orders, where there is one.
    orders: Option<File>,
    /// Its end is wanted.
    ending: bool,
    /// Since when it is as it should be; none while it is killed, paused or starting.
    well_since: Option<Instant>,
}

/// Where a copy's parts listen.
pub struct Places {
    /// For clients.
    pub clients: SocketAddr,
    /// For operators.
    pub door: SocketAddr,
    /// Its discovery, before and after a move.
    pub discovery: [SocketAddr; 2],
}

/// How a copy is started and ended.
pub struct Handling {
    /// A ward stands between it and its disk.
    pub warded: bool,
    /// What is injected into its calls, if anything.
    pub injected: Option<Plan>,
    /// The longest deadline of a class: by then, and a little, it may be killed after it was told to end.
    pub longest: Duration,
}

impl Copy {
    /// One that has not been started; its configuration is in its folder as `copy.toml`.
    pub fn new(
        (number, described): (usize, &DescribedCopy),
        Places { clients, door, discovery }: Places,
        [binary, folder]: [&Path; 2],
        handling: Handling,
        keeper: Arc<Keeper>,
    ) -> Arc<Self> {
        Arc::new(Copy {
            name: described.name.clone(),
            number,
            zone: described.zone,
            tier: described.tier,
            clients,
            door,
            discovery,
            pool: Pool::new(clients),
            fronted: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            handling,
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            keeper,
            process: Mutex::default(),
            struck_at: Mutex::default(),
            ended: watch::Sender::new(0),
            disk: Mutex::default(),
        })
    }

    fn process(&self) -> std::sync::MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts it, unless it runs, and waits until it is ready.
    pub async fn start(self: &Arc<Self>) -> Result<(), CopyError> {
        if self.process().pid.is_some() {
            return Ok(());
        }
        let failed = |e| CopyError::Start(self.name.clone(), e);
        let log =
            OpenOptions::new().create(true).append(true).open(self.folder.join("log")).map_err(failed)?;
        std::fs::create_dir_all(self.folder.join("tmp")).map_err(failed)?;
        let mut command = match self.handling.warded {
            true => {
                let mut command = tokio::process::Command::new(ward().map_err(failed)?);
                let standing = self.disk.lock().unwrap_or_else(PoisonError::into_inner).clone();
                command.arg(self.folder.join(STATE)).args(standing.into_values());
                command.arg("--").arg(&self.binary);
                command.stdin(Stdio::piped()).stdout(Stdio::piped());
                command
            }
            false => {
                let mut command = tokio::process::Command::new(&self.binary);
                command.stdin(Stdio::null()).stdout(Stdio::null());
                command
            }
        };
        command.arg("run").arg("--config").arg(self.folder.join("copy.toml"));
        command.env_clear().env("TMPDIR", self.folder.join("tmp"));
        if let Some(plan) = &self.handling.injected {
            command.env("LD_PRELOAD", library().map_err(failed)?).env(plan::VARIABLE, plan.text());
        }
        let mut child = command.stderr(log).kill_on_drop(true).spawn().map_err(failed)?;
        let started = child.id().unwrap_or_default();
        self.keeper.note('+', started);
        let orders = child.stdin.take().and_then(|stdin| stdin.into_owned_fd().ok()).map(File::from);
        let pid = match child.stdout.take() {
            Some(said) => {
                pid_of(said).await.ok_or_else(|| CopyError::Ended(self.name.clone(), self.last_lines()))?
            }
            None => started,
        };
        *self.process() = Process { pid: Some(pid), orders, ending: false, well_since: None };
        let this = self.clone();
        tokio::spawn(async move {
            let _ = child.wait().await;
            this.keeper.note('-', started);
            let mut process = this.process();
            if !process.ending {
                this.crashes.fetch_add(1, Ordering::SeqCst);
                eprintln!(
                    "lab: {} ended by itself; its log ends: {}; injected last: {}",
                    this.name,
                    this.last_lines(),
                    this.last_injected()
                );
            }
            *process = Process::default();
            this.pool.clear();
            this.ended.send_modify(|ends| *ends += 1);
        });
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until {
            if self.is_ready().await {
                self.process().well_since = Some(Instant::now());
                return self.injection_holds();
            }
            if self.process().pid.is_none() {
                return Err(CopyError::Ended(self.name.clone(), self.last_lines()));
            }
            sleep(READY_LOOK).await;
        }
        Err(CopyError::NeverReady(self.name.clone(), READY_WITHIN.as_secs(), self.last_lines()))
    }

    /// Whether what is to be injected is: the library notes that it was loaded.
    fn injection_holds(&self) -> Result<(), CopyError> {
        if self.handling.injected.is_none() {
            return Ok(());
        }
        let noted = std::fs::read_to_string(self.folder.join(INJECTED)).unwrap_or_default();
        if noted.contains("loaded") { Ok(()) } else { Err(CopyError::NotInjected(self.name.clone())) }
    }

    /// The last faults that were injected into it.
    fn last_injected(&self) -> String {
        let noted = std::fs::read_to_string(self.folder.join(INJECTED)).unwrap_or_default();
        let last: Vec<&str> = noted.lines().rev().take(LAST_INJECTED).collect();
        last.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }

    /// Moves its discovery to its other address: a new configuration, and SIGHUP.
    pub fn reload(&self) -> io::Result<()> {
        let file = self.folder.join("copy.toml");
        let text = std::fs::read_to_string(&file)?;
        let [one, other] = self.discovery.map(|address| address.to_string());
        let (from, to) = if text.contains(&one) { (one, other) } else { (other, one) };
        // Whole or not at all, as the platform replaces it.
        let fresh = self.folder.join("copy.new");
        std::fs::write(&fresh, text.replace(&from, &to))?;
        std::fs::rename(fresh, file)?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Tells it to end, so often, and kills it as early as the platform may; waits until it has ended.
    pub async fn terminate(&self, times: u32) {
        let before = self.is_to_end();
        for _ in 0..times {
            self.signal(Signal::SIGTERM);
            sleep(SIGNALS_APART).await;
        }
        let grace = self.handling.longest.min(LONGEST_MOST) + KILLED_AFTER;
        if timeout(grace, self.ended(before)).await.is_err() {
            self.strike();
            self.signal(Signal::SIGKILL);
            self.ended(before).await;
        }
    }

    /// Whether it is as it should be.
    pub fn is_well(&self) -> bool {
        self.process().well_since.is_some()
    }

    /// It is killed or stopped.
    fn strike(&self) {
        *self.struck_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Whether it was killed or stopped since then.
    pub fn struck_since(&self, then: Instant) -> bool {
        self.struck_at.lock().unwrap_or_else(PoisonError::into_inner).is_some_and(|at| at >= then)
    }

    /// The end of its log.
    pub fn last_lines(&self) -> String {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let answer = http::get(self.clients, "/-/ready", READY_WITHIN / 30).await;
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// A figure at its door; none where it does not answer.
    pub async fn figure(&self, name: &str) -> Option<f64> {
        let report = http::get(self.door, "/v1/metrics", Duration::from_secs(1)).await?.body;
        let line = report
            .lines()
            .find_map(|line| line.strip_prefix("svc.")?.strip_prefix(name)?.strip_prefix('='));
        line?.parse().ok()
    }

    /// What its door says, as OpenMetrics text.
    pub async fn metrics(&self) -> Option<String> {
        let answer = http::get(self.door, "/v1/metrics?format=openmetrics", Duration::from_secs(1)).await?;
        (answer.status == 200).then_some(answer.body)
    }

    /// Ends it, and waits until it has ended.
    pub async fn end(&self, how: Signal) {
        let ended = self.ending();
        self.signal(how);
        self.ended(ended).await;
    }

    /// It is to end by itself; how often it had ended before, none where it does not run.
    fn is_to_end(&self) -> Option<u64> {
        let mut process = self.process();
        process.ending = true;
        process.pid.map(|_| *self.ended.borrow())
    }

    /// Its end is wanted from now on; how often it had ended before, none where it does not run.
    fn ending(&self) -> Option<u64> {
        self.strike();
        let mut process = self.process();
        (process.ending, process.well_since) = (true, None);
        process.pid.map(|_| *self.ended.borrow())
    }

    async fn ended(&self, before: Option<u64>) {
        if let Some(before) = before {
            let _ = self.ended.subscribe().wait_for(|ends| *ends > before).await;
        }
    }

    /// Stands still, or goes on.
    pub fn pause(&self, on: bool) {
        self.strike();
        self.process().well_since = (!on).then(Instant::now);
        if self.handling.warded {
            return self.order(if on { "pause on" } else { "pause off" });
        }
        self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Tells its ward what its disk does from now on, also under the next process.
    pub fn disk(&self, order: &str) {
        let word = order.split(' ').next().unwrap_or_default().to_owned();
        self.disk.lock().unwrap_or_else(PoisonError::into_inner).insert(word, order.to_owned());
        self.order(order);
    }

    /// Gives its ward an order.
    fn order(&self, order: &str) {
        if let Some(orders) = &mut self.process().orders {
            // A pipe takes a line at once; nobody reads it where the process has just ended.
            let _ = writeln!(orders, "{order}");
        }
    }

    /// Ends it as a power cut does: killed, and only what was durable is left, by the draw of this seed.
    pub async fn cut(&self, seed: u64) {
        let ended = self.ending();
        self.order(&format!("cut {seed}"));
        self.ended(ended).await;
        // Memory keeps nothing.
        let _ = std::fs::remove_dir_all(self.folder.join("tmp"));
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.process().pid {
            let _ = kill(Pid::from_raw(pid as i32), signal); // it may just have ended
        }
    }

    /// Whether a ward stands between it and its disk.
    pub fn is_warded(&self) -> bool {
        self.handling.warded
    }

    /// Whether it has been as it should be since then.
    pub fn well_since(&self, then: Instant) -> bool {
        self.process().well_since.is_some_and(|since| since <= then)
    }
}

/// Where the ward is.
fn ward() -> io::Result<PathBuf> {
    beside("gullpulley-lab-ward", "build the whole package")
}

/// Where the library that injects faults is.
fn library() -> io::Result<PathBuf> {
    beside(plan::LIBRARY, "cargo build -p gullpulley-faults, with --release where this is a release build")
}

/// A file beside this program, or above it where this is a test.
fn beside(name: &str, remedy: &str) -> io::Result<PathBuf> {
    let this = std::env::current_exe()?;
    let files: Vec<PathBuf> = this.ancestors().skip(1).take(2).map(|folder| folder.join(name)).collect();
    let missing = || io::Error::other(format!("there is no {name} beside this program: {remedy}"));
    files.into_iter().find(|file| file.is_file()).ok_or_else(missing)
}

/// The process number that a ward says.
async fn pid_of(said: ChildStdout) -> Option<u32> {
    let (mut said, mut line) = (BufReader::new(said), String::new());
    timeout(READY_WITHIN, said.read_line(&mut line)).await.ok()?.ok()?;
    line.strip_prefix("pid ")?.trim().parse().ok()
}

/// Keeps the front's view of a copy: one that is ready gets clients at once, one that is not keeps them for `lag`.
pub async fn front(copy: Arc<Copy>, lag: Duration) {
    let mut failing: Option<Instant> = None;
    loop {
        if copy.is_ready().await {
            failing = None;
            copy.fronted.store(true, Ordering::SeqCst);
        } else if failing.get_or_insert_with(Instant::now).elapsed() >= lag {
            copy.fronted.store(false, Ordering::SeqCst);
        }
        sleep(READY_LOOK).await;
    }
}
