//! Scheduler settings, and a test harness for a single controller.

use driftfront_scheduler::{
    Action, AttemptEnded, Controller, DeduplicationScope, EngineId, Event, Idempotency, ListKind,
    ListedEngine, MachineKind, OutOfMemory, Outcome, Phase, Query, QueryClass, QueryId,
    ReportField, Settings,
};

/// One millisecond in microseconds, the scheduler's unit of time.
pub const MS: u64 = 1000;
/// One second in microseconds, the scheduler's unit of time.
pub const S: u64 = 1_000_000;
/// Interval of the ticks of [`SchedulerHarness::tick`], in microseconds.
const TICK_INTERVAL: u64 = 50 * MS;
/// Seed of a harness if the test sets none.
const DEFAULT_SEED: u64 = 7;

/// Returns a class of idempotent queries with a latency objective in µs.
pub fn class(latency_objective: u64, priority_weight: f64, threads: f64) -> QueryClass {
    QueryClass {
        latency_objective,
        latency_objective_stretch: 0.0,
        priority_weight,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 5 * S,
        in_order: false,
        zones: None,
        kinds: None,
        threads,
        is_load: false,
        waits_for_loads: false,
    }
}

/// Returns the settings of a single coordinator that may cancel, but neither probe nor gossip, with two machine kinds of two cores
/// each.
pub fn settings(classes: Vec<QueryClass>) -> Settings {
    Settings {
        coordinators: 1,
        number: 0,
        zone: 0,
        classes,
        kinds: vec![
            MachineKind {
                cores: Some(2.0),
                memory_mb: None
            };
            2
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_by_work: false,
        poll_discovery: false,
        poll_timeout: None,
        grants: false,
        priorities: false,
        max_grant_share: None,
        out_of_memory: OutOfMemory::Wait,
        progress_interval: None,
        report_fields: vec![ReportField::Waiting],
        report_on_probe: false,
        may_cancel: true,
        may_probe: false,
        may_gossip: false,
        may_hedge: false,
        max_attempts: None,
        max_retry_after: Some(S),
        cross_zone_costs: false,
        probe_cost: 0.01,
        clock_resolution: 5 * MS,
        retry_budget: None,
        slow_start: None,
        settle_time: 0,
    }
}

/// A controller, its clock, and the number of the next query.
pub struct SchedulerHarness {
    /// The controller under test.
    pub controller: Controller,
    /// The current time, in microseconds.
    pub now: u64,
    next_query: u64,
}

/// Returns an engine list entry of a ready engine.
pub fn listed(engine: u64) -> ListedEngine {
    ListedEngine {
        engine: EngineId(engine),
        zone: 0,
        kind: 0,
        cell: 0,
        phase: Phase::Ready,
        started_at: None,
    }
}

impl SchedulerHarness {
    /// Creates a harness whose controller knows these engines.
    pub fn new(settings: Settings, engines: &[ListedEngine]) -> SchedulerHarness {
        SchedulerHarness::seeded(settings, engines, DEFAULT_SEED)
    }

    /// Creates a harness whose controller knows these engines and uses this random seed.
    pub fn seeded(settings: Settings, engines: &[ListedEngine], seed: u64) -> SchedulerHarness {
        let mut harness = SchedulerHarness {
            controller: Controller::new(settings, seed),
            now: 100 * S,
            next_query: 1,
        };
        harness.event(Event::EnginesListed {
            kind: ListKind::Cached,
            engines,
        });
        harness
    }

    /// Handles an event and returns the resulting actions, without timers and log lines.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. } | Action::Log(..)));
        actions
    }

    /// Creates a query with the next free number. The controller does not know it yet.
    pub fn query(&mut self, class: u16, work: u64, table_group: u32) -> Query {
        let id = QueryId(self.next_query);
        self.next_query += 1;
        Query {
            id,
            class,
            tenant: 0,
            work: Some(work as f64),
            memory_mb: None,
            table_group,
            ordering_key: None,
            has_idempotency_key: true,
            idempotent_until: None,
            runs_once: false,
            sticky_session: None,
            client_timeout: 60 * S,
        }
    }

    /// Submits a query. Returns its number and the controller's actions.
    pub fn arrive(&mut self, class: u16, work: u64, table_group: u32) -> (QueryId, Vec<Action>) {
        let query = self.query(class, work, table_group);
        (query.id, self.event(Event::QueryArrived(query)))
    }

    /// Ends an attempt after `elapsed` microseconds.
    pub fn end(
        &mut self,
        query: QueryId,
        attempt: u8,
        outcome: Outcome,
        elapsed: u64,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnded {
            query,
            attempt,
            outcome,
            query_answered: outcome == Outcome::Ok,
            elapsed,
            work: None,
            memory_mb: None,
            report: &[],
        }))
    }

    /// Ends a probe with a load report.
    pub fn report(&mut self, engine: u64, values: &[f64]) {
        self.event(Event::ProbeEnded {
            engine: EngineId(engine),
            outcome: Outcome::Ok,
            report: values,
        });
    }

    /// Advances the clock by `duration` microseconds with a tick every 50 ms, and returns the actions of all ticks.
    pub fn tick(&mut self, duration: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            actions.extend(self.event(Event::TimerFired(0)));
        }
        actions
    }
}

/// Returns the query and the engine of each attempt started by `actions`.
pub fn started_attempts(actions: &[Action]) -> Vec<(u64, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::StartAttempt { query, engine, .. } => Some((query.0, engine.0)),
            _ => None,
        })
        .collect()
}
