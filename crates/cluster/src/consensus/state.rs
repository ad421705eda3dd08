//! The replicated state: what every replica holds once it has applied the same log entries.

use super::leases::Leases;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A replica's id and the name of the process that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The replica's id, which belongs to one log and one incarnation of its process.
    pub id: u64,
    /// The member's name, stable across restarts.
    pub name: String,
}

/// The replicated state.
///
/// Stored in snapshots and sent to observers in postcard format: the order of the fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The lease table.
    pub leases: Leases,
    /// The names of all voters, and of the learner if there is one, by replica id.
    pub voters: BTreeMap<u64, String>,
}

impl State {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot's state; `None` if it is of a later build or malformed.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        postcard::from_bytes(bytes).ok()
    }
}
