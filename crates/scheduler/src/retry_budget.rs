//! Decision: whether one more attempt beyond a request's first may go out.
//!
//! Input: the time of each request taken and of each further attempt, on the host's monotonic clock. Output: yes or no, and the
//! figures behind it for logs and counters. Bound: within any window of the settings' length at most
//! `min_retries + ratio * requests taken` further attempts. State: two queues of times that hold one window's worth at most, and what is
//! on its way.
//!
//! The other side counts an attempt when it goes out, not when it was planned: a connection that comes up late, or a process
//! that stood still, lies between the two. So a planned attempt takes its part of the budget at once, whatever the window, and
//! is asked about once more right before its first byte.

use crate::interface::{Micros, QueryId, RetryBudget};
use crate::Controller;
use std::collections::VecDeque;

/// Who counts from outside sees an attempt, or a request, a moment earlier or later than this host: so much at the window's edge
/// counts against the budget.
const EDGE: Micros = 20_000;

/// How far the budget is used, for logs and counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetUsage {
    /// Further attempts within the window.
    pub used: u64,
    /// Further attempts that the requests taken within the window allow.
    pub allowed: f64,
    /// Requests taken within the window.
    pub taken: u64,
    /// Times held in memory: one window's worth at most.
    pub held: usize,
    /// Further attempts that were not planned since the start, for want of budget.
    pub denied: u64,
    /// Those that were planned, and not made for want of budget when they were to go out.
    pub withheld: u64,
}

/// An attempt beyond a query's first.
struct Further {
    query: QueryId,
    attempt: u8,
    /// When its first byte went out; `None` while it waits for that.
    at: Option<Micros>,
}

/// The budget of one coordinator over a sliding window.
#[derive(Default)]
pub(crate) struct RetryWindow {
    taken: VecDeque<Micros>,
    further: VecDeque<Further>,
    denied: u64,
    withheld: u64,
}

impl RetryWindow {
    /// A request was taken.
    pub fn request_taken(&mut self, now: Micros, budget: &RetryBudget) {
        self.taken.push_back(now);
        self.forget(now, budget);
    }

    /// A further attempt was planned. `at`: when it went out, where that is at once.
    pub fn attempt_planned(&mut self, query: QueryId, attempt: u8, at: Option<Micros>) {
        self.further.push_back(Further { query, attempt, at });
    }

    /// Whether one more further attempt may be planned.
    pub fn allows_another(&mut self, now: Micros, budget: &RetryBudget) -> bool {
        self.forget(now, budget);
        let allows = self.further.len() as f64 + 1.0 <= self.allowed(budget);
        self.denied += u64::from(!allows);
        allows
    }

    /// Whether an attempt may go out now. Only what did go out counts against it: what waits is asked about in its turn.
    fn may_go_out(
        &mut self,
        now: Micros,
        query: QueryId,
        attempt: u8,
        budget: &RetryBudget,
    ) -> bool {
        self.forget(now, budget);
        let waits = |f: &Further| f.at.is_none() && (f.query, f.attempt) == (query, attempt);
        if !self.further.iter().any(waits) {
            return true;
        }
        let out = self.further.iter().filter(|f| f.at.is_some()).count();
        let allows = out as f64 + 1.0 <= self.allowed(budget);
        self.withheld += u64::from(!allows);
        allows
    }

    /// The first byte of an attempt goes out.
    fn goes_out(&mut self, now: Micros, query: QueryId, attempt: u8) {
        let own = |f: &&mut Further| (f.query, f.attempt) == (query, attempt);
        if let Some(further) = self.further.iter_mut().find(own) {
            further.at.get_or_insert(now);
        }
    }

    /// An attempt has ended: where no byte of it went out, its part of the budget is free again.
    pub fn ended(&mut self, query: QueryId, attempt: u8) {
        self.further
            .retain(|f| f.at.is_some() || (f.query, f.attempt) != (query, attempt));
    }

    /// The figures at this moment.
    pub fn usage(&self, now: Micros, budget: &RetryBudget) -> RetryBudgetUsage {
        let within = |at: Micros| at + budget.window > now;
        let taken = self.taken.iter().filter(|&&at| within(at)).count();
        RetryBudgetUsage {
            used: self
                .further
                .iter()
                .filter(|f| f.at.is_none_or(within))
                .count() as u64,
            allowed: budget.min_retries + budget.ratio * taken as f64,
            taken: taken as u64,
            held: self.taken.len() + self.further.len(),
            denied: self.denied,
            withheld: self.withheld,
        }
    }

    fn allowed(&self, budget: &RetryBudget) -> f64 {
        budget.min_retries + budget.ratio * self.taken.len() as f64
    }

    /// Drops what is behind the window.
    fn forget(&mut self, now: Micros, budget: &RetryBudget) {
        self.further
            .retain(|f| f.at.is_none_or(|at| at + budget.window + EDGE >= now));
        self.taken.retain(|&t| t + budget.window > now + EDGE);
    }
}

impl Controller {
    /// Whether one more attempt beyond a query's first may be made.
    pub(crate) fn budget_left(&mut self, now: Micros) -> bool {
        self.cfg
            .retry_budget
            .is_none_or(|budget| self.retries.allows_another(now, &budget))
    }

    /// An attempt beyond a query's first is planned.
    pub(crate) fn plan_further(&mut self, now: Micros, query: QueryId, attempt: u8) {
        if self.cfg.retry_budget.is_some() {
            let at = (!self.awaits_first_bytes).then_some(now);
            self.retries.attempt_planned(query, attempt, at);
        }
    }

    /// Has the host ask [`Controller::may_go_out`] right before each attempt's first byte: budgets count attempts from there.
    /// Without this they count from the [`Action::StartAttempt`](crate::Action::Send).
    pub fn awaiting_first_bytes(mut self) -> Controller {
        self.awaits_first_bytes = true;
        self
    }

    /// Whether the first byte of an attempt may go out now; if so, it does.
    pub fn may_go_out(&mut self, now: Micros, query: QueryId, attempt: u8) -> bool {
        let within_budget = match self.cfg.retry_budget {
            Some(budget) => self.retries.may_go_out(now, query, attempt, &budget),
            None => true,
        };
        let goes = within_budget && self.cold_engine_takes(now, query, attempt);
        if goes {
            self.retries.goes_out(now, query, attempt);
        }
        goes
    }

    /// How far the retry budget is used; `None` where the settings have none.
    pub fn retry_budget_usage(&self, now: Micros) -> Option<RetryBudgetUsage> {
        self.cfg
            .retry_budget
            .map(|budget| self.retries.usage(now, &budget))
    }
}
