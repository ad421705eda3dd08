//! Candidates: the engines that are considered for a query.
//!
//! Input: the query's class, its attempts, and the engine records. Output: engine ids. Bound: a few
//! engines if the coordinator has a small share of each engine, otherwise all that the rules allow.

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

/// Engines drawn at random if many coordinators choose from stale load reports: two choices prevent
/// herding.
pub(crate) const DRAWN_ENGINES: usize = 2;
/// Size of the subset that a coordinator with small shares draws from. A small subset keeps
/// connections and estimates in use.
const SUBSET_ENGINES: usize = 10;
/// Number of engines that all coordinators prefer for a table group, which keeps their caches warm.
pub(crate) const AFFINITY_ENGINES: usize = 2;

/// Engines that a query may be sent to: allowed by the rules, and healthy if any such engine is.
pub(crate) fn eligible_engines(state: &SchedulerState, now: Micros, id: QueryId) -> Vec<EngineId> {
    let query = &state.queries[&id];
    let class = state.class_of(query);
    let mut allowed: Vec<(EngineId, u8)> = Vec::new();
    for (&engine_id, engine) in &state.engines {
        if is_allowed(state, now, query, class, engine_id, engine) {
            allowed.push((
                engine_id,
                penalty(state, now, query, class, engine_id, engine),
            ));
        }
    }
    // A fault that ejects every engine must not stop all traffic, so the engines with the lowest
    // penalty remain eligible.
    let min_penalty = allowed.iter().map(|a| a.1).min().unwrap_or(0);
    allowed.retain(|a| a.1 == min_penalty);
    // The engine of a sticky session comes first while no other has a lower penalty.
    let is_allowed_engine = |engine: EngineId| allowed.iter().any(|a| a.0 == engine);
    if let Some(session) = query
        .query
        .sticky_session
        .filter(|s| is_allowed_engine(s.engine))
    {
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
    let is_listed = |list: &Option<Vec<u16>>, x: u16| list.as_ref().is_none_or(|l| l.contains(&x));
    engine.phase == Phase::Ready
        && is_listed(&class.zones, engine.zone)
        && is_listed(&class.kinds, engine.kind)
        && query
            .query
            .sticky_session
            .is_none_or(|s| !s.is_exclusive || s.engine == id)
        && !is_memory_exhausted(state, now, engine)
        && slow_start::has_room(state, now, query, engine)
        && may_send_to(state, now, query, engine)
}

/// Penalty of an engine: 2 if it is ejected, or on probation and either has an attempt in flight or
/// the query is not idempotent; plus 1 if the query would do better elsewhere.
fn penalty(
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
    let is_unfavourable = query.avoided.contains(&id)
        || (class.is_load || class.waits_for_loads)
            && state.holds_table_group(engine, query.query.table_group)
        || state.uses_subset && health.has_rejected_recently(now)
        || state.lost_zones.is_lost(engine.zone);
    u8::from(is_outlier) * 2 + u8::from(is_unfavourable)
}

/// Narrows eligible engines to a few, if many coordinators choose from equally stale load reports:
/// the preferred engines of the table group, which all coordinators compute alike, then some at
/// random to prevent herding. Returns the number of preferred engines, which come first.
pub(crate) fn narrow_to_subset(
    state: &SchedulerState,
    random: &mut Random,
    now: Micros,
    id: QueryId,
    eligible: &mut Vec<EngineId>,
) -> usize {
    let query = &state.queries[&id];
    // Use the engines that were probed, otherwise engines that are warming up. The latter were
    // already admitted by a random draw; a second one would leave them idle.
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
    // Each coordinator has its own stable subset while its engines are healthy. Large engines are
    // drawn more often.
    let own_order = |e: &EngineId| Random(e.0 ^ state.salt).below(usize::MAX);
    eligible[preferred..].sort_by_cached_key(own_order);
    let subset_end = eligible.len().min(preferred + SUBSET_ENGINES);
    let subset = &mut eligible[preferred..subset_end];
    let weight = |e: &EngineId| state.draw_weight(&state.engines[e]);
    let mut weights: Vec<f64> = subset.iter().map(weight).collect();
    random.shuffle_front_weighted(subset, &mut weights, DRAWN_ENGINES);
    eligible.truncate(preferred + DRAWN_ENGINES);
    preferred
}

/// Moves the preferred engines of a table group to the front and returns their number. Engines
/// without a recent load report are excluded: they would get all queries of the group even when
/// full.
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
