//! Runs fault scenarios against real processes, and measures how long members take to converge afterwards.

use super::arguments::Arguments;
use super::{exit_code, micros, NO_ENGINE};
use driftfront_cluster_harness::ClusterHarness;
use driftfront_cluster_simulation::{fault_scenario, percentile};
use std::process::ExitCode;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the scenarios given on the command line. Fails if the members don't converge in time after one of them.
pub(crate) fn run(args: &Arguments, binary: &str) -> ExitCode {
    let members = args.count("--members", 5);
    let (runs, first) = (args.number("--runs", 3), args.number("--seed", 1));
    let (mut times, mut failed_seeds): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for seed in first..first + runs {
        match play(binary, members, seed) {
            Some(time) => times.push(micros(time)),
            None => failed_seeds.push(seed),
        }
    }
    times.sort_unstable();
    println!(
        "{members} processes, {runs} fault scenarios from seed {first}: converged after p50 {:.2} s  p99 {:.2} s  max {:.2} s; \
         seeds that did not converge in time: {failed_seeds:?}",
        percentile(&times, 0.5),
        percentile(&times, 0.99),
        percentile(&times, 1.0)
    );
    exit_code(failed_seeds.is_empty())
}

/// Returns how long after the faults all members had the same view. Returns `None`, and prints each member's view, if they did
/// not converge in time.
fn play(binary: &str, members: u32, seed: u64) -> Option<Duration> {
    let script = fault_scenario::draw(members, seed, false);
    let mut harness = ClusterHarness::from_script(binary, NO_ENGINE, script);
    let all: Vec<u32> = (0..members).collect();
    harness.play();
    let faults_ended_at = Instant::now();
    loop {
        if all.iter().all(|&m| harness.sees_exactly(m, &all)) {
            return Some(faults_ended_at.elapsed());
        }
        if faults_ended_at.elapsed() > Duration::from_micros(fault_scenario::CONVERGENCE_TIMEOUT) {
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
    let seen = harness.members_seen_by(member);
    let seen: Vec<String> = seen
        .iter()
        .map(|s| format!("{} {}", s.name, s.standing))
        .collect();
    eprintln!(
        "  m{member} sees {}; rejoined {} times",
        seen.join(", "),
        harness.counter(member, "fleet_came_back")
    );
}
