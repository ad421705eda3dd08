//! Configuration errors. `Display` gives the message that operators read.

use crate::operator_config::OperatorConfigError;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

/// The dotted path of a key in the configuration's JSON, such as `control_port.at`.
pub type KeyPath = &'static str;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The configuration file or the control port's key file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The content of a file is invalid.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The error in it.
        source: Box<ConfigError>,
    },
    /// An operator's file is invalid; the message shows the line and marks the position in it.
    #[error("{0}")]
    OperatorFile(String),
    /// The text of an operator's file, not read from a file, is invalid.
    #[error(transparent)]
    OperatorText(#[from] OperatorConfigError),
    /// The text is not JSON; holds the parser's message.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A required key is missing, or its value is not a string.
    #[error("{0} is missing or not a string")]
    MissingText(KeyPath),
    /// A value is not a socket address.
    #[error("{key}: {source}")]
    InvalidAddress {
        /// Its key.
        key: KeyPath,
        /// The parser's error.
        source: AddrParseError,
    },
    /// A cluster address is not a socket address.
    #[error("{key}: {address}: {source}")]
    InvalidClusterAddress {
        /// Its key.
        key: KeyPath,
        /// The value as written.
        address: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The scheduler's settings are invalid; the message names the key.
    #[error("settings: {0}")]
    Settings(String),
    /// `front` is not a known interface.
    #[error("front: unknown interface {0}")]
    UnknownFrontend(String),
    /// More than one source of engines is configured.
    #[error("coordinator, membership.etcd and membership.file are mutually exclusive")]
    SeveralSources,
    /// The control port would be reachable from other hosts.
    #[error("control_port.at: {0} is not on loopback")]
    NotLoopback(SocketAddr),
    /// The control port has no key file.
    #[error("control_port.key_file is missing")]
    MissingControlKey,
    /// The control port's key is too short.
    #[error("{file}: the key must have at least {min} characters", min = super::document::MIN_CONTROL_KEY_CHARACTERS)]
    ShortControlKey {
        /// The file that holds it.
        file: String,
    },
    /// A cluster is configured, but the platform's settings forbid gossip.
    #[error("fleet: the settings forbid traffic between coordinators (Caps.Peers)")]
    GossipForbidden,
    /// A default class for statements is not among the profiles.
    #[error("{key}: unknown class {class}")]
    UnknownClass {
        /// The key that names it.
        key: KeyPath,
        /// The value as written.
        class: String,
    },
    /// A time is not a positive whole number of milliseconds.
    #[error("{0} is not a positive number of milliseconds")]
    InvalidTime(KeyPath),
}
