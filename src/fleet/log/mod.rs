//! A replicated log that 3, 5 or 7 named voters write together and that every other process follows.
//!
//! Consensus is implemented by the `raft` crate: pre-vote, a leader that steps down when it loses its majority,
//! learners, and joint changes of the voters. `wire` holds the project's own encoding of its messages, `storage` the
//! persisted log, `voter` the Raft node with its disk, `founding` the creation of a log, and `replicated_state` the
//! state that the log produces. The module does no I/O, and the time is passed in.
//!
//! A voter's id is drawn with its state folder. A process that restarts with another folder is a new process: it may
//! become a learner and then replace the voter of the same name, while the old id never votes again. When more than half
//! of the voters have lost their state, nothing can be committed any more, and [`Status::lost_state`] reports it: the
//! remaining voters must not continue as if the others had never existed.

mod founding;
mod replicated_state;
mod status;
mod storage;
mod voter;
mod wire;

pub use founding::{Founding, FoundingConflict, Members, Stage, log_id};
pub use replicated_state::{
    Command, MAX_KEY_VALUE_BYTES, MAX_KEYS, MAX_STATE_BYTES, Outcome, Put, ReplicatedState, Value,
};
pub use status::{Role, Status};
pub use storage::LoadError;
pub use wire::{FrameError, MAX_FRAME_BYTES};

use crate::state::persisted::{Change, HardState, PersistedState};
use founding::{Founder, Transition};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;
use voter::{Effects, Voter};
use wire::{Entry, Message, Payload, Snapshot, VoterConfig};

/// Name of the grant that stores this process's promise during a founding.
const FOUNDING_GRANT: &str = "log/founding";
/// Name of the grant that stores the members the log was founded with; every voter and learner has it.
const FOUNDED_GRANT: &str = "log/founded";
/// Commands of this process that may be pending.
const MAX_PENDING_COMMANDS: usize = 64;
/// Ticks between two transmissions of the same message: a command without outcome, a founding message, or a request to
/// replace a voter.
const RESEND_TICKS: u32 = 10;
/// Limit on the remembered names of senders.
const MAX_SENDER_NAMES: usize = 64;
/// Ticks between two fetches of a follower.
const FETCH_TICKS: u32 = 10;

/// Configuration of the log in one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the cluster; frames of other clusters are dropped.
    pub cluster: String,
    /// Name of this process.
    pub name: String,
    /// Id of this process, drawn with its state folder; not 0.
    pub id: u64,
    /// Client id of this process, drawn at each start.
    pub client: u128,
    /// Names of the voters: 3, 5 or 7, equal in all processes.
    pub voters: BTreeSet<String>,
    /// Longest round trip of a message under normal conditions; one tick.
    pub round_trip: Duration,
    /// Seed of the randomized election timeouts.
    pub seed: u64,
}

/// An effect that the caller has to carry out or report.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this frame to the process of this name.
    Send(String, Vec<u8>),
    /// Persist these changes atomically and then call [`Log::durable`]; batches are numbered from 1.
    Write(u64, Vec<Change>),
    /// A command of this process has completed: its number and its outcome.
    Completed(u64, Outcome),
}

/// Reason for refusing a proposed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Too many commands are pending.
    #[error("{MAX_PENDING_COMMANDS} commands are already pending")]
    Full,
    /// The key and value are too large.
    #[error("command exceeds {MAX_KEY_VALUE_BYTES} bytes")]
    TooLarge,
}

/// The log of one process. Time is passed in by the caller.
pub struct Log {
    settings: Settings,
    mode: Mode,
    log_id: u64,
    /// The members of the known founding, kept to answer processes that ask for them.
    founded: Option<Members>,
    ticks: u32,
    tick_at: Duration,
    last_number: u64,
    /// Commands of this process that have no outcome yet.
    pending_commands: BTreeMap<u64, Put>,
    /// Rotating index into the voters, for fetches and commands of a process that does not vote.
    poll_cursor: usize,
    /// Voters known to have lost their state, by name, with the tick of their last request for replacement.
    lost_state: BTreeMap<String, u32>,
    /// Names of senders by id: a new learner has no other way to address the other voters.
    sender_names: BTreeMap<u64, String>,
    dropped_frames: [u64; 3],
    stopped: bool,
    /// The batch that persists the promise of a founding, and the promised members.
    pending_promise: Option<(u64, Members)>,
    own_batches: u64,
}

enum Mode {
    Founding(Founder),
    Voting(Box<Voter>),
    Following(Follower),
}

/// State of a process that follows the log without being a voter.
#[derive(Default)]
struct Follower {
    state: ReplicatedState,
    applied: u64,
    voters: VoterConfig,
}

impl Log {
    /// Creates the log from the persisted state.
    pub fn new(settings: Settings, memory: &PersistedState, now: Duration) -> Result<Self, LoadError> {
        let read_grant =
            |name| memory.grants.get(name).and_then(|bytes| postcard::from_bytes::<Members>(bytes).ok());
        let founded = read_grant(FOUNDED_GRANT);
        let mode = match &founded {
            Some(_) => Mode::Voting(Box::new(Voter::new(settings.id, memory, settings.seed)?)),
            None => {
                let (voters, promised) = (settings.voters.clone(), read_grant(FOUNDING_GRANT));
                Mode::Founding(Founder::new(&settings.name, settings.id, voters, promised))
            }
        };
        let log_id = founded.as_ref().map_or(0, log_id);
        let (ticks, last_number, poll_cursor, own_batches, stopped) = Default::default();
        Ok(Log {
            mode,
            log_id,
            founded,
            ticks,
            tick_at: now,
            last_number,
            pending_commands: BTreeMap::new(),
            poll_cursor,
            lost_state: BTreeMap::new(),
            sender_names: BTreeMap::new(),
            dropped_frames: [0; 3],
            stopped,
            pending_promise: None,
            own_batches,
            settings,
        })
    }

    /// Time of the next tick.
    pub fn due(&self) -> Duration {
        self.tick_at
    }

    /// Advances the clock and does what is due. Must be called at [`Log::due`] or later.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + self.settings.round_trip;
        self.ticks = self.ticks.wrapping_add(1);
        if self.stopped {
            return;
        }
        let resend_due = self.ticks.is_multiple_of(RESEND_TICKS);
        match &mut self.mode {
            Mode::Founding(founder) => {
                if resend_due {
                    let founding = founder.message();
                    let others = self.settings.voters.iter().filter(|name| **name != self.settings.name);
                    let others: Vec<String> = others.cloned().collect();
                    for name in others {
                        self.send(name, &Message::Founding(founding.clone()), out);
                    }
                }
            }
            Mode::Voting(voter) => voter.tick(now),
            Mode::Following(follower) => {
                if self.ticks.is_multiple_of(FETCH_TICKS) {
                    let after = follower.applied;
                    self.send_fetch(after, out);
                }
                if resend_due && self.settings.voters.contains(&self.settings.name) {
                    let (name, id) = (self.settings.name.clone(), self.settings.id);
                    let others: Vec<String> =
                        self.settings.voters.iter().filter(|other| **other != name).cloned().collect();
                    for other in others {
                        self.send(other, &Message::ReplaceVoter { name: name.clone(), id }, out);
                    }
                }
            }
        }
        if resend_due {
            let ticks = self.ticks;
            self.lost_state.retain(|_, at| ticks.wrapping_sub(*at) < 4 * RESEND_TICKS);
            self.send_commands(out);
        }
        self.process_ready(now, out);
    }

    /// Handles a received frame.
    pub fn receive(&mut self, now: Duration, frame: &[u8], out: &mut Vec<Output>) {
        if self.stopped {
            return;
        }
        match wire::decode(&self.settings.cluster, frame) {
            Ok(message) => self.handle(message, out),
            Err(error) => self.dropped_frames[error as usize] += 1,
        }
        self.process_ready(now, out);
    }

    /// Submits a command and returns its number. The command is resent until it has an outcome.
    pub fn propose(&mut self, now: Duration, put: Put, out: &mut Vec<Output>) -> Result<u64, ProposeError> {
        if put.key.len() + put.bytes.as_ref().map_or(0, Vec::len) > MAX_KEY_VALUE_BYTES {
            return Err(ProposeError::TooLarge);
        }
        if self.pending_commands.len() >= MAX_PENDING_COMMANDS {
            return Err(ProposeError::Full);
        }
        self.last_number += 1;
        self.pending_commands.insert(self.last_number, put);
        self.send_command(self.last_number, out);
        self.process_ready(now, out);
        Ok(self.last_number)
    }

    /// Records that all batches up to this one are durable.
    pub fn durable(&mut self, now: Duration, batch: u64, out: &mut Vec<Output>) {
        if let Some((promised, _)) = &self.pending_promise
            && batch >= *promised
            && let Some((_, members)) = self.pending_promise.take()
            && let Mode::Founding(founder) = &mut self.mode
        {
            founder.set_promised(members);
        }
        let before = self.own_batches;
        if let Mode::Voting(voter) = &mut self.mode {
            let mut effects = Effects::default();
            voter.durable(batch.saturating_sub(before), &mut effects);
            self.apply_effects(effects, out);
        }
        self.process_ready(now, out);
    }

    /// Stops all participation: called when nothing can be persisted any more, or when other members remember a later
    /// start on this state folder. Whatever this process sent from then on could be forgotten.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// The replicated state as far as it is known here; none before a log exists.
    pub fn state(&self) -> Option<&ReplicatedState> {
        match &self.mode {
            Mode::Founding(_) => None,
            Mode::Voting(voter) => Some(&voter.state),
            Mode::Following(follower) => Some(&follower.state),
        }
    }

    /// Current status of the log in this process.
    pub fn status(&self) -> Status {
        let names_of = |state: &ReplicatedState, ids: &[u64]| {
            ids.iter().filter_map(|id| state.names.get(id).cloned()).collect::<Vec<_>>()
        };
        let (mut reconfiguring, mut learners) = (false, Vec::new());
        let (role, leader, term, applied, voters) = match &self.mode {
            Mode::Founding(_) => {
                (Role::Founding, None, 0, 0, self.settings.voters.iter().cloned().collect())
            }
            Mode::Voting(voter) => {
                let config = voter.config();
                let role = match voter.is_leader() {
                    true => Role::Leader,
                    false if config.is_voter(self.settings.id) => Role::Voter,
                    false => Role::Learner,
                };
                let leader = voter.state.names.get(&voter.leader()).cloned();
                reconfiguring = !config.outgoing.is_empty();
                learners = names_of(&voter.state, &config.learners);
                (role, leader, voter.term(), voter.applied, names_of(&voter.state, &config.voters))
            }
            Mode::Following(follower) => (
                Role::Follower,
                None,
                0,
                follower.applied,
                names_of(&follower.state, &follower.voters.voters),
            ),
        };
        Status {
            role,
            log_id: self.log_id,
            leader,
            term,
            applied,
            voters,
            learners,
            reconfiguring,
            lost_state: self.lost_state.keys().cloned().collect(),
            founding_conflict: match &self.mode {
                Mode::Founding(founder) => founder.founding_conflict(),
                _ => None,
            },
            pending_commands: self.pending_commands.len(),
            dropped_frames: self.dropped_frames,
            stopped: self.stopped,
        }
    }

    fn handle(&mut self, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Founding(founding) => self.handle_founding(founding, out),
            Message::Raft { log_id, sender, message } => {
                if log_id != self.log_id || message.to != self.settings.id {
                    return;
                }
                if self.sender_names.len() < MAX_SENDER_NAMES {
                    self.sender_names.insert(message.from, sender);
                }
                match &mut self.mode {
                    Mode::Voting(voter) => voter.receive(message),
                    // The leader has added this process as a learner and sends it the whole log from here on.
                    Mode::Following(_) => self.become_learner(message, out),
                    Mode::Founding(_) => {}
                }
            }
            Message::Command { command, forwarded } => {
                if let Mode::Voting(voter) = &mut self.mode
                    && !voter.propose(&command)
                    && !forwarded
                    && let Some(leader) = voter.state.names.get(&voter.leader()).cloned()
                    && leader != self.settings.name
                {
                    self.send(leader, &Message::Command { command, forwarded: true }, out);
                }
            }
            Message::Fetch { from, log_id, after } => self.answer_fetch(from, log_id, after, out),
            Message::Committed { log_id, snapshot, entries } => {
                if log_id == self.log_id {
                    self.apply_committed(snapshot, entries, out);
                }
            }
            Message::ReplaceVoter { name, id } => {
                if let Mode::Voting(voter) = &mut self.mode {
                    voter.note_replacement(name.clone(), id);
                    self.lost_state.insert(name, self.ticks);
                }
            }
        }
    }

    fn handle_founding(&mut self, founding: Founding, out: &mut Vec<Output>) {
        let asks = !matches!(founding.stage, Stage::Founded(_));
        if let (Some(members), true) = (&self.founded, asks) {
            let (from, id) = (self.settings.name.clone(), self.settings.id);
            let reply = Founding { from, id, stage: Stage::Founded(members.clone()) };
            return self.send(founding.from, &Message::Founding(reply), out);
        }
        let Mode::Founding(founder) = &mut self.mode else { return };
        match founder.receive(founding) {
            Some(Transition::Promise(members)) if self.pending_promise.is_none() => {
                self.own_batches += 1;
                out.push(Output::Write(self.own_batches, vec![grant_change(FOUNDING_GRANT, &members)]));
                self.pending_promise = Some((self.own_batches, members));
            }
            Some(Transition::Found(members)) => self.found_log(members, out),
            Some(Transition::Follow(members)) => {
                self.log_id = log_id(&members);
                self.founded = Some(members);
                self.mode = Mode::Following(Follower::default());
            }
            Some(Transition::Promise(_)) | None => {}
        }
    }

    /// All voters have promised: the log begins with a snapshot of the members at index 1.
    fn found_log(&mut self, members: Members, out: &mut Vec<Output>) {
        let state = postcard::to_stdvec(&ReplicatedState::founded(&members)).unwrap_or_default(); // cannot fail
        let voters = VoterConfig { voters: members.values().copied().collect(), ..VoterConfig::default() };
        let snapshot = Snapshot { index: 1, term: 1, voters, state };
        let mut memory = PersistedState::default();
        let promise = HardState { term: 1, vote: None, commit: 1 };
        let bytes = postcard::to_stdvec(&snapshot).unwrap_or_default(); // cannot fail
        let changes = vec![
            grant_change(FOUNDED_GRANT, &members),
            Change::HardState(promise),
            Change::Snapshot(crate::state::persisted::Snapshot { index: 1, term: 1, bytes }),
        ];
        changes.iter().cloned().for_each(|change| memory.apply(change));
        // Cannot fail: the state was serialized just above.
        let Ok(voter) = Voter::new(self.settings.id, &memory, self.settings.seed) else { return };
        self.own_batches += 1;
        out.push(Output::Write(self.own_batches, changes));
        self.log_id = log_id(&members);
        self.founded = Some(members);
        self.mode = Mode::Voting(Box::new(voter));
    }

    /// A learner starts with an empty log and persists its own from then on.
    fn become_learner(&mut self, message: wire::RaftMessage, out: &mut Vec<Output>) {
        let Some(members) = &self.founded else { return };
        let Ok(mut voter) = Voter::new(self.settings.id, &PersistedState::default(), self.settings.seed)
        else {
            return;
        };
        voter.receive(message);
        self.own_batches += 1;
        out.push(Output::Write(self.own_batches, vec![grant_change(FOUNDED_GRANT, members)]));
        self.mode = Mode::Voting(Box::new(voter));
    }

    fn answer_fetch(&mut self, from: String, log_id: u64, after: u64, out: &mut Vec<Output>) {
        let Mode::Voting(voter) = &mut self.mode else { return };
        // An index is meaningless in another log.
        let after = if log_id == self.log_id { after } else { 0 };
        let (snapshot, entries) = voter.committed_after(after);
        if snapshot.is_some() || !entries.is_empty() {
            self.send(from, &Message::Committed { log_id: self.log_id, snapshot, entries }, out);
        }
    }

    fn apply_committed(
        &mut self,
        snapshot: Option<Box<Snapshot>>,
        entries: Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        let Mode::Following(follower) = &mut self.mode else { return };
        let before = follower.applied;
        if let Some(snapshot) = snapshot
            && snapshot.index > follower.applied
            && let Ok(state) = postcard::from_bytes::<ReplicatedState>(&snapshot.state)
        {
            *follower = Follower { state, applied: snapshot.index, voters: snapshot.voters };
        }
        for entry in entries {
            if entry.index != follower.applied + 1 {
                continue; // already applied, or beyond a gap
            }
            follower.applied = entry.index;
            match entry.payload {
                Payload::Command(bytes) => {
                    if let Ok(command) = postcard::from_bytes(&bytes) {
                        follower.state.apply(entry.index, command);
                    }
                }
                Payload::ChangeVoters(changes, context) => {
                    follower.voters.apply(&changes);
                    follower.state.apply_voter_changes(&changes, &context);
                }
                Payload::Empty => {}
            }
        }
        let after = follower.applied;
        if after > before {
            self.send_fetch(after, out); // more may be available
        }
    }

    /// Fetches the entries after this index from one of the voters, in rotation.
    fn send_fetch(&mut self, after: u64, out: &mut Vec<Output>) {
        let (from, log_id) = (self.settings.name.clone(), self.log_id);
        if let Some(name) = self.next_voter() {
            self.send(name, &Message::Fetch { from, log_id, after }, out);
        }
    }

    fn next_voter(&mut self) -> Option<String> {
        let others: Vec<&String> =
            self.settings.voters.iter().filter(|name| **name != self.settings.name).collect();
        self.poll_cursor = self.poll_cursor.wrapping_add(1);
        others.get(self.poll_cursor % others.len().max(1)).map(|name| (*name).clone())
    }

    fn send_commands(&mut self, out: &mut Vec<Output>) {
        let numbers: Vec<u64> = self.pending_commands.keys().copied().collect();
        numbers.into_iter().for_each(|number| self.send_command(number, out));
    }

    fn send_command(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(put) = self.pending_commands.get(&number).cloned() else { return };
        let command = Command { client: self.settings.client, number, put };
        let to = match &mut self.mode {
            Mode::Founding(_) => None,
            Mode::Voting(voter) => match voter.propose(&command) {
                true => None,
                false => voter.state.names.get(&voter.leader()).cloned(),
            },
            Mode::Following(_) => self.next_voter(),
        };
        if let Some(to) = to.filter(|to| *to != self.settings.name) {
            self.send(to, &Message::Command { command, forwarded: false }, out);
        }
    }

    fn send(&self, to: String, message: &Message, out: &mut Vec<Output>) {
        out.push(Output::Send(to, wire::encode(&self.settings.cluster, message)));
    }

    fn process_ready(&mut self, now: Duration, out: &mut Vec<Output>) {
        if let Mode::Voting(voter) = &mut self.mode {
            let mut effects = Effects::default();
            voter.process_ready(now, &mut effects);
            self.apply_effects(effects, out);
        }
        // Includes commands whose outcome arrived in a snapshot.
        let Some(state) = self.state() else { return };
        let outcome = |number: &u64| Some((*number, state.outcome(self.settings.client, *number)?));
        let completed: Vec<(u64, Outcome)> = self.pending_commands.keys().filter_map(outcome).collect();
        for (number, outcome) in completed {
            self.pending_commands.remove(&number);
            out.push(Output::Completed(number, outcome));
        }
    }

    fn apply_effects(&mut self, effects: Effects, out: &mut Vec<Output>) {
        let Mode::Voting(voter) = &self.mode else { return };
        for (batch, changes) in effects.write {
            out.push(Output::Write(self.own_batches + batch, changes));
        }
        let mut sent = Vec::new();
        for message in effects.send {
            let name = voter.state.names.get(&message.to).or_else(|| self.sender_names.get(&message.to));
            if let Some(name) = name.cloned() {
                let sender = self.settings.name.clone();
                sent.push((name, Message::Raft { log_id: self.log_id, sender, message }));
            }
        }
        for (name, message) in sent {
            self.send(name, &message, out);
        }
    }
}

fn grant_change(name: &str, members: &Members) -> Change {
    let bytes = postcard::to_stdvec(members).unwrap_or_default(); // serializing to memory does not fail
    Change::Grant { name: name.to_owned(), bytes: Some(bytes) }
}
