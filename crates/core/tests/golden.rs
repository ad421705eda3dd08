//! What the core sends out, shows to operators and tells clients, in long seeded runs and case by case. Commands are written in
//! this file's own fixed words, so that a rename changes nothing here.
#![allow(
    clippy::cast_possible_truncation,
    reason = "the numbers of these tests are small"
)]

use driftfront_core::lifecycle::{Lifecycle, State};
use driftfront_core::{
    AttemptError, AttemptKey, AttemptReport, Cause, Command, Core, EngineId, Limits, ListKind,
    ListedEngine, Micros, Outcome, ParsedRequest, Phase, Progress, ProgressReport, RequestId,
    ResponseChunk, SettledOutcome, StickySession,
};
use driftfront_test_support::assert_golden;
use driftfront_test_support::request_core::{core, listed, settings, LIMITS, LOAD, LOOKUP, S};
use driftfront_test_support::transcript::{Dice, Transcript};
use std::fmt::Write;
use std::rc::Rc;

const MS: Micros = 1_000;
const ENGINES: u64 = 4;

fn describe_text(error_text: &Option<Rc<str>>) -> String {
    error_text.as_ref().map_or("-".into(), |w| format!("{w:?}"))
}

fn describe_fate(fate: SettledOutcome) -> String {
    match fate {
        SettledOutcome::NeverRan => "never ran".into(),
        SettledOutcome::Ran(engine, served) => format!("ran on {}, served {served}", engine.0),
        SettledOutcome::Unknown(engine) => format!("unknown on {}", engine.0),
    }
}

/// A kind and the whole command in fixed words.
fn describe(command: &Command) -> (&'static str, String) {
    match command {
        Command::StartAttempt(key, engine) => (
            "send",
            format!("{}.{} to {}", key.request.0, key.number, engine.0),
        ),
        Command::AbandonAttempt(key, engine) => (
            "abandon",
            format!("{}.{} at {}", key.request.0, key.number, engine.0),
        ),
        Command::Probe(engine, tag) => ("probe", format!("{} tag {tag}", engine.0)),
        Command::Reject(id, advice, error_text) => (
            "refuse",
            format!("{} {advice} {}", id.0, describe_text(error_text)),
        ),
        Command::Fail(id, error_text) => {
            ("fail", format!("{} {}", id.0, describe_text(error_text)))
        }
        Command::ForwardChunk(id, piece) => (
            "chunk",
            format!(
                "{} {:?} {} bytes, last {}",
                id.0,
                piece.headers,
                piece.rows.len(),
                piece.is_only_chunk
            ),
        ),
        Command::Finish(id) => ("finish", id.0.to_string()),
        Command::Abort(id, error_text) => {
            ("break", format!("{} {}", id.0, describe_text(error_text)))
        }
        Command::Settled(ticket, fate) => ("over", format!("{ticket} {}", describe_fate(*fate))),
        Command::ForgetEngine(engine) => ("forget", engine.0.to_string()),
        Command::Log(line) => ("log", line.clone()),
    }
}

struct World {
    core: Core,
    now: Micros,
    dice: Dice,
    out: Vec<(AttemptKey, bool)>,
    open: Vec<RequestId>,
    names: u64,
    probes: Vec<u64>,
    phases: Vec<Phase>,
    transcript: Transcript,
}

impl World {
    fn new(edit: fn(&str) -> String, limits: Limits, seed: u64) -> World {
        let mut world = World {
            core: Core::new(settings(edit), limits, seed),
            now: 1_000 * S,
            dice: Dice(seed),
            out: Vec::new(),
            open: Vec::new(),
            names: 0,
            probes: Vec::new(),
            phases: vec![Phase::Ready; ENGINES as usize],
            transcript: Transcript::default(),
        };
        world.list(ListKind::Full);
        world
    }

    fn list(&mut self, kind: ListKind) {
        let lines: Vec<ListedEngine> = self
            .phases
            .iter()
            .enumerate()
            .map(|(n, &phase)| listed(n as u64, phase))
            .collect();
        self.core.update_engines(self.now, kind, &lines);
        self.commands("list");
    }

    fn commands(&mut self, what: &str) {
        while let Some(command) = self.core.next_command() {
            let (kind, description) = describe(&command);
            let line = format!("{} {what}: {kind} {description}", self.now);
            self.transcript.line(kind, &line);
            match command {
                Command::StartAttempt(key, _) => self.out.push((key, false)),
                Command::AbandonAttempt(key, _) => self.out.retain(|o| o.0 != key),
                Command::Probe(_, tag) => self.probes.push(tag),
                Command::Reject(id, ..)
                | Command::Fail(id, _)
                | Command::Finish(id)
                | Command::Abort(id, _) => self.open.retain(|&o| o != id),
                Command::ForwardChunk(..)
                | Command::Settled(..)
                | Command::ForgetEngine(_)
                | Command::Log(_) => {}
            }
        }
    }

    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(due) = self.core.next_due().filter(|&due| due <= end) {
            self.now = self.now.max(due);
            self.core.fire_timers(self.now);
            self.commands("tick");
        }
        self.now = end;
    }

    fn take(&mut self) {
        self.names += 1;
        let dice = &mut self.dice;
        let name = if dice.chance(4) {
            1 + dice.below(self.names)
        } else {
            self.names
        };
        let pinned = dice.below(12);
        let parsed = ParsedRequest {
            name: format!("q{name}").as_str().into(),
            class: [LOOKUP, LOOKUP, 1, LOAD, 9]
                [dice.below(4) as usize + usize::from(dice.chance(1))],
            work: dice.chance(50).then(|| dice.between(1e4, 4e5)),
            memory_mb: dice.chance(50).then(|| dice.between(10.0, 500.0)),
            table_group: dice.below(4) as u32,
            ordering_key: dice.chance(60).then(|| dice.below(3)),
            tenant: None,
            idempotency_key: dice.chance(70).then(|| {
                format!("t{}", dice.below(self.names / 2 + 1))
                    .as_str()
                    .into()
            }),
            client_timeout: if dice.chance(3) {
                dice.below(30 * MS)
            } else {
                S + dice.below(5 * S)
            },
            parameters: Rc::new([]),
            statement: Rc::from(*b"select 1"),
            sticky_session: (pinned < 2).then(|| StickySession {
                engine: EngineId(dice.below(ENGINES)),
                is_exclusive: pinned == 0,
            }),
            session_lost_error: dice
                .chance(50)
                .then(|| "Code: 1. DB::Exception: session lost".into()),
            is_body_streamed: dice.chance(10),
            ticket: if dice.chance(80) { self.names } else { 0 },
        };
        let class = parsed.class;
        if dice.chance(1) {
            self.core.accept_disconnected_request(self.now, parsed);
        } else {
            let id = self.core.accept_request(self.now, parsed);
            self.open.push(id);
        }
        self.commands(&format!("take class {class}"));
    }

    fn pick(&mut self, written: bool) -> Option<AttemptKey> {
        let all: Vec<AttemptKey> = self
            .out
            .iter()
            .filter(|o| o.1 == written)
            .map(|o| o.0)
            .collect();
        (!all.is_empty()).then(|| all[self.dice.below(all.len() as u64) as usize])
    }

    fn write(&mut self) {
        let Some(key) = self.pick(false) else { return };
        self.core.record_progress(key, Progress::Connected);
        let may = self.core.may_write_attempt(self.now, key);
        let name = self.core.name_on_engine(key).into_owned();
        let line = format!(
            "{} first byte {}.{}: {may:?} as {name}",
            self.now, key.request.0, key.number
        );
        self.transcript.line("first byte", &line);
        if may.is_some() {
            let whole = [Progress::PartiallyWritten, Progress::FullyWritten]
                [usize::from(self.dice.chance(80))];
            self.core.record_progress(key, whole);
            self.out
                .iter_mut()
                .filter(|o| o.0 == key)
                .for_each(|o| o.1 = true);
        } else {
            self.out.retain(|o| o.0 != key);
        }
        self.commands("write");
    }

    fn serve(&mut self) {
        let Some(key) = self.pick(true) else { return };
        self.core.record_progress(key, Progress::FullyWritten);
        if self.dice.chance(60) {
            let about = vec![("x".to_string(), "y".to_string())];
            let rows = b"1\n".to_vec();
            let whole = self.dice.chance(50);
            self.core.forward_chunk(
                key,
                ResponseChunk {
                    headers: about,
                    rows,
                    is_only_chunk: whole,
                },
            );
        }
        if self.dice.chance(70) {
            let report = AttemptReport {
                report: vec![],
                work: self.dice.chance(50).then_some(90_000.0),
                memory_mb: self.dice.chance(50).then_some(80.0),
            };
            self.core.record_attempt_report(key, report);
            self.core.complete_attempt(self.now, key);
            self.out.retain(|o| o.0 != key);
        }
        self.commands("answer");
    }

    fn fail(&mut self) {
        let written = self.dice.chance(70);
        let Some(key) = self.pick(written) else {
            return;
        };
        let causes = [
            Cause::Connection("reset".into()),
            Cause::Closed("silent".into()),
            Cause::TimedOut,
            Cause::Rejected,
            Cause::Engine("Code: 241. DB::Exception: memory".into()),
            Cause::MalformedResponse("noise".into()),
            Cause::NotSent,
            Cause::Statement("Code: 62. DB::Exception: syntax".into()),
        ];
        let among = if written { causes.len() as u64 } else { 3 };
        let cause = causes[self.dice.below(among) as usize].clone();
        let description = match self.core.attempt_failed(self.now, key, cause) {
            Some(error) => format!("{error} / {}", outcome_name(error.outcome())),
            None => "later".into(),
        };
        let line = format!(
            "{} end {}.{}: {description}",
            self.now, key.request.0, key.number
        );
        self.transcript.line("end", &line);
        self.out.retain(|o| o.0 != key);
        self.commands("end");
    }

    fn client(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let id = self.open[self.dice.below(self.open.len() as u64) as usize];
        match self.dice.below(5) {
            0 => {
                self.core.client_left(self.now, id);
                self.open.retain(|&o| o != id);
            }
            1 => {
                self.core.client_left(self.now, id);
                self.open.retain(|&o| o != id);
                self.core.release_attempt(self.now, id);
            }
            2 => {
                let name = format!("q{}", 1 + self.dice.below(self.names));
                let was_there =
                    self.core
                        .cancel_request(self.now, &name, "Code: 394. DB::Exception: killed");
                let line = format!("{} kill {name}: {was_there}", self.now);
                self.transcript.line("kill", &line);
            }
            3 => self.core.mark_body_forwarded(id),
            _ => {
                let within = self.dice.below(S);
                self.core.shorten_timeout(self.now, id, within);
            }
        }
        self.commands("client");
    }

    fn look(&mut self) {
        let name = format!("q{}", 1 + self.dice.below(self.names.max(1)));
        let mut line = format!("{} runs of {name}:", self.now);
        for run in self.core.running_queries(self.now, &name) {
            let _ = write!(line, " {} {} {}", run.engine.0, run.name, run.is_awaited);
        }
        self.transcript.line("runs", &line);
    }

    fn step(&mut self) {
        match self.dice.below(40) {
            0..=9 => self.take(),
            10..=15 => {
                let time = self.dice.below(60 * MS);
                self.pass(time);
            }
            16..=24 => self.write(),
            25..=31 => self.serve(),
            32..=33 => self.fail(),
            34 => self.client(),
            35 => self.look(),
            36 => {
                if let Some(key) = self.pick(true) {
                    let note = [
                        ProgressReport::Progress(0.4),
                        ProgressReport::WaitsForMemory,
                        ProgressReport::WaitsForLoad,
                        ProgressReport::Spills(9.0),
                    ][self.dice.below(4) as usize];
                    self.core.record_progress_report(self.now, key, note);
                    self.commands("note");
                }
            }
            37 => {
                if let Some(tag) = self.probes.pop() {
                    let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Unreachable]
                        [self.dice.below(3) as usize];
                    self.core.record_probe(self.now, tag, outcome, &[]);
                    self.commands("probed");
                }
            }
            38 if self.dice.chance(30) => {
                let n = self.dice.below(ENGINES) as usize;
                self.phases[n] = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone]
                    [self.dice.below(4) as usize];
                let changes = usize::from(self.dice.chance(50));
                self.list([ListKind::Full, ListKind::Changes][changes]);
            }
            39 if self.dice.chance(20) => {
                let engine = EngineId(self.dice.below(ENGINES));
                self.core.suspect_engine(self.now, engine);
                self.commands("connections reset");
            }
            _ => {}
        }
    }

    /// Runs so many steps, ends as a process does, and gives the transcript and the counters' text.
    fn run(mut self, steps: usize) -> String {
        for _ in 0..steps {
            self.step();
        }
        self.core.answer_all_requests(self.now);
        self.commands("answer all");
        self.core.begin_shutdown();
        self.take();
        self.pass(5 * S);
        format!("{}{}", self.transcript.text(), self.core.counters())
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::TimedOut => "time-out",
        Outcome::Unreachable => "unreachable",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Superseded => "never sent",
    }
}

#[test]
fn commands_and_counters_of_the_example_s_settings() {
    let limits = Limits {
        max_unknown_outcomes: 4,
        ..LIMITS
    };
    let run = World::new(str::to_string, limits, 11).run(20_000);
    assert_golden!("commands_example.txt", run);
}

#[test]
fn commands_and_counters_with_keys_grants_and_cancelling() {
    let edit = |text: &str| {
        text.replace(
            "\"single_shot\"",
            "\"guarded\", \"KeyScope\": \"all\", \"RepeatWindowUs\": 2000000",
        )
        .replace("\"Cancel\": false", "\"Cancel\": true")
        .replace(
            "\"SizeCores\"",
            "\"GrantsCount\": true, \"SaysCost\": true, \"SizeCores\"",
        )
    };
    let limits = Limits {
        max_unknown_outcomes: 8,
        max_idempotency_keys: 12,
        ..LIMITS
    };
    let run = World::new(edit, limits, 12).run(20_000);
    assert_golden!("commands_keyed.txt", run);
}

#[test]
fn counters_of_a_core_without_requests() {
    let text = core(settings(str::to_string), LIMITS)
        .counters()
        .to_string();
    assert_golden!("counters_empty.txt", text);
}

/// Every cause at every stage: the texts that go to logs, and what the scheduler is told.
#[test]
fn texts_and_outcomes_of_failed_attempts() {
    let causes = [
        Cause::Connection("reset by peer".into()),
        Cause::Closed("silent".into()),
        Cause::TimedOut,
        Cause::Rejected,
        Cause::Engine("Code: 241".into()),
        Cause::MalformedResponse("noise".into()),
        Cause::NotSent,
        Cause::Statement("Code: 62".into()),
        Cause::Released,
        Cause::CancelledByScheduler,
    ];
    let mut text = String::new();
    for cause in causes {
        for progress in [
            Progress::NotConnected,
            Progress::Connected,
            Progress::PartiallyWritten,
            Progress::FullyWritten,
            Progress::ResponseStarted,
        ] {
            let error = AttemptError {
                progress,
                cause: cause.clone(),
            };
            let _ = writeln!(text, "{error} = {}", outcome_name(error.outcome()));
        }
    }
    assert_golden!("attempt_errors.txt", text);
}

/// The names of what a process is doing, and its times, in one life of each kind.
#[test]
fn lifecycle_names_and_times() {
    let mut text = String::new();
    for state in [
        State::Starting,
        State::Ready,
        State::Draining,
        State::Drained,
        State::HandingOver,
        State::ShuttingDown,
    ] {
        let _ = writeln!(text, "state {}", state.name());
    }
    for n in 0..8 {
        let (succeeds, held, killed) = (n & 1 > 0, n & 2 > 0, n & 4 > 0);
        let mut life = Lifecycle::new(succeeds, held, 25 * S, killed);
        let mut show = |what: &str, life: &mut Lifecycle, now: Micros| {
            let idle = [0, 299 * MS, 300 * MS, 5 * S].map(|idle| life.may_keep_alive(now, idle));
            let ends = [(0, 0), (0, 1), (1, 1)]
                .map(|(open, clients)| life.may_exit(now, open, clients, false));
            let _ = writeln!(
                text,
                "{n} {what} {now}: {} accepts {} listens {} takes {} sends away {} keeps {idle:?} ends {ends:?} by {:?}",
                life.state().name(),
                life.accepts_connections(),
                life.is_listening(now),
                life.accepts_requests(now),
                life.closes_connections(now),
                life.shutdown_deadline(),
            );
        };
        show("new", &mut life, S);
        life.record_ready();
        show("begun", &mut life, S);
        life.pause(2 * S);
        for after in [0, 299 * MS, 300 * MS, 1_499 * MS, 1_500 * MS, 3 * S] {
            show("paused", &mut life, 2 * S + after);
        }
        life.record_clients(0);
        show("empty", &mut life, 6 * S);
        life.resume();
        show("resumed", &mut life, 7 * S);
        life.record_successor(8 * S, true);
        show("succeeded", &mut life, 8 * S);
        life.record_successor(9 * S, false);
        show("alone again", &mut life, 9 * S);
        life.begin_shutdown(10 * S);
        for after in [
            0,
            699 * MS,
            700 * MS,
            799 * MS,
            800 * MS,
            1_049 * MS,
            1_050 * MS,
            3 * S,
        ] {
            show("ending", &mut life, 10 * S + after);
        }
    }
    assert_golden!("lifecycle.txt", text);
}
