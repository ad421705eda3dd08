//! Runs fault scenarios while members request leases. Checks that no lease has two holders, and measures the time until there is a
//! leader after the faults.

use super::{number, play_until_leader, CommandError, Outcome, SECOND};
use driftfront_cluster::Micros;
use driftfront_cluster_simulation::lease_workload::LeaseLoad;
use driftfront_cluster_simulation::{fault_scenario, percentile, World};
use pico_args::Arguments;

/// How often the simulation is checked for a leader.
const POLL_INTERVAL: Micros = SECOND / 10;
/// How long a run continues after the deadline for electing a leader.
const EXTRA_TIME: Micros = 10 * SECOND;
/// Maximum number of printed violations.
const MAX_PRINTED: usize = 20;

struct Options {
    members: u32,
    voters: u32,
    persists_logs: bool,
    runs: u64,
    first_seed: u64,
}

/// Results of all runs.
#[derive(Default)]
struct Summary {
    violations: Vec<String>,
    /// Seeds after which no leader was elected in time.
    seeds_without_leader: Vec<u64>,
    election_times: Vec<Micros>,
    granted: u64,
    timed_out: u64,
    leaders: u64,
    voter_changes: u64,
    replicas_lost: u64,
}

pub(super) fn run(mut args: Arguments) -> Outcome {
    let persists_logs = args.contains("--keeps");
    let options = Options {
        members: number(&mut args, "--members", 6)?,
        voters: number(&mut args, "--voters", 3)?,
        runs: number(&mut args, "--runs", 100)?,
        first_seed: number(&mut args, "--seed", 1)?,
        persists_logs,
    };
    let mut summary = Summary::default();
    for seed in options.first_seed..options.first_seed + options.runs {
        summary.add_run(&options, seed);
    }
    summary.print(&options);
    if summary.violations.is_empty() && summary.seeds_without_leader.is_empty() {
        Ok(())
    } else {
        let why = "a lease had two holders, or no leader was elected in time";
        Err(CommandError::Violated(why.into()))
    }
}

impl Summary {
    fn add_run(&mut self, options: &Options, seed: u64) {
        let mut script = fault_scenario::draw(options.members, seed, true);
        script.voters = options.voters;
        script.persists_log = options.persists_logs;
        let mut world = World::new(script);
        world.start_lease_workload(LeaseLoad {
            polls_per_request: 10,
            ..LeaseLoad::default()
        });
        world.play(fault_scenario::QUIET_FROM, |_| false);
        let deadline = fault_scenario::QUIET_FROM + fault_scenario::CONVERGENCE_TIMEOUT;
        play_until_leader(&mut world, POLL_INTERVAL, deadline);
        if world.leader().is_some() {
            self.election_times
                .push(world.time() - fault_scenario::QUIET_FROM);
        } else {
            self.seeds_without_leader.push(seed);
            print_consensus_views(&mut world, seed);
        }
        world.play(deadline + EXTRA_TIME, |_| false);
        self.add_counts(&mut world, seed);
    }

    fn add_counts(&mut self, world: &mut World, seed: u64) {
        if let Some(workload) = &world.lease_workload {
            let violations = workload.violations.iter();
            self.violations
                .extend(violations.map(|w| format!("seed {seed}: {w}")));
            self.granted += workload.granted;
            self.timed_out += workload.timed_out;
        }
        for member in world.running_members() {
            let Some(consensus) = world.agent(member).and_then(|agent| agent.consensus()) else {
                continue;
            };
            let counters = consensus.counters();
            self.leaders += counters.leaders;
            self.voter_changes += counters.voter_changes;
            self.replicas_lost += counters.replicas_lost;
        }
    }

    fn print(&mut self, options: &Options) {
        self.election_times.sort_unstable();
        println!(
            "members {}, voters {}, persistent logs: {}, {} fault scenarios from seed {}",
            options.members,
            options.voters,
            options.persists_logs,
            options.runs,
            options.first_seed
        );
        println!(
            "  {} leases granted, {} requests timed out, {} violations",
            self.granted,
            self.timed_out,
            self.violations.len()
        );
        println!(
            "  leaders {}, voter changes {}, replicas lost {}",
            self.leaders, self.voter_changes, self.replicas_lost
        );
        println!(
            "  leader after p50 {:.2} s  p99 {:.2} s  max {:.2} s; seeds without a leader in time: {:?}",
            percentile(&self.election_times, 0.5),
            percentile(&self.election_times, 0.99),
            percentile(&self.election_times, 1.0),
            self.seeds_without_leader
        );
        for violation in self.violations.iter().take(MAX_PRINTED) {
            println!("  {violation}");
        }
    }
}

fn print_consensus_views(world: &mut World, seed: u64) {
    for member in world.running_members() {
        if let Some(consensus) = world.agent(member).and_then(|agent| agent.consensus()) {
            let (view, notice) = (consensus.view(), consensus.notice());
            println!("  seed {seed}: m{member} {view:?} {notice:?}");
        }
    }
}
