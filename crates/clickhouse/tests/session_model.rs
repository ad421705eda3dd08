//! Compares the session table with a simple model under random steps.

use driftfront_clickhouse::session::{
    Micros, QueryOutcome, SessionAffinity, SessionEffect, SessionError, SessionQuery, SessionTable,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{HashMap, HashSet};

const SECOND: Micros = 1_000_000;
const TIMEOUT: Micros = 100 * SECOND;
const MAX_SESSIONS: usize = 8;
const MAX_PROBATIONARY: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin {
        id: u8,
        must_exist: bool,
        leaves_state: bool,
    },
    End {
        id: u8,
        engine: u8,
        outcome: Outcome,
    },
    RemoveEngine(u8),
    AdvanceTime(Micros),
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    NeverRan,
    Unknown,
    Succeeded,
    Failed,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (a, b, c) = (u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g));
        let id = a % 12;
        match u8::arbitrary(g) % 8 {
            0..=3 => Step::Begin {
                id,
                must_exist: b % 2 == 0,
                leaves_state: c % 3 == 0,
            },
            4..=5 => Step::End {
                id,
                engine: b % 3,
                outcome: match c % 4 {
                    0 => Outcome::NeverRan,
                    1 => Outcome::Unknown,
                    2 => Outcome::Succeeded,
                    _ => Outcome::Failed,
                },
            },
            6 => Step::RemoveEngine(b % 3),
            _ => Step::AdvanceTime(u64::from(b) * SECOND / 4),
        }
    }
}

/// A stateful session of the model.
struct StatefulSession {
    engine: u8,
    expires: Micros,
}

/// The table under test and the expected state.
struct Model {
    table: SessionTable<u8>,
    now: Micros,
    /// Sessions with a running query, and whether the query leaves state.
    running: HashMap<u8, bool>,
    stateful: HashMap<u8, StatefulSession>,
    /// Sessions whose state was lost while a query ran.
    lost: HashSet<u8>,
}

impl Model {
    fn new() -> Model {
        Model {
            table: SessionTable::with_limits(3, MAX_SESSIONS, MAX_PROBATIONARY),
            now: 0,
            running: HashMap::new(),
            stateful: HashMap::new(),
            lost: HashSet::new(),
        }
    }

    /// Applies a step; returns whether the table behaved as expected.
    fn step(&mut self, step: Step) -> bool {
        let is_expected = match step {
            Step::Begin {
                id,
                must_exist,
                leaves_state,
            } => self.begin(id, must_exist, leaves_state),
            Step::End {
                id,
                engine,
                outcome,
            } => {
                self.end(id, engine, outcome);
                true
            }
            Step::RemoveEngine(engine) => {
                self.remove_engine(engine);
                true
            }
            Step::AdvanceTime(time) => {
                self.now += time;
                true
            }
        };
        let (now, running) = (self.now, &self.running);
        self.stateful
            .retain(|id, session| session.expires > now || running.contains_key(id));
        is_expected && self.limits_hold()
    }

    fn begin(&mut self, id: u8, must_exist: bool, leaves_state: bool) -> bool {
        let query = SessionQuery {
            session: self.table.key("u", &id.to_string()),
            must_exist,
            timeout: Some(TIMEOUT),
            effect: if leaves_state {
                SessionEffect::LeavesState
            } else {
                SessionEffect::None
            },
        };
        let begun = self.table.begin_query(self.now, &query);
        if self.running.contains_key(&id) {
            return begun == Err(SessionError::Locked);
        }
        let stateful = self.stateful.get(&id).filter(|s| s.expires > self.now);
        match (begun, stateful) {
            (Ok(affinity), Some(session)) => {
                let expected = SessionAffinity {
                    engine: session.engine,
                    is_exclusive: true,
                };
                self.running.insert(id, leaves_state);
                affinity == Some(expected)
            }
            (Err(_), Some(_)) => false,
            (Ok(_), None) => {
                self.running.insert(id, leaves_state);
                true
            }
            (Err(_), None) => true,
        }
    }

    fn end(&mut self, id: u8, engine: u8, outcome: Outcome) {
        let Some(leaves_state) = self.running.remove(&id) else {
            return;
        };
        // A stateful session's query can only have run on its engine.
        let engine = self.stateful.get(&id).map_or(engine, |s| s.engine);
        let ran = |succeeded| QueryOutcome::Ran { engine, succeeded };
        let (outcome, may_have_succeeded) = match outcome {
            Outcome::NeverRan => (QueryOutcome::NeverRan, false),
            Outcome::Unknown => (QueryOutcome::Unknown { engine }, true),
            Outcome::Succeeded => (ran(true), true),
            Outcome::Failed => (ran(false), false),
        };
        let key = self.table.key("u", &id.to_string());
        self.table.end_query(self.now, key, outcome);
        let becomes_stateful = leaves_state && may_have_succeeded;
        if !self.lost.remove(&id) && (becomes_stateful || self.stateful.contains_key(&id)) {
            let session = StatefulSession {
                engine,
                expires: self.now + TIMEOUT,
            };
            self.stateful.insert(id, session);
        }
    }

    fn remove_engine(&mut self, engine: u8) {
        self.table.remove_engine(engine);
        let lost = self.stateful.extract_if(|_, s| s.engine == engine);
        let lost = lost.map(|(id, _)| id);
        self.lost
            .extend(lost.filter(|id| self.running.contains_key(id)));
    }

    /// Whether all running sessions were kept and the limit on all sessions holds.
    fn limits_hold(&self) -> bool {
        let counts = self.table.counts();
        counts.total <= MAX_SESSIONS
            && counts.not_evictable >= self.running.len()
            && self.table.is_consistent()
    }
}

/// Stateful sessions never end before their timeout and never migrate, and the limits hold.
#[test]
fn random_steps_match_the_model() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        steps.into_iter().all(|step| model.step(step))
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
