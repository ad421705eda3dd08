//! Outlier detection: when engines are ejected after failures, and how they recover.
//!
//! Input: answers, failures and probes of one engine. Output: whether it gets queries. State: one
//! record per engine.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | healthy | a first error | healthy |
//! | healthy | a first connection reset, if probes are allowed | ejected, not on probation; a probe is requested |
//! | healthy | any other failure | ejected, then on probation |
//! | ejected | the ejection time ends | on probation, or healthy if only a connection was lost |
//! | ejected, not on probation | a probe is answered | healthy |
//! | ejected, not on probation | the engine is unreachable | ejected for longer, then on probation |
//! | ejected, not on probation | any other failure | unchanged |
//! | ejected, on probation | any failure | unchanged |
//! | on probation: one attempt at a time | a success, with a recent error rate of at most one half | healthy |
//! | on probation | a failure | ejected for longer |

use crate::estimates::SAMPLE_WEIGHT;
use crate::events::Outcome;
use crate::types::Micros;

/// Ejection time after a failure, doubled with each further one. Long enough for a restart.
const BASE_EJECTION_TIME: Micros = 400_000;
/// Maximum number of doublings.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Consecutive errors that eject an engine. A single one may be the query's own fault.
const ERRORS_TO_EJECT: u32 = 2;
/// Weight of an answer in the error rate.
const ERROR_RATE_WEIGHT: f64 = 3.0 * SAMPLE_WEIGHT;
/// An engine stays on probation while its recent error rate is above this.
const MAX_PROBATION_ERROR_RATE: f64 = 0.5;
/// An engine is under pressure for this long after it rejects a query: the interval of load
/// reports.
const REJECTION_PRESSURE_TIME: Micros = 1_000_000;

/// Effect of a failure on its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FailureEffect {
    /// No effect: the engine accepts queries as before, or was already ejected.
    Unchanged,
    /// The engine was ejected, and is on probation afterwards.
    Ejected,
    /// The engine was ejected until it answers a probe: possibly only a connection was lost.
    EjectedUntilProbe,
}

/// Health of one engine.
#[derive(Clone, Copy)]
pub(crate) struct EngineHealth {
    /// When a message last arrived from it.
    pub last_contact_at: Micros,
    /// When it was last probed.
    pub probed_at: Micros,
    /// When it last rejected a query for lack of capacity.
    rejected_at: Option<Micros>,
    /// Consecutive failures.
    failures: u32,
    /// Recent fraction of answers that were errors.
    error_rate: f64,
    /// It gets no attempts before this time.
    ejected_until: Micros,
    /// It gets one attempt at a time until one succeeds.
    is_on_probation: bool,
    /// It could not be reached, so it may have restarted.
    was_unreachable: bool,
}

impl EngineHealth {
    /// Health of a new engine.
    pub(crate) fn new(now: Micros) -> EngineHealth {
        EngineHealth {
            last_contact_at: now,
            probed_at: 0,
            rejected_at: None,
            failures: 0,
            error_rate: 0.0,
            ejected_until: 0,
            is_on_probation: false,
            was_unreachable: false,
        }
    }

    /// Whether it currently gets no attempts.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Whether it gets one attempt at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }

    /// Whether it recently rejected a query.
    pub(crate) fn has_rejected_recently(&self, now: Micros) -> bool {
        let is_recent = |at| now < at + REJECTION_PRESSURE_TIME;
        self.rejected_at.is_some_and(is_recent)
    }

    /// Whether it may have restarted unannounced: it responds again after it could not be reached.
    pub(crate) fn may_have_restarted(&self) -> bool {
        self.is_on_probation && self.was_unreachable
    }

    /// Records that the engine has no capacity.
    pub(crate) fn record_rejection(&mut self, now: Micros) {
        self.rejected_at = Some(now);
    }

    /// Records whether an answer was an error.
    pub(crate) fn record_answer(&mut self, is_error: bool) {
        let error = f64::from(u8::from(is_error));
        self.error_rate += ERROR_RATE_WEIGHT * (error - self.error_rate);
    }

    /// Records a served query. A single success does not end probation while most answers are
    /// errors.
    pub(crate) fn record_success(&mut self) {
        self.is_on_probation &= self.error_rate > MAX_PROBATION_ERROR_RATE;
        self.failures *= u32::from(self.is_on_probation);
        self.was_unreachable = false;
        self.ejected_until = 0;
    }

    /// Records a failure of the engine itself.
    pub(crate) fn record_failure(
        &mut self,
        now: Micros,
        outcome: Outcome,
        may_probe: bool,
    ) -> FailureEffect {
        self.was_unreachable |= outcome == Outcome::Unreachable;
        // Further outcomes during an ejection belong to the same failure, unless they show that the
        // engine cannot be reached.
        if self.is_ejected(now) && (self.is_on_probation || outcome != Outcome::Unreachable) {
            return FailureEffect::Unchanged;
        }
        self.failures += 1;
        if outcome == Outcome::Error && self.failures < ERRORS_TO_EJECT {
            return FailureEffect::Unchanged;
        }
        let doublings = (self.failures - 1).min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + (BASE_EJECTION_TIME << doublings);
        // A connection may be lost while its engine is healthy; a probe finds out at once.
        let may_be_healthy = outcome == Outcome::Reset && self.failures == 1 && may_probe;
        self.is_on_probation = !may_be_healthy;
        if may_be_healthy {
            FailureEffect::EjectedUntilProbe
        } else {
            FailureEffect::Ejected
        }
    }

    /// Records that a probe was answered. Returns true if this ends an ejection, as only a
    /// connection had been lost.
    pub(crate) fn record_probe_success(&mut self, now: Micros) -> bool {
        let is_recovered = !self.is_on_probation && self.is_ejected(now);
        if is_recovered {
            self.ejected_until = 0;
        }
        is_recovered
    }
}
