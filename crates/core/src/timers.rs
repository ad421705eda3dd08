//! Timers. The host asks when the next timer is due and calls [`Core::fire_timers`] at that time.

use crate::request::{AttemptKey, RequestId};
use crate::Core;
use driftfront_scheduler::{Controller, Event, Micros, Outcome};
use std::cmp::Reverse;

/// Number of timers below which those without an effect are kept until they are due.
pub(crate) const MIN_PRUNED_TIMERS: usize = 1024;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Set by the scheduler, with this token.
    Scheduler(u64),
    /// An attempt times out.
    Attempt(AttemptKey),
    /// The engine of an abandoned attempt has been notified by now.
    Abandoned(AttemptKey),
    /// Latest time for a request's final answer.
    Answer(RequestId),
    /// The probe with this tag times out.
    Probe(u64),
}

/// A scheduled timer. Timers are ordered by time, then by the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ScheduledTimer {
    at: Micros,
    order: u64,
    timer: Timer,
}

impl Core {
    /// Number of timers that are set, including those that have no effect any more.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// The time of the next timer, at which [`Core::fire_timers`] has to be called.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse(next)| next.at)
    }

    /// Fires all timers that are due.
    pub fn fire_timers(&mut self, now: Micros) {
        while self.next_due().is_some_and(|at| at <= now) {
            let Some(Reverse(next)) = self.timers.pop() else {
                return;
            };
            match next.timer {
                Timer::Scheduler(token) => self.notify_scheduler(now, Event::TimerFired(token)),
                Timer::Attempt(key) => self.time_out_attempt(now, key),
                Timer::Abandoned(key) => self.finish_abandoned_attempt(now, key),
                Timer::Answer(id) => self.fail_overdue(now, id),
                Timer::Probe(tag) => self.record_probe(now, tag, Outcome::TimedOut, &[]),
            }
        }
        self.end_lost_attempts(now);
    }

    /// Sets a timer. Timers for the same time fire in the order in which they were set.
    pub(crate) fn set_timer(&mut self, at: Micros, timer: Timer) {
        if self.timers.len() >= self.prune_timers_at {
            self.prune_timers();
        }
        let order = self.next_number();
        self.timers
            .push(Reverse(ScheduledTimer { at, order, timer }));
    }

    /// Drops timers that have no effect any more. Otherwise each request would hold its timers until its client's timeout, however
    /// early it was answered. The number of timers at least doubles between two calls, so that each timer costs a constant time.
    fn prune_timers(&mut self) {
        let mut timers = std::mem::take(&mut self.timers);
        timers.retain(|Reverse(scheduled)| self.has_effect(scheduled.timer));
        timers.shrink_to_fit();
        self.prune_timers_at = MIN_PRUNED_TIMERS.max(2 * timers.len());
        self.timers = timers;
    }

    /// Whether a timer may still do something when it fires.
    fn has_effect(&self, timer: Timer) -> bool {
        match timer {
            Timer::Scheduler(token) => Controller::query_of_timer(token)
                .is_none_or(|query| self.requests.contains_key(&RequestId(query.0))),
            Timer::Attempt(key) | Timer::Abandoned(key) => self.is_in_flight(key),
            Timer::Answer(id) => self.requests.contains_key(&id),
            Timer::Probe(tag) => self.probes.contains_key(&tag),
        }
    }
}
