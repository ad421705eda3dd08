//! The controller: distributes each event to the modules that handle it.

use crate::actions::{Action, Actions};
use crate::attempts::{record_end, record_progress, record_stream};
use crate::demand_share::update_cluster_load;
use crate::discovery::DiscoveryPolling;
use crate::dispatch::Dispatcher;
use crate::ejection::Ejector;
use crate::engines::{apply_list, drop_if_gone};
use crate::events::{AttemptEnded, Event, ListKind, ListedEngine, Outcome};
use crate::gossip::GossipSchedule;
use crate::overruns::{self, OverrunResponse};
use crate::queries::{PendingQuery, QueryState};
use crate::quota::TenantQuotas;
use crate::retry_budget::RetryBudgetUsage;
use crate::settings::Settings;
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros, Query, QueryId, TICK_INTERVAL};
use crate::{admission, capacity, gossip_exchange, learning, slow_start};

/// Timer token of the tick. The token of a query's timer is its id + 1.
const TICK_TOKEN: u64 = 0;
/// Scheduler of one coordinator.
pub struct Controller {
    dispatcher: Dispatcher,
    quotas: TenantQuotas,
    discovery: DiscoveryPolling,
    gossip: GossipSchedule,
    is_ticking: bool,
    ejector: Ejector,
}

impl Controller {
    /// The query that a timer with this token belongs to; `None` for a timer of the scheduler itself.
    pub fn query_of_timer(token: u64) -> Option<QueryId> {
        token.checked_sub(1).map(QueryId)
    }

    /// Creates a controller with no state besides its settings. The same seed and events give the
    /// same actions.
    pub fn new(settings: Settings, seed: u64) -> Controller {
        Controller {
            quotas: TenantQuotas::new(&settings.tenants),
            discovery: DiscoveryPolling::new(&settings),
            gossip: GossipSchedule::default(),
            dispatcher: Dispatcher::new(SchedulerState::new(settings, seed), seed),
            is_ticking: false,
            ejector: Ejector::default(),
        }
    }

    /// Makes limits count attempts from their first byte instead of from [`Action::StartAttempt`].
    /// The host must then call [`Controller::may_send_first_byte`] right before each attempt's
    /// first byte.
    #[must_use]
    pub fn awaiting_first_bytes(mut self) -> Controller {
        self.dispatcher.awaits_first_bytes = true;
        self
    }

    /// Whether the first byte of an attempt may be sent now; if so, records the attempt as sent.
    pub fn may_send_first_byte(&mut self, now: Micros, query: QueryId, attempt: u8) -> bool {
        let Dispatcher {
            state,
            retry_budget,
            ..
        } = &mut self.dispatcher;
        let may_go = retry_budget.allows_first_byte(now, query, attempt)
            && slow_start::admit_first_byte(state, now, query, attempt);
        if may_go {
            retry_budget.mark_sent(now, query, attempt);
        }
        may_go
    }

    /// Usage of the retry budget; `None` if the settings have no budget.
    pub fn retry_budget_usage(&self, now: Micros) -> Option<RetryBudgetUsage> {
        self.dispatcher.retry_budget.usage(now)
    }

    /// Number of queries that have not concluded.
    pub fn open_queries(&self) -> usize {
        self.state().queries.len()
    }

    fn state(&self) -> &SchedulerState {
        &self.dispatcher.state
    }

    fn state_mut(&mut self) -> &mut SchedulerState {
        &mut self.dispatcher.state
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Actions) {
        if !std::mem::replace(&mut self.is_ticking, true) {
            actions.push(Action::SetTimer {
                after: TICK_INTERVAL,
                token: TICK_TOKEN,
            });
            if self.discovery.is_polled() {
                self.poll_discovery(now, actions);
            }
        }
        match event {
            Event::EnginesListed {
                kind,
                engines: list,
            } => self.on_list(now, kind, list, actions),
            Event::DiscoveryFailed => self.discovery.record_failure(now),
            Event::QueryArrived(query) => self.on_arrival(now, query, actions),
            Event::StreamStarted { query: id, attempt } => {
                self.on_stream(now, id, attempt, actions)
            }
            Event::ProgressReported {
                query: id,
                attempt,
                report,
            } => {
                record_progress(self.state_mut(), now, id, attempt, report);
            }
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, &ended, actions),
            Event::ClientLeft(id) => self.dispatcher.conclude(now, id, actions),
            Event::TimerFired(TICK_TOKEN) => self.on_tick(now, actions),
            Event::TimerFired(token) => {
                self.dispatcher
                    .end_unserved(now, QueryId(token - 1), actions);
            }
            Event::ProbeEnded {
                engine: id,
                outcome,
                report,
            } => {
                self.on_probe(now, id, outcome, report, actions);
            }
            Event::GossipReceived {
                from,
                message: bytes,
            } => {
                gossip_exchange::receive(self.state_mut(), now, from, bytes);
            }
        }
    }

    fn poll_discovery(&mut self, now: Micros, actions: &mut Actions) {
        actions.push(Action::WatchEngines);
        self.discovery.record_poll(now);
    }

    fn on_list(
        &mut self,
        now: Micros,
        kind: ListKind,
        list: &[ListedEngine],
        actions: &mut Actions,
    ) {
        self.discovery.record_list(kind);
        let state = self.state_mut();
        for id in apply_list(&mut state.engines, &mut state.lost_zones, now, kind, list) {
            state.clear_queue(id);
            drop_if_gone(&mut state.engines, &mut state.lost_zones, id);
        }
        self.dispatcher.route_unplaced(now, actions);
    }

    fn on_arrival(&mut self, now: Micros, query: Query, actions: &mut Actions) {
        let id = query.id;
        if usize::from(query.class) >= self.state().settings.classes.len() {
            return actions.push(Action::Reject {
                query: id,
                retry_after: 0,
            });
        }
        self.record_arrival(now, query);
        let margin = self.dispatcher.answer_margin();
        if query.client_timeout <= margin {
            return self.dispatcher.end_unserved(now, id, actions);
        }
        actions.push(Action::SetTimer {
            after: query.client_timeout - margin,
            token: id.0 + 1,
        });
        if let Some(key) = self.state().ordering_key(id) {
            self.state_mut()
                .set_query_state(id, QueryState::WaitingForKey);
            self.dispatcher.key_queues.push(key, id);
            return self.dispatcher.release_key(now, key, actions);
        }
        if admission::is_shed(self.state(), now, id) {
            return self.dispatcher.end_unserved(now, id, actions);
        }
        if self.dispatcher.probe_candidates(now, id, actions) {
            return self
                .state_mut()
                .set_query_state(id, QueryState::AwaitingProbes);
        }
        self.dispatcher.route_query(now, id, actions);
    }

    fn record_arrival(&mut self, now: Micros, query: Query) {
        self.dispatcher.retry_budget.record_request(now);
        let share = self.state().cluster.share;
        let is_over_quota = self.quotas.take_query(now, query.tenant, share);
        let pending = PendingQuery::new(query, now, is_over_quota);
        let state = self.state_mut();
        state.queries.insert(query.id, pending);
        let work = state.work(query.id);
        state.cluster.record_arrival(work);
        let (engines, coordinators) = (state.engines.len(), state.settings.coordinators);
        self.dispatcher.probe_budget.record_query(engines);
        self.gossip.record_query(coordinators);
    }

    fn on_stream(&mut self, now: Micros, id: QueryId, attempt: u8, actions: &mut Actions) {
        let state = self.state_mut();
        record_stream(state, now, id, attempt);
        let may_cancel = state.settings.may_cancel;
        if let Some(query) = state.queries.get_mut(&id).filter(|_| may_cancel) {
            actions.extend(query.cancel_in_flight(Some(attempt)));
        }
    }

    /// Handles the end of an attempt. The engine's state must be updated before the query's next
    /// step is decided.
    fn on_attempt_ended(&mut self, now: Micros, ended: &AttemptEnded<'_>, actions: &mut Actions) {
        let Some(engine) = record_end(self.state_mut(), ended) else {
            return;
        };
        self.dispatcher
            .retry_budget
            .record_end(ended.query, ended.attempt);
        learning::record_answer(self.state_mut(), now, engine, ended);
        self.ejector
            .handle_outcome(&mut self.dispatcher, now, engine, ended, actions);
        if ended.outcome.may_still_run() {
            self.hold_key(now, ended.query);
        }
        match self.state().queries[&ended.query].state {
            QueryState::InFlight if !ended.query_answered => {
                self.dispatcher.retry_or_end(now, ended.query, actions);
            }
            state if ended.query_answered || state == QueryState::Answered => {
                self.dispatcher.conclude(now, ended.query, actions);
            }
            _ => {}
        }
        self.use_freed_room(now, engine, actions);
    }

    /// Holds a query's ordering key for the settle time, so that no later query overtakes an
    /// attempt that may still be running.
    fn hold_key(&mut self, now: Micros, id: QueryId) {
        let until = now + self.state().settings.settle_time;
        if let Some(key) = self.state().ordering_key(id) {
            self.dispatcher.key_queues.hold_key(key, until);
        }
    }

    /// Starts queries that fit into the room freed by an ended attempt.
    fn use_freed_room(&mut self, now: Micros, id: EngineId, actions: &mut Actions) {
        let state = self.state_mut();
        drop_if_gone(&mut state.engines, &mut state.lost_zones, id);
        if state.uses_subset {
            self.dispatcher.start_all_queued(now, actions);
        } else {
            self.dispatcher.start_queued(now, id, actions);
        }
        // If this engine has room and no queue, slipped queries on other engines are routed again
        // now instead of at the next tick.
        let state = self.state();
        let idle = state.engines.get(&id).filter(|e| e.queue.is_empty());
        let has_room = idle.is_some_and(|engine| {
            let bound = capacity::run_bound(state, now, engine);
            bound.running < bound.threads
        });
        if has_room {
            self.dispatcher.reroute_slipped(now, actions);
        }
    }

    fn on_probe(
        &mut self,
        now: Micros,
        id: EngineId,
        outcome: Outcome,
        report: &[f64],
        actions: &mut Actions,
    ) {
        let is_answer = outcome == Outcome::Ok;
        learning::record_report(self.state_mut(), now, id, report, is_answer);
        self.ejector
            .handle_probe(&mut self.dispatcher, now, id, outcome, actions);
        self.dispatcher.route_probed(now, Some(id), now, actions);
    }

    fn on_tick(&mut self, now: Micros, actions: &mut Actions) {
        actions.push(Action::SetTimer {
            after: TICK_INTERVAL,
            token: TICK_TOKEN,
        });
        let state = self.state_mut();
        state.cluster.update_demand(state.uses_subset);
        let may_gossip = state.settings.may_gossip;
        if self.discovery.is_due(now) {
            self.poll_discovery(now, actions);
        }
        if may_gossip && self.gossip.is_due(now) {
            let Dispatcher { state, random, .. } = &mut self.dispatcher;
            gossip_exchange::send_round(state, &mut self.gossip, random, now, actions);
        }
        let silent_zones = self.state().lost_zones.silent_zones();
        self.dispatcher
            .probe_budget
            .add_silent_zone_credit(silent_zones);
        update_cluster_load(self.state_mut(), now);
        let last_tick = now.saturating_sub(TICK_INTERVAL);
        self.dispatcher.route_probed(now, None, last_tick, actions);
        self.ejector
            .check_health(&mut self.dispatcher, now, actions);
        self.check_overruns(now, actions);
        self.dispatcher.reroute_slipped(now, actions);
        for key in self.dispatcher.key_queues.keys() {
            self.dispatcher.release_key(now, key, actions);
        }
        self.dispatcher.start_all_queued(now, actions);
    }

    /// Replaces or ends attempts that run far too long.
    fn check_overruns(&mut self, now: Micros, actions: &mut Actions) {
        let weight_of_work = overruns::mean_weight_of_work(self.state());
        for overrun in overruns::find_overruns(self.state(), now) {
            let id = overrun.query;
            match overruns::respond(self.state(), now, &overrun, weight_of_work) {
                OverrunResponse::Leave => {}
                OverrunResponse::Replace => {
                    self.dispatcher
                        .replace_attempt(now, id, overrun.attempt, actions);
                }
                OverrunResponse::GiveUp => self.dispatcher.end_unserved(now, id, actions),
            }
        }
    }
}
