//! The end of a result.

use crate::exception::{last_possible_opening, RowEnd, MAX_TEXT_BYTES};
use std::io::{self, Write};

/// Number of bytes that a [`TailBuffer`] retains: enough for most exceptions with their surroundings.
pub const TAIL_BYTES: usize = MAX_TEXT_BYTES + 2 * 1024;
/// Bytes kept before the start of an exception's text, which tell whether it is one.
const LEAD_BYTES: usize = 64;
/// Bytes kept from the start of an exception's text that is longer than the tail.
const OPENING_BYTES: usize = 1024;
/// Stands for the middle of a long text.
const ELISION: &[u8] = b" [...] ";

/// A writer that retains the last [`TAIL_BYTES`], and the start of the last exception text before them.
#[derive(Default)]
pub struct TailBuffer {
    bytes: Vec<u8>,
    written: u64,
    /// How the rows of the result end.
    row_end: RowEnd,
    /// The start of the last exception text that is no longer in `bytes`, with the bytes before it.
    opening: Option<Vec<u8>>,
}

impl TailBuffer {
    /// Creates a buffer for a result whose rows end in this way.
    pub fn new(row_end: RowEnd) -> TailBuffer {
        TailBuffer {
            row_end,
            ..TailBuffer::default()
        }
    }

    /// The last bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.bytes.len().saturating_sub(TAIL_BYTES)..]
    }

    /// The end of the result, for the search of an exception: the last bytes, and the start of an exception text before them. The
    /// middle of a longer text is left out.
    pub fn end(&self) -> Vec<u8> {
        match &self.opening {
            Some(opening) => [opening.as_slice(), ELISION, self.bytes()].concat(),
            None => self.bytes().to_vec(),
        }
    }

    /// Total number of bytes written.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for bytes in bytes.chunks(TAIL_BYTES) {
            // The buffer grows to twice the tail before it is compacted, so that small writes are cheap.
            if self.bytes.len() + bytes.len() > 2 * TAIL_BYTES + LEAD_BYTES {
                self.compact();
            }
            self.bytes.extend_from_slice(bytes);
            self.written += bytes.len() as u64;
        }
    }

    /// Drops all but the last bytes, and remembers an exception text that begins in the dropped part.
    fn compact(&mut self) {
        let tail = self.bytes.len().saturating_sub(TAIL_BYTES);
        let is_first = self.written == self.bytes.len() as u64;
        let searched = if is_first { 0 } else { LEAD_BYTES };
        if let Some(at) = last_possible_opening(&self.bytes, searched, tail, self.row_end) {
            let end = self.bytes.len().min(at + OPENING_BYTES);
            self.opening = Some(self.bytes[at.saturating_sub(LEAD_BYTES)..end].to_vec());
        }
        self.bytes.drain(..tail.saturating_sub(LEAD_BYTES));
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
