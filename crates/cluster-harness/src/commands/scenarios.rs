//! Fault scenarios over processes, then quiet: how long until all have one view again.

use super::arguments::Arguments;
use super::NO_ENGINE;
use driftfront_cluster_harness::ClusterHarness;
use driftfront_cluster_simulation::{fault_scenario, percentile};
use std::process::ExitCode;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Plays the scenarios that the command line asks for; fails where one does not come to one view in time.
pub(crate) fn run(args: &Arguments, binary: &str) -> ExitCode {
    let members = args.count("--members", 5);
    let (runs, first) = (args.number("--runs", 3), args.number("--seed", 1));
    let (mut took, mut never): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for seed in first..first + runs {
        match play(binary, members, seed) {
            Some(time) => took.push(time.as_micros() as u64),
            None => never.push(seed),
        }
    }
    took.sort_unstable();
    println!(
        "processes {members}, {runs} storms from seed {first}: one view again after p50 {:.2} s  p99 {:.2} s  max {:.2} s; \
         never within the time owed: {never:?}",
        percentile(&took, 0.5),
        percentile(&took, 0.99),
        percentile(&took, 1.0)
    );
    match never.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// How long after the scenario's end all have one view; `None` where they don't in time: what they see is printed.
fn play(binary: &str, members: u32, seed: u64) -> Option<Duration> {
    let script = fault_scenario::draw(members, seed, false);
    let mut harness = ClusterHarness::of(binary, NO_ENGINE, script);
    let all: Vec<u32> = (0..members).collect();
    harness.play();
    let quiet_since = Instant::now();
    loop {
        if all.iter().all(|&m| harness.sees_just(m, &all)) {
            return Some(quiet_since.elapsed());
        }
        if quiet_since.elapsed() > Duration::from_micros(fault_scenario::CONVERGENCE_TIMEOUT) {
            break;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    eprintln!("seed {seed}:\n{}", harness.log().text());
    for member in all {
        print_view(&harness, member);
    }
    None
}

fn print_view(harness: &ClusterHarness, member: u32) {
    let seen = harness.sees(member);
    let seen: Vec<String> = seen
        .iter()
        .map(|s| format!("{} {}", s.name, s.standing))
        .collect();
    eprintln!(
        "  m{member} sees {}; came back {}",
        seen.join(", "),
        harness.counter(member, "fleet_came_back")
    );
}
