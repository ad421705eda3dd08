//! Decodes a content coding as its bytes arrive.

use super::lz4_frame::Lz4FrameDecoder;
use super::{Coding, BROTLI_BUFFER_BYTES};
use std::io::{self, Write};

/// Largest zstd window accepted, as a power of two: it bounds the memory that one result takes.
const ZSTD_MAX_WINDOW_LOG: u32 = 23;

/// Decodes a stream as it arrives, and writes its content to a writer of the caller's.
pub struct Decoder<W: Write>(Kind<W>);

enum Kind<W: Write> {
    Gzip(flate2::write::MultiGzDecoder<W>),
    Deflate(flate2::write::ZlibDecoder<W>),
    Brotli(Box<brotli::DecompressorWriter<W>>),
    Zstd(Box<zstd::stream::write::Decoder<'static, W>>),
    Lz4(Lz4FrameDecoder<W>),
}

impl<W: Write> Decoder<W> {
    /// A decoder for a stream of this coding.
    ///
    /// # Errors
    ///
    /// The library's error where it can't make one.
    pub fn new(coding: Coding, writer: W) -> io::Result<Decoder<W>> {
        let kind = match coding {
            Coding::Gzip => Kind::Gzip(flate2::write::MultiGzDecoder::new(writer)),
            Coding::Deflate => Kind::Deflate(flate2::write::ZlibDecoder::new(writer)),
            Coding::Brotli => {
                let decoder = brotli::DecompressorWriter::new(writer, BROTLI_BUFFER_BYTES);
                Kind::Brotli(Box::new(decoder))
            }
            Coding::Zstd => {
                let mut decoder = zstd::stream::write::Decoder::new(writer)?;
                decoder.window_log_max(ZSTD_MAX_WINDOW_LOG)?;
                Kind::Zstd(Box::new(decoder))
            }
            Coding::Lz4 => Kind::Lz4(Lz4FrameDecoder::new(writer)),
        };
        Ok(Decoder(kind))
    }

    /// Decodes the next bytes, however fragmented.
    ///
    /// # Errors
    ///
    /// What is wrong with the stream, or the writer's error. The decoder is of no further use.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Kind::Gzip(decoder) => decoder.write_all(bytes),
            Kind::Deflate(decoder) => decoder.write_all(bytes),
            Kind::Brotli(decoder) => decoder.write_all(bytes),
            Kind::Zstd(decoder) => decoder.write_all(bytes),
            Kind::Lz4(decoder) => decoder.push(bytes),
        }
    }

    /// Writes out what the decoder still holds, and checks that the stream may end here.
    ///
    /// # Errors
    ///
    /// Where the stream is incomplete.
    pub fn finish(&mut self) -> io::Result<()> {
        match &mut self.0 {
            Kind::Gzip(decoder) => decoder.try_finish(),
            Kind::Deflate(decoder) => decoder.try_finish(),
            Kind::Brotli(decoder) => decoder.close(),
            Kind::Zstd(decoder) => decoder.flush(),
            Kind::Lz4(decoder) => decoder.check_complete(),
        }
    }

    /// The caller's writer.
    pub fn get_ref(&self) -> &W {
        match &self.0 {
            Kind::Gzip(decoder) => decoder.get_ref(),
            Kind::Deflate(decoder) => decoder.get_ref(),
            Kind::Brotli(decoder) => decoder.get_ref(),
            Kind::Zstd(decoder) => decoder.get_ref(),
            Kind::Lz4(decoder) => decoder.get_ref(),
        }
    }
}

/// Bytes decoded at a time, so that what precedes a fault still counts.
const PREFIX_STEP_BYTES: usize = 512;

/// The beginning of a compressed body: at most `max_bytes` of its content, as far as `compressed` goes and is valid.
pub fn decompress_prefix(coding: Coding, compressed: &[u8], max_bytes: usize) -> Vec<u8> {
    let buffer = BoundedBuffer {
        bytes: Vec::new(),
        max_bytes,
    };
    let Ok(mut decoder) = Decoder::new(coding, buffer) else {
        return Vec::new();
    };
    for step in compressed.chunks(PREFIX_STEP_BYTES) {
        if decoder.push(step).is_err() {
            break;
        }
    }
    // An incomplete stream is what is expected here; the call writes out what the decoder holds.
    let _ = decoder.finish();
    decoder.get_ref().bytes.clone()
}

/// A writer that fails once it is full.
struct BoundedBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl Write for BoundedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let room = self.max_bytes - self.bytes.len();
        if room == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        let written = bytes.len().min(room);
        self.bytes.extend_from_slice(&bytes[..written]);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
