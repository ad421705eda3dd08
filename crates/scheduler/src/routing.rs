//! Routing: selects the engine that a query joins, and the position in that engine's queue
//! (QIDMaC).
//!
//! A query joins the engine whose queue gains the most estimated weight in time from it (balance
//! gain). Ties among engines with similarly short drain times are broken by sharing a table group
//! with queue neighbours (interaction gain), and remaining ties by the seed.
//!
//! Input: the state and the query. Output: an engine and a position in its queue. Bound: one pass
//! over the candidates' queues.

use crate::candidates::{eligible_engines, narrow_to_subset};
use crate::capacity::{run_bound, threads_needed, threads_per_core, work_of_others, RunBound};
use crate::engines::{Engine, QueuedQuery};
use crate::queue::{estimated_starts, queued_query};
use crate::random::Random;
use crate::slow_start::warm_capacity_share;
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros, QueryId};

/// Parameter c of Algorithm 5: interaction gain breaks ties among engines whose drain time is
/// within (1 + c) times the shortest.
const DRAIN_GUARD: f64 = 0.5;
/// Drain times below this, in µs, are considered equal: clients do not notice the difference.
const MIN_DRAIN_MICROS: f64 = 4_000.0;
/// Gains within this tolerance are equal: weights are float sums, and most gains tie.
const GAIN_TOLERANCE: f64 = 1e-6;

/// An engine as a candidate for one query.
pub(crate) struct Offer {
    /// The engine.
    pub engine: EngineId,
    /// The best position in its queue.
    pub position: Position,
    /// Time until the engine has finished its current work, µs.
    drain: f64,
    /// The engine is in another zone, and crossing zones has a cost.
    is_remote: bool,
}

/// A position in an engine's queue.
pub(crate) struct Position {
    /// Index in the queue.
    pub index: usize,
    /// Estimated start time at this position.
    pub start: f64,
    /// Balance gain: weight in time that the queue gains.
    gain: f64,
    /// Interaction gain: neighbours of the same table group that the queue gains.
    interaction: f64,
}

/// Chooses an engine for a query (Algorithm 5): highest balance gain, then the drain guard, then
/// interaction gain, then the seed.
pub(crate) fn choose_engine(
    state: &SchedulerState,
    random: &mut Random,
    now: Micros,
    id: QueryId,
) -> Option<Offer> {
    let mut offers = offers(state, random, now, id);
    let top = offers.iter().map(|o| o.position.gain);
    let top = top.fold(f64::MIN, f64::max);
    offers.retain(|o| o.position.gain >= top - GAIN_TOLERANCE);

    let shortest = offers.iter().map(|o| o.drain).fold(f64::MAX, f64::min);
    let shortest = shortest.max(MIN_DRAIN_MICROS);
    offers.retain(|o| o.drain <= (1.0 + DRAIN_GUARD) * shortest);

    let closest = offers.iter().map(|o| o.position.interaction);
    let closest = closest.fold(f64::MIN, f64::max);
    offers.retain(|o| o.position.interaction >= closest - GAIN_TOLERANCE);

    // Not part of Algorithm 5: if crossing zones has a cost, ties go to the local zone.
    if offers.iter().any(|o| !o.is_remote) {
        offers.retain(|o| !o.is_remote);
    }
    let pick = random.below(offers.len());
    (!offers.is_empty()).then(|| offers.swap_remove(pick))
}

/// Evaluates each candidate.
fn offers(state: &SchedulerState, random: &mut Random, now: Micros, id: QueryId) -> Vec<Offer> {
    let mut candidates = eligible_engines(state, now, id);
    let preferred = if state.uses_subset {
        narrow_to_subset(state, random, now, id, &mut candidates)
    } else {
        0
    };
    let others: Vec<Option<f64>> = candidates
        .iter()
        .map(|e| work_of_others(state, now, &state.engines[e]))
        .collect();
    let known = others.iter().flatten().count().max(1) as f64;
    let average = others.iter().flatten().sum::<f64>() / known;
    let own = queued_query(state, id);
    let each = candidates.iter().zip(&others).enumerate();
    each.map(|(n, (&engine, work))| {
        let affinity = f64::from(u8::from(n < preferred));
        offer(state, now, &own, engine, work.unwrap_or(average), affinity)
    })
    .collect()
}

/// Evaluates one engine for a query (Algorithm 8). `work_of_others` is the work of other
/// coordinators there in µs; `affinity` is the interaction gain of the table group's preferred
/// engines.
fn offer(
    state: &SchedulerState,
    now: Micros,
    own: &QueuedQuery,
    id: EngineId,
    work_of_others: f64,
    affinity: f64,
) -> Offer {
    let engine = &state.engines[&id];
    let bound = run_bound(state, now, engine);
    let needed = threads_needed(state, own.work, own.threads);
    let mut starts = estimated_starts(now, engine, &bound, needed);
    let lost = weight_lost(own, engine, &bound, &starts);
    if bound.has_room(needed) {
        // There is enough room for it ahead of the queries that wait for room.
        starts[0] = now as f64;
    }
    let draining = if state.uses_subset {
        0.0
    } else {
        bound.remaining_work / bound.threads.max(bound.running)
    };
    let own_drain = (starts[engine.queue.len()] - now as f64).max(draining);
    let drain_rate =
        state.cores(engine) * threads_per_core(state) * warm_capacity_share(state, now, engine);
    Offer {
        engine: id,
        position: best_position(own, engine, &starts, &lost, affinity),
        drain: own_drain + work_of_others / drain_rate,
        is_remote: state.settings.cross_zone_costs && engine.zone != state.settings.zone,
    }
}

/// For each position in a queue, the weight lost by the queries from there on if they start later
/// by the new query's run time (Eq. 15).
fn weight_lost(own: &QueuedQuery, engine: &Engine, bound: &RunBound, starts: &[f64]) -> Vec<f64> {
    let shift = own.work * engine.slowdown.ratio() / bound.threads;
    let mut lost = vec![0.0; engine.queue.len() + 1];
    for (n, queued) in engine.queue.iter().enumerate().rev() {
        let before = weight_in_time(queued, engine, starts[n]);
        let after = weight_in_time(queued, engine, starts[n] + shift);
        lost[n] = lost[n + 1] + before - after;
    }
    lost
}

/// Weight that a query earns if it starts at this time.
fn weight_in_time(query: &QueuedQuery, engine: &Engine, start: f64) -> f64 {
    if query.is_late(start, engine.slowdown.ratio()) {
        0.0
    } else {
        query.weight
    }
}

/// The position with the highest balance gain; ties go to the highest interaction gain (Eq. 11),
/// then to the last position.
fn best_position(
    own: &QueuedQuery,
    engine: &Engine,
    starts: &[f64],
    lost: &[f64],
    affinity: f64,
) -> Position {
    let mut best = Position {
        index: 0,
        start: starts[0],
        gain: f64::MIN,
        interaction: 0.0,
    };
    for index in (0..=engine.queue.len()).rev() {
        let gain = weight_in_time(own, engine, starts[index]) - lost[index];
        let interaction = interaction_gain(own, engine, index, affinity);
        let is_better = gain > best.gain + GAIN_TOLERANCE;
        let is_equal = gain > best.gain - GAIN_TOLERANCE;
        if is_better || is_equal && interaction > best.interaction {
            best = Position {
                index,
                start: starts[index],
                gain: gain.max(best.gain),
                interaction,
            };
        }
    }
    best
}

/// Neighbours of its table group that a query gains at a position in a queue, less those that it
/// separates.
fn interaction_gain(own: &QueuedQuery, engine: &Engine, index: usize, affinity: f64) -> f64 {
    let before = match index {
        0 => engine.last_table_group,
        _ => Some(engine.queue[index - 1].table_group),
    };
    let after = engine.queue.get(index).map(|q| q.table_group);
    let own = Some(own.table_group);
    let shared = |a: Option<u32>, b: Option<u32>| f64::from(u8::from(a.is_some() && a == b));
    affinity + shared(before, own) + shared(own, after) - shared(before, after)
}
