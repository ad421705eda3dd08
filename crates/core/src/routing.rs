//! Stage 3, routing: turns the scheduler's actions into attempts, answers, timers and probes.

use crate::attempt::{Attempt, Cause};
use crate::request::{attempt_number, AttemptKey, RequestId};
use crate::timers::Timer;
use crate::{Command, Core};
use driftfront_scheduler::{Action, AttemptEnded, EngineId, Event, Micros, Outcome};
use std::collections::VecDeque;

impl Core {
    /// Notifies the scheduler of an event and executes the resulting actions.
    pub(crate) fn notify_scheduler(&mut self, now: Micros, event: Event<'_>) {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        self.execute_actions(now, actions);
    }

    fn execute_actions(&mut self, now: Micros, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        let mut cancelled = Vec::new();
        while let Some(action) = actions.pop_front() {
            match action {
                Action::StartAttempt {
                    query,
                    engine,
                    timeout,
                } => {
                    let sent = self.start_attempt(now, RequestId(query.0), engine, timeout);
                    if let Err(NotStarted(ended)) = sent {
                        actions.extend(self.notify_not_started(now, ended));
                    }
                }
                Action::Reject { query, retry_after } => {
                    self.reject(RequestId(query.0), retry_after);
                }
                Action::Fail(query) => self.fail(RequestId(query.0)),
                Action::SetTimer { after, token } => {
                    self.set_timer(now.saturating_add(after), Timer::Scheduler(token));
                }
                Action::Probe(engine) => self.start_probe(now, engine),
                Action::Log(line) => self.commands.push_back(Command::Log(line)),
                // The priority is ignored, because no supported engine protocol can carry it.
                Action::SetResources {
                    query, memory_mb, ..
                } => self.set_grant(RequestId(query.0), memory_mb),
                Action::CancelAttempt { query, attempt } => cancelled.push(AttemptKey {
                    request: RequestId(query.0),
                    number: attempt,
                }),
                // The scheduler never issues these actions with the settings used here: coordinators exchange no gossip, and engine
                // lists are pushed rather than polled.
                Action::SendGossip { .. } | Action::WatchEngines => {}
            }
        }
        // Each cancellation notifies the scheduler of the attempt's end, so all other actions of this event are executed first.
        for key in cancelled {
            self.cancel_attempt(now, key);
        }
    }

    /// Notifies the scheduler of the end of an attempt that it requested but that was not started; returns the resulting actions.
    fn notify_not_started(&mut self, now: Micros, ended: AttemptEnded<'static>) -> Vec<Action> {
        self.counters.record_attempt_end(ended.outcome);
        let mut actions = Vec::new();
        let event = Event::AttemptEnded(ended);
        self.controller.handle(now, event, &mut actions);
        actions
    }

    /// Sets the memory grant of a request's next attempts.
    fn set_grant(&mut self, id: RequestId, grant_mb: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.grant_mb = grant_mb;
        }
    }

    /// Starts an attempt, unless the request is closed, its response is being forwarded, or another attempt is in flight.
    fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        engine: EngineId,
        timeout: Micros,
    ) -> Result<(), NotStarted> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let number = attempt_number(request.attempts.len());
        let key = AttemptKey {
            request: id,
            number,
        };
        let is_superseded = request.is_closed
            || request.forwarded_attempt.is_some()
            || request.in_flight().is_some();
        let timeout_at = now.saturating_add(timeout).min(request.deadline);
        let mut attempt = Attempt::new(engine, now, timeout_at, request.grant_mb);
        if is_superseded {
            attempt.outcome = Some(Outcome::Superseded);
            request.attempts.push(attempt);
            return Err(NotStarted(superseded(key)));
        }
        request.attempts.push(attempt);
        self.counters.attempts_sent += 1;
        self.counters.retries_sent += u64::from(number > 0);
        self.set_timer(timeout_at, Timer::Attempt(key));
        self.commands.push_back(Command::StartAttempt(key, engine));
        Ok(())
    }

    /// Cancels an attempt for the scheduler and notifies its engine. The attempt is abandoned at once, so a response that arrives
    /// later is discarded.
    fn cancel_attempt(&mut self, now: Micros, key: AttemptKey) {
        let attempt = self.in_flight(key).filter(|a| a.abandoned_for.is_none());
        let Some(engine) = attempt.map(|a| a.engine) else {
            return;
        };
        let request = self.requests.get(&key.request);
        if request.is_some_and(|r| r.is_forwarding(key.number)) {
            return;
        }
        self.counters.attempts_cancelled += 1;
        self.commands
            .push_back(Command::AbandonAttempt(key, engine));
        self.attempt_failed(now, key, Cause::CancelledByScheduler);
    }
}

/// The end of an attempt that could not be started, as the scheduler is notified of it.
struct NotStarted(AttemptEnded<'static>);

fn superseded(key: AttemptKey) -> AttemptEnded<'static> {
    AttemptEnded {
        query: key.request.query(),
        attempt: key.number,
        outcome: Outcome::Superseded,
        query_answered: false,
        elapsed: 0,
        work: None,
        memory_mb: None,
        report: &[],
    }
}
