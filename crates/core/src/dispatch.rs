//! Stage 4, dispatch: an attempt goes out, unless its time or its engine is gone, and what is learned of it until its end.

use crate::attempt::{Attempt, AttemptReport, Cause, Progress, RetryContext};
use crate::request::{AttemptKey, Request, RequestId};
use crate::timers::Timer;
use crate::Core;
use driftfront_scheduler::{EngineId, Event, Micros, Phase, ProgressReport};

impl Core {
    /// An attempt that is in flight.
    pub(crate) fn in_flight(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        let request = self.requests.get_mut(&key.request)?;
        let attempt = request.attempts.get_mut(usize::from(key.number))?;
        attempt.is_in_flight().then_some(attempt)
    }

    /// An attempt of a request that is not settled, whether it is in flight or has ended.
    fn attempt(&self, key: AttemptKey) -> Option<&Attempt> {
        let request = self.requests.get(&key.request)?;
        request.attempts.get(usize::from(key.number))
    }

    /// Whether an attempt has not ended.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.attempt(key).is_some_and(Attempt::is_in_flight)
    }

    /// An attempt's engine, and when it was sent.
    pub fn attempt_engine(&self, key: AttemptKey) -> Option<(EngineId, Micros)> {
        self.attempt(key).map(|a| (a.engine, a.sent_at))
    }

    /// Memory that an attempt is granted, MB; 0 leaves it to the engine.
    pub fn grant_mb(&self, key: AttemptKey) -> f64 {
        self.attempt(key).map_or(0.0, |a| a.grant_mb)
    }

    /// What an attempt follows; `None` for a request's first.
    pub fn retry_context(&self, key: AttemptKey) -> Option<RetryContext<'_>> {
        let request = self.requests.get(&key.request).filter(|_| key.number > 0)?;
        let (failed_on, after) = request.last_failure.as_ref()?;
        Some(RetryContext {
            name: &request.parsed.name,
            failed_on: *failed_on,
            error: after,
        })
    }

    /// Asked right before an attempt's first byte: how long it may take, or `None` if it must not go. While its connection came up
    /// the engine may have begun to drain, the time may have run out, or a budget may have been used up by what went out.
    pub fn may_write_attempt(&mut self, now: Micros, key: AttemptKey) -> Option<Micros> {
        let attempt = self.in_flight(key)?;
        let (engine, remaining) = (attempt.engine, attempt.timeout_at.saturating_sub(now));
        let is_ready = self.engine_phases.get(&engine) == Some(&Phase::Ready);
        let request = self.requests.get(&key.request)?;
        let (class, token) = (request.parsed.class, request.parsed.idempotency_key.clone());
        let deadline = request.deadline;
        let known_until = self.idempotency_keys.known_until(class, token.as_ref());
        let may_go = is_ready
            && remaining > 0
            && !request.is_closed
            && !request.is_cancelled
            && known_until.is_none_or(|until| now < until)
            && self
                .controller
                .may_send_first_byte(now, key.request.query(), key.number);
        if !may_go {
            self.attempt_failed(now, key, Cause::NotSent);
            return None;
        }
        if let Some(token) = token {
            self.idempotency_keys
                .record_write(now, class, &token, key, deadline);
        }
        self.in_flight(key)?.written_at = now;
        Some(remaining)
    }

    /// Records that an attempt has come this far.
    pub fn record_progress(&mut self, key: AttemptKey, progress: Progress) {
        if let Some(attempt) = self.in_flight(key) {
            attempt.progress = attempt.progress.max(progress);
        }
    }

    /// Records what an engine says of an attempt in flight.
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

    /// Records what came with the response to an attempt, whatever the response is.
    pub fn record_attempt_report(&mut self, key: AttemptKey, report: AttemptReport) {
        if let Some(attempt) = self.in_flight(key) {
            attempt.report = report;
        }
    }

    /// Records that some of a body that is not retained goes out: from here on there is no other attempt, and engines work on rows
    /// as they come, so that part of it may have run.
    pub fn mark_body_forwarded(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_body_forwarded = true;
            for attempt in request.attempts.iter_mut().filter(|a| a.is_in_flight()) {
                attempt.progress = attempt.progress.max(Progress::FullyWritten);
            }
        }
    }

    /// Has what is in flight of a request end within this time, if that is sooner than it would.
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

    /// The attempt of a request that is in flight.
    pub(crate) fn key_in_flight(&self, id: RequestId) -> Option<AttemptKey> {
        let (number, _) = self.requests.get(&id).and_then(Request::in_flight)?;
        Some(AttemptKey {
            request: id,
            number,
        })
    }
}
