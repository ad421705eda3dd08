//! Responses as a soak's clients read them: complete, in time, and to the request that was sent.

use super::client::End;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

/// What a client received for a request.
pub(super) struct Received {
    /// The end of the request.
    pub end: End,
    /// Whether the connection may be used again.
    pub stays_open: bool,
}

impl Received {
    /// The connection or the time ended before a complete response.
    const NOTHING: Received = Received {
        end: End::Unanswered,
        stays_open: false,
    };
}

/// Reads one response until this time. A result names the statement that it belongs to.
pub(super) fn read_response(stream: &mut TcpStream, until: Instant, statement: &str) -> Received {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(response) = Response::parse(&bytes) {
            return response.judge(statement);
        }
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return Received::NOTHING;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Received::NOTHING,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Received::NOTHING,
        }
    }
}

/// A complete response.
struct Response {
    status: u16,
    body: String,
    closes: bool,
}

impl Response {
    /// The response in these bytes, once all of it is there.
    fn parse(bytes: &[u8]) -> Option<Response> {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n")?;
        let length: usize = header(head, "content-length")?.parse().ok()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let closes = header(head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        (body.len() >= length).then(|| Response {
            status,
            body: body.to_string(),
            closes,
        })
    }

    fn judge(&self, statement: &str) -> Received {
        if self.status == 200 && !self.body.contains(statement) {
            return Received {
                end: End::Wrong,
                stays_open: false,
            };
        }
        Received {
            end: End::Answered(self.status),
            stays_open: !self.closes,
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
