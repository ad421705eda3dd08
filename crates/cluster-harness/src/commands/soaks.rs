//! Soaks of restarts, some at once; each broken rule with its seed.

use super::arguments::Arguments;
use super::exit_code;
use driftfront_cluster_harness::soak::{self, ProcessLog};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Plays the soaks that the command line asks for, and prints their reports.
pub(crate) fn run(args: &Arguments, binary: &str) -> ExitCode {
    let (first, runs) = (args.number("--seed", 1), args.number("--runs", 1));
    let next_seed = AtomicU64::new(first);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..args.number("--at-once", 2) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= first + runs {
                    return;
                }
                if !play(binary, seed) {
                    broken.lock().expect("the seeds").push(seed);
                }
            });
        }
    });
    let broken = broken.into_inner().expect("the seeds");
    println!("{runs} soaks, rules broken in {}: {broken:?}", broken.len());
    exit_code(broken.is_empty())
}

/// Whether all rules held.
fn play(binary: &str, seed: u64) -> bool {
    let report = soak::play(Path::new(binary), seed);
    println!("seed {seed}: {report}");
    if report.breaches.is_empty() {
        return true;
    }
    for ProcessLog { process, text } in &report.logs {
        println!("seed {seed}: process {process} said\n{text}");
    }
    false
}
