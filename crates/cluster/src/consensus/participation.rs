//! A member's participation in the log, as a state machine.

use super::bootstrap::Bootstrap;
use super::replica::Replica;
use super::view::Role;

/// A member's participation in the log.
///
/// | from | to | when |
/// | --- | --- | --- |
/// | start | `Replicating` | its file holds a log in which it was not replaced |
/// | start | `Bootstrapping` | its file holds no log, and it is an initial voter |
/// | start | `Observing` | otherwise; also if its file can't be used, or says that it was replaced |
/// | `Bootstrapping` | `Replicating` | all initial voters have promised the same set |
/// | `Bootstrapping`, `Observing` | `Replicating` | a leader admitted it: it sent a message to the id that this member drew |
/// | `Replicating` | `Observing` | the replica failed, or a voter's state says that it was replaced |
/// | `Replicating` | `Bootstrapping` (`Observing` if it is not an initial voter) | a majority of its log is permanently lost, or its leader became unreachable before sending any state |
pub(super) enum Participation {
    /// It waits for the other initial voters.
    Bootstrapping(Bootstrap),
    /// It has a replica, as a voter or as a learner.
    Replicating(Box<Replica>),
    /// It has no replica: it copies the state from others, and can send requests.
    Observing,
}

impl Participation {
    /// Bootstraps, or observes if this member is not an initial voter.
    pub(super) fn bootstrapping(bootstrap: Option<Bootstrap>) -> Participation {
        bootstrap.map_or(Participation::Observing, Participation::Bootstrapping)
    }

    /// Replicates, or observes if the replica could not be opened.
    pub(super) fn replicating(replica: Option<Replica>) -> Participation {
        replica.map_or(Participation::Observing, |replica| {
            Participation::Replicating(Box::new(replica))
        })
    }

    pub(super) fn replica(&self) -> Option<&Replica> {
        match self {
            Participation::Replicating(replica) => Some(replica),
            _ => None,
        }
    }

    pub(super) fn replica_mut(&mut self) -> Option<&mut Replica> {
        match self {
            Participation::Replicating(replica) => Some(replica),
            _ => None,
        }
    }

    pub(super) fn bootstrap(&self) -> Option<&Bootstrap> {
        match self {
            Participation::Bootstrapping(bootstrap) => Some(bootstrap),
            _ => None,
        }
    }

    pub(super) fn bootstrap_mut(&mut self) -> Option<&mut Bootstrap> {
        match self {
            Participation::Bootstrapping(bootstrap) => Some(bootstrap),
            _ => None,
        }
    }

    /// The replica if it is the leader.
    pub(super) fn leading(&mut self) -> Option<&mut Replica> {
        self.replica_mut().filter(|r| r.leads())
    }

    /// The role as shown to operators.
    pub(super) fn role(&self) -> Role {
        match self {
            Participation::Bootstrapping(_) => Role::Bootstrapping,
            Participation::Observing => Role::Observing,
            Participation::Replicating(replica) if !replica.is_working() => Role::Failed,
            Participation::Replicating(replica) if replica.is_voter() => Role::Voting,
            Participation::Replicating(_) => Role::Learning,
        }
    }
}
