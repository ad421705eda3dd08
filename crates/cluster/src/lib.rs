//! The coordinator cluster protocol, without I/O.
//!
//! Three layers, each independent of the ones above it:
//!
//! 1. [`membership`]: failure detection by SWIM (`foca`). Its view may be wrong for a bounded time.
//! 2. [`gossip`]: records that each member publishes about itself, with their age; the newest wins. A wrong record may degrade
//!    service, but never violates a limit.
//! 3. [`consensus`]: decisions that must be made at most once, as leases granted by a majority of a few voters (`raft`).
//!
//! [`Cluster`] holds all three for one member, and creates and verifies datagrams ([`message_authentication`]). Datagrams and
//! the time are its inputs, datagrams its output. It has no clock, socket or random source of its own, so that the same code
//! runs in production and, with hundreds of members, in a simulation on virtual time.
//!
//! **Isolation.** A member without reachable peers sees only itself and its own records; it never blocks on a response.
//!
//! **Malicious peers.** A peer that holds the key can make live members appear down to others until they refute it, and can
//! publish any record under its own name. A record that it forges under another name lasts until that member publishes again.
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
