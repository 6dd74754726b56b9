//! How a log begins, once: all named voters, each with an empty memory, promise the same members.
//!
//! A voter that has lost its memory must not found anew, nor vote as the one it was. So a voter's number is drawn with its
//! folder, and a founding takes every named voter: each promises one set of members, ever, and it is founded once all have
//! promised that set. Whoever finds that there is a founding without its number asks to be let in instead.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The numbers of the named voters, by name.
pub type Members = BTreeMap<String, u64>;

/// What a process says while there is no log, or to one that knows of none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founding {
    /// Who says so.
    pub from: String,
    /// Its number.
    pub id: u64,
    /// How far it is.
    pub stage: Stage,
}

/// How far a founding is, as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It has promised nothing.
    Open,
    /// It has promised to found with these, and no others ever.
    Promised(Members),
    /// There is a log, founded with these.
    Founded(Members),
}

/// What comes of what was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// This is to be promised, as soon as it is durable.
    Promise(Members),
    /// All have promised: there is a log.
    Found(Members),
    /// There is a log, and this process has no part in its vote.
    Follow(Members),
}

/// Why there can be no founding as things are.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FoundingConflict {
    /// This process is configured with other voters than that one.
    #[error("{0} has other fleet.voters than this process: no log begins until they are alike")]
    OtherVoters(String),
    /// What that one has promised holds another number for a name: somebody lost its memory in between.
    #[error(
        "{0} lost its memory while the log was founded, or promised it to one that did: start all voters on new folders"
    )]
    OtherMembers(String),
}

/// A process before there is a log.
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

    /// What it says of itself.
    pub(super) fn message(&self) -> Founding {
        let stage = self.promised.clone().map_or(Stage::Open, Stage::Promised);
        Founding { from: self.name.clone(), id: self.id, stage }
    }

    /// Its promise is durable.
    pub(super) fn set_promised(&mut self, members: Members) {
        self.promised = Some(members);
    }

    /// Takes what another says, and what follows from all that was heard.
    pub(super) fn receive(&mut self, founding: Founding) -> Option<Transition> {
        if let Stage::Founded(members) = founding.stage {
            // A number that has a part in it without a promise here: that promise was forgotten, and so may votes be.
            let own = self.promised.as_ref() == Some(&members) && members.get(&self.name) == Some(&self.id);
            return Some(if own { Transition::Found(members) } else { Transition::Follow(members) });
        }
        if self.voters.contains(&founding.from) {
            self.received.insert(founding.from.clone(), founding);
        }
        self.next_transition()
    }

    /// Why it does not go on, where that can be told.
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

/// The name of a log: two foundings have different ones.
pub fn log_id(members: &Members) -> u64 {
    let encoded = postcard::to_stdvec(members).unwrap_or_default(); // writing to memory does not fail
    let (low, high) = (crc32fast::hash(&encoded), crc32fast::hash(&[&encoded[..], b"history"].concat()));
    (u64::from(high) << 32 | u64::from(low)).max(1)
}
