//! Incremental decoding of content codings.

use super::lz4_frame::Lz4FrameDecoder;
use super::{Coding, BROTLI_BUFFER_BYTES};
use std::io::{self, Write};

/// Maximum zstd window size, as a power of two; it limits the memory used per result.
const ZSTD_MAX_WINDOW_LOG: u32 = 23;

/// Decodes a stream incrementally and writes the output to the caller's writer.
pub struct Decoder<W: Write>(Kind<W>);

enum Kind<W: Write> {
    Gzip(flate2::write::MultiGzDecoder<W>),
    Deflate(flate2::write::ZlibDecoder<W>),
    Brotli(Box<brotli::DecompressorWriter<W>>),
    Zstd(Box<zstd::stream::write::Decoder<'static, W>>),
    Lz4(Lz4FrameDecoder<W>),
}

impl<W: Write> Decoder<W> {
    /// Creates a decoder for this coding.
    ///
    /// # Errors
    ///
    /// If the library can't create a decoder.
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

    /// Decodes the next bytes; the stream may be split at any byte.
    ///
    /// # Errors
    ///
    /// If the stream is invalid or the writer fails. The decoder can't be used any further.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Kind::Gzip(decoder) => decoder.write_all(bytes),
            Kind::Deflate(decoder) => decoder.write_all(bytes),
            Kind::Brotli(decoder) => decoder.write_all(bytes),
            Kind::Zstd(decoder) => decoder.write_all(bytes),
            Kind::Lz4(decoder) => decoder.push(bytes),
        }
    }

    /// Flushes the decoder and checks that the stream is complete.
    ///
    /// # Errors
    ///
    /// If the stream is incomplete.
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

/// Number of input bytes decoded at a time, so that output before an error is kept.
const PREFIX_STEP_BYTES: usize = 512;

/// The start of a decoded body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedStart {
    /// The decoded bytes.
    pub bytes: Vec<u8>,
    /// Whether all of `compressed` was decoded without an error.
    pub is_complete: bool,
}

/// Decodes the start of a compressed body: at most `max_bytes` of output, up to the end of `compressed` or an error.
pub fn decompress_start(coding: Coding, compressed: &[u8], max_bytes: usize) -> DecodedStart {
    let buffer = BoundedBuffer {
        bytes: Vec::new(),
        max_bytes,
    };
    let Ok(mut decoder) = Decoder::new(coding, buffer) else {
        return DecodedStart {
            bytes: Vec::new(),
            is_complete: false,
        };
    };
    let mut steps = compressed.chunks(PREFIX_STEP_BYTES);
    let has_decoded_all = steps.all(|step| decoder.push(step).is_ok());
    // The stream is often incomplete, which is no error here; the call flushes the decoder.
    let is_complete = decoder.finish().is_ok() && has_decoded_all;
    DecodedStart {
        bytes: decoder.get_ref().bytes.clone(),
        is_complete,
    }
}

/// The bytes of [`decompress_start`].
pub fn decompress_prefix(coding: Coding, compressed: &[u8], max_bytes: usize) -> Vec<u8> {
    decompress_start(coding, compressed, max_bytes).bytes
}

/// A writer that fails once it holds `max_bytes`.
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
