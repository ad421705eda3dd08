//! Plain records that the decisions work on. Nothing here decides.

use crate::choice::Controller;
use crate::interface::*;
use crate::slow_start::{believed_start, ColdSends};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A small seeded generator (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % n.max(1) as u64) as usize
    }

    /// Brings `most` entries drawn at random to the front, each with a chance by its weight.
    pub fn draw_weighted<T>(&mut self, list: &mut [T], weights: &[f64], most: usize) {
        let mut weights = weights.to_vec();
        for n in 0..most.min(list.len()) {
            let mut left =
                self.below(1 << 32) as f64 / (1u64 << 32) as f64 * weights[n..].iter().sum::<f64>();
            let passed = |w: &&f64| {
                left -= **w;
                left >= 0.0
            };
            let other = (n + weights[n..].iter().take_while(passed).count()).min(list.len() - 1);
            list.swap(n, other);
            weights.swap(n, other);
        }
    }

    /// Brings `most` entries drawn at random to the front.
    pub fn draw<T>(&mut self, list: &mut [T], most: usize) {
        for n in 0..most.min(list.len()) {
            let other = n + self.below(list.len() - n);
            list.swap(n, other);
        }
    }
}

/// Where a query is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// Behind an earlier query of its key.
    Behind,
    /// Waits for the word of engines that it may go to.
    Scouting,
    /// On no engine's queue: none is eligible now.
    Held,
    /// In an engine's queue.
    Queued(EngineId),
    /// At least one attempt is out.
    Out,
    /// It has its final answer.
    Done,
}

/// One attempt.
pub struct Try {
    pub engine: EngineId,
    pub zone: u16,
    pub cell: u16,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
    /// Total run time that the last progress note points to.
    pub projected: Option<f64>,
    pub grant: f64,
    /// Run time that was expected at the send.
    pub expected: f64,
    pub called_off: bool,
    pub blocked: bool,
}

/// An engine as one query sees it.
pub struct Offer {
    pub engine: EngineId,
    pub gain: f64,
    pub position: usize,
    pub start: f64,
    pub interaction: f64,
    pub drain: f64,
    pub far: bool,
}

/// A query and all that is known of it.
pub struct Job {
    pub query: Query,
    pub arrived: Micros,
    pub deadline: Micros,
    pub place: Place,
    pub tries: Vec<Try>,
    pub over_quota: bool,
    pub streaming: bool,
    /// Attempts that were cut or copied because they ran long.
    pub cuts: u32,
    /// Engines whose attempts did not serve it.
    pub avoid: BTreeSet<EngineId>,
    /// Engines that were asked for this query, and those whose word is still awaited.
    pub asked: Vec<EngineId>,
    pub awaited: Vec<EngineId>,
}

impl Job {
    pub fn out(&self) -> impl Iterator<Item = (usize, &Try)> {
        self.tries
            .iter()
            .enumerate()
            .filter(|(_, t)| t.outcome.is_none())
    }
}

/// The last load report of an engine.
#[derive(Clone, Copy, Default)]
pub struct Report {
    pub at: Micros,
    pub active: Option<f64>,
    pub waiting: Option<f64>,
    pub busy: Option<f64>,
    pub memory: Option<f64>,
    pub disk: Option<f64>,
}

/// An engine as this gateway sees it.
pub struct Engine {
    pub zone: u16,
    pub kind: u16,
    pub cell: u16,
    pub phase: Phase,
    /// Believed and listed last start.
    pub started_at: Option<Micros>,
    pub listed_born: Option<Micros>,
    /// Index 1 and on of the design's queue F.
    pub queue: Vec<Slot>,
    /// Index 0 of F: table group of the query last started here.
    pub last_group: Option<u32>,
    pub out: BTreeSet<(QueryId, u8)>,
    /// Threads and granted memory of attempts that are out.
    pub threads: f64,
    pub granted: f64,
    /// Threads of other gateways, by their word.
    pub others: f64,
    /// How much longer queries run here than their work over their threads.
    pub slow: f64,
    pub slow_at: Micros,
    pub report: Option<Report>,
    pub heard: Micros,
    pub full_at: Option<Micros>,
    pub failures: u32,
    /// Part of its last answers that were errors.
    pub errs: f64,
    pub shut_until: Micros,
    /// One attempt at a time until one succeeds.
    pub on_trial: bool,
    /// It was out of reach, so it may have restarted.
    pub lost: bool,
    pub probed: Micros,
    /// Work sent while it was cold.
    pub cold_sends: ColdSends,
}

/// A place in an engine's queue, with what routing reads over and over.
#[derive(Clone, Copy)]
pub struct Slot {
    pub id: QueryId,
    pub work: f64,
    pub threads: f64,
    pub priority_weight: f64,
    pub latency_objective: f64,
    pub tables: u32,
    /// The start that was estimated when it was put there.
    pub planned: f64,
}

/// What was learned of a class.
#[derive(Clone, Copy)]
pub struct Learned {
    pub seen: f64,
    /// Mean work.
    pub work: f64,
    /// True over estimated work.
    pub correction: f64,
    /// Mean and high-side memory need.
    pub memory: f64,
    /// True over estimated memory.
    pub memory_correction: f64,
}

/// What a peer last said: its demand and its threads out on engines.
pub struct Peer {
    pub at: Micros,
    pub demand: f64,
    pub threads: BTreeMap<EngineId, f64>,
}

/// What a message says of one engine: how slow it is, and its last report.
pub type Word = (EngineId, f64, Report);

impl Peer {
    /// A message: own demand, then as many of the engines as it holds, in the order given. An entry: id,
    /// own threads, slowness, age of the report in 1/25 s, and the report's values.
    pub fn write(
        now: Micros,
        demand: f64,
        fields: &[ReportField],
        known: &[(EngineId, &Engine)],
    ) -> Vec<u8> {
        let mut bytes = vec![2];
        bytes.extend((demand as f32).to_be_bytes());
        for (id, e) in known.iter().take((256 - bytes.len()) / (9 + fields.len())) {
            let r = e.report.unwrap_or_default();
            bytes.extend(&id.0.to_be_bytes()[2..]);
            let age = e.report.map_or(255, |r| now.saturating_sub(r.at) / 40_000);
            bytes.extend([e.threads as u8, (e.slow * 20.0) as u8, age.min(255) as u8]);
            bytes.extend(fields.iter().map(|&f| match f {
                ReportField::Active => r.active.map_or(255, |x| x.min(254.0) as u8),
                ReportField::Waiting => r.waiting.map_or(255, |x| x.min(254.0) as u8),
                ReportField::Busy => r.busy.map_or(255, |x| (x * 200.0) as u8),
                ReportField::Memory => r.memory.map_or(255, |x| (x * 200.0) as u8),
                ReportField::Disk => r.disk.map_or(255, |x| (x * 200.0) as u8),
                _ => 255,
            }));
        }
        bytes
    }

    /// Reads a message; `None` if it is malformed or of another version.
    pub fn read(at: Micros, fields: &[ReportField], bytes: &[u8]) -> Option<(Peer, Vec<Word>)> {
        let rest = bytes.strip_prefix(&[2])?;
        let (demand, rest) = rest.split_first_chunk::<4>()?;
        let demand = f64::from(f32::from_be_bytes(*demand));
        if !demand.is_finite() || demand < 0.0 || rest.len() % (9 + fields.len()) != 0 {
            return None;
        }
        let mut peer = Peer {
            at,
            demand,
            threads: BTreeMap::new(),
        };
        let mut words = Vec::new();
        for c in rest.chunks(9 + fields.len()) {
            let id = EngineId(c[..6].iter().fold(0u64, |a, &b| a << 8 | u64::from(b)));
            peer.threads.insert(id, f64::from(c[6]));
            let value = |(f, &b): (&ReportField, &u8)| match (f, b) {
                (_, 255) => -1.0,
                (ReportField::Busy | ReportField::Memory | ReportField::Disk, b) => {
                    f64::from(b) / 200.0
                }
                (_, b) => f64::from(b),
            };
            let values: Vec<f64> = fields.iter().zip(&c[9..]).map(value).collect();
            if c[8] < 255 {
                let report =
                    Report::read(at.saturating_sub(u64::from(c[8]) * 40_000), fields, &values);
                words.push((id, f64::from(c[7]) / 20.0, report));
            }
        }
        Some((peer, words))
    }
}

/// Queries of one key, in the order in which they were taken.
#[derive(Default)]
pub struct Lane {
    pub line: VecDeque<QueryId>,
    pub rest_until: Micros,
}

impl Default for Learned {
    fn default() -> Self {
        Learned {
            seen: 0.0,
            work: 0.0,
            correction: 1.0,
            memory: 0.0,
            memory_correction: 1.0,
        }
    }
}

/// Counts, clocks and logs of one controller.
#[derive(Default)]
pub struct Tally {
    /// Own demand, µs of work per µs, smoothed; and work since the last tick.
    pub demand: f64,
    pub fresh_work: f64,
    /// This gateway's part of the fleet.
    pub share: f64,
    /// Cores of the ready engines, as far as they are warm.
    pub cores: f64,
    /// Engines of a zone that were lost since anything there was last heard.
    pub lost: BTreeMap<u16, BTreeSet<EngineId>>,
    /// Own threads and work left, over all engines.
    pub running: f64,
    pub left: f64,
    /// How much longer queries run lately than alone, over all engines.
    pub pace: f64,
    /// The fleet as a whole is under pressure.
    pub crowded: bool,
    /// Messages and probes that queries taken have paid for.
    pub tells: f64,
    pub probes: f64,
    pub ticking: bool,
    pub last_tell: Micros,
    pub last_log: Micros,
    pub next_ask: Option<Micros>,
    pub asks_failed: u32,
    /// Queued query looked at last.
    pub cursor: QueryId,
}

/// A token bucket; full at first.
#[derive(Clone, Copy, Default)]
pub struct Bucket(Option<(f64, Micros)>);

impl Bucket {
    /// Takes one token, if there is one, from a bucket of this rate a second and size.
    pub fn take(&mut self, now: Micros, rate: f64, most: f64) -> bool {
        let (level, at) = self.0.unwrap_or((most, now));
        let level = (level + rate * now.saturating_sub(at) as f64 / 1e6).min(most);
        let there = level >= 1.0;
        self.0 = Some((if there { level - 1.0 } else { level }, now));
        there
    }
}

impl Report {
    /// Reads a report's values; absurd ones count as absent.
    pub fn read(at: Micros, fields: &[ReportField], values: &[f64]) -> Report {
        let mut r = Report {
            at,
            ..Report::default()
        };
        for (field, &x) in fields.iter().zip(values) {
            if !(0.0..=1e6).contains(&x) {
                continue;
            }
            match field {
                ReportField::Active => r.active = Some(x),
                ReportField::Waiting => r.waiting = Some(x),
                ReportField::Busy => r.busy = Some(x.min(1.0)),
                ReportField::Memory => r.memory = Some(x.min(1.0)),
                ReportField::Disk => r.disk = Some(x.min(1.0)),
                _ => {}
            }
        }
        r
    }
}

impl Try {
    pub fn new(engine: EngineId, sent: Micros) -> Try {
        Try {
            engine,
            zone: 0,
            cell: 0,
            sent,
            outcome: None,
            projected: None,
            grant: 0.0,
            expected: 0.0,
            called_off: false,
            blocked: false,
        }
    }
}

impl Job {
    pub fn new(query: Query, arrived: Micros) -> Job {
        Job {
            query,
            arrived,
            deadline: arrived.saturating_add(query.budget),
            place: Place::Held,
            tries: Vec::new(),
            over_quota: false,
            streaming: false,
            cuts: 0,
            avoid: BTreeSet::new(),
            asked: Vec::new(),
            awaited: Vec::new(),
        }
    }

    /// Marks all attempts that are out, but for one, as called off; the actions that do so.
    pub fn call_off(&mut self, but: Option<u8>) -> Vec<Action> {
        let mut cancels = Vec::new();
        for (n, t) in self.tries.iter_mut().enumerate() {
            if t.outcome.is_none() && !t.called_off && but.map(usize::from) != Some(n) {
                t.called_off = true;
                cancels.push(Action::CancelAttempt(self.query.id, n as u8));
            }
        }
        cancels
    }
}

impl Engine {
    fn new(l: &ListedEngine, now: Micros) -> Engine {
        Engine {
            zone: l.zone,
            kind: l.kind,
            cell: l.cell,
            phase: l.phase,
            started_at: l.started_at,
            listed_born: l.started_at,
            queue: Vec::new(),
            last_group: None,
            out: BTreeSet::new(),
            threads: 0.0,
            granted: 0.0,
            others: 0.0,
            slow: 1.0,
            slow_at: now,
            report: None,
            heard: now,
            full_at: None,
            failures: 0,
            errs: 0.0,
            shut_until: 0,
            on_trial: false,
            lost: false,
            probed: 0,
            cold_sends: ColdSends::default(),
        }
    }
}

/// Book-keeping of records; none of it decides.
impl Controller {
    pub(crate) fn class(&self, id: QueryId) -> &QueryClass {
        &self.cfg.classes[usize::from(self.jobs[&id].query.class)]
    }

    /// How often a query's effect may happen: what engines can't know again must not run twice.
    pub(crate) fn idempotency(&self, id: QueryId) -> Idempotency {
        match self.class(id).idempotency {
            Idempotency::WithKey if !self.jobs[&id].query.token => Idempotency::NotIdempotent,
            idempotency => idempotency,
        }
    }

    /// Whether a load of ours holds the table group there, or a query of ours waits for somebody's.
    pub(crate) fn holds_group(&self, e: &Engine, tables: u32) -> bool {
        self.outs(e)
            .any(|(q, t)| self.jobs[&q].query.tables == tables && (self.class(q).load || t.blocked))
    }

    pub(crate) fn priority_weight(&self, id: QueryId) -> f64 {
        let by_work = if self.cfg.weight_by_work {
            self.work(id) / 1e6
        } else {
            1.0
        };
        let quota = if self.jobs[&id].over_quota {
            self.cfg.over_quota_weight
        } else {
            1.0
        };
        self.class(id).priority_weight * by_work * quota
    }

    /// Latest time at which an answer earns the full worth.
    pub(crate) fn latency_objective(&self, id: QueryId) -> f64 {
        let (job, c) = (&self.jobs[&id], self.class(id));
        let latency_objective = job.arrived as f64
            + c.latency_objective as f64
            + c.latency_objective_stretch * self.work(id) / c.threads;
        latency_objective.min(job.deadline as f64)
    }

    pub(crate) fn slot(&self, id: QueryId) -> Slot {
        let (work, threads, tables) = (
            self.work(id),
            self.class(id).threads,
            self.jobs[&id].query.tables,
        );
        Slot {
            id,
            work,
            threads,
            priority_weight: self.priority_weight(id),
            latency_objective: self.latency_objective(id),
            tables,
            planned: 0.0,
        }
    }

    pub(crate) fn memory_of(&self, e: &Engine) -> f64 {
        self.cfg
            .kinds
            .get(usize::from(e.kind))
            .and_then(|k| k.memory_mb)
            .unwrap_or(f64::MAX)
    }

    /// Mean of a figure over the classes, by how often they were seen.
    pub(crate) fn mean(&self, figure: impl Fn(usize) -> f64) -> f64 {
        let seen = |class: usize| self.learned[class].seen.max(0.1);
        let all: f64 = (0..self.learned.len()).map(|c| seen(c) * figure(c)).sum();
        all / (0..self.learned.len()).map(seen).sum::<f64>()
    }

    /// Estimated run time on an engine, all else as it was lately.
    pub(crate) fn run(&self, id: QueryId, engine: &Engine) -> f64 {
        self.work(id) / self.class(id).threads * engine.slow
    }

    /// Memory need in MB: told and corrected, else learned; 0 if unknown.
    pub(crate) fn memory(&self, id: QueryId) -> f64 {
        let q = &self.jobs[&id].query;
        let l = &self.learned[usize::from(q.class)];
        q.memory_mb.map_or(l.memory, |m| m * l.memory_correction)
    }

    pub(crate) fn mean_work(&self) -> f64 {
        self.mean(|c| self.learned[c].work)
    }

    pub(crate) fn mean_run(&self) -> f64 {
        self.mean(|c| self.learned[c].work / self.cfg.classes[c].threads)
    }

    /// Threads of the widest query.
    pub(crate) fn widest(&self) -> f64 {
        self.cfg
            .classes
            .iter()
            .map(|c| c.threads)
            .fold(1.0, f64::max)
    }

    /// Whether reports tell how busy an engine is.
    pub(crate) fn told(&self) -> bool {
        self.cfg
            .report_fields
            .iter()
            .any(|f| matches!(f, ReportField::Busy | ReportField::Active))
    }

    /// Takes a list over; engines that are not ready now are returned. A new process of an engine
    /// starts with a clean record, but keeps what is queued and out.
    pub(crate) fn record_list(
        &mut self,
        now: Micros,
        kind: ListKind,
        list: &[ListedEngine],
    ) -> Vec<EngineId> {
        for l in list {
            if l.started_at.is_some() && l.phase == Phase::Ready {
                // Somebody there started anew: the zone is no longer lost as a whole.
                self.tally.lost.remove(&l.zone);
            }
            let is_news = self
                .engines
                .get(&l.engine)
                .is_none_or(|e| e.listed_born != l.started_at);
            let started_at = l
                .started_at
                .map(|told| believed_start(now, kind, told, is_news));
            let e = self.engines.entry(l.engine).or_insert_with(|| Engine {
                started_at,
                ..Engine::new(l, now)
            });
            (e.zone, e.kind, e.cell, e.phase) = (l.zone, l.kind, l.cell, l.phase);
            if e.listed_born != l.started_at {
                let (queue, out) = (std::mem::take(&mut e.queue), std::mem::take(&mut e.out));
                let (threads, granted) = (e.threads, e.granted);
                *e = Engine {
                    queue,
                    out,
                    threads,
                    granted,
                    started_at,
                    ..Engine::new(l, now)
                };
            }
        }
        let named: BTreeSet<EngineId> = list.iter().map(|l| l.engine).collect();
        if kind != ListKind::Changes {
            for (_, e) in self
                .engines
                .iter_mut()
                .filter(|(id, _)| !named.contains(id))
            {
                e.phase = Phase::Gone;
            }
        }
        self.engines
            .iter()
            .filter(|(_, e)| e.phase != Phase::Ready)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Drops an engine that is gone once nothing is out there.
    pub(crate) fn drop_if_gone(&mut self, id: EngineId) {
        if self
            .engines
            .get(&id)
            .is_some_and(|e| e.phase == Phase::Gone && e.out.is_empty())
        {
            self.engines.remove(&id);
            self.tally
                .lost
                .values_mut()
                .for_each(|lost| lost.retain(|&e| e != id));
        }
    }

    /// Records an attempt; `slow_start` is its weight if it goes to a cold engine.
    pub(crate) fn record_send(
        &mut self,
        now: Micros,
        id: QueryId,
        t: Try,
        slow_start: Option<f64>,
    ) {
        let window = self.cfg.slow_start.map_or(0, |c| c.window);
        let threads = self.cfg.classes[usize::from(self.jobs[&id].query.class)].threads;
        let (Some(e), Some(job)) = (self.engines.get_mut(&t.engine), self.jobs.get_mut(&id)) else {
            return;
        };
        e.out.insert((id, job.tries.len() as u8));
        if e.out.len() == 1 {
            e.heard = e.heard.max(now);
        }
        e.cold_sends.forget_before(now.saturating_sub(window));
        if let Some(weight) = slow_start {
            let at = (!self.awaits_first_bytes).then_some(now);
            e.cold_sends.plan(id, job.tries.len() as u8, weight, at);
        }
        e.threads += threads;
        e.granted += t.grant;
        self.tally.running += threads;
        e.last_group = Some(job.query.tables);
        job.place = Place::Out;
        job.tries.push(Try {
            zone: e.zone,
            cell: e.cell,
            ..t
        });
    }

    /// Records an attempt's outcome; its engine, unless the outcome is known already.
    pub(crate) fn record_end(&mut self, end: &AttemptEnded) -> Option<EngineId> {
        let job = self.jobs.get_mut(&end.query)?;
        let t = job
            .tries
            .get_mut(usize::from(end.attempt))
            .filter(|t| t.outcome.is_none())?;
        t.outcome = Some(end.outcome);
        self.retries.ended(end.query, end.attempt);
        let threads = self.cfg.classes[usize::from(job.query.class)].threads;
        self.tally.running = (self.tally.running - threads).max(0.0);
        if let Some(e) = self.engines.get_mut(&t.engine) {
            e.out.remove(&(end.query, end.attempt));
            e.cold_sends.ended(end.query, end.attempt);
            let empty = e.out.is_empty();
            e.threads = if empty { 0.0 } else { e.threads - threads };
            e.granted = if empty { 0.0 } else { e.granted - t.grant };
        }
        Some(t.engine)
    }

    pub(crate) fn unqueue(&mut self, id: QueryId) {
        if let Some(Place::Queued(engine)) = self.jobs.get(&id).map(|j| j.place) {
            if let Some(e) = self.engines.get_mut(&engine) {
                e.queue.retain(|s| s.id != id);
            }
        }
    }

    pub(crate) fn place(&mut self, id: QueryId, place: Place) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.place = place;
        }
    }

    /// Queries that are not over yet.
    pub fn queries_open(&self) -> usize {
        self.jobs.len()
    }

    /// Attempts out on an engine.
    pub(crate) fn outs<'a>(&'a self, e: &'a Engine) -> impl Iterator<Item = (QueryId, &'a Try)> {
        e.out
            .iter()
            .filter_map(|(q, n)| Some((*q, self.jobs.get(q)?.tries.get(usize::from(*n))?)))
    }

    /// Records that a stream began; its other attempts are called off if `cancel`.
    pub(crate) fn record_stream(
        &mut self,
        now: Micros,
        id: QueryId,
        attempt: u8,
        cancel: bool,
    ) -> Vec<Action> {
        self.unqueue(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        job.streaming = true;
        if job.place != Place::Done {
            job.place = Place::Out;
        }
        if let Some(e) = job
            .tries
            .get(usize::from(attempt))
            .and_then(|t| self.engines.get_mut(&t.engine))
        {
            e.heard = now;
        }
        if cancel {
            job.call_off(Some(attempt))
        } else {
            Vec::new()
        }
    }

    /// The query of a key that may go now, if any; forgets a key that none waits for.
    pub(crate) fn next_of_key(&mut self, now: Micros, key: u64) -> Option<QueryId> {
        let lane = self.lanes.get(&key).filter(|l| now >= l.rest_until)?;
        let first = lane.line.front().copied();
        if first.is_none() {
            self.lanes.remove(&key);
        }
        first.filter(|id| self.jobs[id].place == Place::Behind)
    }

    /// Takes all off an engine's queue.
    pub(crate) fn hold_queue(&mut self, engine: EngineId) {
        let queue = self
            .engines
            .get_mut(&engine)
            .map(|e| std::mem::take(&mut e.queue));
        for slot in queue.unwrap_or_default() {
            self.place(slot.id, Place::Held);
        }
    }

    pub(crate) fn held(&self) -> Vec<QueryId> {
        self.jobs
            .iter()
            .filter(|(_, j)| j.place == Place::Held)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Records probes and what they cost.
    pub(crate) fn probe(&mut self, now: Micros, engines: &[EngineId], act: &mut Actions) {
        self.tally.probes -= engines.len() as f64;
        for id in engines {
            if let Some(e) = self.engines.get_mut(id) {
                e.probed = now;
                act.push(Action::Probe(*id));
            }
        }
    }

    /// Queries that wait for no word any more, now that an engine's is in; or that arrived before a time.
    pub(crate) fn scouting(&mut self, word: Option<EngineId>, before: Micros) -> Vec<QueryId> {
        let mut over = Vec::new();
        for (&id, job) in self
            .jobs
            .iter_mut()
            .filter(|(_, j)| j.place == Place::Scouting)
        {
            job.awaited.retain(|&e| Some(e) != word);
            if job.awaited.is_empty() || word.is_none() && job.arrived < before {
                over.push(id);
            }
        }
        over
    }

    pub(crate) fn ready(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(|e| e.phase == Phase::Ready)
    }

    /// Something came from an engine: it lives, and so does its zone.
    pub(crate) fn hears(&mut self, now: Micros, engine: EngineId) {
        if let Some(e) = self.engines.get_mut(&engine) {
            e.heard = now;
            self.tally.lost.remove(&e.zone);
        }
    }

    /// Takes over what came with an outcome; `heard` if the engine itself told it.
    pub(crate) fn take_report(
        &mut self,
        now: Micros,
        engine: EngineId,
        values: &[f64],
        heard: bool,
    ) {
        if heard {
            self.hears(now, engine);
        }
        if let Some(e) = self.engines.get_mut(&engine).filter(|_| !values.is_empty()) {
            e.report = Some(Report::read(now, &self.cfg.report_fields, values));
        }
    }

    /// The key whose order a query keeps, if any.
    pub(crate) fn ordered(&self, id: QueryId) -> Option<u64> {
        let q = &self.jobs.get(&id)?.query;
        q.key
            .filter(|_| self.cfg.classes[usize::from(q.class)].in_order)
    }
}
