//! Decision: whether one more attempt beyond a request's first may go out.
//!
//! Input: the time of each request taken and of each further attempt, on the host's monotonic clock. Output: yes or no, and the
//! figures behind it for logs and counters. Bound: within any window of the settings' length at most
//! `free + ratio * requests taken` further attempts. State: two queues of times that hold one window's worth at most.

use crate::interface::{Micros, RetryBudget};
use crate::Controller;
use std::collections::VecDeque;

/// Who counts from outside sees an attempt, or a request, a moment earlier or later than this host: so much at the window's edge
/// counts against the budget.
const EDGE: Micros = 20_000;

/// How far the budget is used, for logs and counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// Further attempts within the window.
    pub used: u64,
    /// Further attempts that the requests taken within the window allow.
    pub allowed: f64,
    /// Requests taken within the window.
    pub taken: u64,
    /// Times held in memory: one window's worth at most.
    pub held: usize,
    /// Further attempts that were not made since the start, for want of budget.
    pub denied: u64,
}

/// The budget of one coordinator over a sliding window.
#[derive(Default)]
pub(crate) struct RetryWindow {
    taken: VecDeque<Micros>,
    further: VecDeque<Micros>,
    denied: u64,
}

impl RetryWindow {
    /// A request was taken.
    pub fn request_taken(&mut self, now: Micros, budget: &RetryBudget) {
        self.taken.push_back(now);
        self.forget(now, budget);
    }

    /// A further attempt was made.
    pub fn attempt_made(&mut self, now: Micros) {
        self.further.push_back(now);
    }

    /// Whether one more further attempt stays within the budget.
    pub fn allows_another(&mut self, now: Micros, budget: &RetryBudget) -> bool {
        self.forget(now, budget);
        let allows = self.further.len() as f64 + 1.0 <= self.allowed(budget);
        self.denied += u64::from(!allows);
        allows
    }

    /// The figures at this moment.
    pub fn usage(&self, now: Micros, budget: &RetryBudget) -> BudgetUsage {
        let within = |times: &VecDeque<Micros>| times.iter().filter(|&&t| t + budget.window > now).count();
        let taken = within(&self.taken);
        BudgetUsage {
            used: within(&self.further) as u64,
            allowed: budget.free + budget.ratio * taken as f64,
            taken: taken as u64,
            held: self.taken.len() + self.further.len(),
            denied: self.denied,
        }
    }

    fn allowed(&self, budget: &RetryBudget) -> f64 {
        budget.free + budget.ratio * self.taken.len() as f64
    }

    /// Drops what is behind the window.
    fn forget(&mut self, now: Micros, budget: &RetryBudget) {
        self.further.retain(|&t| t + budget.window + EDGE >= now);
        self.taken.retain(|&t| t + budget.window > now + EDGE);
    }
}

impl Controller {
    /// Whether one more attempt beyond a query's first may be made.
    pub(crate) fn budget_left(&mut self, now: Micros) -> bool {
        self.cfg.retry_budget.is_none_or(|budget| self.retries.allows_another(now, &budget))
    }

    /// How far the retry budget is used; `None` where the settings have none.
    pub fn retry_budget_usage(&self, now: Micros) -> Option<BudgetUsage> {
        self.cfg.retry_budget.map(|budget| self.retries.usage(now, &budget))
    }
}
