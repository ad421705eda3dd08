//! One replica of the log: `raft` and the replicated state.
//!
//! `raft` (the implementation from TiKV) elects the leader and commits entries. It does no I/O, and neither does this module:
//! messages and writes are returned to the caller, which confirms writes. `raft` panics if its invariants are violated, by a
//! disk that lost confirmed writes or by a malicious peer that holds the key. Such a panic terminates this replica only; its
//! process can be admitted again under another id, like one that lost its log.
//!
//! | module | what it does |
//! | --- | --- |
//! | this | the replica's state and interface |
//! | `config` | the `raft` configuration |
//! | `conf_change` | encoding of voter changes |
//! | `ready` | processes the output of `raft`: writes, messages, committed entries, snapshots |

mod conf_change;
mod config;
mod ready;

use super::leases::{Command, Entry as LeaseEntry, Outcome, RequestId};
use super::log::{Log, SharedLog};
use super::log_identity::LogIdentity;
use super::reconfiguration::VoterChange;
use super::state::State;
use super::store::encode_protobuf;
use crate::Micros;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::{ProgressState, RawNode, StateRole};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Terms and indexes above this are rejected: no valid log reaches them, and a forged one would exhaust the range.
const MAX_TERM_OR_INDEX: u64 = 1 << 40;
/// `raft`'s tick.
pub const TICK: Micros = 100_000;
/// Most entries by which a learner may lag and still become a voter.
const MAX_LEARNER_LAG_ENTRIES: u64 = 8;
/// If a leader's clock advances by more than this between two observations, its process was stalled or the clock jumped. The
/// two can't be distinguished, so the step is ignored: log time may stand still, but must never run ahead of a lease holder's
/// clock.
const MAX_CLOCK_STEP: Micros = 250_000;

/// A write that must be persistent before the messages that depend on it are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The number for [`Replica::confirm_write`].
    pub number: u64,
    /// Whether the bytes replace the whole file; otherwise they are appended.
    pub replaces_file: bool,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// An applied entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The member that requested it.
    pub owner: String,
    /// The id of the request.
    pub request: RequestId,
    /// Its outcome.
    pub outcome: Outcome,
}

/// The progress of a learner, by the entries that it acknowledged to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnerProgress {
    /// Its replica's id.
    pub id: u64,
    /// Whether it has all but the latest entries.
    pub is_caught_up: bool,
}

/// Messages that wait until a write is confirmed.
struct WaitingMessages {
    /// The number of the `raft` ready that the messages belong to.
    ready_number: u64,
    write_number: u64,
    messages: Vec<Message>,
}

/// The log time while this replica is the leader.
#[derive(Clone, Copy)]
struct LeaderClock {
    /// The host's clock at the last observation.
    host_clock: Micros,
    log_time: Micros,
}

/// One replica.
pub struct Replica {
    raft: RawNode<SharedLog>,
    log: SharedLog,
    state: State,
    applied_index: u64,
    rng: SmallRng,
    /// The term and role for which the election timeout was drawn.
    timeout_drawn_for: (u64, StateRole),
    ticks: u64,
    leader_clock: Option<LeaderClock>,
    writes: VecDeque<Write>,
    last_write: u64,
    waiting: VecDeque<WaitingMessages>,
    outgoing: VecDeque<Message>,
    applied: VecDeque<Applied>,
    /// The tick at which a snapshot was sent to each replica.
    snapshots_sent: BTreeMap<u64, u64>,
    has_failed: bool,
    is_outdated: bool,
}

impl Replica {
    /// Starts a replica of a newly bootstrapped log. `None` if `raft` rejects the log.
    pub fn bootstrap(identity: LogIdentity, seed: u64) -> Option<Replica> {
        let snapshot = identity.first_snapshot();
        let mut log = Log::new(identity);
        log.install_snapshot(snapshot);
        let mut replica = Replica::open(log, seed)?;
        replica.write_file();
        Some(replica)
    }

    /// Starts an empty replica that was admitted to an existing log; the leader sends the content.
    pub fn join(identity: LogIdentity, seed: u64) -> Option<Replica> {
        let mut replica = Replica::open(Log::new(identity), seed)?;
        replica.write_file();
        Some(replica)
    }

    /// Starts a replica with the log of its file. `None` if `raft` rejects the log.
    pub fn open(log: Log, seed: u64) -> Option<Replica> {
        let applied_index = log.snapshot_index();
        let state = match applied_index {
            0 => Some(State::default()),
            _ => State::decode(log.snapshot().get_data()),
        };
        let (is_outdated, state) = (state.is_none(), state.unwrap_or_default());
        let id = log.identity.replica_id;
        let log = SharedLog::new(log);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let created = catch_unwind(AssertUnwindSafe(|| {
            RawNode::new(
                &config::raft_config(id, applied_index),
                log.clone(),
                &logger,
            )
        }));
        let raft = created.ok()?.ok()?;
        Some(Replica {
            raft,
            log,
            state,
            applied_index,
            rng: SmallRng::seed_from_u64(seed),
            timeout_drawn_for: (u64::MAX, StateRole::Follower),
            ticks: 0,
            leader_clock: None,
            writes: VecDeque::new(),
            last_write: 0,
            waiting: VecDeque::new(),
            outgoing: VecDeque::new(),
            applied: VecDeque::new(),
            snapshots_sent: BTreeMap::new(),
            has_failed: false,
            is_outdated,
        })
    }

    /// The id of the log.
    pub fn cluster_id(&self) -> u64 {
        self.log.0.borrow().identity.cluster_id
    }

    /// This replica's id in the log.
    pub fn id(&self) -> u64 {
        self.raft.raft.id
    }

    /// The state after the last applied entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The leader's replica id, if known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|&id| id != 0 && !self.has_failed)
    }

    /// Whether it is the leader and has applied all that earlier leaders committed: its last applied entry is of its own term.
    pub fn leads(&self) -> bool {
        let raft = &self.raft.raft;
        let has_applied_own_term = || {
            let term = self.log.0.borrow().term_at(self.applied_index);
            term.is_ok_and(|t| t == raft.term)
        };
        self.is_working() && raft.state == StateRole::Leader && has_applied_own_term()
    }

    /// Whether it is a voter, rather than a learner.
    pub fn is_voter(&self) -> bool {
        self.raft.raft.promotable()
    }

    /// Whether an invariant was violated, so that the replica does nothing any more.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether it found an entry or snapshot of a later build: it applies nothing after it, and never leads.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// Whether it can continue: it has not failed, and has found no data of a later build.
    pub fn is_working(&self) -> bool {
        !self.has_failed && !self.is_outdated
    }

    /// The replica ids of all voters; during a replacement, those of the old and the new set.
    pub fn voter_ids(&self) -> Vec<u64> {
        let voters = self.raft.raft.prs().conf().voters();
        voters.ids().iter().collect()
    }

    /// The learner's progress as known to the leader.
    pub fn learner(&self) -> Option<LearnerProgress> {
        let raft = &self.raft.raft;
        let id = *raft.prs().conf().learners().iter().min()?;
        let progress = raft.prs().get(id)?;
        // The matched index is the measure: after a snapshot, probe state lasts until the next entry, which may take long.
        let has_entries = progress.matched > 0 && progress.state != ProgressState::Snapshot;
        let is_within_lag = progress.matched + MAX_LEARNER_LAG_ENTRIES >= raft.raft_log.committed;
        Some(LearnerProgress {
            id,
            is_caught_up: has_entries && is_within_lag,
        })
    }

    /// Runs `work` on `raft` and processes its output; a panic terminates this replica only.
    fn guard<T>(&mut self, work: impl FnOnce(&mut Replica) -> T) -> Option<T> {
        if self.has_failed {
            return None;
        }
        let done = catch_unwind(AssertUnwindSafe(|| {
            let done = work(self);
            self.process_ready();
            done
        }));
        if done.is_err() {
            self.has_failed = true;
            self.outgoing.clear();
            self.waiting.clear();
        }
        done.ok()
    }

    /// Advances `raft`'s time by one [`TICK`].
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.is_outdated {
            // Without ticks it still votes and stores entries, but never becomes the leader.
            return;
        }
        self.guard(|r| {
            r.raft.tick();
            r.resend_late_snapshots();
        });
    }

    /// Records the host's clock, which advances log time while this replica is the leader.
    pub fn observe_clock(&mut self, clock: Micros) {
        if !self.leads() {
            self.leader_clock = None;
            return;
        }
        let last = self.leader_clock.unwrap_or(LeaderClock {
            host_clock: clock,
            log_time: self.state.leases.time(),
        });
        let step = clock.saturating_sub(last.host_clock);
        let elapsed = if step <= MAX_CLOCK_STEP { step } else { 0 };
        self.leader_clock = Some(LeaderClock {
            host_clock: clock,
            log_time: last.log_time + elapsed,
        });
    }

    /// The log time, while this replica is the leader.
    fn log_time(&self) -> Option<Micros> {
        let clock = self.leader_clock?;
        Some(clock.log_time.max(self.state.leases.time()))
    }

    /// Handles another replica's message. Messages for other replicas, and messages that no valid replica sends, are ignored.
    pub fn handle_message(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return;
        };
        let is_for_us = message.to == self.id() && message.from != self.id();
        if is_for_us && is_acceptable(&message) {
            self.guard(|r| r.raft.step(message).is_ok());
        }
    }

    /// Proposes a command as the leader; false if this replica is not the leader, or too much is uncommitted.
    pub fn propose(&mut self, owner: &str, request: RequestId, command: Command) -> bool {
        let Some(time) = self.log_time().filter(|_| self.leads()) else {
            return false;
        };
        let entry = LeaseEntry {
            time,
            owner: owner.into(),
            session: request.session,
            request: request.number,
            command,
        };
        let Ok(bytes) = postcard::to_stdvec(&entry) else {
            return false;
        };
        self.guard(|r| r.raft.propose(Vec::new(), bytes).is_ok())
            .unwrap_or(false)
    }

    /// Proposes a change of voters, if this replica is the leader and no other change is in progress; returns whether it did.
    pub fn propose_change(&mut self, change: &VoterChange) -> bool {
        let raft = &self.raft.raft;
        let is_joint = || !raft.prs().conf().to_conf_state().voters_outgoing.is_empty();
        if !self.leads() || raft.has_pending_conf() || is_joint() {
            return false;
        }
        let change = conf_change::encode(change);
        self.guard(|r| r.raft.propose_conf_change(Vec::new(), change).is_ok())
            .unwrap_or(false)
    }

    /// The next message to another replica: the replica's id, and the bytes.
    pub fn next_outgoing(&mut self) -> Option<(u64, Vec<u8>)> {
        let message = self.outgoing.pop_front()?;
        if message.get_msg_type() == MessageType::MsgSnapshot {
            self.snapshots_sent.insert(message.to, self.ticks);
        }
        Some((message.to, encode_protobuf(&message)))
    }

    /// The next pending write.
    pub fn next_write(&mut self) -> Option<Write> {
        self.writes.pop_front()
    }

    /// All entries applied since the last call.
    pub fn take_applied(&mut self) -> Vec<Applied> {
        self.applied.drain(..).collect()
    }

    /// Confirms that this write and all earlier ones are persistent.
    pub fn confirm_write(&mut self, number: u64) {
        self.guard(|r| {
            while r.waiting.front().is_some_and(|w| w.write_number <= number) {
                let Some(waiting) = r.waiting.pop_front() else {
                    break;
                };
                r.handle_persisted(waiting.ready_number, waiting.messages);
            }
        });
    }
}

/// Returns false for messages that `raft` would accept from anyone although only a member of the log may send them, for
/// numbers out of range, and for snapshots of a later build.
fn is_acceptable(message: &Message) -> bool {
    let numbers = [
        message.term,
        message.log_term,
        message.index,
        message.commit,
        message.commit_term,
    ];
    if numbers.iter().any(|&n| n > MAX_TERM_OR_INDEX) {
        return false;
    }
    match message.get_msg_type() {
        MessageType::MsgSnapshot => State::decode(message.get_snapshot().get_data()).is_some(),
        MessageType::MsgPropose | MessageType::MsgReadIndex | MessageType::MsgTransferLeader => {
            false
        }
        _ => true,
    }
}
