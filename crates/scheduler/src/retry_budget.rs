//! Retry budget: whether one more attempt beyond a request's first may go out.
//!
//! Input: the time of each request accepted and of each retry, on the host's monotonic clock. Output: yes or no, and the figures
//! behind it for logs and counters. Bound: within any window of the settings' length at most
//! `min_retries + ratio * requests accepted` retries. State: the times of one window's requests and retries.
//!
//! Retries count from their first byte (see [`SendLedger`]): a planned one takes its part of the budget at once, and is asked
//! about once more right before its first byte.

use crate::send_ledger::SendLedger;
use crate::settings::RetryBudget;
use crate::types::{Micros, QueryId};
use std::collections::VecDeque;

/// Whoever counts from outside sees an attempt, or a request, a moment earlier or later than this host: so much at the window's
/// edge counts against the budget.
const WINDOW_EDGE: Micros = 20_000;

/// How far the budget is used, for logs and counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetUsage {
    /// Retries within the window.
    pub used: u64,
    /// Retries that the requests accepted within the window allow.
    pub allowed: f64,
    /// Requests accepted within the window.
    pub requests: u64,
    /// Times held in memory: one window's worth at most.
    pub times_held: usize,
    /// Retries that were not planned since the start, for want of budget.
    pub denied: u64,
    /// Those that were planned, and not made for want of budget when they were to go out.
    pub denied_at_send: u64,
}

/// The budget of one coordinator over a sliding window. Without a budget in the settings everything is allowed and nothing kept.
pub(crate) struct RetryBudgetWindow {
    budget: Option<RetryBudget>,
    requests: VecDeque<Micros>,
    retries: SendLedger,
    denied: u64,
    withheld: u64,
}

impl RetryBudgetWindow {
    /// An unused budget.
    pub(crate) fn new(budget: Option<RetryBudget>) -> RetryBudgetWindow {
        RetryBudgetWindow {
            budget,
            requests: VecDeque::new(),
            retries: SendLedger::default(),
            denied: 0,
            withheld: 0,
        }
    }

    /// Records that a request was accepted.
    pub(crate) fn record_request(&mut self, now: Micros) {
        if let Some(budget) = self.budget {
            self.requests.push_back(now);
            self.forget(now, &budget);
        }
    }

    /// Whether one more retry may be planned; a refusal is counted.
    pub(crate) fn allows_retry(&mut self, now: Micros) -> bool {
        let Some(budget) = self.budget else {
            return true;
        };
        self.forget(now, &budget);
        let allows = self.retries.len() as f64 + 1.0 <= self.allowed(&budget);
        self.denied += u64::from(!allows);
        allows
    }

    /// Records a planned retry. `first_byte_at`: when it went out, where that is at once.
    pub(crate) fn plan_retry(
        &mut self,
        query: QueryId,
        attempt: u8,
        first_byte_at: Option<Micros>,
    ) {
        if self.budget.is_some() {
            self.retries.plan(query, attempt, 1.0, first_byte_at);
        }
    }

    /// Whether the first byte of an attempt may go out now. Only what did go out counts against it: what waits is asked about in
    /// its turn.
    pub(crate) fn allows_first_byte(&mut self, now: Micros, query: QueryId, attempt: u8) -> bool {
        let Some(budget) = self.budget else {
            return true;
        };
        self.forget(now, &budget);
        if self.retries.waiting_weight(query, attempt).is_none() {
            return true;
        }
        let allows = self.retries.sent_count() as f64 + 1.0 <= self.allowed(&budget);
        self.withheld += u64::from(!allows);
        allows
    }

    /// Records that the first byte of an attempt goes out.
    pub(crate) fn mark_sent(&mut self, now: Micros, query: QueryId, attempt: u8) {
        self.retries.mark_sent(now, query, attempt);
    }

    /// Records the end of an attempt: where no byte of it went out, its part of the budget is free again.
    pub(crate) fn record_end(&mut self, query: QueryId, attempt: u8) {
        self.retries.release_unsent(query, attempt);
    }

    /// The figures at this moment; `None` where the settings have no budget.
    pub(crate) fn usage(&self, now: Micros) -> Option<RetryBudgetUsage> {
        let budget = self.budget?;
        let is_within = |at: Micros| at + budget.window > now;
        let taken = self.requests.iter().filter(|&&at| is_within(at)).count();
        Some(RetryBudgetUsage {
            used: self.retries.count_within(is_within) as u64,
            allowed: budget.min_retries + budget.ratio * taken as f64,
            requests: taken as u64,
            times_held: self.requests.len() + self.retries.len(),
            denied: self.denied,
            denied_at_send: self.withheld,
        })
    }

    fn allowed(&self, budget: &RetryBudget) -> f64 {
        budget.min_retries + budget.ratio * self.requests.len() as f64
    }

    /// Drops what is behind the window: retries a little late, requests a little early.
    fn forget(&mut self, now: Micros, budget: &RetryBudget) {
        self.retries
            .forget_before(now.saturating_sub(budget.window + WINDOW_EDGE));
        self.requests
            .retain(|&at| at + budget.window > now + WINDOW_EDGE);
    }
}
