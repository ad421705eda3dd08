//! Engines' queues: when queries on them are estimated to start, which may start now, and which should be routed again.
//!
//! A queue is short, as queries go elsewhere or are given up where it grows; an estimate costs one pass over it.

use crate::capacity::{has_memory_for, run_bound, threads_needed, RunBound};
use crate::engines::{Engine, QueuedQuery};
use crate::objectives;
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros, QueryId};

/// A start that is later by this much than estimated has slipped, µs.
const MAX_SLIP_MICROS: f64 = 150_000.0;
/// Queued queries that are routed again in one go, so that the cost stays bounded.
const MAX_REROUTED: usize = 12;
/// The same where a coordinator uses a subset: each costs more.
const MAX_REROUTED_WITH_SUBSET: usize = MAX_REROUTED / 4;
/// Threads of a query that nothing is known of.
const UNKNOWN_THREADS_NEEDED: f64 = 0.5;

/// A query as it stands in a queue; its planned start is filled in by routing.
pub(crate) fn queued_query(state: &SchedulerState, id: QueryId) -> QueuedQuery {
    let query = &state.queries[&id];
    QueuedQuery {
        id,
        work: state.estimates.work(&query.query),
        threads: state.class_of(query).threads,
        weight: objectives::weight(state, query),
        objective: objectives::objective(state, query),
        table_group: query.query.table_group,
        planned_start: 0.0,
    }
}

/// Estimated starts of the queries on an engine's queue, and of whatever comes behind it (the design's Eq. 13). `threads_needed`:
/// those of the query that the estimate is for.
pub(crate) fn estimated_starts(
    now: Micros,
    engine: &Engine,
    bound: &RunBound,
    threads_needed: f64,
) -> Vec<f64> {
    let mut at = now as f64;
    let must_wait = !bound.has_room(threads_needed) || !engine.queue.is_empty();
    if bound.running > 0.0 && must_wait {
        at += bound.remaining_work / bound.threads.max(bound.running);
    }
    let mut starts = Vec::with_capacity(engine.queue.len() + 1);
    starts.push(at);
    for queued in &engine.queue {
        at += queued.work * engine.slowdown.ratio() / bound.threads;
        starts.push(at);
    }
    starts
}

/// Time until a query that comes now could start, on the engine where that is soonest, µs.
pub(crate) fn shortest_wait(state: &SchedulerState, now: Micros) -> f64 {
    let wait = |engine: &Engine| {
        let bound = run_bound(state, now, engine);
        let starts = estimated_starts(now, engine, &bound, UNKNOWN_THREADS_NEEDED);
        starts[engine.queue.len()] - now as f64
    };
    state.ready_engines().map(wait).fold(f64::MAX, f64::min)
}

/// The first query of an engine's queue, if it may start there now: the run bound and memory have room, or nothing runs.
pub(crate) fn next_to_start(
    state: &SchedulerState,
    now: Micros,
    engine: &Engine,
) -> Option<QueryId> {
    let front = engine.queue.first()?;
    let bound = run_bound(state, now, engine);
    let has_room = bound.has_room(threads_needed(state, front.work, front.threads))
        && has_memory_for(state, now, &state.queries[&front.id], engine);
    let is_tried = engine.threads > 0.0 && engine.health.is_on_probation();
    let must_wait = bound.running > 0.0 && !has_room || is_tried;
    (!must_wait).then_some(front.id)
}

/// Engines with a queue, by the urgency of its first query. Where the cluster's room is shared, first to start is what is in time
/// and worth most for its work.
pub(crate) fn engines_by_urgency(state: &SchedulerState, now: Micros) -> Vec<EngineId> {
    let urgency = |(&id, engine): (&EngineId, &Engine)| {
        let front = engine.queue.first()?;
        let is_late = front.is_late(now as f64, engine.slowdown.ratio());
        Some((is_late, front.work / front.weight.max(1e-9), id))
    };
    let mut fronts: Vec<_> = state.engines.iter().filter_map(urgency).collect();
    fronts.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    fronts.into_iter().map(|front| front.2).collect()
}

/// Queued queries that should be routed again: starts move only on insertions, and these have slipped or will be late. Takes up
/// behind `last`, the query that was routed again last.
pub(crate) fn slipped_queries(state: &SchedulerState, now: Micros, last: QueryId) -> Vec<QueryId> {
    let mut slipped = Vec::new();
    for engine in state.engines.values().filter(|e| !e.queue.is_empty()) {
        let bound = run_bound(state, now, engine);
        let starts = estimated_starts(now, engine, &bound, UNKNOWN_THREADS_NEEDED);
        for (queued, &start) in engine.queue.iter().zip(&starts) {
            let has_slipped = start > queued.planned_start + MAX_SLIP_MICROS;
            if has_slipped || queued.is_late(start, engine.slowdown.ratio()) {
                slipped.push(queued.id);
            }
        }
    }
    slipped.sort();
    let behind_last = slipped.partition_point(|&id| id <= last);
    slipped.rotate_left(behind_last);
    slipped.truncate(if state.uses_subset {
        MAX_REROUTED_WITH_SUBSET
    } else {
        MAX_REROUTED
    });
    slipped
}
