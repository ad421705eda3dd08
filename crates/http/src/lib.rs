//! HTTP/1.1 framing for clients and servers, without I/O: bytes in, messages out.
//!
//! | module | purpose |
//! | --- | --- |
//! | `header` | header fields |
//! | `body` | body framing and decoding |
//! | `buffer` | received bytes that are not consumed yet |
//! | `request` | reads clients' requests |
//! | `response_reader` | reads servers' responses |
//! | `response_writer` | writes responses |
//!
//! The readers accept input split at any byte, buffer a bounded amount of it and never panic on malformed input.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod body;
mod buffer;
mod header;
mod request;
mod response_reader;
mod response_writer;

pub use buffer::ReceiveBuffer;
pub use header::{header, Header};
pub use request::{Request, RequestLimits, RequestReader};
pub use response_reader::{ResponseHead, ResponsePart, ResponseReader};
pub use response_writer::{
    add_connection_close, chunk, response, response_head, BodyFraming, LAST_CHUNK,
};

/// Default limit on the size of a message head; larger heads are answered with status 431.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields in a message.
const MAX_HEADERS: usize = 64;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The message can't be parsed, or its framing is ambiguous.
    #[error("malformed message")]
    Malformed,
    /// The body exceeds the limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The head exceeds the limit.
    #[error("head too large")]
    HeadTooLarge,
}

impl HttpError {
    /// The status code of the response to the client.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::BodyTooLarge => 413,
            HttpError::HeadTooLarge => 431,
        }
    }
}

impl From<httparse::Error> for HttpError {
    fn from(error: httparse::Error) -> HttpError {
        match error {
            httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
            _ => HttpError::Malformed,
        }
    }
}
