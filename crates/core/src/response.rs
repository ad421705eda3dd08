//! Stage 5, response: an engine's response goes to the client, and each request is answered once.

use crate::admission::LIMIT_RETRY_AFTER;
use crate::attempt::{Attempt, Progress};
use crate::request::{AttemptKey, Request, RequestId, ResponseChunk};
use crate::{Command, Core};
use driftfront_scheduler::{Event, Idempotency, Micros, Outcome};
use std::rc::Rc;

impl Core {
    /// Forwards a chunk of an attempt's response. From here on the request is tied to the attempt.
    pub fn forward_chunk(&mut self, key: AttemptKey, chunk: ResponseChunk) {
        self.record_progress(key, Progress::ResponseStarted);
        let request = self.requests.get_mut(&key.request);
        let Some(request) = request.filter(|r| !r.is_closed) else {
            return;
        };
        let attempt = request.attempts.get(usize::from(key.number));
        if attempt.is_some_and(Attempt::is_in_flight) {
            request.forwarded_attempt = Some(key.number);
            self.commands
                .push_back(Command::ForwardChunk(key.request, chunk));
        }
    }

    /// Records that an attempt's response is complete.
    pub fn complete_attempt(&mut self, now: Micros, key: AttemptKey) {
        if self.in_flight(key).is_none() {
            return;
        }
        if self.close(key.request) {
            self.counters.answers_served += 1;
            self.commands.push_back(Command::Finish(key.request));
        }
        self.record_end(now, key, Outcome::Ok);
    }

    /// Records that the client has left: no answer is owed. What is in flight still counts until it ends.
    pub fn client_left(&mut self, now: Micros, id: RequestId) {
        if self.close(id) {
            self.counters.clients_left += 1;
            self.notify_scheduler(now, Event::ClientLeft(id.query()));
            self.drop_if_settled(id);
        }
    }

    /// Gives the final answer that nothing was served, and that the client may retry after this time.
    pub(crate) fn reject(&mut self, id: RequestId, retry_after: Micros) {
        let request = self.requests.get(&id);
        // A rejection promises that nothing was served: with a chunk forwarded it would be untrue.
        if request.is_some_and(|r| r.forwarded_attempt.is_some()) {
            return self.fail(id);
        }
        let error_text = request.and_then(|r| r.error_text.clone());
        // Where the settings allow no Retry-After, or none that long, clients would not heed it.
        let retry_after = self
            .max_retry_after
            .map_or(0, |longest| retry_after.min(longest));
        if self.close(id) {
            self.counters.answers_rejected += 1;
            self.commands
                .push_back(Command::Reject(id, retry_after, error_text));
        }
        self.drop_if_settled(id);
    }

    /// Fails a request with this text in place of an engine's.
    pub(crate) fn fail_with(&mut self, id: RequestId, error_text: Option<Rc<str>>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.error_text = error_text;
        }
        self.fail(id);
    }

    /// Gives the final answer that a request failed; where a response has begun, that it can't be finished.
    pub(crate) fn fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let has_begun = request.forwarded_attempt.is_some();
        let error_text = request.error_text.clone();
        if self.close(id) {
            if has_begun {
                self.counters.answers_aborted += 1;
                self.commands.push_back(Command::Abort(id, error_text));
            } else {
                self.counters.answers_failed += 1;
                self.commands.push_back(Command::Fail(id, error_text));
            }
        }
        self.drop_if_settled(id);
    }

    /// Fails a request at the last moment: the scheduler should have had it answered before.
    pub(crate) fn fail_overdue(&mut self, now: Micros, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.is_closed) {
            self.counters.answers_overdue += 1;
            self.fail(id);
            self.notify_scheduler(now, Event::ClientLeft(id.query()));
        }
    }

    /// Answers each open request now: the process ends, or is killed, before they could all be served. A rejection where it never
    /// ran or may run again, so that its client tries elsewhere; else a failure.
    pub fn answer_all_requests(&mut self, now: Micros) {
        let open = self.requests.iter().filter(|(_, r)| !r.is_closed);
        let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        for id in open {
            self.answer_now(now, id);
        }
    }

    fn answer_now(&mut self, now: Micros, id: RequestId) {
        let must_fail = self.requests.get(&id).is_some_and(|request| {
            let idempotency = self.idempotency(request.parsed.class);
            idempotency != Some(Idempotency::Idempotent)
                && request.attempts.iter().any(may_have_run)
        });
        if must_fail {
            self.fail(id);
        } else {
            self.reject(id, LIMIT_RETRY_AFTER);
        }
        self.notify_scheduler(now, Event::ClientLeft(id.query()));
    }

    /// Closes a request; false if it was closed before. Whoever closes it gives the one final answer.
    pub(crate) fn close(&mut self, id: RequestId) -> bool {
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|r| !r.is_closed) else {
            return false;
        };
        request.is_closed = true;
        self.open_count -= 1;
        if self.open_names.get(&request.parsed.name) == Some(&id) {
            self.open_names.remove(&request.parsed.name);
        }
        true
    }

    /// Forgets a request that is settled, and tells its frontend.
    pub(crate) fn drop_if_settled(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(Request::is_settled) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let ticket = request.parsed.ticket;
        if ticket == 0 {
            return;
        }
        // Before its own answer: the client's next request, which that lets come, may need what this one held.
        let answer = self.commands.iter().position(|c| c.is_answer_to(id));
        let at = answer.unwrap_or(self.commands.len());
        self.commands
            .insert(at, Command::Settled(ticket, request.fate()));
    }
}

/// Whether an attempt may have run by now. Of what waits for its connection nothing is written once the request is closed.
fn may_have_run(attempt: &Attempt) -> bool {
    match attempt.outcome {
        Some(outcome) => !outcome.never_ran(),
        None => attempt.progress >= Progress::PartiallyWritten,
    }
}
