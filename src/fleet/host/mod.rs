//! The threads around the cores, and what the serving thread may read of them. Nobody waits for either thread.
//!
//! `datagrams` takes them off the socket; `members` runs the core of membership, sends, and says what has become known.
//! `log` runs the core of the log, where there are voters, and `streams` carries its frames.

mod datagrams;
mod log;
mod members;
mod streams;

pub use log::LogJoin;
pub use streams::PEER_FRAME_CAPACITY;

use crate::fleet::log as core;
use crate::fleet::members::{Counts, MAX_NAME_BYTES, Peer, Settings, View};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// Datagrams that may wait for the core.
pub const DATAGRAM_CAPACITY: usize = 1024;
/// Orders that may.
pub const COMMAND_CAPACITY: usize = 4;
/// Frames that may wait for the log's core, and frames of its that may wait to be carried.
pub const FRAME_CAPACITY: usize = 256;
/// Statements of the disk that may wait for the log's core.
pub const DISK_EVENT_CAPACITY: usize = 64;

/// A process's place in its fleet, as its configuration says it.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The fleet's name: datagrams of others are not heard.
    pub cluster: String,
    /// Where its datagrams arrive.
    pub listen: SocketAddr,
    /// By which address others reach it.
    pub address: SocketAddr,
    /// Where some others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The longest that a datagram and its answer take on a good day.
    pub round_trip: Duration,
    /// The names of the voters: 3, 5 or 7, or none where nothing is to be agreed.
    pub voters: Vec<String>,
}

/// What the disk says to the log's core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskEvent {
    /// All batches up to this number of the writer's are durable.
    Durable(u64),
    /// Nothing is kept any more.
    Stopped,
}

impl Config {
    /// What is wrong with a name that others would have to carry; none where nothing is.
    pub fn name_error(name: &str) -> Option<String> {
        let long = name.len() > MAX_NAME_BYTES;
        long.then(|| format!("{} bytes are too many for a fleet; it takes {MAX_NAME_BYTES}", name.len()))
    }

    /// The log's settings for the process that turns out to have this number.
    fn log_settings(&self, name: &str) -> impl FnOnce(u64) -> core::Settings + Send + 'static {
        let (cluster, voters) = (self.cluster.clone(), self.voters.iter().cloned().collect());
        let (name, round_trip) = (name.to_owned(), self.round_trip);
        let half = || u128::from(RandomState::new().build_hasher().finish());
        let client = half() << 64 | half();
        move |id| core::Settings { cluster, name, id, client, voters, round_trip, seed: client as u64 }
    }

    /// The core's settings for a process that starts now.
    fn settings(&self, name: &str, zone: &str, balancers: u32) -> Settings {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let me = Peer {
            address: self.address,
            name: name.to_owned(),
            zone: zone.to_owned(),
            generation: since.as_millis() as u64,
            claims: 0,
            leaving: false,
            start: None,
        };
        Settings {
            cluster: self.cluster.clone(),
            me,
            seeds: self.seeds.clone(),
            round_trip: self.round_trip,
            expected: balancers as usize,
            seed: RandomState::new().build_hasher().finish(),
        }
    }
}

/// What the threads count; all of it may be read at any time.
#[derive(Debug)]
pub struct Stats {
    began: Instant,
    /// Datagrams that came, and their bytes.
    pub received: [AtomicU64; 2],
    /// Datagrams that went, and their bytes.
    pub sent: [AtomicU64; 2],
    /// Datagrams that the system did not take.
    pub send_errors: AtomicU64,
    /// Datagrams dropped, by [`Stats::REASONS`].
    pub dropped: [AtomicU64; 6],
    /// Times that the process had stood still.
    pub stalls: AtomicU64,
    /// Orders not taken.
    pub commands_refused: AtomicU64,
    /// Frames of the log that came, and that went.
    pub frames: [AtomicU64; 2],
    /// Frames that were not delivered, or not heard as too many waited.
    pub frames_lost: AtomicU64,
    /// The number of the later start that another remembers of this process's state folder; 0 where none does.
    pub newer_start: AtomicU64,
    /// Microseconds after the start at which the core last had a turn.
    turn_us: AtomicU64,
}

impl Stats {
    /// Why datagrams are dropped, in the order of the counts.
    pub const REASONS: [&str; 6] = ["torn", "foreign", "newer", "old", "senseless", "full"];
    const FULL: usize = 5;

    fn new() -> Self {
        let (received, sent, send_errors, dropped, stalls, commands_refused) = Default::default();
        let (frames, frames_lost, newer_start, turn_us) = Default::default();
        let began = Instant::now();
        Stats {
            began,
            received,
            sent,
            send_errors,
            dropped,
            stalls,
            commands_refused,
            frames,
            frames_lost,
            newer_start,
            turn_us,
        }
    }

    fn turn(&self) {
        self.turn_us.store(self.began.elapsed().as_micros() as u64, Relaxed);
    }

    /// Time since the start: the clock of [`View::since`].
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Since when the core has had no turn; below half a second where all is well.
    pub fn stuck_for(&self) -> Duration {
        let turn = Duration::from_micros(self.turn_us.load(Relaxed));
        self.began.elapsed().saturating_sub(turn)
    }
}

/// A command for the core.
enum Command {
    /// To join, with its state folder and the number of its start there, where it keeps a state.
    Join(Option<(u128, u64)>),
    Leave,
}

/// The threads of a process in a fleet. They end with the process.
#[derive(Debug)]
pub struct Fleet {
    commands: Sender<Command>,
    datagrams: Receiver<Vec<u8>>,
    stats: Arc<Stats>,
    view: watch::Receiver<Option<View>>,
    /// What the process brings to the log, where there is one.
    joining: Option<Sender<LogJoin>>,
    log: watch::Receiver<Option<core::Status>>,
}

impl Fleet {
    /// Starts the threads; the socket is bound on its own thread, as an older process of this sidecar may still have it.
    /// What the disk says comes through `disk`, where the process keeps a state.
    pub fn start(
        config: Config,
        name: &str,
        zone: &str,
        balancers: u32,
        disk: Receiver<DiskEvent>,
    ) -> io::Result<Self> {
        let (commands, command_receiver) = bounded(COMMAND_CAPACITY);
        let (came, datagrams) = bounded(DATAGRAM_CAPACITY);
        let stats = Arc::new(Stats::new());
        let (says, view) = watch::channel(None);
        let settings = config.settings(name, zone, balancers);
        let (bound, taken) = bounded(1);
        let (says_log, log) = watch::channel(None);
        let (addresses, peers) = watch::channel(Arc::default());
        let joining = match config.voters.is_empty() {
            true => None,
            false => {
                let (joining, joined) = bounded(1);
                let (frames, posts) = carry(config.listen, &stats)?;
                let thread = log::LogThread {
                    joining: joined,
                    peers,
                    frames,
                    disk,
                    posts,
                    stats: stats.clone(),
                    says: says_log,
                };
                let settings = config.log_settings(name);
                thread::Builder::new().name("fleet-log".to_owned()).spawn(move || thread.work(settings))?;
                Some(joining)
            }
        };
        let counts = stats.clone();
        thread::Builder::new()
            .name("fleet-datagrams".to_owned())
            .spawn(move || datagrams::work(config.listen, &bound, &came, &counts))?;
        let core = members::MembersThread {
            datagrams: datagrams.clone(),
            command_receiver,
            stats: stats.clone(),
            says,
            peers: addresses,
        };
        thread::Builder::new()
            .name("fleet-members".to_owned())
            .spawn(move || core.work(settings, &taken))?;
        Ok(Fleet { commands, datagrams, stats, view, joining, log })
    }

    /// Joins; to be called once, as soon as the state folder, where there is one, has this start durable: which folder,
    /// and the start's number there, and what it brings to the log. Never waits.
    pub fn join(&self, start: Option<(u128, u64)>, joining: Option<LogJoin>) {
        self.command(Command::Join(start));
        if let (Some(joined), Some(joining)) = (&self.joining, joining) {
            let _ = joined.try_send(joining); // fails only for a second one
        }
    }

    /// Tells the others that this process leaves. Never waits; not taken where the core is stuck.
    pub fn leave(&self) {
        self.command(Command::Leave);
    }

    fn command(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            self.stats.commands_refused.fetch_add(1, Relaxed);
        }
    }

    /// How things are: none until the socket is there. Newest wins.
    pub fn view(&self) -> watch::Receiver<Option<View>> {
        self.view.clone()
    }

    /// How the log is: none where there are no voters, or until this process has joined.
    pub fn log(&self) -> watch::Receiver<Option<core::Status>> {
        self.log.clone()
    }

    /// What is counted.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Datagrams that wait for the core.
    pub fn waiting(&self) -> usize {
        self.datagrams.len()
    }
}

/// Starts the thread of the log's frames: those that come, and where those that go are posted.
fn carry(
    listen: SocketAddr,
    stats: &Arc<Stats>,
) -> io::Result<(Receiver<Vec<u8>>, mpsc::Sender<streams::Posted>)> {
    let (came, frames) = bounded(FRAME_CAPACITY);
    let (posts, posted) = mpsc::channel(FRAME_CAPACITY);
    let stats = stats.clone();
    thread::Builder::new()
        .name("fleet-streams".to_owned())
        .spawn(move || streams::work(listen, posted, &came, &stats))?;
    Ok((frames, posts))
}

/// Counts as the core has them, for all to read.
fn publish(stats: &Stats, counts: &Counts) {
    let Counts { corrupt, foreign, newer, old, malformed, stalls } = *counts;
    for (at, count) in [corrupt, foreign, newer, old, malformed].into_iter().enumerate() {
        stats.dropped[at].store(count, Relaxed);
    }
    stats.stalls.store(stalls, Relaxed);
}
