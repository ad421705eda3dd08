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
    /// Its membership status.
    pub status: MemberStatus,
    /// How long it has been up or down.
    pub status_age: Micros,
    /// Its zone.
    pub zone: String,
    /// The notice that it published.
    pub notice: Option<Notice>,
}

impl Peer {
    /// Whether it is alive or suspected.
    pub fn is_reachable(&self) -> bool {
        self.status != MemberStatus::Down
    }
}

/// All other members, by name.
#[derive(Default)]
pub(super) struct Peers(BTreeMap<String, Peer>);

impl Peers {
    /// Replaces all known peers.
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

    /// The notice of a member, reachable or not.
    pub(super) fn notice(&self, name: &str) -> Option<&Notice> {
        self.get(name)?.notice.as_ref()
    }

    /// Reachable members and their notices.
    pub(super) fn reachable(&self) -> impl Iterator<Item = (&Peer, &Notice)> + '_ {
        self.iter()
            .filter(|p| p.is_reachable())
            .filter_map(|p| Some((p, p.notice.as_ref()?)))
    }

    /// The announcement of a reachable member's replica.
    pub(super) fn announcement(&self, name: &str) -> Option<Announcement> {
        let peer = self.get(name).filter(|p| p.is_reachable())?;
        peer.notice.as_ref()?.announcement()
    }

    /// The leader of a log according to its reachable voters; the one of the highest term wins.
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
