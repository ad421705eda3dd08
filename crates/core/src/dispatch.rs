//! Stage 4, dispatch: decides whether an attempt may still be written, and tracks its progress until it ends.

use crate::attempt::{Attempt, AttemptReport, Cause, Progress, RetryContext};
use crate::request::{AttemptKey, Request, RequestId};
use crate::timers::Timer;
use crate::Core;
use driftfront_scheduler::{EngineId, Event, Micros, Phase, ProgressReport};

impl Core {
    /// The attempt with this key, if it is in flight.
    pub(crate) fn in_flight(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        let request = self.requests.get_mut(&key.request)?;
        let attempt = request.attempts.get_mut(usize::from(key.number))?;
        attempt.is_in_flight().then_some(attempt)
    }

    /// The attempt with this key, whether in flight or ended; `None` once its request is settled.
    fn attempt(&self, key: AttemptKey) -> Option<&Attempt> {
        let request = self.requests.get(&key.request)?;
        request.attempts.get(usize::from(key.number))
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.attempt(key).is_some_and(Attempt::is_in_flight)
    }

    /// An attempt's engine and send time.
    pub fn attempt_engine(&self, key: AttemptKey) -> Option<(EngineId, Micros)> {
        self.attempt(key).map(|a| (a.engine, a.sent_at))
    }

    /// An attempt's memory grant in MB; 0 leaves the limit to the engine.
    pub fn grant_mb(&self, key: AttemptKey) -> f64 {
        self.attempt(key).map_or(0.0, |a| a.grant_mb)
    }

    /// The failure that caused this attempt; `None` for a request's first attempt.
    pub fn retry_context(&self, key: AttemptKey) -> Option<RetryContext<'_>> {
        let request = self.requests.get(&key.request).filter(|_| key.number > 0)?;
        let (failed_on, error) = request.last_failure.as_ref()?;
        Some(RetryContext {
            name: &request.parsed.name,
            class: request.parsed.class,
            failed_on: *failed_on,
            error,
        })
    }

    /// Must be called right before an attempt's first byte is written. Returns the time left for the attempt, or `None` if it must
    /// not be sent: while its connection was established, the engine may have started draining, the timeout may have expired, or
    /// other attempts may have used up a budget.
    pub fn may_write_attempt(&mut self, now: Micros, key: AttemptKey) -> Option<Micros> {
        let attempt = self.in_flight(key)?;
        let (engine, remaining) = (attempt.engine, attempt.timeout_at.saturating_sub(now));
        let is_ready = self.engine_phases.get(&engine) == Some(&Phase::Ready);
        let request = self.requests.get(&key.request)?;
        let class = request.parsed.class;
        let idempotency_key = request.parsed.idempotency_key.clone();
        let deadline = request.deadline;
        let deduplicated_until = self
            .idempotency_keys
            .deduplicated_until(class, idempotency_key.as_ref());
        let may_send = is_ready
            && remaining > 0
            && !request.is_closed
            && !request.is_cancelled
            && deduplicated_until.is_none_or(|until| now < until)
            && self
                .controller
                .may_send_first_byte(now, key.request.query(), key.number);
        if !may_send {
            self.attempt_failed(now, key, Cause::NotSent);
            return None;
        }
        if let Some(idempotency_key) = idempotency_key {
            self.idempotency_keys
                .record_write(now, class, &idempotency_key, key, deadline);
        }
        self.in_flight(key)?.written_at = now;
        Some(remaining)
    }

    /// Records that an attempt has reached this progress. Progress never goes back.
    pub fn record_progress(&mut self, key: AttemptKey, progress: Progress) {
        if let Some(attempt) = self.in_flight(key) {
            attempt.progress = attempt.progress.max(progress);
        }
    }

    /// Records an engine's progress report on an attempt in flight.
    pub fn record_progress_report(&mut self, now: Micros, key: AttemptKey, report: ProgressReport) {
        if self.in_flight(key).is_some() {
            self.record_contact(now, key);
            let event = Event::ProgressReported {
                query: key.request.query(),
                attempt: key.number,
                report,
            };
            self.notify_scheduler(now, event);
        }
    }

    /// Records the statistics received with an attempt's response, whether it succeeded or not.
    pub fn record_attempt_report(&mut self, key: AttemptKey, report: AttemptReport) {
        if let Some(attempt) = self.in_flight(key) {
            attempt.report = report;
        }
    }

    /// Records that part of a streamed body, which is not retained, is being forwarded. The request cannot be retried from here
    /// on. Engines process rows as they arrive, so the attempt counts as fully written.
    pub fn mark_body_forwarded(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_body_forwarded = true;
            for attempt in request.attempts.iter_mut().filter(|a| a.is_in_flight()) {
                attempt.progress = attempt.progress.max(Progress::FullyWritten);
            }
        }
    }

    /// Reduces the timeout of the request's attempt in flight to `within` from now, if it would expire later.
    pub fn shorten_timeout(&mut self, now: Micros, id: RequestId, within: Micros) {
        let Some(key) = self.key_in_flight(id) else {
            return;
        };
        let timeout_at = now.saturating_add(within);
        let attempt = self.in_flight(key).filter(|a| timeout_at < a.timeout_at);
        if let Some(attempt) = attempt {
            attempt.timeout_at = timeout_at;
            self.set_timer(timeout_at, Timer::Attempt(key));
        }
    }

    /// The key of the request's attempt in flight.
    pub(crate) fn key_in_flight(&self, id: RequestId) -> Option<AttemptKey> {
        let (number, _) = self.requests.get(&id).and_then(Request::in_flight)?;
        Some(AttemptKey {
            request: id,
            number,
        })
    }
}
