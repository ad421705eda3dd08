//! Runs real processes under faults: measures the overhead of clustering, checks that no hold has two holders, runs soak tests
//! with restarts, and runs fault scenarios after which all members must converge to one view.

mod commands;

use commands::arguments::Arguments;
use commands::{cost, holds, pauses, scenarios, soaks};
use std::process::ExitCode;

const USAGE: &str = "driftfront-cluster-harness --binary PATH --cost [--members N] [--seconds S]
    measures the overhead of clustering in idle processes
driftfront-cluster-harness --binary PATH --pauses [--seconds S]
    measures response times of a process in a cluster of five and of a standalone process, alternately
driftfront-cluster-harness --binary PATH --holds [--members N] [--voters N] [--keeps] [--runs K] [--seed N] [--last PATH]
    fault scenarios while operators request holds: whether a hold ever has two holders; with --last members that
    are not voters run that build
driftfront-cluster-harness --binary PATH --soak [--runs K] [--seed N] [--at-once N]
    soak tests of restarts over the platform's protocol, with clock steps and engine faults; prints violations by seed
driftfront-cluster-harness --binary PATH [--members N] [--runs K] [--seed N]
    runs random fault scenarios against N processes, and prints the seeds after which they do not converge";

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
