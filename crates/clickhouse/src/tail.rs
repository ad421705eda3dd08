//! The last bytes of a stream.

use crate::exception::MAX_TEXT_BYTES;
use std::io::{self, Write};

/// Number of bytes that a [`TailBuffer`] retains: enough for an exception with its surroundings.
pub const TAIL_BYTES: usize = MAX_TEXT_BYTES + 2 * 1024;

/// A writer that retains only the last [`TAIL_BYTES`].
#[derive(Default)]
pub struct TailBuffer {
    bytes: Vec<u8>,
    written: u64,
}

impl TailBuffer {
    /// The last bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.bytes.len().saturating_sub(TAIL_BYTES)..]
    }

    /// Total number of bytes written.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.written += bytes.len() as u64;
        let bytes = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        // The buffer grows to twice the tail before it is compacted, so that small writes are cheap.
        if self.bytes.len() + bytes.len() > 2 * TAIL_BYTES {
            let kept = TAIL_BYTES.saturating_sub(bytes.len());
            let kept = kept.min(self.bytes.len());
            self.bytes.drain(..self.bytes.len() - kept);
        }
        self.bytes.extend_from_slice(bytes);
    }
}

impl Write for TailBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.push(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
