//! Reads engines from etcd's v3 JSON gateway: a range request, then a watch from the next revision.
//!
//! Each key under the prefix is one engine. Its value is an object as in the platform's list (`hostPort`, `zone`, `machineType`,
//! `cell`, `lifecycle`); the part of the key after the prefix is the instance id.
//!
//! | state | next | when |
//! | --- | --- | --- |
//! | range, revision 0 | watch from after the range's revision | the range is complete |
//! | watch | watch from after the last revision seen | a new connection |
//! | watch | range | it was cancelled, or the status is not 200 |

use super::{DiscoveryError, EngineListWatch};
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use driftfront_core::Micros;
use driftfront_http::{ResponsePart, ResponseReader};
use driftfront_settings::json::{parse, Json};
use std::collections::HashMap;
use tinyjson::JsonValue;

/// A watch sends nothing while nothing changes. It is reopened after this long, since a silent connection can't be distinguished
/// from a broken one.
const SILENCE_TIMEOUT: Micros = 30_000_000;
/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A watch on a key prefix.
pub struct Etcd {
    host: String,
    prefix: String,
    /// The revision up to which the list is known; 0 if the full range must be read.
    revision: u64,
    http: ResponseReader,
    /// Received bytes of an incomplete message.
    message: Vec<u8>,
    is_watching: bool,
}

impl Etcd {
    /// Creates a watch on the keys under a prefix, at `host:port`.
    pub fn new(host: String, prefix: String) -> Etcd {
        Etcd {
            host,
            prefix,
            revision: 0,
            http: ResponseReader::default(),
            message: Vec::new(),
            is_watching: false,
        }
    }

    fn post(&self, path: &str, body: &str) -> Vec<u8> {
        let length = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}",
            self.host
        )
        .into_bytes()
    }

    /// The request fields that select all keys under the prefix.
    fn key_range(&self) -> String {
        let key = STANDARD.encode(&self.prefix);
        let end = STANDARD.encode(range_end(&self.prefix));
        format!("\"key\":\"{key}\",\"range_end\":\"{end}\"")
    }

    fn range_request(&self) -> Vec<u8> {
        self.post("/v3/kv/range", &format!("{{{}}}", self.key_range()))
    }

    fn watch_request(&self) -> Vec<u8> {
        let (keys, start) = (self.key_range(), self.revision + 1);
        let body = format!("{{\"create_request\":{{{keys},\"start_revision\":\"{start}\"}}}}");
        self.post("/v3/watch", &body)
    }

    /// Builds an engine's entry from a key and its value; `None` if they can't be parsed.
    fn entry(&self, kv: Json, is_deleted: bool) -> Option<JsonValue> {
        let decoded = |field: &str| STANDARD.decode(kv.get(field).text()?).ok();
        let key = String::from_utf8(decoded("key")?).ok()?;
        let name = key.strip_prefix(&self.prefix)?.to_string();
        let mut entry: HashMap<String, JsonValue> = if is_deleted {
            HashMap::from([("lifecycle".to_string(), JsonValue::String("gone".into()))])
        } else if let Ok(JsonValue::Object(entry)) = parse(&decoded("value")?) {
            entry
        } else {
            tracing::warn!("etcd: the value of {key} is not a JSON object");
            return None;
        };
        entry.insert("instanceId".into(), JsonValue::String(name));
        entry
            .entry("lifecycle".into())
            .or_insert_with(|| JsonValue::String("ready".into()));
        Some(JsonValue::Object(entry))
    }

    fn apply_range(
        &mut self,
        message: &[u8],
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError> {
        let json = parse_message(message)?;
        let json = Json(Some(&json));
        self.revision = number(json.get("header").get("revision"));
        if self.revision == 0 {
            return Err(DiscoveryError::NoRevision);
        }
        let entries = json
            .get("kvs")
            .each()
            .filter_map(|kv| self.entry(kv, false))
            .collect();
        updates.push(update(true, entries));
        Ok(())
    }

    fn apply_events(
        &mut self,
        message: &[u8],
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError> {
        let json = parse_message(message)?;
        let result = Json(Some(&json)).get("result");
        if result.is_null() || result.get("canceled").flag() {
            // The revision is compacted, or an error occurred: the full range must be read again.
            self.revision = 0;
            return Err(DiscoveryError::WatchCancelled);
        }
        let events = result.get("events");
        let entries: Vec<JsonValue> = events
            .each()
            .filter_map(|e| self.entry(e.get("kv"), e.get("type").text() == Some("DELETE")))
            .collect();
        let last_revision = events
            .each()
            .map(|e| number(e.get("kv").get("mod_revision")))
            .max()
            .unwrap_or(0);
        self.revision = self.revision.max(last_revision);
        if !entries.is_empty() {
            updates.push(update(false, entries));
        }
        Ok(())
    }

    /// Buffers a part of the body. A watch sends one JSON message per line; complete ones are applied.
    fn add_body(
        &mut self,
        bytes: &[u8],
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError> {
        self.message.extend_from_slice(bytes);
        if self.message.len() > MAX_MESSAGE_BYTES {
            return Err(DiscoveryError::MessageTooLong);
        }
        if !self.is_watching {
            return Ok(());
        }
        while let Some(end) = self.message.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = self.message.drain(..=end).collect();
            if !line.trim_ascii().is_empty() {
                self.apply_events(&line, updates)?;
            }
        }
        Ok(())
    }

    fn apply(
        &mut self,
        part: ResponsePart,
        out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError> {
        match part {
            ResponsePart::Head(head) if head.status != 200 => {
                self.revision = 0;
                Err(DiscoveryError::Status(head.status))
            }
            ResponsePart::Head(_) | ResponsePart::EarlyHeader(_) => Ok(()),
            ResponsePart::Body(bytes) => self.add_body(&bytes, updates),
            ResponsePart::End if self.is_watching => Err(DiscoveryError::WatchEnded),
            ResponsePart::End => {
                let message = std::mem::take(&mut self.message);
                self.apply_range(&message, updates)?;
                self.is_watching = true;
                out.extend(self.watch_request());
                Ok(())
            }
        }
    }
}

impl EngineListWatch for Etcd {
    fn open_request(&mut self) -> Vec<u8> {
        self.http = ResponseReader::default();
        self.message.clear();
        self.is_watching = self.revision > 0;
        if self.is_watching {
            self.watch_request()
        } else {
            self.range_request()
        }
    }

    fn decode(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError> {
        self.http.push(bytes);
        while let Some(part) = self.http.next_part().map_err(DiscoveryError::Http)? {
            self.apply(part, out, updates)?;
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

/// The first key after all keys that start with the prefix.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn parse_message(message: &[u8]) -> Result<JsonValue, DiscoveryError> {
    parse(message).map_err(|e| DiscoveryError::Json(e.to_string()))
}

/// Parses a number; the gateway writes 64-bit numbers as strings.
fn number(json: Json) -> u64 {
    json.text()
        .and_then(|t| t.parse().ok())
        .or(json.integer())
        .unwrap_or(0)
}

/// Builds an update in the platform's format.
fn update(is_reset: bool, instances: Vec<JsonValue>) -> JsonValue {
    let endpoints = object(vec![
        ("reset", is_reset.into()),
        ("instances", JsonValue::Array(instances)),
    ]);
    object(vec![("endpoints", endpoints)])
}

fn object(pairs: Vec<(&str, JsonValue)>) -> JsonValue {
    JsonValue::Object(pairs.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}
