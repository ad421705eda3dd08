//! HTTP/1.1 framing on both sides, without sockets: bytes in, messages out.
//!
//! | module | job |
//! | --- | --- |
//! | `header` | header fields |
//! | `body` | how a body's end is known, and its decoding |
//! | `buffer` | received bytes that were not used yet |
//! | `request` | reads clients' requests |
//! | `response_reader` | reads servers' responses |
//! | `response_writer` | writes responses |
//!
//! The readers take bytes in pieces of any size, hold a bounded number of them and never panic on input.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod body;
mod buffer;
mod header;
mod request;
mod response_reader;
mod response_writer;

pub use header::{header, Header};
pub use request::{Request, RequestLimits, RequestReader};
pub use response_reader::{ResponseHead, ResponsePart, ResponseReader};
pub use response_writer::{
    add_connection_close, chunk, response, response_head, BodyFraming, LAST_CHUNK,
};

/// Longest head read by default; a longer one is answered 431.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most header fields of a message.
const MAX_HEADERS: usize = 64;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// It can't be read, or its framing is ambiguous.
    #[error("malformed message")]
    Malformed,
    /// Its body is over the bound.
    #[error("body too large")]
    BodyTooLarge,
    /// Its head is over the bound.
    #[error("head too large")]
    HeadTooLarge,
}

impl HttpError {
    /// The status that a client is answered with.
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
