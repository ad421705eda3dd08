//! Admission: which queries are shed on arrival instead of being queued.
//!
//! Input: the query's quota and the pressure on the engines. Output: yes or no.

use crate::capacity::is_under_pressure;
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Whether a query is shed. A query over its tenant's quota has little weight, and while every
/// engine is under pressure it would only displace queries within quota.
pub(crate) fn is_shed(state: &SchedulerState, now: Micros, id: QueryId) -> bool {
    let mut engines = state.ready_engines();
    state.queries[&id].is_over_quota && engines.all(|engine| is_under_pressure(state, now, engine))
}
