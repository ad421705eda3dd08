//! Golden files that contain several messages.

/// A list of messages, each preceded by a line `=== name`.
#[derive(Default)]
pub struct MessageTranscript {
    bytes: Vec<u8>,
}

impl MessageTranscript {
    /// Appends a message without changing its bytes.
    pub fn record(&mut self, name: &str, message: impl AsRef<[u8]>) {
        self.bytes
            .extend_from_slice(format!("=== {name}\n").as_bytes());
        self.bytes.extend_from_slice(message.as_ref());
        self.bytes.push(b'\n');
    }

    /// Returns all messages so far.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
