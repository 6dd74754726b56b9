//! The thread that runs the log: its input is frames, events of the disk thread, addresses of members and
//! the time, its output frames, batches for the disk, log lines and the status.
//!
//! It is separate from the membership thread: writing or reading a snapshot must not delay the timers by
//! which members are declared down.

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

/// A process with a persisted log takes part once more than half of the voters have been up for this long:
/// by then they have reported whether its folder is older than what they remember.
const FOLDER_CHECK_TIME: Duration = Duration::from_secs(1);
/// Delay before batches that the disk thread refused are submitted again, and between checks of the voters
/// that are up.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The state with which a process joins the log.
#[derive(Debug)]
pub struct LogJoin {
    /// Id of the process: derived from its state folder, or random if it persists nothing.
    pub id: u64,
    /// Its persisted state.
    pub state: PersistedState,
    /// The writer that persists it; `None` if nothing is persisted.
    pub writer: Option<Arc<Mutex<Writer>>>,
}

impl LogJoin {
    /// Joins as a follower under a random id, without persisted state.
    pub fn without_state() -> Self {
        let id = RandomState::new().build_hasher().finish().max(1);
        LogJoin { id, state: PersistedState::default(), writer: None }
    }
}

/// Addresses of members, by name.
pub(super) type Addresses = Arc<BTreeMap<String, SocketAddr>>;

/// Inputs and outputs of the thread.
pub(super) struct LogThread {
    pub(super) join_receiver: Receiver<LogJoin>,
    /// The latest addresses of members.
    pub(super) peers: watch::Receiver<Addresses>,
    pub(super) frames: Receiver<Vec<u8>>,
    pub(super) disk: Receiver<DiskEvent>,
    pub(super) outgoing: mpsc::Sender<(SocketAddr, Vec<u8>)>,
    pub(super) stats: Arc<Stats>,
    pub(super) status: watch::Sender<Option<Status>>,
}

/// Batches of the log on their way to the disk.
struct BatchQueue {
    writer: Option<Arc<Mutex<Writer>>>,
    /// Not yet submitted, in order.
    waiting: VecDeque<(u64, Vec<Change>)>,
    /// Submitted: the writer's batch number and the log's.
    submitted: VecDeque<(u64, u64)>,
}

impl LogThread {
    /// Runs until the process ends, once it joins.
    pub(super) fn run(self, settings: impl FnOnce(u64) -> Settings) {
        let Ok(LogJoin { id, state, writer }) = self.join_receiver.recv() else { return };
        let settings = settings(id);
        if state.last() > 0 && !self.is_trusted(&settings) {
            error!(
                "fleet: this process takes no part in the log, as its state.dir is older than other members remember"
            );
            return;
        }
        let mut log = match Log::new(settings, &state, self.stats.elapsed()) {
            Ok(log) => log,
            Err(problem) => {
                return error!(
                    "fleet: {problem}; this process takes no part in the log: start it with a new state.dir"
                );
            }
        };
        drop(state);
        let mut batches = BatchQueue { writer, waiting: VecDeque::new(), submitted: VecDeque::new() };
        let (mut out, mut disk) = (Vec::new(), self.disk.clone());
        loop {
            let now = || self.stats.elapsed();
            let due = log.due().saturating_sub(now());
            let wait = if batches.waiting.is_empty() { due } else { due.min(RETRY_DELAY) };
            select_biased! {
                recv(disk) -> event => match event {
                    Ok(DiskEvent::Durable(number)) => {
                        if let Some(batch) = batches.durable(number) {
                            log.durable(now(), batch, &mut out);
                        }
                    }
                    Ok(DiskEvent::Stopped) => log.stop(),
                    Err(_) => disk = never(), // nothing is persisted
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
                    Output::Send(to, frame) => self.send(&to, frame),
                    Output::Write(batch, changes) => batches.waiting.push_back((batch, changes)),
                    Output::Completed(..) => {} // no orders are submitted yet
                }
            }
            if let Some(batch) = batches.submit() {
                log.durable(now(), batch, &mut out);
            }
            self.publish(log.status());
        }
    }

    /// Whether another member remembers a later start on this process's folder, whose votes and entries
    /// since are lost.
    fn is_older(&self) -> bool {
        self.stats.newer_start.load(Relaxed) > 0
    }

    /// Waits until a majority of the voters had time to report whether this process's folder is older than
    /// they remember.
    fn is_trusted(&self, settings: &Settings) -> bool {
        let mut since = self.stats.elapsed();
        while !self.is_older() {
            let peers = self.peers.borrow().clone();
            let others = settings.voters.iter().filter(|name| peers.contains_key(*name)).count();
            let now = self.stats.elapsed();
            if (others + 1) * 2 <= settings.voters.len() {
                since = now;
            } else if now >= since + FOLDER_CHECK_TIME {
                return true;
            }
            thread::sleep(RETRY_DELAY);
        }
        false
    }

    fn send(&self, to: &str, frame: Vec<u8>) {
        let Some(address) = self.peers.borrow().get(to).copied() else {
            self.stats.frames_lost.fetch_add(1, Relaxed);
            return;
        };
        if self.outgoing.try_send((address, frame)).is_err() {
            self.stats.frames_lost.fetch_add(1, Relaxed);
        }
    }

    /// Logs changes and publishes the latest status.
    fn publish(&self, status: Status) {
        let before = self.status.borrow().clone();
        if before.as_ref() == Some(&status) {
            return;
        }
        log_changes(before.as_ref(), &status);
        self.status.send_replace(Some(status));
    }
}

impl BatchQueue {
    /// Submits the waiting batches. If nothing is persisted, returns the last of them, which then counts as
    /// durable at once.
    fn submit(&mut self) -> Option<u64> {
        let Some(writer) = &self.writer else {
            return self.waiting.drain(..).next_back().map(|(batch, _)| batch);
        };
        let mut writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((batch, changes)) = self.waiting.pop_front() {
            match writer.submit(changes.clone()) {
                Ok(number) => self.submitted.push_back((number, batch)),
                Err(SubmitError::Full) => {
                    self.waiting.push_front((batch, changes));
                    break;
                }
                Err(SubmitError::Stopped) => break, // reported by `DiskEvent::Stopped`
            }
        }
        None
    }

    /// The last batch of the log that is durable, given the number of the writer's last durable batch.
    fn durable(&mut self, number: u64) -> Option<u64> {
        let mut last = None;
        while self.submitted.front().is_some_and(|(submitted, _)| *submitted <= number) {
            last = self.submitted.pop_front().map(|(_, batch)| batch);
        }
        last
    }
}

/// Logs the changes in the status.
fn log_changes(before: Option<&Status>, status: &Status) {
    let unchanged = |field: fn(&Status) -> String| before.map(field) == Some(field(status));
    if !unchanged(|status| format!("{:?} {:?}", status.role, status.leader)) {
        let leader = status.leader.as_deref().unwrap_or("nobody");
        let voters = status.voters.join(" ");
        match status.role {
            Role::Founding => {
                info!(voters, "fleet log: not founded yet: it starts when all voters are up: {voters}")
            }
            Role::Leader => {
                info!(term = status.term, "fleet log: this process leads in term {}", status.term)
            }
            Role::Voter => {
                info!(leader, term = status.term, "fleet log: this process votes; {leader} leads")
            }
            Role::Learner => {
                info!(
                    leader,
                    "fleet log: this process is a learner, to replace a voter that lost its state"
                )
            }
            Role::Follower => info!(voters, "fleet log: this process follows the voters {voters}"),
        }
    }
    if !unchanged(|status| format!("{:?}", status.voters)) && before.is_some() {
        info!("fleet log: voters are now {}", status.voters.join(" "));
    }
    if !unchanged(|status| status.lost_state.join(" ")) && !status.lost_state.is_empty() {
        let lost = status.lost_state.join(" ");
        if status.lost_state.len() * 2 > status.voters.len() {
            error!(
                lost,
                "fleet log: more than half of the voters have lost their state: nothing can be committed any more"
            );
        } else {
            warn!(lost, "fleet log: voters that lost their state are being added again: {lost}");
        }
    }
    if !unchanged(|status| format!("{:?}", status.founding_conflict))
        && let Some(conflict) = &status.founding_conflict
    {
        error!("fleet log: {conflict}");
    }
    if status.stopped && before.is_some_and(|before| !before.stopped) {
        error!("fleet log: nothing is persisted any more, so this process no longer votes");
    }
}
