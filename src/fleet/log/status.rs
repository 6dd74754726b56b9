//! What a process says of the log.

use super::founding::FoundingConflict;

/// What part a process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
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
pub struct Status {
    /// This process's part.
    pub role: Role,
    /// The log's name; 0 where there is none yet.
    pub log_id: u64,
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
    pub reconfiguring: bool,
    /// Names of voters whose processes have come back without their memory, and wait to be let in.
    pub lost_state: Vec<String>,
    /// Why there is no founding, where that can be told.
    pub founding_conflict: Option<FoundingConflict>,
    /// Orders of this process that wait.
    pub pending_commands: usize,
    /// Frames that were dropped: torn or foreign, later, senseless.
    pub dropped_frames: [u64; 3],
    /// Nothing is kept any more: this process votes no longer, until it starts again.
    pub stopped: bool,
}
