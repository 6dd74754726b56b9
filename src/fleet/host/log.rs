//! The thread that runs the log's core: frames, what the disk says, who is where, and the time in; frames, batches for the
//! disk, the log's lines and the view out.
//!
//! It is a thread of its own beside the one of membership: a snapshot that is written or read must not make timers late by
//! which others are taken for lost.

use super::{DiskEvent, Stats};
use crate::fleet::log::{Log, Output, Role, Settings, Status};
use crate::state::persisted::{Change, PersistedState};
use crate::state::writer::{SubmitError, Writer};
use crossbeam_channel::{Receiver, after, never, select_biased};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tracing::{error, info, warn};

/// So long more than half of the voters have been here before one that remembers a log has its part in it: by then they
/// have told whether its folder is older than what they remember.
const ASKED: Duration = Duration::from_secs(1);
/// What the disk did not take is tried again after this.
const AGAIN: Duration = Duration::from_millis(20);

/// What a process brings to the log as it joins.
#[derive(Debug)]
pub struct LogJoin {
    /// Its number: of its state folder, or drawn where it keeps nothing.
    pub id: u64,
    /// What it remembers.
    pub memory: PersistedState,
    /// Where it is kept; none where nothing is.
    pub writer: Option<Arc<Mutex<Writer>>>,
}

impl LogJoin {
    /// One that keeps nothing follows under a number of its own.
    pub fn without_state() -> Self {
        let id = RandomState::new().build_hasher().finish().max(1);
        LogJoin { id, memory: PersistedState::default(), writer: None }
    }
}

/// Where processes are, by name.
pub(super) type Addresses = Arc<BTreeMap<String, SocketAddr>>;

/// What the thread works with.
pub(super) struct LogThread {
    pub(super) joining: Receiver<LogJoin>,
    /// Where others are: the newest word of membership.
    pub(super) peers: watch::Receiver<Addresses>,
    pub(super) frames: Receiver<Vec<u8>>,
    pub(super) disk: Receiver<DiskEvent>,
    pub(super) posts: mpsc::Sender<(SocketAddr, Vec<u8>)>,
    pub(super) stats: Arc<Stats>,
    pub(super) says: watch::Sender<Option<Status>>,
}

/// What the core wants written, and what the disk has taken of it.
struct Desk {
    writer: Option<Arc<Mutex<Writer>>>,
    /// Not taken yet, in order.
    waiting: VecDeque<(u64, Vec<Change>)>,
    /// Taken: the disk's number and the core's.
    taken: VecDeque<(u64, u64)>,
}

impl LogThread {
    /// Works until the process ends, from when it joins.
    pub(super) fn work(self, settings: impl FnOnce(u64) -> Settings) {
        let Ok(LogJoin { id, memory, writer }) = self.joining.recv() else { return };
        let settings = settings(id);
        if memory.last() > 0 && !self.is_trusted(&settings) {
            error!(
                "fleet: this process has no part in the log, as its state.dir is older than others remember"
            );
            return;
        }
        let mut log = match Log::new(settings, &memory, self.stats.elapsed()) {
            Ok(log) => log,
            Err(problem) => {
                return error!(
                    "fleet: {problem}; this process has no part in the log: begin on a new state.dir"
                );
            }
        };
        drop(memory);
        let mut desk = Desk { writer, waiting: VecDeque::new(), taken: VecDeque::new() };
        let (mut out, mut disk) = (Vec::new(), self.disk.clone());
        loop {
            let now = || self.stats.elapsed();
            let due = log.due().saturating_sub(now());
            let wait = if desk.waiting.is_empty() { due } else { due.min(AGAIN) };
            select_biased! {
                recv(disk) -> says => match says {
                    Ok(DiskEvent::Durable(number)) => {
                        if let Some(batch) = desk.durable(number) {
                            log.durable(now(), batch, &mut out);
                        }
                    }
                    Ok(DiskEvent::Stopped) => log.stop(),
                    Err(_) => disk = never(), // nothing is kept here
                },
                recv(self.frames) -> frame => match frame {
                    Ok(frame) => log.receive(now(), &frame, &mut out),
                    Err(_) => return,
                },
                recv(after(wait)) -> _ => log.tick(now(), &mut out),
            }
            if self.is_older() {
                log.stop();
            }
            for output in out.drain(..) {
                match output {
                    Output::Send(to, frame) => self.post(&to, frame),
                    Output::Write(batch, changes) => desk.waiting.push_back((batch, changes)),
                    Output::Completed(..) => {} // no orders are submitted yet
                }
            }
            if let Some(batch) = desk.submit() {
                log.durable(now(), batch, &mut out);
            }
            self.show(log.status());
        }
    }

    /// Another remembers a later start on this process's folder: what it promised since is forgotten.
    fn is_older(&self) -> bool {
        self.stats.newer_start.load(Relaxed) > 0
    }

    /// Waits until those that would know have told whether this process's folder is older than what they remember.
    fn is_trusted(&self, settings: &Settings) -> bool {
        let mut since = self.stats.elapsed();
        while !self.is_older() {
            let peers = self.peers.borrow().clone();
            let others = settings.voters.iter().filter(|name| peers.contains_key(*name)).count();
            let now = self.stats.elapsed();
            if (others + 1) * 2 <= settings.voters.len() {
                since = now;
            } else if now >= since + ASKED {
                return true;
            }
            thread::sleep(AGAIN);
        }
        false
    }

    fn post(&self, to: &str, frame: Vec<u8>) {
        let Some(address) = self.peers.borrow().get(to).copied() else {
            self.stats.frames_lost.fetch_add(1, Relaxed);
            return;
        };
        if self.posts.try_send((address, frame)).is_err() {
            self.stats.frames_lost.fetch_add(1, Relaxed);
        }
    }

    /// Says what has changed; the newest view is there for all to read.
    fn show(&self, view: Status) {
        let before = self.says.borrow().clone();
        if before.as_ref() == Some(&view) {
            return;
        }
        tell(before.as_ref(), &view);
        self.says.send_replace(Some(view));
    }
}

impl Desk {
    /// Hands the disk what waits; the last batch that is as good as durable at once, where nothing is kept.
    fn submit(&mut self) -> Option<u64> {
        let Some(writer) = &self.writer else {
            return self.waiting.drain(..).next_back().map(|(batch, _)| batch);
        };
        let mut writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((batch, changes)) = self.waiting.pop_front() {
            match writer.submit(changes.clone()) {
                Ok(number) => self.taken.push_back((number, batch)),
                Err(SubmitError::Full) => {
                    self.waiting.push_front((batch, changes));
                    break;
                }
                Err(SubmitError::Stopped) => break, // it is told apart
            }
        }
        None
    }

    /// The core's last batch up to this number of the disk's.
    fn durable(&mut self, number: u64) -> Option<u64> {
        let mut last = None;
        while self.taken.front().is_some_and(|(taken, _)| *taken <= number) {
            last = self.taken.pop_front().map(|(_, batch)| batch);
        }
        last
    }
}

/// What of a view is worth a line.
fn tell(before: Option<&Status>, view: &Status) {
    let same = |part: fn(&Status) -> String| before.map(part) == Some(part(view));
    if !same(|view| format!("{:?} {:?}", view.role, view.leader)) {
        let leader = view.leader.as_deref().unwrap_or("nobody");
        let voters = view.voters.join(" ");
        match view.role {
            Role::Founding => {
                info!(voters, "fleet log: none yet: it begins when all voters are here: {voters}")
            }
            Role::Leader => info!(term = view.term, "fleet log: this process leads in term {}", view.term),
            Role::Voter => info!(leader, term = view.term, "fleet log: votes; {leader} leads"),
            Role::Learner => {
                info!(leader, "fleet log: learns, to vote in the place of one that lost its memory")
            }
            Role::Follower => info!(voters, "fleet log: follows what these agree on: {voters}"),
        }
    }
    if !same(|view| format!("{:?}", view.voters)) && before.is_some() {
        info!("fleet log: voters are now {}", view.voters.join(" "));
    }
    if !same(|view| view.lost_state.join(" ")) && !view.lost_state.is_empty() {
        let lost = view.lost_state.join(" ");
        if view.lost_state.len() * 2 > view.voters.len() {
            error!(
                lost,
                "fleet log: more than half of the voters have lost their memory: nothing is agreed any more"
            );
        } else {
            warn!(lost, "fleet log: these have lost their memory, and are let in again: {lost}");
        }
    }
    if !same(|view| format!("{:?}", view.founding_conflict))
        && let Some(disturbed) = &view.founding_conflict
    {
        error!("fleet log: {disturbed}");
    }
    if view.stopped && before.is_some_and(|before| !before.stopped) {
        error!("fleet log: nothing is kept any more, so this process votes no longer");
    }
}
