//! Agreement: one log that 3, 5 or 7 named voters write together, and everybody else follows.
//!
//! Consensus is a kept crate's (raft): pre-vote, a leader that steps down without its majority, learners, joint changes of
//! voters. `wire` has its messages in a form of our own, `storage` what it keeps, `voter` the crate with its disk, `founding`
//! how a log begins, `replicated_state` the state that comes of it. No I/O, and time is handed in.
//!
//! A voter's number is drawn with its state folder. Who comes back with another folder is somebody else, who may learn and
//! then take the place of the one of its name; the old number never votes again. Where more than half of the voters have
//! lost their memory nothing is agreed any more, and that is said ([`Status::lost_state`]): the rest may not go on as if there had
//! been no others.

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

use crate::state::memory::{Change, Memory, Promise};
use founding::{Founder, Transition};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;
use voter::{Effects, Voter};
use wire::{Entry, Message, Payload, Snapshot, VoterConfig};

/// Under this name the promise of a founding lies among the grants.
const FOUNDING_GRANT: &str = "log/founding";
/// And under this the members with which the log was founded, at all that have a part in its vote.
const FOUNDED_GRANT: &str = "log/founded";
/// Orders of this process that may wait for their outcome.
const MAX_PENDING_COMMANDS: usize = 64;
/// Between two times that the same is said, in ticks: an order without an outcome, a founding, a wish to succeed.
const RESEND_TICKS: u32 = 10;
/// Voters whose names are remembered as they speak.
const MAX_SENDER_NAMES: usize = 64;
/// A process that follows asks again after so many ticks.
const FETCH_TICKS: u32 = 10;

/// What a process is told of the log.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whose messages are heard: the cluster's name.
    pub cluster: String,
    /// This process's name.
    pub name: String,
    /// Its number, drawn with its state folder; not 0.
    pub id: u64,
    /// Who orders: drawn at each start.
    pub client: u128,
    /// The names of the voters: 3, 5 or 7, alike in all processes.
    pub voters: BTreeSet<String>,
    /// The longest that a message and its answer take on a good day: a tick.
    pub round_trip: Duration,
    /// For the times of elections.
    pub seed: u64,
}

/// What is to be done or said.
#[derive(Clone, Debug)]
pub enum Output {
    /// This is to be sent to the process of this name.
    Send(String, Vec<u8>),
    /// These changes are to be made durable as one, and [`Log::durable`] told; batches are numbered from 1.
    Write(u64, Vec<Change>),
    /// An order of this process has come to an end: its number, and what became of it.
    Completed(u64, Outcome),
}

/// Why an order was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Too many wait.
    #[error("{MAX_PENDING_COMMANDS} commands are already pending")]
    Full,
    /// It is larger than may be.
    #[error("command exceeds {MAX_KEY_VALUE_BYTES} bytes")]
    TooLarge,
}

/// The log at one process, in made time.
pub struct Log {
    settings: Settings,
    mode: Mode,
    log_id: u64,
    /// The founding that is known, for those that ask.
    founded: Option<Members>,
    ticks: u32,
    tick_at: Duration,
    last_number: u64,
    /// Orders of this process without an outcome.
    pending_commands: BTreeMap<u64, Put>,
    /// Which of the voters is asked next by one that follows or orders.
    next_asked: usize,
    /// Voters known to have lost their memory, by name, and the tick at which they last said so.
    lost_state: BTreeMap<String, u32>,
    /// Names of voters that have spoken, by number: one that learns knows them by nothing else.
    sender_names: BTreeMap<u64, String>,
    dropped_frames: [u64; 3],
    stopped: bool,
    /// The batch that makes the promise of a founding durable, and what it promises.
    pending_promise: Option<(u64, Members)>,
    own_batches: u64,
}

enum Mode {
    Founding(Founder),
    Voting(Box<Voter>),
    Following(Follower),
}

/// What one that follows has.
#[derive(Default)]
struct Follower {
    state: ReplicatedState,
    applied: u64,
    voters: VoterConfig,
}

impl Log {
    /// A process with what it remembers.
    pub fn new(settings: Settings, memory: &Memory, now: Duration) -> Result<Self, LoadError> {
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
        let (ticks, last_number, next_asked, own_batches, stopped) = Default::default();
        Ok(Log {
            mode,
            log_id,
            founded,
            ticks,
            tick_at: now,
            last_number,
            pending_commands: BTreeMap::new(),
            next_asked,
            lost_state: BTreeMap::new(),
            sender_names: BTreeMap::new(),
            dropped_frames: [0; 3],
            stopped,
            pending_promise: None,
            own_batches,
            settings,
        })
    }

    /// When it wants to be ticked next.
    pub fn due(&self) -> Duration {
        self.tick_at
    }

    /// Does what is due. To be called at [`Log::due`] or later.
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

    /// Takes a frame as it came.
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

    /// Takes an order; its number. It is sent until it has an outcome.
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

    /// All batches up to this one are durable.
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

    /// Nothing is kept any more: whatever this process says from now on could be forgotten, so it says nothing.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// What is agreed, as far as it has come here.
    pub fn state(&self) -> Option<&ReplicatedState> {
        match &self.mode {
            Mode::Founding(_) => None,
            Mode::Voting(voter) => Some(&voter.state),
            Mode::Following(follower) => Some(&follower.state),
        }
    }

    /// How things are.
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
                    // It is let in: from here on the leader tells it everything.
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

    /// All have promised: the log begins with who votes, at index 1.
    fn found_log(&mut self, members: Members, out: &mut Vec<Output>) {
        let state = postcard::to_stdvec(&ReplicatedState::founded(&members)).unwrap_or_default(); // as above
        let voters = VoterConfig { voters: members.values().copied().collect(), ..VoterConfig::default() };
        let snapshot = Snapshot { index: 1, term: 1, voters, state };
        let mut memory = Memory::default();
        let promise = Promise { term: 1, vote: None, commit: 1 };
        let bytes = postcard::to_stdvec(&snapshot).unwrap_or_default(); // as above
        let changes = vec![
            grant_change(FOUNDED_GRANT, &members),
            Change::Promise(promise),
            Change::Snapshot(crate::state::memory::Snapshot { index: 1, term: 1, bytes }),
        ];
        changes.iter().cloned().for_each(|change| memory.apply(change));
        // It was written a moment ago, and reads.
        let Ok(voter) = Voter::new(self.settings.id, &memory, self.settings.seed) else { return };
        self.own_batches += 1;
        out.push(Output::Write(self.own_batches, changes));
        self.log_id = log_id(&members);
        self.founded = Some(members);
        self.mode = Mode::Voting(Box::new(voter));
    }

    /// A learner begins with nothing; what it keeps from then on is its own.
    fn become_learner(&mut self, message: wire::RaftMessage, out: &mut Vec<Output>) {
        let Some(members) = &self.founded else { return };
        let Ok(mut voter) = Voter::new(self.settings.id, &Memory::default(), self.settings.seed) else {
            return;
        };
        voter.receive(message);
        self.own_batches += 1;
        out.push(Output::Write(self.own_batches, vec![grant_change(FOUNDED_GRANT, members)]));
        self.mode = Mode::Voting(Box::new(voter));
    }

    fn answer_fetch(&mut self, from: String, log_id: u64, after: u64, out: &mut Vec<Output>) {
        let Mode::Voting(voter) = &mut self.mode else { return };
        // An index of another history says nothing.
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
                continue; // known, or from further on
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
            self.send_fetch(after, out); // there may be more
        }
    }

    /// Asks one of the voters for what follows, another one each time.
    fn send_fetch(&mut self, after: u64, out: &mut Vec<Output>) {
        let (from, log_id) = (self.settings.name.clone(), self.log_id);
        if let Some(name) = self.next_voter() {
            self.send(name, &Message::Fetch { from, log_id, after }, out);
        }
    }

    fn next_voter(&mut self) -> Option<String> {
        let others: Vec<&String> =
            self.settings.voters.iter().filter(|name| **name != self.settings.name).collect();
        self.next_asked = self.next_asked.wrapping_add(1);
        others.get(self.next_asked % others.len().max(1)).map(|name| (*name).clone())
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
        // Also those that came by a snapshot.
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
    let bytes = postcard::to_stdvec(members).unwrap_or_default(); // writing to memory does not fail
    Change::Grant { name: name.to_owned(), bytes: Some(bytes) }
}
