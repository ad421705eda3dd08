//! HTTP's content codings: what a result is packed with on its way, followed without keeping it.

use std::io::{self, Write};

/// A content coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coding {
    /// `gzip`
    Gzip,
    /// `deflate` (with zlib's head)
    Deflate,
    /// `br`
    Brotli,
    /// `zstd`
    Zstd,
    /// `lz4` (the frame format)
    Lz4,
}

const NAMES: [(Coding, &str); 5] = [
    (Coding::Gzip, "gzip"),
    (Coding::Deflate, "deflate"),
    (Coding::Brotli, "br"),
    (Coding::Zstd, "zstd"),
    (Coding::Lz4, "lz4"),
];
/// Largest window that is followed, as a power of two: what holds more memory for one result is turned away.
const MAX_WINDOW_LOG: u32 = 23;

impl Coding {
    /// By the name in a header; `None` for `identity` and for none that is known.
    pub fn of(name: &str) -> Option<Coding> {
        let name = name.trim();
        NAMES
            .iter()
            .find(|n| n.1.eq_ignore_ascii_case(name))
            .map(|n| n.0)
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        NAMES.iter().find(|n| n.0 == self).map_or("", |n| n.1)
    }

    /// The one that a server would choose by `Accept-Encoding`, in the order of its own liking (br, zstd, gzip, ...
    /// as published); qualities are not weighed, but 0 bars one.
    pub fn negotiate(accept: &str) -> Option<Coding> {
        let told = |coding: Coding| {
            accept.split(',').any(|each| {
                let (name, rest) = each.split_once(';').unwrap_or((each, ""));
                let quality = rest
                    .trim()
                    .strip_prefix("q=")
                    .and_then(|q| q.trim().parse::<f64>().ok());
                Coding::of(name) == Some(coding) && quality != Some(0.0)
            })
        };
        [
            Coding::Brotli,
            Coding::Lz4,
            Coding::Zstd,
            Coding::Gzip,
            Coding::Deflate,
        ]
        .into_iter()
        .find(|&c| told(c))
    }
}

/// Packs all of it.
pub fn pack(coding: Coding, data: &[u8]) -> io::Result<Vec<u8>> {
    match coding {
        Coding::Gzip => {
            let mut out = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
            out.write_all(data)?;
            out.finish()
        }
        Coding::Deflate => {
            let mut out = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::fast());
            out.write_all(data)?;
            out.finish()
        }
        Coding::Brotli => {
            let mut out = Vec::new();
            brotli::CompressorWriter::new(&mut out, 4096, 3, 18).write_all(data)?;
            Ok(out)
        }
        Coding::Zstd => zstd::encode_all(data, 1),
        Coding::Lz4 => {
            let mut out = lz4_flex::frame::FrameEncoder::new(Vec::new());
            out.write_all(data)?;
            out.finish().map_err(io::Error::other)
        }
    }
}

/// Unpacks a stream as it comes; what it held goes to a writer of the caller's.
pub struct Unpacker<W: Write>(Kind<W>);

enum Kind<W: Write> {
    Gzip(flate2::write::MultiGzDecoder<W>),
    Deflate(flate2::write::ZlibDecoder<W>),
    Brotli(Box<brotli::DecompressorWriter<W>>),
    Zstd(Box<zstd::stream::write::Decoder<'static, W>>),
    Lz4(Lz4<W>),
}

impl<W: Write> Unpacker<W> {
    /// One for a stream of this coding.
    pub fn new(coding: Coding, to: W) -> io::Result<Unpacker<W>> {
        Ok(Unpacker(match coding {
            Coding::Gzip => Kind::Gzip(flate2::write::MultiGzDecoder::new(to)),
            Coding::Deflate => Kind::Deflate(flate2::write::ZlibDecoder::new(to)),
            Coding::Brotli => Kind::Brotli(Box::new(brotli::DecompressorWriter::new(to, 4096))),
            Coding::Zstd => {
                let mut decoder = zstd::stream::write::Decoder::new(to)?;
                decoder.window_log_max(MAX_WINDOW_LOG)?;
                Kind::Zstd(Box::new(decoder))
            }
            Coding::Lz4 => Kind::Lz4(Lz4::new(to)),
        }))
    }

    /// Takes bytes; an error is for good.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Kind::Gzip(d) => d.write_all(bytes),
            Kind::Deflate(d) => d.write_all(bytes),
            Kind::Brotli(d) => d.write_all(bytes),
            Kind::Zstd(d) => d.write_all(bytes),
            Kind::Lz4(d) => d.push(bytes),
        }
    }

    /// Whether the stream may end here, after what was put out so far has been flushed.
    pub fn may_end(&mut self) -> io::Result<()> {
        match &mut self.0 {
            Kind::Gzip(d) => d.try_finish(),
            Kind::Deflate(d) => d.try_finish(),
            Kind::Brotli(d) => d.close(),
            Kind::Zstd(d) => d.flush(),
            Kind::Lz4(d) => d.may_end(),
        }
    }

    /// The caller's writer.
    pub fn get_ref(&self) -> &W {
        match &self.0 {
            Kind::Gzip(d) => d.get_ref(),
            Kind::Deflate(d) => d.get_ref(),
            Kind::Brotli(d) => d.get_ref(),
            Kind::Zstd(d) => d.get_ref(),
            Kind::Lz4(d) => &d.to,
        }
    }
}

/// The LZ4 frame format, read as it comes: the library's own reader pulls from its source and can't wait for more.
/// Blocks are unpacked by the library. Checksums of blocks and content are passed over, since HTTP carries its own.
struct Lz4<W: Write> {
    to: W,
    held: Vec<u8>,
    state: Lz4State,
    linked: bool,
    sums: (bool, bool),
    block_most: usize,
    /// The last 64 KB put out: blocks that are linked refer to them.
    window: Vec<u8>,
}

#[derive(Clone, Copy, PartialEq)]
enum Lz4State {
    Head,
    Size,
    Block(usize, bool),
    Trailer,
    Over,
}

const LZ4_MAGIC: [u8; 4] = [0x04, 0x22, 0x4d, 0x18];
const LZ4_WINDOW_BYTES: usize = 64 * 1024;

impl<W: Write> Lz4<W> {
    fn new(to: W) -> Lz4<W> {
        let (held, window) = (Vec::new(), Vec::new());
        Lz4 {
            to,
            held,
            state: Lz4State::Head,
            linked: false,
            sums: (false, false),
            block_most: 0,
            window,
        }
    }

    fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.held.extend_from_slice(bytes);
        let held = std::mem::take(&mut self.held);
        let mut at = 0;
        loop {
            match self.step(&held[at..])? {
                0 => break,
                n => at += n,
            }
        }
        self.held = held;
        self.held.drain(..at);
        Ok(())
    }

    /// Takes one thing off these bytes; 0 if it is not whole yet.
    fn step(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let bad = |what: &str| {
            Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("lz4: {what}"),
            ))
        };
        let word = |at: usize| {
            bytes
                .get(at..at + 4)
                .map(|w| u32::from_le_bytes([w[0], w[1], w[2], w[3]]))
        };
        match self.state {
            Lz4State::Over if bytes.is_empty() => Ok(0),
            // A stream may be several frames.
            Lz4State::Head | Lz4State::Over => {
                let Some(&[flags, block]) = bytes.get(4..6) else {
                    return Ok(0);
                };
                if bytes[..4] != LZ4_MAGIC || flags >> 6 != 1 {
                    return bad("no frame");
                }
                let length =
                    7 + if flags & 8 != 0 { 8 } else { 0 } + if flags & 1 != 0 { 4 } else { 0 };
                if bytes.len() < length {
                    return Ok(0);
                }
                self.block_most = match (block >> 4) & 7 {
                    size @ 4..=7 => 1 << (8 + 2 * size),
                    _ => return bad("a block size that there is not"),
                };
                (self.linked, self.sums) = (flags & 0x20 == 0, (flags & 0x10 != 0, flags & 4 != 0));
                self.window.clear();
                self.state = Lz4State::Size;
                Ok(length)
            }
            Lz4State::Size => {
                let Some(size) = word(0) else { return Ok(0) };
                self.state = match size {
                    0 if self.sums.1 => Lz4State::Trailer,
                    0 => Lz4State::Over,
                    size => {
                        let (plain, size) = (size >> 31 == 1, (size & 0x7fff_ffff) as usize);
                        if size > self.block_most {
                            return bad("a block over its frame's size");
                        }
                        Lz4State::Block(size, plain)
                    }
                };
                Ok(4)
            }
            Lz4State::Block(size, plain) => {
                let whole = size + if self.sums.0 { 4 } else { 0 };
                let Some(data) = bytes.get(..whole).map(|b| &b[..size]) else {
                    return Ok(0);
                };
                let unpacked;
                let out: &[u8] = if plain {
                    data
                } else {
                    let window = if self.linked { &self.window[..] } else { &[] };
                    let done = lz4_flex::block::decompress_with_dict(data, self.block_most, window);
                    unpacked = match done {
                        Ok(out) => out,
                        Err(e) => return bad(&e.to_string()),
                    };
                    &unpacked
                };
                self.to.write_all(out)?;
                if self.linked {
                    self.window.extend_from_slice(out);
                    let over = self.window.len().saturating_sub(LZ4_WINDOW_BYTES);
                    self.window.drain(..over);
                }
                self.state = Lz4State::Size;
                Ok(whole)
            }
            Lz4State::Trailer if bytes.len() < 4 => Ok(0),
            Lz4State::Trailer => {
                self.state = Lz4State::Over;
                Ok(4)
            }
        }
    }

    fn may_end(&self) -> io::Result<()> {
        if self.state == Lz4State::Over && self.held.is_empty() {
            return Ok(());
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

/// A writer that keeps the last bytes only.
#[derive(Default)]
pub struct Tail {
    bytes: Vec<u8>,
    /// Bytes ever written.
    pub total: u64,
}

/// Bytes that a [`Tail`] holds at least, once so many were written.
pub const TAIL_BYTES: usize = crate::exception::MAX_TEXT_BYTES + 2 * 1024;

impl Tail {
    /// The last bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.bytes.len().saturating_sub(TAIL_BYTES)..]
    }

    /// Takes bytes behind the others.
    pub fn push(&mut self, bytes: &[u8]) {
        self.total += bytes.len() as u64;
        let bytes = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        // Moved only now and then, so that small writes stay cheap.
        if self.bytes.len() + bytes.len() > 2 * TAIL_BYTES {
            let keep = TAIL_BYTES.saturating_sub(bytes.len()).min(self.bytes.len());
            self.bytes.drain(..self.bytes.len() - keep);
        }
        self.bytes.extend_from_slice(bytes);
    }
}

impl Write for Tail {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.push(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The beginning of a packed body, as far as the bytes that there are go; at most `most` bytes of it.
pub fn beginning(coding: Coding, packed: &[u8], most: usize) -> Vec<u8> {
    struct First(Vec<u8>, usize);
    impl Write for First {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let room = self.1 - self.0.len();
            if room == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            let n = bytes.len().min(room);
            self.0.extend_from_slice(&bytes[..n]);
            Ok(n)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let Ok(mut unpacker) = Unpacker::new(coding, First(Vec::new(), most)) else {
        return Vec::new();
    };
    // In small pieces: what comes before a fault still counts.
    for piece in packed.chunks(512) {
        if unpacker.push(piece).is_err() {
            break;
        }
    }
    let _ = unpacker.may_end();
    unpacker.get_ref().0.clone()
}
