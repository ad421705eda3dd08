//! Errors of operators' requests to a process.

use driftfront_control::Reply;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The process refused the request, with this message.
    #[error("{0}")]
    Refused(String),
    /// The reply does not match the kind of request.
    #[error("{0:?}")]
    UnexpectedReply(Box<Reply>),
    /// The connection failed, or no reply was received.
    #[error(transparent)]
    Connection(#[from] std::io::Error),
}
