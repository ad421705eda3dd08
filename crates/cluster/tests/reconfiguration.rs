//! The choice of the next change of voters.

use driftfront_cluster::consensus::reconfiguration::{
    Candidate, LearnerStatus, VoterChange, VoterOverview, VoterSlot,
};
use driftfront_cluster::consensus::state::Voter;
use driftfront_cluster::{MemberStatus, Micros};

const S: Micros = 1_000_000;
const REPLACE_AFTER: Micros = 300 * S;
const UP: Option<(MemberStatus, Micros)> = Some((MemberStatus::Alive, 99 * S));

fn voter(id: u64, name: &str) -> Voter {
    Voter {
        id,
        name: name.into(),
    }
}

fn slot(
    id: u64,
    name: &str,
    zone: &str,
    status: Option<(MemberStatus, Micros)>,
    announced_id: u64,
) -> VoterSlot {
    VoterSlot {
        voter: voter(id, name),
        status,
        announced_id: Some(announced_id),
        zone: Some(zone.into()),
    }
}

fn candidate(id: u64, name: &str, zone: &str, is_persistent: bool, age: Micros) -> Candidate {
    Candidate {
        voter: voter(id, name),
        zone: zone.into(),
        is_persistent,
        age,
    }
}

fn learner(id: u64, is_caught_up: bool, is_reachable: bool) -> Option<LearnerStatus> {
    Some(LearnerStatus {
        id,
        is_caught_up,
        is_reachable,
    })
}

/// Voters a, b and c, of which c has been down for `time`, and some candidates for its slot.
fn with_c_down_for(time: Micros) -> VoterOverview {
    VoterOverview {
        slots: vec![
            slot(1, "a", "z0", UP, 1),
            slot(2, "b", "z1", UP, 2),
            slot(3, "c", "z2", Some((MemberStatus::Down, time)), 3),
        ],
        learner: None,
        candidates: vec![
            candidate(7, "d", "z0", true, 90 * S),
            candidate(8, "e", "z2", true, 50 * S),
            candidate(9, "f", "z2", false, 80 * S),
            candidate(10, "g", "z3", true, S),
        ],
        all_persistent: true,
    }
}

#[test]
fn lost_voter_is_replaced_step_by_step_unless_it_comes_back() {
    let next = |overview: &VoterOverview| overview.next_change(REPLACE_AFTER);
    assert_eq!(next(&with_c_down_for(299 * S)), None);
    assert_eq!(
        next(&with_c_down_for(300 * S)),
        Some(VoterChange::AddLearner(voter(8, "e")))
    );
    let without_candidates = VoterOverview {
        candidates: Vec::new(),
        ..with_c_down_for(300 * S)
    };
    assert_eq!(next(&without_candidates), None);
    let with_learner = |time, learner| VoterOverview {
        learner,
        ..with_c_down_for(time)
    };
    assert_eq!(next(&with_learner(301 * S, learner(8, false, true))), None);
    assert_eq!(
        next(&with_learner(302 * S, learner(8, true, true))),
        Some(VoterChange::ReplaceVoter { new: 8, old: 3 })
    );
    assert_eq!(
        next(&with_learner(302 * S, learner(8, false, false))),
        Some(VoterChange::RemoveLearner(8))
    );
    let not_persistent = VoterOverview {
        all_persistent: false,
        ..with_c_down_for(300 * S)
    };
    assert_eq!(next(&not_persistent), None, "where logs are not persistent");
    // The voter came back before it was replaced.
    assert_eq!(
        next(&with_learner(0, learner(8, true, true))),
        Some(VoterChange::RemoveLearner(8))
    );
}

#[test]
fn voter_that_lost_its_log_gets_its_slot_under_its_new_id() {
    let overview = |learner| VoterOverview {
        slots: vec![
            slot(1, "a", "z0", UP, 1),
            slot(2, "b", "z0", UP, 22),
            slot(3, "c", "z0", UP, 3),
        ],
        learner,
        candidates: vec![
            candidate(8, "e", "z2", true, 50 * S),
            candidate(22, "b", "z0", false, 0),
        ],
        all_persistent: false,
    };
    assert_eq!(
        overview(None).next_change(REPLACE_AFTER),
        Some(VoterChange::AddLearner(voter(22, "b")))
    );
    assert_eq!(
        overview(learner(22, true, true)).next_change(REPLACE_AFTER),
        Some(VoterChange::ReplaceVoter { new: 22, old: 2 })
    );
}
