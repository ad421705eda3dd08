//! Checks a stream of compressed blocks as it arrives.

use super::{decompress, verify_checksum, BlockError, Header, DATA_START};
use crate::exception::MAX_TEXT_BYTES;
use crate::tail::{TailBuffer, TAIL_BYTES};
use std::collections::VecDeque;

/// Most blocks retained for the last bytes of their data: servers that flush often write small ones.
pub const MAX_RETAINED_BLOCKS: usize = 64;

/// A complete block.
struct RetainedBlock {
    bytes: Vec<u8>,
    /// Size of its data once decompressed.
    data_bytes: usize,
}

/// Verifies each block's checksum once the block is complete. Holds the incomplete block and the last complete ones:
/// as many as hold the last [`TAIL_BYTES`] of data, up to [`MAX_RETAINED_BLOCKS`].
#[derive(Default)]
pub struct BlockStream {
    incomplete: Vec<u8>,
    retained: VecDeque<RetainedBlock>,
    complete: u64,
}

impl BlockStream {
    /// Takes the next bytes, however fragmented.
    ///
    /// # Errors
    ///
    /// What is wrong with a block. The stream is of no further use: nothing tells where the next block begins.
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
                // An exception's text may stand here instead of a block: the caller will want to read it.
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
        // The memory of a block that is released serves the next one.
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

    /// How many retained blocks are still needed for the tail, before a new one with `data_bytes` of data.
    fn blocks_needed_before(&self, data_bytes: usize) -> usize {
        let mut following_bytes = data_bytes;
        let mut needed = 0;
        for block in self.retained.iter().rev() {
            if following_bytes >= TAIL_BYTES {
                break;
            }
            following_bytes += block.data_bytes;
            needed += 1;
        }
        needed.min(MAX_RETAINED_BLOCKS - 1)
    }

    /// How many blocks were complete and valid.
    pub fn complete_blocks(&self) -> u64 {
        self.complete
    }

    /// How many complete blocks are retained.
    pub fn retained_blocks(&self) -> usize {
        self.retained.len()
    }

    /// Whether the stream may end here: no block is incomplete.
    pub fn is_at_block_boundary(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// The last bytes of the data.
    ///
    /// # Errors
    ///
    /// [`BlockError::InvalidData`] where a block can't be decompressed.
    pub fn tail(&self) -> Result<Vec<u8>, BlockError> {
        let mut tail = TailBuffer::default();
        for block in &self.retained {
            tail.push(&decompress(&block.bytes)?);
        }
        Ok(tail.bytes().to_vec())
    }

    /// The bytes behind the last complete block. They may be no block at all: a server that is interrupted may write
    /// an exception's plain text.
    pub fn incomplete(&self) -> &[u8] {
        &self.incomplete
    }
}
