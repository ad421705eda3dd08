//! Checks a result while it is forwarded, so that an error behind status 200 is never taken for rows.
//!
//! An engine that fails after the head was sent writes its exception behind the rows, in a form that depends on what the result is
//! packed in. A [`Watch`] unpacks what passes without keeping it, remembers the last bytes, and looks there for an exception in
//! all published forms (see [`crate::exception`]) once the result ends.
//!
//! | packed in | what is followed |
//! | --- | --- |
//! | nothing | the last bytes |
//! | ClickHouse's compressed blocks (`compress=1`) | blocks and their checksums |
//! | an HTTP content coding | the decoder's output |
//! | both | the decoder's output, as blocks |

use crate::block::{FrameError, Frames};
use crate::coding::{Coding, Tail, Unpacker};
use crate::exception::{find_in_last_lines, find_json_key, find_tagged, Exception};
use std::fmt;

/// Why a result can't be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine says so itself, behind the rows.
    Exception(Exception),
    /// A compressed block is bad.
    Frame(FrameError),
    /// Its content coding can't be followed.
    Coding(String),
    /// It ends in the middle of a compressed block or of its content coding.
    Truncated,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Exception(e) => e.fmt(f),
            Fault::Frame(e) => e.fmt(f),
            Fault::Coding(why) => write!(f, "the result's content coding can't be followed: {why}"),
            Fault::Truncated => f.write_str("the result ends in the middle of a compressed block"),
        }
    }
}

impl std::error::Error for Fault {}

/// Follows one result from its first byte to its end.
pub struct Watch {
    layer: Layer,
    /// The tag that marks an exception, where the response's head announced one.
    exception_tag: Option<String>,
    /// The format is one of JSON's, which write an exception as a key of its own.
    is_json: bool,
}

/// What rows are packed in: an HTTP content coding outside, ClickHouse's compressed blocks inside, both, or neither.
enum Layer {
    Plain(Tail),
    Frames(Frames),
    Coded(Box<Unpacker<Tail>>),
    Both(Box<Unpacker<Inner>>),
}

/// Blocks inside a content coding. The first error is kept here, since the decoder's writer can only report an I/O error.
#[derive(Default)]
struct Inner {
    frames: Frames,
    error: Option<FrameError>,
}

impl std::io::Write for Inner {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.error.is_none() {
            self.error = self.frames.push(bytes).err();
        }
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Watch {
    /// Starts with what the response's head announced. `has_frames`: packed in compressed blocks (`compress=1`); `exception_tag` and
    /// `format`: its header fields of these names.
    ///
    /// # Errors
    ///
    /// [`Fault::Coding`] where no decoder could be made.
    pub fn new(
        has_frames: bool,
        coding: Option<Coding>,
        exception_tag: Option<&str>,
        format: Option<&str>,
    ) -> Result<Watch, Fault> {
        let fault = |e: std::io::Error| Fault::Coding(e.to_string());
        let layer = match (has_frames, coding) {
            (false, None) => Layer::Plain(Tail::default()),
            (true, None) => Layer::Frames(Frames::default()),
            (false, Some(c)) => {
                Layer::Coded(Box::new(Unpacker::new(c, Tail::default()).map_err(fault)?))
            }
            (true, Some(c)) => {
                Layer::Both(Box::new(Unpacker::new(c, Inner::default()).map_err(fault)?))
            }
        };
        Ok(Watch {
            layer,
            exception_tag: exception_tag.map(String::from),
            is_json: format.is_some_and(|f| f.starts_with("JSON")),
        })
    }

    /// Follows the next bytes of the result.
    ///
    /// # Errors
    ///
    /// What is wrong with the result; it stays so, whatever comes next.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let coding = |e: std::io::Error| Fault::Coding(e.to_string());
        match &mut self.layer {
            Layer::Plain(tail) => tail.push(bytes),
            Layer::Frames(frames) => {
                if let Err(bad) = frames.push(bytes) {
                    // An interrupted server may write plain text where a block should begin.
                    let text = frames.rest().to_vec();
                    return Err(self
                        .find_exception(&text, true)
                        .map_or(Fault::Frame(bad), Fault::Exception));
                }
            }
            Layer::Coded(unpacker) => unpacker.push(bytes).map_err(coding)?,
            Layer::Both(unpacker) => {
                unpacker.push(bytes).map_err(coding)?;
                if let Some(error) = unpacker.get_ref().error {
                    return Err(Fault::Frame(error));
                }
            }
        }
        Ok(())
    }

    /// Looks for an exception in the last bytes: by its tag where one was announced, else by its form; then as a key of JSON.
    fn find_exception(&self, tail: &[u8], is_cut: bool) -> Option<Exception> {
        let exception = match &self.exception_tag {
            Some(tag) => find_tagged(tail, tag),
            None => find_in_last_lines(tail, is_cut),
        };
        exception.or_else(|| self.is_json.then(|| find_json_key(tail)).flatten())
    }

    /// Ends the result. `is_cut`: its connection ended before the body did.
    ///
    /// # Errors
    ///
    /// What is wrong with the result as a whole: an exception behind its rows, or an end in the middle of something.
    pub fn end(&mut self, is_cut: bool) -> Result<(), Fault> {
        let (tail, is_truncated) = match &mut self.layer {
            Layer::Plain(tail) => (tail.bytes().to_vec(), false),
            Layer::Frames(frames) => (frames.tail().map_err(Fault::Frame)?, !frames.may_end()),
            Layer::Coded(unpacker) => {
                // Asked first: that flushes what the decoder still holds. No byte at all is no stream, and ends well.
                let is_truncated = unpacker.may_end().is_err() && unpacker.get_ref().total > 0;
                (unpacker.get_ref().bytes().to_vec(), is_truncated)
            }
            Layer::Both(unpacker) => {
                let is_coding_open = unpacker.may_end().is_err();
                let frames = &unpacker.get_ref().frames;
                (
                    frames.tail().map_err(Fault::Frame)?,
                    is_coding_open || !frames.may_end(),
                )
            }
        };
        match self.find_exception(&tail, is_cut) {
            Some(e) => Err(Fault::Exception(e)),
            None if is_truncated => Err(Fault::Truncated),
            None => Ok(()),
        }
    }
}
