//! Runs soak tests with restarts, several at once, and reports violated rules by seed.

use super::arguments::Arguments;
use super::exit_code;
use driftfront_cluster_harness::soak::{self, ProcessLog};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs the soak tests given on the command line, and prints their reports.
pub(crate) fn run(args: &Arguments, binary: &str) -> ExitCode {
    let (first, runs) = (args.number("--seed", 1), args.number("--runs", 1));
    let next_seed = AtomicU64::new(first);
    let failed_seeds = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..args.number("--at-once", 2) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= first + runs {
                    return;
                }
                if !play(binary, seed) {
                    failed_seeds.lock().expect("locking the seeds").push(seed);
                }
            });
        }
    });
    let failed_seeds = failed_seeds.into_inner().expect("locking the seeds");
    println!(
        "{runs} soak tests, {} with violated rules: {failed_seeds:?}",
        failed_seeds.len()
    );
    exit_code(failed_seeds.is_empty())
}

/// Returns whether no rule was violated.
fn play(binary: &str, seed: u64) -> bool {
    let report = soak::play(Path::new(binary), seed);
    println!("seed {seed}: {report}");
    if report.violations.is_empty() {
        return true;
    }
    for ProcessLog { process, text } in &report.logs {
        println!("seed {seed}: log of process {process}\n{text}");
    }
    false
}
