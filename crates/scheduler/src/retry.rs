//! Retries: whether a query may be sent again, where, and what its final answer may be if not.
//!
//! Input: the query's class and its attempts so far. Output: yes or no. What must not run twice never goes again; what engines
//! deduplicate goes again only where they know it, and only for as long.

use crate::engines::Engine;
use crate::events::{Outcome, Phase};
use crate::objectives;
use crate::queries::{Attempt, PendingQuery};
use crate::settings::{DeduplicationScope, Idempotency};
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Engines that answer a query with an error before the fault is taken for its own.
const MAX_ERRORS: usize = 2;
/// More attempts than this are never made: their number is a `u8`.
const MAX_ATTEMPTS: u32 = 200;

/// Whether the settings allow no further attempt of a query.
pub(crate) fn has_no_attempts_left(state: &SchedulerState, query: &PendingQuery) -> bool {
    let max_attempts = state.settings.max_attempts.unwrap_or(u32::MAX);
    query.attempts.len() >= max_attempts.min(MAX_ATTEMPTS) as usize
}

/// Whether a query is taken to be at fault itself: it ended in errors on as many engines as that takes.
pub(crate) fn is_at_fault(query: &PendingQuery) -> bool {
    query.engines_with_errors().count() >= MAX_ERRORS
}

/// Whether an attempt of a query may go to an engine, by what is out and what may have run.
pub(crate) fn may_send_to(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    engine: &Engine,
) -> bool {
    !query.is_streaming
        && (state.settings.may_hedge || !query.has_in_flight())
        && may_run_on(state, now, query, engine)
}

/// Whether a query may run on an engine, by what may have run of it before.
pub(crate) fn may_run_on(
    state: &SchedulerState,
    now: Micros,
    query: &PendingQuery,
    engine: &Engine,
) -> bool {
    let idempotency = state.idempotency(query);
    if idempotency == Idempotency::Idempotent {
        return true;
    }
    let mut may_have_run = query.attempts.iter().filter(|a| !a.never_ran());
    if idempotency == Idempotency::NotIdempotent {
        return may_have_run.next().is_none();
    }
    let class = state.class_of(query);
    let is_known = |until: Micros| now + 2 * state.settings.clock_resolution < until;
    let is_in_scope = |a: &Attempt| match class.deduplication_scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => a.zone == engine.zone,
        DeduplicationScope::Cell => a.cell == engine.cell,
    };
    query.query.idempotent_until.is_none_or(is_known)
        && may_have_run.all(|a| is_in_scope(a) && is_known(a.sent_at + class.deduplication_window))
}

/// Whether any engine may run a query, by what may have run of it before.
pub(crate) fn may_run_anywhere(state: &SchedulerState, now: Micros, query: &PendingQuery) -> bool {
    state
        .engines
        .values()
        .any(|engine| may_run_on(state, now, query, engine))
}

/// Whether a rejection would be true: nothing may have run, or a repeat does no harm.
pub(crate) fn may_reject(state: &SchedulerState, query: &PendingQuery) -> bool {
    let idempotency = state.idempotency(query);
    let scope = state.class_of(query).deduplication_scope;
    let is_known_everywhere =
        scope == DeduplicationScope::All && idempotency == Idempotency::WithKey;
    query.attempts.iter().all(Attempt::never_ran)
        || idempotency == Idempotency::Idempotent
        || is_known_everywhere
}

/// Whether a query earns nothing any more, even if started now and run at the cluster's pace; or the only engine that holds what
/// it needs takes nothing more; or none may run it again.
pub(crate) fn is_hopeless(state: &SchedulerState, now: Micros, id: QueryId) -> bool {
    let query = &state.queries[&id];
    if has_lost_its_only_engine(state, query)
        || !state.engines.is_empty() && !may_run_anywhere(state, now, query)
    {
        return true;
    }
    let slowdowns = state.ready_engines().map(|e| e.slowdown.ratio());
    let mean_slowdown = slowdowns.sum::<f64>() / state.ready_engines().count().max(1) as f64;
    let run = state.run_alone(id) * mean_slowdown;
    objectives::value(state, id, now as f64 + run) <= 0.0
}

fn has_lost_its_only_engine(state: &SchedulerState, query: &PendingQuery) -> bool {
    let Some(session) = query.query.sticky_session.filter(|s| s.is_exclusive) else {
        return false;
    };
    let engine = state.engines.get(&session.engine);
    engine.is_none_or(|e| e.phase != Phase::Ready)
}

/// What an attempt's end says of its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Blame {
    /// Nothing.
    Nobody,
    /// The query goes elsewhere, and the engine failed.
    Engine,
    /// The query goes elsewhere; whether the engine failed shows when another serves it.
    QueryOrEngine,
}

/// Who is blamed for an attempt that did not serve. A query that no engine can use would eject them all: it is blamed until
/// another engine serves it, where it may be tried on another.
pub(crate) fn blame(outcome: Outcome, idempotency: Idempotency) -> Blame {
    match outcome {
        Outcome::Error if idempotency == Idempotency::Idempotent => Blame::QueryOrEngine,
        Outcome::Error | Outcome::Rejected | Outcome::Unreachable | Outcome::Reset => Blame::Engine,
        Outcome::Ok | Outcome::TimedOut | Outcome::Cancelled | Outcome::Superseded => Blame::Nobody,
    }
}
