//! Lost attempts: those whose response will not come, though their engine answers others.
//!
//! Where engines report every so often on each attempt, one that nothing is reported of any more is lost. An engine short of
//! memory reports nothing of what waits there, but takes it in turn. So an attempt counts as lost only where something was
//! reported of another that was written later to the same engine: then its own turn had come.

use crate::attempt::{Cause, Progress};
use crate::request::{AttemptKey, Request, RequestId};
use crate::{Command, Core};
use driftfront_scheduler::{EngineId, Idempotency, Micros, Settings};
use std::collections::BTreeMap;

/// A report is overdue after this many intervals, and the time of its way. The first comes after up to one and a half intervals,
/// the next after one each.
const OVERDUE_INTERVALS: f64 = 1.75;
const REPORT_DELAY: Micros = 30_000;
/// Attempts are checked this often.
const CHECK_INTERVAL: Micros = 25_000;

/// What is known of reports on attempts.
pub(crate) struct LostAttemptDetector {
    /// A report is overdue after this long; `None` where engines send none.
    overdue_after: Option<Micros>,
    /// When the latest attempt was written of which something was reported, by engine.
    reported_up_to: BTreeMap<EngineId, Micros>,
    next_check_at: Micros,
}

impl LostAttemptDetector {
    /// Nothing was reported yet. `reports_each`: engines report on each attempt by itself.
    #[allow(clippy::cast_possible_truncation, reason = "whole µs of a few seconds")]
    pub(crate) fn new(settings: &Settings, reports_each: bool) -> LostAttemptDetector {
        let interval = settings.progress_interval.filter(|_| reports_each);
        let overdue = |interval| (interval as f64 * OVERDUE_INTERVALS) as Micros + REPORT_DELAY;
        LostAttemptDetector {
            overdue_after: interval.map(overdue),
            reported_up_to: BTreeMap::new(),
            next_check_at: 0,
        }
    }

    /// Forgets an engine that is gone.
    pub(crate) fn forget_engine(&mut self, engine: EngineId) {
        self.reported_up_to.remove(&engine);
    }

    /// Records that something was reported of an attempt that was written then.
    fn record_report(&mut self, engine: EngineId, written_at: Micros) {
        if self.overdue_after.is_some() {
            let up_to = self.reported_up_to.entry(engine).or_default();
            *up_to = written_at.max(*up_to);
        }
    }

    /// Whether something was reported of an attempt on this engine that was written later.
    fn has_report_of_later(&self, engine: EngineId, written_at: Micros) -> bool {
        let up_to = self.reported_up_to.get(&engine);
        up_to.is_some_and(|&up_to| up_to > written_at)
    }

    /// After which time without a report an attempt is overdue, if attempts are to be checked now.
    fn begin_check(&mut self, now: Micros) -> Option<Micros> {
        let overdue_after = self.overdue_after.filter(|_| now >= self.next_check_at)?;
        self.next_check_at = now + CHECK_INTERVAL;
        Some(overdue_after)
    }
}

impl Core {
    /// Records that something came of an attempt: a progress report, or its response.
    pub(crate) fn record_contact(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.in_flight(key) else {
            return;
        };
        attempt.reported_at = now;
        let (engine, written_at) = (attempt.engine, attempt.written_at);
        self.lost_attempts.record_report(engine, written_at);
    }

    /// Ends the attempts that are lost, so that the scheduler may try again while there is time.
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

    /// A request's attempt and its engine, if it is lost and the request may run again.
    fn lost_attempt(
        &self,
        now: Micros,
        overdue_after: Micros,
        id: RequestId,
        request: &Request,
    ) -> Option<(AttemptKey, EngineId)> {
        let (number, attempt) = request.in_flight()?;
        let is_unanswered = !request.is_closed && request.forwarded_attempt.is_none();
        let last = attempt.reported_at.max(attempt.written_at);
        let is_lost = is_unanswered
            && attempt.progress == Progress::FullyWritten
            && attempt.abandoned_for.is_none()
            && now > last + overdue_after
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
        match self.idempotency(request.parsed.class) {
            Some(Idempotency::Idempotent) => true,
            Some(Idempotency::WithKey) => request.parsed.idempotency_key.is_some(),
            Some(Idempotency::NotIdempotent) | None => false,
        }
    }
}
