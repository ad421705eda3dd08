//! ClickHouse's own compression (`compress=1`, `decompress=1`): a stream of compressed blocks, each with a checksum.
//!
//! | bytes of a block | field |
//! | --- | --- |
//! | 16 | CityHash128 (v1.0.2, low half first) of all that follows |
//! | 1 | compression method |
//! | 4 | compressed size, from the method on; `u32`, little endian |
//! | 4 | size of the data; `u32`, little endian |
//! | the rest | the compressed data |
//!
//! Source: the published description of the native protocol's compression.

mod stream;

pub use stream::{BlockStream, MAX_RETAINED_BLOCKS};

const CHECKSUM_BYTES: usize = 16;
/// Method and both sizes.
const HEADER_BYTES: usize = 9;
/// Where a block's data begins.
const DATA_START: usize = CHECKSUM_BYTES + HEADER_BYTES;
/// Largest block, compressed or not. Servers write blocks of 1 MiB at most; they read up to 1 GiB.
pub const MAX_BLOCK_BYTES: usize = 16 * 1024 * 1024;
const ZSTD_LEVEL: i32 = 1;

/// How a block's data is compressed.
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

/// What is wrong with a compressed block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// Its method is unknown or its sizes are out of range: these bytes are no block.
    #[error("no compressed block begins where one should")]
    NotABlock,
    /// Its checksum does not match its bytes.
    #[error("a compressed block's checksum does not fit")]
    ChecksumMismatch,
    /// Its data can't be decompressed, or has another size than its header says.
    #[error("a compressed block can't be unpacked")]
    InvalidData,
}

/// The header of a block.
#[derive(Clone, Copy)]
struct Header {
    method: Method,
    /// Size of the block, the checksum included.
    block_bytes: usize,
    /// Size of the data once decompressed.
    data_bytes: usize,
}

impl Header {
    /// The header of the block that these bytes begin with; `None` while it is incomplete.
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
    // Blocks are bounded by `MAX_BLOCK_BYTES`, so that every size fits.
    let value = u32::try_from(value).unwrap_or(u32::MAX);
    out.extend(value.to_le_bytes());
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    // The library has the high half first.
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

/// Compresses data as one block; more than [`MAX_BLOCK_BYTES`] must be split before.
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
/// What is wrong with the block.
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

/// What the blocks at the beginning of a body hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecompressedPrefix {
    /// Their data.
    pub data: Vec<u8>,
    /// How many bytes of the body they take.
    pub block_bytes: usize,
}

/// Decompresses complete blocks from the beginning of `bytes` until their data has `enough_bytes` or more.
///
/// # Errors
///
/// What is wrong with one of these blocks.
pub fn decompress_prefix(
    bytes: &[u8],
    enough_bytes: usize,
) -> Result<DecompressedPrefix, BlockError> {
    let mut prefix = DecompressedPrefix::default();
    while prefix.data.len() < enough_bytes {
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
