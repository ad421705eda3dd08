//! What operators see of a member's part in consensus.

use super::leases::Lease;
use crate::Micros;

/// A member's part in consensus: the module `participation` has the table of how it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It waits for the other initial voters.
    Bootstrapping,
    /// It is a voter.
    Voting,
    /// It is a learner, so that it may become a voter.
    Learning,
    /// It reads the state from others, and sends requests.
    Observing,
    /// Its replica can't go on: what is agreed is beyond this build, or an invariant was broken.
    Failed,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that this build can't decode.
    pub unread: u64,
    /// Messages of another log.
    pub foreign: u64,
    /// Requests of this member that were sent.
    pub asked: u64,
    /// Requests of this member without an outcome in time.
    pub timed_out: u64,
    /// Requests and messages that found no room.
    pub turned_away: u64,
    /// Leases that were granted to this member.
    pub lent: u64,
    /// Leases that ended while this member held them.
    pub ended: u64,
    /// Leases granted after nobody waited for them any more.
    pub released_late: u64,
    /// Leaders that this member has seen.
    pub leaders: u64,
    /// Replicas of this member that failed, or that others had replaced.
    pub replicas_lost: u64,
    /// Changes of voters that this member proposed as a leader.
    pub changes: u64,
    /// How often the host's clock was set back: all leases were let go.
    pub clock_set_back: u64,
}

/// How things stand, for operators.
#[derive(Clone, Debug)]
pub struct View {
    /// This member's part.
    pub part: Role,
    /// The log; 0 for none.
    pub cluster: u64,
    /// The leader's name, where anybody known here says that it hears it.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// The last entry known.
    pub index: u64,
    /// All voters by name, and whether each is reachable.
    pub voters: Vec<(String, bool)>,
    /// Initial voters that are missing, where no log is bootstrapped yet.
    pub missing: Vec<String>,
    /// All leases: fencing number, lease, time left (`None` where it is over and the lease stays).
    pub lent: Vec<(u64, Lease, Option<Micros>)>,
}
