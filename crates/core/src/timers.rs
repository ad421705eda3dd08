//! Timers: what is due when. The host asks for the next time, and calls when it has come.

use crate::request::{AttemptKey, RequestId};
use crate::Core;
use driftfront_scheduler::{Event, Micros, Outcome};
use std::cmp::Reverse;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The scheduler asked for it, with this token.
    Scheduler(u64),
    /// An attempt times out.
    Attempt(AttemptKey),
    /// The engine of an abandoned attempt knows of that by now.
    Abandoned(AttemptKey),
    /// A request has to have its final answer.
    Answer(RequestId),
    /// The probe of this tag has failed.
    Probe(u64),
}

/// A timer that is set; ordered by time, then by the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ScheduledTimer {
    at: Micros,
    order: u64,
    timer: Timer,
}

impl Core {
    /// When [`Core::fire_timers`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse(next)| next.at)
    }

    /// Fires all timers that should have fired by now.
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

    /// Sets a timer. Those of one time fire in the order in which they were set.
    pub(crate) fn set_timer(&mut self, at: Micros, timer: Timer) {
        let order = self.next_number();
        self.timers
            .push(Reverse(ScheduledTimer { at, order, timer }));
    }
}
