//! Consensus messages between members, and the notice that each member publishes.
//!
//! All types here are sent in postcard format: the order of their fields and variants must not change. Later builds append
//! variants; a message that this build can't decode is counted and ignored.

use super::bootstrap::Announcement;
use super::fragmentation::Fragment;
use super::leases::{Command, Outcome};
use crate::membership::MAX_NAME_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Longest `raft` message that fits one datagram with its header.
const MAX_UNFRAGMENTED_BYTES: usize = 1080;
/// Most messages that wait to be sent; further ones are dropped.
const MAX_OUTGOING: usize = 512;

/// A message to another member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A `raft` message between replicas of this log, in protobuf format.
    Raft { cluster_id: u64, bytes: Vec<u8> },
    /// A fragment of a longer message about this log.
    Fragment { cluster_id: u64, fragment: Fragment },
    /// Requests missing fragments.
    FragmentRequest { transfer: u64, numbers: Vec<u16> },
    /// Requests that a command is committed.
    Request {
        cluster_id: u64,
        session: u64,
        request: u64,
        command: Command,
    },
    /// The outcome of a request.
    Response {
        session: u64,
        request: u64,
        outcome: Outcome,
    },
    /// Tells the requester to send the request to the leader instead.
    Redirect { request: u64, leader: String },
    /// Requests a copy of the state that is newer than this position.
    StateRequest { cluster_id: u64, index: u64 },
}

/// The content of a fragmented transfer.
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

    /// The kind with this code; `None` if it is unknown.
    pub(super) fn from_code(code: u8) -> Option<TransferKind> {
        match code {
            1 => Some(TransferKind::Raft),
            2 => Some(TransferKind::StateCopy),
            _ => None,
        }
    }
}

/// Whether a `raft` message fits one datagram.
pub(super) fn fits_one_datagram(raft_message: &[u8]) -> bool {
    raft_message.len() <= MAX_UNFRAGMENTED_BYTES
}

/// A position in a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The log's id; 0 for none.
    pub cluster_id: u64,
    /// The index of the entry.
    pub index: u64,
}

/// What a member publishes about its participation in consensus, as a gossip record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Its replica's id, or the id that it drew for a future replica.
    pub replica_id: u64,
    /// The id of the log of which it has a replica; 0 for none.
    pub cluster_id: u64,
    /// The set of initial voters that it promised to join; 0 for none.
    pub promised: u64,
    /// The position of the newest state that it knows.
    pub known: LogPosition,
    /// The term.
    pub term: u64,
    /// The leader's name; empty if unknown.
    pub leader: String,
    /// Whether it is a voter.
    pub is_voter: bool,
    /// Whether its log survives a restart of its process.
    pub is_persistent: bool,
    /// Whether its replica failed, or found data that only a later build understands.
    pub is_unfit: bool,
}

impl Notice {
    /// Encodes the notice as a gossip record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a gossip record; `None` if it is not a valid notice.
    pub fn decode(bytes: &[u8]) -> Option<Notice> {
        postcard::from_bytes(bytes)
            .ok()
            .filter(|n: &Notice| n.leader.len() <= MAX_NAME_BYTES)
    }

    /// The announcement of its replica; `None` without a replica id.
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
    /// Messages dropped because the queue was full.
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
