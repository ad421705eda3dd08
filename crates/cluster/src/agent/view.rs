//! The cluster as operators see it.

use crate::member_metadata::MemberMetadata;
use crate::membership::MemberStatus;
use crate::Micros;
use std::net::SocketAddr;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Bytes of datagrams accepted.
    pub received_bytes: u64,
    /// Datagrams rejected: another protocol.
    pub unknown_protocol: u64,
    /// Datagrams rejected: unsupported version.
    pub unsupported_version: u64,
    /// Datagrams rejected: key not in use.
    pub unknown_key: u64,
    /// Datagrams rejected: damaged, or created without the key.
    pub wrong_tag: u64,
    /// Datagrams rejected: replayed.
    pub replayed: u64,
    /// Datagrams rejected: addressed to an earlier process at this address, or sent by this one.
    pub stale_session: u64,
    /// Datagrams accepted under the key that is being rotated out.
    pub old_key: u64,
    /// Datagrams of an unknown kind.
    pub unknown_kind: u64,
    /// Datagrams not sent because a rate limit was reached or the queue was full.
    pub rate_limited: u64,
    /// Members that came up.
    pub members_up: u64,
    /// Members that went down.
    pub members_down: u64,
    /// How often this member was declared down and rejoined.
    pub rejoins: u64,
    /// How often this member dropped its suspicions of others because it was most likely cut off itself.
    pub membership_resets: u64,
    /// How often this member raised its session above that of an earlier process of its name.
    pub sessions_raised: u64,
    /// How often this process was stalled.
    pub stalls: u64,
    /// Membership datagrams that could not be decoded or were not valid.
    pub unreadable: u64,
    /// Gossip records rejected: over a limit, malformed, or forged under this member's name.
    pub refused: u64,
    /// Sessions evicted from the replay protection because there were too many.
    pub sessions_evicted: u64,
}

/// A member as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// The address for its datagrams.
    pub addr: SocketAddr,
    /// Its status.
    pub status: MemberStatus,
    /// How long it has been up or down, in local time.
    pub status_age: Micros,
    /// The metadata that it published, and its age.
    pub metadata: Option<(MemberMetadata, Micros)>,
    /// Whether it is this member.
    pub is_self: bool,
}
