//! Which queries run, and where: by their clients' names, also where nobody waits for them any more.

use crate::{query, AttemptKey, Cause, Command, Core, Request, RequestId};
use driftfront_scheduler::interface::{EngineId, Event, Micros};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::rc::Rc;

/// How much longer than its client's time an attempt of unknown fate is remembered: engines end it by then.
const DOUBT_FOR: Micros = 2_000_000;

/// A query on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningQuery {
    /// The engine.
    pub engine: EngineId,
    /// Its name there.
    pub name: String,
    /// Its answer is still awaited.
    pub awaited: bool,
}

struct Doubt {
    call: Rc<str>,
    name: String,
    engine: EngineId,
    until: Micros,
}

/// Attempts of unknown fate, the oldest first.
pub(crate) struct UnknownOutcomes {
    list: VecDeque<Doubt>,
    most: usize,
}

impl UnknownOutcomes {
    pub fn new(most: usize) -> UnknownOutcomes {
        UnknownOutcomes {
            list: VecDeque::new(),
            most,
        }
    }
}

impl Core {
    /// An attempt's name on its engine: the client's own, unless an earlier attempt may still run under that.
    pub fn name_on_engine(&self, key: AttemptKey) -> Cow<'_, str> {
        let Some(request) = self.requests.get(&key.request) else {
            return Cow::default();
        };
        let earlier = request.attempts.iter().take(usize::from(key.number));
        let taken = earlier
            .into_iter()
            .any(|a| a.outcome.is_none_or(|o| !o.never_ran()));
        match taken {
            false => Cow::Borrowed(&request.ask.call),
            true => Cow::Owned(format!("{}~{}", request.ask.call, key.number)),
        }
    }

    /// Whether a request under this name has no final answer yet.
    pub fn is_open(&self, call: &str) -> bool {
        self.names.contains_key(call)
    }

    /// Where queries of this name run, or may.
    pub fn running_queries(&self, now: Micros, call: &str) -> Vec<RunningQuery> {
        let mut runs = Vec::new();
        // By the ledger of names, and those whose client has left: they are no longer in it.
        for (&id, request) in self.requests.iter().filter(|(_, r)| &*r.ask.call == call) {
            if let Some((number, attempt)) = request.out() {
                let name = self
                    .name_on_engine(AttemptKey {
                        request: id,
                        number,
                    })
                    .into_owned();
                runs.push(RunningQuery {
                    engine: attempt.engine,
                    name,
                    awaited: !request.closed,
                });
            }
        }
        for doubt in self
            .doubts
            .list
            .iter()
            .filter(|d| &*d.call == call && d.until > now)
        {
            runs.push(RunningQuery {
                engine: doubt.engine,
                name: doubt.name.clone(),
                awaited: false,
            });
        }
        runs
    }

    /// Attempts that are out: their class, their engine, and when they were sent.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (u16, EngineId, Micros)> + '_ {
        self.requests.values().filter_map(|r| {
            let (_, out) = r.out()?;
            Some((r.ask.class, out.engine, out.sent))
        })
    }

    /// Requests without a final answer: name, class, engine where one is out, and when each came.
    pub fn requests_in_progress(
        &self,
    ) -> impl Iterator<Item = (&str, u16, Option<EngineId>, Micros)> + '_ {
        self.requests.values().filter(|r| !r.closed).map(|r| {
            let out = r.out().map(|(_, a)| a.engine);
            (
                &*r.ask.call,
                r.ask.class,
                out,
                r.deadline.saturating_sub(r.ask.budget),
            )
        })
    }

    /// An attempt's engine, and when it was sent.
    pub fn attempt_engine(&self, key: AttemptKey) -> Option<(EngineId, Micros)> {
        self.made(key).map(|a| (a.engine, a.sent))
    }

    /// A client wants the query of this name ended: no further attempt is made, and if none is out it ends at once
    /// with these words. True if there was one.
    pub fn cancel_request(&mut self, now: Micros, call: &str, words: &str) -> bool {
        let Some(&id) = self.names.get(call) else {
            return false;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        self.counters.called_off += 1;
        request.called_off = true;
        request.words = Some(words.into());
        if request.out().is_none() {
            self.fail(id);
            self.tell(now, Event::ClientLeft(query(id)));
        }
        true
    }

    /// The client of a read has left: what is out for it is let go, so that its engine may end it.
    pub fn release_attempt(&mut self, now: Micros, id: RequestId) {
        let Some((number, _)) = self.requests.get(&id).and_then(Request::out) else {
            return;
        };
        let key = AttemptKey {
            request: id,
            number,
        };
        let Some(attempt) = self.out(key) else { return };
        attempt.released = true;
        let engine = attempt.engine;
        self.counters.released += 1;
        self.commands
            .push_back(Command::AbandonAttempt(key, engine));
        self.attempt_failed(now, key, Cause::Released);
    }

    /// An attempt has ended that may still run.
    pub(crate) fn remember(&mut self, now: Micros, key: AttemptKey, engine: EngineId) {
        if self.doubts.most == 0 {
            return;
        }
        let Some(request) = self.requests.get(&key.request) else {
            return;
        };
        let until = request.deadline.max(now).saturating_add(DOUBT_FOR);
        let doubt = Doubt {
            call: request.ask.call.clone(),
            name: self.name_on_engine(key).into_owned(),
            engine,
            until,
        };
        while self.doubts.list.front().is_some_and(|d| d.until <= now) {
            self.doubts.list.pop_front();
        }
        if self.doubts.list.len() == self.doubts.most {
            self.doubts.list.pop_front();
            self.counters.doubts_dropped += 1;
        }
        self.doubts.list.push_back(doubt);
    }
}
