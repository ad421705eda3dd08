//! Resources of an attempt: its memory grant and its priority on the engine.

use crate::capacity::is_under_pressure;
use crate::engines::Engine;
use crate::objectives;
use crate::settings::OutOfMemory;
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Factor on the estimated need: a spill costs more than some idle memory.
const GRANT_MARGIN: f64 = 1.6;
/// Further factor if the engine is not under pressure, or if only memory in use counts.
const UNPRESSURED_GRANT_FACTOR: f64 = 2.0;
/// Priorities of light queries, and of other queries that are in time. Late queries get priority 0,
/// the lowest.
const LIGHT_PRIORITY: u8 = 3;
const HEAVY_PRIORITY: u8 = 1;

/// Memory grant of an attempt in MB: the estimated need plus a margin, larger while the engine has
/// room. 0 leaves the choice to the engine.
pub(crate) fn memory_grant(
    state: &SchedulerState,
    now: Micros,
    id: QueryId,
    engine: &Engine,
) -> f64 {
    // On an engine that pages, a grant beyond the need is free: only memory in use counts.
    let pages = state.settings.out_of_memory == OutOfMemory::Page;
    let need = if state.settings.grants {
        state.memory_mb(id)
    } else {
        0.0
    };
    let has_room = pages || !is_under_pressure(state, now, engine);
    let margin = GRANT_MARGIN
        * if has_room {
            UNPRESSURED_GRANT_FACTOR
        } else {
            1.0
        };
    let max_share = state.settings.max_grant_share.unwrap_or(1.0);
    (need * margin).min(state.engine_memory_mb(engine) * max_share)
}

/// Priority of an attempt with this expected run time. Short queries come first, since they occupy
/// an engine least; queries that will be late anyway get the lowest priority.
pub(crate) fn priority(state: &SchedulerState, now: Micros, id: QueryId, expected_run: f64) -> u8 {
    let query = &state.queries[&id];
    if now as f64 + expected_run > objectives::objective(state, query) {
        0
    } else if state.work(id) < state.estimates.mean_work() {
        LIGHT_PRIORITY
    } else {
        HEAVY_PRIORITY
    }
}
