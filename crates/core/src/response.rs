//! Stage 5, response: forwards an engine's response to the client and gives each request its final answer.

use crate::admission::LIMIT_RETRY_AFTER;
use crate::attempt::{Attempt, Progress};
use crate::request::{AttemptKey, Request, RequestId, ResponseChunk};
use crate::{Command, Core};
use driftfront_scheduler::{Event, Idempotency, Micros, Outcome};
use std::rc::Rc;

impl Core {
    /// Forwards a chunk of an attempt's response. The request cannot switch to another attempt from here on.
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

    /// Records that the client has disconnected. It gets no answer, but an attempt in flight is tracked until it ends.
    pub fn client_left(&mut self, now: Micros, id: RequestId) {
        if self.close(id) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.has_client_left = true;
            }
            self.counters.clients_left += 1;
            self.notify_scheduler(now, Event::ClientLeft(id.query()));
            self.drop_if_settled(id);
        }
    }

    /// Gives the final answer that the request was rejected and may be retried after this time.
    pub(crate) fn reject(&mut self, id: RequestId, retry_after: Micros) {
        let request = self.requests.get(&id);
        // A rejection states that nothing was served, which would be wrong after a forwarded chunk.
        if request.is_some_and(|r| r.forwarded_attempt.is_some()) {
            return self.fail(id);
        }
        let error_text = request.and_then(|r| r.error_text.clone());
        // Clients ignore a Retry-After where the settings allow none, or one above the allowed maximum.
        let retry_after = self.max_retry_after.map_or(0, |max| retry_after.min(max));
        if self.close(id) {
            self.counters.answers_rejected += 1;
            self.commands
                .push_back(Command::Reject(id, retry_after, error_text));
        }
        self.drop_if_settled(id);
    }

    /// Fails a request with this error text instead of an engine's.
    pub(crate) fn fail_with(&mut self, id: RequestId, error_text: Option<Rc<str>>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.error_text = error_text;
        }
        self.fail(id);
    }

    /// Gives the final answer that the request failed or, if chunks have been forwarded, that the response is aborted.
    pub(crate) fn fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let has_started = request.forwarded_attempt.is_some();
        let error_text = request.error_text.clone();
        if self.close(id) {
            if has_started {
                self.counters.answers_aborted += 1;
                self.commands.push_back(Command::Abort(id, error_text));
            } else {
                self.counters.answers_failed += 1;
                self.commands.push_back(Command::Fail(id, error_text));
            }
        }
        self.drop_if_settled(id);
    }

    /// Fails a request that is still open shortly before its deadline. This is a safeguard: the scheduler should have answered it
    /// earlier.
    pub(crate) fn fail_overdue(&mut self, now: Micros, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.is_closed) {
            self.counters.answers_overdue += 1;
            self.fail(id);
            self.notify_scheduler(now, Event::ClientLeft(id.query()));
        }
    }

    /// Answers all open requests now, because the process exits or is killed before they could be served. Requests that never ran
    /// or may run again are rejected, so that their clients retry elsewhere; others fail.
    pub fn answer_all_requests(&mut self, now: Micros) {
        let open = self.requests.iter().filter(|(_, r)| !r.is_closed);
        let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        for id in open {
            self.answer_now(now, id);
        }
    }

    fn answer_now(&mut self, now: Micros, id: RequestId) {
        let must_fail = self.requests.get(&id).is_some_and(|request| {
            let idempotency = self.idempotency(&request.parsed);
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

    /// Closes a request. Returns false if it was already closed; otherwise the caller has to give the final answer.
    pub(crate) fn close(&mut self, id: RequestId) -> bool {
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|r| !r.is_closed) else {
            return false;
        };
        request.is_closed = true;
        // Nothing is written for a closed request, which may wait for the end of its attempt for long.
        request.parsed.statement = Rc::new([]);
        request.parsed.parameters = Rc::new([]);
        self.open_count -= 1;
        self.names.close(&request.parsed.name, id);
        true
    }

    /// Drops a request that is settled and notifies its frontend.
    pub(crate) fn drop_if_settled(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(Request::is_settled) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.settle_name(id, &request);
        let ticket = request.parsed.ticket;
        if ticket == 0 {
            return;
        }
        // The notification precedes the final answer, because the client's next request may follow that answer at once and need
        // a resource, such as the session, that this request held.
        let answer = self.commands.iter().position(|c| c.is_answer_to(id));
        let at = answer.unwrap_or(self.commands.len());
        self.commands
            .insert(at, Command::Settled(ticket, request.settled_outcome()));
    }
}

/// Whether an attempt may have run. An attempt that still waits for its connection has not run, since nothing is written for a
/// closed request.
fn may_have_run(attempt: &Attempt) -> bool {
    match attempt.outcome {
        Some(outcome) => !outcome.never_ran(),
        None => attempt.progress >= Progress::PartiallyWritten,
    }
}
