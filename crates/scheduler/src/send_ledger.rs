//! Ledger of attempts that count against a limit from their first byte.
//!
//! The engine counts an attempt when it is sent, not when it was planned; a connection that opens
//! late or a paused process can delay the send. A planned attempt therefore counts at once,
//! independent of the window, until its first byte is sent; from then on, it counts by the time of
//! that byte. The retry budget and slow start each keep such a ledger.
//!
//! Bound: the attempts sent within one window, and those that are planned.

use crate::types::{Micros, QueryId};
use std::collections::VecDeque;

/// An attempt that was planned, and may have been sent.
struct PlannedSend {
    query: QueryId,
    attempt: u8,
    /// What the attempt counts for.
    weight: f64,
    /// When its first byte was sent; `None` while it waits.
    first_byte_at: Option<Micros>,
}

impl PlannedSend {
    fn is_waiting(&self, query: QueryId, attempt: u8) -> bool {
        self.first_byte_at.is_none() && (self.query, self.attempt) == (query, attempt)
    }
}

/// Planned and sent attempts, in planning order.
#[derive(Default)]
pub(crate) struct SendLedger(VecDeque<PlannedSend>);

impl SendLedger {
    /// Records a planned attempt. `first_byte_at` is its send time, if it is sent at once.
    pub(crate) fn plan(
        &mut self,
        query: QueryId,
        attempt: u8,
        weight: f64,
        first_byte_at: Option<Micros>,
    ) {
        self.0.push_back(PlannedSend {
            query,
            attempt,
            weight,
            first_byte_at,
        });
    }

    /// Records that the first byte of a waiting attempt is sent now.
    pub(crate) fn mark_sent(&mut self, now: Micros, query: QueryId, attempt: u8) {
        let mut sends = self.0.iter_mut();
        if let Some(send) = sends.find(|s| s.is_waiting(query, attempt)) {
            send.first_byte_at = Some(now);
        }
    }

    /// Removes an attempt that ended before any byte of it was sent.
    pub(crate) fn release_unsent(&mut self, query: QueryId, attempt: u8) {
        self.0.retain(|s| !s.is_waiting(query, attempt));
    }

    /// Drops attempts that were sent before this time.
    pub(crate) fn prune_before(&mut self, begin: Micros) {
        self.0
            .retain(|s| s.first_byte_at.is_none_or(|at| at >= begin));
    }

    /// Weight of a planned attempt that waits for its first byte; `None` if it does not wait.
    pub(crate) fn waiting_weight(&self, query: QueryId, attempt: u8) -> Option<f64> {
        let mut sends = self.0.iter();
        sends
            .find(|s| s.is_waiting(query, attempt))
            .map(|s| s.weight)
    }

    /// Total weight of the attempts sent after this time, and of those that wait.
    pub(crate) fn planned_weight_since(&self, begin: Micros) -> f64 {
        let counts = |s: &&PlannedSend| s.first_byte_at.is_none_or(|at| at > begin);
        self.0.iter().filter(counts).map(|s| s.weight).sum()
    }

    /// Total weight of the attempts sent after this time.
    pub(crate) fn sent_weight_since(&self, begin: Micros) -> f64 {
        let counts = |s: &&PlannedSend| s.first_byte_at.is_some_and(|at| at > begin);
        self.0.iter().filter(counts).map(|s| s.weight).sum()
    }

    /// Number of attempts in the ledger, planned or sent.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Number of attempts in the ledger whose first byte was sent.
    pub(crate) fn sent_count(&self) -> usize {
        self.0.iter().filter(|s| s.first_byte_at.is_some()).count()
    }

    /// Number of attempts that wait, or whose send time satisfies `is_within`.
    pub(crate) fn count_within(&self, is_within: impl Fn(Micros) -> bool) -> usize {
        let counts = |s: &&PlannedSend| s.first_byte_at.is_none_or(&is_within);
        self.0.iter().filter(counts).count()
    }
}
