//! One member's consensus participant.
//!
//! | module | what it does |
//! | --- | --- |
//! | this | the participant's state and interface |
//! | `incoming` | handles messages from other members |
//! | `timers` | runs periodic work |
//! | `output` | processes the replica's messages, writes and applied entries |

mod incoming;
mod output;
mod timers;

use super::bootstrap::Bootstrap;
use super::fragmentation::Transfers;
use super::leases::Command;
use super::log::{Log, LogError};
use super::messages::{LogPosition, Notice, Outbox};
use super::participation::Participation;
use super::peers::Peers;
use super::proposals::Proposals;
use super::replica::{Replica, Write};
use super::requests::{CompletedRequest, HeldLease, Requests};
use super::state::State;
use super::state_copy::StateCopy;
use super::store;
use super::view::{Counters, GrantedLease, View, VoterStatus};
use super::voter_overview::{all_persistent, OwnMember};
use crate::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Interval at which members without a replica look for a newer state.
const COPY_INTERVAL: Micros = 500_000;
/// A voter that has known no leader for this long checks whether it is still a voter.
const LEADERLESS_TIMEOUT: Micros = 3_000_000;
/// Random low bits of a replica's id; the bits above are the clock's milliseconds.
const RANDOM_ID_BITS: u32 = 20;

/// The start options of a consensus participant.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The names of the voters that bootstrap the log, from the operator's configuration; empty if this member only observes.
    pub initial_voters: Vec<String>,
    /// A voter that is down for this long is replaced.
    pub replace_after: Micros,
    /// This member's zone; empty for none.
    pub zone: String,
    /// The content of the log file in the state folder; `None` without a state folder, so that nothing is persistent.
    pub file: Option<Vec<u8>>,
}

/// One member's consensus participant.
pub struct Consensus {
    name: String,
    options: Options,
    /// The id of its replica, or the id drawn for a future one.
    replica_id: u64,
    /// Whether its log survives a restart of its process.
    is_persistent: bool,
    participation: Participation,
    copy: StateCopy,
    peers: Peers,
    transfers: Transfers,
    outbox: Outbox,
    writes: VecDeque<Write>,
    requests: Requests,
    proposals: Proposals,
    rng: SmallRng,
    /// The host's clock at the last tick.
    clock: Micros,
    next_tick: Micros,
    last_tick: Micros,
    next_copy_request: Micros,
    /// When the last message from another replica arrived.
    last_message_at: Micros,
    leaderless_since: Option<Micros>,
    last_leader: Option<u64>,
    counters: Counters,
}

/// Draws a replica id that is above those of all earlier sessions.
fn draw_replica_id(session: u64, rng: &mut SmallRng) -> u64 {
    let mask = (1 << RANDOM_ID_BITS) - 1;
    (session >> RANDOM_ID_BITS).max(1) << RANDOM_ID_BITS | u64::from(rng.random::<u32>() & mask)
}

impl Consensus {
    /// The participant of a process with this name and session. Also returns an error if the log file can't be used: the file
    /// is left unchanged, and this member only observes.
    pub fn new(
        name: &str,
        session: u64,
        seed: u64,
        mut options: Options,
    ) -> (Consensus, Option<LogError>) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_persistent = options.file.is_some();
        let (log, mut error) = load(options.file.take());
        let is_replaced = log.as_ref().is_some_and(|l| l.identity.is_replaced());
        let replica = log.filter(|_| !is_replaced).and_then(|log| {
            let replica = Replica::open(log, rng.random());
            if replica.is_none() {
                error = Some(LogError::Inconsistent("raft rejects it"));
            }
            replica
        });
        let replica_id = match &replica {
            Some(replica) => replica.id(),
            None => draw_replica_id(session, &mut rng),
        };
        let participation = match replica {
            None if error.is_none() && !is_replaced => {
                let bootstrap = Bootstrap::new(name, replica_id, &options.initial_voters);
                Participation::bootstrapping(bootstrap)
            }
            replica => Participation::replicating(replica),
        };
        let consensus = Consensus {
            name: name.into(),
            options,
            replica_id,
            // An unusable file must not be overwritten.
            is_persistent: is_persistent && error.is_none(),
            participation,
            copy: StateCopy::default(),
            peers: Peers::default(),
            transfers: Transfers::default(),
            outbox: Outbox::default(),
            writes: VecDeque::new(),
            requests: Requests::new(session),
            proposals: Proposals::default(),
            rng,
            clock: 0,
            next_tick: 0,
            last_tick: 0,
            next_copy_request: 0,
            last_message_at: 0,
            leaderless_since: None,
            last_leader: None,
            counters: Counters::default(),
        };
        (consensus, error)
    }

    /// Changes the session of this process.
    pub fn change_session(&mut self, session: u64) {
        self.requests.session = session;
    }

    /// This member's replica, if it has one.
    pub fn replica(&self) -> Option<&Replica> {
        self.participation.replica()
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        Counters {
            rejected: self.counters.rejected + self.outbox.dropped,
            ..self.counters
        }
    }

    /// The id of the log: that of the replica, else of the copied state.
    fn cluster_id(&self) -> u64 {
        self.replica()
            .map_or(self.copy.position.cluster_id, Replica::cluster_id)
    }

    /// The newest state that this member knows: the replica's, or a newer copy.
    fn state(&self) -> &State {
        let Some(replica) = self.replica() else {
            return &self.copy.state;
        };
        let own = position_of(replica);
        let is_newer = own.index > 0 && own >= self.copy.position;
        if is_newer || own.cluster_id != self.copy.position.cluster_id {
            replica.state()
        } else {
            &self.copy.state
        }
    }

    /// The position of the newest state that this member announces.
    fn known_position(&self) -> LogPosition {
        match self.replica().map(position_of) {
            Some(own) if own.index > 0 => own,
            _ => self.copy.position,
        }
    }

    fn own_member(&self) -> OwnMember<'_> {
        OwnMember {
            name: &self.name,
            zone: &self.options.zone,
            replica_id: self.replica_id,
            is_persistent: self.is_persistent,
        }
    }

    /// Whether the logs of all voters are persistent.
    fn all_persistent(&self) -> bool {
        all_persistent(&self.own_member(), self.state(), &self.peers)
    }

    fn name_of_replica(&self, id: u64) -> Option<&String> {
        let own = self.replica().and_then(|r| r.state().voters.get(&id));
        own.or_else(|| self.copy.state.voters.get(&id))
    }

    /// The leader according to this member's own replica. A learner never starts an election and would keep its last leader
    /// indefinitely, so its leader counts only while messages arrive.
    fn own_leader(&self) -> Option<u64> {
        let replica = self.replica()?;
        let has_recent_message = || self.last_tick < self.last_message_at + LEADERLESS_TIMEOUT;
        replica
            .leader()
            .filter(|_| replica.is_voter() || has_recent_message())
    }

    /// The leader's name, if known: according to this member's replica, else to the announcements of reachable voters.
    pub fn leader(&self) -> Option<String> {
        let name = match self.own_leader() {
            Some(id) => self.name_of_replica(id),
            None => self.peers.leader_of(self.cluster_id()),
        };
        name.cloned()
    }

    /// The notice that this member publishes about its participation.
    pub fn notice(&self) -> Notice {
        let replica = self.replica();
        let leader = self.own_leader().and_then(|id| self.name_of_replica(id));
        Notice {
            replica_id: self.replica_id,
            cluster_id: replica.map_or(0, Replica::cluster_id),
            promised: self
                .participation
                .bootstrap()
                .map_or(0, Bootstrap::promised),
            known: self.known_position(),
            term: replica.map_or(0, Replica::term),
            leader: leader.cloned().unwrap_or_default(),
            is_voter: replica.is_some_and(|r| r.is_voter() && !r.has_failed()),
            is_persistent: self.is_persistent,
            is_unfit: replica.is_some_and(|r| !r.is_working()),
        }
    }

    /// The current state, for operators.
    pub fn view(&self) -> View {
        let state = self.state();
        let voter_ids = self
            .replica()
            .filter(|r| r.is_voter())
            .map(Replica::voter_ids);
        let is_voter = |id: &u64| voter_ids.as_ref().is_none_or(|ids| ids.contains(id));
        let is_reachable = |name: &String| *name == self.name || self.peers.is_reachable(name);
        let voters = state.voters.iter().filter(|(id, _)| is_voter(id));
        let missing = self
            .participation
            .bootstrap()
            .map(|bootstrap| bootstrap.missing(|name| self.peers.announcement(name)));
        View {
            role: self.participation.role(),
            cluster_id: self.known_position().cluster_id,
            leader: self.leader(),
            term: self.replica().map_or(0, Replica::term),
            index: self.known_position().index,
            voters: voters
                .map(|(_, name)| VoterStatus {
                    name: name.clone(),
                    is_reachable: is_reachable(name),
                })
                .collect(),
            missing: missing.unwrap_or_default(),
            leases: state
                .leases
                .all()
                .map(|granted| GrantedLease {
                    fence: granted.fence,
                    lease: granted.lease.clone(),
                    time_left: granted.time_left,
                })
                .collect(),
        }
    }

    /// The next message to send, and its receiver.
    pub fn next_outgoing(&mut self) -> Option<(String, Vec<u8>)> {
        self.outbox.pop()
    }

    /// The next pending write, if there is one.
    pub fn next_write(&mut self) -> Option<Write> {
        self.writes.pop_front()
    }

    /// Confirms that this write and all earlier ones are persistent.
    pub fn confirm_write(&mut self, now: Micros, number: u64) {
        if let Some(replica) = self.participation.replica_mut() {
            replica.confirm_write(number);
        }
        self.handle_replica_output(now);
    }

    /// Submits a command; returns the request's number, under which [`Consensus::next_outcome`] reports within `timeout`.
    pub fn submit(&mut self, clock: Micros, command: Command, timeout: Micros) -> u64 {
        self.requests
            .submit(clock, command, timeout, &mut self.counters)
    }

    /// The next completed request, if there is one.
    pub fn next_outcome(&mut self) -> Option<CompletedRequest> {
        self.requests.next_reported()
    }

    /// Whether this member holds a lease at `clock` of the host's clock. Must be checked at each use of the lease.
    pub fn holds(&self, fence: u64, clock: Micros) -> bool {
        // If the clock was set back, it is unknown whether the lease has ended.
        clock >= self.clock && self.requests.holds(fence, clock)
    }

    /// All leases that this member holds, by fencing number.
    pub fn held(&self) -> &BTreeMap<u64, HeldLease> {
        self.requests.held()
    }

    /// Releases a lease. It counts as not held from now on, even before the release is committed.
    pub fn release(&mut self, fence: u64) {
        self.requests.release(fence, &mut self.counters);
    }
}

fn position_of(replica: &Replica) -> LogPosition {
    LogPosition {
        cluster_id: replica.cluster_id(),
        index: replica.applied_index(),
    }
}

/// Reads a log file: its log, if it has one, or why it can't be used.
fn load(file: Option<Vec<u8>>) -> (Option<Log>, Option<LogError>) {
    match file.map(|bytes| store::read(&bytes)) {
        None => (None, None),
        Some(Ok(loaded)) => (loaded.log, None),
        Some(Err(error)) => (None, Some(error)),
    }
}
