//! The state of the model: voters with their logs, and requesters with the lease they may hold.

use driftfront_cluster::consensus::leases::{Command, Entry, Leases};

pub(super) const VOTERS: usize = 3;
const REQUESTERS: usize = 2;
const MAJORITY: usize = VOTERS / 2 + 1;

/// An entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogEntry {
    /// The term of the leader that appended it.
    pub term: u8,
    /// The command; `None` for the first entry of a leader.
    pub entry: Option<Entry>,
}

/// The end of a log. A voter votes only for candidates whose log is at least as complete as its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LogEnd {
    term: u8,
    length: usize,
}

/// A voter. Its log and term are persistent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    pub(super) is_up: bool,
    pub(super) term: u8,
    pub(super) is_leader: bool,
    pub(super) log: Vec<LogEntry>,
    /// Length of the committed prefix of the log, as known to this voter.
    pub(super) committed: usize,
    /// As a leader: the length of the log replicated to each voter.
    pub(super) replicated: [usize; VOTERS],
    /// As a leader: the log's time, once the leader knows all committed entries.
    pub(super) time: Option<u64>,
    /// As a leader: units of time that don't count because it was stalled.
    pub(super) stalled_time: u64,
}

impl Voter {
    fn initial(is_leader: bool) -> Voter {
        let first_entry = LogEntry {
            term: 1,
            entry: None,
        };
        Voter {
            is_up: true,
            term: 1,
            is_leader,
            log: vec![first_entry],
            committed: 1,
            replicated: if is_leader { [1; VOTERS] } else { [0; VOTERS] },
            time: is_leader.then_some(0),
            stalled_time: 0,
        }
    }

    pub(super) fn log_end(&self) -> LogEnd {
        LogEnd {
            term: self.log.last().map_or(0, |last| last.term),
            length: self.log.len(),
        }
    }

    /// Becomes a follower in this term.
    pub(super) fn follow(&mut self, term: u8) {
        self.term = term;
        self.is_leader = false;
        self.time = None;
    }

    /// Returns whether an entry of the voter's own term is committed, in which case it knows all entries committed before.
    pub(super) fn knows_all_committed(&self) -> bool {
        let last_committed = self.committed.checked_sub(1).map(|last| &self.log[last]);
        last_committed.is_some_and(|last| last.term == self.term)
    }

    /// Returns the lease table that results from the committed entries.
    pub(super) fn leases(&self) -> Leases {
        let mut leases = Leases::default();
        for (index, logged) in (1..).zip(&self.log[..self.committed]) {
            if let Some(entry) = &logged.entry {
                leases.apply(index, entry.clone());
            }
        }
        leases
    }
}

/// A request without a response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingRequest {
    pub(super) first_sent_at: u64,
    pub(super) command: Command,
}

/// A lease as seen by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    pub(super) fence: u64,
    pub(super) until: u64,
}

/// A member that requests the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Requester {
    pub(super) pending: Option<PendingRequest>,
    /// Number of requests made so far, which is also the number of the last one.
    pub(super) requests: u64,
    pub(super) held: Option<HeldLease>,
}

/// The state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: u64,
    pub(super) voters: Vec<Voter>,
    pub(super) requesters: Vec<Requester>,
    pub(super) crashes: u8,
    pub(super) cuts: u8,
    /// The voter that is partitioned from the others.
    pub(super) cut_off: Option<usize>,
    /// The longest committed prefix known to any voter so far.
    pub(super) committed: Vec<LogEntry>,
    /// Whether two voters knew different committed entries at the same index.
    pub(super) has_diverged: bool,
}

impl State {
    pub(super) fn initial() -> State {
        let requester = Requester {
            pending: None,
            requests: 0,
            held: None,
        };
        State {
            now: 0,
            voters: (0..VOTERS)
                .map(|number| Voter::initial(number == 0))
                .collect(),
            requesters: vec![requester; REQUESTERS],
            crashes: 0,
            cuts: 0,
            cut_off: None,
            committed: Vec::new(),
            has_diverged: false,
        }
    }

    pub(super) fn can_reach(&self, one: usize, other: usize) -> bool {
        let is_connected = |voter: usize| self.voters[voter].is_up && self.cut_off != Some(voter);
        is_connected(one) && is_connected(other)
    }

    /// Returns whether steps of this voter can be skipped because another voter is in the same state (symmetry reduction).
    pub(super) fn is_redundant(&self, voter: usize) -> bool {
        let replicated = &self.voters[0].replicated;
        voter == 2
            && self.voters[1] == self.voters[2]
            && replicated[1] == replicated[2]
            && !matches!(self.cut_off, Some(1 | 2))
    }

    /// Returns whether a leader may have been stalled for a unit of time.
    pub(super) fn can_stall(&self, voter: usize) -> bool {
        let voter = &self.voters[voter];
        let is_ahead = |time: u64| time > voter.leases().time();
        voter.is_leader
            && voter.stalled_time == 0
            && self.now > 0
            && voter.time.is_some_and(is_ahead)
    }

    /// Returns the requesters that have a pending request, with that request.
    pub(super) fn pending_requesters(&self) -> impl Iterator<Item = (usize, &PendingRequest)> {
        let requesters = self.requesters.iter().enumerate();
        requesters.filter_map(|(number, requester)| Some((number, requester.pending.as_ref()?)))
    }

    /// Returns whether a requester may use the lease now.
    pub(super) fn uses_lease(&self, requester: usize) -> bool {
        let held = &self.requesters[requester].held;
        held.as_ref().is_some_and(|lease| self.now < lease.until)
    }

    /// Commits the entries that a majority of voters has.
    pub(super) fn commit(&mut self, leader: usize) {
        let voter = &mut self.voters[leader];
        let can_commit = |length: &usize| {
            let copies = voter.replicated.iter().filter(|&&has| has >= *length);
            voter.log[length - 1].term == voter.term && copies.count() >= MAJORITY
        };
        let longest = (voter.committed + 1..=voter.log.len())
            .rev()
            .find(can_commit);
        if let Some(length) = longest {
            voter.committed = length;
            if voter.time.is_none() {
                voter.time = Some(voter.leases().time());
            }
        }
        self.compare_committed(leader);
    }

    /// Compares the committed entries known to a voter with those known to others.
    pub(super) fn compare_committed(&mut self, voter: usize) {
        let voter = &self.voters[voter];
        let known = &voter.log[..voter.committed];
        let common = known.len().min(self.committed.len());
        self.has_diverged |= known[..common] != self.committed[..common];
        if known.len() > self.committed.len() {
            self.committed = known.to_vec();
        }
    }
}
