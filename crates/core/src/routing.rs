//! Stage 3, route: the module's actions become attempts, answers, timers and probes.

use crate::dispatch::Attempt;
use crate::{query, AttemptKey, Command, Core, Due, RequestId};
use driftfront_scheduler::interface::{
    Action, AttemptEnded, EngineId, Event, Micros, Outcome, Phase, QueryId,
};
use std::collections::VecDeque;

impl Core {
    pub(crate) fn route(&mut self, now: Micros, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        let mut called_off = Vec::new();
        while let Some(action) = actions.pop_front() {
            match action {
                Action::StartAttempt(id, engine, patience) => {
                    if let Some(number) = self.attempt(now, RequestId(id.0), engine, patience) {
                        // The module counts a send that was never made, so it must hear of its end.
                        let mut more = Vec::new();
                        let end = moot(id, number);
                        self.counters.ended[crate::accounting::place(Outcome::Superseded)] += 1;
                        self.controller
                            .handle(now, Event::AttemptEnded(end), &mut more);
                        actions.extend(more);
                    }
                }
                Action::Reject(id, advice) => self.refuse(RequestId(id.0), advice),
                Action::Fail(id) => self.fail(RequestId(id.0)),
                Action::SetTimer(after, token) => {
                    self.set_timer(now.saturating_add(after), Due::SetTimer(token))
                }
                Action::Probe(engine) => self.probe(now, engine),
                Action::Log(line) => self.commands.push_back(Command::Log(line)),
                Action::SetResources(id, grant_mb, _) => {
                    // Priorities have no word on any wire here.
                    if let Some(request) = self.requests.get_mut(&RequestId(id.0)) {
                        request.grant_mb = grant_mb;
                    }
                }
                Action::CancelAttempt(id, number) => called_off.push(AttemptKey {
                    request: RequestId(id.0),
                    number,
                }),
                // Coordinators share nothing, and lists are pushed: the settings keep the module from asking.
                Action::SendGossip(..) | Action::WatchEngines => {}
            }
        }
        // The module hears of their ends as of an event of its own, after all that it asked for at once.
        for key in called_off {
            self.call_attempt_off(now, key);
        }
    }

    /// The module waits no longer for an attempt: its engine is told, and the attempt ends here at once. An answer that
    /// crosses that word finds nobody.
    fn call_attempt_off(&mut self, now: Micros, key: AttemptKey) {
        let Some(engine) = self
            .out(key)
            .filter(|a| a.ending.is_none())
            .map(|a| a.engine)
        else {
            return;
        };
        if self
            .requests
            .get(&key.request)
            .is_some_and(|r| r.relaying == Some(key.number))
        {
            return;
        }
        self.counters.stopped += 1;
        self.commands
            .push_back(Command::AbandonAttempt(key, engine));
        self.attempt_failed(now, key, crate::Cause::CancelledByScheduler);
    }

    /// Starts an attempt; its number if it is over before it began.
    fn attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        engine: EngineId,
        patience: Micros,
    ) -> Option<u8> {
        let request = self.requests.get_mut(&id)?;
        let number = request.attempts.len() as u8;
        let until = now.saturating_add(patience).min(request.deadline);
        let out = request.out().is_some();
        let barred = request.closed || request.relaying.is_some() || out;
        let outcome = barred.then_some(Outcome::Superseded);
        request.attempts.push(Attempt {
            outcome,
            grant_mb: request.grant_mb,
            ..Attempt::new(engine, now, until)
        });
        if barred {
            return Some(number);
        }
        self.counters.sent += 1;
        self.counters.further += u64::from(number > 0);
        let key = AttemptKey {
            request: id,
            number,
        };
        self.set_timer(until, Due::Attempt(key));
        self.commands.push_back(Command::StartAttempt(key, engine));
        None
    }

    fn probe(&mut self, now: Micros, engine: EngineId) {
        let tag = self.next();
        self.probes.insert(tag, engine);
        self.counters.probes += 1;
        self.set_timer(now + self.limits.probe_timeout, Due::Probe(tag));
        self.commands.push_back(Command::Probe(engine, tag));
    }

    /// A probe's result; only its first counts.
    pub fn record_probe(&mut self, now: Micros, tag: u64, outcome: Outcome, report: &[f64]) {
        if let Some(engine) = self.probes.remove(&tag) {
            self.counters.probes_answered += u64::from(outcome == Outcome::Ok);
            self.tell(now, Event::ProbeEnded(engine, outcome, report));
        }
    }

    /// All idle connections to an engine were reset: its process may have ended, and the module hears of it before
    /// the next attempt is lost there.
    pub fn suspect_engine(&mut self, now: Micros, engine: EngineId) {
        if self.engine_phase(engine) == Some(Phase::Ready) {
            self.counters.doubted += 1;
            self.tell(now, Event::ProbeEnded(engine, Outcome::Reset, &[]));
        }
    }

    /// The client has left: no answer is owed. What is out still counts until it ends.
    pub fn client_left(&mut self, now: Micros, id: RequestId) {
        if self.close(id) {
            self.counters.left += 1;
            self.tell(now, Event::ClientLeft(query(id)));
            self.drop_if_over(id);
        }
    }
}

fn moot(query: QueryId, attempt: u8) -> AttemptEnded<'static> {
    AttemptEnded {
        query,
        attempt,
        outcome: Outcome::Superseded,
        last: false,
        spent: 0,
        work: None,
        memory_mb: None,
        report: &[],
    }
}
