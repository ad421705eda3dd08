//! ClickHouse's own compression: a stream of frames, each with its checksum.
//!
//! A frame is 16 bytes of CityHash128 (v1.0.2, low half first) over what follows; a byte for the method; its size
//! from that byte on and the size of what it holds, both `u32` little endian; then the data. Source: the published
//! description of the native protocol's compression.

use crate::coding::{Tail, TAIL_BYTES};
use crate::exception::MAX_TEXT_BYTES;
use std::collections::VecDeque;
use std::fmt;

/// Bytes of checksum, and of the head that it covers.
const CHECKSUM_BYTES: usize = 16;
const HEAD_BYTES: usize = 9;
/// Largest frame, packed or not: servers make frames of 1 MiB at most, and 1 GiB is their own limit on reading.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// How a frame is packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Not at all.
    None,
    /// LZ4, one block.
    Lz4,
    /// ZSTD.
    Zstd,
}

impl Method {
    fn byte(self) -> u8 {
        match self {
            Method::None => 0x02,
            Method::Lz4 => 0x82,
            Method::Zstd => 0x90,
        }
    }
    fn of(byte: u8) -> Option<Method> {
        [Method::None, Method::Lz4, Method::Zstd]
            .into_iter()
            .find(|m| m.byte() == byte)
    }
}

/// What is wrong with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Its method is none that is known, or its sizes can't be: no frame begins here.
    NoFrame,
    /// Its checksum does not fit what it holds.
    Checksum,
    /// It can't be unpacked, or to another size than it says.
    Content,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::NoFrame => "no compressed block begins where one should",
            FrameError::Checksum => "a compressed block's checksum does not fit",
            FrameError::Content => "a compressed block can't be unpacked",
        })
    }
}

impl std::error::Error for FrameError {}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    cityhash_rs::cityhash_102_128(bytes)
        .rotate_right(64)
        .to_le_bytes()
}

fn u32_at(bytes: &[u8], at: usize) -> usize {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]) as usize
}

/// The whole size of the frame that these bytes begin, once its head is there.
fn size(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(head) = bytes.get(CHECKSUM_BYTES..CHECKSUM_BYTES + HEAD_BYTES) else {
        return Ok(None);
    };
    let (packed, plain) = (u32_at(head, 1), u32_at(head, 5));
    let fits = (HEAD_BYTES..=MAX_FRAME_BYTES).contains(&packed) && plain <= MAX_FRAME_BYTES;
    match Method::of(head[0]) {
        Some(_) if fits => Ok(Some(CHECKSUM_BYTES + packed)),
        _ => Err(FrameError::NoFrame),
    }
}

/// The frame that these bytes begin with, once it is whole.
pub fn first(bytes: &[u8]) -> Result<Option<&[u8]>, FrameError> {
    Ok(size(bytes)?.and_then(|size| bytes.get(..size)))
}

/// What the whole frames at the beginning of these bytes hold, until that is `most` bytes or more; and how many bytes
/// they take.
pub fn unpack_prefix(bytes: &[u8], most: usize) -> Result<(Vec<u8>, usize), FrameError> {
    let (mut out, mut used) = (Vec::new(), 0);
    while out.len() < most {
        let Some(frame) = first(&bytes[used..])? else {
            break;
        };
        out.extend(unpack(frame)?);
        used += frame.len();
    }
    Ok((out, used))
}

/// Checks a whole frame's checksum.
fn check(frame: &[u8]) -> Result<(), FrameError> {
    let (told, rest) = frame
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or(FrameError::NoFrame)?;
    if told == checksum(rest) {
        Ok(())
    } else {
        Err(FrameError::Checksum)
    }
}

/// Unpacks a whole frame.
pub fn unpack(frame: &[u8]) -> Result<Vec<u8>, FrameError> {
    check(frame)?;
    let head = frame
        .get(CHECKSUM_BYTES..CHECKSUM_BYTES + HEAD_BYTES)
        .ok_or(FrameError::NoFrame)?;
    let (plain, data) = (u32_at(head, 5), &frame[CHECKSUM_BYTES + HEAD_BYTES..]);
    if plain > MAX_FRAME_BYTES {
        return Err(FrameError::NoFrame);
    }
    let out = match Method::of(head[0]).ok_or(FrameError::NoFrame)? {
        Method::None => data.to_vec(),
        Method::Lz4 => lz4_flex::block::decompress(data, plain).map_err(|_| FrameError::Content)?,
        Method::Zstd => zstd::bulk::decompress(data, plain).map_err(|_| FrameError::Content)?,
    };
    if out.len() == plain {
        Ok(out)
    } else {
        Err(FrameError::Content)
    }
}

/// Packs data as one frame; data over [`MAX_FRAME_BYTES`] must be split before.
pub fn pack(method: Method, data: &[u8]) -> Vec<u8> {
    let packed = match method {
        Method::None => data.to_vec(),
        Method::Lz4 => lz4_flex::block::compress(data),
        Method::Zstd => zstd::bulk::compress(data, 1).unwrap_or_default(),
    };
    let mut frame = vec![0; CHECKSUM_BYTES];
    frame.push(method.byte());
    frame.extend(((packed.len() + HEAD_BYTES) as u32).to_le_bytes());
    frame.extend((data.len() as u32).to_le_bytes());
    frame.extend(packed);
    let sum = checksum(&frame[CHECKSUM_BYTES..]);
    frame[..CHECKSUM_BYTES].copy_from_slice(&sum);
    frame
}

/// Follows a stream of frames as its bytes come, in whatever pieces: each frame is checked once it is whole. Held are
/// the one that comes and, of those before, as many as hold the last [`TAIL_BYTES`] bytes between them.
#[derive(Default)]
pub struct Frames {
    /// The frame that is coming.
    frame: Vec<u8>,
    /// The last whole ones, and what each holds unpacked, in bytes.
    last: VecDeque<(usize, Vec<u8>)>,
    /// Frames that were whole and well.
    pub count: u64,
}

/// Most frames held for their last bytes: servers that flush after each few bytes make small ones.
const MAX_LAST_FRAMES: usize = 64;

impl Frames {
    /// Takes bytes. An error is for good: what stands behind a bad frame can't be told apart any more.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), FrameError> {
        while !bytes.is_empty() {
            let wanted = size(&self.frame)?.unwrap_or(CHECKSUM_BYTES + HEAD_BYTES);
            debug_assert!(wanted > self.frame.len());
            let n = bytes.len().min(wanted - self.frame.len());
            self.frame.extend_from_slice(&bytes[..n]);
            bytes = &bytes[n..];
            let whole = size(&self.frame).inspect_err(|_| {
                // What stands here instead may be words, which the caller will want to read.
                self.frame
                    .extend_from_slice(&bytes[..bytes.len().min(MAX_TEXT_BYTES)]);
            })?;
            if whole == Some(self.frame.len()) {
                check(&self.frame)?;
                self.keep();
                self.count += 1;
            }
        }
        Ok(())
    }

    /// The frame is whole: it joins the last ones, and those are let go that the last bytes don't reach.
    fn keep(&mut self) {
        let plain = u32_at(&self.frame, CHECKSUM_BYTES + 5);
        let mut behind = plain;
        let reach = self.last.iter().rev().take_while(|(size, _)| {
            let reached = behind < TAIL_BYTES;
            behind += size;
            reached
        });
        let reach = reach.count().min(MAX_LAST_FRAMES - 1);
        let mut buffer = Vec::new();
        while self.last.len() > reach {
            // Its memory serves the next frame.
            buffer = self.last.pop_front().map(|f| f.1).unwrap_or_default();
        }
        buffer.clear();
        self.last
            .push_back((plain, std::mem::replace(&mut self.frame, buffer)));
    }

    /// Whether the stream may end here: between two frames.
    pub fn may_end(&self) -> bool {
        self.frame.is_empty()
    }

    /// The last bytes of what the whole frames hold; an error if one of them can't be unpacked.
    pub fn tail(&self) -> Result<Vec<u8>, FrameError> {
        let mut tail = Tail::default();
        for (_, frame) in &self.last {
            tail.push(&unpack(frame)?);
        }
        Ok(tail.bytes().to_vec())
    }

    /// Bytes that came behind the last whole frame and may be no frame at all: servers that are interrupted may
    /// write plain words there.
    pub fn rest(&self) -> &[u8] {
        &self.frame
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ALL: [Method; 3] = [Method::None, Method::Lz4, Method::Zstd];

    #[test]
    fn what_is_packed_is_unpacked_by_every_method() {
        for method in ALL {
            for data in [
                &b""[..],
                b"a",
                &[7; 70_000],
                &(0..9999u32).flat_map(u32::to_le_bytes).collect::<Vec<_>>(),
            ] {
                assert_eq!(
                    unpack(&pack(method, data)).as_deref(),
                    Ok(data),
                    "{method:?}"
                );
            }
        }
    }

    #[test]
    fn frames_come_in_any_pieces_and_only_the_last_are_held() {
        let stream: Vec<u8> = ALL
            .iter()
            .flat_map(|&m| pack(m, format!("{m:?}").as_bytes()))
            .collect();
        for step in [1, 2, 7, 24, 25, 26, 1000] {
            let mut frames = Frames::default();
            for piece in stream.chunks(step) {
                frames.push(piece).expect("well formed");
            }
            assert_eq!(
                (frames.count, frames.may_end(), frames.tail()),
                (3, true, Ok(b"NoneLz4Zstd".to_vec()))
            );
            frames.push(&stream[..30]).expect("the next begins");
            assert!(!frames.may_end() && frames.rest().len() <= 30);
        }
    }

    #[test]
    fn frames_that_the_last_bytes_do_not_reach_are_let_go() {
        let (large, small) = (
            pack(Method::Lz4, &[b'x'; 3 * TAIL_BYTES]),
            pack(Method::None, b"y"),
        );
        let mut frames = Frames::default();
        for _ in 0..10 {
            frames.push(&large).expect("well formed");
        }
        assert_eq!(frames.last.len(), 1);
        for _ in 0..1000 {
            frames.push(&small).expect("well formed");
        }
        assert_eq!(frames.last.len(), MAX_LAST_FRAMES);
        frames
            .push(&large)
            .and_then(|()| frames.push(&small))
            .expect("well formed");
        assert_eq!(frames.last.len(), 2);
        assert!(frames.tail().expect("well").ends_with(b"xxy"));
    }

    #[test]
    fn any_changed_byte_is_noticed_and_none_panics() {
        let good = pack(Method::Lz4, &[5; 400]);
        for at in 0..good.len() {
            let mut bad = good.clone();
            bad[at] ^= 0x40;
            let mut frames = Frames::default();
            let noticed = frames.push(&bad).is_err() || !frames.may_end();
            assert!(noticed, "byte {at}");
            assert!(unpack(&bad).is_err(), "byte {at}");
        }
        assert_eq!(unpack(b"short"), Err(FrameError::NoFrame));
        let text = b"Code: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)";
        assert_eq!(Frames::default().push(text), Err(FrameError::NoFrame));
    }
}
