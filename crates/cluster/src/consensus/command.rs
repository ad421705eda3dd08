//! Commands to the lease table, and their outcomes.
//!
//! All types here are stored or sent in postcard format: the order of their fields and variants must not change.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A member's command to the lease table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Grants a lease to the requester.
    Acquire {
        /// The resource.
        resource: String,
        /// How much of it.
        amount: u32,
        /// The most of it that may be granted at once, by the requester's settings.
        limit: u32,
        /// The duration of the lease.
        duration: Micros,
        /// Whether the lease counts beyond its end, until it is released or revoked.
        stays: bool,
        /// The reason, for operators.
        note: String,
    },
    /// Extends the requester's lease.
    Renew {
        /// The lease.
        fence: u64,
        /// The duration from now.
        duration: Micros,
    },
    /// Ends the requester's lease.
    Release {
        /// The lease.
        fence: u64,
    },
    /// Ends any member's lease, on an operator's command.
    Revoke {
        /// The lease.
        fence: u64,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The lease is granted under this fencing number, which is higher than those of all earlier leases.
    Granted {
        /// The fencing number.
        fence: u64,
    },
    /// The lease was extended.
    Renewed,
    /// The lease was ended.
    Released,
    /// The grant would exceed the limit of the resource.
    LimitReached {
        /// The amount that is granted already.
        granted: u32,
        /// The time until the first of its leases ends; `None` if all of them stay beyond their end.
        wait: Option<Micros>,
    },
    /// The lease does not exist, has ended, or belongs to another member.
    NotOwner,
    /// A text, an amount, a duration or the number of leases is outside its limits.
    OutOfBounds,
    /// Leases of an earlier log may still be held, so that none is granted yet.
    TooEarly {
        /// The time until leases are granted.
        wait: Micros,
    },
    /// A later request of the member, by the same process or by a later one, was already applied.
    Stale,
}

/// Identifies a request of a member. Numbers increase within a session, and a request that arrives twice is applied once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The session of the member's process.
    pub session: u64,
    /// The request's number in the session.
    pub number: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The log time, assigned by the leader.
    pub time: Micros,
    /// The member that sent the request.
    pub owner: String,
    /// The session of its process.
    pub session: u64,
    /// The request's number in the session.
    pub request: u64,
    /// The command.
    pub command: Command,
}

impl Entry {
    /// The id of the owner's request.
    pub fn request_id(&self) -> RequestId {
        RequestId {
            session: self.session,
            number: self.request,
        }
    }
}
