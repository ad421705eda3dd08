//! The program's time, and the wall clock beside it.
//!
//! Operators and time daemons set the wall clock while the program runs, by seconds or an hour, forwards or back. So every
//! span (deadline, window, wait, grace, retry budget) is kept on the monotonic clock, by [`Clock`]. The wall clock is read in
//! this module alone: once at the start, so that the program's time agrees with the Unix times of others (`startedAtMs`), and
//! from then on for people only. A step is logged and counted.

use driftfront_core::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Smallest difference between two checks that counts as a step of the wall clock. Time daemons slew by 0.5 ms a second, and
/// checks come every 25 ms; a process that stands still between its two readings adds the time that it stood still.
const MIN_STEP_MICROS: i64 = 50_000;

/// The program's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The wall clock at the start.
    started_at: Micros,
}

impl Clock {
    /// Starts at what the wall clock says.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
            started_at: unix_now(),
        }
    }

    /// Microseconds since the Unix epoch, as the wall clock would say had nobody set it since the start. Never runs backwards
    /// and never jumps.
    pub fn now(&self) -> Micros {
        self.started_at + elapsed_micros(self.started)
    }
}

/// A duration in microseconds; one of half a million years is the longest.
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Microseconds since an instant.
pub(crate) fn elapsed_micros(since: Instant) -> Micros {
    micros(since.elapsed())
}

/// Microseconds since the Unix epoch, as the system's wall clock says now.
#[allow(
    clippy::disallowed_methods,
    reason = "the one place that reads the wall clock"
)]
fn unix_now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, micros)
}

/// A step of the wall clock, in microseconds; negative where it was set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep(pub i64);

/// Compares the wall clock with the monotonic one from one check to the next.
pub struct WallClockMonitor {
    started: Instant,
    /// Wall minus monotonic time at the last check.
    offset_micros: i64,
    /// Steps seen.
    pub steps: u64,
    /// All steps together, in microseconds: how far the wall clock is from where it would be.
    pub stepped_by: i64,
}

impl WallClockMonitor {
    /// Begins to watch.
    pub fn start() -> WallClockMonitor {
        let started = Instant::now();
        WallClockMonitor {
            started,
            offset_micros: offset_micros(started),
            steps: 0,
            stepped_by: 0,
        }
    }

    /// The step since the last check, if there was one.
    pub fn check(&mut self) -> Option<ClockStep> {
        self.compare(offset_micros(self.started))
    }

    fn compare(&mut self, offset_micros: i64) -> Option<ClockStep> {
        let step = offset_micros - std::mem::replace(&mut self.offset_micros, offset_micros);
        if step.abs() < MIN_STEP_MICROS {
            return None;
        }
        self.steps += 1;
        self.stepped_by += step;
        Some(ClockStep(step))
    }
}

fn offset_micros(started: Instant) -> i64 {
    unix_now() as i64 - elapsed_micros(started) as i64
}
