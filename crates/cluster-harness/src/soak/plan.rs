//! What a seed stands for: who runs, what goes wrong when, and what the settings say.

use crate::process::Signal;
use driftfront_mock_servers::request_log::Budget;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// The platform kills this long behind the longest deadline after SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Deadlines that a seed may have, the longest of all classes. The platform counts 3 s where it is longer.
const DEADLINES_MS: [u64; 3] = [1_000, 1_600, 3_000];
/// By how many seconds wall clocks are set.
const CLOCK_STEPS_S: [i64; 8] = [3, 20, 400, 3_600, -3, -20, -400, -3_600];
/// When the first signal of a coordinator is sent.
const SIGNALS_AT_MS: Range<u64> = 1_200..3_500;
/// Clients go on for so long behind the last signal, the longest deadline and the kill.
const TIME_BEHIND_SIGNALS_MS: u64 = 500;
/// Descriptors of a process that idle clients fill.
const FEW_DESCRIPTORS: usize = 128;
/// Descriptors of any other process.
const MANY_DESCRIPTORS: usize = 1024;
/// Idle clients of a coordinator that has some: more than it has descriptors.
const IDLE_CLIENTS: usize = 160;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// How an engine misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It accepts requests and never responds.
    Hang,
    /// It responds with an error.
    Fault,
    /// It rejects requests without running them.
    Full,
    /// It resets the connection under each request.
    Reset,
}

/// An engine's fault during some time, counted from the soak's start.
#[derive(Clone, Debug)]
pub struct EngineFault {
    /// When.
    pub during: Range<Duration>,
    /// What.
    pub mode: Mode,
}

/// What happens to one coordinator; times count from the soak's start.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Signals, in order, each with its time. With a SIGHUP the list of engines moves to its other address; behind a SIGTERM the
    /// platform kills.
    pub signals: Vec<(Duration, Signal)>,
    /// When its wall clock is set, and by how many microseconds it is off from then on.
    pub clock_steps: Vec<(Duration, i64)>,
    /// Idle clients that fill its descriptors.
    pub idle_clients: usize,
    /// Descriptors that it may hold.
    pub descriptors: usize,
}

/// All that a soak consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that all of it is drawn from.
    pub seed: u64,
    /// For how long clients send requests.
    pub length: Duration,
    /// The longest deadline of all classes.
    pub deadline: Duration,
    /// The retry budget of each process.
    pub budget: Budget,
    /// Each engine's faults.
    pub engines: Vec<Vec<EngineFault>>,
    /// What happens to each coordinator.
    pub coordinators: Vec<Schedule>,
    /// Clients of each coordinator, each with a connection of its own that it keeps.
    pub clients: usize,
    /// When the list reports that an engine drains, and which.
    pub drains: Vec<(Duration, usize)>,
}

impl Plan {
    /// Draws the soak of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let deadline = Duration::from_millis(*DEADLINES_MS.choose(&mut rng).expect("some"));
        let length = Duration::from_millis(SIGNALS_AT_MS.end + TIME_BEHIND_SIGNALS_MS)
            + deadline
            + KILL_MARGIN;
        let engines = rng.random_range(3..6);
        let coordinators = rng.random_range(2..4);
        // The last engine drains; the first is healthy, so that one always serves.
        let drains = vec![(draw_time(&mut rng, 500..3_000), engines - 1)];
        Plan {
            seed,
            length,
            deadline,
            // Tight, so that it binds whenever an engine fails.
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

    /// How long after SIGTERM the platform kills, at the earliest.
    pub fn kills_after(&self) -> Duration {
        self.deadline + KILL_MARGIN
    }
}

/// A time in this range of milliseconds.
fn draw_time(rng: &mut SmallRng, ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(ms))
}

/// Some engines hang for long; others fail now and then, for a moment each.
fn draw_faults(rng: &mut SmallRng, has_faults: bool, length: Duration) -> Vec<EngineFault> {
    if !has_faults {
        return Vec::new();
    }
    if rng.random_range(0..3) == 0 {
        // Some hang through the whole of a shutdown.
        let begin = draw_time(rng, 300..3_000);
        let end = if rng.random_range(0..2) == 0 {
            length * 2
        } else {
            begin + draw_time(rng, 300..2_000)
        };
        return vec![EngineFault {
            during: begin..end,
            mode: Mode::Hang,
        }];
    }
    let moments = rng.random_range(4..12);
    let moment = |_| {
        let begin = draw_time(rng, 300..5_000);
        let mode = *[Mode::Fault, Mode::Full, Mode::Reset, Mode::Reset]
            .choose(rng)
            .expect("some");
        EngineFault {
            during: begin..begin + draw_time(rng, 50..400),
            mode,
        }
    };
    (0..moments).map(moment).collect()
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

/// A series of signals, each up to 0.4 s behind the one before.
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
            let seconds = CLOCK_STEPS_S.choose(rng).expect("some");
            (time, seconds * MICROS_PER_SECOND)
        })
        .collect();
    steps.sort_by_key(|step| step.0);
    steps
}
