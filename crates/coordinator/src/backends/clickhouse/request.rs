//! Serialization of queries and probes.

use super::{COMPRESSED_BLOCKS, REQUEST_HEADERS, URL_PARAMETERS};
use crate::backends::AttemptRequest;
use driftfront_clickhouse::params::encode;
use driftfront_core::Micros;
use driftfront_http::chunk;
use std::fmt::Write as _;

/// Initial capacity of the head's buffer; typical heads are shorter.
const HEAD_CAPACITY_BYTES: usize = 512;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Properties of a query that was written.
pub(super) struct WrittenQuery {
    /// Whether the result is requested in compressed blocks.
    pub(super) has_blocks: bool,
    /// Number of bytes with which an engine can't have begun to run the query.
    pub(super) bytes_without_effect: usize,
}

/// Writes a query, with only the first part of a streamed body.
pub(super) fn write_query(host: &str, attempt: &AttemptRequest, out: &mut Vec<u8>) -> WrittenQuery {
    let begin = out.len();
    let mut head = String::with_capacity(HEAD_CAPACITY_BYTES);
    write_target(attempt, &mut head);
    let (mut headers, mut has_blocks) = ("", false);
    for (name, value) in attempt.request.parameters.iter() {
        match name.as_str() {
            URL_PARAMETERS => head.push_str(value),
            REQUEST_HEADERS => headers = value,
            COMPRESSED_BLOCKS => has_blocks = true,
            _ => {}
        }
    }
    let _ = write!(head, " HTTP/1.1\r\nHost: {host}\r\n{headers}");
    let request = attempt.request;
    if request.is_body_streamed {
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        out.extend(head.bytes());
        out.extend(chunk(&request.statement));
    } else {
        let _ = write!(head, "Content-Length: {}\r\n\r\n", request.statement.len());
        out.extend(head.bytes());
        out.extend_from_slice(&request.statement);
    }
    let written = out.len() - begin;
    // Engines apply the rows of an insert as they arrive.
    let runs_as_it_arrives =
        (request.runs_once || request.is_body_streamed) && written > head.len();
    WrittenQuery {
        has_blocks,
        bytes_without_effect: if runs_as_it_arrives {
            head.len()
        } else {
            written - 1
        },
    }
}

/// Writes the method and the coordinator's own URL parameters. The engine's time limit is derived from the coordinator's timeout, so
/// that a query does not continue to run after the coordinator stopped waiting for it.
fn write_target(attempt: &AttemptRequest, head: &mut String) {
    let seconds = attempt.timeout.div_ceil(MICROS_PER_SECOND).max(1);
    head.push_str("POST /?query_id=");
    encode(attempt.name, head);
    let _ = write!(head, "&max_execution_time={seconds}");
    if let Some(interval) = attempt.progress_interval {
        let ms = interval / 1000;
        let _ = write!(
            head,
            "&send_progress_in_http_headers=1&http_headers_progress_interval_ms={ms}"
        );
    }
}

/// Writes a probe.
pub(super) fn write_ping(host: &str, out: &mut Vec<u8>) {
    out.extend(format!("GET /ping HTTP/1.1\r\nHost: {host}\r\n\r\n").bytes());
}
