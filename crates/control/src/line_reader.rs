//! Splitting of a byte stream into lines.

/// Buffers received bytes, and splits them into lines.
#[derive(Default)]
pub struct LineReader {
    buffer: Vec<u8>,
}

/// A line exceeds the limit. Nothing after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the line is too long")]
pub struct LineTooLong;

impl LineReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete line, without its terminator (LF or CR LF); `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// [`LineTooLong`] if the line, complete or not, has more than `max_bytes`.
    pub fn next_line(&mut self, max_bytes: usize) -> Result<Option<String>, LineTooLong> {
        match self.buffer.iter().position(|&b| b == b'\n') {
            Some(end) if end <= max_bytes => {
                let line = String::from_utf8_lossy(&self.buffer[..end]);
                let line = line.trim_end_matches('\r').to_string();
                self.buffer.drain(..=end);
                Ok(Some(line))
            }
            None if self.buffer.len() <= max_bytes => Ok(None),
            _ => Err(LineTooLong),
        }
    }
}
