//! Simulates clusters under scripts and random fault scenarios, and prints measurements and violations.

mod commands;

use std::process::ExitCode;

const USAGE: &str = "driftfront-cluster-simulation members [--members N] [--runs K] [--loss PART] [--seed N] [--settle S] [--late]
    a member is killed 10 s after they settled and the rest watched for 20 s more: how long until all know, who was called down
    though it was there, and what each sends
driftfront-cluster-simulation storm [--members N] [--runs K] [--seed N]
    storms of faults drawn by their seeds, then quiet: how long until all have one view again; a seed that does not is named
driftfront-cluster-simulation agreed [--members N] [--voters N] [--keeps] [--runs K] [--seed N]
    the same storms over members that ask for rights: whether any is ever held twice, and how long until one leads again
driftfront-cluster-simulation leader [--members N] [--voters N] [--runs K] [--seed N] [--loss PART]
    the leader is killed after 40 s: how long until another leads, and until the next request is answered
driftfront-cluster-simulation check [--time N] [--terms N] [--entries N] [--depth N]
    the model of a right that is lent, in all states that can be reached within the bounds
driftfront-cluster-simulation fuzz [--agreed] [--runs N] [--seed N]
    spoilt datagrams, and well sealed ones with spoilt payloads, into one member that goes on talking to another; or spoilt
    words among voters
driftfront-cluster-simulation play SCRIPT
    plays a script and prints each change of a member's view of another";

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
