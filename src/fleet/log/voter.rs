//! A voter or learner: the Raft node with its persisted log and the replicated state that results from it.
//!
//! No message is sent that depends on data that is not durable yet: messages that promise something wait until their
//! batch is durable. A leader's entries are sent at once, because its own acknowledgement of them counts only when
//! they are durable locally, too.

use super::replicated_state::{Command, Outcome, ReplicatedState};
use super::storage::{LoadError, LogStorage};
use super::wire::{Entry, Payload, RaftMessage, Snapshot, VoterChange, VoterConfig, conf_change};
use crate::state::persisted::{Change, HardState, PersistedState};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Interval of a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 4;
/// Minimum time without a leader before a voter starts an election; up to as many ticks again are added at random.
/// With ticks of 25 ms, 1 to 2 s.
const ELECTION_TICKS: usize = 40;
/// Limit on the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;
/// Messages to one voter that may be unacknowledged.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Limit on the commands that are not committed yet; further proposals are refused.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;
/// Applied entries that are retained for processes that are behind.
const RETAINED_ENTRIES: u64 = 4096;
/// A leader whose disk has not completed a batch for this long transfers its leadership.
const DISK_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A snapshot that has not been acknowledged after this time counts as lost in transit. Without this limit the crate
/// waits for ever.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(1);
/// A replacement becomes a voter when it is at most this many entries behind the committed index.
const MAX_PROMOTION_LAG: u64 = 16;

/// Client, number and outcome of a command that has completed.
pub(super) type Completed = (u128, u64, Outcome);

/// A batch that is being written, and the messages that wait for it.
struct PendingBatch {
    batch: u64,
    ready: u64,
    since: Duration,
    messages: Vec<RaftMessage>,
}

pub(super) struct Voter {
    id: u64,
    raw: RawNode<LogStorage>,
    seed: u64,
    ticks: u64,
    pub(super) state: ReplicatedState,
    /// Index of the last entry applied to `state`.
    pub(super) applied: u64,
    pending: VecDeque<PendingBatch>,
    batch: u64,
    /// Processes that want to replace the voter of their name, by id.
    replacements: BTreeMap<u64, String>,
    /// Processes to which this leader has sent a snapshot, with the time.
    snapshots_sent: BTreeMap<u64, Duration>,
}

/// What the caller has to carry out.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) send: Vec<RaftMessage>,
    pub(super) write: Vec<(u64, Vec<Change>)>,
    pub(super) completed: Vec<Completed>,
}

impl Voter {
    /// Creates a voter from its persisted state, which has a snapshot: a founding writes one.
    pub(super) fn new(id: u64, memory: &PersistedState, seed: u64) -> Result<Self, LoadError> {
        let storage = LogStorage::load(memory)?;
        let Snapshot { index, ref state, .. } = *storage.snapshot();
        // A replacement has no snapshot yet and receives everything from the leader.
        let state = match index {
            0 => ReplicatedState::default(),
            _ => postcard::from_bytes(state).map_err(|_| LoadError::Snapshot(index))?,
        };
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        // Fails only for settings that contradict each other, and these do not.
        let raw = RawNode::new(&config, storage, &logger).map_err(|_| LoadError::Snapshot(index))?;
        let (pending, batch, replacements, snapshots_sent) = Default::default();
        let (seed, ticks) = (seed ^ id, 0);
        let mut voter = Voter {
            id,
            raw,
            seed,
            ticks,
            state,
            applied: index,
            pending,
            batch,
            replacements,
            snapshots_sent,
        };
        voter.randomize_election_timeout();
        Ok(voter)
    }

    /// Replaces the election timeout, which the crate draws from the system's random source, so that simulated runs
    /// can be reproduced. The value depends on the seed, the term and the elapsed time, and so differs between voters
    /// and between attempts. Must be called after everything that may have made the crate draw a timeout.
    fn randomize_election_timeout(&mut self) {
        let inputs = [self.seed, self.raw.raft.term, self.ticks / (2 * ELECTION_TICKS as u64)];
        let mixed = inputs.iter().fold(0, |mixed, &input| Pcg32::seed_from_u64(mixed ^ input).next_u64());
        self.raw
            .raft
            .set_randomized_election_timeout(ELECTION_TICKS + (mixed % ELECTION_TICKS as u64) as usize);
    }

    pub(super) fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// Id of the leader; 0 if none is known.
    pub(super) fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    pub(super) fn term(&self) -> u64 {
        self.raw.raft.term
    }

    pub(super) fn config(&self) -> VoterConfig {
        VoterConfig::from_raft(&self.raw.raft.prs().conf().to_conf_state())
    }

    /// Committed entries after this index, for a follower; a snapshot if the log no longer holds them.
    pub(super) fn committed_after(&mut self, after: u64) -> (Option<Box<Snapshot>>, Vec<Entry>) {
        let to = self.applied;
        match self.raw.store().entries_between(after, to, MAX_MESSAGE_BYTES as usize) {
            Some(entries) => (None, entries),
            None => (Some(Box::new(self.snapshot())), Vec::new()),
        }
    }

    /// Handles a message of another voter.
    pub(super) fn receive(&mut self, message: RaftMessage) {
        let known = self.raw.raft.prs().get(message.from).is_some() || self.state.names.is_empty();
        let last = self.raw.raft.raft_log.last_index();
        let Some(message) = message.into_raft() else { return };
        // A leader never sends a commit index above what it knows the receiver to have. The crate aborts the process
        // on one.
        let commit_in_range =
            message.commit <= last || message.get_msg_type() != raft::prelude::MessageType::MsgHeartbeat;
        if known && commit_in_range {
            let _ = self.raw.step(message); // an error means that the sender has been removed
            self.randomize_election_timeout();
        }
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.raw.tick();
        self.ticks += 1;
        self.randomize_election_timeout();
        let stuck = self.pending.front().is_some_and(|first| now >= first.since + DISK_STALL_TIMEOUT);
        if stuck && self.is_leader() && self.raw.raft.lead_transferee.is_none() {
            let raft = &self.raw.raft;
            let voters = self.config().voters.into_iter().filter(|id| *id != self.id);
            let best = voters.max_by_key(|id| raft.prs().get(*id).map_or(0, |progress| progress.matched));
            if let Some(best) = best {
                self.raw.transfer_leader(best);
            }
        }
        if self.is_leader() {
            self.resend_lost_snapshots(now);
            self.promote_replacements();
        }
    }

    fn resend_lost_snapshots(&mut self, now: Duration) {
        let progress = self.raw.raft.prs().iter();
        let sent: Vec<u64> = progress
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        self.snapshots_sent.retain(|id, _| sent.contains(id));
        for id in sent {
            if now >= *self.snapshots_sent.entry(id).or_insert(now) + SNAPSHOT_TIMEOUT {
                self.snapshots_sent.remove(&id);
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Proposes a command and returns whether it was accepted: only a leader accepts commands, up to a limit.
    pub(super) fn propose(&mut self, command: &Command) -> bool {
        let bytes = postcard::to_stdvec(command).unwrap_or_default(); // serializing to memory does not fail
        self.is_leader() && self.raw.propose(Vec::new(), bytes).is_ok()
    }

    /// Registers a process that wants to replace the voter of its name.
    pub(super) fn note_replacement(&mut self, name: String, id: u64) {
        if self.state.names.values().any(|known| *known == name) && !self.config().is_voter(id) {
            self.replacements.retain(|_, known| *known != name);
            self.replacements.insert(id, name);
        }
    }

    /// Adds replacements as learners, and makes them voters, in the place of those they replace, once caught up.
    fn promote_replacements(&mut self) {
        if self.raw.raft.has_pending_conf() || !self.config().outgoing.is_empty() {
            return; // one configuration change at a time
        }
        let config = self.config();
        self.replacements.retain(|id, _| !config.is_voter(*id));
        let Some((&id, name)) = self.replacements.first_key_value() else { return };
        let context = postcard::to_stdvec(&(id, name)).unwrap_or_default(); // cannot fail
        let changes = if config.learners.contains(&id) {
            let matched = self.raw.raft.prs().get(id).map_or(0, |progress| progress.matched);
            if matched == 0 || matched + MAX_PROMOTION_LAG < self.raw.raft.raft_log.committed {
                return;
            }
            let named = |id: &&u64| self.state.names.get(id) == Some(name);
            let before = config.voters.iter().find(named);
            before
                .map(|before| VoterChange::Remove(*before))
                .into_iter()
                .chain([VoterChange::AddVoter(id)])
                .collect()
        } else {
            vec![VoterChange::AddLearner(id)]
        };
        let _ = self.raw.propose_conf_change(context, conf_change(&changes)); // an error is retried at a later tick
    }

    /// Records that all batches up to this one are durable.
    pub(super) fn durable(&mut self, batch: u64, effects: &mut Effects) {
        while self.pending.front().is_some_and(|first| first.batch <= batch) {
            let Some(pending) = self.pending.pop_front() else { break };
            self.raw.on_persist_ready(pending.ready);
            effects.send.extend(pending.messages);
        }
        self.report_applied();
    }

    /// Carries out everything that the Raft node has ready.
    pub(super) fn process_ready(&mut self, now: Duration, effects: &mut Effects) {
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            effects.send.extend(ready.take_messages().into_iter().filter_map(RaftMessage::from_raft));
            let snapshot =
                (!ready.snapshot().is_empty()).then(|| Snapshot::from_raft(ready.snapshot().clone()));
            if let Some(snapshot) = &snapshot
                && let Ok(state) = postcard::from_bytes(&snapshot.state)
            {
                (self.state, self.applied) = (state, snapshot.index);
            }
            let committed = ready.take_committed_entries();
            let entries = ready.take_entries().into_iter().filter_map(Entry::from_raft).collect();
            let promise = ready.hs().map(|hard_state| HardState {
                term: hard_state.term,
                vote: Some(hard_state.vote).filter(|vote| *vote != 0),
                commit: hard_state.commit,
            });
            let changes = self.raw.mut_store().store(snapshot, entries, promise);
            let messages: Vec<RaftMessage> =
                ready.take_persisted_messages().into_iter().filter_map(RaftMessage::from_raft).collect();
            let number = ready.number();
            self.raw.advance_append_async(ready);
            if changes.is_empty() && self.pending.is_empty() {
                self.raw.on_persist_ready(number);
                effects.send.extend(messages);
            } else {
                let batch = if changes.is_empty() { self.batch } else { self.write(changes, effects) };
                self.pending.push_back(PendingBatch { batch, ready: number, since: now, messages });
            }
            for entry in committed.into_iter().filter_map(Entry::from_raft) {
                self.apply(entry, effects);
            }
            self.report_applied();
            self.randomize_election_timeout();
        }
        let behind = self.applied - self.raw.store().snapshot().index;
        if (behind > 2 * RETAINED_ENTRIES || self.raw.store().snapshot_requested() && behind > 0)
            && self.pending.is_empty()
        {
            let snapshot = self.snapshot();
            let change = self.raw.mut_store().compact(snapshot);
            self.write(vec![change], effects);
        }
    }

    /// Reports entries to the crate as applied only when they are durable: the snapshot that a leader sends becomes
    /// the state before it is persisted.
    fn report_applied(&mut self) {
        let log = &self.raw.raft.raft_log;
        if self.applied > log.applied && self.applied <= log.persisted {
            self.raw.advance_apply_to(self.applied);
        }
    }

    fn write(&mut self, changes: Vec<Change>, effects: &mut Effects) -> u64 {
        self.batch += 1;
        effects.write.push((self.batch, changes));
        self.batch
    }

    fn apply(&mut self, entry: Entry, effects: &mut Effects) {
        self.applied = entry.index;
        match entry.payload {
            Payload::Empty => {}
            Payload::Command(bytes) => {
                let Ok(command) = postcard::from_bytes::<Command>(&bytes) else { return };
                let (client, number) = (command.client, command.number);
                if let Some(outcome) = self.state.apply(entry.index, command) {
                    effects.completed.push((client, number, outcome));
                }
            }
            Payload::ChangeVoters(changes, context) => {
                let _ = self.raw.apply_conf_change(&conf_change(&changes)); // an error means that no voter would be left
                self.state.apply_voter_changes(&changes, &context);
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let index = self.applied;
        let term = raft::Storage::term(self.raw.store(), index).unwrap_or_default();
        let state = postcard::to_stdvec(&self.state).unwrap_or_default(); // serializing to memory does not fail
        Snapshot { index, term, voters: self.config(), state }
    }
}
