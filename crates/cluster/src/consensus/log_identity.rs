//! Which log a file belongs to: the first record of a log file.

use super::leases::Leases;
use super::state::{State, Voter};
use crate::Micros;
use raft::eraftpb::Snapshot;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// No lease is granted for this long after a bootstrap, by the log's time.
///
/// What a cluster without state folders had granted, all of whose voters were lost at once, must have ended by then. No
/// lease is granted for longer at once where logs are not persistent.
pub const GRACE_AFTER_BOOTSTRAP: Micros = 10_000_000;

/// The log that a replica belongs to, and its own id there.
///
/// Stored in postcard's form: the order of the fields stays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogIdentity {
    /// The replica's id; 0 in the file of one that was replaced, and takes part in no log any more.
    pub replica_id: u64,
    /// The log: a hash over its initial voters.
    pub cluster_id: u64,
    /// The voters that bootstrapped it, by name; none for a replica that was let in later.
    pub initial_voters: Vec<Voter>,
}

/// A hash over a set of initial voters, sorted by name; never 0, which stands for no log.
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

    /// A log that others bootstrapped, for a replica that its leader let in.
    pub fn joined(replica_id: u64, cluster_id: u64) -> LogIdentity {
        LogIdentity {
            replica_id,
            cluster_id,
            initial_voters: Vec::new(),
        }
    }

    /// A log in which this member's replica was replaced by another's.
    pub fn replaced(cluster_id: u64) -> LogIdentity {
        LogIdentity::joined(0, cluster_id)
    }

    /// Whether the replica was replaced: nothing of its log is used any more, and it bootstraps no other.
    pub fn is_replaced(&self) -> bool {
        self.replica_id == 0
    }

    /// Encodes it for the log's file.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes what [`LogIdentity::encode`] made.
    pub fn decode(bytes: &[u8]) -> Option<LogIdentity> {
        postcard::from_bytes(bytes).ok()
    }

    /// The snapshot that all initial voters begin with, the same for each.
    pub fn first_snapshot(&self) -> Snapshot {
        // Ids are drawn above the clock's milliseconds, moved by 20 bits.
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
