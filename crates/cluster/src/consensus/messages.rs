//! What members send to each other about consensus, and announce to all.
//!
//! All types here are sent in postcard's form: the order of their fields and variants stays. Later builds add variants behind
//! the last one; a message that this build can't decode is counted and ignored.

use super::bootstrap::Announcement;
use super::fragmentation::Fragment;
use super::leases::{Command, Outcome};
use crate::membership::MAX_NAME_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Longest `raft` message that goes in one datagram, with its head.
const MAX_UNFRAGMENTED_BYTES: usize = 1080;
/// Messages that wait to be sent; beyond, new ones are dropped.
const MAX_OUTGOING: usize = 512;

/// A message to another member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// From one replica of this log to another: `raft`'s own, in protobuf's form.
    Raft { cluster_id: u64, bytes: Vec<u8> },
    /// A fragment of something longer, of this log.
    Fragment { cluster_id: u64, fragment: Fragment },
    /// Requests fragments that lack.
    FragmentRequest { transfer: u64, numbers: Vec<u16> },
    /// Requests that a command is agreed.
    Request {
        cluster_id: u64,
        session: u64,
        request: u64,
        command: Command,
    },
    /// What became of a request.
    Response {
        session: u64,
        request: u64,
        outcome: Outcome,
    },
    /// The request is to be sent to the leader instead.
    Redirect { request: u64, leader: String },
    /// Requests a state that is newer than this.
    StateRequest { cluster_id: u64, index: u64 },
}

/// What a transfer in fragments holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferKind {
    /// A `raft` message.
    Raft,
    /// A copy of the state.
    StateCopy,
}

impl TransferKind {
    /// Its code in a fragment.
    pub(super) fn code(self) -> u8 {
        match self {
            TransferKind::Raft => 1,
            TransferKind::StateCopy => 2,
        }
    }

    /// The kind of this code; `None` for a later build's.
    pub(super) fn from_code(code: u8) -> Option<TransferKind> {
        match code {
            1 => Some(TransferKind::Raft),
            2 => Some(TransferKind::StateCopy),
            _ => None,
        }
    }
}

/// Whether a `raft` message goes in one datagram.
pub(super) fn fits_one_datagram(raft_message: &[u8]) -> bool {
    raft_message.len() <= MAX_UNFRAGMENTED_BYTES
}

/// A place in a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The log; 0 for none.
    pub cluster_id: u64,
    /// The entry.
    pub index: u64,
}

/// What a member announces to all of its part in consensus, as a gossip record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Its replica's id: of its log, or drawn for one.
    pub replica_id: u64,
    /// The log of which it has a replica; 0 for none.
    pub cluster_id: u64,
    /// The set of initial voters to which it promised itself; 0 for none.
    pub promised: u64,
    /// The state that it knows.
    pub known: LogPosition,
    /// The term.
    pub term: u64,
    /// The leader's name; empty where it knows of none.
    pub leader: String,
    /// It is a voter.
    pub is_voter: bool,
    /// Its log outlives its process.
    pub is_persistent: bool,
    /// It met what only a later build understands, or its replica failed.
    pub is_unfit: bool,
}

impl Notice {
    /// Encodes it as a gossip record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a gossip record; `None` where it can't be one.
    pub fn decode(bytes: &[u8]) -> Option<Notice> {
        postcard::from_bytes(bytes)
            .ok()
            .filter(|n: &Notice| n.leader.len() <= MAX_NAME_BYTES)
    }

    /// What it says of its replica; `None` where it has no id.
    pub fn announcement(&self) -> Option<Announcement> {
        (self.replica_id != 0).then_some(Announcement {
            replica_id: self.replica_id,
            cluster_id: self.cluster_id,
            promised: self.promised,
        })
    }
}

/// Messages that wait to be sent, with their receivers.
#[derive(Default)]
pub(super) struct Outbox {
    queue: VecDeque<(String, Vec<u8>)>,
    /// Messages that found no room.
    pub(super) dropped: u64,
}

impl Outbox {
    pub(super) fn push(&mut self, receiver: &str, message: &Message) {
        if self.queue.len() >= MAX_OUTGOING {
            self.dropped += 1;
        } else if let Ok(bytes) = postcard::to_stdvec(message) {
            self.queue.push_back((receiver.into(), bytes));
        }
    }

    pub(super) fn pop(&mut self) -> Option<(String, Vec<u8>)> {
        self.queue.pop_front()
    }
}
