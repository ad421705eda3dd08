//! A model of the lease protocol for the model checker `stateright`: three voters, two requesters, at most one crash and one network
//! partition, and leaders that may stall.
//!
//! Log entries are applied to the real lease table ([`Leases`]). Only the rules of the consensus protocol are modelled: terms, votes
//! for logs that are at least as complete as the voter's, and commitment once a majority has an entry of the leader's own term. A
//! call between two processes is one step. A request may reach any leader, at any time and repeatedly. The initial state has a
//! leader, which is always the same one because voters are symmetric.
//!
//! Two properties are checked in all states within the [`Bounds`]: the two requesters never use the lease at the same time, and a
//! committed entry never changes.
//!
//! | module | contents |
//! | --- | --- |
//! | this | the bounds, the possible steps, the properties |
//! | `state` | the state of voters and requesters |
//! | `steps` | the effect of each step on the state |
//!
//! [`Leases`]: driftfront_cluster::consensus::leases::Leases

mod state;
mod steps;

pub use state::{HeldLease, LogEntry, PendingRequest, Requester, State, Voter};
pub use steps::Step;

use state::VOTERS;
use stateright::{Model, Property};

/// The property that the two requesters never use the lease at the same time.
pub const MUTUAL_EXCLUSION: &str = "mutual exclusion";
/// The property that a committed entry never changes.
pub const COMMITTED_IS_FINAL: &str = "committed entries never change";
/// The property that the lease passes from one requester to the other in some run. It shows that the model is not vacuous.
const LEASE_CHANGES_HOLDER: &str = "lease changes holder";

/// Number of requests of the first requester, which acquires the lease and releases it. The other one lets the lease expire.
const MAX_REQUESTS_OF_RELEASER: u64 = 2;
const RELEASER: usize = 0;

/// Bounds of the model.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum time, in units.
    pub time: u64,
    /// Maximum term.
    pub terms: u8,
    /// Maximum number of log entries.
    pub entries: usize,
    /// A defect of the implementation, which the check must find.
    pub defect: Defect,
}

/// A possible defect of an implementation, because of which a lease is used for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// The holder counts the lease's duration from the response instead of from its first request.
    CountsFromResponse,
    /// A leader uses its own clock, which may be ahead of the committed time.
    UsesOwnClock,
}

impl Bounds {
    fn add_steps_of_voter(&self, state: &State, number: usize, steps: &mut Vec<Step>) {
        let voter = &state.voters[number];
        match voter.is_up {
            true if state.crashes == 0 => steps.push(Step::Crash(number)),
            false => steps.push(Step::Start(number)),
            true => {}
        }
        if state.cuts == 0 {
            steps.push(Step::Cut(number));
        }
        if state.can_stall(number) {
            steps.push(Step::Stall(number));
        }
        if voter.is_up && voter.term < self.terms && !voter.is_leader {
            steps.push(Step::Elect(number));
        }
        if voter.is_leader {
            let followers = (0..VOTERS).filter(|&other| {
                other != number && state.can_reach(number, other) && !state.is_redundant(other)
            });
            steps.extend(followers.map(|follower| Step::Replicate {
                leader: number,
                follower,
            }));
        }
        if voter.is_up {
            self.add_request_steps(state, number, steps);
        }
    }

    /// Adds the steps of a running voter that handle pending requests.
    fn add_request_steps(&self, state: &State, voter: usize, steps: &mut Vec<Step>) {
        let has_room = state.voters[voter].log.len() < self.entries;
        let proposes = state.voters[voter].is_leader && has_room;
        for (requester, _) in state.pending_requesters() {
            if proposes {
                steps.push(Step::Propose {
                    leader: voter,
                    requester,
                });
            }
            steps.push(Step::Respond { voter, requester });
        }
    }
}

fn add_steps_of_requester(number: usize, requester: &Requester, steps: &mut Vec<Step>) {
    if requester.pending.is_some() {
        return;
    }
    match requester.held {
        None if requester.requests == 0 => steps.push(Step::Request(number)),
        Some(_) if number == RELEASER && requester.requests < MAX_REQUESTS_OF_RELEASER => {
            steps.push(Step::Release(number));
        }
        _ => {}
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State::initial()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < self.time {
            steps.push(Step::Tick);
        }
        for number in (0..VOTERS).filter(|&number| !state.is_redundant(number)) {
            self.add_steps_of_voter(state, number, steps);
        }
        if state.cut_off.is_some() {
            steps.push(Step::Heal);
        }
        for (number, requester) in state.requesters.iter().enumerate() {
            add_steps_of_requester(number, requester, steps);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        state.apply(&step, self.defect)?;
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(MUTUAL_EXCLUSION, |_, state: &State| {
                !(state.uses_lease(0) && state.uses_lease(1))
            }),
            Property::always(COMMITTED_IS_FINAL, |_, state: &State| !state.has_diverged),
            Property::sometimes(LEASE_CHANGES_HOLDER, |_, state: &State| {
                let had_lease = state.requesters[0].held.is_some() && !state.uses_lease(0);
                had_lease && state.uses_lease(1)
            }),
        ]
    }
}
