//! A member's participation in consensus as operators see it.

use super::leases::Lease;
use crate::Micros;

/// A member's role in consensus. The module `participation` documents its transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It waits for the other initial voters.
    Bootstrapping,
    /// It is a voter.
    Voting,
    /// It is a learner, which can become a voter.
    Learning,
    /// It has no replica: it copies the state from others, and can send requests.
    Observing,
    /// Its replica stopped: the log has data of a later build, or an invariant was violated.
    Failed,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that this build can't decode.
    pub malformed: u64,
    /// Messages of another log.
    pub other_log: u64,
    /// Requests that this member sent.
    pub requests_sent: u64,
    /// Requests of this member that timed out.
    pub timed_out: u64,
    /// Requests and messages rejected because a queue was full.
    pub rejected: u64,
    /// Leases granted to this member.
    pub granted: u64,
    /// Leases that ended while this member held them.
    pub ended: u64,
    /// Leases granted after their request had timed out, and released.
    pub released_late: u64,
    /// Leaders that this member has seen.
    pub leaders: u64,
    /// Replicas of this member that failed or were dropped, including those that were replaced.
    pub replicas_lost: u64,
    /// Changes of voters that this member proposed as a leader.
    pub voter_changes: u64,
    /// How often the host's clock was set back, at which all held leases are dropped.
    pub clock_set_back: u64,
}

/// The current state of consensus, for operators.
#[derive(Clone, Debug)]
pub struct View {
    /// This member's role.
    pub role: Role,
    /// The log's id; 0 for none.
    pub cluster_id: u64,
    /// The leader's name, if known.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// The index of the last known entry.
    pub index: u64,
    /// All voters.
    pub voters: Vec<VoterStatus>,
    /// Missing initial voters, if no log is bootstrapped yet.
    pub missing: Vec<String>,
    /// All leases.
    pub leases: Vec<GrantedLease>,
}

/// A voter, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterStatus {
    /// The member's name.
    pub name: String,
    /// Whether it is reachable from the member that was queried.
    pub is_reachable: bool,
}

/// A granted lease, for operators.
#[derive(Clone, Debug)]
pub struct GrantedLease {
    /// Its fencing number.
    pub fence: u64,
    /// The lease.
    pub lease: Lease,
    /// The time until its end; `None` if the end has passed and the lease stays.
    pub time_left: Option<Micros>,
}
