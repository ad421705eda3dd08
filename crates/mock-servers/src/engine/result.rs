//! Writes results to the client, with the requested faults.

use super::connection::{After, Connection};
use super::exception::Exception;
use super::output::{content_type, Body, Chunks, Writer};
use super::query::Query;
use super::sql::Rows;
use super::state::fnv;
use driftfront_clickhouse::block::Method;
use driftfront_clickhouse::coding::Coding;
use driftfront_clickhouse::exception::tagged_exception;
use driftfront_http::{header, response_head, BodyFraming};
use std::io::{self, Write};
use std::time::Duration;

/// Buffered bytes of rows at which they are written to the body.
const ROWS_BUFFER_BYTES: usize = 32 * 1024;
/// Rows between two checks for a disconnected client.
const CLIENT_CHECK_ROWS: u64 = 64;
/// Faults that make clients abandon a result as soon as they detect them.
const ABANDONED_RESULT_FAULTS: [&str; 3] = ["lie", "bad_block", "bad_block_after"];

/// The result of a statement.
pub(super) enum QueryResult {
    /// Rows to be written in the requested format.
    Rows(Rows),
    /// Bytes to be written unchanged.
    Raw(Vec<u8>),
}

impl QueryResult {
    pub(super) fn empty() -> QueryResult {
        QueryResult::Raw(Vec::new())
    }

    fn row_count(&self) -> u64 {
        match self {
            QueryResult::Rows(rows) => rows.count,
            QueryResult::Raw(_) => 0,
        }
    }
}

/// How the body of a result ends.
enum BodyEnd {
    /// The body is complete.
    Complete,
    /// The connection is closed before the end of the body.
    Cut,
    /// The connection stays open, but nothing more is sent.
    Silent,
}

impl Connection<'_> {
    /// Writes a result. With `is_head_begun`, the status line and progress headers have already been sent.
    pub(super) fn write_result(
        &mut self,
        query: &Query,
        format: &str,
        result: &QueryResult,
        is_head_begun: bool,
    ) -> io::Result<After> {
        let tag = exception_tag(&query.id);
        let head = self.result_head(query, format, result, &tag);
        let status_line_end = head.iter().position(|&b| b == b'\n').map_or(0, |at| at + 1);
        if ABANDONED_RESULT_FAULTS
            .iter()
            .any(|fault| query.faults.has(fault))
        {
            // The engine can't observe that the client abandons the result, so it is logged in advance.
            self.shared
                .log
                .update(query.entry, |entry| entry.client_left = true);
        }
        let copies = if query.faults.has("twice") { 2 } else { 1 };
        let request = &query.request;
        for copy in 0..copies {
            let skipped = if copy == 0 && is_head_begun {
                status_line_end
            } else {
                0
            };
            self.stream.write_all(&head[skipped..])?;
            if request.method == "HEAD" {
                return Ok(After::close_if(!request.version_1_1));
            }
            let mut body = self.result_body(query)?;
            match self.write_body(query, format, result, &tag, &mut body)? {
                BodyEnd::Complete => {
                    // Logged before the last byte is sent, since the client may start the next query as soon as it reads it.
                    self.shared.log.end(query.entry, true);
                    body.end()?.finish()?;
                }
                // Servers close the connection after an exception that follows rows.
                BodyEnd::Cut => {
                    body.flush()?;
                    return Ok(After::Close);
                }
                BodyEnd::Silent => {
                    body.flush()?;
                    return Ok(self.stay_silent(query));
                }
            }
        }
        Ok(After::close_if(request.close || !request.version_1_1))
    }

    fn result_head(&self, query: &Query, format: &str, result: &QueryResult, tag: &str) -> Vec<u8> {
        let request = &query.request;
        let summary = summary(result.row_count());
        let id = if query.faults.has("lie") {
            format!("{}-of-another", query.id)
        } else {
            query.id.clone()
        };
        let mut headers = vec![
            ("Content-Type", content_type(format)),
            ("X-ClickHouse-Server-Display-Name", "standin"),
            ("X-ClickHouse-Query-Id", &id),
            ("X-ClickHouse-Format", format),
            ("X-ClickHouse-Timezone", "UTC"),
            ("X-ClickHouse-Summary", &summary),
        ];
        if self.shared.options.tags {
            headers.push(("X-ClickHouse-Exception-Tag", tag));
        }
        if let Some(coding) = content_coding(query) {
            headers.push(("Content-Encoding", coding.name()));
        }
        let has_origin = header(&request.headers, "origin").is_some();
        if has_origin && query.params.is_on("add_http_cors_header") {
            headers.push(("Access-Control-Allow-Origin", "*"));
        }
        let framing = if request.version_1_1 {
            BodyFraming::Chunked
        } else {
            BodyFraming::UntilClose
        };
        response_head(200, &headers, framing, request.close)
    }

    fn result_body(&self, query: &Query) -> io::Result<Body> {
        let stream = self.stream.try_clone()?;
        let chunks = Chunks::new(stream, !query.request.version_1_1);
        Body::new(chunks, content_coding(query), block_method(query))
    }

    fn write_body(
        &mut self,
        query: &Query,
        format: &str,
        result: &QueryResult,
        tag: &str,
        body: &mut Body,
    ) -> io::Result<BodyEnd> {
        let rows = match result {
            QueryResult::Rows(rows) => rows,
            QueryResult::Raw(bytes) => {
                body.push(bytes)?;
                return Ok(BodyEnd::Complete);
            }
        };
        let mut writer = Writer::new(format, &rows.columns);
        let mut buffer = Vec::new();
        writer.begin(&mut buffer);
        let mut written = 0;
        let mut exception = None;
        for index in 0..rows.count {
            match rows.row(index) {
                Ok(row) => writer.row(&row, &mut buffer),
                Err(thrown) => {
                    exception = Some(thrown);
                    break;
                }
            }
            if buffer.len() >= ROWS_BUFFER_BYTES {
                written += buffer.len() as u64;
                body.push(&buffer)?;
                buffer.clear();
                if self.pause_between_rows(query, index, body)? {
                    return Ok(BodyEnd::Cut);
                }
            }
            let length = written + buffer.len() as u64;
            if let Some(end) = apply_fault_after(query, length, &buffer, body)? {
                return Ok(end);
            }
        }
        if query.faults.has("bad_block") {
            body.corrupts_next_block = true;
        }
        if let Some(code) = query.faults.number("late") {
            exception = Some(Exception::requested(code));
        }
        match exception {
            None => writer.end(None, &mut buffer),
            Some(exception) => {
                return self.end_with_exception(query, &writer, &exception, tag, buffer, body)
            }
        }
        body.push(&buffer)?;
        Ok(BodyEnd::Complete)
    }

    /// Applies the delay between rows. Returns `true` if the client has disconnected or the engine has stopped.
    fn pause_between_rows(&self, query: &Query, index: u64, body: &mut Body) -> io::Result<bool> {
        if let Some(ms) = query.faults.number("crawl_ms") {
            body.flush()?;
            std::thread::sleep(Duration::from_millis(ms));
        }
        if !self.shared.wait_while_mute() {
            return Ok(true);
        }
        if index.is_multiple_of(CLIENT_CHECK_ROWS) && self.has_client_left() {
            self.shared
                .log
                .update(query.entry, |entry| entry.client_left = true);
            return Ok(true);
        }
        Ok(false)
    }

    /// Ends a result with an exception after its rows, or inside the format if the client requests that.
    fn end_with_exception(
        &self,
        query: &Query,
        writer: &Writer,
        exception: &Exception,
        tag: &str,
        mut buffer: Vec<u8>,
        body: &mut Body,
    ) -> io::Result<BodyEnd> {
        self.shared.log.end(query.entry, true);
        let text = exception.text();
        let is_in_format = query.params.is_on("http_write_exception_in_output_format");
        if is_in_format && writer.has_exception_key() {
            writer.end(Some(&text), &mut buffer);
            body.push(&buffer)?;
            return Ok(BodyEnd::Complete);
        }
        body.push(&buffer)?;
        let text = if self.shared.options.tags {
            tagged_exception(tag, &text)
        } else {
            format!("{text}\n")
        };
        body.push(text.as_bytes())?;
        Ok(if query.faults.has("whole") {
            BodyEnd::Complete
        } else {
            BodyEnd::Cut
        })
    }
}

/// Ends a body that has reached the length at which a fault is requested.
fn apply_fault_after(
    query: &Query,
    length: u64,
    buffer: &[u8],
    body: &mut Body,
) -> io::Result<Option<BodyEnd>> {
    let is_reached = |fault: &str| {
        let limit: Option<u64> = query.faults.number(fault);
        limit.is_some_and(|limit| length >= limit)
    };
    if is_reached("silent_after") {
        body.push(buffer)?;
        return Ok(Some(BodyEnd::Silent));
    }
    if is_reached("cut_after") {
        body.push(buffer)?;
        return Ok(Some(BodyEnd::Cut));
    }
    if is_reached("bad_block_after") {
        body.push(buffer)?;
        body.flush()?;
        body.corrupts_next_block = true;
        body.push(b"1\n")?;
        return Ok(Some(BodyEnd::Complete));
    }
    Ok(None)
}

/// The tag that marks an exception after rows.
fn exception_tag(id: &str) -> String {
    const SEED: u64 = 7;
    format!("tag{:013x}", fnv(SEED, id.as_bytes()) >> 12)
}

fn summary(rows: u64) -> String {
    format!(
        "{{\"read_rows\":\"{rows}\",\"read_bytes\":\"{rows}\",\"written_rows\":\"0\",\"written_bytes\":\"0\",\
         \"total_rows_to_read\":\"{rows}\",\"result_rows\":\"{rows}\",\"result_bytes\":\"0\"}}"
    )
}

/// The content coding that the client accepts, if it requests compression.
fn content_coding(query: &Query) -> Option<Coding> {
    if !query.params.is_on("enable_http_compression") {
        return None;
    }
    let accept = header(&query.request.headers, "accept-encoding");
    Coding::negotiate(accept.unwrap_or_default())
}

/// The compression method of blocks, if the client requests compressed blocks.
fn block_method(query: &Query) -> Option<Method> {
    if !query.params.is_on("compress") {
        return None;
    }
    let method = query.params.get("network_compression_method");
    let is_zstd = method.is_some_and(|method| method.eq_ignore_ascii_case("zstd"));
    Some(if is_zstd { Method::Zstd } else { Method::Lz4 })
}
