//! Errors of sub-commands, with their exit codes.

use driftfront::config::ConfigError;
use driftfront::console::CountersError;
use driftfront::demo::DemoError;
use driftfront::node::StartError;
use std::io;

/// Why a sub-command failed. `Display` gives the message that operators read; the manual documents the exit codes.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The coordinator's event loop can't be created.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The coordinator does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The demo does not start.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// A coordinator's counters can't be read.
    #[error(transparent)]
    Counters(#[from] CountersError),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Standard output, the terminal or the connection to the coordinator failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file that a command needs can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The coordinator sent a reply of the wrong kind.
    #[error("unexpected reply: {0}")]
    UnexpectedReply(String),
    /// The coordinator refused the command; holds its reason.
    #[error("{0}")]
    Refused(String),
    /// No coordinator accepts connections at the address.
    #[error("no program answers at {address}: {source}")]
    Unreachable {
        /// The address or the socket's path.
        address: String,
        /// The system's error.
        source: io::Error,
    },
    /// No sub-command is given.
    #[error("no command; see driftfront --help")]
    NoCommand,
    /// The sub-command is unknown.
    #[error("unknown command {0}; see driftfront --help")]
    UnknownCommand(String),
    /// An argument is unknown or superfluous.
    #[error("unknown argument {0}; see driftfront --help")]
    UnknownArgument(String),
    /// An argument is missing or invalid.
    #[error(transparent)]
    Argument(#[from] pico_args::Error),
    /// No configuration file is given.
    #[error("no configuration: give --config FILE or set LB_CONFIG")]
    NoConfig,
    /// A remote sub-command is unknown.
    #[error("unknown command {0}")]
    UnknownRemoteCommand(String),
    /// There are no completions for this shell.
    #[error("no completions for {0}: bash, zsh or fish")]
    UnknownShell(String),
    /// A control port is given without its key.
    #[error("--at {0}: a port requires --key-file")]
    NoKeyFile(String),
    /// A time is invalid.
    #[error("--for {0}: write 30s, 10m or 2h")]
    InvalidTime(String),
    /// Options of `roll` that are mutually exclusive.
    #[error("--back, --stop and --go-on are mutually exclusive")]
    ConflictingRollOptions,
}

impl CommandError {
    /// The process's exit code, one of `driftfront_control::commands::EXIT_CODES`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::EventLoop(_)
            | CommandError::Start(_)
            | CommandError::Demo(_)
            | CommandError::Counters(_)
            | CommandError::Config(_)
            | CommandError::Io(_)
            | CommandError::File { .. }
            | CommandError::UnexpectedReply(_) => 1,
            CommandError::NoCommand
            | CommandError::UnknownCommand(_)
            | CommandError::UnknownRemoteCommand(_)
            | CommandError::UnknownArgument(_)
            | CommandError::Argument(_)
            | CommandError::NoConfig
            | CommandError::UnknownShell(_)
            | CommandError::NoKeyFile(_)
            | CommandError::InvalidTime(_)
            | CommandError::ConflictingRollOptions => 2,
            CommandError::Refused(_) => 3,
            CommandError::Unreachable { .. } => 4,
        }
    }
}
