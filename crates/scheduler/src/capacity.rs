//! Capacity: what an engine is held to, what runs there, and whether it is under pressure.
//!
//! Input: load reports, own attempts, peers' word. Output: run bounds in threads, and work in µs over all threads.

use crate::engines::Engine;
use crate::queries::{Attempt, PendingQuery};
use crate::settings::OutOfMemory;
use crate::slow_start::{is_warming_up, warmth};
use crate::slowdown::PRESSURE_SLOWDOWN;
use crate::state::{SchedulerState, CLUSTER_THREADS_PER_CORE};
use crate::types::Micros;

/// Threads a core in a coordinator's part of one engine, plus one widest query.
const PART_THREADS_PER_CORE: f64 = 2.2;
/// The bound without pressure, as a multiple: lets bursts through, but no flood.
const UNPRESSED_BOUND: f64 = 2.0;
/// The bound over the cluster of a coordinator with a small part, as a multiple; squared when nothing presses.
const SUBSET_BOUND: f64 = 1.8;
/// Queries that are lighter than the mean may pass an engine's bound by so many widest ones.
const LIGHT_QUERY_PASS: f64 = 1.0;
/// An overrunning attempt holds up those behind it: this share of its expected run at least counts as still to come.
const MIN_REMAINING_SHARE: f64 = 0.2;
/// Resources busier than this mean pressure.
const PRESSURE_SHARE: f64 = 0.88;
/// Memory granted past this is all of it: reports are noisy and stop at the whole.
const EXHAUSTED_MEMORY_SHARE: f64 = 0.97;

/// What an engine is held to, and what counts against that: this coordinator's part of it or, where it uses a subset, of the
/// cluster, where one wide query is many times the part.
#[derive(Clone, Copy)]
pub(crate) struct RunBound {
    /// Threads that may run.
    pub threads: f64,
    /// Threads that do.
    pub running: f64,
    /// Work still to come from those, µs.
    pub remaining_work: f64,
}

impl RunBound {
    /// Whether so many threads more fit.
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
        * looseness(state, now, engine)
        * state.cluster.share;
    RunBound {
        threads: (part + state.max_query_threads) * warmth(state, now, engine),
        running: engine.threads,
        remaining_work: remaining_work(state, now, engine),
    }
}

fn cluster_run_bound(state: &SchedulerState) -> RunBound {
    // What can't be cancelled on an engine that pages has to be right when it goes: no slack.
    let (multiple, extra) = match (state.is_paging_final, state.cluster.is_overloaded) {
        (true, true) => (1.0, 0.0),
        (true, false) => (UNPRESSED_BOUND, 0.0),
        (false, true) => (SUBSET_BOUND, 0.0),
        (false, false) => (SUBSET_BOUND * SUBSET_BOUND, state.max_query_threads),
    };
    let pool = state.cluster.cores * CLUSTER_THREADS_PER_CORE * state.cluster.share;
    RunBound {
        threads: pool * multiple + extra,
        running: state.cluster.threads,
        remaining_work: state.cluster.remaining_work,
    }
}

/// Threads a core that an engine is held to.
pub(crate) fn threads_per_core(state: &SchedulerState) -> f64 {
    if state.uses_subset {
        CLUSTER_THREADS_PER_CORE
    } else {
        PART_THREADS_PER_CORE
    }
}

/// Threads of a query that must fit under the bound: half its own. Light ones may pass it, as they would miss their objectives
/// behind wide ones that run for seconds; a coordinator with a small part has slack for them, unless that is gone.
pub(crate) fn threads_needed(state: &SchedulerState, work: f64, threads: f64) -> f64 {
    let may_pass = !state.uses_subset || state.is_paging_final || state.cluster.is_overloaded;
    let pass = if may_pass && work < state.estimates.mean_work() {
        LIGHT_QUERY_PASS * state.max_query_threads
    } else {
        0.0
    };
    threads / 2.0 - pass
}

/// Whether a query's memory fits into this coordinator's part of an engine. A small part is less than one query needs: there
/// threads alone are bounded.
pub(crate) fn has_memory_for(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    engine: &Engine,
) -> bool {
    state.uses_subset || {
        let needed = engine.granted_mb + state.estimates.memory_mb(&query.query);
        let part = state.engine_memory_mb(engine) * state.cluster.share;
        needed <= part * looseness(state, now, engine)
    }
}

/// The bound's multiple, by pressure.
fn looseness(state: &SchedulerState, now: Micros, engine: &Engine) -> f64 {
    if is_pressed(state, now, engine) {
        1.0
    } else {
        UNPRESSED_BOUND
    }
}

/// Whether an engine is under pressure: a busy report, or one of more queries than the bound has threads for; runs far longer
/// than alone; a query rejected.
pub(crate) fn is_pressed(state: &SchedulerState, now: Micros, engine: &Engine) -> bool {
    is_reported_busy(state, now, engine)
        || engine.slowdown.ratio() > PRESSURE_SLOWDOWN
        || engine.health.has_rejected_lately(now)
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

/// Whether all memory is granted away where one query more slows all: nothing is to start there until a report says otherwise or
/// is too old. By its idle cores an engine that pages would draw all traffic.
pub(crate) fn is_memory_exhausted(state: &SchedulerState, now: Micros, engine: &Engine) -> bool {
    let granted = engine.fresh_report(now).and_then(|r| r.memory);
    state.settings.out_of_memory == OutOfMemory::Page
        && granted.is_some_and(|share| share >= EXHAUSTED_MEMORY_SHARE)
}

/// Work still to come from what is out on an engine, by expectation or the last progress report, µs.
pub(crate) fn remaining_work(state: &SchedulerState, now: Micros, engine: &Engine) -> f64 {
    let remaining = |(query, attempt): (&PendingQuery, &Attempt)| {
        let run = attempt.projected_run.unwrap_or(attempt.expected_run);
        let remaining = run - attempt.age(now);
        let least = MIN_REMAINING_SHARE * attempt.expected_run;
        remaining.max(least) * state.class_of(query).threads
    };
    state.attempts_on(engine).map(remaining).sum()
}

/// Work that other coordinators have on an engine, from its last report and, if they are few, from their own word, µs; `None` if
/// neither says anything.
pub(crate) fn work_of_others(state: &SchedulerState, now: Micros, engine: &Engine) -> Option<f64> {
    let has_peers = !state.peers.is_empty() && !state.uses_subset;
    let known_from_peers = has_peers.then_some(engine.peer_threads);
    let threads = known_from_peers
        .into_iter()
        .chain(reported_threads_of_others(state, now, engine))
        .reduce(f64::max)?;
    Some(threads * state.estimates.mean_work() * engine.slowdown.ratio())
}

/// Threads of other coordinators, and queries that wait, by an engine's load report.
fn reported_threads_of_others(state: &SchedulerState, now: Micros, engine: &Engine) -> Option<f64> {
    let reported = engine.fresh_report(now).and_then(|report| {
        // The scarcest counts: an engine that pages or waits for its disks has idle cores.
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
    // Just started and unheard, an engine is empty, not like the rest.
    let is_new =
        || state.uses_subset && engine.report.is_none() && is_warming_up(state, now, engine);
    reported.or_else(|| is_new().then_some(0.0))
}
