//! Founding (bootstrap) of a log, which happens once: all named voters, each with empty state, promise the same set of
//! members.
//!
//! A voter that has lost its state must not found a second log, nor vote under its old identity. Therefore a voter's
//! id is drawn with its state folder, and a founding needs every named voter: each promises one set of members in its
//! lifetime, and the log is founded once all have promised the same set. A process that finds a log whose members do
//! not include its id asks to replace the voter of its name instead.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Ids of the named voters, by name.
pub type Members = BTreeMap<String, u64>;

/// Message of a process that has no log yet, or an answer to such a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founding {
    /// Name of the sender.
    pub from: String,
    /// Id of the sender.
    pub id: u64,
    /// Stage that the sender has reached.
    pub stage: Stage,
}

/// Stage of a founding, as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing has been promised.
    Open,
    /// The sender has promised to found the log with these members and never with others.
    Promised(Members),
    /// The log exists and was founded with these members.
    Founded(Members),
}

/// Next step after a received message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// Promise these members; the promise counts once it is durable.
    Promise(Members),
    /// All voters have promised: the log can be created.
    Found(Members),
    /// A log exists in which this process is not a voter.
    Follow(Members),
}

/// Reason why no log can be founded at present.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FoundingConflict {
    /// The named process is configured with a different set of voters.
    #[error("{0} has other fleet.voters than this process: no log begins until they are alike")]
    OtherVoters(String),
    /// The named process has promised another id for some voter: one of them lost its state in between.
    #[error(
        "{0} lost its memory while the log was founded, or promised it to one that did: start all voters on new folders"
    )]
    OtherMembers(String),
}

/// State of a process before a log exists.
#[derive(Debug)]
pub(super) struct Founder {
    name: String,
    id: u64,
    voters: BTreeSet<String>,
    promised: Option<Members>,
    received: BTreeMap<String, Founding>,
}

impl Founder {
    pub(super) fn new(name: &str, id: u64, voters: BTreeSet<String>, promised: Option<Members>) -> Self {
        Founder { name: name.to_owned(), id, voters, promised, received: BTreeMap::new() }
    }

    /// The message that this process sends to the others.
    pub(super) fn message(&self) -> Founding {
        let stage = self.promised.clone().map_or(Stage::Open, Stage::Promised);
        Founding { from: self.name.clone(), id: self.id, stage }
    }

    /// Records that the promise is durable.
    pub(super) fn set_promised(&mut self, members: Members) {
        self.promised = Some(members);
    }

    /// Handles a message of another process, and returns the step that follows from all messages so far.
    pub(super) fn receive(&mut self, founding: Founding) -> Option<Transition> {
        if let Stage::Founded(members) = founding.stage {
            // A listed id without a promise here means that the promise was forgotten, and votes may have been
            // forgotten, too.
            let own = self.promised.as_ref() == Some(&members) && members.get(&self.name) == Some(&self.id);
            return Some(if own { Transition::Found(members) } else { Transition::Follow(members) });
        }
        if self.voters.contains(&founding.from) {
            self.received.insert(founding.from.clone(), founding);
        }
        self.next_transition()
    }

    /// Why the founding does not proceed, where that is known.
    pub(super) fn founding_conflict(&self) -> Option<FoundingConflict> {
        let own = self.promised.as_ref()?;
        self.received.values().find_map(|other| match &other.stage {
            Stage::Promised(members) if !members.keys().eq(own.keys()) => {
                Some(FoundingConflict::OtherVoters(other.from.clone()))
            }
            Stage::Promised(members) if members != own => {
                Some(FoundingConflict::OtherMembers(other.from.clone()))
            }
            _ if own.get(&other.from).is_some_and(|id| *id != other.id) => {
                Some(FoundingConflict::OtherMembers(other.from.clone()))
            }
            _ => None,
        })
    }

    fn next_transition(&self) -> Option<Transition> {
        if !self.voters.contains(&self.name) || self.received.len() + 1 < self.voters.len() {
            return None;
        }
        let mut members: Members =
            self.received.values().map(|other| (other.from.clone(), other.id)).collect();
        members.insert(self.name.clone(), self.id);
        let Some(own) = &self.promised else { return Some(Transition::Promise(members)) };
        let promised_same = |other: &Founding| other.stage == Stage::Promised(own.clone());
        self.received.values().all(promised_same).then(|| Transition::Found(own.clone()))
    }
}

/// Id of the log founded with these members; different foundings have different ids.
pub fn log_id(members: &Members) -> u64 {
    let encoded = postcard::to_stdvec(members).unwrap_or_default(); // serializing to memory does not fail
    let (low, high) = (crc32fast::hash(&encoded), crc32fast::hash(&[&encoded[..], b"history"].concat()));
    (u64::from(high) << 32 | u64::from(low)).max(1)
}
