//! Reads requests from a connection and writes responses.

use super::exception::{Exception, QueryError};
use super::state::Shared;
use driftfront_clickhouse::params::Params;
use driftfront_http::{
    header, response, response_head, BodyFraming, Request, RequestLimits, RequestReader,
};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a body that are read before the statement is parsed.
pub(super) const FIRST_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a request's head.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Size of the read buffer.
const READ_BYTES: usize = 64 * 1024;
/// Timeout of each read while the rest of a body is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

const HTML: [(&str, &str); 1] = [("Content-Type", "text/html; charset=UTF-8")];
const OPTIONS_HEADERS: [(&str, &str); 4] = [
    ("Access-Control-Allow-Origin", "*"),
    ("Access-Control-Allow-Methods", "POST, GET, OPTIONS"),
    (
        "Access-Control-Allow-Headers",
        "origin, x-requested-with, x-clickhouse-format, x-clickhouse-user, x-clickhouse-key, \
         Authorization",
    ),
    ("Access-Control-Max-Age", "86400"),
];

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum After {
    KeepOpen,
    Close,
}

impl After {
    pub(super) fn close_if(is_closing: bool) -> After {
        if is_closing {
            After::Close
        } else {
            After::KeepOpen
        }
    }
}

/// Serves a connection until it is closed.
pub(super) fn serve(shared: &Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection {
        shared,
        stream,
        reader: RequestReader::with_limits(RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: FIRST_BODY_BYTES,
            streams_larger_bodies: true,
        }),
    };
    while let Ok(Some(request)) = connection.next_request() {
        match connection.handle_request(request) {
            Ok(After::KeepOpen) => {}
            Ok(After::Close) | Err(_) => break,
        }
    }
    let _ = connection.stream.shutdown(Shutdown::Both);
}

pub(super) struct Connection<'a> {
    pub(super) shared: &'a Shared,
    pub(super) stream: TcpStream,
    pub(super) reader: RequestReader,
}

impl Connection<'_> {
    /// Reads bytes into the reader. Returns `false` at the end of the stream.
    pub(super) fn read(&mut self) -> io::Result<bool> {
        let mut bytes = [0; READ_BYTES];
        loop {
            match self.stream.read(&mut bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => {
                    let n = read?;
                    self.reader.push(&bytes[..n]);
                    return Ok(n > 0);
                }
            }
        }
    }

    fn next_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            match self.reader.next_request() {
                Ok(Some(request)) => return Ok(Some(request)),
                Ok(None) => {}
                Err(error) => {
                    let response = response(error.status(), &[], b"", true);
                    let _ = self.stream.write_all(&response);
                    return Err(ErrorKind::InvalidData.into());
                }
            }
            if self.reader.expects_continue() {
                self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
            }
            if !self.read()? {
                return Ok(None);
            }
        }
    }

    fn handle_request(&mut self, request: Request) -> io::Result<After> {
        if !self.shared.wait_while_mute() {
            return Ok(After::Close);
        }
        let request = Rc::new(request);
        let split = request.target.split_once('?');
        let (path, query_string) = split.unwrap_or((&request.target, ""));
        let is_read = matches!(request.method.as_str(), "GET" | "HEAD");
        match (request.method.as_str(), path) {
            ("GET" | "HEAD", "/ping" | "/replicas_status") => {
                self.respond(&request, 200, &HTML, "Ok.\n")
            }
            ("GET" | "HEAD", "/") if query_string.is_empty() => {
                self.respond(&request, 200, &HTML, "Ok.\n")
            }
            ("OPTIONS", _) => self.respond(&request, 204, &OPTIONS_HEADERS, ""),
            (_, "/" | "/query") if is_read || request.method == "POST" => {
                let params = Params::parse(query_string).unwrap_or_default();
                self.handle_query(&request, params)
            }
            (_, "/") => self.respond(&request, 405, &HTML, ""),
            _ => self.respond(&request, 404, &HTML, "There is no such path here.\n"),
        }
    }

    fn handle_query(&mut self, request: &Rc<Request>, params: Params) -> io::Result<After> {
        let id = header(&request.headers, "X-ClickHouse-Query-Id").or(params.non_empty("query_id"));
        let id = match id {
            Some(id) => id.to_string(),
            None => format!("standin-{}", self.shared.next_id()),
        };
        let error = match self.run_query(request, params, &id) {
            Ok(after) => return Ok(after),
            Err(error) => error,
        };
        let status = error.http_status();
        match error {
            QueryError::Io(error) => Err(error),
            QueryError::Exception(exception) | QueryError::Rejected(exception) => {
                self.respond_with_exception(request, &id, status, &exception)
            }
        }
    }

    fn respond_with_exception(
        &mut self,
        request: &Request,
        id: &str,
        status: u16,
        exception: &Exception,
    ) -> io::Result<After> {
        let code = exception.code.to_string();
        let headers = [
            ("Content-Type", "text/plain; charset=UTF-8"),
            ("X-ClickHouse-Query-Id", id),
            ("X-ClickHouse-Exception-Code", code.as_str()),
        ];
        // The unread part of the body would be parsed as the next request.
        let has_unread_body = self.reader.has_unread_body();
        let text = exception.text() + "\n";
        let after = self.respond(request, status, &headers, &text)?;
        if has_unread_body {
            self.discard_input();
            return Ok(After::Close);
        }
        Ok(after)
    }

    /// Reads until the client closes: closing with unread bytes would reset the connection and lose the response.
    fn discard_input(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let _ = self.stream.set_read_timeout(Some(DISCARD_TIMEOUT));
        while self.stream.read(&mut [0; READ_BYTES]).is_ok_and(|n| n > 0) {}
    }

    fn respond(
        &mut self,
        request: &Request,
        status: u16,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<After> {
        let framing = BodyFraming::Length(body.len());
        let mut bytes = response_head(status, headers, framing, request.close);
        if request.method != "HEAD" {
            bytes.extend(body.bytes());
        }
        self.stream.write_all(&bytes)?;
        Ok(After::close_if(request.close))
    }

    /// Whether the client has closed the connection.
    pub(super) fn has_client_left(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        matches!(peeked, Ok(0)) || peeked.is_err_and(|e| e.kind() != ErrorKind::WouldBlock)
    }
}
