//! The model's steps, and what each does to the state.

use super::state::{HeldLease, LogEntry, PendingRequest, State, VOTERS};
use super::Mistake;
use driftfront_cluster::consensus::leases::{Command, Entry, Outcome, RequestId};

/// The lease's duration in units of time.
const LEASE_DURATION: u64 = 2;
/// All requesters have one process.
const SESSION: u64 = 1;

/// A step. Voters and requesters are numbered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time goes on by a unit, and with it that of leaders.
    Tick,
    /// A leader was held up meanwhile: a unit of its time does not count.
    HoldUp(usize),
    /// A voter crashes.
    Crash(usize),
    /// A voter starts again.
    Start(usize),
    /// A voter is cut off from the others.
    Cut(usize),
    /// Nobody is cut off any more.
    Heal,
    /// A voter asks all voters that it reaches for their votes.
    Elect(usize),
    /// A leader sends a follower its log.
    Replicate {
        /// The leader.
        leader: usize,
        /// The follower.
        follower: usize,
    },
    /// A requester requests the lease.
    Request(usize),
    /// A request reaches a leader, which appends it to its log.
    Propose {
        /// The leader.
        leader: usize,
        /// The requester.
        requester: usize,
    },
    /// A voter sends a requester the outcome of its request.
    Respond {
        /// The voter.
        voter: usize,
        /// The requester.
        requester: usize,
    },
    /// A requester releases the lease.
    Release(usize),
}

impl State {
    /// Does a step; `None` where it is not possible.
    pub(super) fn apply(&mut self, step: &Step, mistake: Mistake) -> Option<()> {
        match *step {
            Step::Tick => self.tick(),
            Step::HoldUp(leader) => self.hold_up(leader),
            Step::Crash(voter) => self.crash(voter),
            Step::Start(voter) => self.voters[voter].is_up = true,
            Step::Cut(voter) => {
                self.cut_off = Some(voter);
                self.cuts += 1;
            }
            Step::Heal => self.cut_off = None,
            Step::Elect(candidate) => self.elect(candidate)?,
            Step::Replicate { leader, follower } => self.replicate(leader, follower),
            Step::Request(requester) => self.request(requester),
            Step::Propose { leader, requester } => self.propose(leader, requester, mistake)?,
            Step::Respond { voter, requester } => self.respond(voter, requester, mistake)?,
            Step::Release(requester) => self.release(requester)?,
        }
        Some(())
    }

    fn tick(&mut self) {
        self.now += 1;
        for leader in self.voters.iter_mut().filter(|voter| voter.is_leader) {
            leader.time = leader.time.map(|time| time + 1);
        }
    }

    fn hold_up(&mut self, leader: usize) {
        let voter = &mut self.voters[leader];
        voter.time = voter.time.map(|time| time - 1);
        voter.held_up_time = 1;
    }

    fn crash(&mut self, voter: usize) {
        let voter = &mut self.voters[voter];
        voter.is_up = false;
        voter.is_leader = false;
        voter.time = None;
        self.crashes += 1;
    }

    fn elect(&mut self, candidate: usize) -> Option<()> {
        let term = self.voters[candidate].term + 1;
        let own_end = self.voters[candidate].log_end();
        let votes = |other: &usize| {
            let voter = &self.voters[*other];
            *other != candidate
                && self.can_reach(candidate, *other)
                && voter.term < term
                && voter.log_end() <= own_end
        };
        let supporters: Vec<usize> = (0..VOTERS).filter(votes).collect();
        // A lost election changes only terms, and so does the next one that is won.
        if supporters.len() < VOTERS / 2 {
            return None;
        }
        for supporter in supporters {
            self.voters[supporter].follow(term);
        }
        let leader = &mut self.voters[candidate];
        leader.term = term;
        leader.is_leader = true;
        leader.time = None;
        leader.held_up_time = 0;
        leader.log.push(LogEntry { term, entry: None });
        leader.replicated = [0; VOTERS];
        leader.replicated[candidate] = leader.log.len();
        Some(())
    }

    fn replicate(&mut self, leader: usize, follower: usize) {
        let sender = self.voters[leader].clone();
        let receiver = &mut self.voters[follower];
        if receiver.term > sender.term {
            let term = receiver.term;
            self.voters[leader].follow(term);
            return;
        }
        receiver.follow(sender.term);
        // Within its term a leader never sends less than before.
        receiver.log.clone_from(&sender.log);
        receiver.committed = receiver.committed.max(sender.committed);
        self.compare_committed(follower);
        self.voters[leader].replicated[follower] = sender.log.len();
        self.commit(leader);
    }

    fn request(&mut self, requester: usize) {
        let command = Command::Acquire {
            resource: "p".into(),
            amount: 1,
            limit: 1,
            duration: LEASE_DURATION,
            stays: false,
            note: String::new(),
        };
        self.submit(requester, command);
    }

    fn release(&mut self, requester: usize) -> Option<()> {
        let fence = self.requesters[requester].held.take()?.fence;
        self.submit(requester, Command::Release { fence });
        Some(())
    }

    fn submit(&mut self, requester: usize, command: Command) {
        let requester = &mut self.requesters[requester];
        requester.requests += 1;
        requester.pending = Some(PendingRequest {
            first_sent_at: self.now,
            command,
        });
    }

    fn propose(&mut self, leader: usize, requester: usize, mistake: Mistake) -> Option<()> {
        let owner = requester.to_string();
        let request = self.requesters[requester].requests;
        let command = self.requesters[requester].pending.as_ref()?.command.clone();
        let voter = &mut self.voters[leader];
        // A leader appends a request only once; the next leader may append it again.
        let is_same = |entry: &Entry| entry.owner == owner && entry.request == request;
        let is_appended = voter
            .log
            .iter()
            .any(|logged| logged.term == voter.term && logged.entry.as_ref().is_some_and(is_same));
        if !voter.knows_all_committed() || is_appended {
            return None;
        }
        let entries = voter.log.iter().filter_map(|logged| logged.entry.as_ref());
        let last_time = entries.map(|entry| entry.time).max().unwrap_or(0);
        let time = match mistake {
            Mistake::UsesOwnClock => last_time + self.now,
            _ => voter.time.unwrap_or(last_time).max(last_time),
        };
        let entry = Entry {
            time,
            owner,
            session: SESSION,
            request,
            command,
        };
        voter.log.push(LogEntry {
            term: voter.term,
            entry: Some(entry),
        });
        voter.replicated[leader] = voter.log.len();
        Some(())
    }

    fn respond(&mut self, voter: usize, requester: usize, mistake: Mistake) -> Option<()> {
        let id = RequestId {
            session: SESSION,
            number: self.requesters[requester].requests,
        };
        let leases = self.voters[voter].leases();
        let outcome = leases.outcome(&requester.to_string(), id)?;
        let requester = &mut self.requesters[requester];
        let first_sent_at = requester.pending.take()?.first_sent_at;
        let counted_from = match mistake {
            Mistake::CountsFromResponse => self.now,
            _ => first_sent_at,
        };
        if let Outcome::Granted { fence } = *outcome {
            requester.held = Some(HeldLease {
                fence,
                until: counted_from + LEASE_DURATION,
            });
        }
        Some(())
    }
}
