//! Runs real processes under faults: measures the overhead of clustering, checks that no hold has two holders, runs soak tests
//! with restarts, and runs fault scenarios after which all members must converge to one view.

mod commands;

use commands::arguments::Arguments;
use commands::{cost, holds, pauses, scenarios, soaks};
use std::process::ExitCode;

const USAGE: &str = "driftfront-cluster-harness --binary PATH --cost [--members N] [--seconds S]
    what the fleet costs processes that have nothing else to do
driftfront-cluster-harness --binary PATH --pauses [--seconds S]
    how long a process's loop keeps clients waiting at most, in a fleet of five and alone, in turn
driftfront-cluster-harness --binary PATH --holds [--members N] [--voters N] [--keeps] [--runs K] [--seed N] [--last PATH]
    storms over processes that operators ask for holds: whether one was ever held twice; with --last those that
    do not vote are of that build
driftfront-cluster-harness --binary PATH --soak [--runs K] [--seed N] [--at-once N]
    soaks of restarts on the platform's wire, with clocks that are set and engines that hang; broken rules by seed
driftfront-cluster-harness --binary PATH [--members N] [--runs K] [--seed N]
    each run starts N processes, draws a storm by its seed and plays it; a run that does not come to one view is named";

fn main() -> ExitCode {
    let args = Arguments::from_env();
    let Some(binary) = args.value("--binary") else {
        println!("{USAGE}");
        return ExitCode::from(2);
    };
    if args.has("--soak") {
        return soaks::run(&args, binary);
    }
    if args.has("--holds") {
        return holds::run(&args, binary);
    }
    if args.has("--pauses") {
        pauses::run(binary, args.number("--seconds", 20));
        return ExitCode::SUCCESS;
    }
    if args.has("--cost") {
        let members = args.count("--members", 5);
        cost::run(binary, members, args.number("--seconds", 20));
        return ExitCode::SUCCESS;
    }
    scenarios::run(&args, binary)
}
