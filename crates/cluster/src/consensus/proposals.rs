//! Requests of members, this one included, that the leader has proposed and that are not committed yet.

use super::leases::{Command, Outcome, RequestId};
use super::log_identity::GRACE_AFTER_BOOTSTRAP;
use super::replica::{Applied, Replica};
use crate::Micros;
use std::collections::BTreeMap;

/// Most pending requests, one per member.
const MAX_PENDING: usize = 256;

/// The result of proposing a request.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Proposed {
    /// It was proposed, now or earlier, and is not committed yet.
    Pending,
    /// Its outcome is known without a proposal.
    Answered(Outcome),
    /// Too many requests are pending.
    NoRoom,
}

/// The pending request of each member.
#[derive(Default)]
pub(super) struct Proposals(BTreeMap<String, RequestId>);

impl Proposals {
    /// Proposes a member's command to this replica, which is the leader. `all_persistent`: whether the logs of all voters are
    /// persistent.
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
        // After the loss of all voters, a new log waits for this long before it grants leases.
        if !all_persistent && duration_of(&command) > GRACE_AFTER_BOOTSTRAP {
            return Proposed::Answered(Outcome::OutOfBounds);
        }
        if self.0.len() >= MAX_PENDING || !replica.propose(owner, request, command) {
            return Proposed::NoRoom;
        }
        self.0.insert(owner.into(), request);
        Proposed::Pending
    }

    /// Removes the request of an applied entry; returns whether it was pending here.
    pub(super) fn complete(&mut self, applied: &Applied) -> bool {
        let was_pending = self.0.get(&applied.owner) == Some(&applied.request);
        if was_pending {
            self.0.remove(&applied.owner);
        }
        was_pending
    }

    /// Removes all: the members send their requests to the next leader again.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// The lease duration of a command; 0 if it has none.
fn duration_of(command: &Command) -> Micros {
    match command {
        Command::Acquire { duration, .. } | Command::Renew { duration, .. } => *duration,
        Command::Release { .. } | Command::Revoke { .. } => 0,
    }
}
