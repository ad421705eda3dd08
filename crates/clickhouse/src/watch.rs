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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::block::{self, Method};
    use crate::coding::pack;
    use crate::exception::marker;

    const WORDS: &str = "Code: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)";

    /// Every way to pack a result, and its watch.
    fn ways(
        plain: &str,
        tag: Option<&str>,
        format: Option<&str>,
    ) -> Vec<(&'static str, Vec<u8>, Watch)> {
        let frames = |text: &str| -> Vec<u8> {
            let (a, b) = text.as_bytes().split_at(text.len() / 2);
            [block::pack(Method::Lz4, a), block::pack(Method::Zstd, b)].concat()
        };
        let gzip = |bytes: &[u8]| pack(Coding::Gzip, bytes).expect("packs");
        let watch = |frames, coding| Watch::new(frames, coding, tag, format).expect("a decoder");
        vec![
            ("plain", plain.into(), watch(false, None)),
            ("frames", frames(plain), watch(true, None)),
            (
                "gzip",
                gzip(plain.as_bytes()),
                watch(false, Some(Coding::Gzip)),
            ),
            (
                "both",
                gzip(&frames(plain)),
                watch(true, Some(Coding::Gzip)),
            ),
        ]
    }

    fn run(watch: &mut Watch, bytes: &[u8], cut: bool) -> Result<(), Fault> {
        bytes.chunks(50).try_for_each(|p| watch.push(p))?;
        watch.end(cut)
    }

    #[test]
    fn an_error_behind_the_rows_is_found_in_all_three_forms_however_packed() {
        for rows in [1, 400] {
            let rows = "1\ta\n".repeat(rows);
            each_form(&rows);
        }
    }

    fn each_form(rows: &str) {
        let json = format!("{{\"data\":[[1]],\"rows\":1,\"exception\":\"{WORDS}\"}}\n");
        let tagged = rows.to_string() + &marker("tag", WORDS);
        let lines = format!("{rows}{WORDS}\n");
        for (text, tag, format) in [
            (&tagged, Some("tag"), None),
            (&lines, None, None),
            (&json, None, Some("JSONCompact")),
        ] {
            for (way, bytes, mut watch) in ways(text, tag, format) {
                let found = run(&mut watch, &bytes, false);
                let code = |f: Fault| {
                    if let Fault::Exception(e) = f {
                        e.code
                    } else {
                        0
                    }
                };
                assert_eq!(found.map_err(code), Err(241), "{way}, {tag:?}, {format:?}");
            }
        }
    }

    #[test]
    fn a_good_result_passes_whatever_its_rows_say() {
        // Rows that hold an exception's words, and more rows.
        let rows = format!("{WORDS}\tin a log\n2\tb\n{{\"exception\":\"{WORDS}\"}}\n3\tc\n");
        for tag in [None, Some("tag")] {
            for (way, bytes, mut watch) in ways(&rows, tag, Some("JSONEachRow")) {
                assert_eq!(run(&mut watch, &bytes, false), Ok(()), "{way}, {tag:?}");
            }
        }
    }

    #[test]
    fn a_cut_or_spoilt_stream_of_blocks_is_told() {
        let rows = "1\ta\n".repeat(4000);
        for (way, bytes, mut watch) in ways(&rows, None, None).into_iter().skip(1) {
            assert!(
                run(&mut watch, &bytes[..bytes.len() - 5], true).is_err(),
                "{way} cut"
            );
        }
        let (_, mut bytes, mut watch) = ways(&rows, None, None).remove(1);
        let at = bytes.len() - 3;
        bytes[at] ^= 1;
        assert_eq!(
            run(&mut watch, &bytes, false),
            Err(Fault::Frame(FrameError::Checksum))
        );
    }

    #[test]
    fn plain_words_between_compressed_blocks_are_the_engine_s() {
        let mut watch = Watch::new(true, None, None, None).expect("a decoder");
        let bytes = [block::pack(Method::Lz4, b"1\n"), WORDS.into()].concat();
        assert!(matches!(watch.push(&bytes), Err(Fault::Exception(e)) if e.code == 241));
    }
}
