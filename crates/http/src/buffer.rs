//! A buffer for received bytes that are not consumed yet.

use crate::HttpError;

/// An empty buffer with a larger capacity is freed: one large message must not occupy memory for the connection's life.
const MAX_RETAINED_BYTES: usize = 1024;

/// Received bytes that are not consumed yet.
#[derive(Default)]
pub struct ReceiveBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that are already consumed.
    consumed: usize,
}

impl ReceiveBuffer {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The bytes that are not consumed yet.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Consumes the first `count` bytes of the rest.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            if self.bytes.capacity() > MAX_RETAINED_BYTES {
                self.bytes = Vec::new();
            }
            self.consumed = 0;
        }
    }

    /// Bytes of memory that the buffer occupies.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Drops all bytes and frees their memory.
    pub fn clear(&mut self) {
        *self = ReceiveBuffer::default();
    }

    /// Removes a range of bytes from the rest.
    pub(crate) fn remove(&mut self, range: std::ops::Range<usize>) {
        self.bytes
            .drain(self.consumed + range.start..self.consumed + range.end);
    }

    /// Consumes a line and returns it without its line break; `None` while it is incomplete.
    pub(crate) fn take_line(&mut self, max_bytes: usize) -> Result<Option<Vec<u8>>, HttpError> {
        let rest = self.rest();
        let Some(end) = rest.iter().position(|&b| b == b'\n') else {
            return if rest.len() > max_bytes {
                Err(HttpError::Malformed)
            } else {
                Ok(None)
            };
        };
        let line = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
        let line = line.to_vec();
        self.consume(end + 1);
        Ok(Some(line))
    }
}
