//! Streamed results, in the chunked coding if the client supports it.

use super::replies::{exception_with, OVERLOADED};
use crate::frontends::{ConnectionAction, ResponseWriter};
use driftfront_clickhouse::exception::{
    tagged_exception, Exception, NETWORK_ERROR, TOO_MANY_QUERIES,
};
use driftfront_clickhouse::request::Query;
use driftfront_core::{Micros, ResponseChunk};
use driftfront_http::{chunk as http_chunk, response_head, BodyFraming, LAST_CHUNK};

const MICROS_PER_SECOND: Micros = 1_000_000;

/// Serializes the result of one query.
pub(super) struct StreamWriter {
    /// The query id known to the client.
    query_id: String,
    has_begun: bool,
    /// The head had a `Content-Length`, so the body is complete after its only chunk.
    has_length: bool,
    is_chunked: bool,
    head_only: bool,
    /// The client requested progress headers.
    wants_progress: bool,
    /// The exception tag in the head sent to the client.
    exception_tag: Option<String>,
    /// The result is compressed, so plain text can't be appended to it.
    is_compressed: bool,
}

impl StreamWriter {
    pub(super) fn new(query: &Query, query_id: &str) -> StreamWriter {
        StreamWriter {
            query_id: query_id.into(),
            has_begun: false,
            has_length: false,
            is_chunked: query.supports_chunked,
            head_only: query.is_head,
            wants_progress: query.wants_progress,
            exception_tag: None,
            is_compressed: query.wants_blocks,
        }
    }

    /// A response with an exception and the query id.
    fn exception(&self, status: u16, e: &Exception, more_headers: &[(&str, &str)]) -> Vec<u8> {
        let mut headers = vec![("X-ClickHouse-Query-Id", self.query_id.as_str())];
        headers.extend(more_headers);
        exception_with(status, e, &headers, self.head_only)
    }

    fn write_head(&mut self, first: &ResponseChunk, out: &mut Vec<u8>) {
        // The coordinator always requests progress from engines; only clients that requested it receive the header.
        let is_wanted =
            |name: &str| self.wants_progress || !name.eq_ignore_ascii_case("X-ClickHouse-Progress");
        let headers: Vec<(&str, &str)> = first
            .headers
            .iter()
            .filter(|(name, _)| is_wanted(name))
            .map(|(name, value)| (name.as_str(), value.as_str()))
            .collect();
        let value = |name: &str| {
            let mut all = headers.iter();
            all.find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1)
        };
        self.exception_tag = value("X-ClickHouse-Exception-Tag").map(String::from);
        self.is_compressed |= value("Content-Encoding").is_some();
        self.has_length = first.is_only_chunk;
        let framing = if first.is_only_chunk {
            BodyFraming::Length(first.rows.len())
        } else if self.is_chunked {
            BodyFraming::Chunked
        } else {
            BodyFraming::UntilClose
        };
        out.extend(response_head(200, &headers, framing, false));
    }
}

impl ResponseWriter for StreamWriter {
    fn write_chunk(&mut self, chunk: &ResponseChunk, out: &mut Vec<u8>) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.write_head(chunk, out);
        }
        if self.head_only {
            return;
        }
        if self.is_chunked && !self.has_length {
            out.extend(http_chunk(&chunk.rows));
        } else {
            out.extend_from_slice(&chunk.rows);
        }
    }

    fn finish(&mut self, out: &mut Vec<u8>) -> ConnectionAction {
        if self.is_chunked && !self.has_length && !self.head_only {
            out.extend_from_slice(LAST_CHUNK);
        }
        if self.is_chunked || self.has_length || self.head_only {
            ConnectionAction::KeepOpen
        } else {
            ConnectionAction::Close
        }
    }

    fn reject(&mut self, retry_after: Micros, message: Option<&str>, out: &mut Vec<u8>) {
        let ms = retry_after.div_ceil(1000).to_string();
        let seconds = retry_after.div_ceil(MICROS_PER_SECOND).max(1).to_string();
        let headers = [
            ("X-Come-Back-Ms", ms.as_str()),
            ("Retry-After", seconds.as_str()),
        ];
        // If an engine reported an error, it is more useful to the client than the overload message.
        let bytes = match message.and_then(Exception::parse) {
            Some(e) => self.exception(e.status(), &e, &headers),
            None => {
                let e = Exception::new(TOO_MANY_QUERIES, OVERLOADED);
                self.exception(429, &e, &headers)
            }
        };
        out.extend(bytes);
    }

    fn fail(&mut self, message: Option<&str>, out: &mut Vec<u8>) {
        let e = message.and_then(Exception::parse).unwrap_or_else(|| {
            Exception::new(
                NETWORK_ERROR,
                "The query failed, or its time ran out; it may have run",
            )
        });
        out.extend(self.exception(e.status(), &e, &[]));
    }

    /// Without the chunked coding a close ends a complete result, so the connection is reset to show that the result is incomplete.
    /// With it, the missing last chunk shows that; a client that received an exception tag also gets the reason.
    fn abort(&mut self, message: Option<&str>, out: &mut Vec<u8>) -> ConnectionAction {
        if !self.is_chunked || self.head_only {
            return ConnectionAction::Reset;
        }
        if let Some(tag) = self.exception_tag.as_ref().filter(|_| !self.is_compressed) {
            let engine_lost = Exception::new(
                NETWORK_ERROR,
                "The result breaks off here: its engine was lost",
            );
            let message = message.unwrap_or(&engine_lost.text);
            out.extend(http_chunk(tagged_exception(tag, message).as_bytes()));
        }
        ConnectionAction::Close
    }
}
