//! Errors of operators' requests.

use crate::node::cluster::HoldError;
use driftfront_engine_registry::Refusal;
use std::net::AddrParseError;

/// Why an operator's request is refused. `Display` is the message for the operator.
#[derive(Debug, thiserror::Error)]
pub(in crate::node) enum RequestRefusal {
    /// The line is not a valid request.
    #[error(transparent)]
    Malformed(#[from] driftfront_control::RequestError),
    /// The engine registry refuses an order about an engine.
    #[error(transparent)]
    Order(#[from] Refusal),
    /// An engine is added with a zone or machine kind that is not configured.
    #[error("there is no {what} {name}; there are {}", known.join(", "))]
    UnknownName {
        /// `building` or `machine kind`.
        what: &'static str,
        /// As the operator wrote it.
        name: String,
        /// The configured names.
        known: Vec<String>,
    },
    /// An engine is added with an invalid socket address.
    #[error("{address} is no address; write it as 127.0.0.1:18123")]
    InvalidAddress {
        /// As the operator wrote it.
        address: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// A hold is not granted or not released.
    #[error(transparent)]
    Hold(#[from] HoldError),
    /// A rolling restart is requested for an unknown engine.
    #[error("there is no engine {0}")]
    NoSuchEngine(String),
    /// A rolling restart is requested while another is unfinished.
    #[error("a rolling restart is in progress: stop it first")]
    AlreadyRolling,
    /// No engine of a rolling restart is handed over to the operator.
    #[error("no engine is handed over")]
    NoEngineHandedOver,
    /// There is no rolling restart to stop.
    #[error("there is no roll to stop")]
    NothingToStop,
    /// There is no stopped rolling restart to resume.
    #[error("no roll is stopped")]
    NothingToResume,
}
