//! Starts and ends of attempts, recorded for their query, their engine and the cluster.

use crate::events::{AttemptEnded, ProgressReport};
use crate::queries::{attempt_number, Attempt, QueryState};
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros, QueryId};

/// Records an attempt that starts. `slow_start_weight` is its weight if its engine is warming up;
/// `first_byte_at` is its send time, if it is sent at once.
pub(crate) fn record_start(
    state: &mut SchedulerState,
    now: Micros,
    id: QueryId,
    mut attempt: Attempt,
    slow_start_weight: Option<f64>,
    first_byte_at: Option<Micros>,
) {
    let window = state.settings.slow_start.map_or(0, |rule| rule.window);
    let threads = state.class(id).threads;
    let (Some(engine), Some(query)) = (
        state.engines.get_mut(&attempt.engine),
        state.queries.get_mut(&id),
    ) else {
        return;
    };
    let number = attempt_number(query.attempts.len());
    engine.in_flight.insert((id, number));
    if engine.in_flight.len() == 1 {
        // Silence is measured from here.
        engine.health.last_contact_at = engine.health.last_contact_at.max(now);
    }
    let sends = &mut engine.slow_start_sends;
    sends.prune_before(now.saturating_sub(window));
    if let Some(weight) = slow_start_weight {
        sends.plan(id, number, weight, first_byte_at);
    }
    engine.threads += threads;
    engine.granted_mb += attempt.memory_mb;
    engine.last_table_group = Some(query.query.table_group);
    state.cluster.record_start(threads);
    query.state = QueryState::InFlight;
    (attempt.zone, attempt.cell) = (engine.zone, engine.cell);
    query.attempts.push(attempt);
}

/// Records an attempt's outcome. Returns its engine, unless the outcome was already known.
pub(crate) fn record_end(state: &mut SchedulerState, ended: &AttemptEnded) -> Option<EngineId> {
    let query = state.queries.get_mut(&ended.query)?;
    let attempt = query.attempts.get_mut(usize::from(ended.attempt))?;
    if attempt.outcome.is_some() {
        return None;
    }
    attempt.outcome = Some(ended.outcome);
    let threads = state.settings.classes[usize::from(query.query.class)].threads;
    state.cluster.record_end(threads);
    if let Some(engine) = state.engines.get_mut(&attempt.engine) {
        engine.in_flight.remove(&(ended.query, ended.attempt));
        engine
            .slow_start_sends
            .release_unsent(ended.query, ended.attempt);
        if engine.in_flight.is_empty() {
            (engine.threads, engine.granted_mb) = (0.0, 0.0);
        } else {
            engine.threads -= threads;
            engine.granted_mb -= attempt.memory_mb;
        }
    }
    Some(attempt.engine)
}

/// Records that the client receives an attempt's rows.
pub(crate) fn record_stream(state: &mut SchedulerState, now: Micros, id: QueryId, attempt: u8) {
    state.unqueue(id);
    let Some(query) = state.queries.get_mut(&id) else {
        return;
    };
    query.is_streaming = true;
    if query.state != QueryState::Answered {
        query.state = QueryState::InFlight;
    }
    let attempt = query.attempts.get(usize::from(attempt));
    if let Some(engine) = attempt.and_then(|a| state.engines.get_mut(&a.engine)) {
        engine.health.last_contact_at = now;
    }
}

/// Records an engine's report on an attempt in flight.
pub(crate) fn record_progress(
    state: &mut SchedulerState,
    now: Micros,
    id: QueryId,
    attempt: u8,
    report: ProgressReport,
) {
    let query = state.queries.get_mut(&id);
    let Some(attempt) = query.and_then(|q| q.attempts.get_mut(usize::from(attempt))) else {
        return;
    };
    let id = attempt.engine;
    let Some(engine) = state.engines.get_mut(&id) else {
        return;
    };
    match report {
        ProgressReport::Progress(done) => attempt.record_progress(now, done),
        ProgressReport::WaitsForLoad => attempt.is_blocked = true,
        ProgressReport::WaitsForMemory | ProgressReport::Spills(_) => {
            engine.health.record_rejection(now);
        }
    }
    state.record_contact(now, id);
}
