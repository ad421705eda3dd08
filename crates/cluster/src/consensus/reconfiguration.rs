//! Who decides, when one of those that do is gone for good.
//!
//! The leader looks at this with each tick; a step at a time, each agreed in the log: a candidate learns, takes the place
//! of the one that is gone once it has come up with the rest, and is let go if it dies meanwhile. A seat whose
//! process came back without its log (it shows another id) is given to its new self at once: its old one can't come back,
//! as ids are drawn anew. Whoever is only down keeps its seat for the operator's time, since its log will be back with it.
//!
//! Other names come in only where all keep their logs on disk. Else the founders' names are the voters' for ever, so
//! that founders that all have no log know that there is none; where logs are kept, a replaced one's file says so.

use crate::consensus::bootstrap::Voter;
use crate::consensus::replica::Change;
use crate::membership::MemberStatus;
use crate::Micros;

/// A seat.
#[derive(Clone, Debug)]
pub struct VoterSlot {
    /// Who decides.
    pub voter: Voter,
    /// How the process of that name stands, and for how long; nothing where nobody knows it.
    pub stands: Option<(MemberStatus, Micros)>,
    /// The id that the process of that name shows now.
    pub shows: Option<u64>,
}

/// Who could take a seat: it is there and has no log.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its id and name.
    pub voter: Voter,
    /// Its zone.
    pub zone: String,
    /// It keeps its log where that outlives its process.
    pub keeps: bool,
    /// How long it has been there.
    pub for_long: Micros,
}

/// A candidate must have been there for this long: who comes and goes is none.
const STEADY: Micros = 5_000_000;

impl VoterSlot {
    /// Whether it has to be given to another, and to whom if that is settled.
    fn lost(&self, after: Micros) -> bool {
        self.lost_its_log()
            || matches!(self.stands, Some((MemberStatus::Down, long)) if long >= after)
    }

    fn lost_its_log(&self) -> bool {
        self.shows.is_some_and(|id| id != self.voter.0)
    }
}

/// The next step, if one is due. `zones`: those of voters that are there; `learner`: its id, whether it has come up with the rest, and whether it is heard.
pub fn next(
    voter_slots: &[VoterSlot],
    learner: Option<(u64, bool, bool)>,
    candidates: &[Candidate],
    zones: &[String],
    after: Micros,
    all_keep: bool,
) -> Option<Change> {
    let lost = voter_slots.iter().find(|s| s.lost(after));
    match (lost, learner) {
        (Some(voter_slot), Some((new, true, _))) => Some(Change::Swap {
            new,
            old: voter_slot.voter.0,
        }),
        (_, Some((id, _, false))) => Some(Change::Drop(id)),
        (None, Some((id, ..))) => Some(Change::Drop(id)),
        (Some(_), Some(_)) | (None, None) => None,
        (Some(voter_slot), None) => {
            // Its own new self first, so that the operator's choice of voters holds.
            let own = candidates.iter().find(|c| c.voter.1 == voter_slot.voter.1);
            let taken = |c: &Candidate| voter_slots.iter().any(|s| s.voter.1 == c.voter.1);
            let steady = |c: &&Candidate| c.keeps && c.for_long >= STEADY && !taken(c);
            let best = || {
                candidates.iter().filter(steady).max_by_key(|c| {
                    // Of a zone that has no voter, then who has been there longest.
                    (
                        !zones.contains(&c.zone),
                        c.for_long,
                        std::cmp::Reverse(c.voter.1.clone()),
                    )
                })
            };
            own.or_else(|| best().filter(|_| all_keep))
                .map(|c| Change::Learn(c.voter.clone()))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn voter_slot(
        id: u64,
        name: &str,
        stands: Option<(MemberStatus, Micros)>,
        shows: u64,
    ) -> VoterSlot {
        VoterSlot {
            voter: (id, name.into()),
            stands,
            shows: Some(shows),
        }
    }

    fn candidate(id: u64, name: &str, zone: &str, keeps: bool, for_long: Micros) -> Candidate {
        Candidate {
            voter: (id, name.into()),
            zone: zone.into(),
            keeps,
            for_long,
        }
    }

    #[test]
    fn who_is_gone_for_good_is_replaced_step_by_step_and_who_is_back_keeps_its_seat() {
        let up = Some((MemberStatus::Alive, 99 * S));
        let voter_slots = |down| {
            vec![
                voter_slot(1, "a", up, 1),
                voter_slot(2, "b", up, 2),
                voter_slot(3, "c", Some((MemberStatus::Down, down)), 3),
            ]
        };
        let zones = ["z0".to_string(), "z1".into()];
        let others = [
            candidate(7, "d", "z0", true, 90 * S),
            candidate(8, "e", "z2", true, 50 * S),
            candidate(9, "f", "z2", false, 80 * S),
            candidate(10, "g", "z3", true, S),
        ];
        assert_eq!(
            next(&voter_slots(299 * S), None, &others, &zones, 300 * S, true),
            None
        );
        assert_eq!(
            next(&voter_slots(300 * S), None, &others, &zones, 300 * S, true),
            Some(Change::Learn((8, "e".into())))
        );
        assert_eq!(
            next(&voter_slots(300 * S), None, &[], &zones, 300 * S, true),
            None
        );
        assert_eq!(
            next(
                &voter_slots(301 * S),
                Some((8, false, true)),
                &others,
                &zones,
                300 * S,
                true
            ),
            None
        );
        assert_eq!(
            next(
                &voter_slots(302 * S),
                Some((8, true, true)),
                &others,
                &zones,
                300 * S,
                true
            ),
            Some(Change::Swap { new: 8, old: 3 })
        );
        assert_eq!(
            next(
                &voter_slots(302 * S),
                Some((8, false, false)),
                &others,
                &zones,
                300 * S,
                true
            ),
            Some(Change::Drop(8))
        );
        assert_eq!(
            next(&voter_slots(300 * S), None, &others, &zones, 300 * S, false),
            None,
            "where logs are not kept"
        );
        // Back before it was replaced.
        assert_eq!(
            next(
                &voter_slots(0),
                Some((8, true, true)),
                &others,
                &zones,
                300 * S,
                true
            ),
            Some(Change::Drop(8))
        );
    }

    #[test]
    fn who_lost_its_log_gets_its_seat_again_under_its_new_id_at_once() {
        let up = Some((MemberStatus::Alive, 99 * S));
        let voter_slots = [
            voter_slot(1, "a", up, 1),
            voter_slot(2, "b", up, 22),
            voter_slot(3, "c", up, 3),
        ];
        let others = [
            candidate(8, "e", "z2", true, 50 * S),
            candidate(22, "b", "z0", false, 0),
        ];
        assert_eq!(
            next(&voter_slots, None, &others, &[], 300 * S, false),
            Some(Change::Learn((22, "b".into())))
        );
        assert_eq!(
            next(
                &voter_slots,
                Some((22, true, true)),
                &others,
                &[],
                300 * S,
                false
            ),
            Some(Change::Swap { new: 22, old: 2 })
        );
    }
}
