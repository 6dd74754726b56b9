//! The messages of the voters in a form of our own: the crate's are protobuf, whose old parser must never see bytes from
//! outside. What is torn, of another cluster or of a later build is told apart before anything of it is read. A
//! frame is a record (`state/record.rs`) of a [`Message`] whose place is the cluster's name.

use super::founding::Founding;
use crate::state::record::{self, RecordFault};
use raft::eraftpb;
use raft::prelude::{ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, EntryType};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest frame, in bytes. A snapshot is the longest message.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Cut short, changed on its way, or of another cluster.
    #[error("torn, or of another cluster")]
    Corrupt,
    /// From a build with a later form.
    #[error("of a later form")]
    Newer,
    /// Whole, but it says nothing that it could.
    #[error("senseless")]
    Malformed,
}

/// What one process of a fleet says to another about the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Before there is a log: who would found it, and what each has promised.
    Founding(Founding),
    /// Between voters of one founding.
    Vote {
        /// Which founding: votes of another are not heard.
        #[serde(rename = "history")]
        log_id: u64,
        /// The name of who speaks: one that learns knows nobody yet.
        by: String,
        /// What is said.
        says: Said,
    },
    /// An order on its way to the leader.
    #[serde(rename = "Order")]
    Command {
        /// What is to be done.
        order: super::Command,
        /// A voter has passed it on: it goes no further than the next one.
        passed: bool,
    },
    /// A process that is no voter asks for what was agreed after an index.
    Follow {
        /// The name of who asks.
        from: String,
        /// Which founding it knows; 0 for none yet.
        #[serde(rename = "history")]
        log_id: u64,
        /// The last index that it has.
        after: u64,
    },
    /// The answer: what was agreed, from the state at an index where the log does not go back so far.
    #[serde(rename = "Agreed")]
    Committed {
        /// Of which founding.
        #[serde(rename = "history")]
        log_id: u64,
        /// The state up to an index, where the asker's is too old.
        snapshot: Option<Box<Snapshot>>,
        /// What follows, in order.
        entries: Vec<Entry>,
    },
    /// A process asks to take the place of the voter of its name, whose memory it has lost.
    Succeed {
        /// The name that both have.
        name: String,
        /// The number of the one that asks.
        id: u64,
    },
}

/// What a voter says to another, as the crate means it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Said {
    kind: u8,
    pub(super) to: u64,
    pub(super) from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Entry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Box<Snapshot>>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    priority: i64,
    context: Vec<u8>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was proposed.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it says.
    pub says: Says,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Says {
    /// Nothing: a leader begins its term so.
    Nothing,
    /// An order, encoded.
    #[serde(rename = "Order")]
    Command(Vec<u8>),
    /// Who votes, changed; none to leave the joint rule of two sets.
    Voters(Vec<Step>, Vec<u8>),
}

/// A step of a change of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// It votes.
    Votes(u64),
    /// It learns, and does not vote.
    Learns(u64),
    /// It is no part of it any more.
    Leaves(u64),
}

/// Who votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Their numbers.
    pub voters: Vec<u64>,
    /// Those that learn.
    pub learners: Vec<u64>,
    /// While a change is under way, those that voted before it.
    pub outgoing: Vec<u64>,
    /// Those among them that learn once it is over.
    pub learners_next: Vec<u64>,
    /// The change ends by itself.
    pub auto_leave: bool,
}

/// The agreed state up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// Who voted then.
    pub voters: Voters,
    /// The state.
    pub state: Vec<u8>,
}

/// Seals a message for others of this cluster.
pub fn seal(cluster: &str, message: &Message) -> Vec<u8> {
    record::seal(cluster, message).unwrap_or_default() // writing to memory does not fail
}

/// Opens a frame as it came.
pub fn open(cluster: &str, frame: &[u8]) -> Result<Message, FrameError> {
    record::open(cluster, frame).map_err(|fault| match fault {
        RecordFault::Damaged(_) => FrameError::Corrupt,
        RecordFault::Newer { .. } => FrameError::Newer,
        RecordFault::Senseless(..) => FrameError::Malformed,
    })
}

impl Said {
    /// From the crate's form; none for what is said inside a process only, or can't be told.
    pub(super) fn of(mut message: eraftpb::Message) -> Option<Self> {
        let kind = KINDS.iter().position(|kind| *kind == message.get_msg_type())? as u8;
        let snapshot = message.has_snapshot() && message.get_snapshot().get_metadata().index > 0;
        Some(Said {
            kind,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.take_entries().into_iter().map(Entry::of).collect::<Option<_>>()?,
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: snapshot.then(|| Box::new(Snapshot::of(message.take_snapshot()))),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            priority: message.priority,
            context: message.context.to_vec(),
        })
    }

    pub(super) fn into_crate(self) -> Option<eraftpb::Message> {
        let mut message = eraftpb::Message::default();
        message.set_msg_type(*KINDS.get(usize::from(self.kind))?);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(self.entries.into_iter().map(Entry::into_crate).collect());
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.into_crate());
        }
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.priority = self.priority;
        message.context = self.context.into();
        Some(message)
    }
}

/// What voters say to each other, by its place here on the wire. Anything else is local to a process.
const KINDS: [eraftpb::MessageType; 10] = {
    use eraftpb::MessageType::*;
    [
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgTimeoutNow,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
    ]
};

impl Entry {
    /// From the crate's form; none where it is none of ours.
    pub(super) fn of(entry: eraftpb::Entry) -> Option<Self> {
        let (term, index) = (entry.term, entry.index);
        let says = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => Says::Nothing,
            EntryType::EntryNormal => Says::Command(entry.data.to_vec()),
            EntryType::EntryConfChangeV2 => {
                // Made by this process a moment ago: the crate keeps it in its own form.
                let change = <ConfChangeV2 as protobuf::Message>::parse_from_bytes(&entry.data).ok()?;
                let steps = change.changes.iter().map(|change| match change.get_change_type() {
                    ConfChangeType::AddNode => Step::Votes(change.node_id),
                    ConfChangeType::AddLearnerNode => Step::Learns(change.node_id),
                    ConfChangeType::RemoveNode => Step::Leaves(change.node_id),
                });
                Says::Voters(steps.collect(), entry.context.to_vec())
            }
            EntryType::EntryConfChange => return None,
        };
        Some(Entry { term, index, says })
    }

    pub(super) fn into_crate(self) -> eraftpb::Entry {
        let mut entry = eraftpb::Entry { term: self.term, index: self.index, ..eraftpb::Entry::default() };
        match self.says {
            Says::Nothing => {}
            Says::Command(bytes) => entry.data = bytes.into(),
            Says::Voters(steps, context) => {
                entry.set_entry_type(EntryType::EntryConfChangeV2);
                let change = change(&steps);
                // Writing to memory does not fail.
                entry.data = protobuf::Message::write_to_bytes(&change).unwrap_or_default().into();
                entry.context = context.into();
            }
        }
        entry
    }
}

/// A change of voters in the crate's form. Of more than one step it passes through both sets, each with a majority.
pub(super) fn change(steps: &[Step]) -> ConfChangeV2 {
    let mut change = ConfChangeV2::default();
    change.set_transition(ConfChangeTransition::Auto);
    let singles = steps.iter().map(|step| {
        let (kind, id) = match *step {
            Step::Votes(id) => (ConfChangeType::AddNode, id),
            Step::Learns(id) => (ConfChangeType::AddLearnerNode, id),
            Step::Leaves(id) => (ConfChangeType::RemoveNode, id),
        };
        let mut single = ConfChangeSingle::default();
        single.set_change_type(kind);
        single.node_id = id;
        single
    });
    change.set_changes(singles.collect());
    change
}

impl Voters {
    pub(super) fn of(state: &eraftpb::ConfState) -> Self {
        Voters {
            voters: state.voters.clone(),
            learners: state.learners.clone(),
            outgoing: state.voters_outgoing.clone(),
            learners_next: state.learners_next.clone(),
            auto_leave: state.auto_leave,
        }
    }

    pub(super) fn into_crate(self) -> eraftpb::ConfState {
        let mut state = eraftpb::ConfState::default();
        state.set_voters(self.voters);
        state.set_learners(self.learners);
        state.set_voters_outgoing(self.outgoing);
        state.set_learners_next(self.learners_next);
        state.set_auto_leave(self.auto_leave);
        state
    }

    /// Follows a change that was agreed, as far as one that does not vote has to know of it.
    pub(super) fn step(&mut self, steps: &[Step]) {
        for step in steps {
            let (Step::Votes(id) | Step::Learns(id) | Step::Leaves(id)) = *step;
            [&mut self.voters, &mut self.learners]
                .into_iter()
                .for_each(|set| set.retain(|known| *known != id));
            match step {
                Step::Votes(id) => self.voters.push(*id),
                Step::Learns(id) => self.learners.push(*id),
                Step::Leaves(_) => {}
            }
        }
    }

    /// Whether this one has a part: it votes, or learns.
    pub(super) fn has_part(&self, id: u64) -> bool {
        let sets = [&self.voters, &self.learners, &self.outgoing, &self.learners_next];
        sets.iter().any(|set| set.contains(&id))
    }

    /// Whether this one votes, now or while a change is under way.
    pub fn votes(&self, id: u64) -> bool {
        self.voters.contains(&id) || self.outgoing.contains(&id)
    }
}

impl Snapshot {
    pub(super) fn of(mut snapshot: eraftpb::Snapshot) -> Self {
        let state = snapshot.take_data().to_vec();
        let metadata = snapshot.get_metadata();
        let voters = Voters::of(metadata.get_conf_state());
        Snapshot { index: metadata.index, term: metadata.term, voters, state }
    }

    pub(super) fn into_crate(self) -> eraftpb::Snapshot {
        let mut snapshot = eraftpb::Snapshot::default();
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.index, self.term);
        metadata.set_conf_state(self.voters.into_crate());
        snapshot.data = self.state.into();
        snapshot
    }
}
