//! Which voter is replaced, when, and by whom.
//!
//! The leader looks at this with each tick; a step at a time, each agreed in the log: a candidate becomes a learner, takes the
//! place of the voter that is lost once it has caught up, and is removed if it dies meanwhile.
//!
//! | voter slots | learner | next change |
//! | --- | --- | --- |
//! | one is lost | none | a candidate becomes a learner, if there is one |
//! | one is lost | has caught up | it takes the lost one's place |
//! | one is lost | reachable, behind | none yet |
//! | one is lost | unreachable, behind | it is removed |
//! | none is lost | any | it is removed: nobody needs it any more |
//!
//! A slot whose process came back without its log (it announces another id) is given to its new self at once: its old one
//! can't come back, as ids are drawn anew. Whoever is only down keeps its slot for the operator's time, since its log will be
//! back with it.
//!
//! Other names come in only where all logs are persistent. Else the initial voters' names are the voters' for ever, so that
//! initial voters that all have no log know that there is none; where logs are persistent, a replaced one's file says so.

use super::state::Voter;
use crate::membership::MemberStatus;
use crate::Micros;
use std::cmp::Reverse;

/// A candidate must have been reachable for this long: who comes and goes is none.
const MIN_CANDIDATE_AGE: Micros = 5_000_000;

/// A change of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// It becomes a learner, so that it may become a voter soon.
    AddLearner(Voter),
    /// The learner becomes a voter in place of another.
    ReplaceVoter {
        /// The learner's id.
        new: u64,
        /// The id of the voter whose place it takes.
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
    /// How the process of that name stands, and for how long; `None` where nobody knows it.
    pub status: Option<(MemberStatus, Micros)>,
    /// The replica id that the process of that name announces now.
    pub announced_id: Option<u64>,
    /// The zone of the process of that name, where it is known.
    pub zone: Option<String>,
}

impl VoterSlot {
    /// Whether it has to be given to another.
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

/// A member that could take a slot: it is reachable and has no log.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its id and name.
    pub voter: Voter,
    /// Its zone.
    pub zone: String,
    /// Its log would outlive its process.
    pub is_persistent: bool,
    /// How long it has been reachable.
    pub age: Micros,
}

/// The learner, as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct LearnerStatus {
    /// Its replica id.
    pub id: u64,
    /// It has all but the latest entries.
    pub is_caught_up: bool,
    /// Its process is reachable, and announces that id.
    pub is_reachable: bool,
}

/// All that the choice of the next change depends on.
#[derive(Clone, Debug)]
pub struct VoterOverview {
    /// All voters.
    pub slots: Vec<VoterSlot>,
    /// The learner, if there is one.
    pub learner: Option<LearnerStatus>,
    /// Members that could become a voter.
    pub candidates: Vec<Candidate>,
    /// Whether the logs of all voters outlive their processes.
    pub all_persistent: bool,
}

impl VoterOverview {
    /// The next change, if one is due: voters that are down for `replace_after` are replaced.
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

    /// The slot's own new process comes first, so that the operator's choice of voters holds.
    fn same_member(&self, slot: &VoterSlot) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|c| c.voter.name == slot.voter.name)
    }

    /// A candidate of a zone that has no reachable voter, then the one that has been reachable longest.
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
