//! Commands about leases, and what became of them.
//!
//! All types here are stored or sent in postcard's form: the order of their fields and variants stays.

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
        /// No more than this of it may be granted at once, by the requester's settings.
        limit: u32,
        /// For how long.
        duration: Micros,
        /// It counts beyond its end, until it is released or revoked.
        stays: bool,
        /// The reason, for operators.
        note: String,
    },
    /// Moves the end of the requester's lease: so long from now.
    Renew {
        /// The lease.
        fence: u64,
        /// For how long.
        duration: Micros,
    },
    /// Ends the requester's lease.
    Release {
        /// The lease.
        fence: u64,
    },
    /// Ends anybody's lease, by an operator's order.
    Revoke {
        /// The lease.
        fence: u64,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The lease is granted, under this number: later ones are higher.
    Granted {
        /// The fencing number.
        fence: u64,
    },
    /// It ends later now.
    Renewed,
    /// It is ended.
    Released,
    /// So much of the resource is granted already.
    LimitReached {
        /// How much.
        granted: u32,
        /// Until the first of it ends; `None` where all of it stays.
        wait: Option<Micros>,
    },
    /// There is no such lease, or no more, or it is another's.
    NotOwner,
    /// A text, an amount, a time or the number of leases is beyond its bound.
    OutOfBounds,
    /// Leases of an earlier log may still be held: none is granted for so long.
    TooEarly {
        /// How long.
        wait: Micros,
    },
    /// The requester is an earlier process of its name.
    Stale,
}

/// Identifies a request of a member: numbers count up within a session, and a request that arrives twice is applied once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The session of the member's process.
    pub session: u64,
    /// The request's number in it.
    pub number: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The log's time, by its leader.
    pub time: Micros,
    /// The member that requests it.
    pub owner: String,
    /// The session of its process.
    pub session: u64,
    /// The request's number in it.
    pub request: u64,
    /// The command.
    pub command: Command,
}

impl Entry {
    /// Which request of its owner this is.
    pub fn request_id(&self) -> RequestId {
        RequestId {
            session: self.session,
            number: self.request,
        }
    }
}
