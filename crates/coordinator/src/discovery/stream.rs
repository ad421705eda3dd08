//! Reads the platform's engine list from server-sent events over HTTP. Does no I/O: bytes in, events out.

use super::{DiscoveryError, EngineListWatch};
use driftfront_core::Micros;
use driftfront_http::{ResponsePart, ResponseReader};
use driftfront_settings::json::{parse, Json};
use tinyjson::JsonValue;

/// The platform sends a comment each second; a stream that is silent for this long is considered broken.
const SILENCE_TIMEOUT: Micros = 2_000_000;
/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// An event of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// The event's number.
    pub id: Option<u64>,
    /// The event's data.
    pub data: String,
}

/// Parses a stream of server-sent events.
#[derive(Default)]
pub struct EventReader {
    line: Vec<u8>,
    id: Option<u64>,
    data: String,
    /// Whether the last byte was a CR; an LF that follows it belongs to the same line end.
    is_after_cr: bool,
}

impl EventReader {
    /// Parses bytes, in chunks of any size, and appends the complete events to `events`.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds its maximum length.
    pub fn push(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<ServerEvent>,
    ) -> Result<(), DiscoveryError> {
        for &b in bytes {
            // A line ends in LF, CR or CR LF.
            let is_lf_after_cr = std::mem::replace(&mut self.is_after_cr, b == b'\r') && b == b'\n';
            if is_lf_after_cr {
                continue;
            }
            if b == b'\n' || b == b'\r' {
                let line = std::mem::take(&mut self.line);
                self.add_line(&String::from_utf8_lossy(&line), events);
            } else {
                self.line.push(b);
            }
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                return Err(DiscoveryError::EventTooLong);
            }
        }
        Ok(())
    }

    fn add_line(&mut self, line: &str, events: &mut Vec<ServerEvent>) {
        if line.is_empty() {
            let data = std::mem::take(&mut self.data);
            let id = self.id.take();
            if !data.is_empty() {
                events.push(ServerEvent { id, data });
            }
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = value.parse().ok(),
            "data" => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            // Comments have no name; other fields are ignored.
            _ => {}
        }
    }
}

/// How often an event that can't be parsed is requested again. A truncated event arrives complete the next time, and skipping it
/// could miss a drain; an event that is never valid must not block the later ones.
const MAX_EVENT_RETRIES: u8 = 3;

/// The platform's stream of changes.
pub struct Stream {
    host: String,
    /// The number of the last event that was read.
    last: u64,
    /// How often the event after that could not be parsed.
    retries: u8,
    http: ResponseReader,
    events: EventReader,
}

impl Stream {
    /// Creates a stream that starts after the event of this number, at `host:port`.
    pub fn new(host: String, last: u64) -> Stream {
        Stream {
            host,
            last,
            retries: 0,
            http: ResponseReader::default(),
            events: EventReader::default(),
        }
    }

    /// Applies an event.
    ///
    /// Fails if the event must be requested again.
    fn apply(
        &mut self,
        event: &ServerEvent,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError> {
        let json = parse(event.data.as_bytes());
        let index = || {
            let json = json.as_ref().ok()?;
            Json(Some(json)).get("index").integer()
        };
        let number = event.id.or_else(index);
        // Events may be repeated on a new connection.
        if number.is_some_and(|n| n <= self.last) {
            return Ok(());
        }
        if json.is_err() && self.retries < MAX_EVENT_RETRIES {
            self.retries += 1;
            return json.map(drop).map_err(|e| DiscoveryError::BadEvent {
                last: self.last,
                error: e.to_string(),
            });
        }
        (self.last, self.retries) = (number.unwrap_or(self.last), 0);
        match json {
            Ok(json) => updates.push(json),
            Err(e) => tracing::warn!("engine list: skipped an event that can't be parsed: {e}"),
        }
        Ok(())
    }
}

impl EngineListWatch for Stream {
    fn open_request(&mut self) -> Vec<u8> {
        (self.http, self.events) = Default::default();
        let (host, last) = (&self.host, self.last);
        format!(
            "GET /v2/stream HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last}\r\n\r\n"
        )
        .into_bytes()
    }

    fn decode(
        &mut self,
        bytes: &[u8],
        _out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError> {
        self.http.push(bytes);
        let mut events = Vec::new();
        while let Some(part) = self.http.next_part().map_err(DiscoveryError::Http)? {
            match part {
                ResponsePart::Head(head) if head.status != 200 => {
                    return Err(DiscoveryError::Status(head.status));
                }
                ResponsePart::Head(_) | ResponsePart::EarlyHeader(_) => {}
                ResponsePart::Body(bytes) => self.events.push(&bytes, &mut events)?,
                ResponsePart::End => return Err(DiscoveryError::StreamEnded),
            }
            for event in events.drain(..) {
                self.apply(&event, updates)?;
            }
        }
        Ok(())
    }

    fn silence_timeout(&self) -> Micros {
        SILENCE_TIMEOUT
    }

    fn set_host(&mut self, host: String) {
        self.host = host;
    }
}
