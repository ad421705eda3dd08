//! The manual page, in roff.

use super::{Command, CommandOption, COMMANDS, EXIT_CODES};

const HEADER: &str = "\
.TH DRIFTFRONT 1
.SH NAME
driftfront \\- a query coordinator for small sites
.SH SYNOPSIS
.B driftfront
.I COMMAND
[options]
.SH COMMANDS
";

/// The manual page.
pub fn manual() -> String {
    let mut text = HEADER.to_string();
    for command in COMMANDS {
        text += &command_entry(command);
        text.extend(command.all_options().map(option_entry));
    }
    text += ".SH EXIT STATUS\n";
    for exit in EXIT_CODES {
        text += &format!(".TP\n.B {}\n{}.\n", exit.code, escape(exit.about));
    }
    text
}

fn command_entry(command: &Command) -> String {
    let (arguments, about) = (escape(command.arguments), escape(command.about));
    format!(".TP\n.B {} {arguments}\n{about}.\n", command.name)
}

fn option_entry(option: &CommandOption) -> String {
    let (name, about) = (escape(option.name), escape(option.about));
    format!(".RS\n.TP\n.B {name} {}\n{about}.\n.RE\n", option.argument)
}

/// Escapes `-`, which roff would otherwise set as a hyphen.
fn escape(text: &str) -> String {
    text.replace('-', "\\-")
}
