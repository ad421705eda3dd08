//! The text of `--help`.

use super::{CommandOption, COMMANDS, EXIT_CODES, REMOTE_OPTIONS};

/// The help text.
pub fn help() -> String {
    let mut text = String::from("driftfront: a query coordinator for small sites\n\nusage:\n");
    for command in COMMANDS {
        let usage = format!("{} {}", command.name, command.arguments);
        let usage = usage.trim_end();
        text += &format!("  driftfront {usage:<24} {}\n", command.about);
        text.extend(command.options.iter().map(option_line));
    }
    text += "\nfor all commands that speak to a running program:\n";
    text.extend(REMOTE_OPTIONS.iter().map(option_line));
    let codes = EXIT_CODES
        .iter()
        .map(|exit| format!(" {} {}", exit.code, exit.about));
    let codes: Vec<String> = codes.collect();
    text + "\nexit codes:" + &codes.join(";") + "\n"
}

fn option_line(option: &CommandOption) -> String {
    let usage = format!("{} {}", option.name, option.argument);
    format!("      {:<20} {}\n", usage.trim_end(), option.about)
}
