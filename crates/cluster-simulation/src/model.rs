//! A model of a right that is lent, for `stateright`: three voters, two that ask, one crash, one cut, and clocks that stand
//! still or go on. The state that entries make is the real one ([`Leases`]); of the log's engine only the rules are here:
//! terms, votes for logs that lack nothing, agreed once a majority has an entry of the leader's own term. Calls between two
//! are one step; what is asked may come to any leader, early, late and again. It begins with a leader, the same each time, as
//! voters are alike.
//!
//! Checked in all states that can be reached: at no time do both act on the one right there is; and what was agreed once
//! is never another.

use driftfront_cluster::consensus::leases::{Command, Entry, Leases, Outcome, RequestId};
use stateright::{Model, Property};

const VOTERS: usize = 3;
const ASKERS: usize = 2;
/// A right is lent for so many units of time.
const SPAN: u64 = 2;

/// How far the model goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Units of time.
    pub time: u64,
    /// Terms.
    pub terms: u8,
    /// Entries of a log.
    pub entries: usize,
    /// Faults that are tried out: a right that is used for too long, which the check must find.
    pub wrong: Wrong,
}

/// What a mistaken build would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Nothing.
    Nothing,
    /// The holder counts from the answer instead of from its asking.
    FromTheAnswer,
    /// A leader's time begins with its own clock, ahead of what was agreed.
    OwnClock,
}

/// A log's entry: its term, and what it says; a leader's first says nothing.
type Logged = (u8, Option<Entry>);

/// A voter. What is written survives a crash.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    up: bool,
    term: u8,
    leads: bool,
    log: Vec<Logged>,
    agreed: usize,
    /// As a leader: what each has of its log; the log's time, once it knows all that was agreed; and how much of it did not
    /// count, as it was held up.
    has: [usize; VOTERS],
    time: Option<u64>,
    lag: u64,
}

/// One that asks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Asker {
    /// Its request under way, and when it was first sent.
    asked: Option<(u64, Command)>,
    request: u64,
    /// What it holds, and until when.
    holds: Option<(u64, u64)>,
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: u64,
    voters: Vec<Voter>,
    askers: Vec<Asker>,
    crashes: u8,
    cuts: u8,
    cut: Option<usize>,
    /// Entries that were agreed, as the first that agreed had them.
    agreed: Vec<Logged>,
    /// Two had different ones.
    split: bool,
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time goes on, and with it that of leaders.
    Tick,
    /// A leader was held up meanwhile: a unit of its time does not count.
    Lag(usize),
    /// A voter ends.
    Crash(usize),
    /// It is back.
    Start(usize),
    /// It is cut off.
    Cut(usize),
    /// It is not any more.
    Heal,
    /// It asks all that it reaches to lead.
    Elect(usize),
    /// The leader tells one its log.
    Tell(usize, usize),
    /// One asks for the right.
    Ask(usize),
    /// What it asked comes to a leader.
    Propose(usize, usize),
    /// A voter tells it what became of that.
    Answer(usize, usize),
    /// It gives the right back.
    Release(usize),
}

impl World {
    fn reach(&self, a: usize, b: usize) -> bool {
        self.voters[a].up && self.voters[b].up && self.cut != Some(a) && self.cut != Some(b)
    }

    fn rights(&self, voter: usize) -> Leases {
        let v = &self.voters[voter];
        let mut rights = Leases::default();
        for (n, (_, entry)) in v.log[..v.agreed].iter().enumerate() {
            if let Some(entry) = entry {
                rights.apply(n as u64 + 1, entry.clone());
            }
        }
        rights
    }

    /// Counts what a majority has, and notes what is agreed.
    fn agree(&mut self, leader: usize) {
        let v = &self.voters[leader];
        let by_majority = |n: usize| (0..VOTERS).filter(|&o| v.has[o] >= n).count() > VOTERS / 2;
        let own = |n: &usize| v.log[n - 1].0 == v.term;
        if let Some(n) = (v.agreed + 1..=v.log.len())
            .rev()
            .filter(own)
            .find(|&n| by_majority(n))
        {
            self.voters[leader].agreed = n;
            if self.voters[leader].time.is_none() {
                self.voters[leader].time = Some(self.rights(leader).time());
            }
        }
        self.note(leader);
    }

    fn note(&mut self, voter: usize) {
        let v = &self.voters[voter];
        let known = &v.log[..v.agreed];
        let both = known.len().min(self.agreed.len());
        self.split |= known[..both] != self.agreed[..both];
        if known.len() > self.agreed.len() {
            self.agreed = known.to_vec();
        }
    }

    fn acts(&self, asker: usize) -> bool {
        self.askers[asker]
            .holds
            .is_some_and(|(_, until)| self.now < until)
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let voter = |n: usize| Voter {
            up: true,
            term: 1,
            leads: n == 0,
            log: vec![(1, None)],
            agreed: 1,
            has: if n == 0 { [1; VOTERS] } else { [0; VOTERS] },
            time: (n == 0).then_some(0),
            lag: 0,
        };
        let asker = Asker {
            asked: None,
            request: 0,
            holds: None,
        };
        vec![World {
            now: 0,
            voters: (0..VOTERS).map(voter).collect(),
            askers: vec![asker; ASKERS],
            crashes: 0,
            cuts: 0,
            cut: None,
            agreed: Vec::new(),
            split: false,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.now < self.time {
            steps.push(Step::Tick);
        }
        // Two that can't be told apart need not both be tried.
        let alike = w.voters[1] == w.voters[2]
            && w.voters[0].has[1] == w.voters[0].has[2]
            && !matches!(w.cut, Some(1 | 2));
        for (n, v) in w
            .voters
            .iter()
            .enumerate()
            .filter(|(n, _)| !(alike && *n == 2))
        {
            match v.up {
                true if w.crashes == 0 => steps.push(Step::Crash(n)),
                false => steps.push(Step::Start(n)),
                _ => {}
            }
            if w.cuts == 0 {
                steps.push(Step::Cut(n));
            }
            if v.leads && v.lag == 0 && w.now > 0 && v.time.is_some_and(|t| t > w.rights(n).time())
            {
                steps.push(Step::Lag(n));
            }
            if v.up && v.term < self.terms && !v.leads {
                steps.push(Step::Elect(n));
            }
            for other in
                (0..VOTERS).filter(|&o| o != n && v.leads && w.reach(n, o) && !(alike && o == 2))
            {
                steps.push(Step::Tell(n, other));
            }
            for (a, asker) in w.askers.iter().enumerate().filter(|_| v.up) {
                if asker.asked.is_some() && v.leads && v.log.len() < self.entries {
                    steps.push(Step::Propose(n, a));
                }
                if asker.asked.is_some() {
                    steps.push(Step::Answer(n, a));
                }
            }
        }
        if w.cut.is_some() {
            steps.push(Step::Heal);
        }
        for (a, asker) in w
            .askers
            .iter()
            .enumerate()
            .filter(|(_, a)| a.asked.is_none())
        {
            match asker.holds {
                None if asker.request < 1 => steps.push(Step::Ask(a)),
                // One gives back what it holds, the other lets it end.
                Some(_) if asker.request < 2 && a == 0 => steps.push(Step::Release(a)),
                _ => {}
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut w = before.clone();
        match step {
            Step::Tick => {
                w.now += 1;
                w.voters
                    .iter_mut()
                    .filter(|v| v.leads)
                    .for_each(|v| v.time = v.time.map(|t| t + 1));
            }
            Step::Lag(n) => {
                let v = &mut w.voters[n];
                (v.time, v.lag) = (v.time.map(|t| t - 1), 1);
            }
            Step::Crash(n) => {
                (w.voters[n].up, w.voters[n].leads, w.voters[n].time) = (false, false, None);
                w.crashes += 1;
            }
            Step::Start(n) => w.voters[n].up = true,
            Step::Cut(n) => {
                w.cut = Some(n);
                w.cuts += 1;
            }
            Step::Heal => w.cut = None,
            Step::Elect(n) => {
                let term = w.voters[n].term + 1;
                let log = |v: &Voter| (v.log.last().map_or(0, |e| e.0), v.log.len());
                let own = log(&w.voters[n]);
                let votes = |o: &usize| {
                    *o != n
                        && w.reach(n, *o)
                        && w.voters[*o].term < term
                        && log(&w.voters[*o]) <= own
                };
                let voters: Vec<usize> = (0..VOTERS).filter(votes).collect();
                // One that does not win changes terms alone: another's, that does, changes them as well.
                if voters.len() < VOTERS / 2 {
                    return None;
                }
                for o in voters {
                    (w.voters[o].term, w.voters[o].leads, w.voters[o].time) = (term, false, None);
                }
                let v = &mut w.voters[n];
                (v.term, v.leads, v.time, v.lag) = (term, true, None, 0);
                v.log.push((term, None));
                v.has = [0; VOTERS];
                v.has[n] = v.log.len();
            }
            Step::Tell(n, o) => {
                let leader = w.voters[n].clone();
                let other = &mut w.voters[o];
                if other.term > leader.term {
                    let term = other.term;
                    (w.voters[n].term, w.voters[n].leads, w.voters[n].time) = (term, false, None);
                    return Some(w);
                }
                (other.term, other.leads, other.time) = (leader.term, false, None);
                // What one that leads tells is never less than what it told this one before, in its term.
                other.log.clone_from(&leader.log);
                other.agreed = other.agreed.max(leader.agreed);
                w.note(o);
                w.voters[n].has[o] = leader.log.len();
                w.agree(n);
            }
            Step::Ask(a) => {
                let take = Command::Acquire {
                    resource: "p".into(),
                    amount: 1,
                    limit: 1,
                    duration: SPAN,
                    stays: false,
                    note: String::new(),
                };
                let asker = &mut w.askers[a];
                asker.request += 1;
                asker.asked = Some((w.now, take));
            }
            Step::Release(a) => {
                let asker = &mut w.askers[a];
                let (fence, _) = asker.holds.take()?;
                asker.request += 1;
                asker.asked = Some((w.now, Command::Release { fence }));
            }
            Step::Propose(n, a) => {
                let v = &w.voters[n];
                let knows_all = v.agreed > 0 && v.log[v.agreed - 1].0 == v.term;
                if !knows_all {
                    return None;
                }
                let (_, command) = w.askers[a].asked.clone()?;
                let request = w.askers[a].request;
                let again = |e: &Logged| {
                    e.1.as_ref()
                        .is_some_and(|e| e.owner == a.to_string() && e.request == request)
                };
                // A leader proposes what it has in its log already no second time; another one may.
                if v.log.iter().any(|e| again(e) && e.0 == v.term) {
                    return None;
                }
                let last = v
                    .log
                    .iter()
                    .filter_map(|e| e.1.as_ref())
                    .map(|e| e.time)
                    .max()
                    .unwrap_or(0);
                let time = match self.wrong {
                    Wrong::OwnClock => last + w.now,
                    _ => v.time.unwrap_or(last).max(last),
                };
                let entry = Entry {
                    time,
                    owner: a.to_string(),
                    session: 1,
                    request,
                    command,
                };
                let v = &mut w.voters[n];
                v.log.push((v.term, Some(entry)));
                v.has[n] = v.log.len();
            }
            Step::Answer(n, a) => {
                let asker = &w.askers[a];
                let outcome = w
                    .rights(n)
                    .outcome(
                        &a.to_string(),
                        RequestId {
                            session: 1,
                            number: asker.request,
                        },
                    )
                    .cloned()?;
                let asker = &mut w.askers[a];
                let (at, _) = asker.asked.take()?;
                let from = if self.wrong == Wrong::FromTheAnswer {
                    w.now
                } else {
                    at
                };
                if let Outcome::Granted { fence } = outcome {
                    asker.holds = Some((fence, from + SPAN));
                }
            }
        }
        (w != *before).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never both", |_, w: &World| !(w.acts(0) && w.acts(1))),
            Property::always("agreed once", |_, w: &World| !w.split),
            Property::sometimes("one after the other", |_, w: &World| {
                w.askers[0].holds.is_some() && !w.acts(0) && w.acts(1)
            }),
        ]
    }
}
