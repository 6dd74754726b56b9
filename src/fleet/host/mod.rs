//! The threads that run membership and the log, and the status that the serving thread reads. No other
//! thread blocks on them.
//!
//! `datagrams` receives datagrams from the socket; `members` runs membership, sends datagrams and reports
//! events. `log` runs the log, if voters are configured, and `streams` carries its frames.

mod datagrams;
mod log;
mod members;
mod streams;

pub use log::LogJoin;
pub use streams::PEER_FRAME_CAPACITY;

use crate::fleet::log as fleet_log;
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

/// Datagrams that may be queued for the membership thread.
pub const DATAGRAM_CAPACITY: usize = 1024;
/// Commands that may be queued for the membership thread.
pub const COMMAND_CAPACITY: usize = 4;
/// Frames that may be queued for the log thread, and outgoing frames that may be queued for the streams
/// thread.
pub const FRAME_CAPACITY: usize = 256;
/// Events of the disk thread that may be queued for the log thread.
pub const DISK_EVENT_CAPACITY: usize = 64;

/// The fleet settings of a process, from its configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The fleet's name; datagrams of other fleets are dropped.
    pub cluster: String,
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// The address at which other members reach it.
    pub address: SocketAddr,
    /// Addresses of some other members.
    pub seeds: Vec<SocketAddr>,
    /// The longest round trip of a datagram and its answer in normal operation.
    pub round_trip: Duration,
    /// The names of the voters: 3, 5 or 7, or none if there is no log.
    pub voters: Vec<String>,
}

/// An event of the disk thread for the log thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskEvent {
    /// All batches up to this number of the writer are durable.
    Durable(u64),
    /// Nothing is persisted any more.
    Stopped,
}

impl Config {
    /// Why a name can't be used in a fleet; `None` if it can.
    pub fn name_error(name: &str) -> Option<String> {
        let too_long = name.len() > MAX_NAME_BYTES;
        too_long
            .then(|| format!("{} bytes are too many for a fleet; it takes {MAX_NAME_BYTES}", name.len()))
    }

    /// The log's settings, as a function of the id of this process, which is known later.
    fn log_settings(&self, name: &str) -> impl FnOnce(u64) -> fleet_log::Settings + Send + 'static {
        let (cluster, voters) = (self.cluster.clone(), self.voters.iter().cloned().collect());
        let (name, round_trip) = (name.to_owned(), self.round_trip);
        let half = || u128::from(RandomState::new().build_hasher().finish());
        let client = half() << 64 | half();
        move |id| fleet_log::Settings { cluster, name, id, client, voters, round_trip, seed: client as u64 }
    }

    /// The membership settings for a process that starts now.
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

/// Statistics of the threads, which any thread may read at any time.
#[derive(Debug)]
pub struct Stats {
    began: Instant,
    /// Datagrams received, and their bytes.
    pub received: [AtomicU64; 2],
    /// Datagrams sent, and their bytes.
    pub sent: [AtomicU64; 2],
    /// Datagrams that could not be sent.
    pub send_errors: AtomicU64,
    /// Datagrams dropped, by [`Stats::REASONS`].
    pub dropped: [AtomicU64; 6],
    /// Times that the process had been stalled.
    pub stalls: AtomicU64,
    /// Commands refused because the queue was full.
    pub commands_refused: AtomicU64,
    /// Frames of the log received, and sent.
    pub frames: [AtomicU64; 2],
    /// Frames that were not delivered, or dropped on receipt because the queue was full.
    pub frames_lost: AtomicU64,
    /// The number of the later start on this process's state folder that another member remembers; 0 if
    /// none does.
    pub newer_start: AtomicU64,
    /// Time of the last iteration of the membership thread, in microseconds since the start.
    last_iteration_us: AtomicU64,
}

impl Stats {
    /// Why datagrams are dropped, in the order of the counts.
    pub const REASONS: [&str; 6] = ["torn", "foreign", "newer", "old", "senseless", "full"];
    const FULL: usize = 5;

    fn new() -> Self {
        let (received, sent, send_errors, dropped, stalls, commands_refused) = Default::default();
        let (frames, frames_lost, newer_start, last_iteration_us) = Default::default();
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
            last_iteration_us,
        }
    }

    fn record_iteration(&self) {
        self.last_iteration_us.store(self.began.elapsed().as_micros() as u64, Relaxed);
    }

    /// Time since the start: the clock of [`View::since`].
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Time since the last iteration of the membership thread; below half a second in normal operation.
    pub fn stuck_for(&self) -> Duration {
        let last_iteration = Duration::from_micros(self.last_iteration_us.load(Relaxed));
        self.began.elapsed().saturating_sub(last_iteration)
    }
}

/// A command for the membership thread.
enum Command {
    /// Join, with the id of the state folder and the number of the start on it, if state is persisted.
    Join(Option<(u128, u64)>),
    Leave,
}

/// Handle of the fleet threads of a process. The threads end with the process.
#[derive(Debug)]
pub struct Fleet {
    commands: Sender<Command>,
    datagrams: Receiver<Vec<u8>>,
    stats: Arc<Stats>,
    view: watch::Receiver<Option<View>>,
    /// Passes the persisted state to the log thread, if there is one.
    log_join: Option<Sender<LogJoin>>,
    log: watch::Receiver<Option<fleet_log::Status>>,
}

impl Fleet {
    /// Starts the threads. The socket is bound on a thread of its own, as the predecessor process of a hot
    /// restart may still hold it. `disk` delivers the events of the disk thread, if state is persisted.
    pub fn start(
        config: Config,
        name: &str,
        zone: &str,
        balancers: u32,
        disk: Receiver<DiskEvent>,
    ) -> io::Result<Self> {
        let (commands, command_receiver) = bounded(COMMAND_CAPACITY);
        let (received, datagrams) = bounded(DATAGRAM_CAPACITY);
        let stats = Arc::new(Stats::new());
        let (view_sender, view) = watch::channel(None);
        let settings = config.settings(name, zone, balancers);
        let (bound, socket) = bounded(1);
        let (status_sender, log) = watch::channel(None);
        let (addresses, peers) = watch::channel(Arc::default());
        let log_join = match config.voters.is_empty() {
            true => None,
            false => {
                let (log_join, join_receiver) = bounded(1);
                let (frames, outgoing) = start_streams(config.listen, &stats)?;
                let thread = log::LogThread {
                    join_receiver,
                    peers,
                    frames,
                    disk,
                    outgoing,
                    stats: stats.clone(),
                    status: status_sender,
                };
                let settings = config.log_settings(name);
                thread::Builder::new().name("fleet-log".to_owned()).spawn(move || thread.run(settings))?;
                Some(log_join)
            }
        };
        let thread_stats = stats.clone();
        thread::Builder::new()
            .name("fleet-datagrams".to_owned())
            .spawn(move || datagrams::run(config.listen, &bound, &received, &thread_stats))?;
        let members = members::MembersThread {
            datagrams: datagrams.clone(),
            command_receiver,
            stats: stats.clone(),
            view: view_sender,
            peers: addresses,
        };
        thread::Builder::new()
            .name("fleet-members".to_owned())
            .spawn(move || members.run(settings, &socket))?;
        Ok(Fleet { commands, datagrams, stats, view, log_join, log })
    }

    /// Joins the fleet. To be called once, as soon as this start is durable in the state folder, if there
    /// is one, with the id of the folder, the number of the start, and the state for the log. Never blocks.
    pub fn join(&self, start: Option<(u128, u64)>, log_join: Option<LogJoin>) {
        self.send(Command::Join(start));
        if let (Some(sender), Some(log_join)) = (&self.log_join, log_join) {
            let _ = sender.try_send(log_join); // fails only for a second call
        }
    }

    /// Announces to the other members that this process leaves. Never blocks; refused if the membership
    /// thread is stuck.
    pub fn leave(&self) {
        self.send(Command::Leave);
    }

    fn send(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            self.stats.commands_refused.fetch_add(1, Relaxed);
        }
    }

    /// The view of the membership: `None` until the socket is bound. Only the newest is kept.
    pub fn view(&self) -> watch::Receiver<Option<View>> {
        self.view.clone()
    }

    /// The status of the log: `None` without voters, or until this process has joined.
    pub fn log(&self) -> watch::Receiver<Option<fleet_log::Status>> {
        self.log.clone()
    }

    /// The statistics.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Number of queued datagrams.
    pub fn waiting(&self) -> usize {
        self.datagrams.len()
    }
}

/// Starts the streams thread; returns the queues of received and of outgoing frames.
fn start_streams(
    listen: SocketAddr,
    stats: &Arc<Stats>,
) -> io::Result<(Receiver<Vec<u8>>, mpsc::Sender<streams::OutgoingFrame>)> {
    let (received, frames) = bounded(FRAME_CAPACITY);
    let (outgoing, outgoing_receiver) = mpsc::channel(FRAME_CAPACITY);
    let stats = stats.clone();
    thread::Builder::new()
        .name("fleet-streams".to_owned())
        .spawn(move || streams::run(listen, outgoing_receiver, &received, &stats))?;
    Ok((frames, outgoing))
}

/// Copies the counts of membership to the shared statistics.
fn publish(stats: &Stats, counts: &Counts) {
    let Counts { corrupt, foreign, newer, old, malformed, stalls } = *counts;
    for (at, count) in [corrupt, foreign, newer, old, malformed].into_iter().enumerate() {
        stats.dropped[at].store(count, Relaxed);
    }
    stats.stalls.store(stalls, Relaxed);
}
