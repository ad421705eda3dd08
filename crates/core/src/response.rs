//! Stage 5, relay: an engine's answer goes to the client, and each request is answered once.

use crate::{AttemptKey, Command, Core, Progress, RequestId, ResponseChunk};
use driftfront_scheduler::interface::{Event, Idempotency, Micros, Outcome};
use std::rc::Rc;

impl Core {
    /// A piece of an attempt's answer, to be passed on. From here on the request is tied to the attempt.
    pub fn forward_chunk(&mut self, key: AttemptKey, piece: ResponseChunk) {
        self.record_progress(key, Progress::AnswerBegun);
        let Some(request) = self.requests.get_mut(&key.request).filter(|r| !r.closed) else {
            return;
        };
        if request
            .attempts
            .get(usize::from(key.number))
            .is_some_and(|a| a.outcome.is_none())
        {
            request.relaying = Some(key.number);
            self.commands
                .push_back(Command::ForwardChunk(key.request, piece));
        }
    }

    /// An attempt's answer is whole.
    pub fn complete_attempt(&mut self, now: Micros, key: AttemptKey) {
        if self.out(key).is_none() {
            return;
        }
        if self.close(key.request) {
            self.counters.served += 1;
            self.commands.push_back(Command::Finish(key.request));
        }
        self.end(now, key, Outcome::Ok);
    }

    pub(crate) fn refuse(&mut self, id: RequestId, advice: Micros) {
        // A refusal promises that nothing was served: with a piece out it would be untrue.
        if self.requests.get(&id).is_some_and(|r| r.relaying.is_some()) {
            return self.fail(id);
        }
        let words = self.requests.get(&id).and_then(|r| r.words.clone());
        // Where the settings allow no advice, or none that long, clients would not heed it.
        let advice = self.advice_most.map_or(0, |most| advice.min(most));
        if self.close(id) {
            self.counters.refused += 1;
            self.commands.push_back(Command::Reject(id, advice, words));
        }
        self.drop_if_over(id);
    }

    /// Fails with these words in place of an engine's.
    pub(crate) fn fail_saying(&mut self, id: RequestId, words: Option<Rc<str>>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.words = words;
        }
        self.fail(id);
    }

    pub(crate) fn fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (begun, words) = (request.relaying.is_some(), request.words.clone());
        if self.close(id) {
            let count = if begun {
                &mut self.counters.broken
            } else {
                &mut self.counters.failed
            };
            *count += 1;
            self.commands.push_back(match begun {
                true => Command::Abort(id, words),
                false => Command::Fail(id, words),
            });
        }
        self.drop_if_over(id);
    }

    /// The last moment for an answer: the module should have given one before.
    pub(crate) fn answer_is_due(&mut self, now: Micros, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.closed) {
            self.counters.overdue += 1;
            self.fail(id);
            self.tell(now, Event::ClientLeft(crate::query(id)));
        }
    }

    /// The process ends, or is killed, before they could all be served: each that is open is answered now. A refusal where
    /// it never ran or may run again, so that its client tries elsewhere; else a failure.
    pub fn answer_all_requests(&mut self, now: Micros) {
        let ids: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|r| !r.1.closed)
            .map(|r| *r.0)
            .collect();
        for id in ids {
            self.answer_now(now, id);
        }
    }

    /// Answers an open request as far as it has come: a refusal where it never ran, else a failure.
    fn answer_now(&mut self, now: Micros, id: RequestId) {
        let ran = |a: &crate::dispatch::Attempt| match a.outcome {
            Some(outcome) => !outcome.never_ran(),
            // Of what waits for its connection nothing is written once the request is closed.
            None => a.progress >= crate::dispatch::Progress::PartWritten,
        };
        let once =
            |r: &crate::Request| self.idempotency(r.ask.class) != Some(Idempotency::Idempotent);
        match self
            .requests
            .get(&id)
            .is_some_and(|r| once(r) && r.attempts.iter().any(ran))
        {
            true => self.fail(id),
            false => self.refuse(id, crate::admission::FULL_ADVICE),
        }
        self.tell(now, Event::ClientLeft(crate::query(id)));
    }

    /// Closes a request; false if it was closed before. Whoever closes it gives the one final answer.
    pub(crate) fn close(&mut self, id: RequestId) -> bool {
        match self.requests.get_mut(&id) {
            Some(request) if !request.closed => {
                request.closed = true;
                self.open -= 1;
                if self.names.get(&request.ask.call) == Some(&id) {
                    self.names.remove(&request.ask.call);
                }
                true
            }
            _ => false,
        }
    }

    /// Forgets a request that is closed and has nothing out.
    pub(crate) fn drop_if_over(&mut self, id: RequestId) {
        let over = |r: &crate::Request| r.closed && r.out().is_none();
        if !self.requests.get(&id).is_some_and(over) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if request.ask.ticket != 0 {
            // Before its own answer: the client's next request, which that lets come, may need what this one held.
            let answer = |c: &Command| match c {
                Command::Reject(x, ..)
                | Command::Fail(x, _)
                | Command::Finish(x)
                | Command::Abort(x, _) => *x == id,
                _ => false,
            };
            let at = self
                .commands
                .iter()
                .position(answer)
                .unwrap_or(self.commands.len());
            self.commands
                .insert(at, Command::Settled(request.ask.ticket, request.fate()));
        }
    }
}
