//! Slow start: what may go to an engine that is warming up.
//!
//! Input: when the engine started, and the attempts sent to it since. Output: its present part of its capacity; whether one more
//! query may go there; whether an attempt's first byte may go out. Bound: within any window of the settings' length an engine that
//! warms up gets no more than this coordinator's part of its budget, counted as attempts go out.

use crate::engines::Engine;
use crate::queries::PendingQuery;
use crate::random::Random;
use crate::settings::SlowStart;
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Part of the budget used: the rule weighs by usual work, not by ours.
const BUDGET_USE: f64 = 0.7;
/// Capacity is where cores are this busy (the rule's own definition).
const CAPACITY_BUSY_SHARE: f64 = 0.85;
/// The most demand an engine's chance counts with, as a multiple of capacity.
const MAX_DEMAND: f64 = 1.5;
/// Queries above this part of a window's budget have less chance: they scatter.
const WHOLE_CHANCE_SHARE: f64 = 0.125;
/// At least this part of all work counts as fit for engines that warm up.
const MIN_FIT_SHARE: f64 = 0.5;
/// Chances are drawn in steps of one in so many.
const CHANCE_STEPS: usize = 1 << 20;

/// Share of its capacity that an engine can be counted on for; 1 once it is warm.
pub(crate) fn warmth(state: &SchedulerState, now: Micros, engine: &Engine) -> f64 {
    let (Some(rule), Some(started_at)) = (state.settings.slow_start, engine.started_at) else {
        return 1.0;
    };
    let age = now.saturating_sub(started_at) as f64 / rule.warm_up_time.max(1) as f64;
    rule.initial_share + (1.0 - rule.initial_share) * (2.0 * age - 1.0).clamp(0.0, 1.0)
}

/// Whether an engine is warming up.
pub(crate) fn is_warming_up(state: &SchedulerState, now: Micros, engine: &Engine) -> bool {
    warmth(state, now, engine) < 1.0
}

/// What a query counts for: its class's usual work, as the rule weighs it.
pub(crate) fn weight(state: &SchedulerState, query: &PendingQuery) -> f64 {
    state.estimates.cautious_class_work(&query.query)
}

/// Whether an engine has room for a query: always once it is warm, else this coordinator's part of what it may be sent in any
/// window. Against a thundering herd on engines just started; also covers those that answer again after failing, which may have
/// restarted unannounced.
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
    let (whole, weight) = (budget(state, now, engine, &rule), weight(state, query));
    if !state.uses_subset {
        return recent + weight <= whole / f64::from(state.settings.coordinators.max(1));
    }
    recent <= WHOLE_CHANCE_SHARE * whole
        && weight <= whole / 2.0
        && wins_draw(state, now, query, engine, &rule, whole, weight)
}

/// A part of an engine that is under one query can't be counted out: each query has a chance, and all fill the budget; small ones
/// have what is left.
fn wins_draw(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    engine: &Engine,
    rule: &SlowStart,
    whole: f64,
    weight: f64,
) -> bool {
    let fit = |work: f64| (WHOLE_CHANCE_SHARE * whole / work).min(1.0).powi(3);
    let fits = state.estimates.mean(|_, work| work * fit(work)) / state.estimates.mean_work();
    let relative_weight = state.draw_weight(engine) / state.cores(engine);
    let fit = fit(weight) / fits.max(MIN_FIT_SHARE) * relative_weight.min(1.0);
    let demand = state.cluster.cores * CAPACITY_BUSY_SHARE * MAX_DEMAND * rule.window as f64;
    let chance = fit * whole / demand;
    // The same query gets the same draw for an engine within a window: asking again is no second chance.
    let window = (now / rule.window.max(1)) << 40;
    let seed = state.salt ^ query.query.id.0 ^ engine.started_at.unwrap_or(0) ^ window;
    let draw = Random(seed).below(CHANCE_STEPS);
    (draw as f64) < chance * CHANCE_STEPS as f64
}

/// Work that an engine may be sent within the rule's window while it warms up, by all coordinators, µs.
fn budget(state: &SchedulerState, now: Micros, engine: &Engine, rule: &SlowStart) -> f64 {
    let warmth = warmth(state, now, engine);
    let capacity = state.cores(engine) * CAPACITY_BUSY_SHARE * warmth * rule.window as f64;
    BUDGET_USE * rule.overload_multiple * capacity
}

/// Whether an engine takes the first byte of an attempt now that was planned while it was warming up; if so, it is counted as
/// sent.
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
    // A part of an engine that is under one query: chance decides there, not a sum.
    let is_bounded = !state.uses_subset && is_warming_up(state, now, engine);
    let coordinators = f64::from(state.settings.coordinators.max(1));
    let part = budget(state, now, engine, &rule) / coordinators;
    if is_bounded && sent > 0.0 && sent + weight > part {
        return false;
    }
    if let Some(engine) = state.engines.get_mut(&id) {
        engine.slow_start_sends.mark_sent(now, query, attempt);
    }
    true
}
