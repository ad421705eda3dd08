//! Errors of the engine list's sources.

use driftfront_http::HttpError;
use std::io;

/// Why a connection to a source must be closed, or an update is skipped.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The response is not valid HTTP.
    #[error("bad HTTP: {0:?}")]
    Http(HttpError),
    /// The response's status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// A message is not JSON; holds the parser's message.
    #[error("{0}")]
    Json(String),
    /// A message exceeds its maximum length.
    #[error("a message of more than 4 MiB")]
    MessageTooLong,
    /// An event exceeds its maximum length.
    #[error("an event of more than 4 MiB")]
    EventTooLong,
    /// The event after `last` is not JSON; it is requested again.
    #[error("the event after {last} can't be parsed: {error}")]
    BadEvent {
        /// The number of the last event that was read.
        last: u64,
        /// The parser's message.
        error: String,
    },
    /// The event stream ended.
    #[error("the stream ended")]
    StreamEnded,
    /// The response to a range request has no revision.
    #[error("a range without a revision")]
    NoRevision,
    /// The watch's response ended.
    #[error("the watch ended")]
    WatchEnded,
    /// etcd cancelled the watch, because its revision is compacted or an error occurred.
    #[error("the watch was ended")]
    WatchCancelled,
    /// The file can't be read.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file's object has no list of engines.
    #[error("instances is missing or not a list")]
    NoList,
    /// An update has no list of engines.
    #[error("an update without instances")]
    NoInstances,
}

/// Why one entry of an update can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// An engine has no name.
    #[error("an instance without instanceId")]
    NoInstanceId,
    /// A coordinator has no name.
    #[error("a coordinator without instanceId")]
    NoCoordinatorId,
    /// A coordinator's address can't be parsed.
    #[error("{name}: coordinator {address:?} is not a socket address")]
    BadCoordinatorAddress {
        /// The coordinator.
        name: String,
        /// The value as received.
        address: String,
    },
    /// An engine's lifecycle phase is missing or unknown.
    #[error("{name}: unknown lifecycle {lifecycle:?}")]
    UnknownLifecycle {
        /// The engine.
        name: String,
        /// The value as received, if there is one.
        lifecycle: Option<String>,
    },
}
