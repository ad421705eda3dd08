//! The plan of a soak test, drawn from a seed: processes, engines, faults and settings.

use crate::process::Signal;
use driftfront_mock_servers::request_log::Budget;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// The platform kills a process this long after SIGTERM plus the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Possible values of the longest deadline of all classes. The platform caps it at 3 s.
const DEADLINES_MS: [u64; 3] = [1_000, 1_600, 3_000];
/// Possible offsets of wall clocks, in seconds.
const CLOCK_OFFSETS_S: [i64; 8] = [3, 20, 400, 3_600, -3, -20, -400, -3_600];
/// Range of the time of a coordinator's first signal.
const SIGNALS_AT_MS: Range<u64> = 1_200..3_500;
/// How long clients continue after the last possible first signal plus the longest deadline and the margin until the kill.
const TIME_AFTER_SIGNALS_MS: u64 = 500;
/// Limit on file descriptors of a process that has idle clients.
const FEW_DESCRIPTORS: usize = 128;
/// Limit on file descriptors of other processes.
const MANY_DESCRIPTORS: usize = 1024;
/// Number of idle clients of a coordinator that has any: more than it has file descriptors.
const IDLE_CLIENTS: usize = 160;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// A kind of engine fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMode {
    /// It accepts requests and never responds.
    Hang,
    /// It responds with an error.
    Fault,
    /// It rejects requests without running them.
    Full,
    /// It resets the connection on each request.
    Reset,
}

/// A fault of an engine, with times relative to the start of the soak test.
#[derive(Clone, Debug)]
pub struct EngineFault {
    /// When the fault is active.
    pub during: Range<Duration>,
    /// The kind of fault.
    pub mode: FaultMode,
}

/// The events of a coordinator, with times relative to the start of the soak test.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Signals and their times, in order. SIGHUP switches to the other address of the engine list. After SIGTERM the platform kills
    /// the process once the timeout has passed.
    pub signals: Vec<(Duration, Signal)>,
    /// Times at which its wall clock is set, and the new offset in microseconds.
    pub clock_steps: Vec<(Duration, i64)>,
    /// Number of idle clients that use up its file descriptors.
    pub idle_clients: usize,
    /// Limit on its file descriptors.
    pub descriptors: usize,
}

/// The plan of a soak test.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// How long clients send requests.
    pub length: Duration,
    /// The longest deadline of all classes.
    pub deadline: Duration,
    /// The retry budget of each process.
    pub budget: Budget,
    /// The faults of each engine.
    pub engines: Vec<Vec<EngineFault>>,
    /// The events of each coordinator.
    pub coordinators: Vec<Schedule>,
    /// Number of clients per coordinator. Each keeps one connection.
    pub clients: usize,
    /// Times at which the list reports an engine as draining, and the engine's index.
    pub drains: Vec<(Duration, usize)>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let deadline =
            Duration::from_millis(*DEADLINES_MS.choose(&mut rng).expect("a non-empty list"));
        let length = Duration::from_millis(SIGNALS_AT_MS.end + TIME_AFTER_SIGNALS_MS)
            + deadline
            + KILL_MARGIN;
        let engines = rng.random_range(3..6);
        let coordinators = rng.random_range(2..4);
        // The last engine drains. The first has no faults, so that one engine always serves.
        let drains = vec![(draw_time(&mut rng, 500..3_000), engines - 1)];
        Plan {
            seed,
            length,
            deadline,
            // Small enough that the budget is exhausted whenever an engine fails.
            budget: Budget {
                free: 4.0,
                ratio: 0.002,
                window: Duration::from_secs(10),
            },
            engines: (0..engines)
                .map(|n| draw_faults(&mut rng, n > 0, length))
                .collect(),
            coordinators: (0..coordinators).map(|_| draw_schedule(&mut rng)).collect(),
            clients: rng.random_range(4..10),
            drains,
        }
    }

    /// Returns the earliest time after SIGTERM at which the platform may kill a process.
    pub fn kill_timeout(&self) -> Duration {
        self.deadline + KILL_MARGIN
    }
}

/// Draws a time from a range of milliseconds.
fn draw_time(rng: &mut SmallRng, ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(ms))
}

/// Draws the faults of an engine: either one long hang, or several short faults.
fn draw_faults(rng: &mut SmallRng, has_faults: bool, length: Duration) -> Vec<EngineFault> {
    if !has_faults {
        return Vec::new();
    }
    if rng.random_range(0..3) == 0 {
        // Some engines hang for an entire shutdown.
        let begin = draw_time(rng, 300..3_000);
        let end = if rng.random_range(0..2) == 0 {
            length * 2
        } else {
            begin + draw_time(rng, 300..2_000)
        };
        return vec![EngineFault {
            during: begin..end,
            mode: FaultMode::Hang,
        }];
    }
    let count = rng.random_range(4..12);
    let draw_fault = |_| {
        let begin = draw_time(rng, 300..5_000);
        let mode = *[
            FaultMode::Fault,
            FaultMode::Full,
            FaultMode::Reset,
            FaultMode::Reset,
        ]
        .choose(rng)
        .expect("a non-empty list");
        EngineFault {
            during: begin..begin + draw_time(rng, 50..400),
            mode,
        }
    };
    (0..count).map(draw_fault).collect()
}

fn draw_schedule(rng: &mut SmallRng) -> Schedule {
    let signals = draw_signals(rng);
    let clock_steps = draw_clock_steps(rng);
    let has_idle_clients = rng.random_range(0..3) == 0;
    let (idle_clients, descriptors) = match has_idle_clients {
        true => (IDLE_CLIENTS, FEW_DESCRIPTORS),
        false => (0, MANY_DESCRIPTORS),
    };
    Schedule {
        signals,
        clock_steps,
        idle_clients,
        descriptors,
    }
}

/// Draws a series of signals, each up to 0.4 s after the previous one.
fn draw_signals(rng: &mut SmallRng) -> Vec<(Duration, Signal)> {
    use Signal::{Hangup, Terminate};
    let series: &[Signal] = match rng.random_range(0..6) {
        0 => &[Terminate],
        1 => &[Hangup, Terminate],
        2 => &[Hangup, Hangup, Terminate],
        3 => &[Terminate, Terminate],
        4 => &[Terminate, Hangup],
        _ => &[],
    };
    let mut time = draw_time(rng, SIGNALS_AT_MS);
    let mut signals = Vec::new();
    for &signal in series {
        signals.push((time, signal));
        time += draw_time(rng, 0..400);
    }
    signals
}

fn draw_clock_steps(rng: &mut SmallRng) -> Vec<(Duration, i64)> {
    let count = rng.random_range(0..6);
    let mut steps: Vec<(Duration, i64)> = (0..count)
        .map(|_| {
            let time = draw_time(rng, 200..4_000);
            let seconds = CLOCK_OFFSETS_S.choose(rng).expect("a non-empty list");
            (time, seconds * MICROS_PER_SECOND)
        })
        .collect();
    steps.sort_by_key(|step| step.0);
    steps
}
