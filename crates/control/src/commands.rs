//! One description of the program's commands: help, shell completions and the manual page are made from it.

use std::fmt::Write as _;

/// A command.
#[derive(Debug)]
pub struct Command {
    /// Its name.
    pub name: &'static str,
    /// Its arguments, as in a usage line.
    pub arguments: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
    /// Its options: name, argument (or nothing), what it does.
    pub options: &'static [(&'static str, &'static str, &'static str)],
    /// It speaks to a running program.
    pub remote: bool,
}

const CONFIG: (&str, &str, &str) = (
    "--config",
    "FILE",
    "the operator's file; without it $LB_CONFIG names it",
);
const JSON: (&str, &str, &str) = (
    "--json",
    "",
    "for scripts: the protocol's own objects, one a line",
);

/// Options of every command that speaks to a running program.
pub const REMOTE: &[(&str, &str, &str)] = &[
    (
        "--at",
        "WHERE",
        "its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it",
    ),
    ("--key-file", "FILE", "the key of its control port"),
];

/// All commands, in the order of the help.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "serve",
        arguments: "",
        about: "runs a coordinator",
        options: &[
            CONFIG,
            ("--log", "LEVEL", "error, warn, info (without it) or debug"),
        ],
        remote: false,
    },
    Command {
        name: "check",
        arguments: "",
        about: "reads a configuration and says what it means, or what is wrong and where",
        options: &[CONFIG],
        remote: false,
    },
    Command {
        name: "init",
        arguments: "[FILE]",
        about: "writes a commented operator's file, driftfront.kdl without a name",
        options: &[],
        remote: false,
    },
    Command {
        name: "demo",
        arguments: "",
        about:
            "starts a coordinator, three stand-in engines and a gentle load, and opens the console",
        options: &[("--plain", "", "says how things stand as text, and ends")],
        remote: false,
    },
    Command {
        name: "console",
        arguments: "",
        about: "shows engines, classes, service and drains, and takes commands by keys",
        options: &[
            (
                "--plain",
                "",
                "the same as text, once, for pipes and screen readers",
            ),
            ("--no-color", "", "no colours; also by NO_COLOR"),
        ],
        remote: true,
    },
    Command {
        name: "status",
        arguments: "",
        about: "says in a few lines how things stand",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "engines",
        arguments: "",
        about: "lists the engines",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "members",
        arguments: "",
        about: "lists the fleet's coordinators, as this one knows them",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "holds",
        arguments: "",
        about: "lists what is held over the whole fleet, and who decides",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "hold",
        arguments: "NAME",
        about: "takes a hold over the whole fleet: of one name only one is held",
        options: &[
            (
                "--for",
                "TIME",
                "for how long, as 30s, 10m or 2h; 10m where nothing is said",
            ),
            ("--stays", "", "beyond that, until it is given back"),
            ("--note", "WORDS", "why, for the others"),
        ],
        remote: true,
    },
    Command {
        name: "unhold",
        arguments: "NAME",
        about: "gives a hold back, whoever took it",
        options: &[],
        remote: true,
    },
    Command {
        name: "classes",
        arguments: "",
        about: "lists the classes and how well they are served",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "queries",
        arguments: "",
        about: "lists what runs, imports first",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "events",
        arguments: "",
        about: "says what has happened",
        options: &[
            ("--follow", "", "and what happens, until it is interrupted"),
            JSON,
        ],
        remote: true,
    },
    Command {
        name: "drain",
        arguments: "ENGINE",
        about: "lets nothing new go to an engine, until it is resumed",
        options: &[
            ("--wait", "", "until nothing runs there any more"),
            ("--force", "", "also the last engine that takes work"),
        ],
        remote: true,
    },
    Command {
        name: "resume",
        arguments: "ENGINE",
        about: "lifts a drain",
        options: &[],
        remote: true,
    },
    Command {
        name: "pause",
        arguments: "",
        about: "sends the clients away; the program stays, and answers what it has taken",
        options: &[],
        remote: true,
    },
    Command {
        name: "unpause",
        arguments: "",
        about: "back to work after a pause",
        options: &[],
        remote: true,
    },
    Command {
        name: "add",
        arguments: "ENGINE ADDRESS",
        about: "adds an engine that no source lists, or lifts its removal",
        options: &[
            ("--zone", "NAME", "its building"),
            ("--kind", "NAME", "its machine kind"),
        ],
        remote: true,
    },
    Command {
        name: "remove",
        arguments: "ENGINE",
        about: "takes an engine out of the list, whatever sources say",
        options: &[("--force", "", "also one that takes work")],
        remote: true,
    },
    Command {
        name: "roll",
        arguments: "[ENGINE...]",
        about: "takes engines out one after another, all without a name",
        options: &[
            ("--dry-run", "", "only says the plan"),
            ("--back", "", "the engine that was handed over is back"),
            ("--stop", "", "stops the roll"),
            ("--go-on", "", "lets a stopped roll go on"),
        ],
        remote: true,
    },
    Command {
        name: "counters",
        arguments: "",
        about: "prints a running coordinator's counters",
        options: &[("--at", "ADDRESS", "where its clients connect")],
        remote: false,
    },
    Command {
        name: "completions",
        arguments: "SHELL",
        about: "prints completions for bash, zsh or fish",
        options: &[],
        remote: false,
    },
    Command {
        name: "manual",
        arguments: "",
        about: "prints the manual page",
        options: &[],
        remote: false,
    },
    Command {
        name: "version",
        arguments: "",
        about: "prints the version",
        options: &[],
        remote: false,
    },
];

/// Exit codes, and what they mean.
pub const EXIT_CODES: &[(u8, &str)] = &[
    (0, "done"),
    (1, "something went wrong: the words say what"),
    (2, "the command's words are off"),
    (3, "the program refused it, and says why"),
    (4, "no program answers there"),
];

fn options(
    command: &Command,
) -> impl Iterator<Item = &'static (&'static str, &'static str, &'static str)> {
    let remote: &'static [(&str, &str, &str)] = if command.remote { REMOTE } else { &[] };
    command.options.iter().chain(remote)
}

/// The help's text.
pub fn help() -> String {
    let mut text = String::from("driftfront: a query coordinator for small sites\n\nusage:\n");
    for command in COMMANDS {
        let usage = format!("{} {}", command.name, command.arguments);
        let _ = writeln!(
            text,
            "  driftfront {:<24} {}",
            usage.trim_end(),
            command.about
        );
        for (name, argument, about) in command.options {
            let _ = writeln!(
                text,
                "      {:<20} {about}",
                format!("{name} {argument}").trim_end()
            );
        }
    }
    text.push_str("\nfor all commands that speak to a running program:\n");
    for (name, argument, about) in REMOTE {
        let _ = writeln!(
            text,
            "      {:<20} {about}",
            format!("{name} {argument}").trim_end()
        );
    }
    text.push_str("\nexit codes:");
    for (code, about) in EXIT_CODES {
        let _ = write!(text, " {code} {about};");
    }
    text.pop();
    text.push('\n');
    text
}

/// Completions for a shell; `None` for one that is not known.
pub fn completions(shell: &str) -> Option<String> {
    let names: Vec<&str> = COMMANDS.iter().map(|c| c.name).collect();
    let mut text = String::new();
    match shell {
        "bash" => {
            text.push_str(
                "_driftfront() {\n  local cur=${COMP_WORDS[COMP_CWORD]}\n  case ${COMP_WORDS[1]} in\n",
            );
            for command in COMMANDS {
                let words: Vec<&str> = options(command).map(|o| o.0).collect();
                let _ = writeln!(
                    text,
                    "    {}) COMPREPLY=($(compgen -W \"{}\" -- \"$cur\")) ;;",
                    command.name,
                    words.join(" ")
                );
            }
            let _ = writeln!(
                text,
                "    *) COMPREPLY=($(compgen -W \"{}\" -- \"$cur\")) ;;",
                names.join(" ")
            );
            text.push_str("  esac\n}\ncomplete -F _driftfront driftfront\n");
        }
        "zsh" => {
            text.push_str(
                "#compdef driftfront\n_driftfront() {\n  local -a commands\n  commands=(\n",
            );
            for command in COMMANDS {
                let _ = writeln!(
                    text,
                    "    '{}:{}'",
                    command.name,
                    command.about.replace('\'', "'\\''")
                );
            }
            text.push_str("  )\n  if (( CURRENT == 2 )); then _describe command commands; return; fi\n  case $words[2] in\n");
            for command in COMMANDS {
                let words: Vec<String> = options(command)
                    .map(|o| format!("'{}[{}]'", o.0, o.2.replace('\'', "'\\''")))
                    .collect();
                if !words.is_empty() {
                    let _ = writeln!(
                        text,
                        "    {}) _arguments {} ;;",
                        command.name,
                        words.join(" ")
                    );
                }
            }
            text.push_str("  esac\n}\n_driftfront\n");
        }
        "fish" => {
            for command in COMMANDS {
                let about = command.about.replace('\'', "\\'");
                let _ = writeln!(
                    text,
                    "complete -c driftfront -n __fish_use_subcommand -a {} -d '{about}'",
                    command.name
                );
                for (name, _, about) in options(command) {
                    let (name, about) = (name.trim_start_matches('-'), about.replace('\'', "\\'"));
                    let seen = format!("__fish_seen_subcommand_from {}", command.name);
                    let _ = writeln!(
                        text,
                        "complete -c driftfront -n '{seen}' -l {name} -d '{about}'"
                    );
                }
            }
        }
        _ => return None,
    }
    Some(text)
}

/// The manual page, in roff.
pub fn manual() -> String {
    let mut text = String::from(
        ".TH DRIFTFRONT 1\n.SH NAME\ndriftfront \\- a query coordinator for small sites\n.SH SYNOPSIS\n.B driftfront\n\
         .I COMMAND\n[options]\n.SH COMMANDS\n",
    );
    let plain = |s: &str| s.replace('-', "\\-");
    for command in COMMANDS {
        let _ = writeln!(
            text,
            ".TP\n.B {} {}\n{}.",
            command.name,
            plain(command.arguments),
            plain(command.about)
        );
        for (name, argument, about) in options(command) {
            let _ = writeln!(
                text,
                ".RS\n.TP\n.B {} {argument}\n{}.\n.RE",
                plain(name),
                plain(about)
            );
        }
    }
    text.push_str(".SH EXIT STATUS\n");
    for (code, about) in EXIT_CODES {
        let _ = writeln!(text, ".TP\n.B {code}\n{}.", plain(about));
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn help_completions_and_manual_name_every_command_and_option() {
        let all = [
            help(),
            completions("bash").expect("known"),
            completions("zsh").expect("known"),
            manual(),
        ];
        for command in COMMANDS {
            assert!(
                all.iter().all(|text| text.contains(command.name)),
                "{}",
                command.name
            );
            for (name, ..) in command.options {
                let plain = name.replace('-', "\\-");
                assert!(
                    all.iter()
                        .all(|text| text.contains(name) || text.contains(&plain)),
                    "{name}"
                );
            }
        }
        assert!(
            completions("fish").is_some_and(|f| f.contains("-l force"))
                && completions("tcsh").is_none()
        );
    }
}
