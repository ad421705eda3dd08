//! Retries: whether and where a query may be sent again, and which final answers are permitted
//! otherwise.
//!
//! Input: the query's class and its attempts so far. Output: yes or no. A query that must not run
//! twice is never sent again after it may have run. A query with an idempotency key is sent again
//! only to engines that recognize the key, and only as long as they recognize it.

use crate::engines::Engine;
use crate::events::{Outcome, Phase};
use crate::objectives;
use crate::queries::{Attempt, PendingQuery};
use crate::settings::{DeduplicationScope, Idempotency};
use crate::state::SchedulerState;
use crate::types::{Micros, QueryId};

/// Number of engines that must answer a query with an error before the query itself is considered
/// faulty.
const MAX_ERRORS: usize = 2;
/// Hard limit on attempts per query, since attempt numbers are `u8`.
const MAX_ATTEMPTS: u32 = 200;

/// Whether the settings allow no further attempt of a query.
pub(crate) fn has_no_attempts_left(state: &SchedulerState, query: &PendingQuery) -> bool {
    let max_attempts = state.settings.max_attempts.unwrap_or(u32::MAX);
    query.attempts.len() >= max_attempts.min(MAX_ATTEMPTS) as usize
}

/// Whether the query itself is considered faulty: it ended in errors on [`MAX_ERRORS`] engines.
pub(crate) fn is_at_fault(query: &PendingQuery) -> bool {
    query.engines_with_errors().count() >= MAX_ERRORS
}

/// Whether an attempt of a query may be sent to an engine, given the attempts in flight and those
/// that may have run.
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

/// Whether a query may run on an engine, given the attempts that may have run.
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
    let is_recognized = |until: Micros| now + 2 * state.settings.clock_resolution < until;
    let is_in_scope = |a: &Attempt| match class.deduplication_scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => a.zone == engine.zone,
        DeduplicationScope::Cell => a.cell == engine.cell,
    };
    query.query.idempotent_until.is_none_or(is_recognized)
        && may_have_run
            .all(|a| is_in_scope(a) && is_recognized(a.sent_at + class.deduplication_window))
}

/// Whether any engine may run a query, given the attempts that may have run.
pub(crate) fn may_run_anywhere(state: &SchedulerState, now: Micros, query: &PendingQuery) -> bool {
    state
        .engines
        .values()
        .any(|engine| may_run_on(state, now, query, engine))
}

/// Whether a rejection would be correct: no attempt may have run, or a repeat is harmless.
pub(crate) fn may_reject(state: &SchedulerState, query: &PendingQuery) -> bool {
    let idempotency = state.idempotency(query);
    let scope = state.class_of(query).deduplication_scope;
    let is_recognized_everywhere =
        scope == DeduplicationScope::All && idempotency == Idempotency::WithKey;
    query.attempts.iter().all(Attempt::never_ran)
        || idempotency == Idempotency::Idempotent
        || is_recognized_everywhere
}

/// Whether a query can no longer earn anything: it would finish too late even if it started now at
/// the cluster's mean speed, its exclusive engine accepts no more work, or no engine may run it
/// again.
pub(crate) fn is_hopeless(state: &SchedulerState, now: Micros, id: QueryId) -> bool {
    let query = &state.queries[&id];
    if has_lost_its_only_engine(state, query)
        || !state.engines.is_empty() && !may_run_anywhere(state, now, query)
    {
        return true;
    }
    let slowdowns = state.ready_engines().map(|e| e.slowdown.ratio());
    let mean_slowdown = slowdowns.sum::<f64>() / state.ready_engines().count().max(1) as f64;
    let run = state.run_time_alone(id) * mean_slowdown;
    objectives::value(state, id, now as f64 + run) <= 0.0
}

fn has_lost_its_only_engine(state: &SchedulerState, query: &PendingQuery) -> bool {
    let Some(session) = query.query.sticky_session.filter(|s| s.is_exclusive) else {
        return false;
    };
    let engine = state.engines.get(&session.engine);
    engine.is_none_or(|e| e.phase != Phase::Ready)
}

/// What the end of an attempt implies about its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Blame {
    /// Nothing.
    None,
    /// The engine failed, and the query is sent elsewhere.
    Engine,
    /// The query is sent elsewhere; the engine failed if another engine serves it.
    QueryOrEngine,
}

/// What an attempt's outcome implies about its engine. A faulty query would get every engine
/// ejected, so where a query may be tried on another engine, errors count against the first engine
/// only once another serves it.
pub(crate) fn blame(outcome: Outcome, idempotency: Idempotency) -> Blame {
    match outcome {
        Outcome::Error if idempotency == Idempotency::Idempotent => Blame::QueryOrEngine,
        Outcome::Error | Outcome::Rejected | Outcome::Unreachable | Outcome::Reset => Blame::Engine,
        Outcome::Ok | Outcome::TimedOut | Outcome::Cancelled | Outcome::Superseded => Blame::None,
    }
}
