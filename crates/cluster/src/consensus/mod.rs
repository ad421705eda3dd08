//! Agreed decisions: what must never be decided twice, as rights that are lent.
//!
//! A few members, the voters, keep one log (`raft`); all may ask, and read. [`Consensus`] is one member's part in it, free of I/O
//! as the rest: words and time in, words out, bytes to be kept.
//!
//! | file | what it does |
//! | --- | --- |
//! | [`rights`] | the state that is agreed: rights with an owner, an end, a fencing number |
//! | [`replica`] | one voter's log: `raft` |
//! | [`store`] | the log's form in a file |
//! | [`founding`] | how a log comes to be, once |
//! | [`voters`] | who decides when a voter is gone for good |
//! | [`parts`] | what is longer than a datagram |
//!
//! **Alone**, or without a majority: nothing new is lent. What is held stays until its end by the holder's own clock; then the
//! holder does what one does that never had it. **At most**, a peer with the key that lies can say that something is lent which
//! is not, unseat voters and end replicas; a site trusts who holds its key. A peer that sleeps holds nothing when it wakes:
//! ends are looked at when a right is used ([`Consensus::holds`]), not when it was lent.

pub mod bootstrap;
pub mod fragmentation;
pub mod leases;
pub mod reconfiguration;
pub mod replica;
pub mod store;

use crate::membership::{MemberStatus, MAX_NAME_BYTES};
use crate::Micros;
use bootstrap::{Bootstrap, Shown, QUIET};
use fragmentation::{Fragment, Fragments};
use leases::{Command, Lease, Outcome};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use reconfiguration::{Candidate, VoterSlot};
use replica::{Replica, State, Write, TICK};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Requests of our own that wait at once.
const ASKS_MOST: usize = 64;
/// A request is sent again after this long without an answer.
const ASK_AGAIN: Micros = 300_000;
/// Requests of others that wait to be agreed.
const PENDING_MOST: usize = 256;
/// Who reads looks for something newer this often.
const COPY_EVERY: Micros = 500_000;
/// A voter that knows no leader for this long looks whether it is one still.
const LEADERLESS: Micros = 3_000_000;
/// What a raft message may be to go in one datagram, with its head.
const WHOLE: usize = 1080;
/// Part of a right's time that the holder does not use, as clocks differ: one in twenty, and this.
const SLACK: Micros = 100_000;
/// Kinds of what goes in parts.
const RAFT: u8 = 1;
const COPY: u8 = 2;

/// What an agreed part is started with.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The first voters, by name, as the operator's file has them; none where this one only reads and asks.
    pub initial_voters: Vec<String>,
    /// A voter that is down for so long is replaced.
    pub replace_after: Micros,
    /// Our zone; empty for none.
    pub zone: String,
    /// What the state folder's file holds; `None` where nothing is kept.
    pub file: Option<Vec<u8>>,
}

/// What a member tells the others of its part, as a fact.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Its id as a replica: of its log, or drawn for one.
    pub id: u64,
    /// The log of which it has a replica; 0 for none.
    pub cluster: u64,
    /// The set of founders to which it promised itself; 0 for none.
    pub promised: u64,
    /// What it knows: of which log, up to which entry.
    pub knows: (u64, u64),
    /// The term.
    pub term: u64,
    /// Who leads, by name; empty where it knows of none.
    pub leader: String,
    /// It decides.
    pub votes: bool,
    /// What it keeps outlives its process.
    pub keeps: bool,
    /// It met what only a later build understands, or its replica broke.
    pub unfit: bool,
}

impl Notice {
    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads such bytes.
    pub fn read(bytes: &[u8]) -> Option<Notice> {
        postcard::from_bytes(bytes)
            .ok()
            .filter(|n: &Notice| n.leader.len() <= MAX_NAME_BYTES)
    }
}

/// Another member, as the fleet knows it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// How it stands, and for how long.
    pub stands: (MemberStatus, Micros),
    /// Its zone.
    pub zone: String,
    /// What it tells of its part.
    pub notice: Option<Notice>,
}

impl Peer {
    /// Nobody has called it down.
    fn is_there(&self) -> bool {
        self.stands.0 != MemberStatus::Down
    }
}

/// What members say to each other here. Later builds add words behind; an unknown one is counted and let go.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Word {
    /// One replica to another, of this log.
    Raft { cluster: u64, bytes: Vec<u8> },
    /// A part of something longer; of this log.
    Fragment { cluster: u64, part: Fragment },
    /// Parts that lack.
    Want { whole: u64, numbers: Vec<u16> },
    /// Have this agreed.
    Ask {
        cluster: u64,
        session: u64,
        request: u64,
        command: Command,
    },
    /// What became of it.
    Answer {
        session: u64,
        request: u64,
        outcome: Outcome,
    },
    /// Ask that one.
    Elsewhere { request: u64, leader: String },
    /// What is newer than this?
    Newer { cluster: u64, index: u64 },
}

/// Why there is no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No majority answered in time. It may come to be lent all the same; then it is given back.
    TimedOut,
    /// Too many wait already.
    TooManyPending,
}

struct Asking {
    request: u64,
    session: u64,
    command: Command,
    /// When it was first sent, by the clock: its time counts from then.
    sent: Option<Micros>,
    /// Nobody waits for it any more after this.
    until: Micros,
    /// What it held back at its asker's was told that it has no answer.
    given_up: bool,
    again: Micros,
    /// Nobody asked for it but ourselves.
    quiet: bool,
}

/// A right that we hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The pot.
    pub resource: String,
    /// How much.
    pub amount: u32,
    /// Until when, by our own clock.
    pub until: Micros,
}

/// What readers know: a state, and how far it goes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Copy {
    cluster: u64,
    index: u64,
    state: State,
}

/// A member's part in the log, in a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It waits for the other founders.
    Bootstrapping,
    /// It decides.
    Voting,
    /// It learns, so that it may decide.
    Learning,
    /// It reads and asks.
    Observing,
    /// Its replica can't go on: what is agreed is beyond this build, or an invariant was broken.
    Failed,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Words that this build can't read.
    pub unread: u64,
    /// Words of another log.
    pub foreign: u64,
    /// Requests of our own that were sent, and those with no answer in time.
    pub asked: u64,
    /// See `asked`.
    pub unanswered: u64,
    /// Requests, of ours and of others, that found no room.
    pub turned_away: u64,
    /// Rights that were lent to us, and those that ended while we held them.
    pub lent: u64,
    /// See `lent`.
    pub ended: u64,
    /// Rights lent after nobody waited for them any more.
    pub given_back: u64,
    /// Leaders that this one has seen.
    pub leaders: u64,
    /// Replicas of ours that broke, or that others had replaced.
    pub replicas_lost: u64,
    /// Steps in who decides, as a leader.
    pub changes: u64,
    /// Clocks set back: all that was held was let go.
    pub clock_back: u64,
}

/// How things stand, for operators.
#[derive(Clone, Debug)]
pub struct View {
    /// Our part.
    pub part: Role,
    /// Which log; 0 for none.
    pub cluster: u64,
    /// Who leads, where anybody known to us is heard to say so.
    pub leader: Option<String>,
    /// The term and the last entry known.
    pub term: u64,
    /// See `term`.
    pub index: u64,
    /// Who decides, and whether each is there.
    pub voters: Vec<(String, bool)>,
    /// Founders that lack, where nothing is founded yet.
    pub missing: Vec<String>,
    /// All that is lent: fence, right, time left (none where it is over and stays).
    pub lent: Vec<(u64, Lease, Option<Micros>)>,
}

/// One member's part.
pub struct Consensus {
    me: String,
    session: u64,
    options: Options,
    id: u64,
    rng: SmallRng,
    founding: Option<Bootstrap>,
    replica: Option<Replica>,
    /// It keeps its log where that outlives the process.
    keeps: bool,
    copy: Copy,
    peers: BTreeMap<String, Peer>,
    parts: Fragments,
    out: VecDeque<(String, Vec<u8>)>,
    keep: VecDeque<Write>,
    asks: VecDeque<Asking>,
    requests: u64,
    outcomes: VecDeque<(u64, Result<Outcome, RequestError>)>,
    held: BTreeMap<u64, Held>,
    clock: Micros,
    /// Requests of others that we had proposed: who asked, by owner.
    pending: BTreeMap<String, (u64, u64)>,
    next_tick: Micros,
    /// When the last tick was, and when another replica was last heard.
    ticked: Micros,
    heard: Micros,
    next_copy: Micros,
    /// Since when no leader is known.
    leaderless: Option<Micros>,
    last_leader: Option<u64>,
    counters: Counters,
}

/// Words waiting to be sent.
const OUT_MOST: usize = 512;

impl Consensus {
    /// For a process of this name and session. An error where what was kept can't be used: it is left as it is, and this
    /// one only reads and asks.
    pub fn new(
        me: &str,
        session: u64,
        seed: u64,
        mut options: Options,
    ) -> (Consensus, Option<store::Unusable>) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let keeps = options.file.is_some();
        let kept = options.file.take().map(|bytes| store::read(&bytes));
        let (log, mut wrong) = match kept {
            None => (None, None),
            Some(Ok(loaded)) => (loaded.log, None),
            Some(Err(e)) => (None, Some(e)),
        };
        let replaced = log.as_ref().is_some_and(store::Log::is_replaced);
        let replica = log.filter(|l| !l.is_replaced()).and_then(|log| {
            let replica = Replica::open(log, rng.random());
            if replica.is_none() {
                wrong = Some(store::Unusable::Wrong("the engine of the log refuses it"));
            }
            replica
        });
        let id = replica
            .as_ref()
            .map_or_else(|| fresh_id(session, &mut rng), |r| r.id());
        let founding = match (&replica, &wrong) {
            (None, None) if !replaced => Bootstrap::new(me, id, &options.initial_voters),
            _ => None,
        };
        let agreed = Consensus {
            me: me.into(),
            session,
            id,
            founding,
            replica,
            // What can't be used must not be written over.
            keeps: keeps && wrong.is_none(),
            copy: Copy::default(),
            peers: BTreeMap::new(),
            parts: Fragments::default(),
            out: VecDeque::new(),
            keep: VecDeque::new(),
            asks: VecDeque::new(),
            requests: 0,
            outcomes: VecDeque::new(),
            held: BTreeMap::new(),
            clock: 0,
            pending: BTreeMap::new(),
            next_tick: 0,
            ticked: 0,
            heard: 0,
            next_copy: 0,
            leaderless: None,
            last_leader: None,
            counters: Counters::default(),
            rng,
            options,
        };
        (agreed, wrong)
    }

    /// Our session is another one from now on.
    pub fn change_session(&mut self, session: u64) {
        self.session = session;
    }

    /// Which log: of our replica, else of what we have read.
    fn cluster(&self) -> u64 {
        self.replica
            .as_ref()
            .map_or(self.copy.cluster, |r| r.cluster())
    }

    /// What we know is agreed.
    fn state(&self) -> &State {
        match &self.replica {
            Some(r)
                if r.applied() > 0
                    && (r.cluster(), r.applied()) >= (self.copy.cluster, self.copy.index) =>
            {
                r.state()
            }
            Some(r) if self.copy.cluster != r.cluster() => r.state(),
            _ => &self.copy.state,
        }
    }

    fn name_of(&self, id: u64) -> Option<&String> {
        let own = self
            .replica
            .as_ref()
            .and_then(|r| r.state().voters.get(&id));
        own.or_else(|| self.copy.state.voters.get(&id))
    }

    /// Who leads by our own replica. One that only learns never asks to lead, and would believe in its last leader for ever.
    fn own_leader(&self) -> Option<u64> {
        let replica = self.replica.as_ref()?;
        replica
            .leader()
            .filter(|_| replica.votes() || self.ticked < self.heard + LEADERLESS)
    }

    /// Who leads, as far as we know: by our own replica, else by the word of a voter that is there.
    pub fn leader(&self) -> Option<String> {
        if let Some(id) = self.own_leader() {
            return self.name_of(id).cloned();
        }
        let says = |p: &&Peer| {
            p.is_there()
                && p.notice
                    .as_ref()
                    .is_some_and(|n| n.votes && n.cluster == self.cluster() && !n.leader.is_empty())
        };
        let newest = self
            .peers
            .values()
            .filter(says)
            .filter_map(|p| p.notice.as_ref())
            .max_by_key(|n| n.term);
        newest.map(|n| n.leader.clone())
    }

    /// What we tell of our part.
    pub fn notice(&self) -> Notice {
        let r = self.replica.as_ref();
        Notice {
            id: self.id,
            cluster: r.map_or(0, |r| r.cluster()),
            promised: self.founding.as_ref().map_or(0, Bootstrap::promised),
            knows: match r {
                Some(r) if r.applied() > 0 => (r.cluster(), r.applied()),
                _ => (self.copy.cluster, self.copy.index),
            },
            term: r.map_or(0, Replica::term),
            leader: self
                .own_leader()
                .and_then(|id| self.name_of(id))
                .cloned()
                .unwrap_or_default(),
            votes: r.is_some_and(|r| r.votes() && !r.broken),
            keeps: self.keeps,
            unfit: r.is_some_and(|r| r.broken || r.beyond),
        }
    }

    fn say(&mut self, to: &str, word: &Word) {
        if self.out.len() >= OUT_MOST {
            self.counters.turned_away += 1;
        } else if let Ok(bytes) = postcard::to_stdvec(word) {
            self.out.push_back((to.into(), bytes));
        }
    }

    /// The next word to send, and to whom.
    pub fn next_outgoing(&mut self) -> Option<(String, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next thing to be kept; nothing where nothing is.
    pub fn next_write(&mut self) -> Option<Write> {
        self.keep.pop_front()
    }

    /// All up to this write outlives the process now.
    pub fn kept(&mut self, now: Micros, number: u64) {
        if let Some(replica) = &mut self.replica {
            replica.kept(number);
        }
        self.settle(now);
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Asks for something to be agreed; its number, under which the outcome is told within `patience`.
    pub fn ask(&mut self, clock: Micros, command: Command, patience: Micros) -> u64 {
        self.ask_for(clock, command, patience, false)
    }

    fn ask_for(&mut self, clock: Micros, command: Command, patience: Micros, quiet: bool) -> u64 {
        self.requests += 1;
        let request = self.requests;
        if self.asks.len() >= ASKS_MOST {
            self.counters.turned_away += 1;
            if !quiet {
                self.outcomes
                    .push_back((request, Err(RequestError::TooManyPending)));
            }
            return request;
        }
        let until = clock.saturating_add(patience);
        let asking = Asking {
            request,
            session: self.session,
            command,
            sent: None,
            until,
            given_up: false,
            again: 0,
            quiet,
        };
        self.asks.push_back(asking);
        request
    }

    /// The next outcome of what was asked here.
    pub fn outcome(&mut self) -> Option<(u64, Result<Outcome, RequestError>)> {
        self.outcomes.pop_front()
    }

    /// Whether we hold this right at this moment of our clock: to be asked at the deed.
    pub fn holds(&self, fence: u64, clock: Micros) -> bool {
        // A clock that was set back knows of no end.
        clock >= self.clock && self.held.get(&fence).is_some_and(|h| clock < h.until)
    }

    /// All that we hold, by fencing number.
    pub fn held(&self) -> &BTreeMap<u64, Held> {
        &self.held
    }

    /// A word has come of this member.
    pub fn take(&mut self, now: Micros, clock: Micros, from: &str, bytes: &[u8]) {
        let Ok(word) = postcard::from_bytes::<Word>(bytes) else {
            self.counters.unread += 1;
            return;
        };
        match word {
            Word::Raft { cluster, bytes } => self.step(now, cluster, &bytes),
            Word::Fragment { cluster, part } => match self.parts.take(now, from, part) {
                Some((RAFT, whole)) => self.step(now, cluster, &whole),
                Some((COPY, whole)) => self.take_copy(from, &whole),
                Some(_) => self.counters.unread += 1,
                None => {}
            },
            Word::Want { whole, numbers } => {
                let cluster = self.cluster();
                for part in self.parts.wanted(now, from, whole, &numbers) {
                    self.say(from, &Word::Fragment { cluster, part });
                }
            }
            Word::Ask {
                cluster,
                session,
                request,
                command,
            } => self.asked(clock, cluster, from, (session, request), command),
            Word::Answer {
                session,
                request,
                outcome,
            } => {
                let decides = self.state().voters.values().any(|v| v == from);
                if decides && session == self.session || self.state().voters.is_empty() {
                    self.answered(clock, request, outcome);
                }
            }
            Word::Elsewhere { request, leader } => {
                let cluster = self.cluster();
                if let Some(asking) = self.asks.front_mut().filter(|a| a.request == request) {
                    // At once, but not round in a ring for ever: each turn waits for its datagram.
                    let (session, command) = (asking.session, asking.command.clone());
                    asking.again = now + ASK_AGAIN;
                    self.say(
                        &leader,
                        &Word::Ask {
                            cluster,
                            session,
                            request,
                            command,
                        },
                    );
                }
            }
            Word::Newer { cluster, index } => self.tell_newer(now, from, cluster, index),
        }
        self.settle(now);
    }

    /// Another replica's message.
    fn step(&mut self, now: Micros, cluster: u64, bytes: &[u8]) {
        if self.replica.is_none() && self.may_join(bytes) {
            let founded = bootstrap::Bootstrapped::joined(self.id, cluster);
            self.replica = Replica::join(founded, self.rng.random());
            self.founding = None;
            self.leaderless = Some(now);
        }
        let Some(replica) = self.replica.as_mut().filter(|r| r.cluster() == cluster) else {
            self.counters.foreign += 1;
            return;
        };
        replica.step(bytes);
        self.heard = now;
    }

    /// A leader's message to the id that we drew: it let us in.
    fn may_join(&self, bytes: &[u8]) -> bool {
        use protobuf::Message as _;
        use raft::eraftpb::{Message, MessageType};
        let let_in = |m: Message| {
            let kind = m.get_msg_type();
            m.to == self.id
                && matches!(
                    kind,
                    MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot
                )
        };
        Message::parse_from_bytes(bytes).is_ok_and(let_in)
    }

    fn asked(&mut self, clock: Micros, cluster: u64, from: &str, of: (u64, u64), command: Command) {
        let (session, request) = of;
        if cluster != self.cluster() {
            self.counters.foreign += 1;
            return;
        }
        if let Some(outcome) = self.state().rights.outcome(from, session, request).cloned() {
            return self.say(
                from,
                &Word::Answer {
                    session,
                    request,
                    outcome,
                },
            );
        }
        if !self.has_agreed(clock, from, of, command) {
            if let Some(leader) = self.leader().filter(|l| *l != self.me && l != from) {
                self.say(from, &Word::Elsewhere { request, leader });
            }
        }
    }

    /// Has something agreed if we lead; false where we don't.
    fn has_agreed(&mut self, clock: Micros, owner: &str, of: (u64, u64), command: Command) -> bool {
        let all_keep = self.all_keep();
        let Some(replica) = self.replica.as_mut().filter(|r| r.leads()) else {
            return false;
        };
        replica.look(clock);
        if self.pending.get(owner) == Some(&of) {
            return true;
        }
        let (session, request) = of;
        if let Command::Acquire { duration, .. } | Command::Renew { duration, .. } = &command {
            // What a founding after the loss of all voters has to wait for.
            if !all_keep && *duration > QUIET {
                self.reply(clock, owner, of, Outcome::OutOfBounds);
                return true;
            }
        }
        if self.pending.len() >= PENDING_MOST || !replica.propose(owner, session, request, command)
        {
            self.counters.turned_away += 1;
        } else {
            self.pending.insert(owner.into(), of);
        }
        true
    }

    fn all_keep(&self) -> bool {
        let keeps = |name: &String| match *name == self.me {
            true => self.keeps,
            false => self
                .peers
                .get(name)
                .and_then(|p| p.notice.as_ref())
                .is_some_and(|n| n.keeps),
        };
        self.state().voters.values().all(keeps)
    }

    fn reply(
        &mut self,
        clock: Micros,
        owner: &str,
        (session, request): (u64, u64),
        outcome: Outcome,
    ) {
        if owner == self.me {
            self.answered(clock, request, outcome);
        } else {
            self.say(
                owner,
                &Word::Answer {
                    session,
                    request,
                    outcome,
                },
            );
        }
    }

    /// What became of a request of ours.
    fn answered(&mut self, clock: Micros, request: u64, outcome: Outcome) {
        if self.asks.front().is_none_or(|a| a.request != request) {
            return;
        }
        let Some(asking) = self.asks.pop_front() else {
            return;
        };
        let from = asking.sent.unwrap_or(clock);
        let until = |duration: Micros| from + (duration - duration / 20).saturating_sub(SLACK);
        match (&outcome, &asking.command) {
            (
                Outcome::Granted { fence },
                Command::Acquire {
                    resource,
                    amount,
                    duration,
                    ..
                },
            ) => {
                self.counters.lent += 1;
                if asking.given_up {
                    self.counters.given_back += 1;
                    self.ask_for(clock, Command::Release { fence: *fence }, Micros::MAX, true);
                } else {
                    let held = Held {
                        resource: resource.clone(),
                        amount: *amount,
                        until: until(*duration),
                    };
                    self.held.insert(*fence, held);
                }
            }
            (Outcome::Renewed, Command::Renew { fence, duration }) => {
                if let Some(held) = self.held.get_mut(fence) {
                    held.until = held.until.max(until(*duration));
                }
            }
            (Outcome::NotOwner, Command::Renew { fence, .. }) => drop(self.held.remove(fence)),
            _ => {}
        }
        if !asking.given_up && !asking.quiet {
            self.outcomes.push_back((request, Ok(outcome)));
        }
    }

    /// Gives a right back: it is not used from this moment on, whenever that is agreed.
    pub fn give(&mut self, clock: Micros, fence: u64) {
        if self.held.remove(&fence).is_some() {
            self.ask_for(clock, Command::Release { fence }, Micros::MAX, true);
        }
    }

    fn tell_newer(&mut self, now: Micros, from: &str, cluster: u64, index: u64) {
        let own = self.notice().knows;
        if own.0 == 0 || own.0 == cluster && own.1 <= index {
            return;
        }
        let mut state = self.state().clone();
        state.rights.forget_requests();
        let copy = Copy {
            cluster: own.0,
            index: own.1,
            state,
        };
        let Ok(bytes) = postcard::to_stdvec(&copy) else {
            return;
        };
        for part in self.parts.send(now, from, COPY, bytes) {
            self.say(
                from,
                &Word::Fragment {
                    cluster: own.0,
                    part,
                },
            );
        }
    }

    fn take_copy(&mut self, from: &str, bytes: &[u8]) {
        let Ok(copy) = postcard::from_bytes::<Copy>(bytes) else {
            self.counters.unread += 1;
            return;
        };
        let newer = copy.cluster != self.copy.cluster || copy.index > self.copy.index;
        if newer && copy.cluster != 0 {
            self.copy = copy;
        }
        // A voter that others replaced while it was away hears nothing of the log: nobody tells it any more. Its id is of no
        // other life, so that nothing is lost but its part.
        let decides = self.copy.state.voters.values().any(|v| v == from);
        let replaced = self.replica.as_ref().is_some_and(|r| {
            let same = r.cluster() == self.copy.cluster && self.copy.index > r.applied();
            same && decides && !self.copy.state.voters.contains_key(&self.id)
        });
        if replaced {
            // Others decide now: it founds nothing beside them.
            let file = store::Log::of(bootstrap::Bootstrapped::joined(0, self.copy.cluster)).file();
            self.retire(file);
        }
    }

    /// A log of which a majority is lost for ever agrees on nothing any more: nobody brings back an id that its process
    /// does not show. Who has the rest of it lets go, so that the founders can found another; so does who was let in by a
    /// leader that was not heard again before it told anything.
    fn let_go_of_the_dead(&mut self, now: Micros) {
        if self.leaderless.is_none_or(|since| now < since + LEADERLESS) {
            return;
        }
        let Some(replica) = self.replica.as_ref() else {
            return;
        };
        let deciding = replica.deciding();
        let lost = |id: &&u64| {
            let shown = replica
                .state()
                .voters
                .get(id)
                .and_then(|name| self.shown(name));
            **id != self.id && shown.is_some_and(|s| s.id != **id)
        };
        if replica.applied() == 0
            || deciding.iter().filter(lost).count() > deciding.len().saturating_sub(1) / 2
        {
            self.retire(store::HEADER.to_vec());
            self.founding = Bootstrap::new(&self.me, self.id, &self.options.initial_voters);
        }
    }

    fn retire(&mut self, file: Vec<u8>) {
        self.counters.replicas_lost += 1;
        self.replica = None;
        self.pending.clear();
        let later = (self.clock / 1000).max((self.id >> 20) + 1);
        self.id = fresh_id(later << 20, &mut self.rng);
        if self.keeps {
            // What the file says next is of another life.
            self.keep.clear();
            self.keep.push_back(Write {
                number: 0,
                replaces_file: true,
                bytes: file,
            });
        }
    }

    /// Hands on what the replica has ready.
    fn settle(&mut self, now: Micros) {
        loop {
            let Some(replica) = &mut self.replica else {
                return;
            };
            let mut any = false;
            while let Some(write) = replica.next_write() {
                any = true;
                match self.keeps {
                    true => self.keep.push_back(write),
                    false => replica.kept(write.number),
                }
            }
            let mut sends = Vec::new();
            while let Some(message) = replica.next_outgoing() {
                sends.push(message);
            }
            let done: Vec<replica::Applied> = replica.done.drain(..).collect();
            let cluster = replica.cluster();
            any |= !sends.is_empty() || !done.is_empty();
            for (to, bytes) in sends {
                let Some(name) = self.name_of(to).cloned() else {
                    continue;
                };
                if bytes.len() <= WHOLE {
                    self.say(&name, &Word::Raft { cluster, bytes });
                } else {
                    for part in self.parts.send(now, &name, RAFT, bytes) {
                        self.say(&name, &Word::Fragment { cluster, part });
                    }
                }
            }
            for applied in done {
                let of = (applied.session, applied.request);
                if self.pending.get(&applied.owner) == Some(&of) {
                    self.pending.remove(&applied.owner);
                    self.reply(self.clock, &applied.owner, of, applied.outcome);
                }
            }
            if !any {
                return;
            }
        }
    }

    /// Time has passed. `peers`: all others that are known.
    pub fn tick(&mut self, now: Micros, clock: Micros, peers: impl FnOnce() -> Vec<Peer>) {
        self.look_at_clock(clock);
        if let Some(replica) = &mut self.replica {
            replica.look(clock);
        }
        if now >= self.next_tick {
            // One that was held up ticks once, not many times at once.
            self.next_tick = (self.next_tick + TICK).max(now + TICK / 2);
            self.ticked = now;
            self.peers = peers().into_iter().map(|p| (p.name.clone(), p)).collect();
            if let Some(replica) = &mut self.replica {
                replica.tick();
                if replica.broken {
                    self.retire(store::HEADER.to_vec());
                }
            }
            self.found();
            self.look_at_leader(now);
            self.let_go_of_the_dead(now);
            self.look_at_voters();
            for (of, whole, numbers) in self.parts.tick(now) {
                self.say(&of, &Word::Want { whole, numbers });
            }
            if now >= self.next_copy {
                self.next_copy = now + COPY_EVERY;
                self.read(now);
            }
        }
        self.go_on_asking(now, clock);
        self.settle(now);
    }

    fn look_at_clock(&mut self, clock: Micros) {
        if clock < self.clock {
            self.counters.clock_back += 1;
            self.counters.ended += self.held.len() as u64;
            self.held.clear();
            for asking in &mut self.asks {
                // What is lent for a time that can't be told is given back.
                asking.given_up |= asking.sent.is_some();
            }
        }
        self.clock = clock;
        let before = self.held.len();
        self.held.retain(|_, h| clock < h.until);
        self.counters.ended += (before - self.held.len()) as u64;
    }

    fn shown(&self, name: &str) -> Option<Shown> {
        let peer = self.peers.get(name).filter(|p| p.is_there())?;
        let notice = peer.notice.as_ref().filter(|n| n.id != 0)?;
        Some(Shown {
            id: notice.id,
            cluster: notice.cluster,
            promised: notice.promised,
        })
    }

    fn found(&mut self) {
        // Somebody decides already: what lets us in is a leader's word.
        let decides =
            |p: &Peer| p.is_there() && p.notice.as_ref().is_some_and(|n| n.votes && n.cluster != 0);
        let ours = |p: &Peer| self.options.initial_voters.contains(&p.name);
        if self.peers.values().any(|p| decides(p) && !ours(p)) {
            return;
        }
        let Some(mut founding) = self.founding.take() else {
            return;
        };
        // Numbers of the next log must be above those of one that we know of, whatever our clock shows.
        let least = self.copy.state.rights.begins_above();
        if self.copy.cluster != 0 && self.id >> 20 < least {
            self.id = fresh_id(least << 20, &mut self.rng);
            if let Some(replaces_file) =
                Bootstrap::new(&self.me, self.id, &self.options.initial_voters)
            {
                founding = replaces_file;
            }
        }
        match founding.look(|name| self.shown(name)) {
            Some(founded) => self.replica = Replica::found(founded, self.rng.random()),
            None => self.founding = Some(founding),
        }
    }

    fn look_at_leader(&mut self, now: Micros) {
        let leader = self.own_leader();
        if leader.is_some() && leader != self.last_leader {
            self.counters.leaders += 1;
            self.last_leader = leader;
        }
        match leader {
            Some(_) => self.leaderless = None,
            None => drop(self.leaderless.get_or_insert(now)),
        }
        if self.replica.as_ref().is_some_and(|r| !r.leads()) {
            // Who leads next hears of it from the asker.
            self.pending.clear();
        }
    }

    fn look_at_voters(&mut self) {
        let Some(replica) = self.replica.as_ref().filter(|r| r.leads()) else {
            return;
        };
        let deciding = replica.deciding();
        let stands = |name: &String| match *name == self.me {
            true => Some((MemberStatus::Alive, 0)),
            false => self.peers.get(name).map(|p| p.stands),
        };
        let voter_slot = |&id: &u64| {
            let name = replica.state().voters.get(&id)?.clone();
            let shows = if name == self.me {
                Some(self.id)
            } else {
                self.shown(&name).map(|s| s.id)
            };
            Some(VoterSlot {
                stands: stands(&name),
                shows,
                voter: (id, name),
            })
        };
        let voter_slots: Vec<VoterSlot> = deciding.iter().filter_map(voter_slot).collect();
        let candidate = |p: &Peer| {
            let notice = p.notice.as_ref()?;
            let free = p.stands.0 == MemberStatus::Alive
                && notice.cluster == 0
                && notice.id != 0
                && !notice.unfit;
            let voter = (notice.id, p.name.clone());
            free.then(|| Candidate {
                voter,
                zone: p.zone.clone(),
                keeps: notice.keeps,
                for_long: p.stands.1,
            })
        };
        let candidates: Vec<Candidate> = self.peers.values().filter_map(candidate).collect();
        let there = voter_slots
            .iter()
            .filter(|s| s.stands.is_some_and(|s| s.0 != MemberStatus::Down));
        let zone_of = |s: &VoterSlot| match s.voter.1 == self.me {
            true => Some(self.options.zone.clone()),
            false => self.peers.get(&s.voter.1).map(|p| p.zone.clone()),
        };
        let zones: Vec<String> = there.filter_map(zone_of).collect();
        let (after, all_keep) = (self.options.replace_after, self.all_keep());
        let learner = replica.learner().map(|(id, near)| {
            let name = replica.state().voters.get(&id);
            let shown = name.and_then(|n| self.shown(n)).is_some_and(|s| s.id == id);
            (id, near, shown)
        });
        let next =
            reconfiguration::next(&voter_slots, learner, &candidates, &zones, after, all_keep);
        if let (Some(change), Some(replica)) = (next, &mut self.replica) {
            self.counters.changes += u64::from(replica.change(&change));
        }
    }

    /// Who has no replica, or one that nobody tells anything, looks for something newer than it has read.
    fn read(&mut self, now: Micros) {
        let leaderless = self
            .leaderless
            .is_some_and(|since| now > since + LEADERLESS);
        if self
            .replica
            .as_ref()
            .is_some_and(|r| r.votes() && !r.broken && !r.beyond)
            && !leaderless
        {
            return;
        }
        let known = self.notice().knows;
        let tells = |p: &&Peer| p.is_there();
        let notices = || {
            self.peers
                .values()
                .filter(tells)
                .filter_map(|p| Some((p, p.notice.as_ref()?)))
        };
        // Which log: one that has a leader, the latest founded if there are several.
        let led = notices()
            .filter(|(_, n)| n.votes && !n.leader.is_empty())
            .max_by_key(|(_, n)| n.term);
        // Without one, what others know of an earlier one.
        let told = notices()
            .map(|(_, n)| n.knows)
            .filter(|k| k.0 != 0)
            .max_by_key(|k| k.1);
        let cluster = led.map_or(
            if known.0 != 0 {
                known.0
            } else {
                told.map_or(0, |k| k.0)
            },
            |(_, n)| n.cluster,
        );
        if cluster == 0 {
            return;
        }
        let index = if cluster == known.0 { known.1 } else { 0 };
        let newer: Vec<&String> = notices()
            .filter(|(_, n)| n.knows.0 == cluster && n.knows.1 > index)
            .map(|(p, _)| &p.name)
            .collect();
        let voting: Vec<&String> = newer
            .iter()
            .copied()
            .filter(|n| {
                self.peers
                    .get(*n)
                    .and_then(|p| p.notice.as_ref())
                    .is_some_and(|n| n.votes)
            })
            .collect();
        // A voter that may have been replaced must hear it from one that decides.
        let ask = if self.replica.is_some() {
            &voting
        } else {
            &newer
        };
        if let Some(&name) = ask.choose(&mut self.rng) {
            let name = name.clone();
            self.say(&name, &Word::Newer { cluster, index });
        }
    }

    fn go_on_asking(&mut self, now: Micros, clock: Micros) {
        // Those that wait behind another lose patience, too; what was never sent is over with that.
        let mut over = Vec::new();
        self.asks.retain_mut(|a| {
            let late = clock > a.until && !a.given_up;
            if late {
                a.given_up = true;
                over.push(a.request);
            }
            !(a.given_up && a.sent.is_none())
        });
        for request in over {
            self.counters.unanswered += 1;
            self.outcomes
                .push_back((request, Err(RequestError::TimedOut)));
        }
        let cluster = self.cluster();
        let Some(asking) = self.asks.front_mut().filter(|a| now >= a.again) else {
            return;
        };
        if cluster == 0 {
            return;
        }
        asking.again = now + ASK_AGAIN;
        if asking.sent.is_none() {
            self.counters.asked += 1;
            asking.sent = Some(clock);
        }
        let (session, request, command) = (asking.session, asking.request, asking.command.clone());
        let me = self.me.clone();
        if let Some(outcome) = self.state().rights.outcome(&me, session, request).cloned() {
            return self.answered(clock, request, outcome);
        }
        if self.has_agreed(clock, &me, (session, request), command.clone()) {
            return;
        }
        let leader = self.leader().filter(|l| *l != me);
        let voters: Vec<String> = self
            .state()
            .voters
            .values()
            .filter(|v| **v != me)
            .cloned()
            .collect();
        let to = leader.or_else(|| voters.choose(&mut self.rng).cloned());
        if let Some(to) = to {
            self.say(
                &to,
                &Word::Ask {
                    cluster,
                    session,
                    request,
                    command,
                },
            );
        }
    }

    /// How things stand.
    pub fn view(&self) -> View {
        let state = self.state();
        let there =
            |name: &String| *name == self.me || self.peers.get(name).is_some_and(|p| p.is_there());
        let part = match (&self.replica, &self.founding) {
            (Some(r), _) if r.broken || r.beyond => Role::Failed,
            (Some(r), _) if r.votes() => Role::Voting,
            (Some(_), _) => Role::Learning,
            (None, Some(_)) => Role::Bootstrapping,
            (None, None) => Role::Observing,
        };
        let deciding = self
            .replica
            .as_ref()
            .filter(|r| r.votes())
            .map(Replica::deciding);
        let decides = |id: &u64| deciding.as_ref().is_none_or(|d| d.contains(id));
        View {
            part,
            cluster: self.notice().knows.0,
            leader: self.leader(),
            term: self.replica.as_ref().map_or(0, Replica::term),
            index: self.notice().knows.1,
            voters: state
                .voters
                .iter()
                .filter(|v| decides(v.0))
                .map(|v| (v.1.clone(), there(v.1)))
                .collect(),
            missing: self
                .founding
                .as_ref()
                .map_or(Vec::new(), |f| f.missing(|n| self.shown(n))),
            lent: state
                .rights
                .all()
                .map(|s| (s.fence, s.right.clone(), s.left))
                .collect(),
        }
    }

    /// Our replica, for those who watch.
    pub fn replica(&self) -> Option<&Replica> {
        self.replica.as_ref()
    }
}

fn fresh_id(session: u64, rng: &mut SmallRng) -> u64 {
    (session >> 20).max(1) << 20 | u64::from(rng.random::<u32>() & 0xf_ffff)
}
