//! Engines from etcd: its v3 JSON gateway, a range first, then a watch from the revision behind it.
//!
//! Each key under the prefix is one engine; its value is an object as the platform's list has it
//! (`hostPort`, `zone`, `machineType`, `cell`, `lifecycle`), and the rest of the key is its instance id.

use super::EngineListWatch;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use driftfront_core::Micros;
use driftfront_http::{ResponsePart, ResponseReader};
use driftfront_settings::json::{parse, Json};
use std::collections::HashMap;
use tinyjson::JsonValue;

/// A watch tells nothing while nothing changes: after this long it is opened anew, since a silent
/// connection can't be told from a dead one.
const SILENCE: Micros = 30_000_000;
/// Longest message read.
const MESSAGE_MOST: usize = 4 * 1024 * 1024;

/// The watch of one prefix.
pub struct Etcd {
    host: String,
    prefix: String,
    /// Revision up to which the list is known; 0: the whole range is to be read.
    revision: u64,
    http: ResponseReader,
    text: Vec<u8>,
    watching: bool,
}

fn base(text: &[u8]) -> String {
    STANDARD.encode(text)
}

/// The first key behind all that begin with the prefix.
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

fn object(pairs: Vec<(&str, JsonValue)>) -> JsonValue {
    JsonValue::Object(pairs.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

/// The gateway writes 64-bit numbers as strings.
fn number(json: Json) -> u64 {
    json.text()
        .and_then(|t| t.parse().ok())
        .or(json.whole())
        .unwrap_or(0)
}

impl Etcd {
    /// A watch of the keys under a prefix.
    pub fn new(host: String, prefix: String) -> Etcd {
        let (http, text) = Default::default();
        Etcd {
            host,
            prefix,
            revision: 0,
            http,
            text,
            watching: false,
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

    fn range(&self) -> Vec<u8> {
        let (key, end) = (base(self.prefix.as_bytes()), base(&range_end(&self.prefix)));
        self.post(
            "/v3/kv/range",
            &format!("{{\"key\":\"{key}\",\"range_end\":\"{end}\"}}"),
        )
    }

    fn watch(&self) -> Vec<u8> {
        let (key, end) = (base(self.prefix.as_bytes()), base(&range_end(&self.prefix)));
        let start = self.revision + 1;
        self.post(
            "/v3/watch",
            &format!(
                "{{\"create_request\":{{\"key\":\"{key}\",\"range_end\":\"{end}\",\"start_revision\":\"{start}\"}}}}"
            ),
        )
    }

    /// An engine's line from a key and its value; one whose value can't be read is left out.
    fn instance(&self, kv: Json, gone: bool) -> Option<JsonValue> {
        let decoded = |key: &str| STANDARD.decode(kv.get(key).text()?).ok();
        let key = String::from_utf8(decoded("key")?).ok()?;
        let name = key.strip_prefix(&self.prefix)?.to_string();
        let mut line: HashMap<String, JsonValue> = match gone {
            true => HashMap::from([("lifecycle".to_string(), JsonValue::String("gone".into()))]),
            false => match parse(&decoded("value")?) {
                Ok(JsonValue::Object(line)) => line,
                _ => {
                    tracing::warn!("etcd: the value of {key} is no JSON object");
                    return None;
                }
            },
        };
        line.insert("instanceId".into(), JsonValue::String(name));
        line.entry("lifecycle".into())
            .or_insert_with(|| JsonValue::String("ready".into()));
        Some(JsonValue::Object(line))
    }

    fn update(reset: bool, instances: Vec<JsonValue>) -> JsonValue {
        let body = object(vec![
            ("reset", reset.into()),
            ("instances", JsonValue::Array(instances)),
        ]);
        object(vec![("endpoints", body)])
    }

    fn take_range(&mut self, text: &[u8], updates: &mut Vec<JsonValue>) -> Result<(), String> {
        let json = parse(text)?;
        let json = Json(Some(&json));
        self.revision = number(json.get("header").get("revision"));
        if self.revision == 0 {
            return Err("a range without a revision".into());
        }
        let lines = json
            .get("kvs")
            .each()
            .filter_map(|kv| self.instance(kv, false))
            .collect();
        updates.push(Etcd::update(true, lines));
        Ok(())
    }

    fn take_watch(&mut self, text: &[u8], updates: &mut Vec<JsonValue>) -> Result<(), String> {
        let json = parse(text)?;
        let result = Json(Some(&json)).get("result");
        if result.is_null() || result.get("canceled").flag() {
            // Compacted away, or an error: only the whole range is sure.
            self.revision = 0;
            return Err("the watch was ended".into());
        }
        let events = result.get("events");
        let line = |e: Json| self.instance(e.get("kv"), e.get("type").text() == Some("DELETE"));
        let lines: Vec<_> = events.each().filter_map(line).collect();
        let seen = events
            .each()
            .map(|e| number(e.get("kv").get("mod_revision")))
            .max()
            .unwrap_or(0);
        self.revision = self.revision.max(seen);
        if !lines.is_empty() {
            updates.push(Etcd::update(false, lines));
        }
        Ok(())
    }
}

impl EngineListWatch for Etcd {
    fn open(&mut self) -> Vec<u8> {
        self.http = ResponseReader::default();
        self.text.clear();
        self.watching = self.revision > 0;
        if self.watching {
            self.watch()
        } else {
            self.range()
        }
    }

    fn feed(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), String> {
        self.http.push(bytes);
        while let Some(part) = self
            .http
            .next_part()
            .map_err(|e| format!("bad HTTP: {e:?}"))?
        {
            match part {
                ResponsePart::Head(head) if head.status != 200 => {
                    self.revision = 0;
                    return Err(format!("status {}", head.status));
                }
                ResponsePart::Head(_) => {}
                ResponsePart::Body(bytes) => {
                    self.text.extend(bytes);
                    if self.text.len() > MESSAGE_MOST {
                        return Err("a message of more than 4 MiB".into());
                    }
                    // A watch's messages are JSON texts, one a line.
                    while let Some(end) =
                        self.text.iter().position(|&b| self.watching && b == b'\n')
                    {
                        let line: Vec<u8> = self.text.drain(..=end).collect();
                        if !line.trim_ascii().is_empty() {
                            self.take_watch(&line, updates)?;
                        }
                    }
                }
                ResponsePart::End if self.watching => return Err("the watch ended".into()),
                ResponsePart::EarlyHeader(_) => {}
                ResponsePart::End => {
                    let text = std::mem::take(&mut self.text);
                    self.take_range(&text, updates)?;
                    self.watching = true;
                    out.extend(self.watch());
                }
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
