//! What operators see of a member's part in consensus.

use super::leases::Lease;
use crate::Micros;

/// A member's role in consensus: the module `participation` has the table of how it changes.
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
    pub malformed: u64,
    /// Messages of another log.
    pub other_log: u64,
    /// Requests of this member that were sent.
    pub requests_sent: u64,
    /// Requests of this member without an outcome in time.
    pub timed_out: u64,
    /// Requests and messages that found no room.
    pub rejected: u64,
    /// Leases that were granted to this member.
    pub granted: u64,
    /// Leases that ended while this member held them.
    pub ended: u64,
    /// Leases granted after nobody waited for them any more.
    pub released_late: u64,
    /// Leaders that this member has seen.
    pub leaders: u64,
    /// Replicas of this member that failed, or that others had replaced.
    pub replicas_lost: u64,
    /// Changes of voters that this member proposed as a leader.
    pub voter_changes: u64,
    /// How often the host's clock was set back: all leases were let go.
    pub clock_set_back: u64,
}

/// The present state of consensus, for operators.
#[derive(Clone, Debug)]
pub struct View {
    /// This member's role.
    pub role: Role,
    /// The log; 0 for none.
    pub cluster_id: u64,
    /// The leader's name, if a reachable voter knows one.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// The last entry known.
    pub index: u64,
    /// All voters.
    pub voters: Vec<VoterStatus>,
    /// Initial voters that are missing, where no log is bootstrapped yet.
    pub missing: Vec<String>,
    /// All leases.
    pub leases: Vec<GrantedLease>,
}

/// A voter, as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterStatus {
    /// The member's name.
    pub name: String,
    /// Whether it is reachable from the member that was queried.
    pub is_reachable: bool,
}

/// A lease that is granted, as an operator sees it.
#[derive(Clone, Debug)]
pub struct GrantedLease {
    /// Its fencing number.
    pub fence: u64,
    /// The lease.
    pub lease: Lease,
    /// The time until its end; `None` where that is past and the lease stays.
    pub time_left: Option<Micros>,
}
