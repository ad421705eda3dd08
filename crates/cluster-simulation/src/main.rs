//! Simulates clusters under scripts and random fault scenarios, and prints measurements and violations.

mod commands;

use std::process::ExitCode;

const USAGE: &str = "driftfront-cluster-simulation members [--members N] [--runs K] [--loss PART] [--seed N] [--settle S] [--late]
    kills a member 10 s after the members settled and observes the others for 20 s: time until all detect it, members wrongly
    declared down, and traffic per member
driftfront-cluster-simulation storm [--members N] [--runs K] [--seed N]
    random fault scenarios, each followed by a time without faults: time until all members converge, and the seeds that fail
driftfront-cluster-simulation agreed [--members N] [--voters N] [--keeps] [--runs K] [--seed N]
    the same scenarios while members request leases: whether a lease ever has two holders, and time until there is a leader
driftfront-cluster-simulation leader [--members N] [--voters N] [--runs K] [--seed N] [--loss PART]
    kills the leader after 40 s: time until there is a new leader, and until the next request is answered
driftfront-cluster-simulation check [--time N] [--terms N] [--entries N] [--depth N]
    checks the model of the lease protocol in all states that can be reached within the bounds
driftfront-cluster-simulation fuzz [--agreed] [--runs N] [--seed N]
    sends corrupted datagrams, and authentic ones with corrupted payloads, to a member that communicates with another one; with
    --agreed corrupted messages between voters
driftfront-cluster-simulation play SCRIPT
    runs a script and prints each change of a member's view of another";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let command = args.subcommand().ok().flatten();
    match command.and_then(|command| commands::run(&command, args)) {
        Some(Ok(())) => ExitCode::SUCCESS,
        Some(Err(why)) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
        None => {
            println!("{USAGE}");
            ExitCode::from(2)
        }
    }
}
