//! Parses requests from the bytes of a client connection.

use crate::body::BodyState;
use crate::buffer::ReceiveBuffer;
use crate::header::{self, closes_connection, header, to_owned, Header};
use crate::{HttpError, MAX_HEADERS, MAX_HEAD_BYTES};

/// The methods that a request may start with, each followed by a space.
const METHODS: [&str; 7] = [
    "GET ", "POST ", "DELETE ", "PUT ", "HEAD ", "OPTIONS ", "PATCH ",
];

/// A request, either complete or with the first part of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method: GET, POST, ...
    pub method: String,
    /// Path and query string as received.
    pub target: String,
    /// All header fields.
    pub headers: Vec<Header>,
    /// The decoded body, or its first part if `has_more_body` is set.
    pub body: Vec<u8>,
    /// The rest of the body has to be read with [`RequestReader::read_body`].
    pub has_more_body: bool,
    /// True for HTTP/1.1, false for earlier versions, which lack the chunked coding.
    pub version_1_1: bool,
    /// The connection is to be closed after the response.
    pub close: bool,
}

impl Request {
    /// Bytes of memory that the request occupies.
    fn held_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(header::held_bytes).sum();
        self.target.capacity() + headers + self.body.capacity()
    }
}

/// Limits on requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Maximum size of a head; a larger one is an error.
    pub max_head_bytes: usize,
    /// Number of body bytes that are read before the request is returned.
    pub max_body_bytes: usize,
    /// Whether the rest of a larger body is streamed; otherwise a larger body is an error.
    pub streams_larger_bodies: bool,
}

/// A request whose head is complete and whose body is being read.
struct PartialRequest {
    request: Request,
    body: BodyState,
}

/// Parses requests from the bytes of a client connection.
pub struct RequestReader {
    input: ReceiveBuffer,
    partial: Option<PartialRequest>,
    /// The body state of the last returned request, while its body is incomplete.
    streamed: Option<BodyState>,
    limits: RequestLimits,
}

impl RequestReader {
    /// Creates a reader with default limits that rejects bodies over `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> RequestReader {
        RequestReader::with_limits(RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes,
            streams_larger_bodies: false,
        })
    }

    /// Creates a reader with the given limits.
    pub fn with_limits(limits: RequestLimits) -> RequestReader {
        RequestReader {
            input: ReceiveBuffer::default(),
            partial: None,
            streamed: None,
            limits,
        }
    }

    /// Changes the number of body bytes that are read before a request is returned.
    pub fn set_max_body_bytes(&mut self, max_body_bytes: usize) {
        self.limits.max_body_bytes = max_body_bytes;
    }

    /// Buffered bytes of the request that is being read: its partial head or its partial body.
    pub fn partial_request_bytes(&self) -> usize {
        let body = self.partial.as_ref().map_or(0, |p| p.request.body.len());
        self.buffered_bytes() + body
    }

    /// Bytes of memory that the input and the request being read occupy.
    pub fn held_bytes(&self) -> usize {
        let partial = self.partial.as_ref();
        self.input.held_bytes() + partial.map_or(0, |p| p.request.held_bytes())
    }

    /// Drops all input and the request being read, and frees their memory.
    pub fn clear(&mut self) {
        self.input.clear();
        self.partial = None;
        self.streamed = None;
    }

    /// Drops the input after the last returned request, and frees its memory.
    pub fn discard_read_ahead(&mut self) {
        if self.streamed.is_none() {
            self.input.clear();
        }
    }

    /// Whether the head of the request being read is complete.
    pub fn has_head(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether the last returned request has body bytes left to read.
    pub fn has_unread_body(&self) -> bool {
        self.streamed.is_some()
    }

    /// Moves the received part of a streamed body to `body`; returns `true` once the body is complete.
    ///
    /// # Errors
    ///
    /// If the framing is invalid, or the bytes after the body can't start another request.
    pub fn read_body(&mut self, body: &mut Vec<u8>) -> Result<bool, HttpError> {
        let Some(streamed) = &mut self.streamed else {
            return Ok(true);
        };
        let is_complete = streamed.decode(&mut self.input, body)?;
        if is_complete {
            self.streamed = None;
            if self.has_invalid_trailing_bytes() {
                return Err(HttpError::Malformed);
            }
        }
        Ok(is_complete)
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Number of buffered bytes that belong to no request yet.
    pub fn buffered_bytes(&self) -> usize {
        self.input.rest().len()
    }

    /// Whether a request has started and is incomplete.
    pub fn is_mid_message(&self) -> bool {
        self.partial.is_some() || self.streamed.is_some() || self.buffered_bytes() > 0
    }

    /// Whether the bytes after the last request can't start another one. In that case the length of the last request was wrong, and
    /// its body is not what the client intended to send.
    pub fn has_invalid_trailing_bytes(&self) -> bool {
        let rest = self.input.rest();
        let line_ends = rest
            .iter()
            .take_while(|b| matches!(b, b'\r' | b'\n'))
            .count();
        let word = &rest[line_ends..];
        let may_begin = |method: &&str| {
            let length = word.len().min(method.len());
            word[..length] == method.as_bytes()[..length]
        };
        let is_between_requests = self.partial.is_none() && self.streamed.is_none();
        is_between_requests && !METHODS.iter().any(may_begin)
    }

    /// Whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        let headers = self.partial.as_ref().map(|p| &p.request.headers);
        let expect = headers.and_then(|h| header(h, "expect"));
        self.buffered_bytes() == 0 && expect.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
    }

    /// Returns the next request, once it is complete or its body exceeds the limit and is streamed.
    ///
    /// # Errors
    ///
    /// If the request is malformed or exceeds a limit; the connection must be closed.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        if self.streamed.is_some() {
            return Ok(None);
        }
        if self.partial.is_none() {
            self.partial = self.read_head()?;
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        let is_complete = partial
            .body
            .decode(&mut self.input, &mut partial.request.body)?;
        let is_long = partial.request.body.len() > self.limits.max_body_bytes;
        if is_long && !self.limits.streams_larger_bodies {
            return Err(HttpError::BodyTooLarge);
        }
        if !is_complete && !is_long {
            return Ok(None);
        }
        let Some(PartialRequest { mut request, body }) = self.partial.take() else {
            return Ok(None);
        };
        if !is_complete {
            request.has_more_body = true;
            self.streamed = Some(body);
        } else if self.has_invalid_trailing_bytes() {
            // The declared length is too small: the body may be half a statement and must not run.
            return Err(HttpError::Malformed);
        }
        Ok(Some(request))
    }

    /// Parses a request head, once it is complete.
    fn read_head(&mut self) -> Result<Option<PartialRequest>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(self.input.rest())? {
            httparse::Status::Complete(length) if length <= self.limits.max_head_bytes => length,
            httparse::Status::Partial if self.buffered_bytes() <= self.limits.max_head_bytes => {
                return Ok(None)
            }
            _ => return Err(HttpError::HeadTooLarge),
        };
        let headers = to_owned(request.headers);
        let body = BodyState::from_headers(&headers, BodyState::Complete)?;
        let max_body_bytes = self.limits.max_body_bytes as u64;
        let is_long = matches!(body, BodyState::Length(n) if n > max_body_bytes);
        if is_long && !self.limits.streams_larger_bodies {
            return Err(HttpError::BodyTooLarge);
        }
        let request = Request {
            method: request.method.unwrap_or_default().to_string(),
            target: request.path.unwrap_or_default().to_string(),
            close: closes_connection(request.version, &headers),
            version_1_1: request.version != Some(0),
            headers,
            body: Vec::new(),
            has_more_body: false,
        };
        self.input.consume(length);
        Ok(Some(PartialRequest { request, body }))
    }
}
