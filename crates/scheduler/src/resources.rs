//! Resources of an attempt: the memory that it is granted and its priority on the engine.

use crate::capacity::is_pressed;
use crate::engines::Engine;
use crate::objectives;
use crate::settings::OutOfMemory;
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Memory granted over the need: a spill costs more than a little idle memory.
const GRANT_MARGIN: f64 = 1.6;
/// ... and more where nothing presses, or where only use counts.
const UNPRESSED_GRANT_MARGIN: f64 = 2.0;
/// Priorities of light queries and of others in time; what is late gets the lowest, 0.
const LIGHT_PRIORITY: u8 = 3;
const HEAVY_PRIORITY: u8 = 1;

/// The memory that an attempt is granted, MB: the believed need and some to spare, more while there is room. 0 leaves it to the
/// engine.
pub(crate) fn memory_grant(
    state: &SchedulerState,
    now: Micros,
    id: QueryId,
    engine: &Engine,
) -> f64 {
    // Where memory pages, a grant beyond the need costs nothing: only use counts.
    let pages = state.settings.out_of_memory == OutOfMemory::Page;
    let need = if state.settings.grants {
        state.memory_mb(id)
    } else {
        0.0
    };
    let has_room = pages || !is_pressed(state, now, engine);
    let margin = GRANT_MARGIN
        * if has_room {
            UNPRESSED_GRANT_MARGIN
        } else {
            1.0
        };
    let max_share = state.settings.max_grant_share.unwrap_or(1.0);
    (need * margin).min(state.engine_memory_mb(engine) * max_share)
}

/// The priority of an attempt that is expected to run so long: short queries first, since they hold an engine least; the lowest
/// for what comes late anyway.
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
