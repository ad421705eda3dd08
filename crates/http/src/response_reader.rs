//! Parses responses from the bytes of a server connection.

use crate::body::BodyState;
use crate::buffer::ReceiveBuffer;
use crate::header::{closes_connection, to_owned, Header};
use crate::{HttpError, MAX_HEADERS, MAX_HEAD_BYTES};

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// All header fields.
    pub headers: Vec<Header>,
    /// The server closes the connection after the response.
    pub close: bool,
}

/// One part of a response, in the order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The value of the early header field, see [`ResponseReader::with_early_header`]; precedes the head.
    EarlyHeader(String),
    /// The complete head.
    Head(ResponseHead),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The end of the response.
    End,
}

/// Parses responses from the bytes of a server connection.
#[derive(Default)]
pub struct ResponseReader {
    input: ReceiveBuffer,
    /// The body state of the response whose head is complete.
    body: Option<BodyState>,
    early_header: Option<&'static str>,
}

impl ResponseReader {
    /// Creates a reader that returns values of this header field as they arrive, before the head is complete, and removes them from
    /// the head. A server that sends the field for every step of its work would otherwise exceed the limit on the head.
    pub fn with_early_header(name: &'static str) -> ResponseReader {
        ResponseReader {
            early_header: Some(name),
            ..ResponseReader::default()
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Returns the next part, once it has arrived.
    ///
    /// # Errors
    ///
    /// If the response is malformed or exceeds a limit.
    pub fn next_part(&mut self) -> Result<Option<ResponsePart>, HttpError> {
        let Some(body) = &mut self.body else {
            return self.next_head_part();
        };
        let mut bytes = Vec::new();
        let is_complete = body.decode(&mut self.input, &mut bytes)?;
        if !bytes.is_empty() {
            return Ok(Some(ResponsePart::Body(bytes)));
        }
        if is_complete {
            self.body = None;
            return Ok(Some(ResponsePart::End));
        }
        Ok(None)
    }

    /// Whether the response is complete if the server closes the connection now.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.body, Some(BodyState::UntilClose))
    }

    /// Removes an early header field from an incomplete head and returns its value.
    fn take_early_header(&mut self) -> Option<String> {
        let name = self.early_header?;
        let bytes = self.input.rest();
        // The first line is the status line; an empty line separates head and body.
        let mut begin = line_length(bytes)?;
        loop {
            let end = begin + line_length(&bytes[begin..])?;
            let line = std::str::from_utf8(&bytes[begin..end])
                .unwrap_or_default()
                .trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                return None;
            }
            let field = line
                .split_once(':')
                .filter(|(n, _)| n.eq_ignore_ascii_case(name));
            if let Some((_, value)) = field {
                let value = value.trim().to_string();
                self.input.remove(begin..end);
                return Some(value);
            }
            begin = end;
        }
    }

    /// Returns an early header field or the head, once it has arrived; interim responses (1xx) are skipped.
    fn next_head_part(&mut self) -> Result<Option<ResponsePart>, HttpError> {
        loop {
            if let Some(value) = self.take_early_header() {
                return Ok(Some(ResponsePart::EarlyHeader(value)));
            }
            let Some(mut head) = self.read_head()? else {
                return Ok(None);
            };
            let body = match head.status {
                100..=199 => continue,
                204 | 304 => BodyState::Complete,
                _ => BodyState::from_headers(&head.headers, BodyState::UntilClose)?,
            };
            head.close |= body == BodyState::UntilClose;
            self.body = Some(body);
            return Ok(Some(ResponsePart::Head(head)));
        }
    }

    /// Parses a head, once it is complete.
    fn read_head(&mut self) -> Result<Option<ResponseHead>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(self.input.rest())? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if self.input.rest().len() <= MAX_HEAD_BYTES => {
                return Ok(None)
            }
            httparse::Status::Partial => return Err(HttpError::HeadTooLarge),
        };
        let headers = to_owned(response.headers);
        let head = ResponseHead {
            status: response.code.unwrap_or(0),
            close: closes_connection(response.version, &headers),
            headers,
        };
        self.input.consume(length);
        Ok(Some(head))
    }
}

/// Length of the first line, including its line break.
fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|&b| b == b'\n').map(|at| at + 1)
}
