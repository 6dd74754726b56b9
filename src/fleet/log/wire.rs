//! The project's own encoding of the voters' messages. The crate's encoding is protobuf, whose outdated parser must
//! never see bytes from outside. A frame that is corrupt, of another cluster or of a newer build is recognized before
//! any of its content is decoded. A frame is a record (`state/record.rs`) of a [`Message`] whose place is the
//! cluster's name.

use super::founding::Founding;
use crate::state::record::{self, RecordError};
use raft::eraftpb;
use raft::prelude::{ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, EntryType};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest frame, in bytes. The longest message is the one with a snapshot.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Reason for dropping a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Truncated, altered in transit, or of another cluster.
    #[error("corrupt, or of another cluster")]
    Corrupt,
    /// Written by a newer build in a later format.
    #[error("written by a newer build")]
    Newer,
    /// The checksum is right, but the content can't be decoded.
    #[error("senseless")]
    Malformed,
}

/// A message about the log from one process of a fleet to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Founding of a log: which process takes part and what it has promised.
    Founding(Founding),
    /// A Raft message between voters of one log.
    #[serde(rename = "Vote")]
    Raft {
        /// Id of the log; messages of another log are ignored.
        #[serde(rename = "history")]
        log_id: u64,
        /// Name of the sender: a new learner does not know any names yet.
        #[serde(rename = "by")]
        sender: String,
        /// The message.
        #[serde(rename = "says")]
        message: RaftMessage,
    },
    /// A command on its way to the leader.
    #[serde(rename = "Order")]
    Command {
        /// The command.
        #[serde(rename = "order")]
        command: super::Command,
        /// A voter has forwarded it already; it is forwarded only once.
        #[serde(rename = "passed")]
        forwarded: bool,
    },
    /// A process that is not a voter asks for the committed entries after an index.
    #[serde(rename = "Follow")]
    Fetch {
        /// Name of the process that asks.
        from: String,
        /// Id of the log that it follows; 0 for none yet.
        #[serde(rename = "history")]
        log_id: u64,
        /// Index of the last entry that it has.
        after: u64,
    },
    /// Answer to a fetch: committed entries, preceded by a snapshot where the log no longer holds them.
    #[serde(rename = "Agreed")]
    Committed {
        /// Id of the log.
        #[serde(rename = "history")]
        log_id: u64,
        /// Snapshot, if the process is too far behind for the retained entries.
        snapshot: Option<Box<Snapshot>>,
        /// The entries that follow, in order.
        entries: Vec<Entry>,
    },
    /// A process asks to replace the voter of its name, whose state it has lost.
    #[serde(rename = "Succeed")]
    ReplaceVoter {
        /// The name of both.
        name: String,
        /// Id of the process that asks.
        id: u64,
    },
}

/// A Raft message, with the meaning that the crate gives its fields.
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
    /// Term in which it was proposed.
    pub term: u64,
    /// Index in the log, from 1.
    pub index: u64,
    /// Content.
    #[serde(rename = "says")]
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Empty: a leader appends one at the beginning of its term.
    #[serde(rename = "Nothing")]
    Empty,
    /// An encoded command.
    #[serde(rename = "Order")]
    Command(Vec<u8>),
    /// A change of the voters, with its context; no changes to leave joint consensus.
    #[serde(rename = "Voters")]
    ChangeVoters(Vec<VoterChange>, Vec<u8>),
}

/// One change of the set of voters and learners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterChange {
    /// Make this process a voter.
    #[serde(rename = "Votes")]
    AddVoter(u64),
    /// Make this process a learner, which does not vote.
    #[serde(rename = "Learns")]
    AddLearner(u64),
    /// Remove this process.
    #[serde(rename = "Leaves")]
    Remove(u64),
}

/// The voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterConfig {
    /// Ids of the voters.
    pub voters: Vec<u64>,
    /// Ids of the learners.
    pub learners: Vec<u64>,
    /// During a joint change, the ids of the voters before it.
    pub outgoing: Vec<u64>,
    /// Those of them that become learners after the change.
    pub learners_next: Vec<u64>,
    /// The joint change is left automatically.
    pub auto_leave: bool,
}

/// The replicated state up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voters and learners at that index.
    pub voters: VoterConfig,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// Encodes a message as a frame for this cluster.
pub fn encode(cluster: &str, message: &Message) -> Vec<u8> {
    record::seal(cluster, message).unwrap_or_default() // serializing to memory does not fail
}

/// Checks and decodes a received frame.
pub fn decode(cluster: &str, frame: &[u8]) -> Result<Message, FrameError> {
    record::open(cluster, frame).map_err(|fault| match fault {
        RecordError::Damaged(_) => FrameError::Corrupt,
        RecordError::Newer { .. } => FrameError::Newer,
        RecordError::Malformed(..) => FrameError::Malformed,
    })
}

impl RaftMessage {
    /// Converts from the crate's type; none for a message that is local to a process or has an unknown entry.
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

/// Message types that are exchanged between voters, by their number on the wire. All others are local to a process.
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
    /// Converts from the crate's type; none for the old kind of configuration change, which this project does not
    /// write.
    pub(super) fn from_raft(entry: eraftpb::Entry) -> Option<Self> {
        let (term, index) = (entry.term, entry.index);
        let payload = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => Payload::Empty,
            EntryType::EntryNormal => Payload::Command(entry.data.to_vec()),
            EntryType::EntryConfChangeV2 => {
                // Safe to parse: this process encoded it itself, as the crate keeps changes in its own encoding.
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
                // Serializing to memory does not fail.
                entry.data = protobuf::Message::write_to_bytes(&change).unwrap_or_default().into();
                entry.context = context.into();
            }
        }
        entry
    }
}

/// Voter changes in the crate's form. More than one change passes through joint consensus, with a majority in both the
/// old and the new set.
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

    /// Applies a committed change, to the extent that a follower without a vote has to know it.
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

    /// Whether this process is a voter or a learner, now or after the change.
    pub(super) fn contains(&self, id: u64) -> bool {
        let sets = [&self.voters, &self.learners, &self.outgoing, &self.learners_next];
        sets.iter().any(|set| set.contains(&id))
    }

    /// Whether this process votes, now or while a joint change is in progress.
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
