//! The protocol state of an HTTP connection.

use super::cause::cause_of_invalid_result;
use super::request::{write_ping, write_query};
use super::response::{progress_fraction, Response};
use super::{ClickHouseError, PROGRESS_HEADER, QUERY_ID_HEADER};
use crate::backends::{AttemptRequest, EngineEvent, EngineSession, SessionError};
use driftfront_clickhouse::coding::Coding;
use driftfront_clickhouse::result_checker::{ResultChecker, ResultDescription};
use driftfront_core::{AttemptKey, Micros, Outcome, ProgressReport};
use driftfront_http::{chunk, header, ResponseHead, ResponsePart, ResponseReader, LAST_CHUNK};

/// What is in flight on the connection.
enum InFlight {
    Nothing,
    Probe(u64),
    Query(AttemptKey),
}

/// The state of one connection.
///
/// | from | to | when |
/// | --- | --- | --- |
/// | `Nothing` | `Query`, `Probe` | a query or probe is written |
/// | `Query`, `Probe` | `Nothing` | the response ends, successfully or with an error |
/// | `Query` | `Nothing`, must close | the query is stopped, its result is invalid, or the engine closes after an exception |
pub struct HttpSession {
    host: String,
    reader: ResponseReader,
    in_flight: InFlight,
    /// The id of the query in flight, on its engine.
    query_name: String,
    /// The result of the query in flight is in compressed blocks.
    has_blocks: bool,
    response: Response,
    must_close: bool,
}

impl HttpSession {
    /// Creates a session with the engine at this address, `host:port`.
    pub fn new(host: String) -> HttpSession {
        HttpSession {
            host,
            reader: ResponseReader::with_early_header(PROGRESS_HEADER),
            in_flight: InFlight::Nothing,
            query_name: String::new(),
            has_blocks: false,
            response: Response::default(),
            must_close: false,
        }
    }

    fn query(&self) -> Option<AttemptKey> {
        match self.in_flight {
            InFlight::Query(key) => Some(key),
            _ => None,
        }
    }

    fn apply(
        &mut self,
        part: ResponsePart,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), ClickHouseError> {
        match part {
            ResponsePart::EarlyHeader(value) => self.report_progress(value, events),
            ResponsePart::Head(head) => return self.begin_response(head, events),
            ResponsePart::Body(bytes) => return self.add_body(bytes, events),
            ResponsePart::End => self.end_response(events),
        }
        Ok(())
    }

    fn report_progress(&mut self, header_value: String, events: &mut Vec<EngineEvent>) {
        let Some(key) = self.query() else { return };
        if let Some(fraction) = progress_fraction(&header_value) {
            let report = ProgressReport::Progress(fraction);
            events.push(EngineEvent::ProgressReported(key, report));
        }
        self.response.set_progress(header_value);
    }

    fn begin_response(
        &mut self,
        head: ResponseHead,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), ClickHouseError> {
        self.must_close |= head.close;
        let coding = content_coding(&head);
        let checker = match self.query() {
            Some(_) => {
                self.check_query_name(&head)?;
                Some(self.check_result(&head, coding?)?)
            }
            None => {
                coding?;
                None
            }
        };
        self.response.set_head(head, checker);
        match self.in_flight {
            InFlight::Query(key) => events.push(EngineEvent::ResponseStarted(key)),
            InFlight::Probe(_) => {}
            InFlight::Nothing => return Err(ClickHouseError::Unsolicited),
        }
        Ok(())
    }

    /// Rejects a response to another query: a duplicate of an earlier response must not be used for this query.
    fn check_query_name(&self, head: &ResponseHead) -> Result<(), ClickHouseError> {
        match header(&head.headers, QUERY_ID_HEADER) {
            Some(name) if name != self.query_name => Err(ClickHouseError::OtherQuery),
            _ => Ok(()),
        }
    }

    fn check_result(
        &self,
        head: &ResponseHead,
        coding: Option<Coding>,
    ) -> Result<ResultChecker, ClickHouseError> {
        Ok(ResultChecker::new(&ResultDescription {
            has_blocks: self.has_blocks,
            coding,
            exception_tag: header(&head.headers, "X-ClickHouse-Exception-Tag"),
            format: header(&head.headers, "X-ClickHouse-Format"),
        })?)
    }

    fn add_body(
        &mut self,
        bytes: Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), ClickHouseError> {
        let Some(key) = self.query() else {
            return Ok(());
        };
        self.response.add_body(key, bytes, events).map_err(|error| {
            (self.in_flight, self.must_close) = (InFlight::Nothing, true);
            events.push(EngineEvent::Failed(key, cause_of_invalid_result(&error)));
            error.into()
        })
    }

    fn end_response(&mut self, events: &mut Vec<EngineEvent>) {
        match std::mem::replace(&mut self.in_flight, InFlight::Nothing) {
            InFlight::Query(key) => self.response.finish(key, events),
            InFlight::Probe(tag) => {
                let outcome = if self.response.is_error() {
                    Outcome::Error
                } else {
                    Outcome::Ok
                };
                events.push(EngineEvent::ProbeEnded(tag, outcome, Vec::new()));
            }
            InFlight::Nothing => {}
        }
        self.response = Response::default();
    }
}

/// The content coding of a result; `None` for uncompressed bytes.
fn content_coding(head: &ResponseHead) -> Result<Option<Coding>, ClickHouseError> {
    match header(&head.headers, "Content-Encoding") {
        Some(name) if !name.eq_ignore_ascii_case("identity") => Coding::from_name(name)
            .map(Some)
            .ok_or_else(|| ClickHouseError::UnknownCoding(name.into())),
        _ => Ok(None),
    }
}

impl EngineSession for HttpSession {
    fn max_attempts(&self) -> usize {
        1
    }

    fn open_attempts(&self) -> Vec<AttemptKey> {
        self.query().into_iter().collect()
    }

    fn has_attempt(&self, key: AttemptKey) -> bool {
        self.query() == Some(key)
    }

    fn attempt_count(&self) -> usize {
        usize::from(self.query().is_some())
    }

    fn can_start(&self, _request_id: &str) -> bool {
        self.is_idle()
    }

    fn is_idle(&self) -> bool {
        matches!(self.in_flight, InFlight::Nothing)
    }

    fn reports_progress(&self) -> bool {
        false
    }

    fn needs_liveness_probes(&self) -> bool {
        self.query().is_some()
    }

    fn is_streaming(&self) -> bool {
        self.query().is_some() && self.response.has_head()
    }

    fn start_attempt(&mut self, attempt: &AttemptRequest, out: &mut Vec<u8>) -> usize {
        let written = write_query(&self.host, attempt, out);
        self.has_blocks = written.has_blocks;
        self.in_flight = InFlight::Query(attempt.key);
        self.query_name.clear();
        self.query_name.push_str(attempt.name);
        self.response = Response::for_request(&attempt.request.name);
        written.bytes_without_effect
    }

    fn write_body_chunk(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        out.extend(chunk(bytes));
    }

    fn finish_body(&mut self, out: &mut Vec<u8>) {
        out.extend_from_slice(LAST_CHUNK);
    }

    fn stop_attempt(&mut self, key: AttemptKey, _out: &mut Vec<u8>) -> bool {
        if !self.has_attempt(key) {
            return true;
        }
        self.in_flight = InFlight::Nothing;
        self.must_close = true;
        false
    }

    fn write_probe(&mut self, tag: u64, out: &mut Vec<u8>) {
        write_ping(&self.host, out);
        self.in_flight = InFlight::Probe(tag);
        self.response = Response::default();
    }

    fn open_probes(&self) -> Vec<u64> {
        match self.in_flight {
            InFlight::Probe(tag) => vec![tag],
            _ => Vec::new(),
        }
    }

    fn decode(
        &mut self,
        _now: Micros,
        input: &[u8],
        _out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError> {
        self.reader.push(input);
        while let Some(part) = self.reader.next_part().map_err(ClickHouseError::Http)? {
            self.apply(part, events)?;
        }
        Ok(())
    }

    fn handle_eof(&mut self, events: &mut Vec<EngineEvent>) {
        if self.reader.is_complete_at_close() {
            self.end_response(events);
        } else if let Some(key) = self.query() {
            if let Some(event) = self.response.finish_truncated(key) {
                events.push(event);
                self.in_flight = InFlight::Nothing;
            }
        }
        self.must_close = true;
    }

    fn must_close(&self) -> bool {
        self.must_close
    }
}
