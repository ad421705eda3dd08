//! Encodes the body of a result: compressed blocks, content coding and chunks.

use driftfront_clickhouse::block::{self, Method};
use driftfront_clickhouse::coding::Coding;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};

/// Buffered bytes at which a block is written.
const BLOCK_BYTES: usize = 64 * 1024;
/// XORed with the last byte of a corrupted block.
const CORRUPTION: u8 = 0x55;

/// Writes chunks. The last chunk is written only by `finish`.
pub(in super::super) struct Chunks {
    stream: TcpStream,
    /// Whether the body is not chunked and ends with the connection.
    is_plain: bool,
}

impl Chunks {
    pub(in super::super) fn new(stream: TcpStream, is_plain: bool) -> Chunks {
        Chunks { stream, is_plain }
    }

    /// Writes the end of the body.
    pub(in super::super) fn finish(mut self) -> io::Result<()> {
        if self.is_plain {
            return self.stream.shutdown(Shutdown::Write);
        }
        self.stream.write_all(driftfront_http::LAST_CHUNK)
    }
}

impl Write for Chunks {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_plain {
            self.stream.write_all(bytes)?;
        } else {
            self.stream.write_all(&driftfront_http::chunk(bytes))?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The content coding, which writes to the chunks.
enum CodingLayer {
    Plain(Chunks),
    Gzip(flate2::write::GzEncoder<Chunks>),
    Deflate(flate2::write::ZlibEncoder<Chunks>),
    Zstd(zstd::stream::write::Encoder<'static, Chunks>),
    Brotli(Box<brotli::CompressorWriter<Chunks>>),
    Lz4(Box<lz4_flex::frame::FrameEncoder<Chunks>>),
}

impl CodingLayer {
    fn new(chunks: Chunks, coding: Option<Coding>) -> io::Result<CodingLayer> {
        let fast = flate2::Compression::fast();
        Ok(match coding {
            None => CodingLayer::Plain(chunks),
            Some(Coding::Gzip) => CodingLayer::Gzip(flate2::write::GzEncoder::new(chunks, fast)),
            Some(Coding::Deflate) => {
                CodingLayer::Deflate(flate2::write::ZlibEncoder::new(chunks, fast))
            }
            Some(Coding::Zstd) => CodingLayer::Zstd(zstd::stream::write::Encoder::new(chunks, 1)?),
            Some(Coding::Brotli) => {
                let encoder = brotli::CompressorWriter::new(chunks, 4096, 2, 18);
                CodingLayer::Brotli(Box::new(encoder))
            }
            Some(Coding::Lz4) => {
                CodingLayer::Lz4(Box::new(lz4_flex::frame::FrameEncoder::new(chunks)))
            }
        })
    }

    fn writer(&mut self) -> &mut dyn Write {
        match self {
            CodingLayer::Plain(writer) => writer,
            CodingLayer::Gzip(writer) => writer,
            CodingLayer::Deflate(writer) => writer,
            CodingLayer::Zstd(writer) => writer,
            CodingLayer::Brotli(writer) => writer,
            CodingLayer::Lz4(writer) => writer,
        }
    }

    /// Finishes the coding, but not the chunks.
    fn finish(self) -> io::Result<Chunks> {
        match self {
            CodingLayer::Plain(chunks) => Ok(chunks),
            CodingLayer::Gzip(writer) => writer.finish(),
            CodingLayer::Deflate(writer) => writer.finish(),
            CodingLayer::Zstd(writer) => writer.finish(),
            CodingLayer::Brotli(writer) => Ok(writer.into_inner()),
            CodingLayer::Lz4(writer) => writer.finish().map_err(io::Error::other),
        }
    }
}

/// The body of a result.
pub(in super::super) struct Body {
    coding: CodingLayer,
    /// The compression method of blocks; `None` if the body is not in compressed blocks.
    block_method: Option<Method>,
    buffer: Vec<u8>,
    /// Whether the next block is corrupted.
    pub(in super::super) corrupts_next_block: bool,
}

impl Body {
    pub(in super::super) fn new(
        chunks: Chunks,
        coding: Option<Coding>,
        block_method: Option<Method>,
    ) -> io::Result<Body> {
        Ok(Body {
            coding: CodingLayer::new(chunks, coding)?,
            block_method,
            buffer: Vec::new(),
            corrupts_next_block: false,
        })
    }

    /// Adds bytes to the buffer, and writes it as a block if it is full.
    pub(in super::super) fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() >= BLOCK_BYTES {
            self.write_block()?;
        }
        Ok(())
    }

    /// Writes the buffer as one block.
    fn write_block(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let mut bytes = std::mem::take(&mut self.buffer);
        if let Some(method) = self.block_method {
            bytes = block::compress(method, &bytes);
            if std::mem::take(&mut self.corrupts_next_block) {
                if let Some(last) = bytes.last_mut() {
                    *last ^= CORRUPTION;
                }
            }
        }
        self.coding.writer().write_all(&bytes)
    }

    /// Writes all buffered bytes to the connection.
    pub(in super::super) fn flush(&mut self) -> io::Result<()> {
        self.write_block()?;
        self.coding.writer().flush()
    }

    /// Finishes the blocks and the coding, but not the chunks.
    pub(in super::super) fn end(mut self) -> io::Result<Chunks> {
        self.write_block()?;
        self.coding.finish()
    }
}
