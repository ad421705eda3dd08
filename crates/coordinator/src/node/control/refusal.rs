//! Why an operator's request is refused.

use crate::node::cluster::HoldError;
use driftfront_engine_registry::Refusal;
use std::net::AddrParseError;

/// Why a request on the control socket is refused. `Display` is what the operator reads.
#[derive(Debug, thiserror::Error)]
pub(in crate::node) enum RequestRefusal {
    /// The line is no request.
    #[error(transparent)]
    Malformed(#[from] driftfront_control::RequestError),
    /// The engine registry refuses an order about an engine.
    #[error(transparent)]
    Order(#[from] Refusal),
    /// An engine is added to a zone, or as a machine kind, that the configuration does not have.
    #[error("there is no {what} {name}; there are {}", known.join(", "))]
    UnknownName {
        /// `building` or `machine kind`.
        what: &'static str,
        /// As the operator wrote it.
        name: String,
        /// The configured names.
        known: Vec<String>,
    },
    /// An engine is added at something that is no socket address.
    #[error("{address} is no address; write it as 127.0.0.1:18123")]
    InvalidAddress {
        /// As the operator wrote it.
        address: String,
        /// What the parser says.
        source: AddrParseError,
    },
    /// A hold is not granted or not released.
    #[error(transparent)]
    Hold(#[from] HoldError),
    /// A rolling restart names an engine that is not there.
    #[error("there is no engine {0}")]
    NoSuchEngine(String),
    /// A rolling restart begins while another is unfinished.
    #[error("a roll is on its way: stop it first")]
    AlreadyRolling,
    /// No engine of a rolling restart waits for its operator.
    #[error("no engine is handed over")]
    NoEngineHandedOver,
    /// No rolling restart can be stopped.
    #[error("there is no roll to stop")]
    NothingToStop,
    /// No rolling restart can be resumed.
    #[error("no roll is stopped")]
    NothingToResume,
}
