//! Stage 6, accounting: counters of requests, attempts and answers since the start.

use driftfront_scheduler::Outcome;
use std::fmt;

/// Outcomes of attempts and their label values in the counters.
const OUTCOME_NAMES: [(Outcome, &str); 8] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Rejected, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::Superseded, "moot"),
];

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub requests_accepted: u64,
    /// Final answers: served.
    pub answers_served: u64,
    /// Final answers: rejected.
    pub answers_rejected: u64,
    /// Final answers: failed.
    pub answers_failed: u64,
    /// Final answers: failed after the response had begun.
    pub answers_aborted: u64,
    /// Clients that disconnected before their answer.
    pub clients_left: u64,
    /// Requests failed by the deadline safeguard, because the scheduler had not answered them in time.
    pub answers_overdue: u64,
    /// Attempts sent.
    pub attempts_sent: u64,
    /// Attempts beyond a request's first.
    pub retries_sent: u64,
    /// Attempts ended, by outcome in the order of `OUTCOME_NAMES`.
    attempts_ended: [u64; OUTCOME_NAMES.len()],
    /// Probes sent.
    pub probes_sent: u64,
    /// Probes with a successful result.
    pub probes_answered: u64,
    /// Engine lists and changes applied.
    pub lists_applied: u64,
    /// Requests cancelled by their clients.
    pub requests_cancelled: u64,
    /// Attempts released because their client disconnected.
    pub attempts_released: u64,
    /// Attempts with unknown outcome that were dropped early because of the limit on them.
    pub unknown_outcomes_dropped: u64,
    /// Attempts ended because the engine no longer reported on them.
    pub attempts_lost: u64,
    /// Engines whose idle connections were all reset.
    pub engines_suspected: u64,
    /// Attempts that the scheduler cancelled.
    pub attempts_cancelled: u64,
    /// Requests not run because an attempt with their idempotency key may have run before the deduplication window.
    pub idempotency_keys_expired: u64,
    /// Requests of unknown tenants, where the settings define tenants.
    pub tenants_unknown: u64,
    /// Requests rejected because of the limit on idempotency keys.
    pub idempotency_keys_refused: u64,
    /// Requests without an idempotency key in a class that uses them; they run at most once.
    pub idempotency_keys_missing: u64,
}

impl Counters {
    /// Counts the end of an attempt.
    pub(crate) fn record_attempt_end(&mut self, outcome: Outcome) {
        let index = OUTCOME_NAMES.iter().position(|(o, _)| *o == outcome);
        self.attempts_ended[index.unwrap_or(0)] += 1;
    }
}

/// Writes one line per counter with its external name, which differs from the field's for some, and its value.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, count) in [
            ("requests_taken", self.requests_accepted),
            ("answers_served", self.answers_served),
            ("answers_refused", self.answers_rejected),
            ("answers_failed", self.answers_failed),
            ("answers_broken", self.answers_aborted),
            ("clients_left", self.clients_left),
            ("answers_overdue", self.answers_overdue),
            ("attempts_sent", self.attempts_sent),
            ("attempts_further", self.retries_sent),
            ("probes_sent", self.probes_sent),
            ("probes_answered", self.probes_answered),
            ("lists_taken", self.lists_applied),
            ("requests_called_off", self.requests_cancelled),
            ("attempts_released", self.attempts_released),
            ("doubts_dropped", self.unknown_outcomes_dropped),
            ("attempts_unheard", self.attempts_lost),
            ("engines_doubted", self.engines_suspected),
            ("attempts_called_off", self.attempts_cancelled),
            ("tokens_late", self.idempotency_keys_expired),
            ("tokens_missing", self.idempotency_keys_missing),
            ("tokens_full", self.idempotency_keys_refused),
            ("tenants_unnamed", self.tenants_unknown),
        ] {
            writeln!(f, "{name} {count}")?;
        }
        for ((_, name), count) in OUTCOME_NAMES.iter().zip(self.attempts_ended) {
            writeln!(f, "attempts_ended{{outcome=\"{name}\"}} {count}")?;
        }
        Ok(())
    }
}
