//! What a process says of the log.

use super::founding::Disturbed;

/// What part a process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// There is no log yet.
    Founding,
    /// It votes.
    Voter,
    /// It votes, and leads.
    Leader,
    /// It is to vote, and catches up.
    Learner,
    /// It follows what is agreed.
    Follower,
}

/// How things are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// This process's part.
    pub part: Part,
    /// The log's name; 0 where there is none yet.
    pub history: u64,
    /// The leader, where one is known.
    pub leader: Option<String>,
    /// The term; 0 for one that follows.
    pub term: u64,
    /// All up to this index is agreed and carried out here.
    pub applied: u64,
    /// Who votes.
    pub voters: Vec<String>,
    /// Who learns, to vote once it has caught up.
    pub learners: Vec<String>,
    /// Who votes is being changed: until that is over, a majority of those before is needed too.
    pub changing: bool,
    /// Names of voters whose processes have come back without their memory, and wait to be let in.
    pub lost: Vec<String>,
    /// Why there is no founding, where that can be told.
    pub disturbed: Option<Disturbed>,
    /// Orders of this process that wait.
    pub waiting: usize,
    /// Frames that were dropped: torn or foreign, later, senseless.
    pub dropped: [u64; 3],
    /// Nothing is kept any more: this process votes no longer, until it starts again.
    pub mute: bool,
}
