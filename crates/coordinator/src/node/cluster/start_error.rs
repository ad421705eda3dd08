//! Errors of joining the cluster.

use super::KeyFileError;
use std::io;
use std::net::SocketAddr;

/// Why a process cannot join its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterStartError {
    /// The key file cannot be used.
    #[error(transparent)]
    KeyFile(#[from] KeyFileError),
    /// The socket for datagrams cannot be bound.
    #[error("{address}: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The bound socket cannot be configured.
    #[error("{0}")]
    Socket(#[source] io::Error),
    /// The socket cannot be registered with the event loop.
    #[error("{0}")]
    Register(#[source] calloop::Error),
}
