//! ClickHouse's native compression (`compress=1`, `decompress=1`): a stream of compressed blocks, each with a checksum.
//!
//! | size in bytes | field |
//! | --- | --- |
//! | 16 | CityHash128 (v1.0.2, low half first) of the rest of the block |
//! | 1 | compression method |
//! | 4 | compressed size, counted from the method byte; `u32`, little endian |
//! | 4 | uncompressed size; `u32`, little endian |
//! | rest | the compressed data |
//!
//! Source: the published description of the native protocol's compression.

mod stream;

pub use stream::{BlockStream, COVERED_BYTES, MAX_RETAINED_BLOCKS};

const CHECKSUM_BYTES: usize = 16;
/// The method and both sizes.
const HEADER_BYTES: usize = 9;
/// Offset of the compressed data in a block.
const DATA_START: usize = CHECKSUM_BYTES + HEADER_BYTES;
/// Maximum block size, compressed and uncompressed. Servers write blocks of at most 1 MiB and read
/// blocks of up to 1 GiB.
pub const MAX_BLOCK_BYTES: usize = 16 * 1024 * 1024;
const ZSTD_LEVEL: i32 = 1;

/// The compression method of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// No compression.
    None,
    /// LZ4 block format.
    Lz4,
    /// ZSTD.
    Zstd,
}

impl Method {
    const ALL: [Method; 3] = [Method::None, Method::Lz4, Method::Zstd];

    fn to_byte(self) -> u8 {
        match self {
            Method::None => 0x02,
            Method::Lz4 => 0x82,
            Method::Zstd => 0x90,
        }
    }

    fn from_byte(byte: u8) -> Option<Method> {
        Method::ALL
            .into_iter()
            .find(|method| method.to_byte() == byte)
    }
}

/// Why a compressed block is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The method is unknown or a size is out of range, so the bytes are not a block.
    #[error("no compressed block begins where one should")]
    NotABlock,
    /// The checksum does not match.
    #[error("a compressed block's checksum does not fit")]
    ChecksumMismatch,
    /// The data can't be decompressed, or its size differs from the one in the header.
    #[error("a compressed block can't be unpacked")]
    InvalidData,
}

/// The header of a block.
#[derive(Clone, Copy)]
struct Header {
    method: Method,
    /// Size of the block, including the checksum.
    block_bytes: usize,
    /// Uncompressed size of the data.
    data_bytes: usize,
}

impl Header {
    /// Parses the header of the block at the start of `bytes`; `None` while it is incomplete.
    fn parse(bytes: &[u8]) -> Result<Option<Header>, BlockError> {
        let Some(header) = bytes.get(CHECKSUM_BYTES..DATA_START) else {
            return Ok(None);
        };
        let method = Method::from_byte(header[0]).ok_or(BlockError::NotABlock)?;
        let (compressed_bytes, data_bytes) = (read_u32(&header[1..]), read_u32(&header[5..]));
        let is_in_range = (HEADER_BYTES..=MAX_BLOCK_BYTES).contains(&compressed_bytes)
            && data_bytes <= MAX_BLOCK_BYTES;
        if !is_in_range {
            return Err(BlockError::NotABlock);
        }
        Ok(Some(Header {
            method,
            block_bytes: CHECKSUM_BYTES + compressed_bytes,
            data_bytes,
        }))
    }
}

fn read_u32(bytes: &[u8]) -> usize {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
}

fn write_u32(value: usize, out: &mut Vec<u8>) {
    // Blocks are limited to `MAX_BLOCK_BYTES`, so every size fits into 32 bits.
    let value = u32::try_from(value).unwrap_or(u32::MAX);
    out.extend(value.to_le_bytes());
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    // The library puts the high half first.
    cityhash_rs::cityhash_102_128(bytes)
        .rotate_right(64)
        .to_le_bytes()
}

fn verify_checksum(block: &[u8]) -> Result<(), BlockError> {
    let (expected, covered) = block
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or(BlockError::NotABlock)?;
    if expected == checksum(covered) {
        Ok(())
    } else {
        Err(BlockError::ChecksumMismatch)
    }
}

/// Compresses data into one block. The caller splits data larger than [`MAX_BLOCK_BYTES`].
pub fn compress(method: Method, data: &[u8]) -> Vec<u8> {
    let compressed = match method {
        Method::None => data.to_vec(),
        Method::Lz4 => lz4_flex::block::compress(data),
        Method::Zstd => zstd::bulk::compress(data, ZSTD_LEVEL).unwrap_or_default(),
    };
    let mut block = vec![0; CHECKSUM_BYTES];
    block.push(method.to_byte());
    write_u32(HEADER_BYTES + compressed.len(), &mut block);
    write_u32(data.len(), &mut block);
    block.extend(compressed);
    let checksum = checksum(&block[CHECKSUM_BYTES..]);
    block[..CHECKSUM_BYTES].copy_from_slice(&checksum);
    block
}

/// Decompresses one complete block.
///
/// # Errors
///
/// If the block is invalid.
pub fn decompress(block: &[u8]) -> Result<Vec<u8>, BlockError> {
    verify_checksum(block)?;
    let header = Header::parse(block)?.ok_or(BlockError::NotABlock)?;
    let compressed = &block[DATA_START..];
    let data = match header.method {
        Method::None => compressed.to_vec(),
        Method::Lz4 => lz4_flex::block::decompress(compressed, header.data_bytes)
            .map_err(|_| BlockError::InvalidData)?,
        Method::Zstd => zstd::bulk::decompress(compressed, header.data_bytes)
            .map_err(|_| BlockError::InvalidData)?,
    };
    if data.len() == header.data_bytes {
        Ok(data)
    } else {
        Err(BlockError::InvalidData)
    }
}

/// The decompressed blocks at the start of a body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecompressedPrefix {
    /// The data of the blocks.
    pub data: Vec<u8>,
    /// Size of the compressed blocks in the body.
    pub block_bytes: usize,
}

/// Decompresses complete blocks from the start of `bytes` until there are at least `min_bytes` of data.
///
/// # Errors
///
/// If one of these blocks is invalid.
pub fn decompress_prefix(bytes: &[u8], min_bytes: usize) -> Result<DecompressedPrefix, BlockError> {
    let mut prefix = DecompressedPrefix::default();
    while prefix.data.len() < min_bytes {
        let rest = &bytes[prefix.block_bytes..];
        let Some(header) = Header::parse(rest)? else {
            break;
        };
        let Some(block) = rest.get(..header.block_bytes) else {
            break;
        };
        prefix.data.extend(decompress(block)?);
        prefix.block_bytes += block.len();
    }
    Ok(prefix)
}
