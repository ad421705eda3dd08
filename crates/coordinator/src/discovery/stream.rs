//! The platform's list: server-sent events over HTTP. Without sockets: bytes in, events out.

use super::{DiscoveryError, EngineListWatch};
use driftfront_core::Micros;
use driftfront_http::{ResponsePart, ResponseReader};
use driftfront_settings::json::{parse, Json};
use tinyjson::JsonValue;

/// A comment comes each second: nothing for this long means a stream that has stopped, though it is open.
const SILENCE_TIMEOUT: Micros = 2_000_000;
/// Longest event read.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// An event off the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its number.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
}

/// Reads the lines of a stream of server-sent events.
#[derive(Default)]
pub struct EventReader {
    line: Vec<u8>,
    id: Option<u64>,
    data: String,
    /// The last byte ended a line as CR; an LF behind it belongs to that.
    is_after_cr: bool,
}

impl EventReader {
    /// Adds bytes, in pieces of any size, and gives the events that are complete.
    ///
    /// # Errors
    ///
    /// Where an event is beyond its bound.
    pub fn push(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<ServerEvent>,
    ) -> Result<(), DiscoveryError> {
        for &b in bytes {
            // A line ends in LF, CR or CR LF.
            let is_second = std::mem::replace(&mut self.is_after_cr, b == b'\r') && b == b'\n';
            if is_second {
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
            // Comments have no name; other fields are not used here.
            _ => {}
        }
    }
}

/// An event that can't be read is asked for again so often: a cut one is whole the next time, and without it a drain would stay
/// unknown. One that is never whole must not keep the later ones out.
const MAX_EVENT_RETRIES: u8 = 3;

/// The platform's stream of changes.
pub struct Stream {
    host: String,
    /// Number of the last event that was read.
    last: u64,
    /// How often the event behind that could not be read.
    retries: u8,
    http: ResponseReader,
    events: EventReader,
}

impl Stream {
    /// The stream behind the event of this number, at `host:port`.
    pub fn new(host: String, last: u64) -> Stream {
        Stream {
            host,
            last,
            retries: 0,
            http: ResponseReader::default(),
            events: EventReader::default(),
        }
    }

    /// Applies an event; an error if it has to be asked for again.
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
        // After a new connection events may come again.
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
            Err(e) => tracing::warn!("engine list: an event is left out: {e}"),
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
