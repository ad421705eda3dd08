//! Value of an answer as a function of its time.
//!
//! An answer within the query's latency objective earns the full weight, a later one before the
//! deadline earns the late fraction of it, and one after the deadline earns nothing.

use crate::queries::PendingQuery;
use crate::state::SchedulerState;
use crate::types::QueryId;

/// Weight of an answer within the objective.
pub(crate) fn weight(state: &SchedulerState, query: &PendingQuery) -> f64 {
    let by_work = if state.settings.weight_by_work {
        state.estimates.work(&query.query) / 1e6
    } else {
        1.0
    };
    let by_quota = if query.is_over_quota {
        state.settings.over_quota_weight
    } else {
        1.0
    };
    state.class_of(query).priority_weight * by_work * by_quota
}

/// Latest time at which an answer earns the full weight.
pub(crate) fn objective(state: &SchedulerState, query: &PendingQuery) -> f64 {
    let class = state.class_of(query);
    let stretch = class.latency_objective_stretch * state.estimates.work(&query.query);
    let objective =
        query.arrived_at as f64 + class.latency_objective as f64 + stretch / class.threads;
    objective.min(query.deadline as f64)
}

/// Value of an answer at this time.
pub(crate) fn value(state: &SchedulerState, id: QueryId, finish: f64) -> f64 {
    let query = &state.queries[&id];
    let late_share = if finish <= query.deadline as f64 {
        state.class_of(query).late_weight
    } else {
        0.0
    };
    let share = if finish <= objective(state, query) {
        1.0
    } else {
        late_share
    };
    weight(state, query) * share
}
