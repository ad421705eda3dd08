//! Engines as this coordinator knows them: their list entries, their queues and attempts in flight,
//! and what was learned about them.
//!
//! Bound: an engine is dropped once it is gone from the list and no attempt is in flight there.

use crate::events::{ListKind, ListedEngine, Phase};
use crate::load_reports::LoadReport;
use crate::outlier_detection::EngineHealth;
use crate::send_ledger::SendLedger;
use crate::slowdown::Slowdown;
use crate::start_time::effective_start;
use crate::types::{EngineId, Micros, QueryId};
use crate::zone_failure::LostZones;
use std::collections::{BTreeMap, BTreeSet};

/// All known engines.
pub(crate) type Engines = BTreeMap<EngineId, Engine>;

/// A query in an engine's queue, with the values that routing reads often.
#[derive(Clone, Copy)]
pub(crate) struct QueuedQuery {
    pub id: QueryId,
    /// Estimated work, µs over all threads.
    pub work: f64,
    pub threads: f64,
    /// Weight of an answer within the objective.
    pub weight: f64,
    /// Latest time at which an answer earns that weight.
    pub objective: f64,
    pub table_group: u32,
    /// Start time estimated when the query was queued.
    pub planned_start: f64,
}

impl QueuedQuery {
    /// Whether the query misses its objective on an engine with this slowdown if it starts at this
    /// time.
    pub(crate) fn is_late(&self, start: f64, slowdown: f64) -> bool {
        start + self.work / self.threads * slowdown > self.objective
    }
}

/// One engine.
pub(crate) struct Engine {
    pub zone: u16,
    /// Machine kind, as an index into the settings.
    pub kind: u16,
    pub cell: u16,
    pub phase: Phase,
    /// When it last started, if recently, as far as the listed time is plausible.
    pub started_at: Option<Micros>,
    /// Last start as given by the list.
    listed_start: Option<Micros>,
    /// Queries that wait to start here, in order.
    pub queue: Vec<QueuedQuery>,
    /// Table group of the query that started here most recently.
    pub last_table_group: Option<u32>,
    /// Attempts in flight here, by query and number.
    pub in_flight: BTreeSet<(QueryId, u8)>,
    /// Threads of those attempts.
    pub threads: f64,
    /// Estimated memory of those attempts, MB.
    pub granted_mb: f64,
    /// Threads of other coordinators, from their gossip.
    pub peer_threads: f64,
    pub slowdown: Slowdown,
    pub report: Option<LoadReport>,
    pub health: EngineHealth,
    /// Work sent while the engine was warming up.
    pub slow_start_sends: SendLedger,
}

impl Engine {
    fn new(entry: &ListedEngine, started_at: Option<Micros>, now: Micros) -> Engine {
        Engine {
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            phase: entry.phase,
            started_at,
            listed_start: entry.started_at,
            queue: Vec::new(),
            last_table_group: None,
            in_flight: BTreeSet::new(),
            threads: 0.0,
            granted_mb: 0.0,
            peer_threads: 0.0,
            slowdown: Slowdown::none(now),
            report: None,
            health: EngineHealth::new(now),
            slow_start_sends: SendLedger::default(),
        }
    }

    /// The load report, if it is recent enough to be used.
    pub(crate) fn fresh_report(&self, now: Micros) -> Option<&LoadReport> {
        self.report.as_ref().filter(|r| r.is_fresh(now))
    }

    /// Applies a list entry. A restarted engine begins with a new record, but keeps its queue and
    /// its attempts in flight.
    fn update(&mut self, entry: &ListedEngine, started_at: Option<Micros>, now: Micros) {
        (self.zone, self.kind, self.cell, self.phase) =
            (entry.zone, entry.kind, entry.cell, entry.phase);
        if self.listed_start != entry.started_at {
            let fresh = Engine::new(entry, started_at, now);
            let old = std::mem::replace(self, fresh);
            (self.queue, self.in_flight) = (old.queue, old.in_flight);
            (self.threads, self.granted_mb) = (old.threads, old.granted_mb);
        }
    }
}

/// Applies a list and returns the engines that are not ready.
pub(crate) fn apply_list(
    engines: &mut Engines,
    lost_zones: &mut LostZones,
    now: Micros,
    kind: ListKind,
    list: &[ListedEngine],
) -> Vec<EngineId> {
    for entry in list {
        if entry.started_at.is_some() && entry.phase == Phase::Ready {
            // An engine of the zone has started, so the zone is not lost as a whole.
            lost_zones.record_contact(entry.zone);
        }
        let known = engines.get(&entry.engine);
        let is_new_start = known.is_none_or(|e| e.listed_start != entry.started_at);
        let started_at = entry
            .started_at
            .map(|listed| effective_start(now, kind, listed, is_new_start));
        engines
            .entry(entry.engine)
            .or_insert_with(|| Engine::new(entry, started_at, now))
            .update(entry, started_at, now);
    }
    if kind != ListKind::Changes {
        let listed: BTreeSet<EngineId> = list.iter().map(|l| l.engine).collect();
        for (_, engine) in engines.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            engine.phase = Phase::Gone;
        }
    }
    let not_ready = engines.iter().filter(|(_, e)| e.phase != Phase::Ready);
    not_ready.map(|(&id, _)| id).collect()
}

/// Drops an engine that is gone once no attempt is in flight there.
pub(crate) fn drop_if_gone(engines: &mut Engines, lost_zones: &mut LostZones, id: EngineId) {
    let is_over = |e: &Engine| e.phase == Phase::Gone && e.in_flight.is_empty();
    if engines.get(&id).is_some_and(is_over) {
        engines.remove(&id);
        lost_zones.remove_engine(id);
    }
}
