//! Settings and a harness around one controller, shared by the tests.
#![allow(dead_code, reason = "not each test file uses all of it")]

use driftfront_scheduler::Controller;
use driftfront_scheduler::*;

pub(crate) const MS: u64 = 1000;
pub(crate) const S: u64 = 1_000_000;

/// A class of queries with an objective of so many µs, that may run any number of times.
pub(crate) fn class(latency_objective: u64, priority_weight: f64, threads: f64) -> QueryClass {
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
pub(crate) fn settings(classes: Vec<QueryClass>) -> Settings {
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
        retry_after: Some(S),
        cross_zone_costs: false,
        probe_cost: 0.01,
        tick: 5 * MS,
        retry_budget: None,
        slow_start: None,
        settle_time: 0,
    }
}

/// One controller, its clock, and the next query's number.
pub(crate) struct SchedulerHarness {
    pub(crate) controller: Controller,
    pub(crate) now: u64,
    next_query: u64,
}

/// A ready engine of the list.
pub(crate) fn listed(engine: u64) -> ListedEngine {
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
    pub(crate) fn new(settings: Settings, engines: &[ListedEngine]) -> SchedulerHarness {
        SchedulerHarness::seeded(settings, engines, 7)
    }

    pub(crate) fn seeded(
        settings: Settings,
        engines: &[ListedEngine],
        seed: u64,
    ) -> SchedulerHarness {
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

    /// Handles an event; its actions, but for timers and log lines.
    pub(crate) fn event(&mut self, e: Event) -> Vec<Action> {
        let mut act = Vec::new();
        self.controller.handle(self.now, e, &mut act);
        act.retain(|a| !matches!(a, Action::SetTimer { .. } | Action::Log(..)));
        act
    }

    /// A query that has not arrived yet.
    pub(crate) fn query(&mut self, class: u16, work: u64, tables: u32) -> Query {
        let id = QueryId(self.next_query);
        self.next_query += 1;
        Query {
            id,
            class,
            tenant: 0,
            work: Some(work as f64),
            memory_mb: None,
            table_group: tables,
            ordering_key: None,
            has_idempotency_key: true,
            idempotent_until: None,
            sticky_session: None,
            client_timeout: 60 * S,
        }
    }

    /// A query arrives.
    pub(crate) fn arrive(&mut self, class: u16, work: u64, tables: u32) -> (QueryId, Vec<Action>) {
        let q = self.query(class, work, tables);
        (q.id, self.event(Event::QueryArrived(q)))
    }

    /// An attempt ends.
    pub(crate) fn end(
        &mut self,
        q: QueryId,
        attempt: u8,
        outcome: Outcome,
        spent: u64,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnded {
            query: q,
            attempt,
            outcome,
            last: outcome == Outcome::Ok,
            spent,
            work: None,
            memory_mb: None,
            report: &[],
        }))
    }

    /// A probe is answered with a load report.
    pub(crate) fn report(&mut self, e: u64, values: &[f64]) {
        self.event(Event::ProbeEnded {
            engine: EngineId(e),
            outcome: Outcome::Ok,
            report: values,
        });
    }

    /// Time passes, with a tick every 50 ms.
    pub(crate) fn tick(&mut self, after: u64) -> Vec<Action> {
        let mut all = Vec::new();
        let until = self.now + after;
        while self.now < until {
            self.now += 50 * MS;
            all.extend(self.event(Event::TimerFired(0)));
        }
        all
    }
}

/// The attempts among actions: query and engine.
pub(crate) fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::StartAttempt {
                query: q,
                engine: e,
                ..
            } = a
            {
                Some((q.0, e.0))
            } else {
                None
            }
        })
        .collect()
}
