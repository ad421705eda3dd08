//! What a seed stands for: who runs, what goes wrong when, and what the settings say.

use driftfront_mock_servers::ledger::Budget;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// The platform's kill comes this long behind the longest deadline after SIGTERM.
const KILL_SPARE: Duration = Duration::from_millis(700);
/// Deadlines that a seed may have, the longest of all classes. The platform counts 3 s where it is longer.
const DEADLINES_MS: [u64; 3] = [1_000, 1_600, 3_000];
/// By how many seconds wall clocks are set.
const STEPS_S: [i64; 8] = [3, 20, 400, 3_600, -3, -20, -400, -3_600];
/// Signals go out within this part of the soak.
const SIGNALS_AT_MS: Range<u64> = 1_200..3_500;
/// Descriptors of a process that a crowd of idle clients fills.
const FEW_DESCRIPTORS: usize = 128;
/// Clients of a crowd.
const CROWD: usize = 160;

/// A signal to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// A new configuration, by which the list of engines moves.
    Hangup,
    /// The end; the kill follows.
    Terminate,
}

/// How an engine misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It takes requests and never answers them.
    Hang,
    /// It answers with an error.
    Fault,
    /// It turns requests away unseen.
    Full,
    /// It resets the connection under each request.
    Reset,
}

/// An engine's trouble from one time to another, counted from the soak's beginning.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// When.
    pub during: Range<Duration>,
    /// What.
    pub mode: Mode,
}

/// What one coordinator goes through.
#[derive(Clone, Debug)]
pub struct Life {
    /// Signals, in order, each with its time.
    pub signals: Vec<(Duration, Signal)>,
    /// Its wall clock is set then, to be so many microseconds off.
    pub steps: Vec<(Duration, i64)>,
    /// Idle clients that fill its descriptors.
    pub crowd: usize,
    /// Descriptors that it may hold.
    pub descriptors: usize,
}

/// A soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that all of it is drawn from.
    pub seed: u64,
    /// How long clients ask.
    pub length: Duration,
    /// The longest deadline of all classes.
    pub deadline: Duration,
    /// The retry budget of each process.
    pub budget: Budget,
    /// Each engine's troubles.
    pub engines: Vec<Vec<Trouble>>,
    /// Each coordinator's life.
    pub coordinators: Vec<Life>,
    /// Clients of each coordinator, each with a connection of its own that it keeps.
    pub clients: usize,
    /// Engines that begin to drain, and when that is told.
    pub drains: Vec<(Duration, usize)>,
}

impl Plan {
    /// The soak of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let deadline = Duration::from_millis(*DEADLINES_MS.choose(&mut rng).expect("some"));
        let length = Duration::from_millis(SIGNALS_AT_MS.end + 500) + deadline + KILL_SPARE;
        let engines = rng.random_range(3..6);
        let coordinators = rng.random_range(2..4);
        // The last engine drains; the first is well, so that somebody always serves.
        let drains = vec![(at(&mut rng, 500..3_000), engines - 1)];
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
                .map(|n| troubles(&mut rng, n > 0, length))
                .collect(),
            coordinators: (0..coordinators).map(|_| life(&mut rng)).collect(),
            clients: rng.random_range(4..10),
            drains,
        }
    }

    /// How long after SIGTERM the platform kills, at the earliest.
    pub fn kills_after(&self) -> Duration {
        self.deadline + KILL_SPARE
    }
}

fn at(rng: &mut SmallRng, ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(ms))
}

/// One engine hangs for long; others fail now and then, for a moment each.
fn troubles(rng: &mut SmallRng, any: bool, length: Duration) -> Vec<Trouble> {
    if !any {
        return Vec::new();
    }
    if rng.random_range(0..3) == 0 {
        // Some hang through the whole of a shutdown.
        let begin = at(rng, 300..3_000);
        let end = if rng.random_range(0..2) == 0 {
            length * 2
        } else {
            begin + at(rng, 300..2_000)
        };
        return vec![Trouble {
            during: begin..end,
            mode: Mode::Hang,
        }];
    }
    let moments = rng.random_range(4..12);
    let moment = |_| {
        let begin = at(rng, 300..5_000);
        let mode = *[Mode::Fault, Mode::Full, Mode::Reset, Mode::Reset]
            .choose(rng)
            .expect("some");
        Trouble {
            during: begin..begin + at(rng, 50..400),
            mode,
        }
    };
    (0..moments).map(moment).collect()
}

fn life(rng: &mut SmallRng) -> Life {
    use Signal::{Hangup, Terminate};
    let series: &[Signal] = match rng.random_range(0..6) {
        0 => &[Terminate],
        1 => &[Hangup, Terminate],
        2 => &[Hangup, Hangup, Terminate],
        3 => &[Terminate, Terminate],
        4 => &[Terminate, Hangup],
        _ => &[],
    };
    let mut when = at(rng, SIGNALS_AT_MS);
    let mut signals = Vec::new();
    for &signal in series {
        signals.push((when, signal));
        when += at(rng, 0..400);
    }
    let mut steps: Vec<(Duration, i64)> = (0..rng.random_range(0..6))
        .map(|_| {
            (
                at(rng, 200..4_000),
                STEPS_S.choose(rng).expect("some") * 1_000_000,
            )
        })
        .collect();
    steps.sort_by_key(|s| s.0);
    let crowded = rng.random_range(0..3) == 0;
    Life {
        signals,
        steps,
        crowd: if crowded { CROWD } else { 0 },
        descriptors: if crowded { FEW_DESCRIPTORS } else { 1024 },
    }
}
