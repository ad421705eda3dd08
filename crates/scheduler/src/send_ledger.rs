//! Attempts that count against a limit from their first byte.
//!
//! The other side counts an attempt when it goes out, not when it was planned: a connection that comes up late, or a process that
//! stood still, lies between the two. So a planned attempt counts at once, whatever the window, until its first byte goes out;
//! from then on it counts by that moment. The retry budget and slow start both keep such a ledger.
//!
//! Bound: one window's worth of sent attempts, and what is on its way.

use crate::types::{Micros, QueryId};
use std::collections::VecDeque;

/// An attempt that was planned, and may have gone out.
struct PlannedSend {
    query: QueryId,
    attempt: u8,
    /// What it counts for.
    weight: f64,
    /// When its first byte went out; `None` while it waits for that.
    first_byte_at: Option<Micros>,
}

impl PlannedSend {
    fn is_waiting(&self, query: QueryId, attempt: u8) -> bool {
        self.first_byte_at.is_none() && (self.query, self.attempt) == (query, attempt)
    }
}

/// Planned and sent attempts, in the order in which they were planned.
#[derive(Default)]
pub(crate) struct SendLedger(VecDeque<PlannedSend>);

impl SendLedger {
    /// Records a planned attempt. `first_byte_at`: when it went out, where that is at once.
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

    /// Records that the first byte of a waiting attempt goes out now.
    pub(crate) fn mark_sent(&mut self, now: Micros, query: QueryId, attempt: u8) {
        let mut sends = self.0.iter_mut();
        if let Some(send) = sends.find(|s| s.is_waiting(query, attempt)) {
            send.first_byte_at = Some(now);
        }
    }

    /// Frees what an ended attempt counts for, where no byte of it went out.
    pub(crate) fn release_unsent(&mut self, query: QueryId, attempt: u8) {
        self.0.retain(|s| !s.is_waiting(query, attempt));
    }

    /// Drops what went out before this time.
    pub(crate) fn forget_before(&mut self, begin: Micros) {
        self.0
            .retain(|s| s.first_byte_at.is_none_or(|at| at >= begin));
    }

    /// The weight of a planned attempt that waits for its first byte; `None` where it does not.
    pub(crate) fn waiting_weight(&self, query: QueryId, attempt: u8) -> Option<f64> {
        let mut sends = self.0.iter();
        sends
            .find(|s| s.is_waiting(query, attempt))
            .map(|s| s.weight)
    }

    /// Sum of all weights that went out after this time, and of those that wait.
    pub(crate) fn planned_weight_since(&self, begin: Micros) -> f64 {
        let counts = |s: &&PlannedSend| s.first_byte_at.is_none_or(|at| at > begin);
        self.0.iter().filter(counts).map(|s| s.weight).sum()
    }

    /// Sum of all weights that went out after this time.
    pub(crate) fn sent_weight_since(&self, begin: Micros) -> f64 {
        let counts = |s: &&PlannedSend| s.first_byte_at.is_some_and(|at| at > begin);
        self.0.iter().filter(counts).map(|s| s.weight).sum()
    }

    /// Number of attempts in the ledger, planned or sent.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Number of attempts in the ledger whose first byte has gone out.
    pub(crate) fn sent_count(&self) -> usize {
        self.0.iter().filter(|s| s.first_byte_at.is_some()).count()
    }

    /// Number of attempts that wait, and of those whose first byte went out at a time of which `is_within` is true.
    pub(crate) fn count_within(&self, is_within: impl Fn(Micros) -> bool) -> usize {
        let counts = |s: &&PlannedSend| s.first_byte_at.is_none_or(&is_within);
        self.0.iter().filter(counts).count()
    }
}
