//! A result on its way: what passes is looked at, so that an error behind status 200 is never taken for rows.

use crate::block::{FrameError, Frames};
use crate::coding::{Coding, Tail, Unpacker};
use crate::exception::{json_key, last_lines, tagged, Exception};
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
    /// It ends in the middle of something.
    Short,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Exception(e) => e.fmt(f),
            Fault::Frame(e) => e.fmt(f),
            Fault::Coding(why) => write!(f, "the result's content coding can't be followed: {why}"),
            Fault::Short => f.write_str("the result ends in the middle of a compressed block"),
        }
    }
}

impl std::error::Error for Fault {}

/// Follows one result.
pub struct Watch {
    layer: Layer,
    /// The tag that the head told.
    tag: Option<String>,
    /// The format writes an exception as a key of its own.
    json: bool,
}

/// What rows are packed in: an HTTP coding outside, ClickHouse's frames inside, both, or neither.
enum Layer {
    Plain(Tail),
    Frames(Frames),
    Coded(Box<Unpacker<Tail>>),
    Both(Box<Unpacker<Inner>>),
}

/// Frames inside a coding: what is wrong with them is kept, since a writer can say little.
#[derive(Default)]
struct Inner {
    frames: Frames,
    bad: Option<FrameError>,
}

impl std::io::Write for Inner {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.bad.is_none() {
            self.bad = self.frames.push(bytes).err();
        }
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Watch {
    /// A watch on a result: packed in frames (`compress=1`), under a content coding, with a tag and in a format that
    /// the head told. An error where no decoder could be made.
    pub fn new(
        frames: bool,
        coding: Option<Coding>,
        tag: Option<&str>,
        format: Option<&str>,
    ) -> Result<Watch, Fault> {
        let fault = |e: std::io::Error| Fault::Coding(e.to_string());
        let layer = match (frames, coding) {
            (false, None) => Layer::Plain(Tail::default()),
            (true, None) => Layer::Frames(Frames::default()),
            (false, Some(c)) => {
                Layer::Coded(Box::new(Unpacker::new(c, Tail::default()).map_err(fault)?))
            }
            (true, Some(c)) => {
                Layer::Both(Box::new(Unpacker::new(c, Inner::default()).map_err(fault)?))
            }
        };
        let json = format.is_some_and(|f| f.starts_with("JSON"));
        Ok(Watch {
            layer,
            tag: tag.map(String::from),
            json,
        })
    }

    /// Takes bytes of the result; an error is for good.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let coding = |e: std::io::Error| Fault::Coding(e.to_string());
        match &mut self.layer {
            Layer::Plain(tail) => tail.push(bytes),
            Layer::Frames(frames) => {
                if let Err(bad) = frames.push(bytes) {
                    // An interrupted server may write plain words where a frame should begin.
                    let words = frames.rest().to_vec();
                    return Err(self
                        .told(&words, true)
                        .map_or(Fault::Frame(bad), Fault::Exception));
                }
            }
            Layer::Coded(unpacker) => unpacker.push(bytes).map_err(coding)?,
            Layer::Both(unpacker) => {
                unpacker.push(bytes).map_err(coding)?;
                if let Some(bad) = unpacker.get_ref().bad {
                    return Err(Fault::Frame(bad));
                }
            }
        }
        Ok(())
    }

    fn told(&self, tail: &[u8], cut: bool) -> Option<Exception> {
        match &self.tag {
            Some(tag) => tagged(tail, tag).or_else(|| self.json.then(|| json_key(tail)).flatten()),
            None => last_lines(tail, cut).or_else(|| self.json.then(|| json_key(tail)).flatten()),
        }
    }

    /// The result has ended, well or (`cut`) without a proper end: what is wrong with it, if anything is.
    pub fn end(&mut self, cut: bool) -> Result<(), Fault> {
        let (tail, short) = match &mut self.layer {
            Layer::Plain(tail) => (tail.bytes().to_vec(), false),
            Layer::Frames(frames) => (frames.tail().map_err(Fault::Frame)?, !frames.may_end()),
            Layer::Coded(unpacker) => {
                // Asked first: it lets out what the decoder still holds. Nothing at all is no stream, and ends well.
                let short = unpacker.may_end().is_err() && unpacker.get_ref().total > 0;
                (unpacker.get_ref().bytes().to_vec(), short)
            }
            Layer::Both(unpacker) => {
                let short = unpacker.may_end().is_err();
                let frames = &unpacker.get_ref().frames;
                (
                    frames.tail().map_err(Fault::Frame)?,
                    short || !frames.may_end(),
                )
            }
        };
        match self.told(&tail, cut) {
            Some(e) => Err(Fault::Exception(e)),
            None if short => Err(Fault::Short),
            None => Ok(()),
        }
    }
}
