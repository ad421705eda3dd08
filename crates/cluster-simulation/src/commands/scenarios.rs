//! Fault scenarios drawn by their seeds, then quiet: how long until all have one view again.

use super::{number, traffic, CommandError, Outcome, SECOND};
use driftfront_cluster::{MemberStatus, Micros};
use driftfront_cluster_simulation::{fault_scenario, percentile, TimedAction, World};
use pico_args::Arguments;

/// Deaths are counted for this long after all have one view again.
const CALM_TIME: Micros = 5 * SECOND;

/// What all runs showed.
#[derive(Default)]
struct Summary {
    /// How long until all had one view, in each run.
    took: Vec<Micros>,
    /// Seeds after which they never had.
    never: Vec<u64>,
    deaths_after: u64,
    /// Most datagrams that each sent in a second, on average over a run.
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
    summary.took.sort_unstable();
    println!("members {members}, {runs} storms from seed {first}");
    summary.print();
    if summary.never.is_empty() {
        Ok(())
    } else {
        Err(CommandError::Violated(
            "some never had one view again".into(),
        ))
    }
}

impl Summary {
    fn add_run(&mut self, members: u32, seed: u64) {
        let script = fault_scenario::draw(members, seed, true);
        let until = script.until;
        let all: Vec<u32> = (0..members).collect();
        let quiet = fault_scenario::QUIET_FROM;
        let mut world = World::new(script);
        world.play(quiet, |_| false);
        let sent_before = traffic(&world, members).datagrams;
        if world.play(until, |w| w.time() > quiet && w.all_see_exactly(&all)) {
            self.took.push(world.time() - quiet);
        } else {
            self.never.push(seed);
            print_disagreement(&world, members, seed);
        }
        let seconds = ((world.time() - quiet) / SECOND).max(1) * u64::from(members);
        let sent = traffic(&world, members).datagrams - sent_before;
        self.max_sent = self.max_sent.max(sent / seconds);
        let settled = world.time();
        world.play(settled + CALM_TIME, |_| false);
        let deaths = world.view_changes.iter();
        let deaths = deaths.filter(|s| s.at > settled && s.status == MemberStatus::Down);
        self.deaths_after += deaths.count() as u64;
    }

    fn print(&self) {
        println!(
            "  one view again after    p50 {:.2} s  p99 {:.2} s  max {:.2} s; never within the time owed: {:?}",
            percentile(&self.took, 0.5),
            percentile(&self.took, 0.99),
            percentile(&self.took, 1.0),
            self.never
        );
        println!(
            "  called down in the 5 s after that {} times, by any of all",
            self.deaths_after
        );
        println!(
            "  each sent at most {} datagrams a second on average while they settled",
            self.max_sent
        );
    }
}

/// Prints what was done, and who sees whom otherwise than alive.
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
