//! The sub-commands: `local` ones run in this process, `remote` ones use a coordinator's control socket or port.
//!
//! `driftfront_control::commands` describes them all; help, completions and the manual are generated from it.

mod error;
mod local;
mod remote;
mod target;
mod view;

use driftfront_control::commands;
use error::CommandError;
use pico_args::Arguments;

/// Runs the sub-command given by the arguments.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains(["-h", "--help"]) {
        print!("{}", commands::help());
        return Ok(());
    }
    let Some(name) = arguments.subcommand()? else {
        return Err(CommandError::NoCommand);
    };
    let Some(command) = commands::COMMANDS
        .iter()
        .find(|command| command.name == name)
    else {
        return Err(CommandError::UnknownCommand(name));
    };
    match command.name {
        "serve" => local::serve(arguments),
        "check" => local::check(arguments),
        "init" => local::init(arguments),
        "demo" => local::demo(arguments),
        "counters" => local::counters(arguments),
        "completions" => local::completions(arguments),
        "manual" => local::manual(),
        "version" => local::version(arguments),
        name => remote::run(name, arguments),
    }
}

/// Fails if unread arguments remain.
fn expect_no_more(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.finish().first() {
        Some(argument) => {
            let argument = argument.to_string_lossy().into_owned();
            Err(CommandError::UnknownArgument(argument))
        }
        None => Ok(()),
    }
}
