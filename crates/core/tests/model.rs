//! Random steps against a model of what a coordinator owes: one final answer for each request, the rules
//! of its class for each attempt, and an order for each key.
#![allow(
    clippy::cast_possible_truncation,
    clippy::needless_pass_by_value,
    reason = "the numbers of this test are small; quickcheck calls by value"
)]

use driftfront_core::{
    AttemptKey, Cause, Command, Core, EngineId, Limits, ListKind, ListedEngine, Micros,
    ParsedRequest, Phase, Progress, RequestId, ResponseChunk, SettledOutcome, StickySession,
};
use driftfront_test_support::request_core::{core, listed, settings, LIMITS, LOAD, LOOKUP};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::rc::Rc;

const ENGINES: u64 = 3;

#[derive(Clone, Debug)]
enum Step {
    Accept {
        load: bool,
        key: u8,
        ms: u16,
        twin: bool,
        pin: u8,
        once: bool,
    },
    PassTime {
        ms: u16,
    },
    Phase {
        engine: u8,
        draining: bool,
    },
    Write {
        pick: u8,
    },
    ResponseChunk {
        pick: u8,
    },
    Serve {
        pick: u8,
    },
    Fail {
        pick: u8,
        how: u8,
    },
    ClientLeaves {
        pick: u8,
    },
    /// Some of a body that is not kept goes out.
    ForwardBody {
        pick: u8,
    },
    Cancel {
        pick: u8,
    },
    Release {
        pick: u8,
    },
    ProbeEnded {
        fine: bool,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 17 {
            0..=3 => {
                let (load, ms) = (bool::arbitrary(g), u16::arbitrary(g) % 3000);
                let (pin, once) = (u8::arbitrary(g), u8::arbitrary(g) % 4 == 0);
                Step::Accept {
                    load,
                    key: pick % 3,
                    ms,
                    twin: pick > 220,
                    pin,
                    once,
                }
            }
            4..=5 => Step::PassTime {
                ms: u16::arbitrary(g) % 700,
            },
            6 => Step::Phase {
                engine: pick,
                draining: bool::arbitrary(g),
            },
            7..=8 => Step::Write { pick },
            9 => Step::ResponseChunk { pick },
            10 => Step::Serve { pick },
            11 => Step::Fail {
                pick,
                how: u8::arbitrary(g),
            },
            12 => Step::ClientLeaves { pick },
            13 => Step::ForwardBody { pick },
            14 => Step::Cancel { pick },
            15 => Step::Release { pick },
            _ => Step::ProbeEnded {
                fine: bool::arbitrary(g),
            },
        }
    }
}

/// What the model knows of a request.
struct KnownRequest {
    class: u16,
    name: String,
    key: u64,
    deadline: Micros,
    order: usize,
    answered: bool,
    left: bool,
    chunks: usize,
    /// An attempt may have run.
    ran: bool,
    sends: usize,
    /// The only engine that it may go to.
    only: Option<EngineId>,
    is_body_forwarded: bool,
    is_cancelled: bool,
    /// Attempts that were written and not proven to have never run.
    runs: usize,
    over: bool,
}

struct Model {
    core: Core,
    now: Micros,
    known_requests: BTreeMap<RequestId, KnownRequest>,
    /// Attempts out, and whether each was written.
    out: BTreeMap<AttemptKey, (EngineId, bool)>,
    draining: Vec<bool>,
    probes: Vec<u64>,
}

impl Model {
    fn new() -> Model {
        let mut model = Model {
            core: core(
                settings(str::to_string),
                Limits {
                    max_unknown_outcomes: 8,
                    ..LIMITS
                },
            ),
            now: 1_000_000_000,
            known_requests: BTreeMap::new(),
            out: BTreeMap::new(),
            draining: vec![false; ENGINES as usize],
            probes: Vec::new(),
        };
        model.list();
        model
    }

    fn list(&mut self) {
        let line = |(n, &draining): (usize, &bool)| {
            listed(
                n as u64,
                if draining {
                    Phase::Draining
                } else {
                    Phase::Ready
                },
            )
        };
        let lines: Vec<ListedEngine> = self.draining.iter().enumerate().map(line).collect();
        self.core.update_engines(self.now, ListKind::Full, &lines);
    }

    fn pick<T: Clone>(from: impl Iterator<Item = T>, pick: u8) -> Option<T> {
        let all: Vec<T> = from.collect();
        all.get(usize::from(pick) % all.len().max(1)).cloned()
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Accept { .. } => self.accept_request(step),
            Step::PassTime { ms } => self.pass_time(ms),
            Step::Phase { engine, draining } => self.change_phase(engine, draining),
            Step::Write { pick } => self.write_attempt(pick),
            Step::ResponseChunk { pick } => self.forward_chunk(pick),
            Step::Serve { pick } => self.complete_attempt(pick),
            Step::Fail { pick, how } => self.fail_attempt(pick, how),
            Step::ClientLeaves { pick } => self.client_leaves(pick),
            Step::ForwardBody { pick } => self.forward_body(pick),
            Step::Cancel { pick } => self.cancel_request(pick),
            Step::Release { pick } => self.release_attempt(pick),
            Step::ProbeEnded { fine } => self.end_probe(fine),
        }
        self.commands();
    }

    fn accept_request(&mut self, step: &Step) {
        let Step::Accept {
            load,
            key,
            ms,
            twin,
            pin,
            once,
        } = *step
        else {
            return;
        };
        let order = self.known_requests.len();
        let name = if twin {
            "twin".into()
        } else {
            format!("c{order}")
        };
        let class = if load { LOAD } else { LOOKUP };
        let budget = Micros::from(ms) * 1000;
        let engine = EngineId(u64::from(pin) % ENGINES);
        let pin = (pin > 150).then_some(StickySession {
            engine,
            is_exclusive: pin > 200,
        });
        let parsed = ParsedRequest {
            name: name.as_str().into(),
            class,
            table_group: 1,
            ordering_key: load.then_some(u64::from(key) + 1),
            client_timeout: budget,
            statement: Rc::from(*b"x"),
            sticky_session: pin,
            is_body_streamed: once,
            ticket: order as u64 + 1,
            ..ParsedRequest::default()
        };
        let id = self.core.accept_request(self.now, parsed);
        let known = KnownRequest {
            class,
            name,
            key: u64::from(key) + 1,
            deadline: self.now + budget,
            order,
            answered: false,
            left: false,
            chunks: 0,
            ran: false,
            sends: 0,
            only: pin.filter(|p| p.is_exclusive).map(|p| p.engine),
            is_body_forwarded: false,
            is_cancelled: false,
            runs: 0,
            over: false,
        };
        assert!(
            self.known_requests.insert(id, known).is_none(),
            "an id was used twice"
        );
    }

    fn pass_time(&mut self, ms: u16) {
        // Timers come due one by one, as the event loop lets them.
        let end = self.now + Micros::from(ms) * 1000;
        while let Some(due) = self.core.next_due().filter(|&due| due <= end) {
            self.now = self.now.max(due);
            self.core.fire_timers(self.now);
            self.commands();
        }
        self.now = end;
    }

    fn change_phase(&mut self, engine: u8, draining: bool) {
        self.draining[usize::from(engine) % ENGINES as usize] = draining;
        self.list();
    }

    fn write_attempt(&mut self, pick: u8) {
        let unwritten = self.out.iter().filter(|o| !o.1 .1).map(|o| *o.0);
        if let Some(key) = Model::pick(unwritten, pick) {
            self.core.record_progress(key, Progress::Connected);
            let engine = self.out[&key].0;
            if self.core.may_write_attempt(self.now, key).is_some() {
                assert!(
                    !self.draining[engine.0 as usize],
                    "written to an engine that drains"
                );
                self.core.record_progress(key, Progress::FullyWritten);
                self.out.insert(key, (engine, true));
                let known = self.known_requests.get_mut(&key.request).expect("known");
                assert!(!known.is_cancelled, "written after it was called off");
                (known.ran, known.runs) = (true, known.runs + 1);
            } else {
                self.out.remove(&key);
            }
        }
    }

    fn forward_chunk(&mut self, pick: u8) {
        if let Some(key) = self.written(pick) {
            self.core.forward_chunk(
                key,
                ResponseChunk {
                    headers: Vec::new(),
                    rows: b"r".to_vec(),
                    is_only_chunk: false,
                },
            );
        }
    }

    fn complete_attempt(&mut self, pick: u8) {
        if let Some(key) = self.written(pick) {
            self.out.remove(&key);
            self.core.complete_attempt(self.now, key);
        }
    }

    fn fail_attempt(&mut self, pick: u8, how: u8) {
        if let Some(key) = Model::pick(self.out.keys().copied(), pick) {
            let (_, written) = self.out[&key];
            let cause = match how % 5 {
                0 => Cause::Connection("reset".into()),
                1 if written => Cause::Rejected,
                2 if written => Cause::Engine("fault".into()),
                4 if written => Cause::MalformedResponse("noise".into()),
                3 if written => Cause::Statement("syntax".into()),
                _ => Cause::Connection("reset".into()),
            };
            if cause == Cause::Rejected {
                let known = self.known_requests.get_mut(&key.request).expect("known");
                (known.ran, known.runs) = (false, known.runs - 1);
            }
            self.out.remove(&key);
            self.core.attempt_failed(self.now, key, cause);
        }
    }

    fn client_leaves(&mut self, pick: u8) {
        let open = self
            .known_requests
            .iter()
            .filter(|k| !k.1.answered && !k.1.left)
            .map(|k| *k.0);
        if let Some(id) = Model::pick(open, pick) {
            self.known_requests.get_mut(&id).expect("known").left = true;
            self.core.client_left(self.now, id);
        }
    }

    fn forward_body(&mut self, pick: u8) {
        if let Some(key) = self.written(pick) {
            self.known_requests
                .get_mut(&key.request)
                .expect("known")
                .is_body_forwarded = true;
            self.core.mark_body_forwarded(key.request);
        }
    }

    fn cancel_request(&mut self, pick: u8) {
        let open = self
            .known_requests
            .iter()
            .filter(|k| !k.1.answered && !k.1.left)
            .map(|k| *k.0);
        if let Some(id) = Model::pick(open, pick) {
            // Of two under one name the first is meant.
            let name = self.known_requests[&id].name.clone();
            let named = |k: &&mut KnownRequest| k.name == name && !k.answered && !k.left;
            self.known_requests
                .values_mut()
                .find(named)
                .expect("open")
                .is_cancelled = true;
            assert!(self
                .core
                .cancel_request(self.now, &name, "Code: 394. DB::Exception: x"));
        }
    }

    fn release_attempt(&mut self, pick: u8) {
        let reads = self
            .known_requests
            .iter()
            .filter(|k| k.1.class == LOOKUP && k.1.left)
            .map(|k| *k.0);
        if let Some(id) = Model::pick(reads, pick) {
            self.core.release_attempt(self.now, id);
        }
    }

    fn end_probe(&mut self, fine: bool) {
        if let Some(tag) = self.probes.pop() {
            let outcome = if fine {
                driftfront_core::Outcome::Ok
            } else {
                driftfront_core::Outcome::Error
            };
            self.core.record_probe(self.now, tag, outcome, &[]);
        }
    }

    fn written(&self, pick: u8) -> Option<AttemptKey> {
        Model::pick(self.out.iter().filter(|o| o.1 .1).map(|o| *o.0), pick)
    }

    fn commands(&mut self) {
        while let Some(command) = self.core.next_command() {
            match command {
                Command::StartAttempt(key, engine) => self.sent(key, engine),
                Command::AbandonAttempt(key, _) => drop(self.out.remove(&key)),
                Command::Probe(_, tag) => self.probes.push(tag),
                Command::ForwardChunk(id, _) => {
                    let known = self.known_requests.get_mut(&id).expect("known");
                    assert!(!known.answered && !known.left, "a piece behind the end");
                    known.chunks += 1;
                }
                Command::Reject(id, ..) => {
                    let known = &self.known_requests[&id];
                    assert_eq!(known.chunks, 0, "refused behind a piece");
                    assert!(
                        known.class == LOOKUP || !known.ran,
                        "refused, though it may have run"
                    );
                    self.answered(id);
                }
                Command::Fail(id, _) => {
                    assert_eq!(
                        self.known_requests[&id].chunks, 0,
                        "failed as if nothing had been passed on"
                    );
                    self.answered(id);
                }
                Command::Abort(id, _) => {
                    assert!(
                        self.known_requests[&id].chunks > 0,
                        "nothing there to break"
                    );
                    self.answered(id);
                }
                Command::Finish(id) => self.answered(id),
                Command::Settled(ticket, fate) => {
                    let id = *self
                        .known_requests
                        .iter()
                        .find(|k| k.1.order as u64 + 1 == ticket)
                        .expect("taken")
                        .0;
                    let out = self.out.keys().any(|k| k.request == id);
                    let known = self.known_requests.get_mut(&id).expect("known");
                    assert!(!known.over && !out, "over twice, or with something out");
                    assert_eq!(
                        fate == SettledOutcome::NeverRan,
                        known.runs == 0,
                        "{fate:?} of {} runs",
                        known.runs
                    );
                    known.over = true;
                }
                Command::ForgetEngine(_) | Command::Log(_) => {}
            }
        }
    }

    fn sent(&mut self, key: AttemptKey, engine: EngineId) {
        assert!(
            !self.draining[engine.0 as usize],
            "sent to an engine that drains"
        );
        assert!(
            self.out.keys().all(|o| o.request != key.request),
            "two attempts at once"
        );
        let known = &self.known_requests[&key.request];
        assert!(
            !known.answered && !known.left && known.chunks == 0,
            "sent behind the end"
        );
        assert!(known.sends < 6, "a seventh attempt");
        assert!(
            known.only.is_none_or(|only| only == engine),
            "sent to another engine than its only one"
        );
        assert!(!known.is_cancelled, "sent after it was called off");
        assert!(
            !known.is_body_forwarded,
            "sent again, though its body is not kept"
        );
        let namesake = |k: &KnownRequest| {
            k.name == known.name && k.order < known.order && !k.answered && !k.left
        };
        assert!(
            !self.known_requests.values().any(namesake),
            "sent under the name of another that is open"
        );
        assert!(
            known.class == LOOKUP || !known.ran,
            "a load sent again, though it may have run"
        );
        if known.class == LOAD {
            let same =
                |k: &&KnownRequest| k.class == LOAD && k.key == known.key && k.order < known.order;
            assert!(
                self.known_requests
                    .values()
                    .filter(same)
                    .all(|k| k.answered || k.left),
                "out of its key's order"
            );
            let out = self.out.keys().map(|o| &self.known_requests[&o.request]);
            assert!(
                out.filter(|k| k.class == LOAD).all(|k| k.key != known.key),
                "two of a key at once"
            );
        }
        self.known_requests
            .get_mut(&key.request)
            .expect("known")
            .sends += 1;
        self.out.insert(key, (engine, false));
    }

    fn answered(&mut self, id: RequestId) {
        let known = self.known_requests.get_mut(&id).expect("known");
        assert!(!known.answered && !known.left, "a second answer");
        assert!(self.now <= known.deadline, "too late");
        known.answered = true;
    }
}

fn keeps_promises(steps: Vec<Step>) -> bool {
    let mut model = Model::new();
    for step in &steps {
        model.step(step);
    }
    // Whatever is still open is answered by itself.
    model.step(&Step::PassTime { ms: 3_100 });
    assert!(
        model.known_requests.values().all(|k| k.answered || k.left),
        "no answer"
    );
    assert!(
        model.known_requests.values().all(|k| k.over),
        "its end was never told"
    );
    assert_eq!(model.core.open_requests(), 0);
    let c = model.core.counters();
    let answers = c.answers_served
        + c.answers_rejected
        + c.answers_failed
        + c.answers_aborted
        + c.clients_left;
    assert_eq!(c.requests_accepted, answers);
    true
}

#[test]
fn random_steps_keep_every_promise() {
    let mut check = QuickCheck::new()
        .tests(400)
        .rng(Gen::from_size_and_seed(250, 20_261_201));
    check.quickcheck(keeps_promises as fn(Vec<Step>) -> bool);
}
