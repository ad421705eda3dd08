//! Ejection: effects of engine failures on the engine and on the queries in its queue.
//!
//! Input: outcomes of attempts and probes, and the health check of each tick. Output: ejected
//! engines, rerouted queues, probes, and a line for the operators' log. Bound: one pass over the
//! unplaced queries per ejected engine.

use crate::actions::{Action, Actions};
use crate::dispatch::Dispatcher;
use crate::events::{AttemptEnded, Outcome};
use crate::health;
use crate::learning;
use crate::outlier_detection::FailureEffect;
use crate::retry::{blame, Blame};
use crate::types::{EngineId, Micros};

/// Minimum interval between log lines.
const MIN_LOG_INTERVAL: Micros = 1_000_000;

/// Ejects failing engines.
#[derive(Default)]
pub(crate) struct Ejector {
    last_log_at: Micros,
}

impl Ejector {
    /// Applies an attempt's outcome to its engine, and to the engines that returned errors for the
    /// same query.
    pub(crate) fn handle_outcome(
        &mut self,
        dispatcher: &mut Dispatcher,
        now: Micros,
        engine: EngineId,
        ended: &AttemptEnded<'_>,
        actions: &mut Actions,
    ) {
        let state = &mut dispatcher.state;
        let query = &state.queries[&ended.query];
        let blame = blame(ended.outcome, state.idempotency(query));
        if ended.outcome == Outcome::Ok {
            // This engine served the query, so the earlier errors were the fault of the other
            // engines.
            let failed_engines: Vec<EngineId> = query.engines_with_errors().collect();
            for earlier in failed_engines {
                self.handle_failure(dispatcher, now, earlier, Outcome::Error, actions);
            }
            learning::learn_from_success(&mut dispatcher.state, now, engine, ended);
        }
        if blame != Blame::None {
            if let Some(query) = dispatcher.state.queries.get_mut(&ended.query) {
                query.avoided.insert(engine);
            }
        }
        if blame == Blame::Engine {
            self.handle_failure(dispatcher, now, engine, ended.outcome, actions);
        }
    }

    /// Records a probe's outcome.
    pub(crate) fn handle_probe(
        &mut self,
        dispatcher: &mut Dispatcher,
        now: Micros,
        id: EngineId,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        match outcome {
            Outcome::Ok => {
                let engine = dispatcher.state.engines.get_mut(&id);
                if engine.is_some_and(|e| e.health.record_probe_success(now)) {
                    dispatcher.route_unplaced(now, actions);
                }
            }
            Outcome::Rejected | Outcome::Superseded => {}
            Outcome::Error
            | Outcome::TimedOut
            | Outcome::Unreachable
            | Outcome::Reset
            | Outcome::Cancelled => self.handle_failure(dispatcher, now, id, outcome, actions),
        }
    }

    /// Probes engines that are due, ejects silent ones, and replaces their attempts in flight.
    pub(crate) fn check_health(
        &mut self,
        dispatcher: &mut Dispatcher,
        now: Micros,
        actions: &mut Actions,
    ) {
        let credit = dispatcher.probe_budget.credit();
        let check = health::check_engines(&mut dispatcher.state, now, credit);
        dispatcher.probe_engines(now, &check.due_probes, actions);
        for id in check.silent {
            self.handle_failure(dispatcher, now, id, Outcome::TimedOut, actions);
            for (query, attempt) in dispatcher.state.engines[&id].in_flight.clone() {
                dispatcher.replace_attempt(now, query, attempt, actions);
            }
        }
    }

    /// Handles a failure of an engine: it is ejected for a while, then gets one query at a time.
    fn handle_failure(
        &mut self,
        dispatcher: &mut Dispatcher,
        now: Micros,
        id: EngineId,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let state = &mut dispatcher.state;
        let Some(engine) = state.engines.get_mut(&id) else {
            return;
        };
        if outcome == Outcome::Rejected {
            return engine.health.record_rejection(now);
        }
        if matches!(outcome, Outcome::Unreachable | Outcome::TimedOut) {
            state.lost_zones.record_loss(engine.zone, id);
        }
        let may_probe = state.settings.may_probe;
        match engine.health.record_failure(now, outcome, may_probe) {
            FailureEffect::Unchanged => return,
            FailureEffect::EjectedUntilProbe => dispatcher.probe_engines(now, &[id], actions),
            FailureEffect::Ejected => {}
        }
        if now >= self.last_log_at + MIN_LOG_INTERVAL {
            self.last_log_at = now;
            let line = format!("engine {:x} shut after {outcome:?}", id.0);
            actions.push(Action::Log(line));
        }
        dispatcher.state.clear_queue(id);
        dispatcher.route_unplaced(now, actions);
    }
}
