//! Checks a result while it is forwarded, so that an error behind status 200 is never taken for rows.
//!
//! An engine that fails after it sent the response's head writes an exception behind the rows, in a form that depends
//! on how the result is compressed. A [`ResultChecker`] decodes what passes without keeping it, remembers the last
//! bytes, and looks there for an exception in all published forms (see [`crate::exception`]) once the result ends.
//!
//! | compression | what is checked |
//! | --- | --- |
//! | none | the last bytes |
//! | ClickHouse's compressed blocks (`compress=1`) | blocks and their checksums |
//! | an HTTP content coding | the decoder's output |
//! | both | the decoder's output, as blocks |

use crate::block::{BlockError, BlockStream};
use crate::coding::{Coding, Decoder};
use crate::exception::{find_in_last_lines, find_json_key, find_tagged, Exception};
use crate::tail::TailBuffer;
use std::io;

/// Why a result can't be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResultError {
    /// The engine reports an exception behind the rows.
    #[error(transparent)]
    Exception(Exception),
    /// A compressed block is invalid.
    #[error(transparent)]
    Block(BlockError),
    /// Its content coding can't be decoded.
    #[error("the result's content coding can't be followed: {0}")]
    Coding(String),
    /// It ends in the middle of a compressed block or of its content coding.
    #[error("the result ends in the middle of a compressed block")]
    Truncated,
}

impl From<io::Error> for ResultError {
    fn from(error: io::Error) -> ResultError {
        ResultError::Coding(error.to_string())
    }
}

/// What the response's head, and the query's parameters, say of a result.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResultDescription<'a> {
    /// The result is in ClickHouse's compressed blocks (`compress=1`).
    pub has_blocks: bool,
    /// Its content coding.
    pub coding: Option<Coding>,
    /// `X-ClickHouse-Exception-Tag`: the tag that marks an exception behind the rows.
    pub exception_tag: Option<&'a str>,
    /// `X-ClickHouse-Format`: the format of the rows.
    pub format: Option<&'a str>,
}

/// Checks one result from its first byte to its end.
pub struct ResultChecker {
    layers: Layers,
    exception_tag: Option<String>,
    /// The format is one of JSON's, which report an exception under a key of its own.
    is_json: bool,
}

/// How the rows are compressed: ClickHouse's blocks inside, an HTTP content coding outside.
enum Layers {
    None(TailBuffer),
    Blocks(BlockStream),
    Coding(Box<Decoder<TailBuffer>>),
    CodingAndBlocks(Box<Decoder<BlockWriter>>),
}

/// Blocks inside a content coding. Their first error is kept here, since a writer can only report an I/O error.
#[derive(Default)]
struct BlockWriter {
    blocks: BlockStream,
    error: Option<BlockError>,
}

impl io::Write for BlockWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.error.is_none() {
            self.error = self.blocks.push(bytes).err();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// How the rows end.
struct RowsEnd {
    /// Their last bytes, decompressed.
    tail: Vec<u8>,
    is_truncated: bool,
}

impl Layers {
    fn new(has_blocks: bool, coding: Option<Coding>) -> io::Result<Layers> {
        Ok(match (has_blocks, coding) {
            (false, None) => Layers::None(TailBuffer::default()),
            (true, None) => Layers::Blocks(BlockStream::default()),
            (false, Some(coding)) => {
                Layers::Coding(Box::new(Decoder::new(coding, TailBuffer::default())?))
            }
            (true, Some(coding)) => {
                Layers::CodingAndBlocks(Box::new(Decoder::new(coding, BlockWriter::default())?))
            }
        })
    }

    fn finish(&mut self) -> Result<RowsEnd, ResultError> {
        let (tail, is_truncated) = match self {
            Layers::None(tail) => (tail.bytes().to_vec(), false),
            Layers::Blocks(blocks) => {
                let tail = blocks.tail().map_err(ResultError::Block)?;
                (tail, !blocks.is_at_block_boundary())
            }
            Layers::Coding(decoder) => {
                // First of all: it writes out what the decoder still holds.
                let is_incomplete = decoder.finish().is_err();
                let tail = decoder.get_ref();
                // A result without a byte is no stream of the coding, and ends well.
                (tail.bytes().to_vec(), is_incomplete && tail.written() > 0)
            }
            Layers::CodingAndBlocks(decoder) => {
                let is_incomplete = decoder.finish().is_err();
                let blocks = &decoder.get_ref().blocks;
                let tail = blocks.tail().map_err(ResultError::Block)?;
                (tail, is_incomplete || !blocks.is_at_block_boundary())
            }
        };
        Ok(RowsEnd { tail, is_truncated })
    }
}

impl ResultChecker {
    /// A checker for a result of this description.
    ///
    /// # Errors
    ///
    /// [`ResultError::Coding`] where there can be no decoder.
    pub fn new(result: &ResultDescription<'_>) -> Result<ResultChecker, ResultError> {
        Ok(ResultChecker {
            layers: Layers::new(result.has_blocks, result.coding)?,
            exception_tag: result.exception_tag.map(String::from),
            is_json: result.format.is_some_and(|f| f.starts_with("JSON")),
        })
    }

    /// Takes the next bytes of the result.
    ///
    /// # Errors
    ///
    /// What is wrong with the result, whatever comes next.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ResultError> {
        match &mut self.layers {
            Layers::None(tail) => tail.push(bytes),
            Layers::Blocks(blocks) => {
                if let Err(error) = blocks.push(bytes) {
                    // An interrupted server may write plain text where a block should begin.
                    let text = blocks.incomplete().to_vec();
                    let exception = self.find_exception(&text, true);
                    return Err(exception.map_or(ResultError::Block(error), ResultError::Exception));
                }
            }
            Layers::Coding(decoder) => decoder.push(bytes)?,
            Layers::CodingAndBlocks(decoder) => {
                decoder.push(bytes)?;
                if let Some(error) = decoder.get_ref().error {
                    return Err(ResultError::Block(error));
                }
            }
        }
        Ok(())
    }

    /// Ends the result. `is_cut`: its connection ended before the body did.
    ///
    /// # Errors
    ///
    /// What is wrong with the result as a whole: an exception behind its rows, or an end in the middle of a block or
    /// of its content coding.
    pub fn finish(&mut self, is_cut: bool) -> Result<(), ResultError> {
        let end = self.layers.finish()?;
        match self.find_exception(&end.tail, is_cut) {
            Some(exception) => Err(ResultError::Exception(exception)),
            None if end.is_truncated => Err(ResultError::Truncated),
            None => Ok(()),
        }
    }

    /// Looks for an exception in the last bytes: by its tag where one was announced, else by its form; then under
    /// JSON's key.
    fn find_exception(&self, tail: &[u8], is_cut: bool) -> Option<Exception> {
        let exception = match &self.exception_tag {
            Some(tag) => find_tagged(tail, tag),
            None => find_in_last_lines(tail, is_cut),
        };
        exception.or_else(|| self.is_json.then(|| find_json_key(tail)).flatten())
    }
}
