//! A golden file of many messages: each under a line with its name.

/// Messages, each under a line `=== name`.
#[derive(Default)]
pub struct MessageTranscript {
    bytes: Vec<u8>,
}

impl MessageTranscript {
    /// Adds a message's bytes as they are.
    pub fn record(&mut self, name: &str, message: impl AsRef<[u8]>) {
        self.bytes
            .extend_from_slice(format!("=== {name}\n").as_bytes());
        self.bytes.extend_from_slice(message.as_ref());
        self.bytes.push(b'\n');
    }

    /// All messages so far.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
