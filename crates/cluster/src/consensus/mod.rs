//! Consensus: decisions that must be made at most once, as leases granted by a majority of a few voters.
//!
//! The voters replicate one log (`raft`); all members can send requests and read the state. [`Consensus`] is one member's
//! participant. It does no I/O: its inputs are messages and time, its outputs are messages and bytes to write.
//!
//! | module | what it does |
//! | --- | --- |
//! | `participant` | one member's participant: passes messages and time on to the modules below |
//! | `participation` | the participant's state machine: bootstrapping, replicating, observing |
//! | `requests` | this member's own requests and the leases that it holds |
//! | `proposals` | on the leader: proposed requests that are not committed yet |
//! | `reconfiguration` | on the leader: which voter is replaced, when, and by which member |
//! | `voter_overview` | gathers the input of that decision |
//! | `state_copy` | copies of the state for members without a replica |
//! | `bootstrap` | the bootstrap of a new log |
//! | `replica` | one replica of the log: `raft` |
//! | `log`, `log_identity`, `store` | the in-memory log, its identity, its file format |
//! | `state`, `leases` | the replicated state |
//! | `command` | commands to the lease table, and their outcomes |
//! | `messages`, `fragmentation` | messages between members, and their transfer in datagrams |
//! | `peers` | the other members, as membership and gossip know them |
//! | `view` | the state and counters as operators see them |
//!
//! **Isolation.** Without a majority nothing new is granted. A held lease remains valid until its end by the holder's own clock;
//! after that the holder must act as if it never had it.
//!
//! **Malicious peers.** A peer that holds the key can claim that a lease was granted when it was not, replace voters and
//! terminate replicas; operators must trust every holder of the key.
//!
//! **Stopped processes.** A process that was stopped holds no expired lease when it resumes: the end of a lease is checked at
//! each use ([`Consensus::holds`]), not only when it is granted.

mod bootstrap;
mod command;
pub mod fragmentation;
pub mod leases;
pub mod log;
pub mod log_identity;
mod messages;
mod participant;
mod participation;
mod peers;
mod proposals;
pub mod reconfiguration;
pub mod replica;
mod requests;
pub mod state;
mod state_copy;
pub mod store;
mod view;
mod voter_overview;

pub use bootstrap::{Announcement, Bootstrap};
pub use messages::{LogPosition, Notice};
pub use participant::{Consensus, Options};
pub use peers::Peer;
pub use requests::{CompletedRequest, HeldLease, RequestError};
pub use view::{Counters, GrantedLease, Role, View, VoterStatus};
