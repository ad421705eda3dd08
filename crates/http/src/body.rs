//! How a body's end is known, and its decoding.
//!
//! | state | next | when |
//! | --- | --- | --- |
//! | `Length` | `Over` | its bytes have come |
//! | `ChunkSize` | `Chunk`, or `Trailers` for size 0 | the line has come |
//! | `Chunk` | `ChunkEnd` | its bytes have come |
//! | `ChunkEnd` | `ChunkSize` | the empty line has come |
//! | `Trailers` | `Over` | an empty line has come |
//! | `UntilClose` | | the connection's close ends it |

use crate::buffer::Buffer;
use crate::header::{header, Header};
use crate::HttpError;

/// Longest line of a chunk's size or of a trailer.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Most hex digits of a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// How far a body has come, and how its end is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyState {
    /// So many bytes are to come.
    Length(u64),
    /// A line with a chunk's size is to come.
    ChunkSize,
    /// So many bytes of a chunk are to come.
    Chunk(u64),
    /// The end of a chunk is to come.
    ChunkEnd,
    /// Lines behind the last chunk, up to an empty one.
    Trailers,
    /// All up to the connection's close.
    UntilClose,
    /// Nothing more.
    Over,
}

impl BodyState {
    /// The body that a head announces; `otherwise` where it says nothing. A length and chunks together are how requests are
    /// smuggled past a proxy: that is malformed.
    pub(crate) fn announced(
        headers: &[Header],
        otherwise: BodyState,
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
            return Ok(otherwise);
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

    /// Moves what there is of the body from `input` to `body`; true once it is over.
    pub(crate) fn decode(
        &mut self,
        input: &mut Buffer,
        body: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        loop {
            match self {
                BodyState::Over | BodyState::Length(0) => {
                    *self = BodyState::Over;
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
                    *self = BodyState::Over;
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

    /// The state behind a line of the chunked coding.
    fn after_line(&self, line: &[u8]) -> Result<BodyState, HttpError> {
        match self {
            BodyState::ChunkEnd if line.is_empty() => Ok(BodyState::ChunkSize),
            BodyState::ChunkEnd => Err(HttpError::Malformed),
            BodyState::Trailers if line.is_empty() => Ok(BodyState::Over),
            BodyState::Trailers => Ok(BodyState::Trailers),
            _ => match chunk_size(line)? {
                0 => Ok(BodyState::Trailers),
                size => Ok(BodyState::Chunk(size)),
            },
        }
    }
}

/// Moves up to `remaining` bytes; true once none remain.
fn move_bytes(remaining: &mut u64, input: &mut Buffer, body: &mut Vec<u8>) -> bool {
    let available = input.rest().len();
    let count = usize::try_from(*remaining).map_or(available, |remaining| remaining.min(available));
    body.extend_from_slice(&input.rest()[..count]);
    input.consume(count);
    *remaining -= count as u64;
    *remaining == 0
}

/// A chunk's size; an extension behind a semicolon is passed over.
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
