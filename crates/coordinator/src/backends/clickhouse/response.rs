//! Processing of one engine response.

use super::cause::{cause_of_error, cause_of_invalid_result};
use super::{PROGRESS_HEADER, QUERY_ID_HEADER};
use crate::backends::EngineEvent;
use driftfront_clickhouse::exception::{parse_code, MAX_TEXT_BYTES};
use driftfront_clickhouse::result_checker::{ResultChecker, ResultError};
use driftfront_core::{AttemptKey, ResponseChunk};
use driftfront_http::{header, ResponseHead};

/// Number of bytes buffered before any row is forwarded. An error detected up to then can still be retried or reported in full.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;
/// Headers that are forwarded to the client, in addition to those with [`FORWARDED_PREFIXES`].
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "content-encoding", "content-disposition"];
/// Prefixes of forwarded headers. See [`FORWARDED_HEADERS`].
const FORWARDED_PREFIXES: [&str; 2] = ["x-clickhouse-", "access-control-"];

/// The state of a response.
#[derive(Default)]
pub(super) struct Response {
    /// The query id known to the client.
    request_id: String,
    head: Option<ResponseHead>,
    /// Error text, or rows that are not forwarded yet.
    buffered: Vec<u8>,
    /// Checks the result; present once the head of a query's response has arrived.
    checker: Option<ResultChecker>,
    is_forwarding: bool,
    /// The value of the last progress header.
    progress: Option<String>,
}

impl Response {
    /// The response to the query that the client knows by this id.
    pub(super) fn for_request(request_id: &str) -> Response {
        Response {
            request_id: request_id.into(),
            ..Response::default()
        }
    }

    pub(super) fn has_head(&self) -> bool {
        self.head.is_some()
    }

    pub(super) fn set_progress(&mut self, header_value: String) {
        self.progress = Some(header_value);
    }

    /// Stores the head; `checker` checks the result of a query.
    pub(super) fn set_head(&mut self, head: ResponseHead, checker: Option<ResultChecker>) {
        self.head = Some(head);
        if checker.is_some() {
            self.checker = checker;
        }
    }

    /// The exception code in the head, if there is one.
    fn code(&self) -> Option<u32> {
        header(&self.head.as_ref()?.headers, "X-ClickHouse-Exception-Code")?
            .trim()
            .parse()
            .ok()
    }

    /// Whether the head reports an error.
    pub(super) fn is_error(&self) -> bool {
        self.code().is_some() || self.head.as_ref().is_some_and(|h| h.status != 200)
    }

    /// The headers to forward to the client.
    fn forwarded_headers(&mut self) -> Vec<(String, String)> {
        let headers = self.head.iter().flat_map(|h| &h.headers);
        let mut forwarded: Vec<_> = headers.filter(|h| is_forwarded(&h.0)).cloned().collect();
        // A further attempt may have run under an id that differs from the client's.
        let request_id = std::mem::take(&mut self.request_id);
        for (name, value) in &mut forwarded {
            if name.eq_ignore_ascii_case(QUERY_ID_HEADER) {
                value.clone_from(&request_id);
            }
        }
        forwarded.extend(
            self.progress
                .take()
                .map(|p| (PROGRESS_HEADER.to_string(), p)),
        );
        forwarded
    }

    /// Processes a part of the body.
    ///
    /// # Errors
    ///
    /// If the result is invalid; the rest of the response must not be used.
    pub(super) fn add_body(
        &mut self,
        key: AttemptKey,
        bytes: Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), ResultError> {
        if self.is_error() {
            let available = MAX_TEXT_BYTES.saturating_sub(self.buffered.len());
            self.buffered
                .extend_from_slice(&bytes[..bytes.len().min(available)]);
            return Ok(());
        }
        if let Some(checker) = &mut self.checker {
            checker.push(&bytes)?;
        }
        if self.buffered.is_empty() {
            self.buffered = bytes;
        } else {
            self.buffered.extend(bytes);
        }
        if self.is_forwarding || self.buffered.len() > MAX_BUFFERED_BYTES {
            self.forward_buffered(key, false, events);
        }
        Ok(())
    }

    /// Forwards the buffered rows; the first chunk also carries the headers.
    fn forward_buffered(&mut self, key: AttemptKey, is_last: bool, events: &mut Vec<EngineEvent>) {
        let is_first = !std::mem::replace(&mut self.is_forwarding, true);
        let headers = if is_first {
            self.forwarded_headers()
        } else {
            Vec::new()
        };
        let chunk = ResponseChunk {
            headers,
            rows: std::mem::take(&mut self.buffered),
            is_only_chunk: is_first && is_last,
        };
        events.push(EngineEvent::ResponseChunk(key, chunk));
    }

    /// Ends a complete response.
    pub(super) fn finish(&mut self, key: AttemptKey, events: &mut Vec<EngineEvent>) {
        if self.is_error() {
            return events.push(self.error_event(key));
        }
        if let Some(Err(error)) = self.checker.as_mut().map(|c| c.finish(false)) {
            return events.push(EngineEvent::Failed(key, cause_of_invalid_result(&error)));
        }
        if !self.is_forwarding || !self.buffered.is_empty() {
            self.forward_buffered(key, true, events);
        }
        events.push(EngineEvent::Served(key));
    }

    /// Ends a response whose connection closed early. Servers close it without the last chunk after an error that occurred too late
    /// for the status. Returns the failure if the engine reported a reason.
    pub(super) fn finish_truncated(&mut self, key: AttemptKey) -> Option<EngineEvent> {
        if !self.has_head() || self.is_error() {
            return None;
        }
        match self.checker.as_mut()?.finish(true) {
            Err(error @ ResultError::Exception(_)) => {
                Some(EngineEvent::Failed(key, cause_of_invalid_result(&error)))
            }
            // The early close alone already fails the attempt.
            _ => None,
        }
    }

    fn error_event(&self, key: AttemptKey) -> EngineEvent {
        let text = String::from_utf8_lossy(&self.buffered);
        let text = text.trim_end();
        let code = self.code().or_else(|| parse_code(text));
        let status = self.head.as_ref().map_or(0, |h| h.status);
        EngineEvent::Failed(key, cause_of_error(code, status, text))
    }
}

/// Whether a header is forwarded to the client.
fn is_forwarded(name: &str) -> bool {
    let has_prefix = |prefix: &&str| {
        name.get(..prefix.len())
            .is_some_and(|begin| begin.eq_ignore_ascii_case(prefix))
    };
    FORWARDED_PREFIXES.iter().any(has_prefix)
        || FORWARDED_HEADERS
            .iter()
            .any(|h| name.eq_ignore_ascii_case(h))
}

/// The completed fraction of a query, parsed from its progress header.
pub(super) fn progress_fraction(value: &str) -> Option<f64> {
    let number = |name: &str| {
        let rest = &value[value.find(&format!("\"{name}\""))? + name.len() + 2..];
        let digits = rest.trim_start_matches([':', ' ', '"']);
        let end = digits
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(digits.len());
        digits[..end].parse::<f64>().ok()
    };
    let (read, total) = (number("read_rows")?, number("total_rows_to_read")?);
    (total > 0.0).then(|| (read / total).clamp(0.0, 1.0))
}
