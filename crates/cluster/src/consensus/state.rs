//! The replicated state: what every replica holds once it has applied the same log entries.

use super::leases::Leases;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A replica's id and the name of the process that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The replica's id: belongs to one log, and to one incarnation of its process.
    pub id: u64,
    /// The member's name, the same after a restart.
    pub name: String,
}

/// What all replicas hold once they applied the same entries.
///
/// Stored in snapshots and sent to observers in postcard's form: the order of the fields stays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// All leases that are granted.
    pub leases: Leases,
    /// Names of voters, and of the learner if there is one, by replica id.
    pub voters: BTreeMap<u64, String>,
}

impl State {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot's state; `None` for that of a build that this one does not understand.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        postcard::from_bytes(bytes).ok()
    }
}
