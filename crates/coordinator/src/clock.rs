//! The program's time, and the wall clock beside it.
//!
//! Operators and time daemons set the wall clock while the program runs, by seconds or an hour, forwards or back. So every span
//! (deadline, window, wait, grace, retry budget) is kept on the monotonic clock, as [`Clock`] tells it. The wall clock is read
//! here alone: once at the start, so that the program's time agrees with the Unix times that others tell (`startedAtMs`), and
//! from then on for words to people only. A step is told in the log and counted.

use driftfront_core::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Wall and monotonic clock may drift apart by less than this between two looks without a word: time daemons slew by 0.5 ms a
/// second, and a look comes every 25 ms; a process that stands still between its two readings adds what it stood still.
const STEP_LEAST: i64 = 50_000;

/// The program's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    /// The wall clock at the start.
    base: Micros,
}

impl Clock {
    /// Begins to run, at what the wall clock says.
    pub fn start() -> Clock {
        Clock {
            began: Instant::now(),
            base: unix_now(),
        }
    }

    /// Microseconds since the Unix epoch, as the wall clock would say had nobody set it since the start. Never runs backwards
    /// and never jumps.
    pub fn now(&self) -> Micros {
        self.base + self.began.elapsed().as_micros() as Micros
    }
}

/// Microseconds since the Unix epoch, as the system's wall clock says now.
#[allow(clippy::disallowed_methods)]
fn unix_now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros)
}

/// A step of the wall clock, in microseconds; negative where it was set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step(pub i64);

/// Compares the wall clock with the monotonic one from one look to the next.
pub struct StepWatch {
    began: Instant,
    /// Wall minus monotonic time at the last look.
    offset: i64,
    /// Steps seen.
    pub steps: u64,
    /// All steps together, in microseconds: how far the wall clock is from where it would be.
    pub stepped_by: i64,
}

impl StepWatch {
    /// Begins to watch.
    pub fn start() -> StepWatch {
        let began = Instant::now();
        StepWatch {
            began,
            offset: offset(began),
            steps: 0,
            stepped_by: 0,
        }
    }

    /// The step since the last look, if there was one.
    pub fn look(&mut self) -> Option<Step> {
        self.compare(offset(self.began))
    }

    fn compare(&mut self, offset: i64) -> Option<Step> {
        let step = offset - std::mem::replace(&mut self.offset, offset);
        if step.abs() < STEP_LEAST {
            return None;
        }
        self.steps += 1;
        self.stepped_by += step;
        Some(Step(step))
    }
}

fn offset(began: Instant) -> i64 {
    unix_now() as i64 - began.elapsed().as_micros() as i64
}
