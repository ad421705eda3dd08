//! Capacity: run bounds of engines, work running there, and whether an engine is under pressure.
//!
//! Input: load reports, own attempts, and peers' gossip. Output: run bounds in threads, and work in
//! µs over all threads.

use crate::engines::Engine;
use crate::queries::{Attempt, PendingQuery};
use crate::settings::OutOfMemory;
use crate::slow_start::{is_warming_up, warm_capacity_share};
use crate::slowdown::PRESSURE_SLOWDOWN;
use crate::state::{SchedulerState, CLUSTER_THREADS_PER_CORE};
use crate::types::Micros;

/// Threads per core in a coordinator's share of an engine, to which one widest query is added.
const SHARE_THREADS_PER_CORE: f64 = 2.2;
/// Multiplier of the bound on an engine that is not under pressure: admits bursts, but still limits
/// the load.
const UNPRESSURED_BOUND_MULTIPLIER: f64 = 2.0;
/// Multiplier of the cluster-wide bound of a coordinator with small shares; squared when the
/// cluster is not overloaded.
const SUBSET_BOUND_MULTIPLIER: f64 = 1.8;
/// Queries lighter than the mean may exceed an engine's bound by this many widest queries.
const LIGHT_QUERY_ALLOWANCE: f64 = 1.0;
/// An attempt that overruns still delays the queries behind it, so its remaining work is at least
/// this fraction of its expected run.
const MIN_REMAINING_SHARE: f64 = 0.2;
/// A resource busier than this means pressure.
const PRESSURE_SHARE: f64 = 0.88;
/// Memory counts as exhausted above this fraction: reports are noisy and capped at 1.
const EXHAUSTED_MEMORY_SHARE: f64 = 0.97;

/// Limit on running threads, and the usage that counts against it: of this coordinator's share of
/// an engine or, if it uses a subset, of the cluster, as one wide query exceeds its share of an
/// engine many times over.
#[derive(Clone, Copy)]
pub(crate) struct RunBound {
    /// Maximum number of running threads.
    pub threads: f64,
    /// Threads that are running.
    pub running: f64,
    /// Remaining work of the running attempts, µs.
    pub remaining_work: f64,
}

impl RunBound {
    /// Whether this many more threads fit.
    pub(crate) fn has_room(&self, threads: f64) -> bool {
        self.running + threads <= self.threads
    }
}

/// The run bound for an engine.
pub(crate) fn run_bound(state: &SchedulerState, now: Micros, engine: &Engine) -> RunBound {
    if state.uses_subset {
        return cluster_run_bound(state);
    }
    let part = state.cores(engine)
        * threads_per_core(state)
        * bound_multiplier(state, now, engine)
        * state.cluster.share;
    RunBound {
        threads: (part + state.max_query_threads) * warm_capacity_share(state, now, engine),
        running: engine.threads,
        remaining_work: remaining_work(state, now, engine),
    }
}

fn cluster_run_bound(state: &SchedulerState) -> RunBound {
    // If engines page and attempts cannot be cancelled, the bound includes no extra threads,
    // because an engine that pages cannot recover soon.
    let (multiple, extra) = match (state.is_paging_permanent, state.cluster.is_overloaded) {
        (true, true) => (1.0, 0.0),
        (true, false) => (UNPRESSURED_BOUND_MULTIPLIER, 0.0),
        (false, true) => (SUBSET_BOUND_MULTIPLIER, 0.0),
        (false, false) => (
            SUBSET_BOUND_MULTIPLIER * SUBSET_BOUND_MULTIPLIER,
            state.max_query_threads,
        ),
    };
    let pool = state.cluster.cores * CLUSTER_THREADS_PER_CORE * state.cluster.share;
    RunBound {
        threads: pool * multiple + extra,
        running: state.cluster.threads,
        remaining_work: state.cluster.remaining_work,
    }
}

/// Threads per core that an engine is limited to.
pub(crate) fn threads_per_core(state: &SchedulerState) -> f64 {
    if state.uses_subset {
        CLUSTER_THREADS_PER_CORE
    } else {
        SHARE_THREADS_PER_CORE
    }
}

/// Threads of a query that must fit under the bound: half of its own. Light queries may exceed the
/// bound, since they would miss their objectives behind wide queries that run for seconds. A
/// coordinator with small shares has slack for them, unless its engines page or the cluster is
/// overloaded.
pub(crate) fn threads_needed(state: &SchedulerState, work: f64, threads: f64) -> f64 {
    let may_exceed = !state.uses_subset || state.is_paging_permanent || state.cluster.is_overloaded;
    let allowance = if may_exceed && work < state.estimates.mean_work() {
        LIGHT_QUERY_ALLOWANCE * state.max_query_threads
    } else {
        0.0
    };
    threads / 2.0 - allowance
}

/// Whether a query's memory fits into this coordinator's share of an engine. A small share is less
/// than one query needs, so only threads are bounded there.
pub(crate) fn has_memory_for(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    engine: &Engine,
) -> bool {
    state.uses_subset || {
        let needed = engine.granted_mb + state.estimates.memory_mb(&query.query);
        let part = state.engine_memory_mb(engine) * state.cluster.share;
        needed <= part * bound_multiplier(state, now, engine)
    }
}

/// Multiplier of the bound, depending on pressure.
fn bound_multiplier(state: &SchedulerState, now: Micros, engine: &Engine) -> f64 {
    if is_under_pressure(state, now, engine) {
        1.0
    } else {
        UNPRESSURED_BOUND_MULTIPLIER
    }
}

/// Whether an engine is under pressure: it reports a busy resource, waiting queries, or more
/// queries than the bound has threads for; its queries run far longer than alone; or it recently
/// rejected a query.
pub(crate) fn is_under_pressure(state: &SchedulerState, now: Micros, engine: &Engine) -> bool {
    is_reported_busy(state, now, engine)
        || engine.slowdown.ratio() > PRESSURE_SLOWDOWN
        || engine.health.has_rejected_recently(now)
}

fn is_reported_busy(state: &SchedulerState, now: Micros, engine: &Engine) -> bool {
    let Some(report) = engine.fresh_report(now) else {
        return false;
    };
    if report.shares().any(|share| share > PRESSURE_SHARE) || report.waiting.unwrap_or(0.0) >= 1.0 {
        return true;
    }
    let estimates = &state.estimates;
    let threads = report.active.unwrap_or(0.0) * estimates.mean_work() / estimates.mean_run();
    threads > threads_per_core(state) * state.cores(engine)
}

/// Whether all memory of an engine that pages is granted. Nothing may start there until a newer
/// report shows free memory or the report expires: the engine's idle cores would otherwise attract
/// all traffic.
pub(crate) fn is_memory_exhausted(state: &SchedulerState, now: Micros, engine: &Engine) -> bool {
    let granted = engine.fresh_report(now).and_then(|r| r.memory);
    state.settings.out_of_memory == OutOfMemory::Page
        && granted.is_some_and(|share| share >= EXHAUSTED_MEMORY_SHARE)
}

/// Remaining work of the attempts in flight on an engine, from their expected run time or last
/// progress report, µs.
pub(crate) fn remaining_work(state: &SchedulerState, now: Micros, engine: &Engine) -> f64 {
    let remaining = |(query, attempt): (&PendingQuery, &Attempt)| {
        let run = attempt.projected_run.unwrap_or(attempt.expected_run);
        let remaining = run - attempt.age(now);
        let min_remaining = MIN_REMAINING_SHARE * attempt.expected_run;
        remaining.max(min_remaining) * state.class_of(query).threads
    };
    state.attempts_on(engine).map(remaining).sum()
}

/// Work of other coordinators on an engine in µs, from its last load report and, with few
/// coordinators, from their gossip; `None` if neither is available.
pub(crate) fn work_of_others(state: &SchedulerState, now: Micros, engine: &Engine) -> Option<f64> {
    let has_peers = !state.peers.is_empty() && !state.uses_subset;
    let known_from_peers = has_peers.then_some(engine.peer_threads);
    let threads = known_from_peers
        .into_iter()
        .chain(reported_threads_of_others(state, now, engine))
        .reduce(f64::max)?;
    Some(threads * state.estimates.mean_work() * engine.slowdown.ratio())
}

/// Running threads of other coordinators plus waiting queries, from an engine's load report.
fn reported_threads_of_others(state: &SchedulerState, now: Micros, engine: &Engine) -> Option<f64> {
    let reported = engine.fresh_report(now).and_then(|report| {
        // The scarcest resource counts: an engine that pages or waits for its disks has idle cores.
        let scarcest = report.shares().reduce(f64::max);
        let busy = scarcest.map(|share| (share * state.cores(engine) - engine.threads).max(0.0));
        let own = engine.in_flight.len() as f64;
        let active = report.active.map(|active| (active - own).max(0.0));
        let running = busy.into_iter().chain(active).reduce(f64::max);
        running
            .into_iter()
            .chain(report.waiting)
            .reduce(|sum, part| sum + part)
    });
    // An engine that has just started and sent no report is empty rather than average.
    let is_new =
        || state.uses_subset && engine.report.is_none() && is_warming_up(state, now, engine);
    reported.or_else(|| is_new().then_some(0.0))
}
