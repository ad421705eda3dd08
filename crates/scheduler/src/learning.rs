//! Learning from answers: updates the estimates of an attempt's engine, its class and the cluster.

use crate::estimates::{Sample, SAMPLE_WEIGHT};
use crate::events::{AttemptEnded, Outcome};
use crate::load_reports::LoadReport;
use crate::slowdown::{blended, MAX_SLOWDOWN, MIN_SLOWDOWN};
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros};

/// Weight of an answer in an engine's slowdown for a coordinator with small shares: answers are
/// rare there, so each counts for more.
const SUBSET_SLOWDOWN_WEIGHT: f64 = 3.0 * SAMPLE_WEIGHT;

/// Stores a load report. `is_answer`: the engine itself just sent a message.
pub(crate) fn record_report(
    state: &mut SchedulerState,
    now: Micros,
    id: EngineId,
    values: &[f64],
    is_answer: bool,
) {
    if is_answer {
        state.record_contact(now, id);
    }
    if let Some(engine) = state.engines.get_mut(&id).filter(|_| !values.is_empty()) {
        let fields = &state.settings.report_fields;
        engine.report = Some(LoadReport::read(now, fields, values));
    }
}

/// Records what the end of an attempt shows about its engine, whatever happens to the query.
pub(crate) fn record_answer(
    state: &mut SchedulerState,
    now: Micros,
    id: EngineId,
    ended: &AttemptEnded<'_>,
) {
    let is_answer = ended.outcome.is_answer();
    record_report(state, now, id, ended.report, is_answer);
    let uses_subset = state.uses_subset;
    if let Some(engine) = state.engines.get_mut(&id).filter(|_| is_answer) {
        let is_error = ended.outcome == Outcome::Error;
        engine.health.record_answer(is_error);
        if uses_subset && is_error {
            engine.slowdown.penalize_error(now);
        }
    }
}

/// Learns from a served query: the work and memory of its class, and the slowdown of the engine and
/// the cluster.
pub(crate) fn learn_from_success(
    state: &mut SchedulerState,
    now: Micros,
    id: EngineId,
    ended: &AttemptEnded<'_>,
) {
    let query = &state.queries[&ended.query];
    let threads = state.class_of(query).threads;
    let elapsed = ended.elapsed as f64;
    let sample = Sample {
        work: ended.work,
        memory_mb: ended.memory_mb,
        elapsed,
    };
    let learned = state.estimates.learn(&query.query, &sample);
    // If neither the client nor the engine gave the query's work, the class's mean is the only way
    // to tell a slow engine from a large query.
    let is_work_known = ended.work.or(query.query.work).is_some();
    let work = if state.uses_subset && !is_work_known {
        learned.class_mean
    } else {
        learned.this_query
    };
    let alone = work / threads + state.settings.clock_resolution as f64;
    let ratio = (elapsed / alone).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
    let weight = if state.uses_subset {
        SUBSET_SLOWDOWN_WEIGHT
    } else {
        SAMPLE_WEIGHT
    };
    let Some(engine) = state.engines.get_mut(&id) else {
        return;
    };
    state.cluster.slowdown = blended(state.cluster.slowdown, ratio, SAMPLE_WEIGHT);
    engine.slowdown.move_towards(ratio, weight, now);
    if engine.health.may_have_restarted() {
        // The engine may have restarted unannounced, so it is treated as newly started.
        engine.started_at = Some(now);
    }
    engine.health.record_success();
}
