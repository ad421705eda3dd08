//! One replica of the log: `raft` and the state that its entries make.
//!
//! `raft` (the engine of TiKV) decides who leads and what is agreed; it does no I/O, so that this does none either: what
//! is to be sent and kept is handed out, and what was kept is told back. It ends the process by a panic where its
//! invariants are broken: by a disk that lost what it said it kept, or a peer with the key that lies. Such a panic ends this
//! replica alone; its process asks to be let in again under another id, as one that lost its log.

use crate::consensus::bootstrap::{Bootstrapped, Voter};
use crate::consensus::leases::{Entry as Asked, Leases, Outcome};
use crate::consensus::store::{self, bytes_of, Log, Shared};
use crate::Micros;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, Entry, EntryType,
    Message, MessageType, Snapshot,
};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

/// No honest log comes to such terms and places; one that was led there could not count on.
const NUMBER_MOST: u64 = 1 << 40;
/// `raft`'s tick.
pub const TICK: Micros = 100_000;
/// A leader is heard of each 200 ms; who hears of none for one to two seconds asks to become one.
const HEARTBEAT: usize = 2;
const ELECTION: usize = 10;
/// Entries of one message, in bytes: it must fit one datagram with its head.
const ENTRIES_MOST: u64 = 600;
/// How often a vote, or what asks for one, is sent.
const VOTES: usize = 3;
/// Entries on their way to one replica at once.
const IN_FLIGHT: usize = 32;
/// Entries that are not agreed yet, in bytes: beyond, what is asked is not taken.
const WAITING_MOST: u64 = 64 * 1024;
/// A snapshot that has not been taken in so many ticks is sent anew.
const SNAPSHOT_TICKS: u64 = 30;
/// Where a leader's clock shows more than this between two looks it was held up, or the clock jumped: nobody can tell, so that
/// none of it counts. Its time may stand still, but must never be ahead of a holder's.
const STEP_MOST: Micros = 250_000;

/// What all replicas hold once they applied the same entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// What is lent.
    pub rights: Leases,
    /// Who decides, or learns in order to: by id.
    pub voters: BTreeMap<u64, String>,
}

impl State {
    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads such bytes; `None` for those of a build that this one does not understand.
    pub fn read(bytes: &[u8]) -> Option<State> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What is to be kept before what waits for it may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Told back by [`Replica::kept`].
    pub number: u64,
    /// The file as a whole, else to be appended.
    pub replaces_file: bool,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// An entry that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Who asked.
    pub owner: String,
    /// Which process of it.
    pub session: u64,
    /// Which request.
    pub request: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// A step in who decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It learns, so that it may decide soon.
    Learn(Voter),
    /// The learner decides in place of the other.
    Swap {
        /// The learner's id.
        new: u64,
        /// Whose place it takes.
        old: u64,
    },
    /// The learner is let go.
    Drop(u64),
}

/// One replica.
pub struct Replica {
    raw: RawNode<Shared>,
    log: Shared,
    state: State,
    applied: u64,
    rng: SmallRng,
    /// Term and role for which the election's time was drawn.
    drawn: (u64, StateRole),
    ticks: u64,
    /// What the leader's clock showed at the last look, and the log's time by it.
    clock: Option<(Micros, Micros)>,
    writes: VecDeque<Write>,
    last_write: u64,
    /// Messages that wait until a write is kept, with the number of `raft`'s own.
    waiting: VecDeque<(u64, u64, Vec<Message>)>,
    out: VecDeque<Message>,
    /// Entries applied, for who asked.
    pub done: VecDeque<Applied>,
    /// Snapshots on their way, and since which tick.
    snapshots: BTreeMap<u64, u64>,
    /// Nothing of it works any more: an invariant was broken.
    pub broken: bool,
    /// An entry or snapshot of a build that this one does not understand: nothing behind it is applied, and it never leads.
    pub beyond: bool,
}

fn config(id: u64, applied: u64) -> Config {
    Config {
        id,
        applied,
        election_tick: ELECTION,
        heartbeat_tick: HEARTBEAT,
        max_size_per_msg: ENTRIES_MOST,
        max_inflight_msgs: IN_FLIGHT,
        max_uncommitted_size: WAITING_MOST,
        // A leader that a majority does not hear steps down, and who was cut off does not unseat one that is heard.
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

impl Replica {
    /// Of a log that was just founded: with what all founders begin with.
    pub fn found(founded: Bootstrapped, seed: u64) -> Option<Replica> {
        let snapshot = founded.snapshot();
        let mut log = Log::of(founded);
        log.replace(snapshot);
        let mut replica = Replica::open(log, seed)?;
        replica.write_anew();
        Some(replica)
    }

    /// Let into a log that others founded: its leader tells the rest.
    pub fn join(founded: Bootstrapped, seed: u64) -> Option<Replica> {
        let mut replica = Replica::open(Log::of(founded), seed)?;
        replica.write_anew();
        Some(replica)
    }

    /// With what was kept.
    pub fn open(log: Log, seed: u64) -> Option<Replica> {
        let snapshot = log.snapshot().clone();
        let applied = snapshot.get_metadata().index;
        let state = if applied == 0 {
            Some(State::default())
        } else {
            State::read(snapshot.get_data())
        };
        let (beyond, state) = (state.is_none(), state.unwrap_or_default());
        let id = log.founded.id;
        let log = Shared(Rc::new(RefCell::new(log)));
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let made = catch_unwind(AssertUnwindSafe(|| {
            RawNode::new(&config(id, applied), log.clone(), &logger)
        }));
        let raw = made.ok()?.ok()?;
        Some(Replica {
            raw,
            log,
            state,
            applied,
            rng: SmallRng::seed_from_u64(seed),
            drawn: (u64::MAX, StateRole::Follower),
            ticks: 0,
            clock: None,
            writes: VecDeque::new(),
            last_write: 0,
            waiting: VecDeque::new(),
            out: VecDeque::new(),
            done: VecDeque::new(),
            snapshots: BTreeMap::new(),
            broken: false,
            beyond,
        })
    }

    /// Which log.
    pub fn cluster(&self) -> u64 {
        self.log.0.borrow().founded.cluster
    }

    /// Which replica of it.
    pub fn id(&self) -> u64 {
        self.raw.raft.id
    }

    /// What is agreed, as far as this one knows.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The last entry that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Who leads, by id, as far as is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|&id| id != 0 && !self.broken)
    }

    /// It leads, and has applied all that was agreed under earlier leaders: an entry of its own term is the last it applied.
    pub fn leads(&self) -> bool {
        let raft = &self.raw.raft;
        let own_term = || {
            self.log
                .0
                .borrow()
                .term_at(self.applied)
                .is_ok_and(|t| t == raft.term)
        };
        !self.broken && !self.beyond && raft.state == StateRole::Leader && own_term()
    }

    /// Whether it decides, rather than learns.
    pub fn votes(&self) -> bool {
        self.raw.raft.promotable()
    }

    /// All who decide, by id: those of both sets while one takes the other's place.
    pub fn deciding(&self) -> Vec<u64> {
        self.raw.raft.prs().conf().voters().ids().iter().collect()
    }

    /// Who learns, and whether it has come up with the rest.
    pub fn learner(&self) -> Option<(u64, bool)> {
        let raft = &self.raw.raft;
        let id = *raft.prs().conf().learners().iter().min()?;
        let progress = raft.prs().get(id)?;
        // Behind a snapshot it is probed until the next entry comes, which may be long: what it has is what counts.
        let has_some = progress.matched > 0 && progress.state != ProgressState::Snapshot;
        Some((
            id,
            has_some && progress.matched + 8 >= raft.raft_log.committed,
        ))
    }

    /// Runs something of `raft`'s; a panic ends this replica and nothing else.
    fn guard<T>(&mut self, work: impl FnOnce(&mut Replica) -> T) -> Option<T> {
        if self.broken {
            return None;
        }
        let done = catch_unwind(AssertUnwindSafe(|| {
            let done = work(self);
            self.pump();
            done
        }));
        self.broken = done.is_err();
        if self.broken {
            (self.out, self.waiting) = (VecDeque::new(), VecDeque::new());
        }
        done.ok()
    }

    /// A tick has passed.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.beyond {
            // It votes and keeps what others decide, but leads nowhere.
            return;
        }
        self.guard(|r| {
            r.raw.tick();
            r.look_after_snapshots();
        });
    }

    /// The host's clock now: the log's time goes on by it while this one leads.
    pub fn look(&mut self, clock: Micros) {
        if !self.leads() {
            self.clock = None;
            return;
        }
        let (last, time) = self.clock.unwrap_or((clock, self.state.rights.time()));
        let passed = Some(clock.saturating_sub(last))
            .filter(|&p| p <= STEP_MOST)
            .unwrap_or(0);
        self.clock = Some((clock, time + passed));
    }

    /// The log's time, while this one leads.
    pub fn time(&self) -> Option<Micros> {
        self.clock.map(|c| c.1.max(self.state.rights.time()))
    }

    /// Another replica's message.
    pub fn step(&mut self, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return false;
        };
        if message.to != self.raw.raft.id
            || message.from == self.raw.raft.id
            || self.not_for_us(&message)
        {
            return false;
        }
        self.guard(|r| r.raw.step(message).is_ok()).unwrap_or(false)
    }

    /// What `raft` would take from anybody though only a member of the log may say it, or a later build's snapshot.
    fn not_for_us(&self, message: &Message) -> bool {
        let numbers = [
            message.term,
            message.log_term,
            message.index,
            message.commit,
            message.commit_term,
        ];
        if numbers.iter().any(|&n| n > NUMBER_MOST) {
            return true;
        }
        match message.get_msg_type() {
            MessageType::MsgSnapshot => State::read(message.get_snapshot().get_data()).is_none(),
            MessageType::MsgPropose
            | MessageType::MsgReadIndex
            | MessageType::MsgTransferLeader => true,
            _ => false,
        }
    }

    /// Has it agreed, if this one leads; false where it does not, or too much waits.
    pub fn propose(
        &mut self,
        owner: &str,
        session: u64,
        request: u64,
        command: super::leases::Command,
    ) -> bool {
        let Some(time) = self.time().filter(|_| self.leads()) else {
            return false;
        };
        let entry = Asked {
            time,
            owner: owner.into(),
            session,
            request,
            command,
        };
        let Ok(bytes) = postcard::to_stdvec(&entry) else {
            return false;
        };
        self.guard(|r| r.raw.propose(Vec::new(), bytes).is_ok())
            .unwrap_or(false)
    }

    /// A step in who decides, if this one leads and none is under way.
    pub fn change(&mut self, change: &Change) -> bool {
        let raft = &self.raw.raft;
        if !self.leads()
            || raft.has_pending_conf()
            || !raft.prs().conf().to_conf_state().voters_outgoing.is_empty()
        {
            return false;
        }
        let single = |id: u64, kind: ConfChangeType| {
            let mut one = ConfChangeSingle {
                node_id: id,
                ..ConfChangeSingle::default()
            };
            one.set_change_type(kind);
            one
        };
        let (changes, names): (Vec<ConfChangeSingle>, Vec<Voter>) = match change {
            Change::Learn(voter) => (
                vec![single(voter.0, ConfChangeType::AddLearnerNode)],
                vec![voter.clone()],
            ),
            Change::Swap { new, old } => (
                vec![
                    single(*new, ConfChangeType::AddNode),
                    single(*old, ConfChangeType::RemoveNode),
                ],
                vec![],
            ),
            Change::Drop(id) => (vec![single(*id, ConfChangeType::RemoveNode)], vec![]),
        };
        let mut all = ConfChangeV2 {
            changes: changes.into(),
            ..ConfChangeV2::default()
        };
        all.set_transition(ConfChangeTransition::Auto);
        all.set_context(postcard::to_stdvec(&names).unwrap_or_default().into());
        self.guard(|r| r.raw.propose_conf_change(Vec::new(), all).is_ok())
            .unwrap_or(false)
    }

    /// The next message to another replica: its id, and the bytes.
    pub fn next_outgoing(&mut self) -> Option<(u64, Vec<u8>)> {
        let message = self.out.pop_front()?;
        if message.get_msg_type() == MessageType::MsgSnapshot {
            self.snapshots.insert(message.to, self.ticks);
        }
        Some((message.to, bytes_of(&message)))
    }

    /// The next thing to keep.
    pub fn next_write(&mut self) -> Option<Write> {
        self.writes.pop_front()
    }

    /// All up to this write is kept.
    pub fn kept(&mut self, number: u64) {
        self.guard(|r| {
            while r.waiting.front().is_some_and(|w| w.1 <= number) {
                let Some((ready, _, messages)) = r.waiting.pop_front() else {
                    break;
                };
                r.persisted(ready, messages);
            }
        });
    }

    /// Votes are asked for once in an election, and a lost one costs a second or two: they go thrice.
    fn queue(&mut self, messages: Vec<Message>) {
        for message in messages {
            let vote = matches!(
                message.get_msg_type(),
                MessageType::MsgRequestVote
                    | MessageType::MsgRequestVoteResponse
                    | MessageType::MsgRequestPreVote
                    | MessageType::MsgRequestPreVoteResponse
            );
            for _ in 1..if vote { VOTES } else { 1 } {
                self.out.push_back(message.clone());
            }
            self.out.push_back(message);
        }
    }

    fn persisted(&mut self, ready: u64, messages: Vec<Message>) {
        self.raw.on_persist_ready(ready);
        self.queue(messages);
        // A snapshot counts as applied only once it is kept.
        if self.raw.raft.raft_log.applied() < self.applied
            && self.applied
                <= self
                    .raw
                    .raft
                    .raft_log
                    .committed
                    .min(self.raw.raft.raft_log.persisted)
        {
            self.raw.advance_apply_to(self.applied);
        }
    }

    fn look_after_snapshots(&mut self) {
        let late: Vec<u64> = self
            .snapshots
            .iter()
            .filter(|(_, &since)| self.ticks > since + SNAPSHOT_TICKS)
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            self.snapshots.remove(&id);
            let waits = |p: &raft::Progress| p.state == ProgressState::Snapshot;
            if self.raw.raft.prs().get(id).is_some_and(waits) {
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    fn write(&mut self, replaces_file: bool, bytes: Vec<u8>) -> u64 {
        self.last_write += 1;
        self.writes.push_back(Write {
            number: self.last_write,
            replaces_file,
            bytes,
        });
        self.last_write
    }

    fn write_anew(&mut self) -> u64 {
        let bytes = self.log.0.borrow().file();
        self.write(true, bytes)
    }

    /// Does all that `raft` has ready.
    fn pump(&mut self) {
        self.draw_time();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.queue(ready.take_messages());
            let mut bytes = Vec::new();
            let snapshot = ready.snapshot().clone();
            let has_snapshot = snapshot.get_metadata().index > 0;
            if has_snapshot {
                self.restore(snapshot);
            }
            let entries = ready.take_entries();
            entries
                .iter()
                .for_each(|e| bytes.extend(store::entry_record(e)));
            if let Some(hard) = ready.hs() {
                bytes.extend(store::hard_record(hard));
                self.log.0.borrow_mut().set_hard(hard.clone());
            }
            let fits = self.log.0.borrow_mut().append(entries);
            assert!(fits.is_ok(), "raft keeps its log whole: {fits:?}");
            let messages = ready.take_persisted_messages();
            let committed = ready.take_committed_entries();
            let number = ready.number();
            let must_wait = has_snapshot || ready.must_sync();
            self.raw.advance_append_async(ready);
            let write = match (has_snapshot, bytes.is_empty()) {
                (true, _) => self.write_anew(),
                (false, false) => self.write(false, bytes),
                (false, true) => self.last_write,
            };
            match self.waiting.is_empty() && !must_wait {
                true => self.persisted(number, messages),
                false => self.waiting.push_back((number, write, messages)),
            }
            let any = !committed.is_empty();
            let conf_changed = committed
                .into_iter()
                .fold(false, |changed, entry| changed | self.apply(entry));
            if any {
                self.raw.advance_apply();
            }
            if (conf_changed || self.log.0.borrow().wants_cut()) && !self.beyond {
                self.cut();
            }
            self.draw_time();
        }
    }

    /// `raft` draws the time after which it asks to lead from the system's randomness; ours is seeded.
    fn draw_time(&mut self) {
        let now = (self.raw.raft.term, self.raw.raft.state);
        if now != self.drawn {
            self.drawn = now;
            let drawn = self.rng.random_range(ELECTION..2 * ELECTION);
            self.raw.raft.set_randomized_election_timeout(drawn);
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        match State::read(snapshot.get_data()) {
            Some(state) => self.state = state,
            None => self.beyond = true,
        }
        self.applied = snapshot.get_metadata().index;
        self.log.0.borrow_mut().replace(snapshot);
    }

    /// A snapshot of what is applied: what stands before it is let go.
    fn cut(&mut self) {
        let mut snapshot = Snapshot {
            data: self.state.write().into(),
            ..Snapshot::default()
        };
        let term = self.log.0.borrow().term_at(self.applied).unwrap_or(0);
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.applied, term);
        meta.set_conf_state(self.raw.raft.prs().conf().to_conf_state());
        self.log.0.borrow_mut().cut(snapshot);
        self.write_anew();
    }

    /// Applies an entry; true if it changed who decides.
    fn apply(&mut self, entry: Entry) -> bool {
        if self.beyond {
            return false;
        }
        match entry.get_entry_type() {
            EntryType::EntryNormal => {
                // A leader's first: it says nothing.
                if !entry.data.is_empty() {
                    let Ok(asked) = postcard::from_bytes::<Asked>(&entry.data) else {
                        // All behind it would be applied to another state than the others'.
                        self.beyond = true;
                        return false;
                    };
                    let (owner, session, request) =
                        (asked.owner.clone(), asked.session, asked.request);
                    let outcome = self.state.rights.apply(entry.index, asked);
                    self.done.push_back(Applied {
                        owner,
                        session,
                        request,
                        outcome,
                    });
                }
                self.applied = entry.index;
                false
            }
            EntryType::EntryConfChangeV2 | EntryType::EntryConfChange => {
                let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                let names: Vec<Voter> = postcard::from_bytes(&change.context).unwrap_or_default();
                let conf = self.raw.apply_conf_change(&change);
                self.applied = entry.index;
                if let Ok(conf) = &conf {
                    self.state.voters.extend(names);
                    let known = |id: &u64| {
                        [
                            &conf.voters,
                            &conf.learners,
                            &conf.voters_outgoing,
                            &conf.learners_next,
                        ]
                        .iter()
                        .any(|set| set.contains(id))
                    };
                    self.state.voters.retain(|id, _| known(id));
                }
                conf.is_ok()
            }
        }
    }
}
