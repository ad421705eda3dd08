//! Why a call at the management address is refused, and why the address can't be had.

use driftfront_control::management::CallError;
use driftfront_engine_registry::Refusal;
use std::io;
use std::net::AddrParseError;

/// Why a call is answered with `ERR`. `Display` is the text behind that.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallRefusal {
    /// The line is no call.
    #[error(transparent)]
    Malformed(#[from] CallError),
    /// The engine registry refuses an order about an engine.
    #[error(transparent)]
    Order(#[from] Refusal),
    /// The process is ready, but no engine is.
    #[error("no engine takes work")]
    NoReadyEngine,
    /// The process is in a state in which it does not serve; the state's name.
    #[error("{0}")]
    NotServing(&'static str),
}

/// Why the management address can't be had.
#[derive(Debug, thiserror::Error)]
pub(super) enum ListenError {
    /// It is no socket address.
    #[error(transparent)]
    InvalidAddress(#[from] AddrParseError),
    /// It can't be bound.
    #[error(transparent)]
    Bind(#[from] io::Error),
    /// Its socket can't be registered with the event loop.
    #[error(transparent)]
    Register(#[from] calloop::Error),
}
