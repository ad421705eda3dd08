//! Errors that prevent a coordinator from starting.

use super::cluster::ClusterStartError;
use super::control::ControlSocketError;
use crate::state_folder::StateFolderError;
use std::io;
use std::net::SocketAddr;

/// An error of [`Node::new`](super::Node::new). Its `Display` text is shown to operators.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listen address for clients can't be bound.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Signals can't be received.
    #[error("signals: {0}")]
    Signals(#[source] calloop::Error),
    /// Received signals can't be handled on the event loop.
    #[error("signals: error inserting event source: {0}")]
    SignalEvents(#[source] calloop::Error),
    /// A socket can't be registered with the event loop.
    #[error("event loop: {0}")]
    RegisterSocket(#[source] calloop::Error),
    /// Completed writes of the state folder can't be handled on the event loop.
    #[error("event loop: error inserting event source: {0}")]
    WriteEvents(#[source] calloop::Error),
    /// The control socket can't be opened.
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
    /// The control port can't be bound.
    #[error("control port {address}: {source}")]
    ControlPort {
        /// The configured address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The state folder can't be used.
    #[error(transparent)]
    StateFolder(#[from] StateFolderError),
    /// The process can't join its cluster.
    #[error("fleet: {0}")]
    Cluster(#[from] ClusterStartError),
}
