//! The platform's list: server-sent events over HTTP. Without sockets: bytes in, events out.

use super::EngineListWatch;
use driftfront_core::Micros;
use driftfront_http::{ResponsePart, ResponseReader};
use driftfront_settings::json::{parse, Json};
use tinyjson::JsonValue;

/// A comment comes each second: nothing for this long means a stream that has stopped, though it is open.
const SILENCE: Micros = 2_000_000;
/// Longest event read.
const EVENT_MOST: usize = 4 * 1024 * 1024;

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
    after_cr: bool,
}

impl EventReader {
    /// Takes bytes in any pieces; an error if an event is beyond all bounds.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<ServerEvent>) -> Result<(), String> {
        for &b in bytes {
            // A line ends in LF, CR or CR LF.
            let second = std::mem::replace(&mut self.after_cr, b == b'\r') && b == b'\n';
            if second {
                continue;
            }
            if b == b'\n' || b == b'\r' {
                let line = std::mem::take(&mut self.line);
                self.take(&String::from_utf8_lossy(&line), events);
            } else {
                self.line.push(b);
            }
            if self.line.len() + self.data.len() > EVENT_MOST {
                return Err("an event of more than 4 MiB".into());
            }
        }
        Ok(())
    }

    fn take(&mut self, line: &str, events: &mut Vec<ServerEvent>) {
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
const AGAIN_MOST: u8 = 3;

/// The platform's stream of changes.
pub struct Stream {
    host: String,
    /// Number of the last event taken over.
    last: u64,
    /// How often the event behind that could not be read.
    spoilt: u8,
    http: ResponseReader,
    events: EventReader,
}

impl Stream {
    /// The stream behind the event of this number.
    pub fn new(host: String, last: u64) -> Stream {
        let (http, events) = Default::default();
        Stream {
            host,
            last,
            spoilt: 0,
            http,
            events,
        }
    }

    /// Takes an event over; an error if it has to be asked for again.
    fn take(&mut self, event: ServerEvent, updates: &mut Vec<JsonValue>) -> Result<(), String> {
        let json = parse(event.data.as_bytes());
        let index = json
            .as_ref()
            .ok()
            .and_then(|json| Json(Some(json)).get("index").whole());
        let number = event.id.or(index);
        // After a new connection events may come again.
        if number.is_some_and(|n| n <= self.last) {
            return Ok(());
        }
        if let (Err(e), true) = (&json, self.spoilt < AGAIN_MOST) {
            self.spoilt += 1;
            return Err(format!("the event behind {} can't be read: {e}", self.last));
        }
        (self.last, self.spoilt) = (number.unwrap_or(self.last), 0);
        match json {
            Ok(json) => updates.push(json),
            Err(e) => tracing::warn!("engine list: an event is left out: {e}"),
        }
        Ok(())
    }
}

impl EngineListWatch for Stream {
    fn open(&mut self) -> Vec<u8> {
        (self.http, self.events) = Default::default();
        let (host, last) = (&self.host, self.last);
        format!("GET /v2/stream HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last}\r\n\r\n")
            .into_bytes()
    }

    fn feed(
        &mut self,
        bytes: &[u8],
        _out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), String> {
        self.http.push(bytes);
        let mut events = Vec::new();
        while let Some(part) = self
            .http
            .next_part()
            .map_err(|e| format!("bad HTTP: {e:?}"))?
        {
            match part {
                ResponsePart::Head(head) if head.status != 200 => {
                    return Err(format!("status {}", head.status));
                }
                ResponsePart::Head(_) => {}
                ResponsePart::Body(bytes) => self.events.push(&bytes, &mut events)?,
                ResponsePart::EarlyHeader(_) => {}
                ResponsePart::End => return Err("the stream ended".into()),
            }
            for event in events.drain(..) {
                self.take(event, updates)?;
            }
        }
        Ok(())
    }

    fn silence(&self) -> Micros {
        SILENCE
    }

    fn moved(&mut self, host: String) {
        self.host = host;
    }
}
