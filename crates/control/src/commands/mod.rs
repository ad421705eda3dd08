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
    "the operator's file; without it $LB_CONFIG names it",
);
const JSON: CommandOption = option(
    "--json",
    "",
    "for scripts: the protocol's own objects, one a line",
);

/// Options of every command that connects to a running program.
pub const REMOTE_OPTIONS: &[CommandOption] = &[
    option(
        "--at",
        "WHERE",
        "its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it",
    ),
    option("--key-file", "FILE", "the key of its control port"),
];

/// All commands, in the order of the help text.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "serve",
        arguments: "",
        about: "runs a coordinator",
        options: &[
            CONFIG,
            option("--log", "LEVEL", "error, warn, info (without it) or debug"),
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
        options: &[option(
            "--plain",
            "",
            "says how things stand as text, and ends",
        )],
        remote: false,
    },
    Command {
        name: "console",
        arguments: "",
        about: "shows engines, classes, service and drains, and takes commands by keys",
        options: &[
            option(
                "--plain",
                "",
                "the same as text, once, for pipes and screen readers",
            ),
            option("--no-color", "", "no colours; also by NO_COLOR"),
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
            option(
                "--for",
                "TIME",
                "for how long, as 30s, 10m or 2h; 10m where nothing is said",
            ),
            option("--stays", "", "beyond that, until it is given back"),
            option("--note", "WORDS", "why, for the others"),
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
            option("--follow", "", "and what happens, until it is interrupted"),
            JSON,
        ],
        remote: true,
    },
    Command {
        name: "drain",
        arguments: "ENGINE",
        about: "lets nothing new go to an engine, until it is resumed",
        options: &[
            option("--wait", "", "until nothing runs there any more"),
            option("--force", "", "also the last engine that takes work"),
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
            option("--zone", "NAME", "its building"),
            option("--kind", "NAME", "its machine kind"),
        ],
        remote: true,
    },
    Command {
        name: "remove",
        arguments: "ENGINE",
        about: "takes an engine out of the list, whatever sources say",
        options: &[option("--force", "", "also one that takes work")],
        remote: true,
    },
    Command {
        name: "roll",
        arguments: "[ENGINE...]",
        about: "takes engines out one after another, all without a name",
        options: &[
            option("--dry-run", "", "only says the plan"),
            option("--back", "", "the engine that was handed over is back"),
            option("--stop", "", "stops the roll"),
            option("--go-on", "", "lets a stopped roll go on"),
        ],
        remote: true,
    },
    Command {
        name: "counters",
        arguments: "",
        about: "prints a running coordinator's counters",
        options: &[option("--at", "ADDRESS", "where its clients connect")],
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
    exit_code(1, "something went wrong: the words say what"),
    exit_code(2, "the command's words are off"),
    exit_code(3, "the program refused it, and says why"),
    exit_code(4, "no program answers there"),
];

const fn exit_code(code: u8, about: &'static str) -> ExitCode {
    ExitCode { code, about }
}
