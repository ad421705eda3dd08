//! Reads responses off a server's connection.

use crate::body::BodyState;
use crate::buffer::Buffer;
use crate::header::{closes_connection, to_owned, Header};
use crate::{HttpError, MAX_HEADERS, MAX_HEAD_BYTES};

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// All header fields.
    pub headers: Vec<Header>,
    /// The server will close the connection.
    pub close: bool,
}

/// What a response brings next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The value of a header field that was asked for early, before the head is complete.
    EarlyHeader(String),
    /// Its head.
    Head(ResponseHead),
    /// A part of its body.
    Body(Vec<u8>),
    /// Its end.
    End,
}

/// Reads responses off a server's connection.
#[derive(Default)]
pub struct ResponseReader {
    input: Buffer,
    /// The body of the response whose head was read.
    body: Option<BodyState>,
    early_header: Option<&'static str>,
}

impl ResponseReader {
    /// A reader that gives this header field's values as they come, and takes them out of the head: servers that send one for each
    /// step of their work would else fill it.
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

    /// The next part, if it is there.
    ///
    /// # Errors
    ///
    /// Where the response can't be read or is over a bound.
    pub fn next_part(&mut self) -> Result<Option<ResponsePart>, HttpError> {
        let Some(body) = &mut self.body else {
            return self.next_head_part();
        };
        let mut bytes = Vec::new();
        let is_over = body.decode(&mut self.input, &mut bytes)?;
        if !bytes.is_empty() {
            return Ok(Some(ResponsePart::Body(bytes)));
        }
        if is_over {
            self.body = None;
            return Ok(Some(ResponsePart::End));
        }
        Ok(None)
    }

    /// The server has ended its side: whether that is a proper end of the body.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.body, Some(BodyState::UntilClose))
    }

    /// Takes an early header field out of a head that is not complete yet.
    fn take_early_header(&mut self) -> Option<String> {
        let name = self.early_header?;
        let bytes = self.input.rest();
        // The first line is the status; what stands behind an empty line is the body.
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

    /// An early header field or the head, if it is there; interim responses (1xx) are passed over.
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
                204 | 304 => BodyState::Over,
                _ => BodyState::announced(&head.headers, BodyState::UntilClose)?,
            };
            head.close |= body == BodyState::UntilClose;
            self.body = Some(body);
            return Ok(Some(ResponsePart::Head(head)));
        }
    }

    /// Reads a head, if it is there.
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

/// Bytes up to and with the first line's end.
fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|&b| b == b'\n').map(|at| at + 1)
}
