//! Errors of calls at the management address, and of opening it.

use driftfront_control::management::CallError;
use driftfront_engine_registry::Refusal;
use std::io;
use std::net::AddrParseError;

/// Why a call is answered with `ERR`. `Display` is the text that follows.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallRefusal {
    /// The line is not a valid call.
    #[error(transparent)]
    Malformed(#[from] CallError),
    /// The engine registry refuses an order about an engine.
    #[error(transparent)]
    Order(#[from] Refusal),
    /// The process is ready, but no engine accepts queries.
    #[error("no engine takes work")]
    NoReadyEngine,
    /// The process does not serve in its current state, which is named here.
    #[error("{0}")]
    NotServing(&'static str),
}

/// Why the management address cannot be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ListenError {
    /// It is not a valid socket address.
    #[error(transparent)]
    InvalidAddress(#[from] AddrParseError),
    /// It cannot be bound.
    #[error(transparent)]
    Bind(#[from] io::Error),
    /// Its socket cannot be registered with the event loop.
    #[error(transparent)]
    Register(#[from] calloop::Error),
}
