//! A model of the lease protocol, checked exhaustively by `stateright`: three voters, two requesters, one crash, one cut, and
//! clocks that stand still or go on.
//!
//! The state that log entries make is the real one ([`Leases`]); of the consensus protocol only the rules are modelled:
//! terms, votes for logs that lack nothing, and commit once a majority has an entry of the leader's own term. A call between
//! two processes is one step; a request may reach any leader, early, late and again. The initial state has a leader, always
//! the same one, as voters are alike.
//!
//! Checked in all states within the [`Bounds`]: the two requesters never use the one lease at the same time, and a
//! committed entry never changes.
//!
//! | module | what it holds |
//! | --- | --- |
//! | this | the bounds, which steps are possible, the properties |
//! | `state` | the state of voters and requesters |
//! | `steps` | what a step does to the state |
//!
//! [`Leases`]: driftfront_cluster::consensus::leases::Leases

mod state;
mod steps;

pub use state::{HeldLease, LogEntry, PendingRequest, Requester, State, Voter};
pub use steps::Step;

use state::VOTERS;
use stateright::{Model, Property};

/// The property that the two requesters never use the lease at the same time.
pub const NEVER_BOTH: &str = "never both";
/// The property that a committed entry never changes.
pub const COMMITTED_ONCE: &str = "agreed once";
/// The property that the lease passes from one requester to the other in some run: the model is not empty.
const ONE_AFTER_THE_OTHER: &str = "one after the other";

/// Requests of the first requester: it acquires the lease and releases it. The other lets it expire.
const MAX_REQUESTS_OF_RELEASER: u64 = 2;
const RELEASER: usize = 0;

/// How far the model goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Units of time.
    pub time: u64,
    /// Terms.
    pub terms: u8,
    /// Entries of a log.
    pub entries: usize,
    /// A mistake of the implementation, which the check must find.
    pub mistake: Mistake,
}

/// A mistake that an implementation could make: with it, a lease is used for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// No mistake.
    None,
    /// The holder counts the lease's time from the response, not from its first request.
    CountsFromResponse,
    /// A leader's time starts with its own clock, ahead of what was committed.
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
        if state.can_hold_up(number) {
            steps.push(Step::HoldUp(number));
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

    /// What a voter that is up may do about pending requests.
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
        state.apply(&step, self.mistake)?;
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_BOTH, |_, state: &State| {
                !(state.uses_lease(0) && state.uses_lease(1))
            }),
            Property::always(COMMITTED_ONCE, |_, state: &State| !state.has_diverged),
            Property::sometimes(ONE_AFTER_THE_OTHER, |_, state: &State| {
                let had_lease = state.requesters[0].held.is_some() && !state.uses_lease(0);
                had_lease && state.uses_lease(1)
            }),
        ]
    }
}
