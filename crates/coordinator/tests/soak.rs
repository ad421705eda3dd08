//! A short soak of restarts, seeded: `driftfront-cluster-harness --soak` plays more of them.

use driftfront_cluster_harness::soak;
use std::path::Path;

/// Seeds with clocks that are set, signals in series and a crowd among them.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// Soaks at once: each starts two or three processes.
const AT_ONCE: usize = 2;

#[test]
fn rules_hold_through_restarts_clock_steps_and_engine_failures() {
    let binary = Path::new(env!("CARGO_BIN_EXE_driftfront"));
    let seeds: Vec<u64> = SEEDS.collect();
    std::thread::scope(|scope| {
        for part in seeds.chunks(seeds.len().div_ceil(AT_ONCE)) {
            scope.spawn(|| part.iter().for_each(|&seed| play(binary, seed)));
        }
    });
}

fn play(binary: &Path, seed: u64) {
    let report = soak::play(binary, seed);
    let logs: String = report
        .logs
        .iter()
        .map(|log| format!("{} said\n{}", log.process, log.text))
        .collect();
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {report}\n{logs}"
    );
    assert!(
        report.requests > 0 && report.retries > 0,
        "seed {seed} shows nothing: {report}"
    );
}
