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
use founding::{Founder, Turn};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;
use voter::{Deeds, Voter};
use wire::{Entry, Message, Says, Snapshot, Voters};

/// Under this name the promise of a founding lies among the grants.
const FOUNDING: &str = "log/founding";
/// And under this the members with which the log was founded, at all that have a part in its vote.
const FOUNDED: &str = "log/founded";
/// Orders of this process that may wait for their outcome.
const ORDERS_MOST: usize = 64;
/// Between two times that the same is said, in ticks: an order without an outcome, a founding, a wish to succeed.
const AGAIN: u32 = 10;
/// Voters whose names are remembered as they speak.
const SPOKE_MOST: usize = 64;
/// A process that follows asks again after so many ticks.
const FOLLOW: u32 = 10;

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
    #[error("{ORDERS_MOST} orders wait for their outcome")]
    Full,
    /// It is larger than may be.
    #[error("larger than {MAX_KEY_VALUE_BYTES} bytes")]
    TooLarge,
}

/// The log at one process, in made time.
pub struct Log {
    settings: Settings,
    stand: Stand,
    log_id: u64,
    /// The founding that is known, for those that ask.
    founded: Option<Members>,
    ticks: u32,
    tick_at: Duration,
    numbered: u64,
    /// Orders of this process without an outcome.
    orders: BTreeMap<u64, Put>,
    /// Which of the voters is asked next by one that follows or orders.
    asked: usize,
    /// Voters known to have lost their memory, by name, and the tick at which they last said so.
    lost: BTreeMap<String, u32>,
    /// Names of voters that have spoken, by number: one that learns knows them by nothing else.
    spoke: BTreeMap<u64, String>,
    dropped: [u64; 3],
    stopped: bool,
    /// The batch that makes the promise of a founding durable, and what it promises.
    promising: Option<(u64, Members)>,
    batches: u64,
}

enum Stand {
    Founding(Founder),
    Votes(Box<Voter>),
    Follows(Followed),
}

/// What one that follows has.
#[derive(Default)]
struct Followed {
    agreed: ReplicatedState,
    applied: u64,
    voters: Voters,
}

impl Log {
    /// A process with what it remembers.
    pub fn new(settings: Settings, memory: &Memory, now: Duration) -> Result<Self, LoadError> {
        let granted =
            |name| memory.grants.get(name).and_then(|bytes| postcard::from_bytes::<Members>(bytes).ok());
        let founded = granted(FOUNDED);
        let stand = match &founded {
            Some(_) => Stand::Votes(Box::new(Voter::new(settings.id, memory, settings.seed)?)),
            None => {
                let (named, promised) = (settings.voters.clone(), granted(FOUNDING));
                Stand::Founding(Founder::new(&settings.name, settings.id, named, promised))
            }
        };
        let log_id = founded.as_ref().map_or(0, log_id);
        let (ticks, numbered, asked, batches, stopped) = Default::default();
        Ok(Log {
            stand,
            log_id,
            founded,
            ticks,
            tick_at: now,
            numbered,
            orders: BTreeMap::new(),
            asked,
            lost: BTreeMap::new(),
            spoke: BTreeMap::new(),
            dropped: [0; 3],
            stopped,
            promising: None,
            batches,
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
        let again = self.ticks.is_multiple_of(AGAIN);
        match &mut self.stand {
            Stand::Founding(founder) => {
                if again {
                    let founding = founder.says();
                    let others = self.settings.voters.iter().filter(|name| **name != self.settings.name);
                    let others: Vec<String> = others.cloned().collect();
                    for name in others {
                        self.send(name, &Message::Founding(founding.clone()), out);
                    }
                }
            }
            Stand::Votes(voter) => voter.tick(now),
            Stand::Follows(followed) => {
                if self.ticks.is_multiple_of(FOLLOW) {
                    let after = followed.applied;
                    self.ask_on(after, out);
                }
                if again && self.settings.voters.contains(&self.settings.name) {
                    let (name, id) = (self.settings.name.clone(), self.settings.id);
                    let others: Vec<String> =
                        self.settings.voters.iter().filter(|other| **other != name).cloned().collect();
                    for other in others {
                        self.send(other, &Message::Succeed { name: name.clone(), id }, out);
                    }
                }
            }
        }
        if again {
            let ticks = self.ticks;
            self.lost.retain(|_, at| ticks.wrapping_sub(*at) < 4 * AGAIN);
            self.send_orders(out);
        }
        self.work(now, out);
    }

    /// Takes a frame as it came.
    pub fn receive(&mut self, now: Duration, frame: &[u8], out: &mut Vec<Output>) {
        if self.stopped {
            return;
        }
        match wire::open(&self.settings.cluster, frame) {
            Ok(message) => self.take(message, out),
            Err(unheard) => self.dropped[unheard as usize] += 1,
        }
        self.work(now, out);
    }

    /// Takes an order; its number. It is sent until it has an outcome.
    pub fn propose(&mut self, now: Duration, put: Put, out: &mut Vec<Output>) -> Result<u64, ProposeError> {
        if put.key.len() + put.bytes.as_ref().map_or(0, Vec::len) > MAX_KEY_VALUE_BYTES {
            return Err(ProposeError::TooLarge);
        }
        if self.orders.len() >= ORDERS_MOST {
            return Err(ProposeError::Full);
        }
        self.numbered += 1;
        self.orders.insert(self.numbered, put);
        self.send_order(self.numbered, out);
        self.work(now, out);
        Ok(self.numbered)
    }

    /// All batches up to this one are durable.
    pub fn durable(&mut self, now: Duration, batch: u64, out: &mut Vec<Output>) {
        if let Some((promised, _)) = &self.promising
            && batch >= *promised
            && let Some((_, members)) = self.promising.take()
            && let Stand::Founding(founder) = &mut self.stand
        {
            founder.promise(members);
        }
        let before = self.batches;
        if let Stand::Votes(voter) = &mut self.stand {
            let mut deeds = Deeds::default();
            voter.durable(batch.saturating_sub(before), &mut deeds);
            self.carry_out(deeds, out);
        }
        self.work(now, out);
    }

    /// Nothing is kept any more: whatever this process says from now on could be forgotten, so it says nothing.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// What is agreed, as far as it has come here.
    pub fn state(&self) -> Option<&ReplicatedState> {
        match &self.stand {
            Stand::Founding(_) => None,
            Stand::Votes(voter) => Some(&voter.agreed),
            Stand::Follows(followed) => Some(&followed.agreed),
        }
    }

    /// How things are.
    pub fn status(&self) -> Status {
        let named = |agreed: &ReplicatedState, ids: &[u64]| {
            ids.iter().filter_map(|id| agreed.names.get(id).cloned()).collect::<Vec<_>>()
        };
        let (mut reconfiguring, mut learners) = (false, Vec::new());
        let (role, leader, term, applied, voters) = match &self.stand {
            Stand::Founding(_) => {
                (Role::Founding, None, 0, 0, self.settings.voters.iter().cloned().collect())
            }
            Stand::Votes(voter) => {
                let voters = voter.voters();
                let role = match voter.is_leader() {
                    true => Role::Leader,
                    false if voters.votes(self.settings.id) => Role::Voter,
                    false => Role::Learner,
                };
                let leader = voter.agreed.names.get(&voter.leader()).cloned();
                reconfiguring = !voters.outgoing.is_empty();
                learners = named(&voter.agreed, &voters.learners);
                (role, leader, voter.term(), voter.applied, named(&voter.agreed, &voters.voters))
            }
            Stand::Follows(followed) => (
                Role::Follower,
                None,
                0,
                followed.applied,
                named(&followed.agreed, &followed.voters.voters),
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
            lost_state: self.lost.keys().cloned().collect(),
            founding_conflict: match &self.stand {
                Stand::Founding(founder) => founder.founding_conflict(),
                _ => None,
            },
            pending_commands: self.orders.len(),
            dropped_frames: self.dropped,
            stopped: self.stopped,
        }
    }

    fn take(&mut self, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Founding(founding) => self.hear_founding(founding, out),
            Message::Vote { log_id, by, says } => {
                if log_id != self.log_id || says.to != self.settings.id {
                    return;
                }
                if self.spoke.len() < SPOKE_MOST {
                    self.spoke.insert(says.from, by);
                }
                match &mut self.stand {
                    Stand::Votes(voter) => voter.hear(says),
                    // It is let in: from here on the leader tells it everything.
                    Stand::Follows(_) => self.learn(says, out),
                    Stand::Founding(_) => {}
                }
            }
            Message::Command { order, passed } => {
                if let Stand::Votes(voter) = &mut self.stand
                    && !voter.propose(&order)
                    && !passed
                    && let Some(leader) = voter.agreed.names.get(&voter.leader()).cloned()
                    && leader != self.settings.name
                {
                    self.send(leader, &Message::Command { order, passed: true }, out);
                }
            }
            Message::Follow { from, log_id, after } => self.answer(from, log_id, after, out),
            Message::Committed { log_id, snapshot, entries } => {
                if log_id == self.log_id {
                    self.follow(snapshot, entries, out);
                }
            }
            Message::Succeed { name, id } => {
                if let Stand::Votes(voter) = &mut self.stand {
                    voter.note_successor(name.clone(), id);
                    self.lost.insert(name, self.ticks);
                }
            }
        }
    }

    fn hear_founding(&mut self, founding: Founding, out: &mut Vec<Output>) {
        let asks = !matches!(founding.stage, Stage::Founded(_));
        if let (Some(members), true) = (&self.founded, asks) {
            let (from, id) = (self.settings.name.clone(), self.settings.id);
            let told = Founding { from, id, stage: Stage::Founded(members.clone()) };
            return self.send(founding.from, &Message::Founding(told), out);
        }
        let Stand::Founding(founder) = &mut self.stand else { return };
        match founder.hear(founding) {
            Some(Turn::Promise(members)) if self.promising.is_none() => {
                self.batches += 1;
                out.push(Output::Write(self.batches, vec![granted(FOUNDING, &members)]));
                self.promising = Some((self.batches, members));
            }
            Some(Turn::Found(members)) => self.found(members, out),
            Some(Turn::Follow(members)) => {
                self.log_id = log_id(&members);
                self.founded = Some(members);
                self.stand = Stand::Follows(Followed::default());
            }
            Some(Turn::Promise(_)) | None => {}
        }
    }

    /// All have promised: the log begins with who votes, at index 1.
    fn found(&mut self, members: Members, out: &mut Vec<Output>) {
        let state = postcard::to_stdvec(&ReplicatedState::founded(&members)).unwrap_or_default(); // as above
        let voters = Voters { voters: members.values().copied().collect(), ..Voters::default() };
        let snapshot = Snapshot { index: 1, term: 1, voters, state };
        let mut memory = Memory::default();
        let promise = Promise { term: 1, vote: None, commit: 1 };
        let bytes = postcard::to_stdvec(&snapshot).unwrap_or_default(); // as above
        let changes = vec![
            granted(FOUNDED, &members),
            Change::Promise(promise),
            Change::Snapshot(crate::state::memory::Snapshot { index: 1, term: 1, bytes }),
        ];
        changes.iter().cloned().for_each(|change| memory.apply(change));
        // It was written a moment ago, and reads.
        let Ok(voter) = Voter::new(self.settings.id, &memory, self.settings.seed) else { return };
        self.batches += 1;
        out.push(Output::Write(self.batches, changes));
        self.log_id = log_id(&members);
        self.founded = Some(members);
        self.stand = Stand::Votes(Box::new(voter));
    }

    /// A learner begins with nothing; what it keeps from then on is its own.
    fn learn(&mut self, says: wire::Said, out: &mut Vec<Output>) {
        let Some(members) = &self.founded else { return };
        let Ok(mut voter) = Voter::new(self.settings.id, &Memory::default(), self.settings.seed) else {
            return;
        };
        voter.hear(says);
        self.batches += 1;
        out.push(Output::Write(self.batches, vec![granted(FOUNDED, members)]));
        self.stand = Stand::Votes(Box::new(voter));
    }

    fn answer(&mut self, from: String, log_id: u64, after: u64, out: &mut Vec<Output>) {
        let Stand::Votes(voter) = &mut self.stand else { return };
        // An index of another history says nothing.
        let after = if log_id == self.log_id { after } else { 0 };
        let (snapshot, entries) = voter.tail(after);
        if snapshot.is_some() || !entries.is_empty() {
            self.send(from, &Message::Committed { log_id: self.log_id, snapshot, entries }, out);
        }
    }

    fn follow(&mut self, snapshot: Option<Box<Snapshot>>, entries: Vec<Entry>, out: &mut Vec<Output>) {
        let Stand::Follows(followed) = &mut self.stand else { return };
        let before = followed.applied;
        if let Some(snapshot) = snapshot
            && snapshot.index > followed.applied
            && let Ok(agreed) = postcard::from_bytes::<ReplicatedState>(&snapshot.state)
        {
            *followed = Followed { agreed, applied: snapshot.index, voters: snapshot.voters };
        }
        for entry in entries {
            if entry.index != followed.applied + 1 {
                continue; // known, or from further on
            }
            followed.applied = entry.index;
            match entry.says {
                Says::Command(bytes) => {
                    if let Ok(order) = postcard::from_bytes(&bytes) {
                        followed.agreed.carry_out(entry.index, order);
                    }
                }
                Says::Voters(steps, context) => {
                    followed.voters.step(&steps);
                    followed.agreed.rename(&steps, &context);
                }
                Says::Nothing => {}
            }
        }
        let after = followed.applied;
        if after > before {
            self.ask_on(after, out); // there may be more
        }
    }

    /// Asks one of the voters for what follows, another one each time.
    fn ask_on(&mut self, after: u64, out: &mut Vec<Output>) {
        let (from, log_id) = (self.settings.name.clone(), self.log_id);
        if let Some(name) = self.next_voter() {
            self.send(name, &Message::Follow { from, log_id, after }, out);
        }
    }

    fn next_voter(&mut self) -> Option<String> {
        let others: Vec<&String> =
            self.settings.voters.iter().filter(|name| **name != self.settings.name).collect();
        self.asked = self.asked.wrapping_add(1);
        others.get(self.asked % others.len().max(1)).map(|name| (*name).clone())
    }

    fn send_orders(&mut self, out: &mut Vec<Output>) {
        let numbers: Vec<u64> = self.orders.keys().copied().collect();
        numbers.into_iter().for_each(|number| self.send_order(number, out));
    }

    fn send_order(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(put) = self.orders.get(&number).cloned() else { return };
        let order = Command { client: self.settings.client, number, put };
        let to = match &mut self.stand {
            Stand::Founding(_) => None,
            Stand::Votes(voter) => match voter.propose(&order) {
                true => None,
                false => voter.agreed.names.get(&voter.leader()).cloned(),
            },
            Stand::Follows(_) => self.next_voter(),
        };
        if let Some(to) = to.filter(|to| *to != self.settings.name) {
            self.send(to, &Message::Command { order, passed: false }, out);
        }
    }

    fn send(&self, to: String, message: &Message, out: &mut Vec<Output>) {
        out.push(Output::Send(to, wire::seal(&self.settings.cluster, message)));
    }

    fn work(&mut self, now: Duration, out: &mut Vec<Output>) {
        if let Stand::Votes(voter) = &mut self.stand {
            let mut deeds = Deeds::default();
            voter.work(now, &mut deeds);
            self.carry_out(deeds, out);
        }
        // Also those that came by a snapshot.
        let Some(agreed) = self.state() else { return };
        let ended = |number: &u64| Some((*number, agreed.outcome(self.settings.client, *number)?));
        let ended: Vec<(u64, Outcome)> = self.orders.keys().filter_map(ended).collect();
        for (number, outcome) in ended {
            self.orders.remove(&number);
            out.push(Output::Completed(number, outcome));
        }
    }

    fn carry_out(&mut self, deeds: Deeds, out: &mut Vec<Output>) {
        let Stand::Votes(voter) = &self.stand else { return };
        for (batch, changes) in deeds.write {
            out.push(Output::Write(self.batches + batch, changes));
        }
        let mut sent = Vec::new();
        for says in deeds.send {
            let name = voter.agreed.names.get(&says.to).or_else(|| self.spoke.get(&says.to));
            if let Some(name) = name.cloned() {
                let by = self.settings.name.clone();
                sent.push((name, Message::Vote { log_id: self.log_id, by, says }));
            }
        }
        for (name, message) in sent {
            self.send(name, &message, out);
        }
    }
}

fn granted(name: &str, members: &Members) -> Change {
    let bytes = postcard::to_stdvec(members).unwrap_or_default(); // writing to memory does not fail
    Change::Grant { name: name.to_owned(), bytes: Some(bytes) }
}
