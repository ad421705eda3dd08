//! Messages of an engine: `id keyword fields length` and CR LF, then `length` bytes and CR LF.

use super::pages::PageError;
use driftfront_http::ReceiveBuffer;

/// Maximum length of a line from an engine.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Maximum size of a page. Rows are not split across pages.
const MAX_PAGE_BYTES: usize = 6_000;
/// Maximum plausible value of a number, for work in ms and memory in MB.
const MAX_NUMBER: f64 = 1e9;

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// The response to a probe: the engine is healthy.
    Pong,
    /// The response to a probe: the engine is unhealthy.
    Sick,
    /// The attempt was rejected because of overload.
    Shed,
    /// The attempt was rejected because its remaining time is too short.
    Late,
    /// The attempt failed on the engine.
    Fault,
    /// The first page of a result.
    Hit,
    /// Another page.
    Part,
    /// A progress report.
    Info,
}

const KEYWORDS: [(MessageKind, &str); 8] = [
    (MessageKind::Pong, "PONG"),
    (MessageKind::Sick, "SICK"),
    (MessageKind::Shed, "SHED"),
    (MessageKind::Late, "LATE"),
    (MessageKind::Fault, "FAULT"),
    (MessageKind::Hit, "HIT"),
    (MessageKind::Part, "PART"),
    (MessageKind::Info, "INFO"),
];

impl MessageKind {
    fn parse(keyword: &str) -> Option<MessageKind> {
        KEYWORDS.iter().find(|w| w.1 == keyword).map(|w| w.0)
    }

    /// The keyword on the wire.
    pub(super) fn keyword(self) -> &'static str {
        KEYWORDS.iter().find(|w| w.0 == self).map_or("", |w| w.1)
    }
}

/// A violation of the line protocol. Afterwards the start of the next message, or the attempt that it belongs to, is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// A line exceeds the maximum length.
    #[error("line exceeds the maximum length")]
    LineTooLong,
    /// A line ends with LF instead of CR LF.
    #[error("line does not end with CR LF")]
    NoCarriageReturn,
    /// A line is not valid UTF-8.
    #[error("line is not valid UTF-8")]
    NotText,
    /// A line does not have four words.
    #[error("line has {0} words instead of 4")]
    WordCount(usize),
    /// The length is not a number.
    #[error("length is not a number")]
    BadLength,
    /// A page exceeds the maximum size; its size in bytes.
    #[error("page of {0} bytes exceeds the maximum size")]
    PageTooLong(usize),
    /// A page is longer than its declared length.
    #[error("page is not followed by CR LF")]
    UnterminatedPage,
    /// A message with an unknown keyword.
    #[error("unknown message kind {0}")]
    UnknownKeyword(String),
    /// A page is invalid.
    #[error("{keyword}: {error}")]
    Page {
        /// `HIT` or `PART`.
        keyword: &'static str,
        /// Why the page is invalid.
        error: PageError,
    },
    /// A message was not completed in time.
    #[error("incomplete message timed out")]
    Stalled,
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Message {
    pub(super) id: String,
    pub(super) kind: MessageKind,
    pub(super) fields: String,
    pub(super) body: Vec<u8>,
}

impl Message {
    /// The value of `name=value` in the comma-separated fields.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
    }

    /// The value of a numeric field, if it is positive and plausible; other values count as not reported.
    pub(super) fn positive_number(&self, name: &str) -> Option<f64> {
        self.field(name)?
            .parse()
            .ok()
            .filter(|n| *n > 0.0 && *n <= MAX_NUMBER)
    }

    /// The value of a field with an index or a count.
    pub(super) fn index(&self, name: &str) -> Option<usize> {
        self.field(name)?.parse().ok()
    }
}

/// Splits an engine's bytes into messages.
#[derive(Default)]
pub(super) struct MessageReader {
    input: ReceiveBuffer,
}

impl MessageReader {
    /// Adds received bytes.
    pub(super) fn push(&mut self, input: &[u8]) {
        self.input.push(input);
    }

    /// Whether a message has started and is incomplete.
    pub(super) fn is_mid_message(&self) -> bool {
        !self.input.rest().is_empty()
    }

    /// Returns the next message, once it is complete.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, LineError> {
        let rest = self.input.rest();
        let Some(line_end) = rest.iter().position(|&b| b == b'\n') else {
            return if rest.len() > MAX_LINE_BYTES {
                Err(LineError::LineTooLong)
            } else {
                Ok(None)
            };
        };
        let head = Head::parse(&rest[..line_end])?;
        let after_line = &rest[line_end + 1..];
        let Some(body) = page(after_line, head.length)? else {
            return Ok(None);
        };
        let kind = MessageKind::parse(head.keyword)
            .ok_or_else(|| LineError::UnknownKeyword(head.keyword.into()))?;
        let message = Message {
            id: head.id.into(),
            kind,
            fields: head.fields.into(),
            body: body.to_vec(),
        };
        let length = line_end + 1 + head.length + b"\r\n".len();
        self.input.consume(length);
        Ok(Some(message))
    }
}

/// The first line of a message.
struct Head<'a> {
    id: &'a str,
    keyword: &'a str,
    fields: &'a str,
    length: usize,
}

impl Head<'_> {
    /// Parses a line without its LF.
    fn parse(line: &[u8]) -> Result<Head<'_>, LineError> {
        let line = line
            .strip_suffix(b"\r")
            .ok_or(LineError::NoCarriageReturn)?;
        if line.len() > MAX_LINE_BYTES {
            return Err(LineError::LineTooLong);
        }
        let line = std::str::from_utf8(line).map_err(|_| LineError::NotText)?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, keyword, fields, length] = words[..] else {
            return Err(LineError::WordCount(words.len()));
        };
        let length: usize = length.parse().map_err(|_| LineError::BadLength)?;
        if length > MAX_PAGE_BYTES {
            return Err(LineError::PageTooLong(length));
        }
        Ok(Head {
            id,
            keyword,
            fields,
            length,
        })
    }
}

/// Returns the page of `length` bytes at the start of `bytes`, once it has arrived with its CR LF.
fn page(bytes: &[u8], length: usize) -> Result<Option<&[u8]>, LineError> {
    match bytes.get(length..length + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some(&bytes[..length])),
        Some(_) => Err(LineError::UnterminatedPage),
    }
}
