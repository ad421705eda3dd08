//! Fault scenarios over members that request leases: whether any is ever held twice, and how long until one leads again.

use super::{number, play_until_led, CommandError, Outcome, SECOND};
use driftfront_cluster::Micros;
use driftfront_cluster_simulation::lease_workload::LeaseLoad;
use driftfront_cluster_simulation::{fault_scenario, percentile, World};
use pico_args::Arguments;

/// How often it is checked whether a member leads.
const POLL_INTERVAL: Micros = SECOND / 10;
/// A run goes on for this long behind the time in which one must lead.
const TIME_BEHIND: Micros = 10 * SECOND;
/// Violations that are printed.
const MAX_PRINTED: usize = 20;

struct Options {
    members: u32,
    voters: u32,
    persists_logs: bool,
    runs: u64,
    first_seed: u64,
}

/// What all runs showed.
#[derive(Default)]
struct Summary {
    violations: Vec<String>,
    /// Seeds after which nobody led in time.
    never_led: Vec<u64>,
    led_after: Vec<Micros>,
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
    if summary.violations.is_empty() && summary.never_led.is_empty() {
        Ok(())
    } else {
        let why = "a right was held twice, or nobody led";
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
        play_until_led(&mut world, POLL_INTERVAL, deadline);
        if world.leader().is_some() {
            self.led_after
                .push(world.time() - fault_scenario::QUIET_FROM);
        } else {
            self.never_led.push(seed);
            print_parts(&mut world, seed);
        }
        world.play(deadline + TIME_BEHIND, |_| false);
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
            let Some(consensus) = world.agent(member).and_then(|f| f.consensus()) else {
                continue;
            };
            let counters = consensus.counters();
            self.leaders += counters.leaders;
            self.voter_changes += counters.voter_changes;
            self.replicas_lost += counters.replicas_lost;
        }
    }

    fn print(&mut self, options: &Options) {
        self.led_after.sort_unstable();
        println!(
            "members {}, voters {}, logs kept: {}, {} storms from seed {}",
            options.members,
            options.voters,
            options.persists_logs,
            options.runs,
            options.first_seed
        );
        println!(
            "  lent {} times, {} requests with no answer in time; held twice: {}",
            self.granted,
            self.timed_out,
            self.violations.len()
        );
        println!(
            "  leaders seen {}, steps in who decides {}, replicas let go {}",
            self.leaders, self.voter_changes, self.replicas_lost
        );
        println!(
            "  somebody leads again after p50 {:.2} s  p99 {:.2} s  max {:.2} s; never within the time owed: {:?}",
            percentile(&self.led_after, 0.5),
            percentile(&self.led_after, 0.99),
            percentile(&self.led_after, 1.0),
            self.never_led
        );
        for violation in self.violations.iter().take(MAX_PRINTED) {
            println!("  {violation}");
        }
    }
}

fn print_parts(world: &mut World, seed: u64) {
    for member in world.running_members() {
        if let Some(consensus) = world.agent(member).and_then(|f| f.consensus()) {
            let (view, notice) = (consensus.view(), consensus.notice());
            println!("  seed {seed}: m{member} {view:?} {notice:?}");
        }
    }
}
