//! What goes wrong with a source of the engine list.

use driftfront_http::HttpError;
use std::io;

/// Why nothing more can be read from a source, or an update is left out.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// It is not HTTP.
    #[error("bad HTTP: {0:?}")]
    Http(HttpError),
    /// The source answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// A message that is no JSON; what the parser says.
    #[error("{0}")]
    Json(String),
    /// A message over its bound.
    #[error("a message of more than 4 MiB")]
    MessageTooLong,
    /// An event over its bound.
    #[error("an event of more than 4 MiB")]
    EventTooLong,
    /// The event behind one that was read is no JSON: it is asked for again.
    #[error("the event behind {last} can't be read: {error}")]
    BadEvent {
        /// The number of the last event that was read.
        last: u64,
        /// What the parser says.
        error: String,
    },
    /// The event stream came to its end.
    #[error("the stream ended")]
    StreamEnded,
    /// A range of keys without the revision behind it.
    #[error("a range without a revision")]
    NoRevision,
    /// The watch's response came to its end.
    #[error("the watch ended")]
    WatchEnded,
    /// etcd cancelled the watch: its revision is compacted away, or an error.
    #[error("the watch was ended")]
    WatchCancelled,
    /// The file can't be read.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file's object has no list of engines.
    #[error("no list under instances")]
    NoList,
    /// An update has no list of engines.
    #[error("an update without instances")]
    NoInstances,
}

/// Why one entry of an update can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// An engine without a name.
    #[error("an instance without instanceId")]
    NoInstanceId,
    /// A coordinator without a name.
    #[error("a coordinator without instanceId")]
    NoCoordinatorId,
    /// A coordinator's address can't be parsed.
    #[error("{name}: coordinator {address:?} is no address")]
    BadCoordinatorAddress {
        /// The coordinator.
        name: String,
        /// What stands as its address.
        address: String,
    },
    /// An engine's phase is none that is known.
    #[error("{name}: unknown lifecycle {lifecycle:?}")]
    UnknownLifecycle {
        /// The engine.
        name: String,
        /// What stands as its phase, if anything.
        lifecycle: Option<String>,
    },
}
