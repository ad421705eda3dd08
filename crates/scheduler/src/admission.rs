//! Admission: which queries are shed as they arrive, though they could be queued.
//!
//! Input: the query's quota and the engines' pressure. Output: yes or no.

use crate::capacity::is_pressed;
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Whether a query is shed: one beyond its tenant's quota is worth little, and while every engine is under pressure it would only
/// displace what is within.
pub(crate) fn is_shed(state: &SchedulerState, now: Micros, id: QueryId) -> bool {
    let mut engines = state.ready_engines();
    state.queries[&id].is_over_quota && engines.all(|engine| is_pressed(state, now, engine))
}
