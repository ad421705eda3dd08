//! Checks a result while it is forwarded, so that an error sent after status 200 is not mistaken for rows.
//!
//! An engine that fails after it sent the response's head appends an exception to the rows, in a form that depends on
//! how the result is compressed. A [`ResultChecker`] decodes the result, retains only its last bytes, and searches them
//! for an exception in all published forms (see [`crate::exception`]) once the result ends.
//!
//! | compression | what is checked |
//! | --- | --- |
//! | none | the last bytes |
//! | ClickHouse's compressed blocks (`compress=1`) | blocks and their checksums |
//! | an HTTP content coding | the decoder's output |
//! | both | the decoder's output, as blocks |

use crate::block::{BlockError, BlockStream};
use crate::coding::{Coding, Decoder};
use crate::exception::{
    find_after_rows, find_in_last_lines, find_json_key, find_json_line, find_tagged,
    find_xml_element, is_json_lines, Exception, RowEnd,
};
use crate::tail::TailBuffer;
use std::io;

/// Why a result is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResultError {
    /// An exception follows the rows.
    #[error(transparent)]
    Exception(Exception),
    /// A compressed block is invalid.
    #[error(transparent)]
    Block(BlockError),
    /// The content coding can't be decoded.
    #[error("the result's content coding can't be followed: {0}")]
    Coding(String),
    /// The result ends in the middle of a compressed block or of its content coding.
    #[error("the result ends in the middle of a compressed block")]
    Truncated,
}

impl From<io::Error> for ResultError {
    fn from(error: io::Error) -> ResultError {
        ResultError::Coding(error.to_string())
    }
}

/// Properties of a result, known from the response's head and the query's parameters.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResultDescription<'a> {
    /// The result is in ClickHouse's compressed blocks (`compress=1`).
    pub has_blocks: bool,
    /// The content coding.
    pub coding: Option<Coding>,
    /// `X-ClickHouse-Exception-Tag`: the tag that marks an exception after the rows.
    pub exception_tag: Option<&'a str>,
    /// `X-ClickHouse-Format`: the format of the rows.
    pub format: Option<&'a str>,
}

/// Checks one result from its first byte to its end.
pub struct ResultChecker {
    layers: Layers,
    exception_tag: Option<String>,
    row_end: RowEnd,
    report: ReportForm,
}

/// How a format itself reports an exception.
#[derive(Clone, Copy)]
enum ReportForm {
    /// It does not.
    None,
    /// Under the last key of a JSON document.
    JsonKey,
    /// As the last line of JSON values.
    JsonLine,
    /// As the last element of an XML document.
    XmlElement,
}

impl ReportForm {
    fn of_format(name: &str) -> ReportForm {
        match name {
            _ if is_json_lines(name) => ReportForm::JsonLine,
            _ if name.starts_with("JSON") => ReportForm::JsonKey,
            "XML" => ReportForm::XmlElement,
            _ => ReportForm::None,
        }
    }

    fn find(self, end: &[u8]) -> Option<Exception> {
        match self {
            ReportForm::None => None,
            ReportForm::JsonKey => find_json_key(end),
            ReportForm::JsonLine => find_json_line(end),
            ReportForm::XmlElement => find_xml_element(end),
        }
    }
}

/// How the rows are compressed: ClickHouse's blocks as the inner layer, an HTTP content coding as the outer layer.
enum Layers {
    None(TailBuffer),
    Blocks(BlockStream),
    Coding(Box<Decoder<TailBuffer>>),
    CodingAndBlocks(Box<Decoder<BlockWriter>>),
}

/// Blocks inside a content coding. The first block error is stored, since a writer can only return I/O errors.
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

/// The end of the rows.
struct RowsEnd {
    /// The last bytes, decompressed, and the start of a long exception text.
    bytes: Vec<u8>,
    is_truncated: bool,
}

impl Layers {
    fn new(has_blocks: bool, coding: Option<Coding>, row_end: RowEnd) -> io::Result<Layers> {
        Ok(match (has_blocks, coding) {
            (false, None) => Layers::None(TailBuffer::new(row_end)),
            (true, None) => Layers::Blocks(BlockStream::default()),
            (false, Some(coding)) => {
                Layers::Coding(Box::new(Decoder::new(coding, TailBuffer::new(row_end))?))
            }
            (true, Some(coding)) => {
                Layers::CodingAndBlocks(Box::new(Decoder::new(coding, BlockWriter::default())?))
            }
        })
    }

    fn finish(&mut self, row_end: RowEnd) -> Result<RowsEnd, ResultError> {
        let (bytes, is_truncated) = match self {
            Layers::None(tail) => (tail.end(), false),
            Layers::Blocks(blocks) => {
                let end = blocks.end(row_end).map_err(ResultError::Block)?;
                (end, !blocks.is_at_block_boundary())
            }
            Layers::Coding(decoder) => {
                // Must come first, because it flushes the decoder.
                let is_incomplete = decoder.finish().is_err();
                let tail = decoder.get_ref();
                // An empty result is not a valid stream of the coding, but is complete.
                (tail.end(), is_incomplete && tail.written() > 0)
            }
            Layers::CodingAndBlocks(decoder) => {
                let is_incomplete = decoder.finish().is_err();
                let blocks = &decoder.get_ref().blocks;
                let end = blocks.end(row_end).map_err(ResultError::Block)?;
                (end, is_incomplete || !blocks.is_at_block_boundary())
            }
        };
        Ok(RowsEnd {
            bytes,
            is_truncated,
        })
    }
}

impl ResultChecker {
    /// Creates a checker for a result with these properties.
    ///
    /// # Errors
    ///
    /// [`ResultError::Coding`] if the decoder can't be created.
    pub fn new(result: &ResultDescription<'_>) -> Result<ResultChecker, ResultError> {
        let format = result.format.unwrap_or_default();
        let row_end = RowEnd::of_format(format);
        Ok(ResultChecker {
            layers: Layers::new(result.has_blocks, result.coding, row_end)?,
            exception_tag: result.exception_tag.map(String::from),
            row_end,
            report: ReportForm::of_format(format),
        })
    }

    /// Processes the next bytes of the result.
    ///
    /// # Errors
    ///
    /// If the result is invalid, regardless of the bytes that follow.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ResultError> {
        match &mut self.layers {
            Layers::None(tail) => tail.push(bytes),
            Layers::Blocks(blocks) => {
                if let Err(error) = blocks.push(bytes) {
                    // An interrupted server may write plain text in place of a block.
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

    /// Ends the result. `is_cut` says that the connection closed before the end of the body.
    ///
    /// # Errors
    ///
    /// If an exception follows the rows, or the result ends in the middle of a block or of its content coding.
    pub fn finish(&mut self, is_cut: bool) -> Result<(), ResultError> {
        let end = self.layers.finish(self.row_end)?;
        match self.find_exception(&end.bytes, is_cut) {
            Some(exception) => Err(ResultError::Exception(exception)),
            None if end.is_truncated => Err(ResultError::Truncated),
            None => Ok(()),
        }
    }

    /// Searches the end of the rows for an exception: by its tag if the response's head has one, otherwise by its form; and
    /// then where the format reports one.
    fn find_exception(&self, end: &[u8], is_cut: bool) -> Option<Exception> {
        let exception = match (&self.exception_tag, self.row_end) {
            (Some(tag), _) => find_tagged(end, tag),
            (None, RowEnd::LineFeed) => find_in_last_lines(end, is_cut),
            (None, RowEnd::NoLineFeed) => find_after_rows(end, is_cut),
        };
        exception.or_else(|| self.report.find(end))
    }
}
