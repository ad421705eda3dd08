//! Reads requests off a client's connection.

use crate::body::BodyState;
use crate::buffer::Buffer;
use crate::header::{closes_connection, header, to_owned, Header};
use crate::{HttpError, MAX_HEADERS, MAX_HEAD_BYTES};

/// Methods that a client may begin a request with.
const METHODS: [&str; 7] = [
    "GET ", "POST ", "DELETE ", "PUT ", "HEAD ", "OPTIONS ", "PATCH ",
];

/// A request: whole, or with the beginning of a body that is streamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// GET, POST, ...
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// All header fields.
    pub headers: Vec<Header>,
    /// The body, decoded; its beginning where `has_more_body` says so.
    pub body: Vec<u8>,
    /// More of the body follows, to be read with [`RequestReader::read_body`].
    pub has_more_body: bool,
    /// HTTP/1.1, or an earlier one that knows no chunks.
    pub version_1_1: bool,
    /// The client wants the connection closed after the response.
    pub close: bool,
}

/// Bounds of the requests that are read.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Longest head; a longer one is an error.
    pub max_head_bytes: usize,
    /// Bytes of a body that are read before the request is handed out.
    pub max_body_bytes: usize,
    /// A longer body is streamed behind that; else it is an error.
    pub streams_larger_bodies: bool,
}

/// A request whose head was read.
struct PartialRequest {
    request: Request,
    body: BodyState,
}

/// Reads requests off a client's connection.
pub struct RequestReader {
    input: Buffer,
    partial: Option<PartialRequest>,
    /// The body of the request that was handed out, while more of it is to come.
    streamed: Option<BodyState>,
    limits: RequestLimits,
}

impl RequestReader {
    /// A reader of requests whose bodies have at most so many bytes.
    pub fn new(max_body_bytes: usize) -> RequestReader {
        RequestReader::with_limits(RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes,
            streams_larger_bodies: false,
        })
    }

    /// A reader with bounds of its own.
    pub fn with_limits(limits: RequestLimits) -> RequestReader {
        RequestReader {
            input: Buffer::default(),
            partial: None,
            streamed: None,
            limits,
        }
    }

    /// From now on so many bytes of a body are read before its request is handed out.
    pub fn set_max_body_bytes(&mut self, max_body_bytes: usize) {
        self.limits.max_body_bytes = max_body_bytes;
    }

    /// Bytes of the request that is being read: its head so far, or what of its body is held.
    pub fn partial_request_bytes(&self) -> usize {
        let body = self.partial.as_ref().map_or(0, |p| p.request.body.len());
        self.buffered_bytes() + body
    }

    /// Whether the head of the request that is being read is complete.
    pub fn has_head(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether more is to come of the body of the request that was handed out.
    pub fn has_unread_body(&self) -> bool {
        self.streamed.is_some()
    }

    /// Moves what has come of a streamed body to `body`; `true` once it is over.
    ///
    /// # Errors
    ///
    /// Where its framing is broken, or bytes behind it can't begin another request.
    pub fn read_body(&mut self, body: &mut Vec<u8>) -> Result<bool, HttpError> {
        let Some(streamed) = &mut self.streamed else {
            return Ok(true);
        };
        let is_over = streamed.decode(&mut self.input, body)?;
        if is_over {
            self.streamed = None;
            if self.has_invalid_trailing_bytes() {
                return Err(HttpError::Malformed);
            }
        }
        Ok(is_over)
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Bytes held that no request has used yet.
    pub fn buffered_bytes(&self) -> usize {
        self.input.rest().len()
    }

    /// Whether a request has begun and is not complete.
    pub fn is_mid_message(&self) -> bool {
        self.partial.is_some() || self.streamed.is_some() || self.buffered_bytes() > 0
    }

    /// Whether what stands behind the last request can't begin another: then that one's length was wrong, and what was read as its
    /// body is not what the client meant.
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

    /// Whether the client waits for "100 Continue" before it sends the body.
    pub fn expects_continue(&self) -> bool {
        let headers = self.partial.as_ref().map(|p| &p.request.headers);
        let expect = headers.and_then(|h| header(h, "expect"));
        self.buffered_bytes() == 0 && expect.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
    }

    /// The next request, if it is there: whole, or as much of it as is read before a streamed body.
    ///
    /// # Errors
    ///
    /// Where it can't be read or is over a bound; the connection must close.
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
        let is_over = partial
            .body
            .decode(&mut self.input, &mut partial.request.body)?;
        let is_long = partial.request.body.len() > self.limits.max_body_bytes;
        if is_long && !self.limits.streams_larger_bodies {
            return Err(HttpError::BodyTooLarge);
        }
        if !is_over && !is_long {
            return Ok(None);
        }
        let Some(PartialRequest { mut request, body }) = self.partial.take() else {
            return Ok(None);
        };
        if !is_over {
            request.has_more_body = true;
            self.streamed = Some(body);
        } else if self.has_invalid_trailing_bytes() {
            // Half a statement must not run because the other half came behind a length that is too small.
            return Err(HttpError::Malformed);
        }
        Ok(Some(request))
    }

    /// Reads a request's head, if it is there.
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
        let body = BodyState::announced(&headers, BodyState::Over)?;
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
