//! What operators see of a cluster.

use crate::member_metadata::MemberMetadata;
use crate::membership::MemberStatus;
use crate::Micros;
use std::net::SocketAddr;

/// Counts since the start.
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
    /// Datagrams refused: of another protocol.
    pub unknown_protocol: u64,
    /// Datagrams refused: of another version.
    pub unsupported_version: u64,
    /// Datagrams refused: under a key that is not in use.
    pub unknown_key: u64,
    /// Datagrams refused: damaged, or made without the key.
    pub wrong_tag: u64,
    /// Datagrams refused: accepted before.
    pub replayed: u64,
    /// Datagrams refused: for an earlier process here, or from this one.
    pub stale_session: u64,
    /// Datagrams accepted under the key on its way out.
    pub old_key: u64,
    /// Datagrams of a kind that this build does not know.
    pub unknown_kind: u64,
    /// Datagrams not sent, as a rate limit was reached, or too many waited.
    pub rate_limited: u64,
    /// Members that came up.
    pub members_up: u64,
    /// Members that went down.
    pub members_down: u64,
    /// How often this member was called down and came back.
    pub rejoins: u64,
    /// How often this member dropped its suspicions of others, as it was more likely cut off itself.
    pub membership_resets: u64,
    /// How often this member's session was behind that of an earlier process of its name.
    pub sessions_raised: u64,
    /// How often this process was held up.
    pub stalls: u64,
    /// Membership datagrams that could not be used.
    pub unreadable: u64,
    /// Gossip records refused: beyond bounds, malformed, or forged under this member's name.
    pub refused: u64,
    /// Sessions forgotten early.
    pub sessions_evicted: u64,
}

/// A member as it is shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// How sure it is to be there.
    pub status: MemberStatus,
    /// For how long it has been so, by this member's own time.
    pub status_age: Micros,
    /// What it publishes of itself, and how old that is.
    pub metadata: Option<(MemberMetadata, Micros)>,
    /// It is this member.
    pub is_self: bool,
}
