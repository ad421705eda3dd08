//! Replacement of lost voters.
//!
//! The leader evaluates this at each tick and proposes one change at a time, each committed in the log: a candidate becomes a
//! learner, replaces the lost voter once it has caught up, and is removed if it becomes unreachable before that.
//!
//! | voter slots | learner | next change |
//! | --- | --- | --- |
//! | one is lost | none | a candidate becomes a learner, if there is one |
//! | one is lost | has caught up | it replaces the lost voter |
//! | one is lost | reachable, behind | none yet |
//! | one is lost | unreachable, behind | it is removed |
//! | none is lost | any | it is removed, since it is not needed any more |
//!
//! If a voter's process came back without its log (it announces another id), its slot is given to its new id at once: the old
//! replica can't return, since ids are drawn anew. A voter that is only down keeps its slot for the time that the operator
//! configured, since its log returns with it.
//!
//! Members with other names become voters only if all logs are persistent. Otherwise the voters keep the names of the initial
//! voters, so that no log exists if none of the initial voters has one. With persistent logs, the file of a replaced voter
//! says that it was replaced.

use super::state::Voter;
use crate::membership::MemberStatus;
use crate::Micros;
use std::cmp::Reverse;

/// A candidate must have been reachable for this long, which excludes unstable members.
const MIN_CANDIDATE_AGE: Micros = 5_000_000;

/// A change of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// A candidate becomes a learner, which can become a voter.
    AddLearner(Voter),
    /// The learner replaces a voter.
    ReplaceVoter {
        /// The learner's id.
        new: u64,
        /// The id of the replaced voter.
        old: u64,
    },
    /// The learner of this id is removed.
    RemoveLearner(u64),
}

/// A voter's slot, as the leader sees it.
#[derive(Clone, Debug)]
pub struct VoterSlot {
    /// The voter.
    pub voter: Voter,
    /// The status of the process with that name, and its age; `None` if it is unknown.
    pub status: Option<(MemberStatus, Micros)>,
    /// The replica id that the process with that name announces now.
    pub announced_id: Option<u64>,
    /// The zone of the process with that name, if known.
    pub zone: Option<String>,
}

impl VoterSlot {
    /// Whether the slot must be given to another replica.
    fn is_lost(&self, replace_after: Micros) -> bool {
        self.has_lost_its_log() || self.has_been_down_for(replace_after)
    }

    fn has_lost_its_log(&self) -> bool {
        self.announced_id.is_some_and(|id| id != self.voter.id)
    }

    fn has_been_down_for(&self, time: Micros) -> bool {
        matches!(self.status, Some((MemberStatus::Down, age)) if age >= time)
    }

    fn is_reachable(&self) -> bool {
        self.status
            .is_some_and(|(status, _)| status != MemberStatus::Down)
    }
}

/// A member that could become a voter: it is alive and has no log.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its id and name.
    pub voter: Voter,
    /// Its zone.
    pub zone: String,
    /// Whether its log would be persistent.
    pub is_persistent: bool,
    /// How long it has been reachable.
    pub age: Micros,
}

/// The learner, as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct LearnerStatus {
    /// Its replica id.
    pub id: u64,
    /// Whether it has all but the latest entries.
    pub is_caught_up: bool,
    /// Whether its process is reachable and announces that id.
    pub is_reachable: bool,
}

/// The input for the choice of the next change.
#[derive(Clone, Debug)]
pub struct VoterOverview {
    /// All voters.
    pub slots: Vec<VoterSlot>,
    /// The learner, if there is one.
    pub learner: Option<LearnerStatus>,
    /// Members that could become a voter.
    pub candidates: Vec<Candidate>,
    /// Whether the logs of all voters are persistent.
    pub all_persistent: bool,
}

impl VoterOverview {
    /// The next change, if one is due. Voters that are down for `replace_after` are replaced.
    pub fn next_change(&self, replace_after: Micros) -> Option<VoterChange> {
        let lost = self.slots.iter().find(|s| s.is_lost(replace_after));
        match (lost, self.learner) {
            (None, None) => None,
            (Some(slot), None) => self.add_learner(slot),
            (Some(slot), Some(learner)) if learner.is_caught_up => {
                Some(VoterChange::ReplaceVoter {
                    new: learner.id,
                    old: slot.voter.id,
                })
            }
            (Some(_), Some(learner)) if learner.is_reachable => None,
            (_, Some(learner)) => Some(VoterChange::RemoveLearner(learner.id)),
        }
    }

    fn add_learner(&self, slot: &VoterSlot) -> Option<VoterChange> {
        let candidate = self
            .same_member(slot)
            .or_else(|| self.best_candidate().filter(|_| self.all_persistent))?;
        Some(VoterChange::AddLearner(candidate.voter.clone()))
    }

    /// The candidate with the slot's own name, which is preferred to keep the operator's choice of voters.
    fn same_member(&self, slot: &VoterSlot) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|c| c.voter.name == slot.voter.name)
    }

    /// The best other candidate: first one in a zone without a reachable voter, then the one reachable for longest.
    fn best_candidate(&self) -> Option<&Candidate> {
        let reachable = self.slots.iter().filter(|s| s.is_reachable());
        let zones: Vec<&String> = reachable.filter_map(|s| s.zone.as_ref()).collect();
        let is_voter = |c: &Candidate| self.slots.iter().any(|s| s.voter.name == c.voter.name);
        let is_eligible =
            |c: &&Candidate| c.is_persistent && c.age >= MIN_CANDIDATE_AGE && !is_voter(c);
        self.candidates
            .iter()
            .filter(is_eligible)
            .max_by_key(|c| (!zones.contains(&&c.zone), c.age, Reverse(&c.voter.name)))
    }
}
