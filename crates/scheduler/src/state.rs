//! What decisions read: the settings, and the records of engines, queries, classes and peers.
//!
//! The records change by the functions of their own modules; this one looks up and derives, and decides nothing.

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

/// Cores of an engine where none are told.
const DEFAULT_CORES: f64 = 8.0;
/// Threads a core that all coordinators together run on an engine under pressure; beyond it less is done.
pub(crate) const CLUSTER_THREADS_PER_CORE: f64 = 1.2;
/// No engine counts as faster than this in draws, over the cluster's mean.
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
    /// This coordinator's part of an engine is under one thread: it counts over the whole cluster, and looks at a subset of the
    /// engines for each query.
    pub uses_subset: bool,
    /// Threads of the widest query.
    pub max_query_threads: f64,
    /// Load reports tell how busy an engine is.
    pub has_load_reports: bool,
    /// An engine that is out of memory stays so, as nothing can be cancelled.
    pub is_paging_final: bool,
}

impl SchedulerState {
    /// Nothing is known but the settings.
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
            is_paging_final: pages && !settings.may_cancel,
            settings,
        }
    }

    /// The class of a query that is not over.
    pub(crate) fn class(&self, id: QueryId) -> &QueryClass {
        self.class_of(&self.queries[&id])
    }

    /// The class of a query.
    pub(crate) fn class_of(&self, query: &PendingQuery) -> &QueryClass {
        &self.settings.classes[usize::from(query.query.class)]
    }

    /// How often a query's effect may happen: what engines can't know again must not run twice.
    pub(crate) fn idempotency(&self, query: &PendingQuery) -> Idempotency {
        match self.class_of(query).idempotency {
            Idempotency::WithKey if !query.query.has_idempotency_key => Idempotency::NotIdempotent,
            idempotency => idempotency,
        }
    }

    /// The key whose order a query keeps, if any.
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

    /// Estimated run time of a query where nothing slows it, µs.
    pub(crate) fn run_alone(&self, id: QueryId) -> f64 {
        let query = &self.queries[&id];
        self.estimates.work(&query.query) / self.class_of(query).threads
    }

    /// Estimated memory need of a query in MB; 0 if unknown.
    pub(crate) fn memory_mb(&self, id: QueryId) -> f64 {
        self.estimates.memory_mb(&self.queries[&id].query)
    }

    /// Cores of an engine: of its kind, else of any kind that is told.
    pub(crate) fn cores(&self, engine: &Engine) -> f64 {
        let kinds = &self.settings.kinds;
        let own = kinds.get(usize::from(engine.kind)).and_then(|k| k.cores);
        own.or_else(|| kinds.iter().find_map(|k| k.cores))
            .unwrap_or(DEFAULT_CORES)
    }

    /// Memory of an engine in MB; unbounded where none is told.
    pub(crate) fn engine_memory_mb(&self, engine: &Engine) -> f64 {
        let kind = self.settings.kinds.get(usize::from(engine.kind));
        kind.and_then(|k| k.memory_mb).unwrap_or(f64::MAX)
    }

    /// Weight of an engine in draws: by cores and believed pace, as a mean run fits most objectives even on a slow engine.
    pub(crate) fn draw_weight(&self, engine: &Engine) -> f64 {
        let relative = engine.slowdown.ratio() / self.cluster.slowdown;
        self.cores(engine) / relative.max(MIN_RELATIVE_SLOWDOWN).powi(2)
    }

    /// Engines that take work.
    pub(crate) fn ready_engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(|e| e.phase == Phase::Ready)
    }

    /// Attempts that are out on an engine.
    pub(crate) fn attempts_on<'a>(
        &'a self,
        engine: &'a Engine,
    ) -> impl Iterator<Item = (&'a PendingQuery, &'a Attempt)> {
        engine.in_flight.iter().filter_map(|(id, number)| {
            let query = self.queries.get(id)?;
            Some((query, query.attempts.get(usize::from(*number))?))
        })
    }

    /// Whether a load of this coordinator holds the table group there, or one of its queries waits for somebody's.
    pub(crate) fn holds_table_group(&self, engine: &Engine, table_group: u32) -> bool {
        self.attempts_on(engine).any(|(query, attempt)| {
            query.query.table_group == table_group
                && (self.class_of(query).is_load || attempt.is_blocked)
        })
    }

    /// Queries that are on no engine's queue, since none was eligible.
    pub(crate) fn unplaced_queries(&self) -> Vec<QueryId> {
        let unplaced = |q: &PendingQuery| q.state == QueryState::Unplaced;
        let queries = self.queries.iter().filter(|(_, q)| unplaced(q));
        queries.map(|(&id, _)| id).collect()
    }

    /// Moves a query to another state.
    pub(crate) fn set_query_state(&mut self, id: QueryId, state: QueryState) {
        if let Some(query) = self.queries.get_mut(&id) {
            query.state = state;
        }
    }

    /// Takes a query off its engine's queue, if it is on one.
    pub(crate) fn unqueue(&mut self, id: QueryId) {
        let Some(QueryState::Queued(engine)) = self.queries.get(&id).map(|q| q.state) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.queue.retain(|q| q.id != id);
        }
    }

    /// Takes all queries off an engine's queue: they are on none then.
    pub(crate) fn clear_queue(&mut self, engine: EngineId) {
        let queue = self.engines.get_mut(&engine).map(|e| &mut e.queue);
        for queued in queue.map(std::mem::take).unwrap_or_default() {
            self.set_query_state(queued.id, QueryState::Unplaced);
        }
    }

    /// Records that something came from an engine: it lives, and so does its zone.
    pub(crate) fn record_contact(&mut self, now: Micros, engine: EngineId) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.health.last_contact_at = now;
            self.lost_zones.record_contact(engine.zone);
        }
    }
}
