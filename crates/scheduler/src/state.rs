//! State that decisions read: the settings, and the records of engines, queries, classes and peers.
//!
//! The modules that own the records change them; this module provides lookups and derived values,
//! and makes no decisions.

use crate::cluster_load::ClusterLoad;
use crate::engines::{Engine, Engines};
use crate::estimates::Estimates;
use crate::events::Phase;
use crate::gossip::Peers;
use crate::queries::{Attempt, PendingQuery, QueryState};
use crate::settings::{Idempotency, OutOfMemory, QueryClass, ReportField, Settings};
use crate::types::{EngineId, Micros, QueryId};
use crate::zone_failure::LostZones;
use std::collections::BTreeMap;

/// Cores of an engine if the settings give none.
const DEFAULT_CORES: f64 = 8.0;
/// Threads per core that all coordinators together run on an engine under pressure. Throughput
/// drops beyond it.
pub(crate) const CLUSTER_THREADS_PER_CORE: f64 = 1.2;
/// Lower bound on an engine's slowdown relative to the cluster's mean in random draws.
const MIN_RELATIVE_SLOWDOWN: f64 = 0.5;

/// The state of one coordinator's scheduler.
pub(crate) struct SchedulerState {
    pub settings: Settings,
    /// Seed of choices that must be the same each time.
    pub salt: u64,
    pub engines: Engines,
    pub queries: BTreeMap<QueryId, PendingQuery>,
    pub estimates: Estimates,
    pub cluster: ClusterLoad,
    pub lost_zones: LostZones,
    pub peers: Peers,
    /// This coordinator's share of an engine is less than one thread. It limits threads over the
    /// whole cluster, and considers a subset of the engines for each query.
    pub uses_subset: bool,
    /// Threads of the widest query.
    pub max_query_threads: f64,
    /// Load reports include how busy an engine is.
    pub has_load_reports: bool,
    /// An engine that pages cannot recover soon, since attempts cannot be cancelled.
    pub is_paging_permanent: bool,
}

impl SchedulerState {
    /// Initial state.
    pub(crate) fn new(settings: Settings, salt: u64) -> SchedulerState {
        let cores = settings.kinds.iter().filter_map(|k| k.cores);
        let max_cores = cores.reduce(f64::max).unwrap_or(DEFAULT_CORES);
        let threads = settings.classes.iter().map(|c| c.threads);
        let is_load_field = |f: &ReportField| matches!(f, ReportField::Busy | ReportField::Active);
        let pages = settings.out_of_memory == OutOfMemory::Page;
        SchedulerState {
            salt,
            engines: Engines::new(),
            queries: BTreeMap::new(),
            estimates: Estimates::new(&settings.classes),
            cluster: ClusterLoad::new(settings.coordinators),
            lost_zones: LostZones::default(),
            peers: Peers::default(),
            uses_subset: max_cores * CLUSTER_THREADS_PER_CORE < f64::from(settings.coordinators),
            max_query_threads: threads.fold(1.0, f64::max),
            has_load_reports: settings.report_fields.iter().any(is_load_field),
            is_paging_permanent: pages && !settings.may_cancel,
            settings,
        }
    }

    /// Class of an open query.
    pub(crate) fn class(&self, id: QueryId) -> &QueryClass {
        self.class_of(&self.queries[&id])
    }

    /// Class of a query.
    pub(crate) fn class_of(&self, query: &PendingQuery) -> &QueryClass {
        &self.settings.classes[usize::from(query.query.class)]
    }

    /// Whether a query may run more than once: without an idempotency key, engines cannot recognize
    /// repeats.
    pub(crate) fn idempotency(&self, query: &PendingQuery) -> Idempotency {
        match self.class_of(query).idempotency {
            Idempotency::WithKey if !query.query.has_idempotency_key => Idempotency::NotIdempotent,
            Idempotency::Idempotent if query.query.runs_once => Idempotency::NotIdempotent,
            idempotency => idempotency,
        }
    }

    /// Ordering key of a query, if its class keeps the order.
    pub(crate) fn ordering_key(&self, id: QueryId) -> Option<u64> {
        let query = self.queries.get(&id)?;
        query
            .query
            .ordering_key
            .filter(|_| self.class_of(query).in_order)
    }

    /// Estimated work of a query, µs over all threads.
    pub(crate) fn work(&self, id: QueryId) -> f64 {
        self.estimates.work(&self.queries[&id].query)
    }

    /// Estimated run time of a query without other load, µs.
    pub(crate) fn run_time_alone(&self, id: QueryId) -> f64 {
        let query = &self.queries[&id];
        self.estimates.work(&query.query) / self.class_of(query).threads
    }

    /// Estimated memory need of a query in MB; 0 if unknown.
    pub(crate) fn memory_mb(&self, id: QueryId) -> f64 {
        self.estimates.memory_mb(&self.queries[&id].query)
    }

    /// Cores of an engine: of its machine kind, otherwise of the first kind with a known number.
    pub(crate) fn cores(&self, engine: &Engine) -> f64 {
        let kinds = &self.settings.kinds;
        let own = kinds.get(usize::from(engine.kind)).and_then(|k| k.cores);
        own.or_else(|| kinds.iter().find_map(|k| k.cores))
            .unwrap_or(DEFAULT_CORES)
    }

    /// Memory of an engine in MB; unbounded if unknown.
    pub(crate) fn engine_memory_mb(&self, engine: &Engine) -> f64 {
        let kind = self.settings.kinds.get(usize::from(engine.kind));
        kind.and_then(|k| k.memory_mb).unwrap_or(f64::MAX)
    }

    /// Weight of an engine in random draws: its cores over the squared relative slowdown. A query
    /// of mean run time meets most objectives even on a slow engine, so the objectives alone would
    /// not steer queries away.
    pub(crate) fn draw_weight(&self, engine: &Engine) -> f64 {
        let relative_slowdown = engine.slowdown.ratio() / self.cluster.slowdown;
        self.cores(engine) / relative_slowdown.max(MIN_RELATIVE_SLOWDOWN).powi(2)
    }

    /// Engines that accept work.
    pub(crate) fn ready_engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(|e| e.phase == Phase::Ready)
    }

    /// Attempts in flight on an engine.
    pub(crate) fn attempts_on<'a>(
        &'a self,
        engine: &'a Engine,
    ) -> impl Iterator<Item = (&'a PendingQuery, &'a Attempt)> {
        engine.in_flight.iter().filter_map(|(id, number)| {
            let query = self.queries.get(id)?;
            Some((query, query.attempts.get(usize::from(*number))?))
        })
    }

    /// Whether a load of this coordinator has locked the table group on an engine, or one of its
    /// attempts there waits for a load.
    pub(crate) fn holds_table_group(&self, engine: &Engine, table_group: u32) -> bool {
        self.attempts_on(engine).any(|(query, attempt)| {
            query.query.table_group == table_group
                && (self.class_of(query).is_load || attempt.is_blocked)
        })
    }

    /// Queries that are in no engine's queue because no engine was eligible.
    pub(crate) fn unplaced_queries(&self) -> Vec<QueryId> {
        let unplaced = |q: &PendingQuery| q.state == QueryState::Unplaced;
        let queries = self.queries.iter().filter(|(_, q)| unplaced(q));
        queries.map(|(&id, _)| id).collect()
    }

    /// Sets the state of a query.
    pub(crate) fn set_query_state(&mut self, id: QueryId, state: QueryState) {
        if let Some(query) = self.queries.get_mut(&id) {
            query.state = state;
        }
    }

    /// Removes a query from its engine's queue, if it is in one.
    pub(crate) fn unqueue(&mut self, id: QueryId) {
        let Some(QueryState::Queued(engine)) = self.queries.get(&id).map(|q| q.state) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.queue.retain(|q| q.id != id);
        }
    }

    /// Removes all queries from an engine's queue; they become unplaced.
    pub(crate) fn clear_queue(&mut self, engine: EngineId) {
        let queue = self.engines.get_mut(&engine).map(|e| &mut e.queue);
        for queued in queue.map(std::mem::take).unwrap_or_default() {
            self.set_query_state(queued.id, QueryState::Unplaced);
        }
    }

    /// Records a message from an engine: the engine and its zone are reachable.
    pub(crate) fn record_contact(&mut self, now: Micros, engine: EngineId) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.health.last_contact_at = now;
            self.lost_zones.record_contact(engine.zone);
        }
    }
}
