//! Messages of an engine: `id word fields length`, then `length` bytes and CR LF.

use super::pages::PageError;

/// Longest line that an engine may send.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Longest page: rows are not split.
const MAX_PAGE_BYTES: usize = 6_000;
/// The largest figure that is believed, of work in ms and of memory in MB.
const MAX_NUMBER: f64 = 1e9;

/// What a message says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A probe's answer: the engine is well.
    Pong,
    /// A probe's answer: it is not.
    Sick,
    /// The attempt was rejected for want of capacity.
    Shed,
    /// The attempt was rejected since its time is too short.
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

    /// The word on the wire.
    pub(super) fn keyword(self) -> &'static str {
        KEYWORDS.iter().find(|w| w.0 == self).map_or("", |w| w.1)
    }
}

/// How an engine violated the line protocol: where its next message begins is not known any more, or whose it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// A line over its bound.
    #[error("line too long")]
    LineTooLong,
    /// A line that ends in a bare LF.
    #[error("line without CR")]
    NoCarriageReturn,
    /// A line that is not UTF-8.
    #[error("line is not text")]
    NotText,
    /// A line that has not four words.
    #[error("line of {0} words")]
    WordCount(usize),
    /// A length that is no number.
    #[error("bad length")]
    BadLength,
    /// A page over its bound; its size in bytes.
    #[error("page of {0} bytes")]
    PageTooLong(usize),
    /// A page that is longer than its length says.
    #[error("no CR LF after a page")]
    UnterminatedPage,
    /// A message of no known kind.
    #[error("unknown word {0}")]
    UnknownKeyword(String),
    /// A page that can't be used: the word of its message, and why.
    #[error("{keyword}: {error}")]
    Page {
        /// `HIT` or `PART`.
        keyword: &'static str,
        /// What is wrong with it.
        error: PageError,
    },
    /// A message began and never became complete.
    #[error("an answer stopped short")]
    Stalled,
}

/// A whole message.
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

    /// A figure above 0 that can be planned with; any other counts as not reported.
    pub(super) fn positive_number(&self, name: &str) -> Option<f64> {
        self.field(name)?
            .parse()
            .ok()
            .filter(|n| *n > 0.0 && *n <= MAX_NUMBER)
    }

    /// An index or a count.
    pub(super) fn index(&self, name: &str) -> Option<usize> {
        self.field(name)?.parse().ok()
    }
}

/// Cuts an engine's bytes into messages.
#[derive(Default)]
pub(super) struct MessageReader {
    bytes: Vec<u8>,
    /// Bytes at the front that were decoded already.
    consumed: usize,
}

impl MessageReader {
    /// Adds received bytes.
    pub(super) fn push(&mut self, input: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(input);
    }

    /// Whether a message has begun and is not complete.
    pub(super) fn is_mid_message(&self) -> bool {
        self.consumed < self.bytes.len()
    }

    /// The next whole message, if it is there.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, LineError> {
        let rest = &self.bytes[self.consumed..];
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
        self.consumed += line_end + 1 + head.length + b"\r\n".len();
        Ok(Some(message))
    }
}

/// The words of a message's line.
struct Head<'a> {
    id: &'a str,
    keyword: &'a str,
    fields: &'a str,
    length: usize,
}

impl Head<'_> {
    /// Parses a line up to, and without, its LF.
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

/// The page of `length` bytes that these bytes begin with, once it is there with its CR LF.
fn page(bytes: &[u8], length: usize) -> Result<Option<&[u8]>, LineError> {
    match bytes.get(length..length + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some(&bytes[..length])),
        Some(_) => Err(LineError::UnterminatedPage),
    }
}
