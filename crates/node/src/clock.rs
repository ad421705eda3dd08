//! The wall clock, watched for steps.
//!
//! Operators and time daemons set the wall clock while the program runs. A step is told in the log and counted, so that what a
//! log's stamps jump by can be told from time that passed.

use driftfront_core::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Wall and monotonic clock may drift apart by less than this between two looks without a word: time daemons slew by 0.5 ms a
/// second, and a look comes every 25 ms; a process that stands still between its two readings adds what it stood still.
const STEP_LEAST: i64 = 50_000;

/// Microseconds since the Unix epoch, as the system's wall clock says now.
pub fn unix_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
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
        StepWatch { began, offset: offset(began), steps: 0, stepped_by: 0 }
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
