//! A voter: the crate's core with what it keeps, and the agreed state that comes of it.
//!
//! Nothing is said that rests on what is not durable: the crate's promises wait until their batch is. A leader's entries go
//! out at once, as its own word for them counts only once they are durable here too.

use super::replicated_state::{Command, Outcome, ReplicatedState};
use super::storage::{LoadError, LogStorage};
use super::wire::{Entry, Payload, RaftMessage, Snapshot, VoterChange, VoterConfig, conf_change};
use crate::state::memory::{Change, Memory, Promise};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 4;
/// Ticks without a leader before a voter asks for votes, and up to as many more at random: with 25 ms a tick 1 to 2 s.
const ELECTION_TICKS: usize = 40;
/// Bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;
/// Messages on their way to one voter before an answer.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Bytes of orders that may wait to be agreed: more are refused.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;
/// Entries behind the agreed state that are kept for those that are behind.
const RETAINED_ENTRIES: u64 = 4096;
/// A leader whose disk has not finished a batch for so long hands over.
const DISK_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A state that a leader has sent and that nobody has confirmed after so long was lost on its way: the crate waits for ever.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(1);
/// A successor that learns votes once it is no further behind.
const MAX_PROMOTION_LAG: u64 = 16;

/// An outcome of somebody's order.
pub(super) type Completed = (u128, u64, Outcome);

/// What a batch that is being written holds up.
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
    /// The index up to which that goes.
    pub(super) applied: u64,
    pending: VecDeque<PendingBatch>,
    batch: u64,
    /// Those that would succeed a name, by number.
    replacements: BTreeMap<u64, String>,
    /// To whom this leader has sent the state, and when.
    snapshots_sent: BTreeMap<u64, Duration>,
}

/// What is to be done.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) send: Vec<RaftMessage>,
    pub(super) write: Vec<(u64, Vec<Change>)>,
    pub(super) completed: Vec<Completed>,
}

impl Voter {
    /// A voter with this memory, which has a snapshot: a founding writes one.
    pub(super) fn new(id: u64, memory: &Memory, seed: u64) -> Result<Self, LoadError> {
        let storage = LogStorage::load(memory)?;
        let Snapshot { index, ref state, .. } = *storage.snapshot();
        // A successor has nothing yet: all comes from the leader.
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
        // It fails for settings that contradict themselves, and these do not.
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

    /// The crate draws the time to an election from the system, and plays could not be had again: by the seed, the term and
    /// the time passed it is another one for each voter and each try. To be called after whatever may have made it draw.
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

    /// The leader's number; 0 where none is known.
    pub(super) fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    pub(super) fn term(&self) -> u64 {
        self.raw.raft.term
    }

    pub(super) fn config(&self) -> VoterConfig {
        VoterConfig::from_raft(&self.raw.raft.prs().conf().to_conf_state())
    }

    /// What was agreed after an index, for one that follows: from the state on where the log does not go back so far.
    pub(super) fn committed_after(&mut self, after: u64) -> (Option<Box<Snapshot>>, Vec<Entry>) {
        let to = self.applied;
        match self.raw.store().entries_between(after, to, MAX_MESSAGE_BYTES as usize) {
            Some(entries) => (None, entries),
            None => (Some(Box::new(self.snapshot())), Vec::new()),
        }
    }

    /// Takes what another voter says.
    pub(super) fn receive(&mut self, message: RaftMessage) {
        let known = self.raw.raft.prs().get(message.from).is_some() || self.state.names.is_empty();
        let last = self.raw.raft.raft_log.last_index();
        let Some(message) = message.into_raft() else { return };
        // A leader never tells more to be agreed than it knows its hearer to have: the crate ends the process over that.
        let commit_in_range =
            message.commit <= last || message.get_msg_type() != raft::prelude::MessageType::MsgHeartbeat;
        if known && commit_in_range {
            let _ = self.raw.step(message); // an error: from one that has no part any more
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

    /// Proposes an order; whether it was taken: only a leader does, and not more than fits.
    pub(super) fn propose(&mut self, command: &Command) -> bool {
        let bytes = postcard::to_stdvec(command).unwrap_or_default(); // writing to memory does not fail
        self.is_leader() && self.raw.propose(Vec::new(), bytes).is_ok()
    }

    /// Notes who would succeed a voter of its name.
    pub(super) fn note_replacement(&mut self, name: String, id: u64) {
        if self.state.names.values().any(|known| *known == name) && !self.config().is_voter(id) {
            self.replacements.retain(|_, known| *known != name);
            self.replacements.insert(id, name);
        }
    }

    /// Lets successors learn, and vote in the place of those that they succeed once they have caught up.
    fn promote_replacements(&mut self) {
        if self.raw.raft.has_pending_conf() || !self.config().outgoing.is_empty() {
            return; // one change after another
        }
        let config = self.config();
        self.replacements.retain(|id, _| !config.is_voter(*id));
        let Some((&id, name)) = self.replacements.first_key_value() else { return };
        let context = postcard::to_stdvec(&(id, name)).unwrap_or_default(); // as above
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
        let _ = self.raw.propose_conf_change(context, conf_change(&changes)); // an error: it is tried again
    }

    /// Everything up to this batch is durable.
    pub(super) fn durable(&mut self, batch: u64, effects: &mut Effects) {
        while self.pending.front().is_some_and(|first| first.batch <= batch) {
            let Some(pending) = self.pending.pop_front() else { break };
            self.raw.on_persist_ready(pending.ready);
            effects.send.extend(pending.messages);
        }
        self.report_applied();
    }

    /// Carries out what the crate wants done.
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
            let promise = ready.hs().map(|hard_state| Promise {
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

    /// The crate is told what was applied once that is durable: the state that a leader sends is applied before.
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
                let _ = self.raw.apply_conf_change(&conf_change(&changes)); // an error: no voter would be left
                self.state.apply_voter_changes(&changes, &context);
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let index = self.applied;
        let term = raft::Storage::term(self.raw.store(), index).unwrap_or_default();
        let state = postcard::to_stdvec(&self.state).unwrap_or_default(); // writing to memory does not fail
        Snapshot { index, term, voters: self.config(), state }
    }
}
