//! The identity of a log, stored as the first record of a log file.

use super::leases::Leases;
use super::state::{State, Voter};
use crate::Micros;
use raft::eraftpb::Snapshot;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// No lease is granted for this long after a bootstrap, in log time.
///
/// This protects the leases of an earlier log without state folders that lost all voters at once: they have ended by then.
/// Where logs are not persistent, no lease is granted for longer than this.
pub const GRACE_AFTER_BOOTSTRAP: Micros = 10_000_000;

/// The log that a replica belongs to, and the replica's id in it.
///
/// Stored in postcard format: the order of the fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogIdentity {
    /// The replica's id; 0 in the file of a replica that was replaced and takes part in no log any more.
    pub replica_id: u64,
    /// The log's id: a hash of its initial voters.
    pub cluster_id: u64,
    /// The voters that bootstrapped it, sorted by name; empty for a replica that was admitted later.
    pub initial_voters: Vec<Voter>,
}

/// A hash of the initial voters, sorted by name; never 0, which means no log.
fn cluster_id_of(voters: &[Voter]) -> u64 {
    let mut hash = SipHasher24::new();
    for voter in voters {
        hash.write_u64(voter.id);
        hash.write_usize(voter.name.len());
        hash.write(voter.name.as_bytes());
    }
    hash.finish().max(1)
}

impl LogIdentity {
    /// The log that these voters bootstrap.
    pub fn bootstrapped(replica_id: u64, mut voters: Vec<Voter>) -> LogIdentity {
        voters.sort_by(|a, b| a.name.cmp(&b.name));
        LogIdentity {
            replica_id,
            cluster_id: cluster_id_of(&voters),
            initial_voters: voters,
        }
    }

    /// A log that others bootstrapped, for a replica that its leader admitted.
    pub fn joined(replica_id: u64, cluster_id: u64) -> LogIdentity {
        LogIdentity {
            replica_id,
            cluster_id,
            initial_voters: Vec::new(),
        }
    }

    /// A log in which another member replaced this one's replica.
    pub fn replaced(cluster_id: u64) -> LogIdentity {
        LogIdentity::joined(0, cluster_id)
    }

    /// Whether the replica was replaced: its log is not used any more, and the member bootstraps no other.
    pub fn is_replaced(&self) -> bool {
        self.replica_id == 0
    }

    /// Encodes the identity for the log file.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the output of [`LogIdentity::encode`].
    pub fn decode(bytes: &[u8]) -> Option<LogIdentity> {
        postcard::from_bytes(bytes).ok()
    }

    /// The initial snapshot, which is the same for all initial voters.
    pub fn first_snapshot(&self) -> Snapshot {
        // The bits of an id above the low 20 are the clock's milliseconds.
        let newest_ms = self.initial_voters.iter().map(|v| v.id >> 20).max();
        let leases = Leases::starting_at(newest_ms.unwrap_or(0), GRACE_AFTER_BOOTSTRAP);
        let voters = self.initial_voters.iter().cloned();
        let state = State {
            leases,
            voters: voters.map(|v| (v.id, v.name)).collect(),
        };
        let mut snapshot = Snapshot {
            data: state.encode().into(),
            ..Snapshot::default()
        };
        let mut ids: Vec<u64> = self.initial_voters.iter().map(|v| v.id).collect();
        ids.sort_unstable();
        let metadata = snapshot.mut_metadata();
        metadata.index = 1;
        metadata.term = 1;
        metadata.mut_conf_state().voters = ids;
        snapshot
    }
}
