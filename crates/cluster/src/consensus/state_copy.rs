//! Copies of the state, for members without a replica and for voters without a leader.

use super::messages::{LogPosition, Notice};
use super::peers::{Peer, Peers};
use super::state::State;
use serde::{Deserialize, Serialize};

/// A copy of the state at a log position. Sent in postcard format: the order of the fields must not change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct StateCopy {
    pub(super) position: LogPosition,
    pub(super) state: State,
}

impl StateCopy {
    /// A copy for another member, which needs no outcomes of requests.
    pub(super) fn for_observer(position: LogPosition, state: &State) -> StateCopy {
        let mut state = state.clone();
        state.leases.forget_requests();
        StateCopy { position, state }
    }

    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<StateCopy> {
        postcard::from_bytes(bytes).ok()
    }

    /// Adopts another member's copy if it is newer or of another log.
    pub(super) fn update(&mut self, other: StateCopy) {
        let is_newer = other.position.cluster_id != self.position.cluster_id
            || other.position.index > self.position.index;
        if is_newer && other.position.cluster_id != 0 {
            *self = other;
        }
    }
}

/// The members from which to request a newer state.
pub(super) struct CopySources<'a> {
    /// The known position in the log.
    pub(super) known: LogPosition,
    /// Members that know a newer state.
    pub(super) members: Vec<&'a Peer>,
}

impl<'a> CopySources<'a> {
    /// Finds reachable members that know a newer state than `known`; `None` if no log is known.
    pub(super) fn find(
        peers: &'a Peers,
        known: LogPosition,
        voters_only: bool,
    ) -> Option<CopySources<'a>> {
        let cluster_id = newest_log(peers, known)?;
        let index = match cluster_id == known.cluster_id {
            true => known.index,
            false => 0,
        };
        let is_newer = |n: &Notice| n.known.cluster_id == cluster_id && n.known.index > index;
        let members = peers
            .reachable()
            .filter(|(_, notice)| is_newer(notice) && (notice.is_voter || !voters_only))
            .map(|(peer, _)| peer)
            .collect();
        Some(CopySources {
            known: LogPosition { cluster_id, index },
            members,
        })
    }
}

/// The log to follow: the one with a leader, of the highest term if there are several; else the one known here; else the one
/// of which other members know the highest index.
fn newest_log(peers: &Peers, known: LogPosition) -> Option<u64> {
    let led = peers
        .reachable()
        .map(|(_, notice)| notice)
        .filter(|n| n.is_voter && !n.leader.is_empty())
        .max_by_key(|n| n.term);
    if let Some(notice) = led {
        return Some(notice.cluster_id).filter(|&id| id != 0);
    }
    if known.cluster_id != 0 {
        return Some(known.cluster_id);
    }
    let known_by_others = peers
        .reachable()
        .map(|(_, notice)| notice.known)
        .filter(|known| known.cluster_id != 0)
        .max_by_key(|known| known.index);
    known_by_others.map(|known| known.cluster_id)
}
