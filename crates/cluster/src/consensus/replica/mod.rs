//! One replica of the log: `raft` and the state that its entries make.
//!
//! `raft` (the engine of TiKV) decides who leads and what is committed; it does no I/O, so that this does none either: what
//! is to be sent and written is handed out, and what was written is confirmed. It panics where its invariants are broken: by a
//! disk that lost what it confirmed, or a peer that has the key and lies. Such a panic ends this replica alone; its process
//! requests to be admitted again under another id, as one that lost its log.
//!
//! | module | what it does |
//! | --- | --- |
//! | this | the replica's state and interface |
//! | `config` | how `raft` is set up |
//! | `conf_change` | changes of voters, as `raft` has them |
//! | `ready` | does what `raft` has ready: writes, messages, entries to apply, snapshots |

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

/// Terms and indexes above this are refused: no honest log comes to them, and one that was led there could not count on.
const MAX_TERM_OR_INDEX: u64 = 1 << 40;
/// `raft`'s tick.
pub const TICK: Micros = 100_000;
/// Entries by which a learner may be behind and still become a voter.
const MAX_LEARNER_LAG_ENTRIES: u64 = 8;
/// Where a leader's clock shows more than this between two looks its process was held up, or the clock jumped: nobody can
/// tell, so that none of it counts. The log's time may stand still, but must never be ahead of a lease holder's.
const MAX_CLOCK_STEP: Micros = 250_000;

/// What is to be written before what waits for it may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Confirmed by [`Replica::confirm_write`].
    pub number: u64,
    /// The complete file; else bytes to be appended.
    pub replaces_file: bool,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// An entry that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The member that requested it.
    pub owner: String,
    /// Which of its requests.
    pub request: RequestId,
    /// Its outcome.
    pub outcome: Outcome,
}

/// A learner that may become a voter, by what it confirmed to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnerProgress {
    /// Its replica's id.
    pub id: u64,
    /// Whether it has all but the latest entries.
    pub is_caught_up: bool,
}

/// Messages that wait until a write is confirmed.
struct WaitingMessages {
    /// The number of `raft`'s own for what it had ready.
    ready_number: u64,
    write_number: u64,
    messages: Vec<Message>,
}

/// The log's time while this replica leads.
#[derive(Clone, Copy)]
struct LeaderClock {
    /// What the host's clock showed at the last look.
    seen: Micros,
    log_time: Micros,
}

/// One replica.
pub struct Replica {
    raft: RawNode<SharedLog>,
    log: SharedLog,
    state: State,
    applied_index: u64,
    rng: SmallRng,
    /// Term and role for which the election timeout was drawn.
    timeout_drawn_for: (u64, StateRole),
    ticks: u64,
    leader_clock: Option<LeaderClock>,
    writes: VecDeque<Write>,
    last_write: u64,
    waiting: VecDeque<WaitingMessages>,
    outgoing: VecDeque<Message>,
    applied: VecDeque<Applied>,
    /// Snapshots on their way, by replica, and since which tick.
    snapshots_sent: BTreeMap<u64, u64>,
    has_failed: bool,
    is_outdated: bool,
}

impl Replica {
    /// Starts a replica of a log that was just bootstrapped. `None` where `raft` refuses the log.
    pub fn bootstrap(identity: LogIdentity, seed: u64) -> Option<Replica> {
        let snapshot = identity.first_snapshot();
        let mut log = Log::new(identity);
        log.install_snapshot(snapshot);
        let mut replica = Replica::open(log, seed)?;
        replica.write_file();
        Some(replica)
    }

    /// Starts a replica that was let into a log that others bootstrapped: its leader sends the rest.
    pub fn join(identity: LogIdentity, seed: u64) -> Option<Replica> {
        let mut replica = Replica::open(Log::new(identity), seed)?;
        replica.write_file();
        Some(replica)
    }

    /// Starts a replica with the log that its file holds. `None` where `raft` refuses the log.
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
        let made = catch_unwind(AssertUnwindSafe(|| {
            RawNode::new(
                &config::raft_config(id, applied_index),
                log.clone(),
                &logger,
            )
        }));
        let raft = made.ok()?.ok()?;
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

    /// The log that this is a replica of.
    pub fn cluster_id(&self) -> u64 {
        self.log.0.borrow().identity.cluster_id
    }

    /// This replica's id in the log.
    pub fn id(&self) -> u64 {
        self.raft.raft.id
    }

    /// The state as far as entries are applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The index of the last entry that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The leader's replica id, as far as is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|&id| id != 0 && !self.has_failed)
    }

    /// Whether it leads, and has applied all that was committed under earlier leaders: the last entry that it applied is one
    /// of its own term.
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

    /// Whether an invariant was broken: nothing of it works any more.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether it met an entry or snapshot of a later build: nothing behind that is applied, and it never leads.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// Whether it neither failed nor is outdated.
    pub fn is_working(&self) -> bool {
        !self.has_failed && !self.is_outdated
    }

    /// All voters, by replica id: those of both sets while one takes another's place.
    pub fn voter_ids(&self) -> Vec<u64> {
        let voters = self.raft.raft.prs().conf().voters();
        voters.ids().iter().collect()
    }

    /// The learner, as this leader sees it.
    pub fn learner(&self) -> Option<LearnerProgress> {
        let raft = &self.raft.raft;
        let id = *raft.prs().conf().learners().iter().min()?;
        let progress = raft.prs().get(id)?;
        // Behind a snapshot it is probed until the next entry comes, which may be long: what it has is what counts.
        let has_entries = progress.matched > 0 && progress.state != ProgressState::Snapshot;
        let is_near = progress.matched + MAX_LEARNER_LAG_ENTRIES >= raft.raft_log.committed;
        Some(LearnerProgress {
            id,
            is_caught_up: has_entries && is_near,
        })
    }

    /// Runs something of `raft`'s; a panic ends this replica and nothing else.
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
            // It votes and stores what others decide, but leads nowhere.
            return;
        }
        self.guard(|r| {
            r.raft.tick();
            r.resend_late_snapshots();
        });
    }

    /// Takes the host's clock: the log's time goes on by it while this replica leads.
    pub fn observe_clock(&mut self, clock: Micros) {
        if !self.leads() {
            self.leader_clock = None;
            return;
        }
        let last = self.leader_clock.unwrap_or(LeaderClock {
            seen: clock,
            log_time: self.state.leases.time(),
        });
        let step = clock.saturating_sub(last.seen);
        let passed = if step <= MAX_CLOCK_STEP { step } else { 0 };
        self.leader_clock = Some(LeaderClock {
            seen: clock,
            log_time: last.log_time + passed,
        });
    }

    /// The log's time, while this replica leads.
    fn log_time(&self) -> Option<Micros> {
        let clock = self.leader_clock?;
        Some(clock.log_time.max(self.state.leases.time()))
    }

    /// Takes another replica's message. Those that are not for this replica, and those that no honest one sends, are ignored.
    pub fn handle_message(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return;
        };
        let is_for_us = message.to == self.id() && message.from != self.id();
        if is_for_us && is_acceptable(&message) {
            self.guard(|r| r.raft.step(message).is_ok());
        }
    }

    /// Proposes a command, if this replica leads; false where it does not, or too much waits.
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

    /// Proposes a change of voters, if this replica leads and no other change is under way; whether it did.
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

    /// The next message to another replica: its id, and the bytes.
    pub fn next_outgoing(&mut self) -> Option<(u64, Vec<u8>)> {
        let message = self.outgoing.pop_front()?;
        if message.get_msg_type() == MessageType::MsgSnapshot {
            self.snapshots_sent.insert(message.to, self.ticks);
        }
        Some((message.to, encode_protobuf(&message)))
    }

    /// The next thing to write.
    pub fn next_write(&mut self) -> Option<Write> {
        self.writes.pop_front()
    }

    /// All entries that were applied since the last call, for their requesters.
    pub fn take_applied(&mut self) -> Vec<Applied> {
        self.applied.drain(..).collect()
    }

    /// Confirms that this write, and all before it, are persistent.
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

/// False for what `raft` would take from anybody though only a member of the log may say it, and for a later build's snapshot.
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
