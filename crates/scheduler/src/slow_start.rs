//! Decisions: since when an engine counts as started, and what may go to one that is cold.
//!
//! Input: the start that a list tells, in the Unix time of whoever tells it, and how it was told; the attempts sent while the
//! engine was cold. Output: the start to reckon with, on the host's monotonic clock; whether one more attempt may go out.
//! Bound: a clock that is off by an hour makes no engine warm that is told as new, and keeps none cold for longer than its
//! warm-up; within any window of the settings' length a cold engine gets no more than this gateway's part of its budget, counted
//! as attempts go out.

use crate::interface::{ListKind, Micros, QueryId, SlowStart};
use crate::state::{Engine, Random};
use crate::Controller;
use std::collections::VecDeque;

/// Changes of the list are told within this time of what they tell; the rules count them as told after 7 s.
const TOLD_WITHIN: Micros = 10_000_000;

/// Part of the cold budget used: the rule weighs by usual work, not by ours.
const COLD_CARE: f64 = 0.7;
/// Capacity is where cores are this busy (the cold rule's own definition).
const CAPACITY: f64 = 0.85;
/// The most demand a cold engine's chance counts with, as a multiple of capacity.
const RUSH: f64 = 1.5;
/// Queries above this part of a cold window have less chance: they scatter.
const COLD_WHOLE: f64 = 0.125;
/// At least this part of all work counts as fit for cold engines.
const COLD_LEAST: f64 = 0.5;

/// The start to reckon with. `is_news`: this start was not known before.
pub(crate) fn believed_start(now: Micros, kind: ListKind, told: Micros, is_news: bool) -> Micros {
    // A start in the future: this clock is behind. It has started by now.
    let by_now = told.min(now);
    // A start long ago that is news, told as a change: this clock is ahead, or the list came late. It may have started just now.
    let is_odd = kind == ListKind::Changes && is_news && by_now + TOLD_WITHIN < now;
    if is_odd {
        now
    } else {
        by_now
    }
}

/// An attempt that was sent to a cold engine.
struct ColdSend {
    query: QueryId,
    attempt: u8,
    /// Its part of the engine's budget.
    weight: f64,
    /// When its first byte went out; `None` while it waits for that.
    at: Option<Micros>,
}

/// What one engine was sent while it was cold.
#[derive(Default)]
pub(crate) struct ColdSends(VecDeque<ColdSend>);

impl ColdSends {
    /// An attempt is planned. `at`: when it went out, where that is at once.
    pub fn plan(&mut self, query: QueryId, attempt: u8, weight: f64, at: Option<Micros>) {
        self.0.push_back(ColdSend {
            query,
            attempt,
            weight,
            at,
        });
    }

    /// Drops what went out before this time.
    pub fn forget_before(&mut self, begin: Micros) {
        self.0.retain(|s| s.at.is_none_or(|at| at >= begin));
    }

    /// An attempt has ended: where no byte of it went out, its part is free again.
    pub fn ended(&mut self, query: QueryId, attempt: u8) {
        self.0
            .retain(|s| s.at.is_some() || (s.query, s.attempt) != (query, attempt));
    }

    /// All weights that went out behind this time, and those that wait.
    pub fn planned_since(&self, begin: Micros) -> f64 {
        self.0
            .iter()
            .filter(|s| s.at.is_none_or(|at| at > begin))
            .map(|s| s.weight)
            .sum()
    }

    /// All weights that went out behind this time.
    fn out_since(&self, begin: Micros) -> f64 {
        self.0
            .iter()
            .filter(|s| s.at.is_some_and(|at| at > begin))
            .map(|s| s.weight)
            .sum()
    }

    fn waiting(&mut self, query: QueryId, attempt: u8) -> Option<&mut ColdSend> {
        self.0
            .iter_mut()
            .find(|s| s.at.is_none() && (s.query, s.attempt) == (query, attempt))
    }
}

impl Controller {
    /// Whether the engine of an attempt that was planned while it was cold takes it now; if so, it goes out.
    pub(crate) fn cold_engine_takes(&mut self, now: Micros, query: QueryId, attempt: u8) -> bool {
        let Some(slow_start) = self.cfg.slow_start else {
            return true;
        };
        let sent_to = self
            .jobs
            .get(&query)
            .and_then(|j| j.tries.get(usize::from(attempt)))
            .map(|t| t.engine);
        let Some(engine) = sent_to else { return true };
        let Some(e) = self.engines.get(&engine) else {
            return true;
        };
        // A sliver's part is under one query: chance decides there, not a sum.
        let bounded = !self.sliver() && self.warmth(now, e) < 1.0;
        let part = self.cold_budget(now, e, &slow_start) / f64::from(self.cfg.coordinators.max(1));
        let Some(e) = self.engines.get_mut(&engine) else {
            return true;
        };
        let out = e
            .cold_sends
            .out_since(now.saturating_sub(slow_start.window));
        let Some(send) = e.cold_sends.waiting(query, attempt) else {
            return true;
        };
        if bounded && out > 0.0 && out + send.weight > part {
            return false;
        }
        send.at = Some(now);
        true
    }

    /// Share of its capacity that a young engine can be counted on for; 1 once warm.
    pub(crate) fn warmth(&self, now: Micros, e: &Engine) -> f64 {
        let (Some(slow_start), Some(started_at)) = (self.cfg.slow_start, e.started_at) else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64 / slow_start.warm_up_time.max(1) as f64;
        slow_start.from + (1.0 - slow_start.from) * (2.0 * age - 1.0).clamp(0.0, 1.0)
    }

    /// Rule 4: our n-th of what a cold engine may be sent in any window. Against crowds on engines just
    /// started; also covers those that answer again after failing, which may have restarted unannounced.
    pub(crate) fn cold_room(&self, now: Micros, id: QueryId, e: &Engine) -> bool {
        let (Some(slow_start), true) = (self.cfg.slow_start, self.warmth(now, e) < 1.0) else {
            return true;
        };
        let recent = e
            .cold_sends
            .planned_since(now.saturating_sub(slow_start.window));
        let (whole, weight) = (self.cold_budget(now, e, &slow_start), self.cold_weight(id));
        if !self.sliver() {
            return recent + weight <= whole / f64::from(self.cfg.coordinators.max(1));
        }
        // A sliver is under one query: each has a chance, all fill the budget; small ones have what is left.
        let fit = |work: f64| (COLD_WHOLE * whole / work).min(1.0).powi(3);
        let fits =
            self.mean(|c| self.learned[c].work * fit(self.learned[c].work)) / self.mean_work();
        let fit = fit(weight) / fits.max(COLD_LEAST) * (self.weight(e) / self.cores(e)).min(1.0);
        let chance = fit * whole / (self.tally.cores * CAPACITY * RUSH * slow_start.window as f64);
        let draw = Random(
            self.salt ^ id.0 ^ e.started_at.unwrap_or(0) ^ ((now / slow_start.window.max(1)) << 40),
        )
        .below(1 << 20);
        recent <= COLD_WHOLE * whole
            && weight <= whole / 2.0
            && (draw as f64) < chance * (1 << 20) as f64
    }

    /// Work that a cold engine may be sent within its window, by all gateways.
    pub(crate) fn cold_budget(&self, now: Micros, e: &Engine, slow_start: &SlowStart) -> f64 {
        let capacity = self.cores(e) * CAPACITY * self.warmth(now, e) * slow_start.window as f64;
        COLD_CARE * slow_start.multiple * capacity
    }

    /// The rule weighs a query by its class's usual work; before any was seen, by all of its aim.
    pub(crate) fn cold_weight(&self, id: QueryId) -> f64 {
        let (class, c) = (self.jobs[&id].query.class, self.class(id));
        let known = self.learned[usize::from(class)].seen >= 5.0;
        self.learned[usize::from(class)].work.max(if known {
            0.0
        } else {
            c.latency_objective as f64 * c.threads
        })
    }
}
