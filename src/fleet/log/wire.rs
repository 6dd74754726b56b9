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
    #[serde(rename = "Vote")]
    Raft {
        /// Which founding: votes of another are not heard.
        #[serde(rename = "history")]
        log_id: u64,
        /// The name of who speaks: one that learns knows nobody yet.
        #[serde(rename = "by")]
        sender: String,
        /// What is said.
        #[serde(rename = "says")]
        message: RaftMessage,
    },
    /// An order on its way to the leader.
    #[serde(rename = "Order")]
    Command {
        /// What is to be done.
        #[serde(rename = "order")]
        command: super::Command,
        /// A voter has passed it on: it goes no further than the next one.
        #[serde(rename = "passed")]
        forwarded: bool,
    },
    /// A process that is no voter asks for what was agreed after an index.
    #[serde(rename = "Follow")]
    Fetch {
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
    #[serde(rename = "Succeed")]
    ReplaceVoter {
        /// The name that both have.
        name: String,
        /// The number of the one that asks.
        id: u64,
    },
}

/// What a voter says to another, as the crate means it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
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
    #[serde(rename = "says")]
    pub payload: Payload,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a leader begins its term so.
    #[serde(rename = "Nothing")]
    Empty,
    /// An order, encoded.
    #[serde(rename = "Order")]
    Command(Vec<u8>),
    /// Who votes, changed; none to leave the joint rule of two sets.
    #[serde(rename = "Voters")]
    ChangeVoters(Vec<VoterChange>, Vec<u8>),
}

/// A step of a change of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterChange {
    /// It votes.
    #[serde(rename = "Votes")]
    AddVoter(u64),
    /// It learns, and does not vote.
    #[serde(rename = "Learns")]
    AddLearner(u64),
    /// It is no part of it any more.
    #[serde(rename = "Leaves")]
    Remove(u64),
}

/// Who votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterConfig {
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
    pub voters: VoterConfig,
    /// The state.
    pub state: Vec<u8>,
}

/// Seals a message for others of this cluster.
pub fn encode(cluster: &str, message: &Message) -> Vec<u8> {
    record::seal(cluster, message).unwrap_or_default() // writing to memory does not fail
}

/// Opens a frame as it came.
pub fn decode(cluster: &str, frame: &[u8]) -> Result<Message, FrameError> {
    record::open(cluster, frame).map_err(|fault| match fault {
        RecordFault::Damaged(_) => FrameError::Corrupt,
        RecordFault::Newer { .. } => FrameError::Newer,
        RecordFault::Senseless(..) => FrameError::Malformed,
    })
}

impl RaftMessage {
    /// From the crate's form; none for what is said inside a process only, or can't be told.
    pub(super) fn from_raft(mut message: eraftpb::Message) -> Option<Self> {
        let kind = MESSAGE_TYPES.iter().position(|known| *known == message.get_msg_type())? as u8;
        let snapshot = message.has_snapshot() && message.get_snapshot().get_metadata().index > 0;
        Some(RaftMessage {
            kind,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.take_entries().into_iter().map(Entry::from_raft).collect::<Option<_>>()?,
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: snapshot.then(|| Box::new(Snapshot::from_raft(message.take_snapshot()))),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            priority: message.priority,
            context: message.context.to_vec(),
        })
    }

    pub(super) fn into_raft(self) -> Option<eraftpb::Message> {
        let mut message = eraftpb::Message::default();
        message.set_msg_type(*MESSAGE_TYPES.get(usize::from(self.kind))?);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(self.entries.into_iter().map(Entry::into_raft).collect());
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.into_raft());
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
const MESSAGE_TYPES: [eraftpb::MessageType; 10] = {
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
    pub(super) fn from_raft(entry: eraftpb::Entry) -> Option<Self> {
        let (term, index) = (entry.term, entry.index);
        let payload = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => Payload::Empty,
            EntryType::EntryNormal => Payload::Command(entry.data.to_vec()),
            EntryType::EntryConfChangeV2 => {
                // Made by this process a moment ago: the crate keeps it in its own form.
                let change = <ConfChangeV2 as protobuf::Message>::parse_from_bytes(&entry.data).ok()?;
                let changes = change.changes.iter().map(|change| match change.get_change_type() {
                    ConfChangeType::AddNode => VoterChange::AddVoter(change.node_id),
                    ConfChangeType::AddLearnerNode => VoterChange::AddLearner(change.node_id),
                    ConfChangeType::RemoveNode => VoterChange::Remove(change.node_id),
                });
                Payload::ChangeVoters(changes.collect(), entry.context.to_vec())
            }
            EntryType::EntryConfChange => return None,
        };
        Some(Entry { term, index, payload })
    }

    pub(super) fn into_raft(self) -> eraftpb::Entry {
        let mut entry = eraftpb::Entry { term: self.term, index: self.index, ..eraftpb::Entry::default() };
        match self.payload {
            Payload::Empty => {}
            Payload::Command(bytes) => entry.data = bytes.into(),
            Payload::ChangeVoters(changes, context) => {
                entry.set_entry_type(EntryType::EntryConfChangeV2);
                let change = conf_change(&changes);
                // Writing to memory does not fail.
                entry.data = protobuf::Message::write_to_bytes(&change).unwrap_or_default().into();
                entry.context = context.into();
            }
        }
        entry
    }
}

/// A change of voters in the crate's form. Of more than one step it passes through both sets, each with a majority.
pub(super) fn conf_change(changes: &[VoterChange]) -> ConfChangeV2 {
    let mut change = ConfChangeV2::default();
    change.set_transition(ConfChangeTransition::Auto);
    let singles = changes.iter().map(|change| {
        let (kind, id) = match *change {
            VoterChange::AddVoter(id) => (ConfChangeType::AddNode, id),
            VoterChange::AddLearner(id) => (ConfChangeType::AddLearnerNode, id),
            VoterChange::Remove(id) => (ConfChangeType::RemoveNode, id),
        };
        let mut single = ConfChangeSingle::default();
        single.set_change_type(kind);
        single.node_id = id;
        single
    });
    change.set_changes(singles.collect());
    change
}

impl VoterConfig {
    pub(super) fn from_raft(state: &eraftpb::ConfState) -> Self {
        VoterConfig {
            voters: state.voters.clone(),
            learners: state.learners.clone(),
            outgoing: state.voters_outgoing.clone(),
            learners_next: state.learners_next.clone(),
            auto_leave: state.auto_leave,
        }
    }

    pub(super) fn into_raft(self) -> eraftpb::ConfState {
        let mut state = eraftpb::ConfState::default();
        state.set_voters(self.voters);
        state.set_learners(self.learners);
        state.set_voters_outgoing(self.outgoing);
        state.set_learners_next(self.learners_next);
        state.set_auto_leave(self.auto_leave);
        state
    }

    /// Follows a change that was agreed, as far as one that does not vote has to know of it.
    pub(super) fn apply(&mut self, changes: &[VoterChange]) {
        for change in changes {
            let (VoterChange::AddVoter(id) | VoterChange::AddLearner(id) | VoterChange::Remove(id)) =
                *change;
            [&mut self.voters, &mut self.learners]
                .into_iter()
                .for_each(|set| set.retain(|known| *known != id));
            match change {
                VoterChange::AddVoter(id) => self.voters.push(*id),
                VoterChange::AddLearner(id) => self.learners.push(*id),
                VoterChange::Remove(_) => {}
            }
        }
    }

    /// Whether this one has a part: it votes, or learns.
    pub(super) fn contains(&self, id: u64) -> bool {
        let sets = [&self.voters, &self.learners, &self.outgoing, &self.learners_next];
        sets.iter().any(|set| set.contains(&id))
    }

    /// Whether this one votes, now or while a change is under way.
    pub fn is_voter(&self, id: u64) -> bool {
        self.voters.contains(&id) || self.outgoing.contains(&id)
    }
}

impl Snapshot {
    pub(super) fn from_raft(mut snapshot: eraftpb::Snapshot) -> Self {
        let state = snapshot.take_data().to_vec();
        let metadata = snapshot.get_metadata();
        let voters = VoterConfig::from_raft(metadata.get_conf_state());
        Snapshot { index: metadata.index, term: metadata.term, voters, state }
    }

    pub(super) fn into_raft(self) -> eraftpb::Snapshot {
        let mut snapshot = eraftpb::Snapshot::default();
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.index, self.term);
        metadata.set_conf_state(self.voters.into_raft());
        snapshot.data = self.state.into();
        snapshot
    }
}
