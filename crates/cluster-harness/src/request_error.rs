//! Why an operator's request to a process failed.

use driftfront_control::Reply;

/// A request that was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The process refused it, in these words.
    #[error("{0}")]
    Refused(String),
    /// The reply belongs to another kind of request.
    #[error("{0:?}")]
    UnexpectedReply(Box<Reply>),
    /// The process could not be reached, or its reply did not come.
    #[error(transparent)]
    Connection(#[from] std::io::Error),
}
