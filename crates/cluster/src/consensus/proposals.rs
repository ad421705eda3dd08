//! Requests of members, this one included, that a leader has proposed and that wait to be agreed.

use super::leases::{Command, Outcome, RequestId};
use super::log_identity::GRACE_AFTER_BOOTSTRAP;
use super::replica::{Applied, Replica};
use crate::Micros;
use std::collections::BTreeMap;

/// Requests that wait at once, one of each member.
const MAX_PENDING: usize = 256;

/// What became of a request that came to a leader.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Proposed {
    /// It waits to be agreed, or did already.
    Pending,
    /// It is answered without having been proposed.
    Answered(Outcome),
    /// There is no room for it.
    NoRoom,
}

/// By member: its request that waits.
#[derive(Default)]
pub(super) struct Proposals(BTreeMap<String, RequestId>);

impl Proposals {
    /// Proposes a member's command to this replica, which leads. `all_persistent`: the logs of all voters outlive their
    /// processes.
    pub(super) fn propose(
        &mut self,
        replica: &mut Replica,
        owner: &str,
        request: RequestId,
        command: Command,
        all_persistent: bool,
    ) -> Proposed {
        if self.0.get(owner) == Some(&request) {
            return Proposed::Pending;
        }
        // What a bootstrap after the loss of all voters has to wait for.
        if !all_persistent && duration_of(&command) > GRACE_AFTER_BOOTSTRAP {
            return Proposed::Answered(Outcome::OutOfBounds);
        }
        if self.0.len() >= MAX_PENDING || !replica.propose(owner, request, command) {
            return Proposed::NoRoom;
        }
        self.0.insert(owner.into(), request);
        Proposed::Pending
    }

    /// Takes an entry that was applied; whether its request waited here.
    pub(super) fn complete(&mut self, applied: &Applied) -> bool {
        let waited = self.0.get(&applied.owner) == Some(&applied.request);
        if waited {
            self.0.remove(&applied.owner);
        }
        waited
    }

    /// Forgets all: the next leader receives them from the members again.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// For how long a command has a lease granted; 0 where it does not.
fn duration_of(command: &Command) -> Micros {
    match command {
        Command::Acquire { duration, .. } | Command::Renew { duration, .. } => *duration,
        Command::Release { .. } | Command::Revoke { .. } => 0,
    }
}
