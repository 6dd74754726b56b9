//! A voter: the crate's core with what it keeps, and the agreed state that comes of it.
//!
//! Nothing is said that rests on what is not durable: the crate's promises wait until their batch is. A leader's entries go
//! out at once, as its own word for them counts only once they are durable here too.

use super::replicated_state::{Command, Outcome, ReplicatedState};
use super::storage::{Kept, LoadError};
use super::wire::{Entry, Said, Says, Snapshot, Step, Voters, change};
use crate::state::memory::{Change, Memory, Promise};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Ticks between a leader's heartbeats.
const HEARTBEAT: usize = 4;
/// Ticks without a leader before a voter asks for votes, and up to as many more at random: with 25 ms a tick 1 to 2 s.
const ELECTION: usize = 40;
/// Bytes of entries in one message.
const MESSAGE_MOST: u64 = 64 << 10;
/// Messages on their way to one voter before an answer.
const INFLIGHT: usize = 64;
/// Bytes of orders that may wait to be agreed: more are refused.
const UNCOMMITTED_MOST: u64 = 4 << 20;
/// Entries behind the agreed state that are kept for those that are behind.
const TAIL: u64 = 4096;
/// A leader whose disk has not finished a batch for so long hands over.
const DISK_PATIENCE: Duration = Duration::from_secs(1);
/// A state that a leader has sent and that nobody has confirmed after so long was lost on its way: the crate waits for ever.
const STATE_LOST: Duration = Duration::from_secs(1);
/// A successor that learns votes once it is no further behind.
const CAUGHT_UP: u64 = 16;

/// An outcome of somebody's order.
pub(super) type Told = (u128, u64, Outcome);

/// What a batch that is being written holds up.
struct Waiting {
    batch: u64,
    ready: u64,
    since: Duration,
    messages: Vec<Said>,
}

pub(super) struct Voter {
    id: u64,
    raw: RawNode<Kept>,
    seed: u64,
    ticks: u64,
    pub(super) agreed: ReplicatedState,
    /// The index up to which that goes.
    pub(super) applied: u64,
    waiting: VecDeque<Waiting>,
    batch: u64,
    /// Those that would succeed a name, by number.
    successors: BTreeMap<u64, String>,
    /// To whom this leader has sent the state, and when.
    states_sent: BTreeMap<u64, Duration>,
}

/// What is to be done.
#[derive(Default)]
pub(super) struct Deeds {
    pub(super) send: Vec<Said>,
    pub(super) write: Vec<(u64, Vec<Change>)>,
    pub(super) told: Vec<Told>,
}

impl Voter {
    /// A voter with this memory, which has a snapshot: a founding writes one.
    pub(super) fn new(id: u64, memory: &Memory, seed: u64) -> Result<Self, LoadError> {
        let kept = Kept::of(memory)?;
        let Snapshot { index, ref state, .. } = *kept.snapshot();
        // A successor has nothing yet: all comes from the leader.
        let agreed = match index {
            0 => ReplicatedState::default(),
            _ => postcard::from_bytes(state).map_err(|_| LoadError::Snapshot(index))?,
        };
        let config = Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: index,
            max_size_per_msg: MESSAGE_MOST,
            max_inflight_msgs: INFLIGHT,
            max_uncommitted_size: UNCOMMITTED_MOST,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        // It fails for settings that contradict themselves, and these do not.
        let raw = RawNode::new(&config, kept, &logger).map_err(|_| LoadError::Snapshot(index))?;
        let (waiting, batch, successors, states_sent) = Default::default();
        let (seed, ticks) = (seed ^ id, 0);
        let mut voter =
            Voter { id, raw, seed, ticks, agreed, applied: index, waiting, batch, successors, states_sent };
        voter.draw();
        Ok(voter)
    }

    /// The crate draws the time to an election from the system, and plays could not be had again: by the seed, the term and
    /// the time passed it is another one for each voter and each try. To be called after whatever may have made it draw.
    fn draw(&mut self) {
        let of = [self.seed, self.raw.raft.term, self.ticks / (2 * ELECTION as u64)];
        let mixed = of.iter().fold(0, |mixed, &part| Pcg32::seed_from_u64(mixed ^ part).next_u64());
        self.raw.raft.set_randomized_election_timeout(ELECTION + (mixed % ELECTION as u64) as usize);
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

    pub(super) fn voters(&self) -> Voters {
        Voters::of(&self.raw.raft.prs().conf().to_conf_state())
    }

    /// What was agreed after an index, for one that follows: from the state on where the log does not go back so far.
    pub(super) fn tail(&mut self, after: u64) -> (Option<Box<Snapshot>>, Vec<Entry>) {
        let to = self.applied;
        match self.raw.store().tail(after, to, MESSAGE_MOST as usize) {
            Some(entries) => (None, entries),
            None => (Some(Box::new(self.snapshot())), Vec::new()),
        }
    }

    /// Takes what another voter says.
    pub(super) fn hear(&mut self, said: Said) {
        let known = self.raw.raft.prs().get(said.from).is_some() || self.agreed.names.is_empty();
        let last = self.raw.raft.raft_log.last_index();
        let Some(message) = said.into_crate() else { return };
        // A leader never tells more to be agreed than it knows its hearer to have: the crate ends the process over that.
        let sane =
            message.commit <= last || message.get_msg_type() != raft::prelude::MessageType::MsgHeartbeat;
        if known && sane {
            let _ = self.raw.step(message); // an error: from one that has no part any more
            self.draw();
        }
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.raw.tick();
        self.ticks += 1;
        self.draw();
        let stuck = self.waiting.front().is_some_and(|first| now >= first.since + DISK_PATIENCE);
        if stuck && self.is_leader() && self.raw.raft.lead_transferee.is_none() {
            let raft = &self.raw.raft;
            let voters = self.voters().voters.into_iter().filter(|id| *id != self.id);
            let best = voters.max_by_key(|id| raft.prs().get(*id).map_or(0, |progress| progress.matched));
            if let Some(best) = best {
                self.raw.transfer_leader(best);
            }
        }
        if self.is_leader() {
            self.send_states_again(now);
            self.succeed();
        }
    }

    fn send_states_again(&mut self, now: Duration) {
        let progress = self.raw.raft.prs().iter();
        let sent: Vec<u64> = progress
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        self.states_sent.retain(|id, _| sent.contains(id));
        for id in sent {
            if now >= *self.states_sent.entry(id).or_insert(now) + STATE_LOST {
                self.states_sent.remove(&id);
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Proposes an order; whether it was taken: only a leader does, and not more than fits.
    pub(super) fn propose(&mut self, order: &Command) -> bool {
        let bytes = postcard::to_stdvec(order).unwrap_or_default(); // writing to memory does not fail
        self.is_leader() && self.raw.propose(Vec::new(), bytes).is_ok()
    }

    /// Notes who would succeed a voter of its name.
    pub(super) fn note_successor(&mut self, name: String, id: u64) {
        if self.agreed.names.values().any(|known| *known == name) && !self.voters().votes(id) {
            self.successors.retain(|_, known| *known != name);
            self.successors.insert(id, name);
        }
    }

    /// Lets successors learn, and vote in the place of those that they succeed once they have caught up.
    fn succeed(&mut self) {
        if self.raw.raft.has_pending_conf() || !self.voters().outgoing.is_empty() {
            return; // one change after another
        }
        let voters = self.voters();
        self.successors.retain(|id, _| !voters.votes(*id));
        let Some((&id, name)) = self.successors.first_key_value() else { return };
        let context = postcard::to_stdvec(&(id, name)).unwrap_or_default(); // as above
        let steps = if voters.learners.contains(&id) {
            let matched = self.raw.raft.prs().get(id).map_or(0, |progress| progress.matched);
            if matched == 0 || matched + CAUGHT_UP < self.raw.raft.raft_log.committed {
                return;
            }
            let named = |id: &&u64| self.agreed.names.get(id) == Some(name);
            let before = voters.voters.iter().find(named);
            before.map(|before| Step::Leaves(*before)).into_iter().chain([Step::Votes(id)]).collect()
        } else {
            vec![Step::Learns(id)]
        };
        let _ = self.raw.propose_conf_change(context, change(&steps)); // an error: it is tried again
    }

    /// Everything up to this batch is durable.
    pub(super) fn durable(&mut self, batch: u64, deeds: &mut Deeds) {
        while self.waiting.front().is_some_and(|first| first.batch <= batch) {
            let Some(waiting) = self.waiting.pop_front() else { break };
            self.raw.on_persist_ready(waiting.ready);
            deeds.send.extend(waiting.messages);
        }
        self.say_applied();
    }

    /// Carries out what the crate wants done.
    pub(super) fn work(&mut self, now: Duration, deeds: &mut Deeds) {
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            deeds.send.extend(ready.take_messages().into_iter().filter_map(Said::of));
            let snapshot = (!ready.snapshot().is_empty()).then(|| Snapshot::of(ready.snapshot().clone()));
            if let Some(snapshot) = &snapshot
                && let Ok(agreed) = postcard::from_bytes(&snapshot.state)
            {
                (self.agreed, self.applied) = (agreed, snapshot.index);
            }
            let committed = ready.take_committed_entries();
            let entries = ready.take_entries().into_iter().filter_map(Entry::of).collect();
            let promise = ready.hs().map(|hard| Promise {
                term: hard.term,
                vote: Some(hard.vote).filter(|vote| *vote != 0),
                commit: hard.commit,
            });
            let changes = self.raw.mut_store().keep(snapshot, entries, promise);
            let messages: Vec<Said> =
                ready.take_persisted_messages().into_iter().filter_map(Said::of).collect();
            let number = ready.number();
            self.raw.advance_append_async(ready);
            if changes.is_empty() && self.waiting.is_empty() {
                self.raw.on_persist_ready(number);
                deeds.send.extend(messages);
            } else {
                let batch = if changes.is_empty() { self.batch } else { self.write(changes, deeds) };
                self.waiting.push_back(Waiting { batch, ready: number, since: now, messages });
            }
            for entry in committed.into_iter().filter_map(Entry::of) {
                self.apply(entry, deeds);
            }
            self.say_applied();
            self.draw();
        }
        let behind = self.applied - self.raw.store().snapshot().index;
        if (behind > 2 * TAIL || self.raw.store().is_wanted() && behind > 0) && self.waiting.is_empty() {
            let snapshot = self.snapshot();
            let change = self.raw.mut_store().compact(snapshot);
            self.write(vec![change], deeds);
        }
    }

    /// The crate is told what was applied once that is durable: the state that a leader sends is applied before.
    fn say_applied(&mut self) {
        let log = &self.raw.raft.raft_log;
        if self.applied > log.applied && self.applied <= log.persisted {
            self.raw.advance_apply_to(self.applied);
        }
    }

    fn write(&mut self, changes: Vec<Change>, deeds: &mut Deeds) -> u64 {
        self.batch += 1;
        deeds.write.push((self.batch, changes));
        self.batch
    }

    fn apply(&mut self, entry: Entry, deeds: &mut Deeds) {
        self.applied = entry.index;
        match entry.says {
            Says::Nothing => {}
            Says::Command(bytes) => {
                let Ok(order) = postcard::from_bytes::<Command>(&bytes) else { return };
                let (client, number) = (order.client, order.number);
                if let Some(outcome) = self.agreed.carry_out(entry.index, order) {
                    deeds.told.push((client, number, outcome));
                }
            }
            Says::Voters(steps, context) => {
                let _ = self.raw.apply_conf_change(&change(&steps)); // an error: no voter would be left
                self.agreed.rename(&steps, &context);
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let index = self.applied;
        let term = raft::Storage::term(self.raw.store(), index).unwrap_or_default();
        let state = postcard::to_stdvec(&self.agreed).unwrap_or_default(); // writing to memory does not fail
        Snapshot { index, term, voters: self.voters(), state }
    }
}
