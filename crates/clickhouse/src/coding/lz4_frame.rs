//! Incremental decoding of the LZ4 frame format. The library's frame reader needs a blocking source and can't resume
//! when more bytes arrive, so it is used for blocks only. Checksums are not verified, since the transport has its own.
//!
//! Source: the published description of the LZ4 frame format (v1.6).

use lz4_flex::block::decompress_with_dict;
use std::io::{self, Write};

const MAGIC: [u8; 4] = [0x04, 0x22, 0x4d, 0x18];
/// Magic number, flags, block descriptor and header checksum.
const MIN_HEADER_BYTES: usize = 7;
const CONTENT_SIZE_BYTES: usize = 8;
const DICTIONARY_ID_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const BLOCK_SIZE_BYTES: usize = 4;
/// Size of the history that a linked block may refer to.
const WINDOW_BYTES: usize = 64 * 1024;

/// The supported version of the format, in the two highest bits of the flags.
const VERSION: u8 = 1;
const VERSION_SHIFT: u32 = 6;
const FLAG_INDEPENDENT_BLOCKS: u8 = 0x20;
const FLAG_BLOCK_CHECKSUMS: u8 = 0x10;
const FLAG_CONTENT_SIZE: u8 = 0x08;
const FLAG_CONTENT_CHECKSUM: u8 = 0x04;
const FLAG_DICTIONARY_ID: u8 = 0x01;
/// Set in the size field of a block that is stored uncompressed.
const UNCOMPRESSED_BLOCK: u32 = 1 << 31;

/// Why a frame is invalid.
#[derive(Debug, thiserror::Error)]
enum Lz4Error {
    #[error("lz4: not a frame")]
    NotAFrame,
    #[error("lz4: unknown maximum block size")]
    UnknownBlockSize,
    #[error("lz4: a block exceeds the frame's maximum block size")]
    BlockTooLarge,
    #[error("lz4: {0}")]
    InvalidBlock(#[from] lz4_flex::block::DecompressError),
}

impl From<Lz4Error> for io::Error {
    fn from(error: Lz4Error) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error.to_string())
    }
}

/// The header of a frame.
#[derive(Clone, Copy, Default)]
struct FrameHeader {
    header_bytes: usize,
    max_block_bytes: usize,
    /// Blocks may refer to data of earlier blocks.
    has_linked_blocks: bool,
    has_block_checksums: bool,
    has_content_checksum: bool,
}

impl FrameHeader {
    /// Parses the header at the start of `bytes`; `None` while it is incomplete.
    fn parse(bytes: &[u8]) -> Result<Option<FrameHeader>, Lz4Error> {
        let Some(&[flags, block_descriptor]) = bytes.get(4..6) else {
            return Ok(None);
        };
        if bytes[..4] != MAGIC || flags >> VERSION_SHIFT != VERSION {
            return Err(Lz4Error::NotAFrame);
        }
        let has = |flag: u8| flags & flag != 0;
        let header_bytes = MIN_HEADER_BYTES
            + usize::from(has(FLAG_CONTENT_SIZE)) * CONTENT_SIZE_BYTES
            + usize::from(has(FLAG_DICTIONARY_ID)) * DICTIONARY_ID_BYTES;
        if bytes.len() < header_bytes {
            return Ok(None);
        }
        Ok(Some(FrameHeader {
            header_bytes,
            max_block_bytes: max_block_bytes(block_descriptor)?,
            has_linked_blocks: !has(FLAG_INDEPENDENT_BLOCKS),
            has_block_checksums: has(FLAG_BLOCK_CHECKSUMS),
            has_content_checksum: has(FLAG_CONTENT_CHECKSUM),
        }))
    }
}

/// The maximum block size of a frame: 64 KiB, 256 KiB, 1 MiB or 4 MiB.
fn max_block_bytes(block_descriptor: u8) -> Result<usize, Lz4Error> {
    match (block_descriptor >> 4) & 7 {
        size @ 4..=7 => Ok(1 << (8 + 2 * size)),
        _ => Err(Lz4Error::UnknownBlockSize),
    }
}

/// The next part of the stream.
#[derive(Clone, Copy, PartialEq)]
enum Part {
    /// The first frame's header.
    FirstHeader,
    BlockSize,
    Block(BlockSize),
    ContentChecksum,
    /// The stream may end here, or another frame may start.
    EndOrHeader,
}

/// The size field of a block.
#[derive(Clone, Copy, PartialEq)]
struct BlockSize {
    bytes: usize,
    is_compressed: bool,
}

/// Decodes frames and writes their contents.
pub(super) struct Lz4FrameDecoder<W: Write> {
    writer: W,
    /// Received bytes of an incomplete part.
    buffer: Vec<u8>,
    next: Part,
    header: FrameHeader,
    /// The last [`WINDOW_BYTES`] written, where blocks are linked.
    window: Vec<u8>,
}

impl<W: Write> Lz4FrameDecoder<W> {
    pub(super) fn new(writer: W) -> Lz4FrameDecoder<W> {
        Lz4FrameDecoder {
            writer,
            buffer: Vec::new(),
            next: Part::FirstHeader,
            header: FrameHeader::default(),
            window: Vec::new(),
        }
    }

    pub(super) fn get_ref(&self) -> &W {
        &self.writer
    }

    pub(super) fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.buffer.extend_from_slice(bytes);
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut used = 0;
        while let Some(part_bytes) = self.decode_part(&buffer[used..])? {
            used += part_bytes;
        }
        buffer.drain(..used);
        self.buffer = buffer;
        Ok(())
    }

    /// Fails if the stream is incomplete.
    pub(super) fn check_complete(&self) -> io::Result<()> {
        if self.next == Part::EndOrHeader && self.buffer.is_empty() {
            return Ok(());
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    /// Decodes the next part and returns its size, or `None` while it is incomplete.
    fn decode_part(&mut self, bytes: &[u8]) -> io::Result<Option<usize>> {
        match self.next {
            Part::FirstHeader | Part::EndOrHeader => Ok(self.decode_header(bytes)?),
            Part::BlockSize => Ok(self.decode_block_size(bytes)?),
            Part::Block(size) => self.decode_block(size, bytes),
            Part::ContentChecksum if bytes.len() < CHECKSUM_BYTES => Ok(None),
            Part::ContentChecksum => {
                self.next = Part::EndOrHeader;
                Ok(Some(CHECKSUM_BYTES))
            }
        }
    }

    fn decode_header(&mut self, bytes: &[u8]) -> Result<Option<usize>, Lz4Error> {
        let Some(header) = FrameHeader::parse(bytes)? else {
            return Ok(None);
        };
        self.header = header;
        self.window.clear();
        self.next = Part::BlockSize;
        Ok(Some(header.header_bytes))
    }

    fn decode_block_size(&mut self, bytes: &[u8]) -> Result<Option<usize>, Lz4Error> {
        let Some(&[a, b, c, d]) = bytes.get(..BLOCK_SIZE_BYTES) else {
            return Ok(None);
        };
        let field = u32::from_le_bytes([a, b, c, d]);
        let size = BlockSize {
            bytes: (field & !UNCOMPRESSED_BLOCK) as usize,
            is_compressed: field & UNCOMPRESSED_BLOCK == 0,
        };
        if size.bytes > self.header.max_block_bytes {
            return Err(Lz4Error::BlockTooLarge);
        }
        self.next = match field {
            // The end mark.
            0 if self.header.has_content_checksum => Part::ContentChecksum,
            0 => Part::EndOrHeader,
            _ => Part::Block(size),
        };
        Ok(Some(BLOCK_SIZE_BYTES))
    }

    fn decode_block(&mut self, size: BlockSize, bytes: &[u8]) -> io::Result<Option<usize>> {
        let part_bytes = size.bytes + usize::from(self.header.has_block_checksums) * CHECKSUM_BYTES;
        let Some(block) = bytes.get(..part_bytes) else {
            return Ok(None);
        };
        let stored = &block[..size.bytes];
        if size.is_compressed {
            let data = self.decompress(stored)?;
            self.write_data(&data)?;
        } else {
            self.write_data(stored)?;
        }
        self.next = Part::BlockSize;
        Ok(Some(part_bytes))
    }

    fn decompress(&self, block: &[u8]) -> Result<Vec<u8>, Lz4Error> {
        let max_bytes = self.header.max_block_bytes;
        Ok(decompress_with_dict(block, max_bytes, &self.window)?)
    }

    fn write_data(&mut self, data: &[u8]) -> io::Result<()> {
        self.writer.write_all(data)?;
        if self.header.has_linked_blocks {
            self.window.extend_from_slice(data);
            let excess = self.window.len().saturating_sub(WINDOW_BYTES);
            self.window.drain(..excess);
        }
        Ok(())
    }
}
