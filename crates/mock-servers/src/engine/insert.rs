//! Inserts: the rows after the statement and in the rest of the body.

use super::connection::{Connection, FIRST_BODY_BYTES};
use super::exception::{code, Exception};
use super::query::Query;
use super::state::Table;
use driftfront_clickhouse::block;
use driftfront_clickhouse::coding::{Coding, Decoder};
use driftfront_http::header;
use std::time::Duration;

/// Maximum length of a compressed body.
const MAX_COMPRESSED_BYTES: usize = 64 * 1024 * 1024;

impl Connection<'_> {
    /// Inserts rows into a table: those in `inline` and those of the body.
    pub(super) fn insert(
        &mut self,
        query: &Query,
        table: &str,
        inline: &str,
    ) -> Result<(), Exception> {
        let content_coding = header(&query.request.headers, "content-encoding");
        let content_coding = content_coding.and_then(Coding::from_name);
        let is_in_blocks = query.params.is_on("decompress");
        let mut rows = Table::default();
        let body_bytes = if content_coding.is_some() || is_in_blocks {
            self.read_compressed_rows(query, content_coding, is_in_blocks, &mut rows)?
        } else {
            self.read_plain_rows(query, inline, &mut rows)?
        };
        self.shared
            .log
            .update(query.entry, |entry| entry.bytes = body_bytes);
        self.append_rows(query, table, rows);
        Ok(())
    }

    /// Reads the whole body and decompresses it. Returns its compressed length.
    fn read_compressed_rows(
        &mut self,
        query: &Query,
        content_coding: Option<Coding>,
        is_in_blocks: bool,
        rows: &mut Table,
    ) -> Result<u64, Exception> {
        let mut body = query.request.body.clone();
        while self.read_more_body(&mut body)? {
            if body.len() > MAX_COMPRESSED_BYTES {
                let message = "The body is too large to be unpacked here";
                return Err(Exception::new(code::MEMORY_LIMIT_EXCEEDED, message));
            }
        }
        let length = body.len() as u64;
        if let Some(content_coding) = content_coding {
            body = decompress(content_coding, &body)?;
        }
        if is_in_blocks {
            body = decompress_blocks(&body)?;
        }
        rows.push(if query.is_in_body {
            after_statement(&body)
        } else {
            &body
        });
        Ok(length)
    }

    /// Reads an uncompressed body in pieces. Returns its length.
    fn read_plain_rows(
        &mut self,
        query: &Query,
        inline: &str,
        rows: &mut Table,
    ) -> Result<u64, Exception> {
        let request = &query.request;
        if !query.is_in_body {
            rows.push(inline.as_bytes());
            rows.push(&request.body);
        } else if request.has_more_body || !inline.is_empty() {
            rows.push(after_statement(&request.body));
        }
        let pause = query.faults.number("slow_ms").map(Duration::from_millis);
        let max_bytes: Option<u64> = query.faults.number("error_after");
        let mut length = request.body.len() as u64;
        let mut body = Vec::new();
        loop {
            if let Some(pause) = pause {
                std::thread::sleep(pause);
            }
            let has_more = self.read_more_body(&mut body)?;
            length += body.len() as u64;
            rows.push(&body);
            body.clear();
            if max_bytes.is_some_and(|max_bytes| rows.bytes > max_bytes) {
                let message = "Memory limit exceeded in the middle of an insert";
                return Err(Exception::new(code::MEMORY_LIMIT_EXCEEDED, message));
            }
            if !has_more {
                return Ok(length);
            }
        }
    }

    /// Reads more of the body. Returns `false` once it is complete.
    fn read_more_body(&mut self, body: &mut Vec<u8>) -> Result<bool, Exception> {
        let network_error = |message: &str| Exception::new(code::NETWORK_ERROR, message);
        if !self.reader.has_unread_body() {
            return Ok(false);
        }
        if !self.read().map_err(|e| network_error(&e.to_string()))? {
            return Err(network_error("The body breaks off"));
        }
        let is_complete = self.reader.read_body(body);
        let is_complete = is_complete.map_err(|_| network_error("The body can't be read"))?;
        Ok(!is_complete)
    }

    /// Appends rows to a temporary table of the session or to a table of the engine, which is created if it is missing.
    fn append_rows(&self, query: &Query, table: &str, rows: Table) {
        let mut state = self.shared.state();
        let state = &mut *state;
        let session = query.session.as_ref();
        let temporary = session
            .and_then(|id| state.sessions.get_mut(id))
            .and_then(|session| session.tables.get_mut(table));
        match temporary {
            Some(temporary) => temporary.append(rows),
            None => state.tables.entry(table.into()).or_default().append(rows),
        }
    }
}

fn decompress(content_coding: Coding, body: &[u8]) -> Result<Vec<u8>, Exception> {
    let failed = |e: std::io::Error| Exception::new(code::CANNOT_INFLATE, e.to_string());
    let mut decoder = Decoder::new(content_coding, Vec::new()).map_err(failed)?;
    decoder
        .push(body)
        .and_then(|()| decoder.finish())
        .map_err(failed)?;
    Ok(decoder.get_ref().clone())
}

/// Decompresses a body of compressed blocks.
pub(super) fn decompress_blocks(body: &[u8]) -> Result<Vec<u8>, Exception> {
    let failed = |message: String| Exception::new(code::CANNOT_DECOMPRESS, message);
    let prefix = block::decompress_prefix(body, usize::MAX).map_err(|e| failed(e.to_string()))?;
    if prefix.block_bytes < body.len() {
        return Err(failed("a block is cut".into()));
    }
    Ok(prefix.data)
}

/// The rows after `INSERT ... FORMAT name` or `VALUES` in a body.
fn after_statement(body: &[u8]) -> &[u8] {
    let start = &body[..body.len().min(FIRST_BODY_BYTES)];
    let text = String::from_utf8_lossy(start).to_ascii_lowercase();
    let end_of = |keyword: &str| text.find(keyword).map(|at| at + keyword.len());
    let end_of_format = end_of(" format ").map(|at| {
        let name = text[at..].trim_start();
        let name_start = text.len() - name.len();
        let name_length = name.find(char::is_whitespace).unwrap_or(name.len());
        name_start + name_length
    });
    let Some(end) = end_of_format.or_else(|| end_of("values")) else {
        return &[];
    };
    body[end.min(body.len())..].trim_ascii_start()
}
