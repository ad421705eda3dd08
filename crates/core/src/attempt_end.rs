//! The end of an attempt and its consequences for the request and the scheduler.

use crate::admission::LIMIT_RETRY_AFTER;
use crate::attempt::{AttemptError, AttemptReport, Cause, Progress};
use crate::request::{AttemptKey, RequestId};
use crate::timers::Timer;
use crate::{Command, Core};
use driftfront_scheduler::{AttemptEnded, Event, Micros, Outcome};

/// Upper bound for the delivery of a cancellation to an engine, including delays on the way. An attempt that the coordinator ends
/// stays in flight for this long: if a retry reached an engine before the cancellation, the query would run twice at the same
/// time.
const NOTICE_DELAY: Micros = 40_000;

impl Core {
    /// Records that an attempt failed. If the engine has to be notified first, the attempt ends after a delay for that, and `None`
    /// is returned, as it is for an attempt that is not in flight.
    pub fn attempt_failed(
        &mut self,
        now: Micros,
        key: AttemptKey,
        cause: Cause,
    ) -> Option<AttemptError> {
        let request = self.requests.get(&key.request);
        let has_time = request.is_some_and(|r| {
            let is_unanswered = !r.is_closed && r.forwarded_attempt.is_none();
            is_unanswered && now + 2 * NOTICE_DELAY < r.deadline
        });
        let attempt = self.in_flight(key)?;
        if attempt.abandoned_for.is_some() {
            return None;
        }
        if has_time
            && cause.is_initiated_locally()
            && attempt.progress >= Progress::PartiallyWritten
        {
            attempt.abandoned_for = Some(cause);
            self.set_timer(now + NOTICE_DELAY, Timer::Abandoned(key));
            return None;
        }
        self.conclude_attempt(now, key, cause)
    }

    /// Ends an abandoned attempt whose engine has been notified by now.
    pub(crate) fn finish_abandoned_attempt(&mut self, now: Micros, key: AttemptKey) {
        let attempt = self.in_flight(key);
        if let Some(cause) = attempt.and_then(|a| a.abandoned_for.take()) {
            self.conclude_attempt(now, key, cause);
        }
    }

    /// Ends an attempt whose timeout has expired.
    pub(crate) fn time_out_attempt(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.in_flight(key) else {
            return;
        };
        if attempt.timeout_at > now || attempt.abandoned_for.is_some() {
            return;
        }
        let engine = attempt.engine;
        self.commands
            .push_back(Command::AbandonAttempt(key, engine));
        self.attempt_failed(now, key, Cause::TimedOut);
    }

    fn conclude_attempt(
        &mut self,
        now: Micros,
        key: AttemptKey,
        cause: Cause,
    ) -> Option<AttemptError> {
        let attempt = self.in_flight(key)?;
        let (engine, progress) = (attempt.engine, attempt.progress);
        let error = AttemptError { progress, cause };
        let request = self.requests.get_mut(&key.request)?;
        if let Cause::Engine(text) | Cause::Statement(text) = &error.cause {
            request.error_text = Some(text.as_str().into());
        }
        request.last_failure = Some((engine, error.clone()));
        let cannot_retry = request.is_body_forwarded || request.is_cancelled;
        let is_forwarding = request.is_forwarding(key.number);
        if cannot_retry {
            self.end_without_retry(key.request, error.outcome());
        }
        if is_forwarding || matches!(error.cause, Cause::Statement(_)) {
            // No retry once the client has received a chunk: another run could return different rows.
            self.fail(key.request);
        }
        self.record_end(now, key, error.outcome());
        Some(error)
    }

    /// Answers a request that cannot be retried, because its body was not retained or its client cancelled it: with a rejection if
    /// it never ran and was not cancelled, else with a failure.
    fn end_without_retry(&mut self, id: RequestId, outcome: Outcome) {
        let is_cancelled = self.requests.get(&id).is_some_and(|r| r.is_cancelled);
        if outcome.never_ran() && !is_cancelled {
            self.reject(id, LIMIT_RETRY_AFTER);
        } else {
            self.fail(id);
        }
    }

    /// Records the end of an attempt and notifies the scheduler.
    pub(crate) fn record_end(&mut self, now: Micros, key: AttemptKey, outcome: Outcome) {
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            self.record_contact(now, key);
        }
        let Some(attempt) = self.in_flight(key) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let AttemptReport {
            report,
            work,
            memory_mb,
        } = std::mem::take(&mut attempt.report);
        let spent = now.saturating_sub(attempt.sent_at);
        if attempt.may_still_run() {
            let engine = attempt.engine;
            self.record_unknown_outcome(now, key, engine);
        }
        let request = self.requests.get(&key.request);
        let idempotency_key = request.and_then(|r| r.parsed.idempotency_key.as_ref());
        if let Some(idempotency_key) = idempotency_key.filter(|_| outcome.never_ran()) {
            self.idempotency_keys.forget_write(idempotency_key, key);
        }
        self.counters.record_attempt_end(outcome);
        let ended = AttemptEnded {
            query: key.request.query(),
            attempt: key.number,
            outcome,
            query_answered: request.is_some_and(|r| r.is_closed),
            elapsed: spent,
            work,
            memory_mb,
            report: &report,
        };
        self.notify_scheduler(now, Event::AttemptEnded(ended));
        self.drop_if_settled(key.request);
    }
}
