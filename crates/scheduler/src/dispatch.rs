//! Dispatch: moves queries between states and emits the actions that this requires.
//!
//! Input: decisions of the other modules. Output: actions, in order. The steps call each other,
//! since a query that starts or ends makes room for others. Each call advances one query, so the
//! recursion is bounded by the number of open queries.

use crate::actions::{Action, Actions};
use crate::attempts::record_start;
use crate::candidates::{eligible_engines, narrow_to_subset};
use crate::ordering::KeyQueues;
use crate::probes::{ProbeBudget, PROBES_PER_QUERY};
use crate::queries::{attempt_number, Attempt, QueryState};
use crate::random::Random;
use crate::retry_budget::RetryBudgetWindow;
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros, QueryId, TICK_INTERVAL};
use crate::{queue, resources, retry, routing, slow_start};

/// Final answers are sent this long before the client gives up, or two clock ticks of the host if
/// that is longer.
const ANSWER_MARGIN: Micros = 10_000;
/// Minimum Retry-After.
const MIN_RETRY_AFTER: Micros = 100_000;

/// Moves queries between states.
pub(crate) struct Dispatcher {
    pub state: SchedulerState,
    pub random: Random,
    pub retry_budget: RetryBudgetWindow,
    pub key_queues: KeyQueues,
    pub probe_budget: ProbeBudget,
    /// The host asks right before each attempt's first byte; limits count attempts from then
    /// instead of from the start action.
    pub awaits_first_bytes: bool,
    /// The query that was routed again last.
    last_rerouted: QueryId,
}

impl Dispatcher {
    /// A dispatcher without open queries.
    pub(crate) fn new(state: SchedulerState, seed: u64) -> Dispatcher {
        Dispatcher {
            random: Random(seed),
            retry_budget: RetryBudgetWindow::new(state.settings.retry_budget),
            key_queues: KeyQueues::default(),
            probe_budget: ProbeBudget::new(&state.settings, state.uses_subset),
            awaits_first_bytes: false,
            last_rerouted: QueryId::default(),
            state,
        }
    }

    /// How long before its client gives up a query gets its final answer.
    pub(crate) fn answer_margin(&self) -> Micros {
        ANSWER_MARGIN.max(2 * self.state.settings.clock_resolution)
    }

    /// Adds a query to the queue of the engine that routing chooses (Algorithm 7), then starts the
    /// queries that may start.
    pub(crate) fn route_query(&mut self, now: Micros, id: QueryId, actions: &mut Actions) {
        let Some(offer) = routing::choose_engine(&self.state, &mut self.random, now, id) else {
            return self.state.set_query_state(id, QueryState::Unplaced);
        };
        let mut queued = queue::queued_query(&self.state, id);
        queued.planned_start = offer.position.start;
        if let Some(engine) = self.state.engines.get_mut(&offer.engine) {
            let index = offer.position.index.min(engine.queue.len());
            engine.queue.insert(index, queued);
        }
        let queued = QueryState::Queued(offer.engine);
        self.state.set_query_state(id, queued);
        self.start_queued(now, offer.engine, actions);
    }

    /// Routes all queries that are in no queue, because no engine was eligible or their engine
    /// accepts no work.
    pub(crate) fn route_unplaced(&mut self, now: Micros, actions: &mut Actions) {
        for id in self.state.unplaced_queries() {
            let query = self.state.queries.get(&id);
            let Some(query) = query.filter(|q| q.state == QueryState::Unplaced) else {
                continue;
            };
            let has_in_flight = query.has_in_flight();
            if !has_in_flight && retry::is_hopeless(&self.state, now, id) {
                self.end_unserved(now, id, actions);
            } else {
                self.route_query(now, id, actions);
            }
        }
    }

    /// Routes a limited number of slipped queries again.
    pub(crate) fn reroute_slipped(&mut self, now: Micros, actions: &mut Actions) {
        for id in queue::slipped_queries(&self.state, now, self.last_rerouted) {
            self.last_rerouted = id;
            self.state.unqueue(id);
            self.state.set_query_state(id, QueryState::Unplaced);
        }
        self.route_unplaced(now, actions);
    }

    /// Starts queries from the front of an engine's queue while there is room.
    pub(crate) fn start_queued(&mut self, now: Micros, engine: EngineId, actions: &mut Actions) {
        while let Some(id) = self.next_to_start(now, engine) {
            self.state.unqueue(id);
            let is_retry = !self.state.queries[&id].attempts.is_empty();
            if !eligible_engines(&self.state, now, id).contains(&engine) {
                // The engine is no longer eligible; the next tick routes the query again.
                self.state.set_query_state(id, QueryState::Unplaced);
            } else if is_retry && !self.retry_budget.allows_retry(now) {
                self.end_unserved(now, id, actions);
            } else {
                self.start_attempt(now, id, engine, actions);
            }
        }
    }

    fn next_to_start(&self, now: Micros, engine: EngineId) -> Option<QueryId> {
        let engine = self.state.engines.get(&engine)?;
        queue::next_to_start(&self.state, now, engine)
    }

    /// Starts queries on all engines while there is room.
    pub(crate) fn start_all_queued(&mut self, now: Micros, actions: &mut Actions) {
        for engine in queue::engines_by_urgency(&self.state, now) {
            self.start_queued(now, engine, actions);
        }
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        id: QueryId,
        engine_id: EngineId,
        actions: &mut Actions,
    ) {
        let state = &self.state;
        let (query, engine) = (&state.queries[&id], &state.engines[&engine_id]);
        let expected_run = state.run_time_alone(id) * engine.slowdown.ratio();
        let memory_mb = state.memory_mb(id);
        let slow_start_weight =
            slow_start::is_warming_up(state, now, engine).then(|| slow_start::weight(state, query));
        if state.settings.grants || state.settings.priorities {
            let grant = resources::memory_grant(state, now, id, engine);
            let priority = resources::priority(state, now, id, expected_run);
            actions.push(Action::SetResources {
                query: id,
                memory_mb: grant,
                priority,
            });
        }
        // The time-out must be answered before the client gives up.
        let reserved = now + self.answer_margin() / 2;
        let timeout = query.deadline.saturating_sub(reserved).max(1);
        actions.push(Action::StartAttempt {
            query: id,
            engine: engine_id,
            timeout,
        });

        let number = attempt_number(query.attempts.len());
        let first_byte_at = (!self.awaits_first_bytes).then_some(now);
        if number > 0 {
            self.retry_budget.plan_retry(id, number, first_byte_at);
        }
        let attempt = Attempt::new(engine_id, now, memory_mb, expected_run);
        let state = &mut self.state;
        record_start(state, now, id, attempt, slow_start_weight, first_byte_at);
    }

    /// Ends a query unserved, at once: with a rejection and Retry-After if that is correct,
    /// otherwise with a failure.
    pub(crate) fn end_unserved(&mut self, now: Micros, id: QueryId, actions: &mut Actions) {
        let Some(query) = self.state.queries.get(&id) else {
            return;
        };
        if query.is_streaming || query.state == QueryState::Answered {
            return;
        }
        if retry::may_reject(&self.state, query) {
            let max_retry_after = self.state.settings.max_retry_after;
            let retry_after = max_retry_after.map_or(0, |max| self.retry_after(now).min(max));
            actions.push(Action::Reject {
                query: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail(id));
        }
        self.conclude(now, id, actions);
    }

    /// How long a client should wait before it retries: the shortest wait of any engine.
    #[allow(
        clippy::cast_possible_truncation,
        reason = "whole µs, within the range of Micros"
    )]
    fn retry_after(&self, now: Micros) -> Micros {
        let wait = queue::shortest_wait(&self.state, now) as Micros;
        wait.max(MIN_RETRY_AFTER)
    }

    /// Concludes a query that has its final answer: cancels its attempts in flight, frees its
    /// place, and releases the next query of its ordering key.
    pub(crate) fn conclude(&mut self, now: Micros, id: QueryId, actions: &mut Actions) {
        self.state.unqueue(id);
        let may_cancel = self.state.settings.may_cancel;
        let Some(query) = self.state.queries.get_mut(&id) else {
            return;
        };
        query.state = QueryState::Answered;
        if may_cancel && !query.is_streaming {
            actions.extend(query.cancel_in_flight(None));
        }
        if query.has_in_flight() {
            // This function is called again when the last attempt in flight ends.
            return;
        }
        let key = self.state.ordering_key(id);
        self.state.queries.remove(&id);
        if let Some(key) = key {
            self.key_queues.remove(key, id);
            self.release_key(now, key, actions);
        }
    }

    /// Routes the first query of a key once the previous one has concluded and the key is no longer
    /// held.
    pub(crate) fn release_key(&mut self, now: Micros, key: u64, actions: &mut Actions) {
        let Some(id) = self.key_queues.first(now, key) else {
            return;
        };
        if self.state.queries[&id].state == QueryState::WaitingForKey {
            self.route_query(now, id, actions);
        }
    }

    /// After an attempt that did not serve the query: retries the query if the rules and the
    /// budget allow and an answer would still earn something, otherwise ends it at once.
    pub(crate) fn retry_or_end(&mut self, now: Micros, id: QueryId, actions: &mut Actions) {
        let query = &self.state.queries[&id];
        if query.state == QueryState::Answered || query.has_in_flight() {
            return;
        }
        let must_end = retry::has_no_attempts_left(&self.state, query)
            || retry::is_at_fault(query)
            || retry::is_hopeless(&self.state, now, id)
            || !self.retry_budget.allows_retry(now);
        if must_end {
            self.end_unserved(now, id, actions);
        } else {
            self.route_query(now, id, actions);
        }
    }

    /// If the rules allow one more attempt, cancels an attempt so that another engine can run the
    /// query, or hedges it.
    pub(crate) fn replace_attempt(
        &mut self,
        now: Micros,
        id: QueryId,
        number: u8,
        actions: &mut Actions,
    ) {
        let state = &self.state;
        let query = state.queries.get(&id);
        let Some(query) = query.filter(|q| q.may_be_interrupted()) else {
            return;
        };
        if retry::has_no_attempts_left(state, query)
            || query.attempts[usize::from(number)].is_cancelled
            || !retry::may_run_anywhere(state, now, query)
            || !self.retry_budget.allows_retry(now)
        {
            return;
        }
        let may_cancel = state.settings.may_cancel;
        let may_hedge = state.settings.may_hedge;
        let Some(query) = self.state.queries.get_mut(&id) else {
            return;
        };
        query.overruns += 1;
        let attempt = &mut query.attempts[usize::from(number)];
        if may_cancel {
            attempt.is_cancelled = true;
            actions.push(Action::CancelAttempt {
                query: id,
                attempt: number,
            });
        } else if may_hedge && query.in_flight().count() < 2 {
            let engine = query.attempts[usize::from(number)].engine;
            query.avoided.insert(engine);
            self.route_query(now, id, actions);
        }
    }

    /// Probes the candidates of a heavy query before it is routed, if load reports arrive only with
    /// probes. Returns true if the query waits for the answers.
    pub(crate) fn probe_candidates(
        &mut self,
        now: Micros,
        id: QueryId,
        actions: &mut Actions,
    ) -> bool {
        let state = &self.state;
        let settings = &state.settings;
        let reports_come_by_probe = settings.may_probe && settings.report_on_probe;
        let is_wanted = reports_come_by_probe && state.uses_subset && state.has_load_reports;
        if !is_wanted
            || state.work(id) < state.estimates.mean_work()
            || self.probe_budget.credit() < PROBES_PER_QUERY
        {
            return false;
        }
        let mut probed = eligible_engines(state, now, id);
        narrow_to_subset(state, &mut self.random, now, id, &mut probed);
        let is_stale = |engine: &&EngineId| {
            let report = state.engines[engine].report;
            report.is_none_or(|r| now > r.at + TICK_INTERVAL)
        };
        let awaited: Vec<EngineId> = probed.iter().filter(is_stale).copied().collect();
        self.probe_engines(now, &awaited, actions);
        let must_wait = !awaited.is_empty();
        if let Some(query) = self.state.queries.get_mut(&id) {
            (query.probed, query.awaited_probes) = (probed, awaited);
        }
        must_wait
    }

    /// Routes queries whose probes are all answered, or that arrived before the given time.
    /// `answered` is the engine whose probe just ended.
    pub(crate) fn route_probed(
        &mut self,
        now: Micros,
        answered: Option<EngineId>,
        arrived_before: Micros,
        actions: &mut Actions,
    ) {
        let mut ready = Vec::new();
        for (&id, query) in &mut self.state.queries {
            if query.state != QueryState::AwaitingProbes {
                continue;
            }
            query.awaited_probes.retain(|&e| Some(e) != answered);
            let is_overdue = answered.is_none() && query.arrived_at < arrived_before;
            if query.awaited_probes.is_empty() || is_overdue {
                ready.push(id);
            }
        }
        for id in ready {
            self.route_query(now, id, actions);
        }
    }

    /// Probes engines.
    pub(crate) fn probe_engines(
        &mut self,
        now: Micros,
        engines: &[EngineId],
        actions: &mut Actions,
    ) {
        self.probe_budget.spend(engines.len());
        for id in engines {
            if let Some(engine) = self.state.engines.get_mut(id) {
                engine.health.probed_at = now;
                actions.push(Action::Probe(*id));
            }
        }
    }
}
