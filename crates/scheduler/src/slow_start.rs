//! Slow start: limits the work sent to an engine that is warming up.
//!
//! Input: the engine's start time, and the attempts sent to it since. Output: its current fraction
//! of full capacity, whether it has room for a query, and whether an attempt's first byte may be
//! sent. Bound: within any window of the configured length, an engine that is warming up gets at
//! most this coordinator's share of its budget, counted when attempts are sent.

use crate::engines::Engine;
use crate::queries::PendingQuery;
use crate::random::Random;
use crate::settings::SlowStart;
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Fraction of the budget that is used. The rule weighs queries by their usual work, which differs
/// from the estimates here.
const BUDGET_USE: f64 = 0.7;
/// Capacity is defined at this fraction of busy cores, as in the rule itself.
const CAPACITY_BUSY_SHARE: f64 = 0.85;
/// Highest demand that an engine's probability of selection allows for, as a multiple of capacity.
const MAX_DEMAND: f64 = 1.5;
/// Queries above this fraction of a window's budget get a lower probability, as they would make the
/// use of the budget vary widely.
const FULL_CHANCE_SHARE: f64 = 0.125;
/// Lower bound on the fraction of all work that is suitable for engines that are warming up.
const MIN_SUITABLE_SHARE: f64 = 0.5;
/// Resolution of the random draws.
const CHANCE_STEPS: usize = 1 << 20;

/// Fraction of its capacity that an engine provides; 1 once it is warm.
pub(crate) fn warm_capacity_share(state: &SchedulerState, now: Micros, engine: &Engine) -> f64 {
    let (Some(rule), Some(started_at)) = (state.settings.slow_start, engine.started_at) else {
        return 1.0;
    };
    let age = now.saturating_sub(started_at) as f64 / rule.warm_up_time.max(1) as f64;
    rule.initial_share + (1.0 - rule.initial_share) * (2.0 * age - 1.0).clamp(0.0, 1.0)
}

/// Whether an engine is warming up.
pub(crate) fn is_warming_up(state: &SchedulerState, now: Micros, engine: &Engine) -> bool {
    warm_capacity_share(state, now, engine) < 1.0
}

/// Weight of a query in the budget: the usual work of its class, as in the rule.
pub(crate) fn weight(state: &SchedulerState, query: &PendingQuery) -> f64 {
    state.estimates.cautious_class_work(&query.query)
}

/// Whether an engine has room for a query: always once it is warm, otherwise within this
/// coordinator's share of the window's budget. Prevents a thundering herd on engines that have just
/// started, and on engines that respond again after a failure, which may have restarted
/// unannounced.
pub(crate) fn has_room(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    engine: &Engine,
) -> bool {
    let (Some(rule), true) = (state.settings.slow_start, is_warming_up(state, now, engine)) else {
        return true;
    };
    let begin = now.saturating_sub(rule.window);
    let recent = engine.slow_start_sends.planned_weight_since(begin);
    let (window_budget, weight) = (budget(state, now, engine, &rule), weight(state, query));
    if !state.uses_subset {
        return recent + weight <= window_budget / f64::from(state.settings.coordinators.max(1));
    }
    recent <= FULL_CHANCE_SHARE * window_budget
        && weight <= window_budget / 2.0
        && wins_draw(state, now, query, engine, &rule, window_budget, weight)
}

/// Admits queries at random if this coordinator's share of an engine is less than one query, so
/// that queries cannot be counted against it. The probabilities are such that all coordinators
/// together use the budget; small queries use what large ones leave.
fn wins_draw(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    engine: &Engine,
    rule: &SlowStart,
    window_budget: f64,
    weight: f64,
) -> bool {
    let suitability = |work: f64| (FULL_CHANCE_SHARE * window_budget / work).min(1.0).powi(3);
    let mean_suitability =
        state.estimates.mean(|_, work| work * suitability(work)) / state.estimates.mean_work();
    let relative_weight = state.draw_weight(engine) / state.cores(engine);
    let suitability =
        suitability(weight) / mean_suitability.max(MIN_SUITABLE_SHARE) * relative_weight.min(1.0);
    let demand = state.cluster.cores * CAPACITY_BUSY_SHARE * MAX_DEMAND * rule.window as f64;
    let chance = suitability * window_budget / demand;
    // The draw for a query, engine and window is fixed, so a repeated call gives no second chance.
    let window = (now / rule.window.max(1)) << 40;
    let seed = state.salt ^ query.query.id.0 ^ engine.started_at.unwrap_or(0) ^ window;
    let draw = Random(seed).below(CHANCE_STEPS);
    (draw as f64) < chance * CHANCE_STEPS as f64
}

/// Work in µs that all coordinators together may send to an engine per window while it warms up.
fn budget(state: &SchedulerState, now: Micros, engine: &Engine, rule: &SlowStart) -> f64 {
    let warm_capacity_share = warm_capacity_share(state, now, engine);
    let capacity =
        state.cores(engine) * CAPACITY_BUSY_SHARE * warm_capacity_share * rule.window as f64;
    BUDGET_USE * rule.overload_multiple * capacity
}

/// Whether the first byte of an attempt that was planned while its engine was warming up may be
/// sent now; if so, records it as sent.
pub(crate) fn admit_first_byte(
    state: &mut SchedulerState,
    now: Micros,
    query: QueryId,
    attempt: u8,
) -> bool {
    let Some(rule) = state.settings.slow_start else {
        return true;
    };
    let attempts = state.queries.get(&query).map(|q| &q.attempts);
    let Some(sent) = attempts.and_then(|a| a.get(usize::from(attempt))) else {
        return true;
    };
    let id = sent.engine;
    let Some(engine) = state.engines.get(&id) else {
        return true;
    };
    let Some(weight) = engine.slow_start_sends.waiting_weight(query, attempt) else {
        return true;
    };
    let begin = now.saturating_sub(rule.window);
    let sent = engine.slow_start_sends.sent_weight_since(begin);
    // With a share of less than one query, admission is by random draw and there is no sum to
    // check.
    let is_bounded = !state.uses_subset && is_warming_up(state, now, engine);
    let coordinators = f64::from(state.settings.coordinators.max(1));
    let coordinator_budget = budget(state, now, engine, &rule) / coordinators;
    if is_bounded && sent > 0.0 && sent + weight > coordinator_budget {
        return false;
    }
    if let Some(engine) = state.engines.get_mut(&id) {
        engine.slow_start_sends.mark_sent(now, query, attempt);
    }
    true
}
