//! Reads the responses of a soak test's clients, and checks that they are complete, in time and belong to the request.

use super::client::Outcome;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

/// The result of waiting for a response.
pub(super) struct Received {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// Whether the connection may be reused.
    pub is_reusable: bool,
}

impl Received {
    /// The connection closed or the time was up before a complete response.
    const NO_RESPONSE: Received = Received {
        outcome: Outcome::Unanswered,
        is_reusable: false,
    };
}

/// Reads one response, up to the given time. A result contains the statement it belongs to.
pub(super) fn read_response(stream: &mut TcpStream, until: Instant, statement: &str) -> Received {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(response) = Response::parse(&bytes) {
            return response.check(statement);
        }
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return Received::NO_RESPONSE;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Received::NO_RESPONSE,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Received::NO_RESPONSE,
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
    /// Parses a response; `None` while it is incomplete.
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

    fn check(&self, statement: &str) -> Received {
        if self.status == 200 && !self.body.contains(statement) {
            return Received {
                outcome: Outcome::Mismatched,
                is_reusable: false,
            };
        }
        Received {
            outcome: Outcome::Answered(self.status),
            is_reusable: !self.closes,
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
