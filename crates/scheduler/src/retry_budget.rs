//! Retry budget: whether another attempt beyond a request's first may be sent.
//!
//! Input: the time of each accepted request and of each retry, on the host's monotonic clock.
//! Output: yes or no, and the figures for logs and counters. Bound: within any window of the
//! configured length, at most `min_retries + ratio * accepted requests` retries. State: the times
//! of one window's requests and retries.
//!
//! Retries count from their first byte (see [`SendLedger`]): a planned retry reserves its part of
//! the budget at once, and is checked again right before its first byte.

use crate::send_ledger::SendLedger;
use crate::settings::RetryBudget;
use crate::types::{Micros, QueryId};
use std::collections::VecDeque;

/// An outside observer sees an attempt or request slightly earlier or later than this host. Events
/// this close to the window's edge count against the budget.
const WINDOW_EDGE: Micros = 20_000;

/// Usage of the retry budget, for logs and counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetUsage {
    /// Retries within the window.
    pub used: u64,
    /// Retries allowed by the requests accepted within the window.
    pub allowed: f64,
    /// Requests accepted within the window.
    pub requests: u64,
    /// Number of timestamps in memory, at most one window's worth.
    pub times_held: usize,
    /// Retries that were not planned because the budget was exhausted, since the start.
    pub denied: u64,
    /// Retries that were planned, but not sent because the budget was exhausted by then.
    pub denied_at_send: u64,
}

/// The budget of one coordinator over a sliding window. If the settings have no budget, every retry
/// is allowed and nothing is recorded.
pub(crate) struct RetryBudgetWindow {
    budget: Option<RetryBudget>,
    requests: VecDeque<Micros>,
    retries: SendLedger,
    denied: u64,
    denied_at_send: u64,
}

impl RetryBudgetWindow {
    /// An unused budget.
    pub(crate) fn new(budget: Option<RetryBudget>) -> RetryBudgetWindow {
        RetryBudgetWindow {
            budget,
            requests: VecDeque::new(),
            retries: SendLedger::default(),
            denied: 0,
            denied_at_send: 0,
        }
    }

    /// Records that a request was accepted.
    pub(crate) fn record_request(&mut self, now: Micros) {
        if let Some(budget) = self.budget {
            self.requests.push_back(now);
            self.prune(now, &budget);
        }
    }

    /// Whether another retry may be planned. Refusals are counted.
    pub(crate) fn allows_retry(&mut self, now: Micros) -> bool {
        let Some(budget) = self.budget else {
            return true;
        };
        self.prune(now, &budget);
        let allows = self.retries.len() as f64 + 1.0 <= self.allowed(&budget);
        self.denied += u64::from(!allows);
        allows
    }

    /// Records a planned retry. `first_byte_at` is its send time, if it is sent at once.
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

    /// Whether the first byte of an attempt may be sent now. Only retries already sent count
    /// against the budget here, since each waiting one is checked right before its own first byte.
    pub(crate) fn allows_first_byte(&mut self, now: Micros, query: QueryId, attempt: u8) -> bool {
        let Some(budget) = self.budget else {
            return true;
        };
        self.prune(now, &budget);
        if self.retries.waiting_weight(query, attempt).is_none() {
            return true;
        }
        let allows = self.retries.sent_count() as f64 + 1.0 <= self.allowed(&budget);
        self.denied_at_send += u64::from(!allows);
        allows
    }

    /// Records that the first byte of an attempt is sent.
    pub(crate) fn mark_sent(&mut self, now: Micros, query: QueryId, attempt: u8) {
        self.retries.mark_sent(now, query, attempt);
    }

    /// Records the end of an attempt. Its part of the budget is released if no byte of it was sent.
    pub(crate) fn record_end(&mut self, query: QueryId, attempt: u8) {
        self.retries.release_unsent(query, attempt);
    }

    /// Current usage; `None` if the settings have no budget.
    pub(crate) fn usage(&self, now: Micros) -> Option<RetryBudgetUsage> {
        let budget = self.budget?;
        let is_within = |at: Micros| at + budget.window > now;
        let requests = self.requests.iter().filter(|&&at| is_within(at)).count();
        Some(RetryBudgetUsage {
            used: self.retries.count_within(is_within) as u64,
            allowed: budget.min_retries + budget.ratio * requests as f64,
            requests: requests as u64,
            times_held: self.requests.len() + self.retries.len(),
            denied: self.denied,
            denied_at_send: self.denied_at_send,
        })
    }

    fn allowed(&self, budget: &RetryBudget) -> f64 {
        budget.min_retries + budget.ratio * self.requests.len() as f64
    }

    /// Drops events outside the window: retries slightly late, and requests slightly early.
    fn prune(&mut self, now: Micros, budget: &RetryBudget) {
        self.retries
            .prune_before(now.saturating_sub(budget.window + WINDOW_EDGE));
        self.requests
            .retain(|&at| at + budget.window > now + WINDOW_EDGE);
    }
}
