//! Gathers the input for the choice of the next change of voters.

use super::messages::Notice;
use super::peers::{Peer, Peers};
use super::reconfiguration::{Candidate, LearnerStatus, VoterOverview, VoterSlot};
use super::replica::Replica;
use super::state::{State, Voter};
use crate::membership::MemberStatus;

/// This member, as the other members see it.
pub(super) struct OwnMember<'a> {
    pub(super) name: &'a str,
    pub(super) zone: &'a str,
    pub(super) replica_id: u64,
    pub(super) is_persistent: bool,
}

/// The leader's view of all voters, and of members that could become one.
pub(super) fn voter_overview(own: &OwnMember, replica: &Replica, peers: &Peers) -> VoterOverview {
    let state = replica.state();
    let slot = |id: u64| voter_slot(own, state, peers, id);
    VoterOverview {
        slots: replica.voter_ids().into_iter().filter_map(slot).collect(),
        learner: learner_status(replica, peers),
        candidates: peers.iter().filter_map(candidate).collect(),
        all_persistent: all_persistent(own, state, peers),
    }
}

/// Whether the logs of all voters are persistent.
pub(super) fn all_persistent(own: &OwnMember, state: &State, peers: &Peers) -> bool {
    let is_persistent = |name: &String| match *name == own.name {
        true => own.is_persistent,
        false => peers.notice(name).is_some_and(|n| n.is_persistent),
    };
    state.voters.values().all(is_persistent)
}

fn voter_slot(own: &OwnMember, state: &State, peers: &Peers, id: u64) -> Option<VoterSlot> {
    let name = state.voters.get(&id)?.clone();
    let voter = Voter { id, name };
    if voter.name == own.name {
        return Some(VoterSlot {
            voter,
            status: Some((MemberStatus::Alive, 0)),
            announced_id: Some(own.replica_id),
            zone: Some(own.zone.into()),
        });
    }
    let peer = peers.get(&voter.name);
    let announcement = peers.announcement(&voter.name);
    Some(VoterSlot {
        status: peer.map(|p| (p.status, p.status_age)),
        announced_id: announcement.map(|a| a.replica_id),
        zone: peer.map(|p| p.zone.clone()),
        voter,
    })
}

fn learner_status(replica: &Replica, peers: &Peers) -> Option<LearnerStatus> {
    let learner = replica.learner()?;
    let name = replica.state().voters.get(&learner.id);
    let announcement = name.and_then(|name| peers.announcement(name));
    Some(LearnerStatus {
        id: learner.id,
        is_caught_up: learner.is_caught_up,
        is_reachable: announcement.is_some_and(|a| a.replica_id == learner.id),
    })
}

/// The candidate for a member that is alive, has no log and is able to replicate one.
fn candidate(peer: &Peer) -> Option<Candidate> {
    let notice = peer.notice.as_ref()?;
    let is_free = |n: &Notice| n.cluster_id == 0 && n.replica_id != 0 && !n.is_unfit;
    if peer.status != MemberStatus::Alive || !is_free(notice) {
        return None;
    }
    Some(Candidate {
        voter: Voter {
            id: notice.replica_id,
            name: peer.name.clone(),
        },
        zone: peer.zone.clone(),
        is_persistent: notice.is_persistent,
        age: peer.status_age,
    })
}
