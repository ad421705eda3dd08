//! What can be wrong with a configuration. `Display` says it in the words that staff read.

use crate::operator_config::OperatorConfigError;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

/// A key of the configuration's JSON, with those of the objects round it: `control_port.at`.
pub type KeyPath = &'static str;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file of the configuration's can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// What a file holds is wrong.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: Box<ConfigError>,
    },
    /// An operator's file has a mistake; the text shows it with its line and a mark.
    #[error("{0}")]
    OperatorFile(String),
    /// An operator's text, read from no file, has a mistake.
    #[error(transparent)]
    OperatorText(#[from] OperatorConfigError),
    /// The text is not JSON; the text is the parser's.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A key that is needed is missing, or its value is no string.
    #[error("{0} is missing or not a string")]
    MissingText(KeyPath),
    /// A value is no socket address.
    #[error("{key}: {source}")]
    InvalidAddress {
        /// Its key.
        key: KeyPath,
        /// What the parser says.
        source: AddrParseError,
    },
    /// An address of the cluster's is no socket address.
    #[error("{key}: {address}: {source}")]
    InvalidClusterAddress {
        /// Its key.
        key: KeyPath,
        /// As written.
        address: String,
        /// What the parser says.
        source: AddrParseError,
    },
    /// The scheduler's settings are wrong; the text names the key.
    #[error("settings: {0}")]
    Settings(String),
    /// `front` names no known interface.
    #[error("front: unknown: {0}")]
    UnknownFrontend(String),
    /// More than one source of engines is named.
    #[error("coordinator, membership.etcd and membership.file exclude each other")]
    SeveralSources,
    /// The control port would be reached from other hosts.
    #[error("control_port.at: {0} is not on loopback")]
    NotLoopback(SocketAddr),
    /// The control port has no key file.
    #[error("control_port.key_file is missing")]
    MissingControlKey,
    /// The control port's key is too short.
    #[error("{file}: a key has {min} characters at least", min = super::document::MIN_CONTROL_KEY_CHARACTERS)]
    ShortControlKey {
        /// The file that holds it.
        file: String,
    },
    /// A cluster is named, but the platform's settings forbid gossip.
    #[error("fleet: the settings bar talk among instances (Caps.Peers)")]
    GossipForbidden,
    /// A class that statements are given is not among the profiles.
    #[error("{key}: there is no class {class}")]
    UnknownClass {
        /// The key that names it.
        key: KeyPath,
        /// As written.
        class: String,
    },
    /// A time is no whole number of milliseconds above zero.
    #[error("{0}: no time")]
    InvalidTime(KeyPath),
}
