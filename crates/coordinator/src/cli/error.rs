//! Why a sub-command did not do what was asked, and the exit code for it.

use driftfront::config::ConfigError;
use driftfront::console::CountersError;
use driftfront::demo::DemoError;
use driftfront::node::StartError;
use std::io;

/// Why a sub-command failed. `Display` is what staff read; the exit codes are those of the manual.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The system has no event loop for a coordinator.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The coordinator does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The demo does not run.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// A coordinator's counters can't be had.
    #[error(transparent)]
    Counters(#[from] CountersError),
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A file or the connection to the program failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file that a command needs can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The program sent a reply of another kind.
    #[error("an answer that was not asked for: {0}")]
    UnexpectedReply(String),
    /// The program refused the command, and says why.
    #[error("{0}")]
    Refused(String),
    /// No program answers there.
    #[error("no program answers at {address}: {source}")]
    Unreachable {
        /// Where it was looked for.
        address: String,
        /// What the system says.
        source: io::Error,
    },
    /// No sub-command is named.
    #[error("no command; see driftfront --help")]
    NoCommand,
    /// The sub-command has no known name.
    #[error("unknown command {0}; see driftfront --help")]
    UnknownCommand(String),
    /// An argument is not known, or one too many.
    #[error("unknown argument {0}; see driftfront --help")]
    UnknownArgument(String),
    /// An argument is missing, or can't be read.
    #[error(transparent)]
    Argument(#[from] pico_args::Error),
    /// No configuration is named.
    #[error("no configuration: give --config FILE or set LB_CONFIG")]
    NoConfig,
    /// A remote sub-command has no known name.
    #[error("unknown command {0}")]
    UnknownRemoteCommand(String),
    /// There are no completions for this shell.
    #[error("no completions for {0}: bash, zsh or fish")]
    UnknownShell(String),
    /// A control port is named without its key.
    #[error("--at {0}: a port wants --key-file")]
    NoKeyFile(String),
    /// A time can't be read.
    #[error("--for {0}: write 30s, 10m or 2h")]
    InvalidTime(String),
    /// Options of `roll` that exclude each other.
    #[error("one of --back, --stop and --go-on")]
    ConflictingRollOptions,
}

impl CommandError {
    /// The process's exit code: `driftfront_control::commands::EXIT_CODES`.
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
