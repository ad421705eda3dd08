//! Checks a stream of compressed blocks as it arrives.

use super::{decompress, verify_checksum, BlockError, Header, DATA_START};
use crate::exception::{RowEnd, MAX_TEXT_BYTES};
use crate::tail::TailBuffer;
use std::collections::VecDeque;

/// Maximum number of blocks retained for the tail. Servers that flush often write many small blocks.
pub const MAX_RETAINED_BLOCKS: usize = 64;

/// Bytes of data that the retained blocks cover: an exception's text may be written in two blocks.
pub const COVERED_BYTES: usize = 64 * 1024;

/// A complete block.
struct RetainedBlock {
    bytes: Vec<u8>,
    /// Uncompressed size of the data.
    data_bytes: usize,
}

/// Verifies the checksum of each block once the block is complete. Retains the incomplete block and as many of the last
/// complete blocks as cover the last [`COVERED_BYTES`] of data, up to [`MAX_RETAINED_BLOCKS`].
#[derive(Default)]
pub struct BlockStream {
    incomplete: Vec<u8>,
    retained: VecDeque<RetainedBlock>,
    complete: u64,
}

impl BlockStream {
    /// Processes the next bytes; blocks may be split at any byte.
    ///
    /// # Errors
    ///
    /// If a block is invalid. The stream can't be used any further, since the start of the next block is unknown.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), BlockError> {
        while !bytes.is_empty() {
            let wanted = match Header::parse(&self.incomplete)? {
                Some(header) => header.block_bytes,
                None => DATA_START,
            };
            debug_assert!(wanted > self.incomplete.len());
            let missing = wanted - self.incomplete.len();
            let (next, rest) = bytes.split_at(missing.min(bytes.len()));
            self.incomplete.extend_from_slice(next);
            bytes = rest;
            let header = Header::parse(&self.incomplete).inspect_err(|_| {
                // The server may have sent the text of an exception instead of a block: the text is kept for the caller.
                let text = &rest[..rest.len().min(MAX_TEXT_BYTES)];
                self.incomplete.extend_from_slice(text);
            })?;
            if let Some(header) = header.filter(|h| h.block_bytes == self.incomplete.len()) {
                self.complete_block(header.data_bytes)?;
            }
        }
        Ok(())
    }

    fn complete_block(&mut self, data_bytes: usize) -> Result<(), BlockError> {
        verify_checksum(&self.incomplete)?;
        self.complete += 1;
        let needed = self.blocks_needed_before(data_bytes);
        // Reuse the allocation of a released block for the next one.
        let mut buffer = Vec::new();
        while self.retained.len() > needed {
            buffer = self.retained.pop_front().map_or(buffer, |b| b.bytes);
        }
        buffer.clear();
        self.retained.push_back(RetainedBlock {
            bytes: std::mem::replace(&mut self.incomplete, buffer),
            data_bytes,
        });
        Ok(())
    }

    /// Number of retained blocks that the tail still needs before a new block with `data_bytes` of data.
    fn blocks_needed_before(&self, data_bytes: usize) -> usize {
        let mut following_bytes = data_bytes;
        let mut needed = 0;
        for block in self.retained.iter().rev() {
            if following_bytes >= COVERED_BYTES {
                break;
            }
            following_bytes += block.data_bytes;
            needed += 1;
        }
        needed.min(MAX_RETAINED_BLOCKS - 1)
    }

    /// Number of complete, valid blocks so far.
    pub fn complete_blocks(&self) -> u64 {
        self.complete
    }

    /// Number of retained blocks.
    pub fn retained_blocks(&self) -> usize {
        self.retained.len()
    }

    /// Whether the stream may end here, that is, no block is incomplete.
    pub fn is_at_block_boundary(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// The last bytes of the data.
    ///
    /// # Errors
    ///
    /// [`BlockError::InvalidData`] if a block can't be decompressed.
    pub fn tail(&self) -> Result<Vec<u8>, BlockError> {
        Ok(self.tail_buffer(RowEnd::default())?.bytes().to_vec())
    }

    /// The end of the data, see [`TailBuffer::end`].
    ///
    /// # Errors
    ///
    /// [`BlockError::InvalidData`] if a block can't be decompressed.
    pub fn end(&self, row_end: RowEnd) -> Result<Vec<u8>, BlockError> {
        Ok(self.tail_buffer(row_end)?.end())
    }

    fn tail_buffer(&self, row_end: RowEnd) -> Result<TailBuffer, BlockError> {
        let mut tail = TailBuffer::new(row_end);
        for block in &self.retained {
            tail.push(&decompress(&block.bytes)?);
        }
        Ok(tail)
    }

    /// The bytes after the last complete block. They may be plain text instead of a block: an interrupted server may
    /// write an exception there.
    pub fn incomplete(&self) -> &[u8] {
        &self.incomplete
    }
}
