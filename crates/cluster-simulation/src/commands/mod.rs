//! The commands of the simulation, one in each module.

mod consensus_fuzz;
mod datagram_fuzz;
mod failover;
mod failure_detection;
mod leases;
mod model_check;
mod play;
mod scenarios;

use driftfront_cluster::Micros;
use driftfront_cluster_simulation::{ScriptError, World};
use pico_args::Arguments;
use std::fmt;
use std::str::FromStr;

const SECOND: Micros = 1_000_000;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// An argument is missing, or can't be read.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// A file can't be read.
    #[error("{path}: {error}")]
    File { path: String, error: std::io::Error },
    /// A script file is wrong.
    #[error("{path}: {error}")]
    ScriptFile { path: String, error: ScriptError },
    /// A command's own script is wrong.
    #[error(transparent)]
    Script(#[from] ScriptError),
    /// A run violated what must hold; the message says what.
    #[error("{0}")]
    Violated(String),
}

/// What a command comes to.
pub(crate) type Outcome = Result<(), CommandError>;

/// Runs the command of this name; `None` where there is none.
pub(crate) fn run(name: &str, mut args: Arguments) -> Option<Outcome> {
    Some(match name {
        "members" => failure_detection::run(args),
        "storm" => scenarios::run(args),
        "agreed" => leases::run(args),
        "leader" => failover::run(args),
        "check" => model_check::run(args),
        "fuzz" if args.contains("--agreed") => consensus_fuzz::run(args),
        "fuzz" => datagram_fuzz::run(args),
        "play" => play::run(args),
        _ => return None,
    })
}

/// An option's number.
fn number<T>(args: &mut Arguments, name: &'static str, default: T) -> Result<T, CommandError>
where
    T: FromStr<Err: fmt::Display>,
{
    let value = args.opt_value_from_str(name)?;
    Ok(value.unwrap_or(default))
}

/// What members sent.
#[derive(Clone, Copy, Default)]
struct Traffic {
    datagrams: u64,
    bytes: u64,
}

/// What the first members of a world have sent in all.
fn traffic(world: &World, members: u32) -> Traffic {
    let each = (0..members).map(|m| world.counters(m));
    each.fold(Traffic::default(), |sum, counters| Traffic {
        datagrams: sum.datagrams + counters.sent,
        bytes: sum.bytes + counters.sent_bytes,
    })
}

/// Plays on in steps of this length until somebody leads, or this time has come.
fn play_until_led(world: &mut World, step: Micros, until: Micros) {
    while world.leader().is_none() && world.time() < until {
        let next = world.time() + step;
        world.play(next, |_| false);
    }
}
