//! Serialization of results and errors as JSON.

use crate::frontends::{ConnectionAction, ResponseWriter};
use driftfront_core::{Micros, ResponseChunk};
use driftfront_http::response;

/// The body of a rejection.
pub(super) const OVERLOADED: &[u8] = br#"{"error":"Overloaded"}"#;

/// Serializes the rows of a result as JSON. Nothing is written before the result is complete.
#[derive(Default)]
pub(super) struct JsonWriter {
    /// The rows so far, including the opening bracket.
    body: Vec<u8>,
}

impl JsonWriter {
    fn push_row(&mut self, row: &str) {
        self.body
            .push(if self.body.is_empty() { b'[' } else { b',' });
        for (index, column) in row.split('\t').enumerate() {
            self.body.push(if index == 0 { b'[' } else { b',' });
            self.body.extend_from_slice(json_string(column).as_bytes());
        }
        self.body.push(b']');
    }
}

impl ResponseWriter for JsonWriter {
    fn write_chunk(&mut self, chunk: &ResponseChunk, _out: &mut Vec<u8>) {
        let Ok(text) = std::str::from_utf8(&chunk.rows) else {
            return;
        };
        if text.is_empty() {
            return;
        }
        for row in text.strip_suffix('\n').unwrap_or(text).split('\n') {
            self.push_row(row);
        }
    }

    fn finish(&mut self, out: &mut Vec<u8>) -> ConnectionAction {
        let rows: &[u8] = if self.body.is_empty() {
            b"["
        } else {
            &self.body
        };
        let body = [b"{\"data\":", rows, b"]}"].concat();
        let headers = [("Content-Type", "application/json")];
        out.extend(response(200, &headers, &body, false));
        ConnectionAction::KeepOpen
    }

    fn reject(&mut self, retry_after: Micros, _message: Option<&str>, out: &mut Vec<u8>) {
        let ms = retry_after.div_ceil(1000).to_string();
        let retry_headers = [("X-Come-Back-Ms", ms.as_str())];
        let headers = if retry_after > 0 {
            &retry_headers[..]
        } else {
            &[]
        };
        out.extend(response(429, headers, OVERLOADED, false));
    }

    fn fail(&mut self, _message: Option<&str>, out: &mut Vec<u8>) {
        out.extend(response(500, &[], br#"{"error":"Internal"}"#, false));
    }

    fn abort(&mut self, message: Option<&str>, out: &mut Vec<u8>) -> ConnectionAction {
        self.fail(message, out);
        ConnectionAction::KeepOpen
    }
}

/// The response to an invalid request.
pub(super) fn json_error(status: u16, message: &str) -> Vec<u8> {
    let body = format!("{{\"error\":{}}}", json_string(message));
    response(status, &[], body.as_bytes(), false)
}

fn json_string(text: &str) -> String {
    tinyjson::JsonValue::String(text.into())
        .stringify()
        .unwrap_or_else(|_| "\"\"".into())
}
