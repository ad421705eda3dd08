//! The cluster: coordinators that know of each other, without their sockets.
//!
//! Three layers, each plain data to the one above:
//!
//! 1. [`membership`]: who is there, by SWIM (`foca`). Wrong at times, for a stated time.
//! 2. [`gossip`]: each member's own records, newest wins, with their age. A wrong one costs service, never a rule.
//! 3. [`consensus`]: what must never be decided twice, as leases that a majority of a few voters grants (`raft`).
//!
//! [`Cluster`] holds all three, one for each member, and makes and checks datagrams ([`message_authentication`]): they go in
//! with the time, and come out. It has no clock, socket or random source of its own, so that the same code runs in the
//! program and by hundreds on virtual time.
//!
//! **Alone.** A member that is alone, or cut off, has itself as its only member and its own records; nothing waits for an
//! answer of anybody. **At most**, a peer that holds the key and lies can make living members look dead to others for the
//! time that a refutation needs, and publish records of its own name; it can't publish records of another's name that
//! outlive that one's next.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod agent;
pub mod consensus;
pub mod gossip;
pub mod keys;
pub mod local_clock;
pub mod member_metadata;
pub mod membership;
pub mod message_authentication;
pub mod replay_window;
mod token_bucket;

pub use agent::{Cluster, Counters, MemberView, Options};
pub use consensus::Consensus;
pub use gossip::{GossipRecord, Kind};
pub use keys::{Key, Keyring, KeyringError};
pub use member_metadata::{MemberMetadata, State};
pub use membership::{Identity, MemberStatus};

/// Time or duration in microseconds.
pub type Micros = u64;

/// Longest datagram, so that none is cut into fragments on any usual network.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
