//! Received bytes that were not used yet.

use crate::HttpError;

/// An emptied buffer larger than this is given back: one large body must not keep its memory for ever.
const MAX_RETAINED_BYTES: usize = 16 * 1024;

/// Received bytes that were not used yet.
#[derive(Default)]
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    /// Bytes at the front that were used.
    used: usize,
}

impl Buffer {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.used);
        self.used = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// What was not used yet.
    pub(crate) fn rest(&self) -> &[u8] {
        &self.bytes[self.used..]
    }

    /// Marks the first `count` bytes of the rest as used.
    pub(crate) fn consume(&mut self, count: usize) {
        self.used += count;
        if self.used == self.bytes.len() {
            self.bytes.clear();
            self.bytes.shrink_to(MAX_RETAINED_BYTES);
            self.used = 0;
        }
    }

    /// Takes bytes out of the middle of the rest.
    pub(crate) fn remove(&mut self, range: std::ops::Range<usize>) {
        self.bytes
            .drain(self.used + range.start..self.used + range.end);
    }

    /// Takes a line off the rest, without its end, once it is there.
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
