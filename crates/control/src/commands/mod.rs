//! The descriptions of the program's subcommands, from which help, shell completions and the manual page are generated.

mod completions;
mod help;
mod manual;

pub use completions::completions;
pub use help::help;
pub use manual::manual;

/// A subcommand.
#[derive(Debug)]
pub struct Command {
    /// The name.
    pub name: &'static str,
    /// The arguments, as shown in a usage line.
    pub arguments: &'static str,
    /// A one-line description.
    pub about: &'static str,
    /// The options of this command.
    pub options: &'static [CommandOption],
    /// Whether it connects to a running program, and accepts [`REMOTE_OPTIONS`] as well.
    pub remote: bool,
}

/// An option of a subcommand.
#[derive(Debug)]
pub struct CommandOption {
    /// The name, including the dashes.
    pub name: &'static str,
    /// The argument, as shown in a usage line; empty if there is none.
    pub argument: &'static str,
    /// A one-line description.
    pub about: &'static str,
}

/// An exit code of the program.
#[derive(Debug)]
pub struct ExitCode {
    /// The code.
    pub code: u8,
    /// What it means.
    pub about: &'static str,
}

impl Command {
    /// The options of this command, and [`REMOTE_OPTIONS`] if it accepts them.
    fn all_options(&self) -> impl Iterator<Item = &'static CommandOption> {
        let remote = if self.remote { REMOTE_OPTIONS } else { &[] };
        self.options.iter().chain(remote)
    }
}

const fn option(name: &'static str, argument: &'static str, about: &'static str) -> CommandOption {
    CommandOption {
        name,
        argument,
        about,
    }
}

const CONFIG: CommandOption = option(
    "--config",
    "FILE",
    "the configuration file (default $LB_CONFIG)",
);
const JSON: CommandOption = option(
    "--json",
    "",
    "prints JSON objects, one per line, for scripts",
);

/// Options of every command that connects to a running program.
pub const REMOTE_OPTIONS: &[CommandOption] = &[
    option(
        "--at",
        "WHERE",
        "the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)",
    ),
    option(
        "--key-file",
        "FILE",
        "the file with the key of the control port",
    ),
];

/// All commands, in the order of the help text.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "serve",
        arguments: "",
        about: "runs a coordinator",
        options: &[
            CONFIG,
            option("--log", "LEVEL", "error, warn, info (the default) or debug"),
        ],
        remote: false,
    },
    Command {
        name: "check",
        arguments: "",
        about: "checks a configuration and prints its settings, or its errors with their positions",
        options: &[CONFIG],
        remote: false,
    },
    Command {
        name: "init",
        arguments: "[FILE]",
        about: "writes a commented configuration file (default driftfront.kdl)",
        options: &[],
        remote: false,
    },
    Command {
        name: "demo",
        arguments: "",
        about: "starts a coordinator, three mock engines and a light load, and opens the console",
        options: &[option("--plain", "", "prints the state as text, and exits")],
        remote: false,
    },
    Command {
        name: "console",
        arguments: "",
        about: "opens an interactive console with engines, classes, queries and events",
        options: &[
            option(
                "--plain",
                "",
                "prints the state as text and exits, for pipes and screen readers",
            ),
            option("--no-color", "", "disables colours, like NO_COLOR"),
        ],
        remote: true,
    },
    Command {
        name: "status",
        arguments: "",
        about: "prints a summary of the state",
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
        about: "lists the fleet's coordinators, as known to this one",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "holds",
        arguments: "",
        about: "lists the holds in the fleet, and the voters",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "hold",
        arguments: "NAME",
        about: "takes a fleet-wide hold; each name can be held only once at a time",
        options: &[
            option(
                "--for",
                "TIME",
                "the duration, such as 30s, 10m or 2h (default 10m)",
            ),
            option(
                "--stays",
                "",
                "keeps the hold after that time, until it is released",
            ),
            option("--note", "WORDS", "the reason, for other operators"),
        ],
        remote: true,
    },
    Command {
        name: "unhold",
        arguments: "NAME",
        about: "releases a hold, whoever took it",
        options: &[],
        remote: true,
    },
    Command {
        name: "classes",
        arguments: "",
        about: "lists the classes and their service statistics",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "queries",
        arguments: "",
        about: "lists the running queries, imports first",
        options: &[JSON],
        remote: true,
    },
    Command {
        name: "events",
        arguments: "",
        about: "prints the recent events",
        options: &[
            option(
                "--follow",
                "",
                "keeps printing new events until interrupted",
            ),
            JSON,
        ],
        remote: true,
    },
    Command {
        name: "drain",
        arguments: "ENGINE",
        about: "sends no new work to an engine until it is resumed",
        options: &[
            option("--wait", "", "waits until nothing runs there any more"),
            option(
                "--force",
                "",
                "drains it even if it is the last engine that takes work",
            ),
        ],
        remote: true,
    },
    Command {
        name: "resume",
        arguments: "ENGINE",
        about: "lifts the drain of an engine",
        options: &[],
        remote: true,
    },
    Command {
        name: "pause",
        arguments: "",
        about: "disconnects the clients; the program keeps running, and answers accepted requests",
        options: &[],
        remote: true,
    },
    Command {
        name: "unpause",
        arguments: "",
        about: "ends a pause",
        options: &[],
        remote: true,
    },
    Command {
        name: "add",
        arguments: "ENGINE ADDRESS",
        about: "adds an engine that no source lists, or lifts its removal",
        options: &[
            option("--zone", "NAME", "its zone (a building)"),
            option("--kind", "NAME", "its machine kind"),
        ],
        remote: true,
    },
    Command {
        name: "remove",
        arguments: "ENGINE",
        about: "removes an engine from the list, even if sources list it",
        options: &[option("--force", "", "removes it even if it takes work")],
        remote: true,
    },
    Command {
        name: "roll",
        arguments: "[ENGINE...]",
        about: "drains engines one at a time for repair or restart; all if none is named",
        options: &[
            option("--dry-run", "", "only prints the plan"),
            option(
                "--back",
                "",
                "confirms that the engine that was handed over is back",
            ),
            option("--stop", "", "stops the rolling restart"),
            option("--go-on", "", "resumes a stopped rolling restart"),
        ],
        remote: true,
    },
    Command {
        name: "counters",
        arguments: "",
        about: "prints the counters of a running coordinator",
        options: &[option(
            "--at",
            "ADDRESS",
            "the address that the coordinator's clients connect to",
        )],
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

/// All exit codes.
pub const EXIT_CODES: &[ExitCode] = &[
    exit_code(0, "done"),
    exit_code(1, "an error, described in the message"),
    exit_code(2, "invalid arguments"),
    exit_code(3, "refused by the program, with the reason"),
    exit_code(4, "no program answers at this address"),
];

const fn exit_code(code: u8, about: &'static str) -> ExitCode {
    ExitCode { code, about }
}
