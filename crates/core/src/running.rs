//! Which queries run, and where: by their clients' names, also where nobody waits for them any more.

use crate::attempt::{Attempt, Cause};
use crate::request::{AttemptKey, Request, RequestId};
use crate::{Command, Core};
use driftfront_scheduler::{EngineId, Event, Micros};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::rc::Rc;

/// How much longer than its client's time an attempt of unknown outcome is remembered: engines end it by then.
const UNKNOWN_OUTCOME_TIME: Micros = 2_000_000;

/// A query on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningQuery {
    /// The engine.
    pub engine: EngineId,
    /// Its name there.
    pub name: String,
    /// Its response is still awaited.
    pub is_awaited: bool,
}

/// An attempt that has ended, but may still run.
struct UnknownOutcome {
    /// The client's name for the request.
    client_name: Rc<str>,
    /// The attempt's name on its engine.
    name: String,
    engine: EngineId,
    forget_at: Micros,
}

/// Attempts of unknown outcome, the oldest first, up to a bound.
pub(crate) struct UnknownOutcomes {
    attempts: VecDeque<UnknownOutcome>,
    max: usize,
}

impl UnknownOutcomes {
    /// None yet. `max`: so many are remembered; 0 for none.
    pub(crate) fn new(max: usize) -> UnknownOutcomes {
        UnknownOutcomes {
            attempts: VecDeque::new(),
            max,
        }
    }

    /// Remembers an attempt; true if the bound made another one forgotten too early.
    fn push(&mut self, now: Micros, attempt: UnknownOutcome) -> bool {
        let is_over = |a: &UnknownOutcome| a.forget_at <= now;
        while self.attempts.front().is_some_and(is_over) {
            self.attempts.pop_front();
        }
        let is_full = self.attempts.len() == self.max;
        if is_full {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
        is_full
    }

    /// Those of a client's name that may still run.
    fn of<'a>(
        &'a self,
        now: Micros,
        client_name: &'a str,
    ) -> impl Iterator<Item = RunningQuery> + 'a {
        let attempts = self.attempts.iter();
        let of_name = attempts.filter(move |a| &*a.client_name == client_name && a.forget_at > now);
        of_name.map(|a| RunningQuery {
            engine: a.engine,
            name: a.name.clone(),
            is_awaited: false,
        })
    }
}

impl Core {
    /// An attempt's name on its engine: the client's own, unless an earlier attempt may still run under that.
    pub fn name_on_engine(&self, key: AttemptKey) -> Cow<'_, str> {
        let Some(request) = self.requests.get(&key.request) else {
            return Cow::default();
        };
        let mut earlier = request.attempts.iter().take(usize::from(key.number));
        let may_run = |a: &Attempt| a.outcome.is_none_or(|o| !o.never_ran());
        if earlier.any(may_run) {
            Cow::Owned(format!("{}~{}", request.parsed.name, key.number))
        } else {
            Cow::Borrowed(&request.parsed.name)
        }
    }

    /// Whether a request under this name has no final answer yet.
    pub fn is_open(&self, name: &str) -> bool {
        self.open_names.contains_key(name)
    }

    /// Where queries of this name run, or may.
    pub fn running_queries(&self, now: Micros, name: &str) -> Vec<RunningQuery> {
        // All requests are looked at: those whose client has left have no name any more.
        let named = |(_, r): &(&RequestId, &Request)| &*r.parsed.name == name;
        let in_flight = |(&id, request): (&RequestId, &Request)| {
            let (number, attempt) = request.in_flight()?;
            let key = AttemptKey {
                request: id,
                number,
            };
            Some(RunningQuery {
                engine: attempt.engine,
                name: self.name_on_engine(key).into_owned(),
                is_awaited: !request.is_closed,
            })
        };
        let known = self.requests.iter().filter(named).filter_map(in_flight);
        known.chain(self.unknown_outcomes.of(now, name)).collect()
    }

    /// Attempts that are in flight: their class, their engine, and when they were sent.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (u16, EngineId, Micros)> + '_ {
        self.requests.values().filter_map(|request| {
            let (_, attempt) = request.in_flight()?;
            Some((request.parsed.class, attempt.engine, attempt.sent_at))
        })
    }

    /// Requests without a final answer: name, class, engine where one is in flight, and when each came.
    pub fn requests_in_progress(
        &self,
    ) -> impl Iterator<Item = (&str, u16, Option<EngineId>, Micros)> + '_ {
        let open = self.requests.values().filter(|r| !r.is_closed);
        open.map(|request| {
            let engine = request.in_flight().map(|(_, attempt)| attempt.engine);
            let (name, class) = (&*request.parsed.name, request.parsed.class);
            (name, class, engine, request.arrived_at())
        })
    }

    /// Cancels the request of this name, as its client wants: no further attempt is made, and if none is in flight it ends at once
    /// with this text. True if there was one.
    pub fn cancel_request(&mut self, now: Micros, name: &str, error_text: &str) -> bool {
        let Some(&id) = self.open_names.get(name) else {
            return false;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        self.counters.requests_cancelled += 1;
        request.is_cancelled = true;
        request.error_text = Some(error_text.into());
        if request.in_flight().is_none() {
            self.fail(id);
            self.notify_scheduler(now, Event::ClientLeft(id.query()));
        }
        true
    }

    /// Releases what is in flight for a read whose client has left, so that its engine may end it.
    pub fn release_attempt(&mut self, now: Micros, id: RequestId) {
        let Some(key) = self.key_in_flight(id) else {
            return;
        };
        let Some(attempt) = self.in_flight(key) else {
            return;
        };
        attempt.is_released = true;
        let engine = attempt.engine;
        self.counters.attempts_released += 1;
        self.commands
            .push_back(Command::AbandonAttempt(key, engine));
        self.attempt_failed(now, key, Cause::Released);
    }

    /// Remembers an attempt that has ended, but may still run.
    pub(crate) fn record_unknown_outcome(
        &mut self,
        now: Micros,
        key: AttemptKey,
        engine: EngineId,
    ) {
        if self.limits.max_unknown_outcomes == 0 {
            return;
        }
        let Some(request) = self.requests.get(&key.request) else {
            return;
        };
        let client_gone_at = request.deadline.max(now);
        let attempt = UnknownOutcome {
            client_name: request.parsed.name.clone(),
            name: self.name_on_engine(key).into_owned(),
            engine,
            forget_at: client_gone_at.saturating_add(UNKNOWN_OUTCOME_TIME),
        };
        if self.unknown_outcomes.push(now, attempt) {
            self.counters.unknown_outcomes_dropped += 1;
        }
    }
}
