//! Serializes responses.

use std::fmt::Write as _;

/// How the end of a body is signalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By `Content-Length`, with this many bytes.
    Length(usize),
    /// By the last chunk of the chunked coding.
    Chunked,
    /// By closing the connection, for clients without support for the chunked coding.
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

/// Serializes the head of a response.
pub fn response_head(
    status: u16,
    headers: &[(&str, &str)],
    framing: BodyFraming,
    close: bool,
) -> Vec<u8> {
    let mut head = String::with_capacity(256);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        // Control characters are dropped: a line break in a value would inject header fields.
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

/// Serializes a complete response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8], close: bool) -> Vec<u8> {
    let mut bytes = response_head(status, headers, BodyFraming::Length(body.len()), close);
    bytes.extend_from_slice(body);
    bytes
}

/// Adds `Connection: close` to a response serialized by [`response_head`], unless it is there already.
pub fn add_connection_close(response: &mut Vec<u8>) {
    let Some(head) = response.windows(4).position(|w| w == b"\r\n\r\n") else {
        return;
    };
    if !response[..head + 2].ends_with(b"\r\nConnection: close\r\n") {
        response.splice(head + 2..head + 2, *b"Connection: close\r\n");
    }
}

/// Serializes one chunk of a chunked body. An empty chunk would end the body, so nothing is written for empty data.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    if data.is_empty() {
        return Vec::new();
    }
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
