//! The other members, as the cluster's membership and gossip know them.

use super::bootstrap::Announcement;
use super::messages::Notice;
use crate::membership::MemberStatus;
use crate::Micros;
use std::collections::BTreeMap;

/// Another member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// How sure it is to be there.
    pub status: MemberStatus,
    /// For how long it has been so.
    pub status_age: Micros,
    /// Its zone.
    pub zone: String,
    /// What it announces of its part in consensus.
    pub notice: Option<Notice>,
}

impl Peer {
    /// Whether nobody has called it down.
    pub fn is_reachable(&self) -> bool {
        self.status != MemberStatus::Down
    }
}

/// All other members, by name.
#[derive(Default)]
pub(super) struct Peers(BTreeMap<String, Peer>);

impl Peers {
    /// Puts these in place of all that were known.
    pub(super) fn replace(&mut self, peers: Vec<Peer>) {
        self.0 = peers.into_iter().map(|p| (p.name.clone(), p)).collect();
    }

    pub(super) fn get(&self, name: &str) -> Option<&Peer> {
        self.0.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> + '_ {
        self.0.values()
    }

    pub(super) fn is_reachable(&self, name: &str) -> bool {
        self.get(name).is_some_and(Peer::is_reachable)
    }

    /// What a member announces, reachable or not.
    pub(super) fn notice(&self, name: &str) -> Option<&Notice> {
        self.get(name)?.notice.as_ref()
    }

    /// Reachable members and what they announce.
    pub(super) fn reachable(&self) -> impl Iterator<Item = (&Peer, &Notice)> + '_ {
        self.iter()
            .filter(|p| p.is_reachable())
            .filter_map(|p| Some((p, p.notice.as_ref()?)))
    }

    /// What a reachable member announces of its replica.
    pub(super) fn announcement(&self, name: &str) -> Option<Announcement> {
        let peer = self.get(name).filter(|p| p.is_reachable())?;
        peer.notice.as_ref()?.announcement()
    }

    /// The leader of a log as its reachable voters announce it: that of the highest term counts.
    pub(super) fn leader_of(&self, cluster_id: u64) -> Option<&String> {
        let knows_leader =
            |n: &&Notice| n.is_voter && n.cluster_id == cluster_id && !n.leader.is_empty();
        let newest = self
            .reachable()
            .map(|(_, notice)| notice)
            .filter(knows_leader)
            .max_by_key(|n| n.term);
        newest.map(|n| &n.leader)
    }
}
