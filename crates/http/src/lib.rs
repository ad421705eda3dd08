//! HTTP/1.1 framing on both sides, without sockets: bytes in, messages out.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

use std::fmt::Write as _;

/// Longest head read; a longer one is answered 431.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// Methods that a client may begin a request with.
const METHODS: [&str; 7] = [
    "GET ", "POST ", "DELETE ", "PUT ", "HEAD ", "OPTIONS ", "PATCH ",
];
/// An emptied buffer larger than this is given back: one large body must not keep its memory for ever.
const KEPT: usize = 16 * 1024;
/// Longest line of a chunk's size, and most bytes of trailers.
const CHUNK_LINE_MOST: usize = 1024;

/// A header's name and value.
pub type Header = (String, String);

/// Finds a header's value; names are not case sensitive.
pub fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|h| h.0.eq_ignore_ascii_case(name))
        .map(|h| h.1.as_str())
}

/// A request: whole, or with the beginning of a body that goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// GET, POST, ...
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// All headers.
    pub headers: Vec<Header>,
    /// The body, decoded; its beginning where `has_more_body` says so.
    pub body: Vec<u8>,
    /// More of the body follows, to be taken with [`RequestReader::more_body`].
    pub has_more_body: bool,
    /// HTTP/1.1, or an earlier one that knows no chunks.
    pub version_1_1: bool,
    /// The client wants the connection closed after the answer.
    pub close: bool,
}

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// All headers.
    pub headers: Vec<Header>,
    /// The server will close the connection.
    pub close: bool,
}

/// How a body ends.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Over,
}

/// What goes wrong in a message: the status to answer a client with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// 400
    Malformed,
    /// 413
    BodyTooLarge,
    /// 431
    HeadTooLarge,
}

impl HttpError {
    /// The status that says so.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::BodyTooLarge => 413,
            HttpError::HeadTooLarge => 431,
        }
    }
}

impl Framing {
    fn of(headers: &[Header], otherwise: Framing) -> Result<Framing, HttpError> {
        let mut lengths = headers
            .iter()
            .filter(|h| h.0.eq_ignore_ascii_case("content-length"));
        let length = lengths.next();
        if let Some(coding) = header(headers, "transfer-encoding") {
            // Both together are how requests are smuggled past a front.
            let fine = coding.trim().eq_ignore_ascii_case("chunked") && length.is_none();
            return if fine {
                Ok(Framing::ChunkSize)
            } else {
                Err(HttpError::Malformed)
            };
        }
        let Some(length) = length else {
            return Ok(otherwise);
        };
        let digits = length.1.trim();
        if lengths.next().is_some()
            || digits.is_empty()
            || !digits.bytes().all(|b| b.is_ascii_digit())
        {
            return Err(HttpError::Malformed);
        }
        digits
            .parse()
            .map(Framing::Length)
            .map_err(|_| HttpError::BodyTooLarge)
    }

    /// Moves what there is of the body from `input` to `body`; true once it is over.
    fn decode(&mut self, input: &mut Input, body: &mut Vec<u8>) -> Result<bool, HttpError> {
        loop {
            match self {
                Framing::Over | Framing::Length(0) => {
                    *self = Framing::Over;
                    return Ok(true);
                }
                Framing::UntilClose => {
                    body.extend_from_slice(input.rest());
                    input.take(input.rest().len());
                    return Ok(false);
                }
                Framing::Length(left) | Framing::Chunk(left) => {
                    let n = (*left).min(input.rest().len() as u64);
                    body.extend_from_slice(&input.rest()[..n as usize]);
                    input.take(n as usize);
                    *left -= n;
                    if *left > 0 {
                        return Ok(false);
                    }
                    *self = if matches!(self, Framing::Chunk(_)) {
                        Framing::ChunkEnd
                    } else {
                        Framing::Over
                    };
                }
                Framing::ChunkSize | Framing::ChunkEnd | Framing::Trailers => {
                    let Some(line) = input.line(CHUNK_LINE_MOST)? else {
                        return Ok(false);
                    };
                    *self = match self {
                        Framing::ChunkEnd if line.is_empty() => Framing::ChunkSize,
                        Framing::ChunkEnd => return Err(HttpError::Malformed),
                        Framing::Trailers if line.is_empty() => Framing::Over,
                        Framing::Trailers => Framing::Trailers,
                        _ => match chunk_size(&line)? {
                            0 => Framing::Trailers,
                            size => Framing::Chunk(size),
                        },
                    };
                }
            }
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or(&[]);
    let digits = std::str::from_utf8(digits)
        .map_err(|_| HttpError::Malformed)?
        .trim();
    if digits.is_empty() || digits.len() > 15 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(HttpError::Malformed);
    }
    u64::from_str_radix(digits, 16).map_err(|_| HttpError::Malformed)
}

/// Bytes that have come and were not used yet.
#[derive(Default)]
struct Input {
    bytes: Vec<u8>,
    used: usize,
}

impl Input {
    fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.used);
        self.used = 0;
        self.bytes.extend_from_slice(bytes);
    }
    fn rest(&self) -> &[u8] {
        &self.bytes[self.used..]
    }
    fn take(&mut self, n: usize) {
        self.used += n;
        if self.used == self.bytes.len() {
            self.bytes.clear();
            self.bytes.shrink_to(KEPT);
            self.used = 0;
        }
    }
    fn line(&mut self, most: usize) -> Result<Option<Vec<u8>>, HttpError> {
        let Some(end) = self.rest().iter().position(|&b| b == b'\n') else {
            return if self.rest().len() > most {
                Err(HttpError::Malformed)
            } else {
                Ok(None)
            };
        };
        let line = self.rest()[..end]
            .strip_suffix(b"\r")
            .unwrap_or(&self.rest()[..end])
            .to_vec();
        self.take(end + 1);
        Ok(Some(line))
    }
}

fn owned(headers: &[httparse::Header]) -> Vec<Header> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_string();
    headers
        .iter()
        .map(|h| (h.name.to_string(), text(h.value)))
        .collect()
}

fn closes(version: Option<u8>, headers: &[Header]) -> bool {
    match header(headers, "connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => true,
        Some(value) if value.eq_ignore_ascii_case("keep-alive") => false,
        _ => version == Some(0),
    }
}

fn parse_fault(e: httparse::Error) -> HttpError {
    if e == httparse::Error::TooManyHeaders {
        HttpError::HeadTooLarge
    } else {
        HttpError::Malformed
    }
}

/// What a reader of requests takes.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Longest head; a longer one is a fault.
    pub max_head_bytes: usize,
    /// Bytes of a body that are read before the request is handed out.
    pub max_body_bytes: usize,
    /// A longer body goes on behind that; else it is a fault.
    pub has_more_body: bool,
}

/// Reads requests off a client's connection.
pub struct RequestReader {
    input: Input,
    head: Option<(Request, Framing)>,
    /// The body of the request that was handed out, while it goes on.
    rest: Option<Framing>,
    takes: RequestLimits,
}

impl RequestReader {
    /// A reader that takes bodies of at most so many bytes, whole.
    pub fn new(max_body_bytes: usize) -> RequestReader {
        RequestReader::with_limits(RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes,
            has_more_body: false,
        })
    }

    /// A reader with bounds of its own.
    pub fn with_limits(takes: RequestLimits) -> RequestReader {
        RequestReader {
            input: Input::default(),
            head: None,
            rest: None,
            takes,
        }
    }

    /// From now on so many bytes of a body are read before its request is handed out.
    pub fn set_max_body_bytes(&mut self, max_body_bytes: usize) {
        self.takes.max_body_bytes = max_body_bytes;
    }

    /// Bytes of the request that is being read: its head so far, or what of its body is held.
    pub fn partial_request_bytes(&self) -> usize {
        self.held() + self.head.as_ref().map_or(0, |h| h.0.body.len())
    }

    /// Whether the head of the request that is being read is whole.
    pub fn has_head(&self) -> bool {
        self.head.is_some()
    }

    /// Whether the body of the request that was handed out goes on.
    pub fn is_body_open(&self) -> bool {
        self.rest.is_some()
    }

    /// Takes what has come of a body that goes on; `true` once it is over.
    pub fn more_body(&mut self, body: &mut Vec<u8>) -> Result<bool, HttpError> {
        let Some(framing) = &mut self.rest else {
            return Ok(true);
        };
        let over = framing.decode(&mut self.input, body)?;
        if over {
            self.rest = None;
            if self.holds_stray_bytes() {
                return Err(HttpError::Malformed);
            }
        }
        Ok(over)
    }

    /// Bytes that have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Bytes held that no request has used yet.
    pub fn held(&self) -> usize {
        self.input.rest().len()
    }

    /// Whether a request has begun and is not whole.
    pub fn is_mid_message(&self) -> bool {
        self.head.is_some() || self.rest.is_some() || self.held() > 0
    }

    /// Whether what stands behind the last request can't begin another: then that one's length was wrong,
    /// and what was read as its body is not what the client meant.
    pub fn holds_stray_bytes(&self) -> bool {
        let rest = self.input.rest();
        let breaks = rest
            .iter()
            .take_while(|b| matches!(b, b'\r' | b'\n'))
            .count();
        let word = &rest[breaks..];
        let begins = |method: &&str| {
            let most = word.len().min(method.len());
            word[..most] == method.as_bytes()[..most]
        };
        self.head.is_none() && self.rest.is_none() && !METHODS.iter().any(begins)
    }

    /// Whether the client waits for "100 Continue" before it sends the body.
    pub fn expects_continue(&self) -> bool {
        let expect = self
            .head
            .as_ref()
            .and_then(|h| header(&h.0.headers, "expect"));
        self.held() == 0 && expect.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
    }

    /// The next whole request, if it is there.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        if self.rest.is_some() {
            return Ok(None);
        }
        if self.head.is_none() {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
            let mut request = httparse::Request::new(&mut headers);
            let read = match request.parse(self.input.rest()).map_err(parse_fault)? {
                httparse::Status::Complete(n) if n <= self.takes.max_head_bytes => n,
                httparse::Status::Partial if self.held() <= self.takes.max_head_bytes => {
                    return Ok(None)
                }
                _ => return Err(HttpError::HeadTooLarge),
            };
            let headers = owned(request.headers);
            let framing = Framing::of(&headers, Framing::Over)?;
            if matches!(framing, Framing::Length(n) if n > self.takes.max_body_bytes as u64)
                && !self.takes.has_more_body
            {
                return Err(HttpError::BodyTooLarge);
            }
            let request = Request {
                method: request.method.unwrap_or_default().to_string(),
                target: request.path.unwrap_or_default().to_string(),
                close: closes(request.version, &headers),
                version_1_1: request.version != Some(0),
                headers,
                body: Vec::new(),
                has_more_body: false,
            };
            self.input.take(read);
            self.head = Some((request, framing));
        }
        let Some((request, framing)) = &mut self.head else {
            return Ok(None);
        };
        let over = framing.decode(&mut self.input, &mut request.body)?;
        if request.body.len() > self.takes.max_body_bytes {
            if !self.takes.has_more_body {
                return Err(HttpError::BodyTooLarge);
            }
            if !over {
                request.has_more_body = true;
                let (request, framing) = self.head.take().expect("looked at just now");
                self.rest = Some(framing);
                return Ok(Some(request));
            }
        }
        if !over {
            return Ok(None);
        }
        let request = self.head.take().map(|h| h.0);
        // Half a statement must not run because the other half came behind a length that is too small.
        if self.holds_stray_bytes() {
            return Err(HttpError::Malformed);
        }
        Ok(request)
    }
}

/// What a response brings next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The value of a header that was asked to be told early, before the head is whole.
    EarlyHeader(String),
    /// Its head.
    Head(ResponseHead),
    /// A piece of its body.
    Body(Vec<u8>),
    /// Its end.
    End,
}

/// Reads responses off a server's connection.
#[derive(Default)]
pub struct ResponseReader {
    input: Input,
    framing: Option<Framing>,
    early: Option<&'static str>,
}

impl ResponseReader {
    /// A reader that tells this header's values as they come, and takes them out of the head: servers that send one
    /// for each step of their work would else fill it.
    pub fn with_early_header(name: &'static str) -> ResponseReader {
        ResponseReader {
            early: Some(name),
            ..ResponseReader::default()
        }
    }

    /// Takes a header to be told early out of a head that is not whole yet.
    fn early_header(&mut self) -> Option<String> {
        let name = self.early?;
        let bytes = self.input.rest();
        // The first line is the status; what stands behind an empty line is the body.
        let mut begin = memchr_line(bytes)?;
        loop {
            let end = begin + memchr_line(&bytes[begin..])?;
            let line = std::str::from_utf8(&bytes[begin..end])
                .unwrap_or_default()
                .trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                return None;
            }
            let told = line
                .split_once(':')
                .filter(|(n, _)| n.eq_ignore_ascii_case(name));
            if let Some((_, value)) = told {
                let value = value.trim().to_string();
                let from = self.input.used + begin;
                self.input.bytes.drain(from..self.input.used + end);
                return Some(value);
            }
            begin = end;
        }
    }

    /// Bytes that have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// The next part, if it is there.
    pub fn next_part(&mut self) -> Result<Option<ResponsePart>, HttpError> {
        if self.framing.is_none() {
            if let Some(value) = self.early_header() {
                return Ok(Some(ResponsePart::EarlyHeader(value)));
            }
        }
        let Some(framing) = &mut self.framing else {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
            let mut response = httparse::Response::new(&mut headers);
            let read = match response.parse(self.input.rest()).map_err(parse_fault)? {
                httparse::Status::Complete(n) => n,
                httparse::Status::Partial if self.input.rest().len() <= MAX_HEAD_BYTES => {
                    return Ok(None)
                }
                httparse::Status::Partial => return Err(HttpError::HeadTooLarge),
            };
            let headers = owned(response.headers);
            let status = response.code.unwrap_or(0);
            let close = closes(response.version, &headers);
            self.input.take(read);
            if status / 100 == 1 {
                return self.next_part();
            }
            let bodiless = status == 204 || status == 304;
            let framing = if bodiless {
                Framing::Over
            } else {
                Framing::of(&headers, Framing::UntilClose)?
            };
            let close = close || framing == Framing::UntilClose;
            self.framing = Some(framing);
            return Ok(Some(ResponsePart::Head(ResponseHead {
                status,
                headers,
                close,
            })));
        };
        let mut body = Vec::new();
        let over = framing.decode(&mut self.input, &mut body)?;
        if !body.is_empty() {
            return Ok(Some(ResponsePart::Body(body)));
        }
        if over {
            self.framing = None;
            return Ok(Some(ResponsePart::End));
        }
        Ok(None)
    }

    /// The server has ended its side: true if that is a proper end of the body.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.framing, Some(Framing::UntilClose))
    }
}

/// Bytes up to and with the first line's end.
fn memchr_line(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|&b| b == b'\n').map(|at| at + 1)
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// It has so many bytes.
    Length(usize),
    /// Its last chunk.
    Chunked,
    /// The connection's close: for clients that know no chunks.
    UntilClose,
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Writes a response's head.
pub fn response_head(
    status: u16,
    headers: &[(&str, &str)],
    ends: BodyFraming,
    close: bool,
) -> Vec<u8> {
    let mut head = String::with_capacity(256);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        // A line break in a value would let it forge headers.
        if value.chars().any(char::is_control) {
            let value: String = value.chars().filter(|c| !c.is_control()).collect();
            let _ = write!(head, "{name}: {value}\r\n");
        } else {
            let _ = write!(head, "{name}: {value}\r\n");
        }
    }
    let _ = match ends {
        BodyFraming::Length(_) if status == 204 => Ok(()),
        BodyFraming::Length(n) => write!(head, "Content-Length: {n}\r\n"),
        BodyFraming::Chunked => write!(head, "Transfer-Encoding: chunked\r\n"),
        BodyFraming::UntilClose => Ok(()),
    };
    head.push_str(if close || ends == BodyFraming::UntilClose {
        "Connection: close\r\n\r\n"
    } else {
        "\r\n"
    });
    head.into_bytes()
}

/// Writes a whole response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8], close: bool) -> Vec<u8> {
    let mut bytes = response_head(status, headers, BodyFraming::Length(body.len()), close);
    bytes.extend_from_slice(body);
    bytes
}

/// Makes a response's bytes, as [`response_head`] begins them, tell that the connection closes behind it.
pub fn add_connection_close(response: &mut Vec<u8>) {
    let Some(head) = response.windows(4).position(|w| w == b"\r\n\r\n") else {
        return;
    };
    if !response[..head + 2].ends_with(b"\r\nConnection: close\r\n") {
        response.splice(head + 2..head + 2, *b"Connection: close\r\n");
    }
}

/// Writes one chunk of a body that comes in chunks; an empty one would end it, so it is left out.
pub fn chunk(piece: &[u8]) -> Vec<u8> {
    if piece.is_empty() {
        return Vec::new();
    }
    let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// The end of a body that comes in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
