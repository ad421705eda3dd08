//! Detects lost attempts, whose response will not arrive although their engine responds to other attempts.
//!
//! Some engines report on each attempt at a fixed interval; an attempt whose reports stop may be lost. However, an engine short of
//! memory does not report on queued queries, which it starts in the order of arrival. An attempt therefore counts as lost only if
//! the engine has reported on another attempt that was written later, since the earlier one must have been started by then.

use crate::attempt::{Cause, Progress};
use crate::request::{AttemptKey, Request, RequestId};
use crate::{Command, Core};
use driftfront_scheduler::{EngineId, Idempotency, Micros, Settings};
use std::collections::BTreeMap;

/// A report is overdue after this many intervals plus [`REPORT_DELAY`]. The first report arrives after up to 1.5 intervals, each
/// further one after 1 interval.
const OVERDUE_INTERVALS: f64 = 1.75;
/// Allowance for the delivery of a report.
const REPORT_DELAY: Micros = 30_000;
/// Minimum time between two checks of all attempts.
const CHECK_INTERVAL: Micros = 25_000;

/// Tracks the engines' reports on attempts.
pub(crate) struct LostAttemptDetector {
    /// Time after which a report is overdue; `None` if engines send no reports.
    overdue_after: Option<Micros>,
    /// By engine, the latest write time among the attempts that were reported on.
    reported_up_to: BTreeMap<EngineId, Micros>,
    next_check_at: Micros,
}

impl LostAttemptDetector {
    /// Creates a detector without reports. `reports_each`: whether engines report on each attempt separately.
    #[allow(clippy::cast_possible_truncation, reason = "a few seconds in µs")]
    pub(crate) fn new(settings: &Settings, reports_each: bool) -> LostAttemptDetector {
        let interval = settings.progress_interval.filter(|_| reports_each);
        let overdue = |interval| (interval as f64 * OVERDUE_INTERVALS) as Micros + REPORT_DELAY;
        LostAttemptDetector {
            overdue_after: interval.map(overdue),
            reported_up_to: BTreeMap::new(),
            next_check_at: 0,
        }
    }

    /// Removes an engine that is gone.
    pub(crate) fn forget_engine(&mut self, engine: EngineId) {
        self.reported_up_to.remove(&engine);
    }

    /// Records a report on an attempt that was written at `written_at`.
    fn record_report(&mut self, engine: EngineId, written_at: Micros) {
        if self.overdue_after.is_some() {
            let up_to = self.reported_up_to.entry(engine).or_default();
            *up_to = written_at.max(*up_to);
        }
    }

    /// Whether the engine has reported on an attempt that was written after `written_at`.
    fn has_report_of_later(&self, engine: EngineId, written_at: Micros) -> bool {
        let up_to = self.reported_up_to.get(&engine);
        up_to.is_some_and(|&up_to| up_to > written_at)
    }

    /// Starts a check if one is due; returns the time after which a report is overdue.
    fn begin_check(&mut self, now: Micros) -> Option<Micros> {
        let overdue_after = self.overdue_after.filter(|_| now >= self.next_check_at)?;
        self.next_check_at = now + CHECK_INTERVAL;
        Some(overdue_after)
    }
}

impl Core {
    /// Records that the engine has sent a progress report on an attempt or its response.
    pub(crate) fn record_contact(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.in_flight(key) else {
            return;
        };
        attempt.reported_at = now;
        let (engine, written_at) = (attempt.engine, attempt.written_at);
        self.lost_attempts.record_report(engine, written_at);
    }

    /// Ends lost attempts, so that the scheduler can retry them before the deadline.
    pub(crate) fn end_lost_attempts(&mut self, now: Micros) {
        let Some(overdue_after) = self.lost_attempts.begin_check(now) else {
            return;
        };
        let lost = |(&id, request)| self.lost_attempt(now, overdue_after, id, request);
        let lost: Vec<(AttemptKey, EngineId)> = self.requests.iter().filter_map(lost).collect();
        for (key, engine) in lost {
            self.counters.attempts_lost += 1;
            self.commands
                .push_back(Command::AbandonAttempt(key, engine));
            self.attempt_failed(now, key, Cause::TimedOut);
        }
    }

    /// The request's attempt in flight and its engine, if it is lost and the query may run again.
    fn lost_attempt(
        &self,
        now: Micros,
        overdue_after: Micros,
        id: RequestId,
        request: &Request,
    ) -> Option<(AttemptKey, EngineId)> {
        let (number, attempt) = request.in_flight()?;
        let is_unanswered = !request.is_closed && request.forwarded_attempt.is_none();
        let last_contact = attempt.reported_at.max(attempt.written_at);
        let is_lost = is_unanswered
            && attempt.progress == Progress::FullyWritten
            && attempt.abandoned_for.is_none()
            && now > last_contact + overdue_after
            && self
                .lost_attempts
                .has_report_of_later(attempt.engine, attempt.written_at)
            && self.may_run_again(request);
        let key = AttemptKey {
            request: id,
            number,
        };
        is_lost.then_some((key, attempt.engine))
    }

    fn may_run_again(&self, request: &Request) -> bool {
        match self.idempotency(&request.parsed) {
            Some(Idempotency::Idempotent) => true,
            Some(Idempotency::WithKey) => request.parsed.idempotency_key.is_some(),
            Some(Idempotency::NotIdempotent) | None => false,
        }
    }
}
