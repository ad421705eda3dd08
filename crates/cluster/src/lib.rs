//! Coordinators that know of each other, without their sockets.
//!
//! Three layers, each plain data to the one above:
//!
//! 1. [`members`]: who is there, by SWIM (`foca`). Wrong at times, for a stated time.
//! 2. [`facts`]: each member's own records, newest wins, with their age. A wrong one costs service, never a rule.
//! 3. [`agreed`]: what must never be decided twice, as rights that are lent by a majority of a few.
//!
//! [`Cluster`] holds both and speaks the language of [`seal`]: datagrams go in with the time, datagrams come out. It has no
//! clock, socket or random source of its own, so that the same unit runs in the program and by hundreds on virtual time.
//!
//! **Alone.** A fleet of one, or one that is cut off, has itself as its only member and its own facts; nothing waits for
//! an answer of anybody. **At most**, a peer that holds the key and lies can make living members look dead to others for
//! the time that a refutation needs, and tell facts of its own name; it can't tell facts of another's name that outlive
//! that one's next word.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod agent;
pub mod consensus;
pub mod gossip;
pub mod keys;
pub mod member_metadata;
pub mod membership;
pub mod message_authentication;
pub mod rate_limit;
pub mod replay_window;

pub use agent::{Cluster, Counters, MemberView, Options};
pub use consensus::Consensus;
pub use gossip::{GossipRecord, Kind};
pub use keys::{Key, Keyring};
pub use member_metadata::{MemberMetadata, State};
pub use membership::{Identity, MemberStatus};

/// Time or duration in microseconds.
pub type Micros = u64;

/// Largest datagram, so that none is cut into fragments on any usual network.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
