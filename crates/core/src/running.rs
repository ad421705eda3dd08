//! Tracks which queries run on which engines, by the client's name, including queries whose response is no longer awaited.

use crate::attempt::{Attempt, Cause};
use crate::request::{AttemptKey, Request, RequestId};
use crate::{Command, Core};
use driftfront_scheduler::{EngineId, Event, Micros};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::rc::Rc;

/// Time beyond the client's deadline for which an attempt with unknown outcome is tracked; engines have ended it by then.
const UNKNOWN_OUTCOME_TIME: Micros = 2_000_000;

/// A query on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningQuery {
    /// The engine.
    pub engine: EngineId,
    /// The query's name on the engine.
    pub name: String,
    /// Whether the response is still awaited.
    pub is_awaited: bool,
}

/// An attempt that has ended here but may still run on its engine.
struct UnknownOutcome {
    /// The client's name for the request.
    client_name: Rc<str>,
    /// The attempt's name on its engine.
    name: String,
    engine: EngineId,
    forget_at: Micros,
}

/// A bounded list of attempts with unknown outcome, oldest first.
pub(crate) struct UnknownOutcomes {
    attempts: VecDeque<UnknownOutcome>,
    max: usize,
}

impl UnknownOutcomes {
    /// Creates an empty list that tracks at most `max` attempts.
    pub(crate) fn new(max: usize) -> UnknownOutcomes {
        UnknownOutcomes {
            attempts: VecDeque::new(),
            max,
        }
    }

    /// Adds an attempt; returns true if an unexpired one was dropped to make room.
    fn push(&mut self, now: Micros, attempt: UnknownOutcome) -> bool {
        let is_expired = |a: &UnknownOutcome| a.forget_at <= now;
        while self.attempts.front().is_some_and(is_expired) {
            self.attempts.pop_front();
        }
        let is_full = self.attempts.len() == self.max;
        if is_full {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
        is_full
    }

    /// Unexpired attempts of requests with this name.
    fn with_client_name<'a>(
        &'a self,
        now: Micros,
        client_name: &'a str,
    ) -> impl Iterator<Item = RunningQuery> + 'a {
        let attempts = self.attempts.iter();
        let matching =
            attempts.filter(move |a| &*a.client_name == client_name && a.forget_at > now);
        matching.map(|a| RunningQuery {
            engine: a.engine,
            name: a.name.clone(),
            is_awaited: false,
        })
    }
}

impl Core {
    /// An attempt's query name on its engine: the client's name, unless an earlier attempt may still run under it.
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

    /// Whether a request with this name is open.
    pub fn is_open(&self, name: &str) -> bool {
        self.names.open(name).is_some()
    }

    /// Queries of requests with this name that run or may still run.
    pub fn running_queries(&self, now: Micros, name: &str) -> Vec<RunningQuery> {
        // Scans all requests, because those whose client has disconnected are not found by name.
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
        known
            .chain(self.unknown_outcomes.with_client_name(now, name))
            .collect()
    }

    /// Class, engine and send time of each attempt in flight.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (u16, EngineId, Micros)> + '_ {
        self.requests.values().filter_map(|request| {
            let (_, attempt) = request.in_flight()?;
            Some((request.parsed.class, attempt.engine, attempt.sent_at))
        })
    }

    /// Name, class, engine of the attempt in flight and arrival time of each open request.
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

    /// Cancels the open request with this name on its client's behalf. No further attempt is made; if none is in flight, the
    /// request fails immediately with `error_text`. Returns whether there was such a request.
    pub fn cancel_request(&mut self, now: Micros, name: &str, error_text: &str) -> bool {
        let Some(id) = self.names.open(name) else {
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

    /// Releases the attempt in flight of a read whose client has disconnected, so that the engine can stop it.
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

    /// Tracks an attempt that has ended here but may still run on its engine.
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
        let client_gives_up_at = request.deadline.max(now);
        let attempt = UnknownOutcome {
            client_name: request.parsed.name.clone(),
            name: self.name_on_engine(key).into_owned(),
            engine,
            forget_at: client_gives_up_at.saturating_add(UNKNOWN_OUTCOME_TIME),
        };
        if self.unknown_outcomes.push(now, attempt) {
            self.counters.unknown_outcomes_dropped += 1;
        }
    }
}
