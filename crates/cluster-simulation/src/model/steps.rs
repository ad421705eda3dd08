//! The steps of the model and their effects.

use super::state::{HeldLease, LogEntry, PendingRequest, State, VOTERS};
use super::Defect;
use driftfront_cluster::consensus::leases::{Command, Entry, Outcome, RequestId};

/// Duration of the lease, in units of time.
const LEASE_DURATION: u64 = 2;
/// Session number of all requesters, none of which restarts.
const SESSION: u64 = 1;

/// A step, with voters and requesters given by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time advances by a unit, including that of leaders.
    Tick,
    /// A leader was stalled, so a unit of its time does not count.
    Stall(usize),
    /// A voter crashes.
    Crash(usize),
    /// A crashed voter restarts.
    Start(usize),
    /// A voter is partitioned from the others.
    Cut(usize),
    /// The partition ends.
    Heal,
    /// A voter requests votes from all voters that it can reach.
    Elect(usize),
    /// A leader sends its log to a follower.
    Replicate {
        /// The leader.
        leader: usize,
        /// The follower.
        follower: usize,
    },
    /// A requester requests the lease.
    Request(usize),
    /// A leader receives a request and appends it to its log.
    Propose {
        /// The leader.
        leader: usize,
        /// The requester.
        requester: usize,
    },
    /// A voter sends the outcome of a request to its requester.
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
    /// Applies a step. Returns `None` if it is not possible.
    pub(super) fn apply(&mut self, step: &Step, defect: Defect) -> Option<()> {
        match *step {
            Step::Tick => self.tick(),
            Step::Stall(leader) => self.stall(leader),
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
            Step::Propose { leader, requester } => self.propose(leader, requester, defect)?,
            Step::Respond { voter, requester } => self.respond(voter, requester, defect)?,
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

    fn stall(&mut self, leader: usize) {
        let voter = &mut self.voters[leader];
        voter.time = voter.time.map(|time| time - 1);
        voter.stalled_time = 1;
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
        // A lost election only changes terms. The next one that is won does so anyway.
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
        leader.stalled_time = 0;
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
        // Within a term, a leader never sends a shorter log than before.
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

    fn propose(&mut self, leader: usize, requester: usize, defect: Defect) -> Option<()> {
        let owner = requester.to_string();
        let request = self.requesters[requester].requests;
        let command = self.requesters[requester].pending.as_ref()?.command.clone();
        let voter = &mut self.voters[leader];
        // A leader appends a request only once. A later leader may append it again.
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
        let time = match defect {
            Defect::UsesOwnClock => last_time + self.now,
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

    fn respond(&mut self, voter: usize, requester: usize, defect: Defect) -> Option<()> {
        let id = RequestId {
            session: SESSION,
            number: self.requesters[requester].requests,
        };
        let leases = self.voters[voter].leases();
        let outcome = leases.outcome(&requester.to_string(), id)?;
        let requester = &mut self.requesters[requester];
        let first_sent_at = requester.pending.take()?.first_sent_at;
        let counted_from = match defect {
            Defect::CountsFromResponse => self.now,
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
