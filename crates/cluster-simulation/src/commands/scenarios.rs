//! Runs random fault scenarios, and measures how long members take to converge to the same view afterwards.

use super::{number, traffic, CommandError, Outcome, SECOND};
use driftfront_cluster::{MemberStatus, Micros};
use driftfront_cluster_simulation::{fault_scenario, percentile, TimedAction, World};
use pico_args::Arguments;

/// How long members declared down are counted after convergence.
const OBSERVATION_TIME: Micros = 5 * SECOND;

/// Results of all runs.
#[derive(Default)]
struct Summary {
    /// Time until convergence, in each run.
    convergence_times: Vec<Micros>,
    /// Seeds after which the members did not converge in time.
    failed_seeds: Vec<u64>,
    late_false_positives: u64,
    /// Maximum over all runs of the average number of datagrams that each member sent per second.
    max_sent: u64,
}

pub(super) fn run(mut args: Arguments) -> Outcome {
    let members = number(&mut args, "--members", 8u32)?;
    let runs = number(&mut args, "--runs", 100u64)?;
    let first = number(&mut args, "--seed", 1u64)?;
    let mut summary = Summary::default();
    for seed in first..first + runs {
        summary.add_run(members, seed);
    }
    summary.convergence_times.sort_unstable();
    println!("members {members}, {runs} fault scenarios from seed {first}");
    summary.print();
    if summary.failed_seeds.is_empty() {
        Ok(())
    } else {
        Err(CommandError::Violated(
            "the members did not converge after some scenarios".into(),
        ))
    }
}

impl Summary {
    fn add_run(&mut self, members: u32, seed: u64) {
        let script = fault_scenario::draw(members, seed, true);
        let until = script.until;
        let all: Vec<u32> = (0..members).collect();
        let faults_ended_at = fault_scenario::QUIET_FROM;
        let mut world = World::new(script);
        world.play(faults_ended_at, |_| false);
        let sent_before = traffic(&world, members).datagrams;
        if world.play(until, |w| {
            w.time() > faults_ended_at && w.all_see_exactly(&all)
        }) {
            self.convergence_times.push(world.time() - faults_ended_at);
        } else {
            self.failed_seeds.push(seed);
            print_disagreement(&world, members, seed);
        }
        let seconds = ((world.time() - faults_ended_at) / SECOND).max(1) * u64::from(members);
        let sent = traffic(&world, members).datagrams - sent_before;
        self.max_sent = self.max_sent.max(sent / seconds);
        let converged_at = world.time();
        world.play(converged_at + OBSERVATION_TIME, |_| false);
        let deaths = world.view_changes.iter();
        let deaths = deaths.filter(|s| s.at > converged_at && s.status == MemberStatus::Down);
        self.late_false_positives += deaths.count() as u64;
    }

    fn print(&self) {
        println!(
            "  converged after p50 {:.2} s  p99 {:.2} s  max {:.2} s; seeds that did not converge in time: {:?}",
            percentile(&self.convergence_times, 0.5),
            percentile(&self.convergence_times, 0.99),
            percentile(&self.convergence_times, 1.0),
            self.failed_seeds
        );
        println!(
            "  members declared down in the following 5 s: {} times",
            self.late_false_positives
        );
        println!(
            "  maximum average traffic per member until convergence: {} datagrams per second",
            self.max_sent
        );
    }
}

/// Prints the actions of a scenario, and which members each member does not see as alive.
fn print_disagreement(world: &World, members: u32, seed: u64) {
    for TimedAction { at, action } in &fault_scenario::draw(members, seed, true).actions {
        println!("  seed {seed}: {:6.2} s {action:?}", *at as f64 / 1e6);
    }
    for by in 0..members {
        let others = (0..members).filter(|&of| of != by);
        let odd: Vec<String> = others
            .filter(|&of| world.status(by, of) != Some(MemberStatus::Alive))
            .map(|of| format!("m{of} {:?}", world.status(by, of)))
            .collect();
        let seen = match odd.is_empty() {
            true => "all".into(),
            false => odd.join(", "),
        };
        println!("  seed {seed}: m{by} sees {seen}");
    }
}
