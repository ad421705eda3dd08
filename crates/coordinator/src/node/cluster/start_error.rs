//! Why a process can't take part in its cluster.

use super::KeyFileError;
use std::io;
use std::net::SocketAddr;

/// Why a process can't take part in its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterStartError {
    /// The file of the cluster's keys can't be used.
    #[error(transparent)]
    KeyFile(#[from] KeyFileError),
    /// The address for datagrams can't be bound.
    #[error("{address}: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The bound socket can't be used.
    #[error("{0}")]
    Socket(#[source] io::Error),
    /// The socket can't be registered with the event loop.
    #[error("{0}")]
    Register(#[source] calloop::Error),
}
