//! Errors in client requests.

use super::MAX_ID_BYTES;
use crate::block::BlockError;
use crate::credentials::CredentialsError;
use crate::exception::codes::{
    BAD_ARGUMENTS, CANNOT_DECOMPRESS, NOT_IMPLEMENTED, READONLY, SYNTAX_ERROR,
};
use crate::exception::Exception;
use crate::multipart::MultipartError;

/// Why a query is rejected. The messages are sent to clients.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The URL has more than [`crate::params::MAX_PARAMS`] parameters.
    #[error("There are too many parameters")]
    TooManyParams,
    /// An id is too long, or contains control characters that could inject a header line.
    #[error("{param} is longer than {MAX_ID_BYTES} bytes or holds control characters")]
    InvalidId {
        /// The name of the parameter.
        param: &'static str,
    },
    /// The credentials are invalid.
    #[error(transparent)]
    Credentials(#[from] CredentialsError),
    /// The request has no statement.
    #[error("Empty query")]
    EmptyQuery,
    /// A GET or HEAD request has a statement that writes.
    #[error(
        "Cannot execute query in readonly mode. For queries over HTTP, method GET implies readonly. You should use \
         method POST for modifying queries"
    )]
    ReadOnlyMethod,
    /// `session_timeout` is not a number.
    #[error("Invalid session timeout: '{0}'")]
    InvalidSessionTimeout(String),
    /// `session_timeout` exceeds the maximum.
    #[error("Session timeout '{seconds}' is larger than max_session_timeout: {max_seconds}")]
    SessionTimeoutTooLong {
        /// The requested timeout.
        seconds: u64,
        /// The maximum.
        max_seconds: u64,
    },
    /// The `Content-Type` of a form has no valid boundary.
    #[error("multipart/form-data without a boundary that can be used")]
    NoBoundary,
    /// A form is too large to be buffered, and the query is not in the URL.
    #[error("A form this large needs its query in the URL")]
    FormTooLarge,
    /// A form is malformed.
    #[error("multipart/form-data can't be read: {0}")]
    Form(#[from] MultipartError),
    /// The content coding of the body is unknown.
    #[error("Content-Encoding {0} is not supported here")]
    UnsupportedCoding(String),
    /// A compressed block of the body is invalid.
    #[error("Cannot decompress the body: {0}")]
    Block(#[from] BlockError),
    /// The forwarded header fields are too long.
    #[error("The headers to be passed on are too long")]
    HeadersTooLong,
}

impl RequestError {
    /// ClickHouse's error code.
    pub fn code(&self) -> u32 {
        match self {
            RequestError::Credentials(error) => error.code(),
            RequestError::EmptyQuery => SYNTAX_ERROR,
            RequestError::ReadOnlyMethod => READONLY,
            RequestError::UnsupportedCoding(_) => NOT_IMPLEMENTED,
            RequestError::Block(_) => CANNOT_DECOMPRESS,
            RequestError::TooManyParams
            | RequestError::InvalidId { .. }
            | RequestError::InvalidSessionTimeout(_)
            | RequestError::SessionTimeoutTooLong { .. }
            | RequestError::NoBoundary
            | RequestError::FormTooLarge
            | RequestError::Form(_)
            | RequestError::HeadersTooLong => BAD_ARGUMENTS,
        }
    }
}

impl From<RequestError> for Exception {
    fn from(error: RequestError) -> Exception {
        Exception::new(error.code(), &error.to_string())
    }
}
