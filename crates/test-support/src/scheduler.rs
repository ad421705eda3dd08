//! Settings of the scheduler, and a harness around one controller.

use driftfront_scheduler::{
    Action, AttemptEnded, Controller, DeduplicationScope, EngineId, Event, Idempotency, ListKind,
    ListedEngine, MachineKind, OutOfMemory, Outcome, Phase, Query, QueryClass, QueryId,
    ReportField, Settings,
};

/// A millisecond in the scheduler's unit, microseconds.
pub const MS: u64 = 1000;
/// A second in the scheduler's unit, microseconds.
pub const S: u64 = 1_000_000;
/// Time between the ticks of [`SchedulerHarness::tick`], in microseconds.
const TICK_INTERVAL: u64 = 50 * MS;
/// Seed of a harness for which the test names none.
const DEFAULT_SEED: u64 = 7;

/// A class of queries with an objective of so many µs, that may run any number of times.
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

/// A lone coordinator, which may cancel but neither probe nor gossip; two kinds of machines with two cores.
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

/// One controller, its clock, and the next query's number.
pub struct SchedulerHarness {
    /// The controller under test.
    pub controller: Controller,
    /// The present time, in microseconds.
    pub now: u64,
    next_query: u64,
}

/// A ready engine of the list.
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
    /// A harness whose controller knows these engines.
    pub fn new(settings: Settings, engines: &[ListedEngine]) -> SchedulerHarness {
        SchedulerHarness::seeded(settings, engines, DEFAULT_SEED)
    }

    /// A harness whose controller knows these engines and draws its random numbers from this seed.
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

    /// Handles an event and returns the actions it caused, without timers and log lines.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. } | Action::Log(..)));
        actions
    }

    /// A query that has not arrived yet, under the next free number.
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
            sticky_session: None,
            client_timeout: 60 * S,
        }
    }

    /// A query arrives; its number, and what the controller does.
    pub fn arrive(&mut self, class: u16, work: u64, table_group: u32) -> (QueryId, Vec<Action>) {
        let query = self.query(class, work, table_group);
        (query.id, self.event(Event::QueryArrived(query)))
    }

    /// An attempt ends after `spent` microseconds.
    pub fn end(
        &mut self,
        query: QueryId,
        attempt: u8,
        outcome: Outcome,
        spent: u64,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnded {
            query,
            attempt,
            outcome,
            query_answered: outcome == Outcome::Ok,
            elapsed: spent,
            work: None,
            memory_mb: None,
            report: &[],
        }))
    }

    /// A probe is answered with a load report.
    pub fn report(&mut self, engine: u64, values: &[f64]) {
        self.event(Event::ProbeEnded {
            engine: EngineId(engine),
            outcome: Outcome::Ok,
            report: values,
        });
    }

    /// Lets `duration` microseconds pass, with a tick every 50 ms, and returns the actions of all ticks.
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

/// The attempts that are started among `actions`: query and engine of each.
pub fn started_attempts(actions: &[Action]) -> Vec<(u64, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::StartAttempt { query, engine, .. } => Some((query.0, engine.0)),
            _ => None,
        })
        .collect()
}
