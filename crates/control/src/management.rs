//! The line protocol of the management address: one call per connection, one line in each direction.
//!
//! | call | meaning |
//! | --- | --- |
//! | `STATUS` | whether this process is ready to serve |
//! | `SUSPEND ID` | send no new work to engine ID |
//! | `RESTORE ID` | use engine ID again |
//! | `PAUSE` | drain this process |
//! | `RESUME` | end the drain |
//!
//! The reply is one line that begins with `OK` or `ERR`. Lines end with LF or CR LF, and may arrive in any number of pieces.

use std::fmt::Display;

/// Maximum length of a line without its terminator, in bytes: several times what a call with the longest engine name needs.
pub const MAX_CALL_BYTES: usize = 1024;
/// Maximum number of characters of an unknown call that are repeated in the error.
const MAX_SHOWN_NAME_CHARS: usize = 40;

/// A parsed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process is ready to serve.
    Status,
    /// Sends no new work to this engine.
    Suspend(String),
    /// Uses this engine again.
    Restore(String),
    /// Drains this process: clients are disconnected.
    Pause,
    /// Ends the drain.
    Resume,
}

/// The names of all calls, indexed by [`Call::index`].
pub const CALL_NAMES: [&str; 5] = ["STATUS", "SUSPEND", "RESTORE", "PAUSE", "RESUME"];

impl Call {
    /// The index of the call in [`CALL_NAMES`].
    pub fn index(&self) -> usize {
        match self {
            Call::Status => 0,
            Call::Suspend(_) => 1,
            Call::Restore(_) => 2,
            Call::Pause => 3,
            Call::Resume => 4,
        }
    }
}

/// Why a line is rejected. `Display` is the text of the reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The line is empty.
    #[error("an empty line; calls are {}", CALL_NAMES.join(", "))]
    Empty,
    /// The first word is none of [`CALL_NAMES`].
    #[error("unknown call {0}; calls are {names}", names = CALL_NAMES.join(", "))]
    Unknown(String),
    /// The call needs the name of an engine.
    #[error("{0} needs an engine's id behind it")]
    NoEngine(&'static str),
    /// There are extra words after the call.
    #[error("{0} has a word too many behind it")]
    TooMany(&'static str),
    /// The line is longer than [`MAX_CALL_BYTES`].
    #[error("a line has at most {MAX_CALL_BYTES} bytes")]
    TooLong,
    /// The line contains control characters or is not valid UTF-8.
    #[error("the line holds bytes that are no plain text")]
    NotText,
    /// The connection ended before the line was complete.
    #[error("the connection ended before the line did")]
    Unfinished,
    /// No complete line arrived before the timeout.
    #[error("no whole line came in time")]
    TooSlow,
}

/// Buffers the bytes of a connection until its line is complete.
#[derive(Debug, Default)]
pub struct CallReader {
    buffer: Vec<u8>,
    is_finished: bool,
}

impl CallReader {
    /// Appends received bytes. Returns the call or an error once the line is complete or too long. Bytes after the line are
    /// ignored, as are all bytes after a result was returned.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Result<Call, CallError>> {
        if self.is_finished {
            return None;
        }
        let line_end = bytes.iter().position(|&b| b == b'\n');
        let line = &bytes[..line_end.unwrap_or(bytes.len())];
        // One more byte than the maximum, because the terminator may be CR LF.
        let capacity = MAX_CALL_BYTES + 1 - self.buffer.len();
        let is_too_long = line.len() > capacity;
        self.buffer
            .extend_from_slice(&line[..line.len().min(capacity)]);
        if !is_too_long && line_end.is_none() {
            return None;
        }
        self.is_finished = true;
        let buffer = std::mem::take(&mut self.buffer);
        Some(if is_too_long {
            Err(CallError::TooLong)
        } else {
            parse_line(&buffer)
        })
    }

    /// Ends the input, because the peer closed it or a timeout expired. Returns the error unless a result was returned before.
    pub fn end(&mut self, error: CallError) -> Option<CallError> {
        let was_finished = std::mem::replace(&mut self.is_finished, true);
        (!was_finished).then_some(error)
    }
}

fn parse_line(line: &[u8]) -> Result<Call, CallError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.len() > MAX_CALL_BYTES {
        return Err(CallError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| CallError::NotText)?;
    if text.chars().any(char::is_control) {
        return Err(CallError::NotText);
    }
    let mut parts = text.split(' ').filter(|part| !part.is_empty());
    let name = parts.next().ok_or(CallError::Empty)?;
    let mut engine = |name| {
        let engine = parts.next().map(String::from);
        engine.ok_or(CallError::NoEngine(name))
    };
    let call = match name {
        "STATUS" => Call::Status,
        "SUSPEND" => Call::Suspend(engine("SUSPEND")?),
        "RESTORE" => Call::Restore(engine("RESTORE")?),
        "PAUSE" => Call::Pause,
        "RESUME" => Call::Resume,
        unknown => {
            let shown = unknown.chars().take(MAX_SHOWN_NAME_CHARS).collect();
            return Err(CallError::Unknown(shown));
        }
    };
    match parts.next() {
        None => Ok(call),
        Some(_) => Err(CallError::TooMany(CALL_NAMES[call.index()])),
    }
}

/// Formats the reply to a call. Control characters are replaced by spaces, so that it is always a single line.
pub fn reply<E: Display>(outcome: &Result<String, E>) -> String {
    let line = match outcome {
        Ok(text) => format!("OK {text}"),
        Err(error) => format!("ERR {error}"),
    };
    let printable: String = line
        .chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    printable.trim_end().to_string() + "\n"
}
