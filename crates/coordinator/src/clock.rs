//! The process's monotonic time, and detection of wall clock steps.
//!
//! Operators and time daemons may set the wall clock while the process runs, by seconds or an hour, forwards or back. So every
//! duration (deadline, window, wait, grace, retry budget) is measured on the monotonic clock, by [`Clock`]. Only this module reads
//! the wall clock: once at the start, so that the process's time agrees with the Unix times of others (`startedAtMs`), and after
//! that only for times shown to people. Steps are logged and counted.

use driftfront_core::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Smallest change of the offset between two checks that counts as a step of the wall clock. Time daemons slew by 0.5 ms per
/// second, and checks run every 25 ms; if the process is stopped between reading the two clocks, the offset changes by the
/// length of the stop.
const MIN_STEP_MICROS: i64 = 50_000;

/// The process's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The wall clock at the start.
    started_at: Micros,
}

impl Clock {
    /// Starts a clock at the current wall clock time.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
            started_at: unix_now(),
        }
    }

    /// Microseconds since the Unix epoch, as the wall clock would show if it had not been set since the start. Monotonic, without
    /// jumps.
    pub fn now(&self) -> Micros {
        self.started_at + elapsed_micros(self.started)
    }
}

/// A duration in microseconds, saturating at half a million years.
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Microseconds since an instant.
pub(crate) fn elapsed_micros(since: Instant) -> Micros {
    micros(since.elapsed())
}

/// Microseconds since the Unix epoch by the system's wall clock.
#[allow(
    clippy::disallowed_methods,
    reason = "the one place that reads the wall clock"
)]
fn unix_now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, micros)
}

/// A step of the wall clock in microseconds; negative if it was set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep(pub i64);

/// Detects steps of the wall clock by its offset from the monotonic clock.
pub struct WallClockMonitor {
    started: Instant,
    /// Wall clock time minus monotonic time at the last check.
    offset_micros: i64,
    /// Number of steps detected.
    pub steps: u64,
    /// Sum of all steps in microseconds.
    pub stepped_by: i64,
}

impl WallClockMonitor {
    /// Starts monitoring from the current offset.
    pub fn start() -> WallClockMonitor {
        let started = Instant::now();
        WallClockMonitor {
            started,
            offset_micros: offset_micros(started),
            steps: 0,
            stepped_by: 0,
        }
    }

    /// The step since the last check, if any.
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
