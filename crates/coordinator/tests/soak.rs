//! A short soak test with seeded restarts. `driftfront-cluster-harness --soak` runs more seeds.

use driftfront_cluster_harness::soak;
use std::path::Path;

/// These seeds include clock steps, series of signals and idle clients that use up the descriptors.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// Number of concurrent soak runs; each starts two or three processes.
const CONCURRENT_RUNS: usize = 2;

#[test]
fn rules_hold_through_restarts_clock_steps_and_engine_failures() {
    let binary = Path::new(env!("CARGO_BIN_EXE_driftfront"));
    let seeds: Vec<u64> = SEEDS.collect();
    std::thread::scope(|scope| {
        for batch in seeds.chunks(seeds.len().div_ceil(CONCURRENT_RUNS)) {
            scope.spawn(|| batch.iter().for_each(|&seed| run(binary, seed)));
        }
    });
}

fn run(binary: &Path, seed: u64) {
    let report = soak::play(binary, seed);
    let logs: String = report
        .logs
        .iter()
        .map(|log| format!("log of {}:\n{}", log.process, log.text))
        .collect();
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {report}\n{logs}"
    );
    assert!(
        report.requests > 0 && report.retries > 0,
        "seed {seed} made no requests or no retries: {report}"
    );
}
