//! Long seeded simulations of groups of coordinators, with every action written as a line of text.
//!
//! The words of those lines are fixed in this file, so a rename in the crate leaves the golden
//! files unchanged, and a changed decision does not.
#![allow(
    clippy::cast_possible_truncation,
    reason = "the numbers of these tests are small"
)]

use driftfront_scheduler::Controller;
use driftfront_scheduler::*;
use driftfront_test_support::assert_golden;
use driftfront_test_support::scheduler::{class, listed, settings, MS, S};
use driftfront_test_support::transcript::{SplitMix64, Transcript};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Mean work of a query, µs.
fn mean_work(classes: &[QueryClass]) -> f64 {
    let work = |c: &QueryClass| 0.25 * c.latency_objective as f64 * c.threads;
    classes.iter().map(work).sum::<f64>() / classes.len() as f64
}

/// Describes an action in fixed words, with exact numbers.
fn describe(action: &Action) -> String {
    match action {
        Action::SetResources {
            query: q,
            memory_mb: grant,
            priority,
        } => format!("terms {} {grant:?} {priority}", q.0),
        Action::StartAttempt {
            query: q,
            engine,
            timeout,
        } => {
            format!("send {} to {} within {timeout}", q.0, engine.0)
        }
        Action::CancelAttempt { query: q, attempt } => format!("cancel {} {attempt}", q.0),
        Action::Reject {
            query: q,
            retry_after: advice,
        } => format!("refuse {} {advice}", q.0),
        Action::Fail(q) => format!("fail {}", q.0),
        Action::SetTimer { after, token } => format!("wake {after} {token}"),
        Action::Probe(engine) => format!("probe {}", engine.0),
        Action::SendGossip {
            peer,
            message: bytes,
        } => {
            let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
            format!("message {peer} {hex}")
        }
        Action::WatchEngines => "subscribe".into(),
        Action::Log(line) => format!("log {line}"),
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

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival(usize),
    TimerFired(usize, u64),
    FirstByte(usize, u64, u8, u64),
    End(usize, u64, u8, Outcome),
    Progress(usize, u64, u8, ProgressReport),
    Stream(usize, u64, u8),
    ProbeEnd(usize, u64),
    GossipReceived(usize, usize, Vec<u8>),
    List(usize, ListKind),
    DiscoveryFailed(usize),
    Change(u64),
    ClientLeaves(usize, u64),
    Fault,
}

struct SimEngine {
    line: ListedEngine,
    slowdown: f64,
    down_until: u64,
    error_percent: u64,
    running: BTreeSet<(usize, u64, u8)>,
    threads: f64,
}

impl SimEngine {
    fn new(line: ListedEngine, slowdown: f64) -> SimEngine {
        SimEngine {
            line,
            slowdown,
            down_until: 0,
            error_percent: 0,
            running: BTreeSet::new(),
            threads: 0.0,
        }
    }
}

struct SimQuery {
    query: Query,
    true_work: f64,
    /// Engine, send time, and whether the attempt is in flight.
    attempts: Vec<(u64, u64, bool)>,
    concluded: bool,
}

struct Simulation {
    dice: SplitMix64,
    now: u64,
    order: u64,
    pending: BTreeMap<(u64, u64), SimEvent>,
    settings: Settings,
    coordinators: Vec<Controller>,
    awaits_first_bytes: bool,
    engines: BTreeMap<u64, SimEngine>,
    queries: BTreeMap<(usize, u64), SimQuery>,
    next_query: u64,
    arrival_gap: f64,
    transcript: Transcript,
}

impl Simulation {
    fn new(
        settings: Settings,
        seed: u64,
        engines: u64,
        awaits_first_bytes: bool,
        load: f64,
    ) -> Simulation {
        let mut dice = SplitMix64(seed);
        let make = |n: u32| {
            let own = Settings {
                number: n,
                zone: (n % 2) as u16,
                ..settings.clone()
            };
            let made = Controller::new(own, seed + u64::from(n) * 977);
            if awaits_first_bytes {
                made.awaiting_first_bytes()
            } else {
                made
            }
        };
        let coordinators: Vec<Controller> = (0..settings.coordinators.min(14)).map(make).collect();
        let sim = |e: u64| {
            let line = ListedEngine {
                zone: (e % 3) as u16,
                kind: (e % settings.kinds.len() as u64) as u16,
                cell: (e % 4) as u16,
                started_at: dice.chance(30).then(|| 90 * S + dice.below(12) * S),
                ..listed(e)
            };
            (e, SimEngine::new(line, dice.between(0.8, 1.6)))
        };
        let engines: BTreeMap<u64, SimEngine> = (1..=engines).map(sim).collect();
        let cores: f64 = engines
            .values()
            .map(|e| {
                settings.kinds[usize::from(e.line.kind)]
                    .cores
                    .unwrap_or(8.0)
            })
            .sum();
        let mean = mean_work(&settings.classes);
        let mut simulation = Simulation {
            dice,
            now: 100 * S,
            order: 0,
            pending: BTreeMap::new(),
            coordinators,
            awaits_first_bytes,
            engines,
            queries: BTreeMap::new(),
            next_query: 1,
            arrival_gap: mean / cores / load,
            settings,
            transcript: Transcript::default(),
        };
        for g in 0..simulation.coordinators.len() {
            let after = simulation.dice.below(20 * MS);
            simulation.schedule(after, SimEvent::List(g, ListKind::Cached));
            simulation.schedule(after + 40 * MS, SimEvent::Arrival(g));
        }
        simulation.schedule(2 * S, SimEvent::Fault);
        simulation
    }

    fn schedule(&mut self, after: u64, event: SimEvent) {
        self.order += 1;
        self.pending.insert((self.now + after, self.order), event);
    }

    fn run(mut self, seconds: u64) -> Transcript {
        let end = self.now + seconds * S;
        while let Some(((at, _), event)) = self.pending.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for g in 0..self.coordinators.len() {
            let open = self.coordinators[g].open_queries();
            let budget = self.coordinators[g].retry_budget_usage(self.now).map(|u| {
                format!(
                    "{} {:?} {} {} {} {}",
                    u.used, u.allowed, u.requests, u.times_held, u.denied, u.denied_at_send
                )
            });
            self.transcript.line(
                "end",
                &format!("end of {g}: open {open}, budget {budget:?}"),
            );
        }
        self.transcript
    }

    fn report(&mut self, engine: u64) -> Vec<f64> {
        let e = &self.engines[&engine];
        let cores = self.settings.kinds[usize::from(e.line.kind)]
            .cores
            .unwrap_or(8.0);
        let busy = (e.threads / cores).min(1.0);
        let (active, waiting) = (e.running.len() as f64, (e.threads - 2.0 * cores).max(0.0));
        let fields = self.settings.report_fields.clone();
        let mut values = Vec::new();
        for field in fields {
            let value = match field {
                ReportField::Active => active,
                ReportField::Waiting => waiting.floor(),
                ReportField::Busy => busy,
                ReportField::Memory => (busy * 0.9 + 0.1 * waiting).min(1.0),
                ReportField::Disk => busy * 0.5,
                ReportField::ServiceMs => 40.0,
                ReportField::Rate | ReportField::Errors | ReportField::Unknown => 1.0,
            };
            values.push(match self.dice.below(200) {
                0 => f64::NAN,
                1 => 1e9,
                _ => value * self.dice.between(0.9, 1.05),
            });
        }
        values
    }

    fn notify(&mut self, g: usize, what: &str, event: Event) {
        let mut actions = Vec::new();
        self.coordinators[g].handle(self.now, event, &mut actions);
        for action in actions {
            let description = describe(&action);
            let kind = description
                .split(' ')
                .next()
                .unwrap_or_default()
                .to_string();
            self.transcript
                .line(&kind, &format!("{} {g} {what}: {description}", self.now));
            self.apply(g, action);
        }
    }

    fn apply(&mut self, g: usize, action: Action) {
        match action {
            Action::SetResources { .. } | Action::Log(_) => {}
            Action::SetTimer { after, token } => {
                self.schedule(after, SimEvent::TimerFired(g, token))
            }
            Action::Reject { query: q, .. } | Action::Fail(q) => {
                if let Some(query) = self.queries.get_mut(&(g, q.0)) {
                    query.concluded = true;
                }
            }
            Action::CancelAttempt { query: q, attempt } => {
                let after = self.dice.below(3 * MS);
                self.schedule(after, SimEvent::End(g, q.0, attempt, Outcome::Cancelled));
            }
            Action::Probe(engine) => {
                let after = MS + self.dice.below(8 * MS);
                self.schedule(after, SimEvent::ProbeEnd(g, engine.0));
            }
            Action::SendGossip {
                peer,
                message: bytes,
            } => {
                if (peer as usize) < self.coordinators.len() && !self.dice.chance(10) {
                    let after = MS + self.dice.below(30 * MS);
                    self.schedule(after, SimEvent::GossipReceived(peer as usize, g, bytes));
                }
            }
            Action::WatchEngines => {
                let after = 5 * MS + self.dice.below(50 * MS);
                match self.dice.below(4) {
                    0 => self.schedule(after, SimEvent::DiscoveryFailed(g)),
                    1 => {}
                    _ => self.schedule(after, SimEvent::List(g, ListKind::Full)),
                }
            }
            Action::StartAttempt {
                query: q,
                engine,
                timeout,
            } => {
                let query = self.queries.get_mut(&(g, q.0)).expect("it has arrived");
                let attempt = query.attempts.len() as u8;
                query.attempts.push((engine.0, self.now, true));
                if self.awaits_first_bytes {
                    let after = match self.dice.below(4) {
                        0 => self.dice.below(400 * MS),
                        _ => self.dice.below(2 * MS),
                    };
                    self.schedule(after, SimEvent::FirstByte(g, q.0, attempt, timeout));
                } else {
                    self.start(g, q.0, attempt, timeout);
                }
            }
        }
    }

    fn start(&mut self, g: usize, q: u64, attempt: u8, timeout: u64) {
        let id = self.queries[&(g, q)].attempts[usize::from(attempt)].0;
        let threads = self.settings.classes[usize::from(self.queries[&(g, q)].query.class)].threads;
        let work = self.queries[&(g, q)].true_work;
        let Some(e) = self.engines.get(&id) else {
            return self.schedule(MS, SimEvent::End(g, q, attempt, Outcome::Unreachable));
        };
        if self.now < e.down_until {
            let outcome = match self.dice.below(5) {
                0 => Outcome::TimedOut,
                1 => Outcome::Reset,
                _ => Outcome::Unreachable,
            };
            let after = if outcome == Outcome::TimedOut {
                timeout
            } else {
                MS + self.dice.below(250 * MS)
            };
            return self.schedule(after, SimEvent::End(g, q, attempt, outcome));
        }
        let cores = self.settings.kinds[usize::from(e.line.kind)]
            .cores
            .unwrap_or(8.0);
        if e.threads > 4.0 * cores {
            return self.schedule(MS, SimEvent::End(g, q, attempt, Outcome::Rejected));
        }
        let contention = (e.threads / cores).max(1.0);
        let (slowdown, errors) = (e.slowdown, e.error_percent);
        let e = self.engines.get_mut(&id).expect("looked up above");
        e.threads += threads;
        e.running.insert((g, q, attempt));
        let mut run = work / threads * slowdown * contention * self.dice.between(0.7, 1.5);
        if self.dice.chance(2) {
            run *= 12.0;
        }
        let run = run as u64 + 1;
        if let Some(interval) = self.settings.progress_interval {
            for n in 1..=(run / interval).min(6) {
                let done = n as f64 * interval as f64 / run as f64;
                let report = match self.dice.below(20) {
                    0 => ProgressReport::WaitsForLoad,
                    1 => ProgressReport::WaitsForMemory,
                    2 => ProgressReport::Spills(100.0),
                    _ => ProgressReport::Progress(done * self.dice.between(0.8, 1.2)),
                };
                self.schedule(n * interval, SimEvent::Progress(g, q, attempt, report));
            }
        }
        let fails = self.dice.chance(errors);
        let (after, outcome) = match self.dice.below(100) {
            _ if fails => (run / 8 + 1, Outcome::Error),
            0 => (run / 2 + 1, Outcome::Reset),
            1 => (run / 4 + 1, Outcome::Error),
            2 => (MS, Outcome::Rejected),
            _ if run > timeout => (timeout, Outcome::TimedOut),
            _ => (run, Outcome::Ok),
        };
        if outcome == Outcome::Ok && self.dice.chance(10) {
            self.schedule(after * 2 / 3, SimEvent::Stream(g, q, attempt));
        }
        self.schedule(after, SimEvent::End(g, q, attempt, outcome));
    }

    fn end(&mut self, g: usize, q: u64, attempt: u8, outcome: Outcome) {
        let Some(query) = self.queries.get_mut(&(g, q)) else {
            return;
        };
        let (engine, sent, is_in_flight) = query.attempts[usize::from(attempt)];
        if !is_in_flight {
            return;
        }
        query.attempts[usize::from(attempt)].2 = false;
        query.concluded |= outcome == Outcome::Ok;
        let (last, true_work) = (query.concluded, query.true_work);
        let class = usize::from(query.query.class);
        let threads = self.settings.classes[class].threads;
        if let Some(e) = self.engines.get_mut(&engine) {
            if e.running.remove(&(g, q, attempt)) {
                e.threads = if e.running.is_empty() {
                    0.0
                } else {
                    e.threads - threads
                };
            }
        }
        let messages = !self.settings.report_on_probe && !outcome.never_ran();
        let report = if messages && self.engines.contains_key(&engine) && self.dice.chance(60) {
            self.report(engine)
        } else {
            Vec::new()
        };
        let served = outcome == Outcome::Ok;
        let work = (served && self.dice.chance(60)).then_some(true_work);
        let memory_mb = (served && self.dice.chance(50)).then_some(true_work / 4_000.0);
        let ended = AttemptEnded {
            query: QueryId(q),
            attempt,
            outcome,
            query_answered: last,
            elapsed: self.now - sent,
            work,
            memory_mb,
            report: &report,
        };
        let what = format!("{q}.{attempt} {}", outcome_name(outcome));
        self.notify(g, &what, Event::AttemptEnded(ended));
    }

    fn list(&self) -> Vec<ListedEngine> {
        self.engines.values().map(|e| e.line).collect()
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(g) => self.arrive(g),
            SimEvent::TimerFired(g, token) => self.notify(g, "woken", Event::TimerFired(token)),
            SimEvent::FirstByte(g, q, attempt, timeout) => self.first_byte(g, q, attempt, timeout),
            SimEvent::End(g, q, attempt, outcome) => self.end(g, q, attempt, outcome),
            SimEvent::Progress(g, q, attempt, progress_report) => {
                self.progress(g, q, attempt, progress_report)
            }
            SimEvent::Stream(g, q, attempt) => self.stream_starts(g, q, attempt),
            SimEvent::ProbeEnd(g, engine) => self.probe_ends(g, engine),
            SimEvent::GossipReceived(to, from, mut bytes) => {
                if self.dice.chance(2) {
                    bytes.truncate(self.dice.below(bytes.len() as u64) as usize);
                }
                self.notify(
                    to,
                    "message",
                    Event::GossipReceived {
                        from: from as u32,
                        message: &bytes,
                    },
                );
            }
            SimEvent::List(g, kind) => {
                let list = self.list();
                self.notify(
                    g,
                    "list",
                    Event::EnginesListed {
                        kind,
                        engines: &list,
                    },
                );
            }
            SimEvent::DiscoveryFailed(g) => self.notify(g, "no list", Event::DiscoveryFailed),
            SimEvent::Change(engine) => self.list_changes(engine),
            SimEvent::ClientLeaves(g, q) => {
                let open = self.queries.get_mut(&(g, q)).filter(|s| !s.concluded);
                if let Some(query) = open {
                    query.concluded = true;
                    self.notify(g, "client left", Event::ClientLeft(QueryId(q)));
                }
            }
            SimEvent::Fault => self.inject_fault(),
        }
    }

    fn first_byte(&mut self, g: usize, q: u64, attempt: u8, timeout: u64) {
        let is_in_flight = |s: &SimQuery| s.attempts[usize::from(attempt)].2;
        if !self.queries.get(&(g, q)).is_some_and(is_in_flight) {
            return;
        }
        let may = self.coordinators[g].may_send_first_byte(self.now, QueryId(q), attempt);
        self.transcript.line(
            "first byte",
            &format!("{} {g} first byte {q}.{attempt}: {may}", self.now),
        );
        if may {
            self.start(g, q, attempt, timeout);
        } else {
            self.end(g, q, attempt, Outcome::Superseded);
        }
    }

    fn probe_ends(&mut self, g: usize, engine: u64) {
        let (outcome, report) = match self.engines.get(&engine) {
            None => (Outcome::Unreachable, vec![]),
            Some(e) if self.now < e.down_until => match self.dice.below(4) {
                0 => (Outcome::TimedOut, vec![]),
                1 => (Outcome::Reset, vec![]),
                _ => (Outcome::Unreachable, vec![]),
            },
            Some(_) => match self.dice.below(40) {
                0 => (Outcome::Error, vec![]),
                1 => (Outcome::Rejected, vec![]),
                _ => (Outcome::Ok, self.report(engine)),
            },
        };
        let what = format!("probe {engine} {}", outcome_name(outcome));
        self.notify(
            g,
            &what,
            Event::ProbeEnded {
                engine: EngineId(engine),
                outcome,
                report: &report,
            },
        );
    }

    fn list_changes(&mut self, engine: u64) {
        let line = match self.engines.get(&engine) {
            Some(e) => e.line,
            None => ListedEngine {
                phase: Phase::Gone,
                ..listed(engine)
            },
        };
        for g in 0..self.coordinators.len() {
            self.notify(
                g,
                "change",
                Event::EnginesListed {
                    kind: ListKind::Changes,
                    engines: &[line],
                },
            );
        }
    }

    fn progress(&mut self, g: usize, q: u64, attempt: u8, progress_report: ProgressReport) {
        let is_in_flight = |s: &SimQuery| s.attempts[usize::from(attempt)].2;
        if self.queries.get(&(g, q)).is_some_and(is_in_flight) {
            self.notify(
                g,
                "note",
                Event::ProgressReported {
                    query: QueryId(q),
                    attempt,
                    report: progress_report,
                },
            );
        }
    }

    fn stream_starts(&mut self, g: usize, q: u64, attempt: u8) {
        let is_open = |s: &SimQuery| s.attempts[usize::from(attempt)].2 && !s.concluded;
        if self.queries.get(&(g, q)).is_some_and(is_open) {
            self.notify(
                g,
                "stream",
                Event::StreamStarted {
                    query: QueryId(q),
                    attempt,
                },
            );
        }
    }

    fn inject_fault(&mut self) {
        let again = S / 2 + self.dice.below(2 * S);
        self.schedule(again, SimEvent::Fault);
        let count = self.engines.len() as u64;
        let id = 1 + self.dice.below(count + 2);
        let now = self.now;
        let dice = &mut self.dice;
        match (dice.below(7), self.engines.get_mut(&id)) {
            (0, Some(e)) => e.slowdown = dice.between(0.7, 6.0),
            (1, Some(e)) => e.error_percent = [0, 30, 85][dice.below(3) as usize],
            (2, Some(e)) => {
                e.down_until = now + dice.below(4 * S);
                e.line.started_at = Some(e.down_until.max(now));
                let back = e.down_until - now + 100 * MS;
                let lost: Vec<_> = e.running.iter().copied().collect();
                for (g, q, attempt) in lost {
                    let after = self.dice.below(20 * MS);
                    self.schedule(after, SimEvent::End(g, q, attempt, Outcome::Reset));
                }
                self.schedule(back, SimEvent::Change(id));
            }
            (3, Some(e)) => {
                e.line.phase = match e.line.phase {
                    Phase::Ready => Phase::Draining,
                    Phase::Draining | Phase::Gone => Phase::Ready,
                };
                self.schedule(MS, SimEvent::Change(id));
            }
            (4, Some(_)) if count > 3 => {
                self.engines.remove(&id);
                self.schedule(MS, SimEvent::Change(id));
            }
            (5, Some(e)) => {
                let zone = e.line.zone;
                let until = now + 2 * S;
                for e in self.engines.values_mut().filter(|e| e.line.zone == zone) {
                    e.down_until = until;
                }
            }
            (_, None) => {
                let line = ListedEngine {
                    zone: (id % 3) as u16,
                    kind: (id % self.settings.kinds.len() as u64) as u16,
                    started_at: Some(now),
                    ..listed(id)
                };
                self.engines.insert(id, SimEngine::new(line, 1.0));
                self.schedule(MS, SimEvent::Change(id));
            }
            _ => {
                self.arrival_gap *= [0.6, 0.8, 1.4, 1.5][self.dice.below(4) as usize];
            }
        }
    }

    fn arrive(&mut self, g: usize) {
        let own_gap = self.arrival_gap * self.coordinators.len() as f64;
        let gap = own_gap * self.dice.between(0.1, 1.9);
        self.schedule(gap as u64 + 1, SimEvent::Arrival(g));
        let dice = &mut self.dice;
        let class = dice.below(self.settings.classes.len() as u64) as u16;
        let c = &self.settings.classes[usize::from(class)];
        let true_work = 0.25 * c.latency_objective as f64 * c.threads * dice.between(0.2, 1.8);
        let known = dice.below(10);
        let (memory_known, session_draw) = (dice.chance(50), dice.below(20));
        let sticky_session = (session_draw < 2).then(|| StickySession {
            engine: EngineId(1 + dice.below(4)),
            is_exclusive: session_draw == 0,
        });
        let query = Query {
            id: QueryId(self.next_query),
            class: if dice.below(300) == 0 { 99 } else { class },
            tenant: dice.below(4) as u32,
            work: (known < 7).then(|| true_work * dice.between(0.5, 2.0)),
            memory_mb: memory_known.then_some(true_work / 3_000.0),
            table_group: dice.below(6) as u32,
            ordering_key: dice.chance(50).then(|| dice.below(5)),
            has_idempotency_key: dice.chance(80),
            idempotent_until: dice.chance(10).then(|| self.now + dice.below(3 * S)),
            runs_once: false,
            sticky_session,
            client_timeout: if dice.chance(2) {
                dice.below(30 * MS)
            } else {
                c.latency_objective * 2 + dice.below(2 * S)
            },
        };
        self.next_query += 1;
        let id = query.id.0;
        if dice.chance(3) {
            let after = self.dice.below(S);
            self.schedule(after, SimEvent::ClientLeaves(g, id));
        }
        let sim = SimQuery {
            query: Query {
                class: query.class.min(self.settings.classes.len() as u16 - 1),
                ..query
            },
            true_work,
            attempts: Vec::new(),
            concluded: false,
        };
        self.queries.insert((g, id), sim);
        self.notify(g, &format!("arrival {id}"), Event::QueryArrived(query));
    }
}

/// Three classes that differ in every property that decisions depend on.
fn classes() -> Vec<QueryClass> {
    let mut short = class(200 * MS, 1.0, 1.0);
    short.late_weight = 0.2;
    let mut wide = class(800 * MS, 6.0, 4.0);
    (
        wide.idempotency,
        wide.deduplication_scope,
        wide.latency_objective_stretch,
    ) = (Idempotency::WithKey, DeduplicationScope::Zone, 1.5);
    wide.waits_for_loads = true;
    let mut load = class(1_500 * MS, 4.0, 2.0);
    (load.idempotency, load.in_order, load.is_load) = (Idempotency::NotIdempotent, true, true);
    (load.late_weight, load.zones) = (0.6, Some(vec![0, 1]));
    vec![short, wide, load]
}

fn kinds(cores: f64) -> Vec<MachineKind> {
    let kind = |cores: f64| MachineKind {
        cores: Some(cores),
        memory_mb: Some(cores * 1_000.0),
    };
    vec![kind(cores), kind(cores * 2.0)]
}

const LOAD_REPORT: [ReportField; 6] = [
    ReportField::Active,
    ReportField::Waiting,
    ReportField::Busy,
    ReportField::Memory,
    ReportField::Unknown,
    ReportField::Disk,
];

fn slow_start() -> SlowStart {
    SlowStart {
        initial_share: 0.3,
        warm_up_time: 6 * S,
        overload_multiple: 2.0,
        window: S,
    }
}

fn retry_budget() -> RetryBudget {
    RetryBudget {
        min_retries: 3.0,
        ratio: 0.1,
        window: 2 * S,
    }
}

/// Few coordinators, each with a large share of each engine.
fn few() -> Settings {
    Settings {
        coordinators: 3,
        kinds: kinds(8.0),
        report_fields: LOAD_REPORT.to_vec(),
        max_attempts: Some(4),
        settle_time: 300 * MS,
        ..settings(classes())
    }
}

/// Many coordinators, each with a small share of each engine.
fn many() -> Settings {
    Settings {
        coordinators: 14,
        kinds: kinds(4.0),
        may_probe: true,
        may_gossip: true,
        report_on_probe: true,
        ..few()
    }
}

#[test]
fn transcript_of_a_lone_coordinator() {
    let alone = Settings {
        coordinators: 1,
        ..few()
    };
    assert_golden!(
        "transcript_alone.txt",
        Simulation::new(alone, 1, 4, false, 1.1).run(60).text()
    );
}

#[test]
fn transcript_of_few_coordinators_with_gossip_and_grants() {
    let s = Settings {
        may_gossip: true,
        may_probe: true,
        grants: true,
        priorities: true,
        max_grant_share: Some(0.5),
        out_of_memory: OutOfMemory::Shrink,
        cross_zone_costs: true,
        ..few()
    };
    assert_golden!(
        "transcript_few_gossip.txt",
        Simulation::new(s, 2, 6, false, 1.2).run(40).text()
    );
}

#[test]
fn transcript_of_slow_start_budget_and_quota() {
    let s = Settings {
        retry_budget: Some(retry_budget()),
        slow_start: Some(slow_start()),
        tenants: vec![Tenant { quota_per_s: 8.0 }; 3],
        over_quota_weight: 0.1,
        weight_by_work: true,
        may_probe: true,
        ..few()
    };
    assert_golden!(
        "transcript_slow_start.txt",
        Simulation::new(s, 3, 6, false, 1.0).run(40).text()
    );
}

#[test]
fn transcript_of_attempts_that_wait_for_their_connection() {
    let s = Settings {
        retry_budget: Some(retry_budget()),
        slow_start: Some(slow_start()),
        may_probe: true,
        ..few()
    };
    assert_golden!(
        "transcript_first_bytes.txt",
        Simulation::new(s, 4, 6, true, 1.0).run(40).text()
    );
}

#[test]
fn transcript_of_progress_notes_and_copies() {
    let s = Settings {
        progress_interval: Some(100 * MS),
        may_hedge: true,
        may_cancel: false,
        poll_discovery: true,
        poll_timeout: Some(4 * S),
        out_of_memory: OutOfMemory::Page,
        ..few()
    };
    assert_golden!(
        "transcript_copies.txt",
        Simulation::new(s, 5, 6, false, 1.1).run(40).text()
    );
}

#[test]
fn transcript_of_many_coordinators() {
    let s = Settings {
        slow_start: Some(slow_start()),
        ..many()
    };
    assert_golden!(
        "transcript_many.txt",
        Simulation::new(s, 6, 24, false, 0.9).run(25).text()
    );
}

#[test]
fn transcript_of_many_coordinators_on_paging_engines() {
    let s = Settings {
        out_of_memory: OutOfMemory::Page,
        may_cancel: false,
        grants: true,
        ..many()
    };
    assert_golden!(
        "transcript_many_paging.txt",
        Simulation::new(s, 7, 20, false, 1.2).run(25).text()
    );
}

#[test]
fn transcript_of_many_coordinators_with_reports_on_answers() {
    let s = Settings {
        report_on_probe: false,
        retry_budget: Some(retry_budget()),
        slow_start: Some(slow_start()),
        progress_interval: Some(150 * MS),
        may_hedge: true,
        tenants: vec![Tenant { quota_per_s: 30.0 }; 4],
        over_quota_weight: 0.2,
        ..many()
    };
    assert_golden!(
        "transcript_many_answers.txt",
        Simulation::new(s, 8, 20, true, 1.1).run(25).text()
    );
}

/// Random settings, for combinations that the other tests do not cover.
#[test]
fn transcript_of_settings_drawn_at_random() {
    let mut all = String::new();
    for seed in 100..124 {
        let mut dice = SplitMix64(seed);
        let mut yes = |percent| dice.chance(percent);
        let base = if yes(50) { many() } else { few() };
        let s = Settings {
            may_cancel: yes(60),
            may_hedge: yes(40),
            may_probe: yes(60),
            may_gossip: yes(60),
            report_on_probe: yes(50),
            grants: yes(40),
            priorities: yes(40),
            weight_by_work: yes(40),
            poll_discovery: yes(30),
            poll_timeout: yes(50).then_some(3 * S),
            cross_zone_costs: yes(50),
            max_attempts: yes(50).then_some(3),
            max_retry_after: yes(70).then_some(300 * MS),
            progress_interval: yes(40).then_some(120 * MS),
            retry_budget: yes(50).then(retry_budget),
            slow_start: yes(60).then(slow_start),
            max_grant_share: yes(50).then_some(0.4),
            out_of_memory: match (yes(40), yes(50)) {
                (true, _) => OutOfMemory::Page,
                (false, true) => OutOfMemory::Shrink,
                (false, false) => OutOfMemory::Wait,
            },
            report_fields: if yes(30) {
                vec![]
            } else {
                LOAD_REPORT.to_vec()
            },
            ..base
        };
        let awaits = yes(40);
        let run = Simulation::new(
            s,
            seed,
            5 + seed % 9,
            awaits,
            1.0 + 0.05 * (seed % 7) as f64,
        )
        .run(12);
        let _ = write!(all, "seed {seed} {}", run.summary());
    }
    assert_golden!("transcript_random.txt", all);
}
