//! Consensus: what must never be decided twice, as leases that a majority of a few voters grants.
//!
//! The voters keep one log (`raft`); all members may send requests, and read. [`Consensus`] is one member's part in it, free
//! of I/O as the rest: messages and time in; messages, and bytes to be written, out.
//!
//! | module | what it does |
//! | --- | --- |
//! | `participant` | one member's part: passes messages and time on to the modules below |
//! | `participation` | the state machine of that part: bootstrapping, replicating, observing |
//! | `requests` | this member's own requests and the leases that it holds |
//! | `proposals` | as a leader: requests of members that wait to be agreed |
//! | `reconfiguration` | as a leader: which voter is replaced, when, and by whom |
//! | `voter_overview` | what that choice depends on, gathered |
//! | `state_copy` | copies of the state for members without a replica |
//! | `bootstrap` | how a log comes to be, once |
//! | `replica` | one replica of the log: `raft` |
//! | `log`, `log_identity`, `store` | the log in memory, which log it is, its form in a file |
//! | `state`, `leases` | the state that the log's entries make |
//! | `command` | commands to the lease table, and their outcomes |
//! | `messages`, `fragmentation` | what members send each other, and how it fits datagrams |
//! | `peers` | the other members, as membership and gossip know them |
//! | `view` | what operators see |
//!
//! **Alone**, or without a majority: nothing new is granted. What is held stays until its end by the holder's own clock; then
//! the holder does what one does that never had it. **At most**, a peer with the key that lies can say that something is
//! granted which is not, replace voters and end replicas; a site trusts who holds its key. A process that was stopped holds
//! nothing when it wakes: ends are looked at when a lease is used ([`Consensus::holds`]), not when it was granted.

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
