//! Status of the log, as one process reports it.

use super::founding::FoundingConflict;

/// Role of a process in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// No log exists yet.
    Founding,
    /// Votes.
    Voter,
    /// Votes and leads.
    Leader,
    /// Catches up with the log in order to become a voter.
    Learner,
    /// Follows the committed entries without being a voter.
    Follower,
}

/// Status of the log in one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Role of this process.
    pub role: Role,
    /// Id of the log; 0 before it exists.
    pub log_id: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Current term; 0 for a follower.
    pub term: u64,
    /// Index of the last entry applied here.
    pub applied: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Names of the learners, which become voters once they have caught up.
    pub learners: Vec<String>,
    /// A change of the voters is in progress: until it ends, a majority of the previous voters is needed, too.
    pub reconfiguring: bool,
    /// Names of voters that have restarted without their state and wait to be replaced.
    pub lost_state: Vec<String>,
    /// Why no log can be founded, if known.
    pub founding_conflict: Option<FoundingConflict>,
    /// Commands of this process that are pending.
    pub pending_commands: usize,
    /// Dropped frames: corrupt or of another cluster, of a newer build, malformed.
    pub dropped_frames: [u64; 3],
    /// Nothing can be persisted any more, or the state folder is outdated: this process takes no part until it
    /// restarts.
    pub stopped: bool,
}
