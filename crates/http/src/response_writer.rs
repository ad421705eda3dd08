//! Writes responses.

use std::fmt::Write as _;

/// How the end of a body is announced.
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
    framing: BodyFraming,
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
    let _ = match framing {
        BodyFraming::Length(_) if status == 204 => Ok(()),
        BodyFraming::Length(n) => write!(head, "Content-Length: {n}\r\n"),
        BodyFraming::Chunked => write!(head, "Transfer-Encoding: chunked\r\n"),
        BodyFraming::UntilClose => Ok(()),
    };
    head.push_str(if close || framing == BodyFraming::UntilClose {
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
