//! Body framing: how the end of a body is determined, and decoding.
//!
//! | state | next | when |
//! | --- | --- | --- |
//! | `Length` | `Complete` | all bytes are received |
//! | `ChunkSize` | `Chunk`, or `Trailers` for size 0 | the size line is received |
//! | `Chunk` | `ChunkEnd` | the chunk's bytes are received |
//! | `ChunkEnd` | `ChunkSize` | the line break after the chunk is received |
//! | `Trailers` | `Complete` | an empty line is received |
//! | `UntilClose` | | the body ends when the connection closes |

use crate::buffer::ReceiveBuffer;
use crate::header::{header, Header};
use crate::HttpError;

/// Maximum length of a chunk size line or trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Maximum number of hex digits in a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// The decoding state of a body, which also says how its end is determined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyState {
    /// This many bytes remain.
    Length(u64),
    /// The next line holds a chunk size.
    ChunkSize,
    /// This many bytes of the current chunk remain.
    Chunk(u64),
    /// The line break that ends a chunk comes next.
    ChunkEnd,
    /// Trailer lines after the last chunk, up to an empty line.
    Trailers,
    /// The body is everything up to the close of the connection.
    UntilClose,
    /// The body is complete.
    Complete,
}

impl BodyState {
    /// Determines the framing from the header fields; `default` applies where they don't specify any. A message with both
    /// `Content-Length` and `Transfer-Encoding` is rejected as malformed, because it allows request smuggling.
    pub(crate) fn from_headers(
        headers: &[Header],
        default: BodyState,
    ) -> Result<BodyState, HttpError> {
        let mut lengths = headers
            .iter()
            .filter(|h| h.0.eq_ignore_ascii_case("content-length"));
        let length = lengths.next();
        if let Some(coding) = header(headers, "transfer-encoding") {
            let is_chunked = coding.trim().eq_ignore_ascii_case("chunked") && length.is_none();
            return if is_chunked {
                Ok(BodyState::ChunkSize)
            } else {
                Err(HttpError::Malformed)
            };
        }
        let Some((_, length)) = length else {
            return Ok(default);
        };
        let digits = length.trim();
        let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
        if lengths.next().is_some() || !is_number {
            return Err(HttpError::Malformed);
        }
        digits
            .parse()
            .map(BodyState::Length)
            .map_err(|_| HttpError::BodyTooLarge)
    }

    /// Moves the received part of the body from `input` to `body`; returns true once the body is complete.
    pub(crate) fn decode(
        &mut self,
        input: &mut ReceiveBuffer,
        body: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        loop {
            match self {
                BodyState::Complete | BodyState::Length(0) => {
                    *self = BodyState::Complete;
                    return Ok(true);
                }
                BodyState::UntilClose => {
                    body.extend_from_slice(input.rest());
                    input.consume(input.rest().len());
                    return Ok(false);
                }
                BodyState::Length(remaining) => {
                    if !move_bytes(remaining, input, body) {
                        return Ok(false);
                    }
                    *self = BodyState::Complete;
                }
                BodyState::Chunk(remaining) => {
                    if !move_bytes(remaining, input, body) {
                        return Ok(false);
                    }
                    *self = BodyState::ChunkEnd;
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailers => {
                    let Some(line) = input.take_line(MAX_CHUNK_LINE_BYTES)? else {
                        return Ok(false);
                    };
                    *self = self.after_line(&line)?;
                }
            }
        }
    }

    /// The state that follows a line of the chunked coding.
    fn after_line(&self, line: &[u8]) -> Result<BodyState, HttpError> {
        match self {
            BodyState::ChunkEnd if line.is_empty() => Ok(BodyState::ChunkSize),
            BodyState::ChunkEnd => Err(HttpError::Malformed),
            BodyState::Trailers if line.is_empty() => Ok(BodyState::Complete),
            BodyState::Trailers => Ok(BodyState::Trailers),
            _ => match chunk_size(line)? {
                0 => Ok(BodyState::Trailers),
                size => Ok(BodyState::Chunk(size)),
            },
        }
    }
}

/// Moves up to `remaining` bytes; returns true once none remain.
fn move_bytes(remaining: &mut u64, input: &mut ReceiveBuffer, body: &mut Vec<u8>) -> bool {
    let available = input.rest().len();
    let count = usize::try_from(*remaining).map_or(available, |remaining| remaining.min(available));
    body.extend_from_slice(&input.rest()[..count]);
    input.consume(count);
    *remaining -= count as u64;
    *remaining == 0
}

/// Parses a chunk size; extensions after a semicolon are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or(&[]);
    let digits = std::str::from_utf8(digits)
        .map_err(|_| HttpError::Malformed)?
        .trim();
    let is_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
    if digits.is_empty() || digits.len() > MAX_CHUNK_SIZE_DIGITS || !is_hex {
        return Err(HttpError::Malformed);
    }
    u64::from_str_radix(digits, 16).map_err(|_| HttpError::Malformed)
}
