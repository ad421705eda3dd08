//! Overruns: attempts that run far too long because of a bad plan or a failing engine, and the
//! response to them.
//!
//! Input: the attempts in flight, once per tick. Output: the attempts that overrun, and for each
//! whether another attempt would earn more.

use crate::objectives;
use crate::queries::{attempt_number, Attempt, PendingQuery};
use crate::retry::may_reject;
use crate::slowdown::MAX_SLOWDOWN;
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// An attempt overruns if its projected run time exceeds this multiple of the expected one
/// and it has run for at least [`MIN_OVERRUN_AGE_MICROS`].
pub(crate) const OVERRUN_RATIO: f64 = 3.5;
/// Minimum age of an attempt that overruns, in µs. Earlier progress reports are too inaccurate.
const MIN_OVERRUN_AGE_MICROS: f64 = 400_000.0;
/// A late query is ended if it would earn less than this fraction of what new work would.
const MIN_WORTHWHILE_SHARE: f64 = 0.5;

/// An attempt that overruns.
pub(crate) struct Overrun {
    pub query: QueryId,
    pub attempt: u8,
    /// Projected finish time.
    finish: f64,
}

/// Response to an overrun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OverrunResponse {
    /// Keep the attempt: this earns most.
    Leave,
    /// Replace it with another attempt.
    Replace,
    /// End the query.
    GiveUp,
}

/// All attempts that currently overrun.
pub(crate) fn find_overruns(state: &SchedulerState, now: Micros) -> Vec<Overrun> {
    let mut overruns = Vec::new();
    for (&id, query) in &state.queries {
        if !query.may_be_interrupted() {
            continue;
        }
        for (number, attempt) in query.in_flight().filter(|(_, a)| a.is_running()) {
            if let Some(finish) = overrun_finish(state, now, query, attempt) {
                overruns.push(Overrun {
                    query: id,
                    attempt: attempt_number(number),
                    finish,
                });
            }
        }
    }
    overruns
}

/// Projected finish time of an attempt that overruns; `None` if it does not overrun.
fn overrun_finish(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    attempt: &Attempt,
) -> Option<f64> {
    let age = attempt.age(now);
    if age < MIN_OVERRUN_AGE_MICROS {
        return None;
    }
    let slowdown = if state.uses_subset {
        state.cluster.slowdown
    } else {
        0.0
    };
    let alone = state.estimates.work(&query.query) / state.class_of(query).threads;
    let usual = attempt.expected_run.max(alone * slowdown);
    // Without progress reports, an attempt that has overrun is projected to run for this multiple
    // of its age.
    let long = if age > OVERRUN_RATIO * usual {
        OVERRUN_RATIO * age
    } else {
        age
    };
    let run = attempt.projected_run.map_or(long, |run| run.max(age));
    let finish = attempt.sent_at as f64 + run;
    let is_late = || state.uses_subset && finish > objectives::objective(state, query);
    (run > OVERRUN_RATIO * usual || is_late()).then_some(finish)
}

/// Mean weight that one µs of work earns.
pub(crate) fn mean_weight_of_work(state: &SchedulerState) -> f64 {
    let weight = |class: usize, _: f64| state.settings.classes[class].priority_weight;
    state.estimates.mean(weight) / state.estimates.mean_work()
}

/// Chooses the response to an overrun. `weight_of_work` is what one µs of new work earns.
pub(crate) fn respond(
    state: &SchedulerState,
    now: Micros,
    overrun: &Overrun,
    weight_of_work: f64,
) -> OverrunResponse {
    let (id, finish) = (overrun.query, overrun.finish);
    let query = &state.queries[&id];
    let slowdowns = state.ready_engines().map(|e| e.slowdown.ratio());
    let best_slowdown = slowdowns.fold(MAX_SLOWDOWN, f64::min);
    let replacement_finish = now as f64 + state.run_time_alone(id) * best_slowdown;
    let value_if_kept = objectives::value(state, id, finish);
    let value_if_replaced = objectives::value(state, id, replacement_finish);
    if query.overruns == 0
        && value_if_replaced > 0.0
        && value_if_replaced >= value_if_kept
        && replacement_finish < finish
    {
        return OverrunResponse::Replace;
    }
    // Under pressure, late queries take capacity from others, even if only their plan was bad.
    // Ending them costs weight if the late fraction is high.
    let remaining = (finish - now as f64).max(1.0) * state.class_of(query).threads;
    let holds_up_others = state.uses_subset
        && state.settings.may_cancel
        && value_if_kept < MIN_WORTHWHILE_SHARE * weight_of_work * remaining
        && finish > objectives::objective(state, query);
    let earns_nothing =
        value_if_kept + value_if_replaced <= 0.0 && state.settings.progress_interval.is_some();
    if (holds_up_others || earns_nothing) && may_reject(state, query) {
        OverrunResponse::GiveUp
    } else {
        OverrunResponse::Leave
    }
}
