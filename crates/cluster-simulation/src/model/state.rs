//! The model's state: voters with their logs, and requesters with the lease they may hold.

use driftfront_cluster::consensus::leases::{Command, Entry, Leases};

pub(super) const VOTERS: usize = 3;
const REQUESTERS: usize = 2;
const MAJORITY: usize = VOTERS / 2 + 1;

/// An entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogEntry {
    /// The term of the leader that appended it.
    pub term: u8,
    /// The command; `None` for a leader's first entry.
    pub entry: Option<Entry>,
}

/// How complete a log is: a voter votes only for logs that lack nothing of its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LogEnd {
    term: u8,
    length: usize,
}

/// A voter. Its log and term survive a crash.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    pub(super) is_up: bool,
    pub(super) term: u8,
    pub(super) is_leader: bool,
    pub(super) log: Vec<LogEntry>,
    /// Length of the log that is committed, as far as this voter knows.
    pub(super) committed: usize,
    /// As a leader: length of its log that each voter has.
    pub(super) replicated: [usize; VOTERS],
    /// As a leader: the log's time, once it knows all that was committed.
    pub(super) time: Option<u64>,
    /// As a leader: units of time that don't count, as it was held up.
    pub(super) held_up_time: u64,
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
            held_up_time: 0,
        }
    }

    pub(super) fn log_end(&self) -> LogEnd {
        LogEnd {
            term: self.log.last().map_or(0, |last| last.term),
            length: self.log.len(),
        }
    }

    /// No longer leads; a voter that hears of a later term follows that.
    pub(super) fn follow(&mut self, term: u8) {
        self.term = term;
        self.is_leader = false;
        self.time = None;
    }

    /// Whether an entry of its own term is committed: then it knows all that was committed before.
    pub(super) fn knows_all_committed(&self) -> bool {
        let last_committed = self.committed.checked_sub(1).map(|last| &self.log[last]);
        last_committed.is_some_and(|last| last.term == self.term)
    }

    /// The lease table that the committed entries make.
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

/// A lease as its holder knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    pub(super) fence: u64,
    pub(super) until: u64,
}

/// A member that requests the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Requester {
    pub(super) pending: Option<PendingRequest>,
    /// How many requests it has made; the number of the last.
    pub(super) requests: u64,
    pub(super) held: Option<HeldLease>,
}

/// The model's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: u64,
    pub(super) voters: Vec<Voter>,
    pub(super) requesters: Vec<Requester>,
    pub(super) crashes: u8,
    pub(super) cuts: u8,
    /// The voter that is cut off from the others.
    pub(super) cut_off: Option<usize>,
    /// The longest committed log that any voter knew.
    pub(super) committed: Vec<LogEntry>,
    /// Two voters knew different committed entries at the same index.
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

    /// Whether steps with this voter need not be tried, as another voter is the same in all.
    pub(super) fn is_redundant(&self, voter: usize) -> bool {
        let replicated = &self.voters[0].replicated;
        voter == 2
            && self.voters[1] == self.voters[2]
            && replicated[1] == replicated[2]
            && !matches!(self.cut_off, Some(1 | 2))
    }

    /// Whether a leader may turn out to have been held up for a unit of time.
    pub(super) fn can_hold_up(&self, voter: usize) -> bool {
        let voter = &self.voters[voter];
        let is_ahead = |time: u64| time > voter.leases().time();
        voter.is_leader
            && voter.held_up_time == 0
            && self.now > 0
            && voter.time.is_some_and(is_ahead)
    }

    /// Requesters with a pending request, and that request.
    pub(super) fn pending_requesters(&self) -> impl Iterator<Item = (usize, &PendingRequest)> {
        let requesters = self.requesters.iter().enumerate();
        requesters.filter_map(|(number, requester)| Some((number, requester.pending.as_ref()?)))
    }

    /// Whether a requester would use the lease now.
    pub(super) fn uses_lease(&self, requester: usize) -> bool {
        let held = &self.requesters[requester].held;
        held.as_ref().is_some_and(|lease| self.now < lease.until)
    }

    /// As the leader: commits what a majority has.
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

    /// Compares what a voter knows to be committed with what others knew.
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
