//! Candidates: which engines are looked at at all for a query.
//!
//! Input: the query's class, what was tried, and the engines' records. Output: engine ids. Bound: where a coordinator has a small
//! part of each engine, few engines; else all that the rules allow.

use crate::capacity::is_memory_exhausted;
use crate::engines::Engine;
use crate::events::Phase;
use crate::queries::PendingQuery;
use crate::random::Random;
use crate::retry::may_send_to;
use crate::settings::{Idempotency, QueryClass};
use crate::slow_start;
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros, QueryId};

/// Engines drawn at random where many choose from stale views: two break the herd.
pub(crate) const DRAWN_ENGINES: usize = 2;
/// Engines that a coordinator with a small part draws from: few, so that connections and estimates last.
const CIRCLE_ENGINES: usize = 10;
/// Engines that all coordinators prefer for a table group, so that their caches stay warm.
pub(crate) const AFFINITY_ENGINES: usize = 2;

/// Engines that may get a query: allowed by the rules, and healthy if any of those is.
pub(crate) fn eligible_engines(state: &SchedulerState, now: Micros, id: QueryId) -> Vec<EngineId> {
    let query = &state.queries[&id];
    let class = state.class_of(query);
    let mut allowed: Vec<(EngineId, u8)> = Vec::new();
    for (&engine_id, engine) in &state.engines {
        if is_allowed(state, now, query, class, engine_id, engine) {
            allowed.push((
                engine_id,
                drawbacks(state, now, query, class, engine_id, engine),
            ));
        }
    }
    // A fault that ejects every engine must not stop all traffic: then the least bad are eligible.
    let least = allowed.iter().map(|a| a.1).min().unwrap_or(0);
    allowed.retain(|a| a.1 == least);
    // A session's engine comes first while it is as well as any.
    let is_there = |engine: EngineId| allowed.iter().any(|a| a.0 == engine);
    if let Some(session) = query.query.sticky_session.filter(|s| is_there(s.engine)) {
        return vec![session.engine];
    }
    allowed.into_iter().map(|a| a.0).collect()
}

/// Whether the rules allow an engine for a query.
fn is_allowed(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    class: &QueryClass,
    id: EngineId,
    engine: &Engine,
) -> bool {
    let is_named = |list: &Option<Vec<u16>>, x: u16| list.as_ref().is_none_or(|l| l.contains(&x));
    engine.phase == Phase::Ready
        && is_named(&class.zones, engine.zone)
        && is_named(&class.kinds, engine.kind)
        && query
            .query
            .sticky_session
            .is_none_or(|s| !s.is_exclusive || s.engine == id)
        && !is_memory_exhausted(state, now, engine)
        && slow_start::has_room(state, now, query, engine)
        && may_send_to(state, now, query, engine)
}

/// What speaks against an engine, the heavier the higher: 2 if it is ejected, or on probation and taken; 1 if the query would do
/// better elsewhere.
fn drawbacks(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    class: &QueryClass,
    id: EngineId,
    engine: &Engine,
) -> u8 {
    let is_occupied =
        || !engine.in_flight.is_empty() || state.idempotency(query) == Idempotency::NotIdempotent;
    let health = &engine.health;
    let is_outlier = health.is_ejected(now) || health.is_on_probation() && is_occupied();
    let is_poor = query.avoided.contains(&id)
        || (class.is_load || class.waits_for_loads)
            && state.holds_table_group(engine, query.query.table_group)
        || state.uses_subset && health.has_rejected_lately(now)
        || state.lost_zones.is_lost(engine.zone);
    u8::from(is_outlier) * 2 + u8::from(is_poor)
}

/// Narrows eligible engines to a few, where many coordinators choose from equally stale views: those of the table group,
/// which all coordinators compute alike, then some at random, against herds. The number of the former, which come first.
pub(crate) fn narrow_to_subset(
    state: &SchedulerState,
    random: &mut Random,
    now: Micros,
    id: QueryId,
    eligible: &mut Vec<EngineId>,
) -> usize {
    let query = &state.queries[&id];
    // Those that were probed; else one that warms up, here by a chance of its own: a second draw would leave it idle.
    let is_first = |engine: &EngineId| {
        if query.probed.is_empty() {
            slow_start::is_warming_up(state, now, &state.engines[engine])
        } else {
            query.probed.contains(engine)
        }
    };
    if eligible.iter().any(is_first) {
        eligible.retain(is_first);
        return 0;
    }
    let preferred = sort_preferred_first(state, now, query.query.table_group, eligible);
    // Each coordinator has a circle of its own, the same while its engines are well; large engines take more.
    let own_order = |e: &EngineId| Random(e.0 ^ state.salt).below(usize::MAX);
    eligible[preferred..].sort_by_cached_key(own_order);
    let circle_end = eligible.len().min(preferred + CIRCLE_ENGINES);
    let circle = &mut eligible[preferred..circle_end];
    let weight = |e: &EngineId| state.draw_weight(&state.engines[e]);
    let mut weights: Vec<f64> = circle.iter().map(weight).collect();
    random.shuffle_front_weighted(circle, &mut weights, DRAWN_ENGINES);
    eligible.truncate(preferred + DRAWN_ENGINES);
    preferred
}

/// Moves the engines of a table group to the front; their number. One without a load report is none of them: it would take a
/// whole group's queries, however full.
fn sort_preferred_first(
    state: &SchedulerState,
    now: Micros,
    table_group: u32,
    eligible: &mut [EngineId],
) -> usize {
    let max_preferred = if state.has_load_reports {
        AFFINITY_ENGINES.min(eligible.len())
    } else {
        0
    };
    let group = u64::from(table_group) << 48;
    eligible.sort_by_cached_key(|e| Random(e.0 ^ group).below(usize::MAX));
    let has_fresh_report = |e: &EngineId| state.engines[e].fresh_report(now).is_some();
    let preferred = &mut eligible[..max_preferred];
    preferred.sort_by_key(|e| !has_fresh_report(e));
    preferred.iter().filter(|e| has_fresh_report(e)).count()
}
