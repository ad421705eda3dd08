//! Engine queues: estimated start times, which query may start now, and which should be routed
//! again.
//!
//! Queues stay short, since queries are routed elsewhere or abandoned as a queue grows. An estimate
//! takes one pass over the queue.

use crate::capacity::{has_memory_for, run_bound, threads_needed, RunBound};
use crate::engines::{Engine, QueuedQuery};
use crate::objectives;
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros, QueryId};

/// A query has slipped if its start is later than planned by more than this, in µs.
const MAX_SLIP_MICROS: f64 = 150_000.0;
/// Maximum number of queued queries that are routed again at a time, which bounds the cost.
const MAX_REROUTED: usize = 12;
/// The same for a coordinator that uses a subset, where each costs more.
const MAX_REROUTED_WITH_SUBSET: usize = MAX_REROUTED / 4;
/// Threads needed by an unspecified query.
const UNKNOWN_THREADS_NEEDED: f64 = 0.5;

/// The queue entry of a query. Routing sets its planned start.
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

/// Estimated start times of the queries in an engine's queue, and of a query added at its end (Eq.
/// 13). `threads_needed` is for the query that the estimate is made for.
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

/// Time until a query that arrives now could start on the engine with the shortest wait, µs.
pub(crate) fn shortest_wait(state: &SchedulerState, now: Micros) -> f64 {
    let wait = |engine: &Engine| {
        let bound = run_bound(state, now, engine);
        let starts = estimated_starts(now, engine, &bound, UNKNOWN_THREADS_NEEDED);
        starts[engine.queue.len()] - now as f64
    };
    state.ready_engines().map(wait).fold(f64::MAX, f64::min)
}

/// The first query of an engine's queue, if it may start now: the run bound and memory have room,
/// or nothing is running.
pub(crate) fn next_to_start(
    state: &SchedulerState,
    now: Micros,
    engine: &Engine,
) -> Option<QueryId> {
    let front = engine.queue.first()?;
    let bound = run_bound(state, now, engine);
    let has_room = bound.has_room(threads_needed(state, front.work, front.threads))
        && has_memory_for(state, now, &state.queries[&front.id], engine);
    let is_on_trial = engine.threads > 0.0 && engine.health.is_on_probation();
    let must_wait = bound.running > 0.0 && !has_room || is_on_trial;
    (!must_wait).then_some(front.id)
}

/// Engines with a queue, ordered by their first query: those in time come first, then those with
/// the highest weight for their work. The cluster's room, where it is shared, is allocated in this
/// order.
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

/// Queued queries that should be routed again because their start slipped or they will be late;
/// queue positions otherwise change only on insertion. Continues after `last`, the query that was
/// routed again last.
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
