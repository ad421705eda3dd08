//! The protocol state of a connection that uses the line protocol.

use super::message::{LineError, Message, MessageKind, MessageReader};
use super::pages::OpenAttempt;
use crate::backends::{AttemptRequest, EngineEvent, EngineSession, SessionError};
use driftfront_core::{
    AttemptKey, AttemptReport, Cause, Micros, Outcome, ProgressReport, ResponseChunk,
};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::rc::Rc;

/// Timeout of an incomplete message. When it expires, the rest of the message and anything after it is lost.
const MESSAGE_STALL_TIMEOUT: Micros = 500_000;
/// Delay after which missing pages are requested again.
const PAGE_RETRY_DELAY: Micros = 250_000;
/// Timeout of an incomplete result, counted from its first page. A result that takes longer will never be complete.
const RESULT_TIMEOUT: Micros = 1_200_000;
/// Number of retired ids that are remembered per connection.
const MAX_RETIRED_IDS: usize = 64;
/// Maximum number of probes in flight. Timed-out probes may never be answered, so the oldest is dropped.
const MAX_OPEN_PROBES: usize = 8;
/// Maximum memory grant that is sent, in MB.
const MAX_GRANT_MB: f64 = 1e9;
/// Stands for a value that was not reported; the scheduler treats values out of range as absent.
const NOT_REPORTED: f64 = -1.0;

/// The state of one connection.
pub struct LineSession {
    reader: MessageReader,
    /// Attempts in flight, by the request's id.
    open: BTreeMap<Rc<str>, OpenAttempt>,
    /// Ids of attempts that ended on this connection without being served, oldest first. A late or duplicate response to such an
    /// attempt would be mistaken for that of a later attempt with the same id, so later attempts use another connection.
    retired_ids: VecDeque<Rc<str>>,
    /// Tags of the probes in flight, oldest first.
    probes: Vec<u64>,
    max_attempts: usize,
    gauges: Rc<[String]>,
    /// When the incomplete message started, or the message before it was completed.
    incomplete_since: Option<Micros>,
}

impl LineSession {
    /// Creates a session with at most `max_attempts` in flight; `gauges` names the values of a load report in order.
    pub fn new(max_attempts: usize, gauges: Rc<[String]>) -> LineSession {
        LineSession {
            reader: MessageReader::default(),
            open: BTreeMap::new(),
            retired_ids: VecDeque::new(),
            probes: Vec::new(),
            max_attempts,
            gauges,
            incomplete_since: None,
        }
    }

    /// Processes a message. Messages with an unknown id are ignored: a response may cross our STOP, arrive twice, or have an id that
    /// was never sent, and must not reach another request.
    fn apply(
        &mut self,
        now: Micros,
        message: Message,
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), LineError> {
        match message.kind {
            MessageKind::Pong => self.end_probe(&message, Outcome::Ok, events),
            MessageKind::Sick => self.end_probe(&message, Outcome::Error, events),
            MessageKind::Shed | MessageKind::Late => {
                self.fail_attempt(&message, Cause::Rejected, events);
            }
            MessageKind::Fault => {
                self.fail_attempt(&message, Cause::Engine("FAULT".into()), events);
            }
            MessageKind::Info => self.report_progress(&message, events),
            MessageKind::Hit | MessageKind::Part => {
                return self.add_page(now, message, out, events);
            }
        }
        Ok(())
    }

    fn end_probe(&mut self, message: &Message, outcome: Outcome, events: &mut Vec<EngineEvent>) {
        let tag = message.id.strip_prefix('p').and_then(|t| t.parse().ok());
        if let Some(index) = self.probes.iter().position(|p| Some(*p) == tag) {
            let report = load_report(&self.gauges, message);
            let tag = self.probes.swap_remove(index);
            events.push(EngineEvent::ProbeEnded(tag, outcome, report));
        }
    }

    fn fail_attempt(&mut self, message: &Message, cause: Cause, events: &mut Vec<EngineEvent>) {
        let Some(key) = self.retire_id(&message.id) else {
            return;
        };
        let report = AttemptReport {
            report: load_report(&self.gauges, message),
            ..AttemptReport::default()
        };
        events.push(EngineEvent::AttemptReport(key, report));
        events.push(EngineEvent::Failed(key, cause));
    }

    fn report_progress(&self, message: &Message, events: &mut Vec<EngineEvent>) {
        if let Some(open) = self.open.get(&*message.id) {
            let report = progress_report(message);
            events.extend(report.map(|r| EngineEvent::ProgressReported(open.key, r)));
        }
    }

    fn add_page(
        &mut self,
        now: Micros,
        mut message: Message,
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), LineError> {
        let (id, kind) = (std::mem::take(&mut message.id), message.kind);
        let Some(open) = self.open.get_mut(&*id) else {
            return Ok(());
        };
        let key = open.key;
        let report = |message: &Message| attempt_report(&self.gauges, message);
        match open.add_page(now, message, report) {
            Ok(false) => return Ok(()),
            Ok(true) => events.push(EngineEvent::ResponseStarted(key)),
            Err(error) => {
                self.open.remove(&*id);
                let cause = Cause::MalformedResponse(error.to_string());
                events.push(EngineEvent::Failed(key, cause));
                let keyword = kind.keyword();
                return Err(LineError::Page { keyword, error });
            }
        }
        if kind == MessageKind::Hit {
            // Request all pages at once, since they are lost if the engine fails.
            open.request_missing_pages(&id, out);
        }
        if open.is_complete() {
            self.complete_attempt(&id, out, events);
        }
        Ok(())
    }

    fn complete_attempt(&mut self, id: &str, out: &mut Vec<u8>, events: &mut Vec<EngineEvent>) {
        let Some(open) = self.open.remove(id) else {
            return;
        };
        if open.page_count() > 1 {
            out.extend(format!("END {id}\r\n").bytes());
        }
        let key = open.key;
        let (rows, report) = open.into_result();
        let chunk = ResponseChunk {
            headers: Vec::new(),
            rows,
            is_only_chunk: true,
        };
        events.push(EngineEvent::ResponseChunk(key, chunk));
        events.push(EngineEvent::AttemptReport(key, report));
        events.push(EngineEvent::Served(key));
    }

    /// Ends the attempt in flight under this id without it being served, and retires the id on this connection. Returns the attempt.
    fn retire_id(&mut self, id: &str) -> Option<AttemptKey> {
        let (id, open) = self.open.remove_entry(id)?;
        if self.retired_ids.len() >= MAX_RETIRED_IDS {
            self.retired_ids.pop_front();
        }
        self.retired_ids.push_back(id);
        Some(open.key)
    }
}

/// The load report of a message, in the order of `gauges`; empty if the message has none.
fn load_report(gauges: &[String], message: &Message) -> Vec<f64> {
    let Some(reported) = message.field("gauges") else {
        return Vec::new();
    };
    let value = |name: &String| {
        reported
            .split(';')
            .filter_map(|gauge| gauge.split_once(':'))
            .filter(|gauge| gauge.0 == name)
            .find_map(|gauge| gauge.1.parse::<f64>().ok())
            .unwrap_or(NOT_REPORTED)
    };
    gauges.iter().map(value).collect()
}

/// What the first page of a result reports about the engine and the query.
fn attempt_report(gauges: &[String], message: &Message) -> AttemptReport {
    AttemptReport {
        report: load_report(gauges, message),
        work: message.positive_number("effort").map(|ms| ms * 1000.0),
        memory_mb: message.positive_number("high"),
    }
}

fn progress_report(message: &Message) -> Option<ProgressReport> {
    let value: f64 = message.field("figure")?.parse().ok()?;
    match message.field("res")? {
        "p" if value.is_finite() => Some(ProgressReport::Progress(value.clamp(0.0, 1.0))),
        "s" if value.is_finite() => Some(ProgressReport::Spills(value.max(0.0))),
        "w" if value == 1.0 => Some(ProgressReport::WaitsForMemory),
        "w" if value == 2.0 => Some(ProgressReport::WaitsForLoad),
        _ => None,
    }
}

/// The fields of a `REQ` line.
fn request_fields(attempt: &AttemptRequest) -> String {
    let ms = (attempt.timeout / 1000).max(1);
    let mut fields = format!("kind={},ms={ms}", attempt.class);
    if let Some(token) = &attempt.request.idempotency_key {
        let _ = write!(fields, ",token={token}");
    }
    if attempt.grant_mb > 0.0 {
        let grant_mb = attempt.grant_mb.min(MAX_GRANT_MB).ceil();
        let _ = write!(fields, ",workmem={grant_mb}");
    }
    fields
}

impl EngineSession for LineSession {
    fn max_attempts(&self) -> usize {
        self.max_attempts
    }

    fn open_attempts(&self) -> Vec<AttemptKey> {
        self.open.values().map(|o| o.key).collect()
    }

    fn has_attempt(&self, key: AttemptKey) -> bool {
        self.open.values().any(|o| o.key == key)
    }

    fn attempt_count(&self) -> usize {
        self.open.len()
    }

    fn can_start(&self, request_id: &str) -> bool {
        let is_known = self.open.contains_key(request_id)
            || self.retired_ids.iter().any(|id| **id == *request_id);
        self.open.len() < self.max_attempts && !is_known
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.probes.is_empty()
    }

    fn start_attempt(&mut self, attempt: &AttemptRequest, out: &mut Vec<u8>) -> usize {
        let begin = out.len();
        let request = attempt.request;
        let fields = request_fields(attempt);
        let length = request.statement.len();
        out.extend(format!("REQ {} {fields} {length}\r\n", request.name).bytes());
        out.extend_from_slice(&request.statement);
        out.extend_from_slice(b"\r\n");
        self.open
            .insert(request.name.clone(), OpenAttempt::new(attempt.key));
        // An engine runs a statement once it has all of it.
        out.len() - begin - 1
    }

    fn stop_attempt(&mut self, key: AttemptKey, out: &mut Vec<u8>) -> bool {
        let id = self
            .open
            .iter()
            .find(|o| o.1.key == key)
            .map(|o| o.0.clone());
        if let Some(id) = id {
            out.extend(format!("STOP {id}\r\n").bytes());
            self.retire_id(&id);
        }
        true
    }

    fn write_probe(&mut self, tag: u64, out: &mut Vec<u8>) {
        out.extend(format!("STAT p{tag}\r\n").bytes());
        if self.probes.len() >= MAX_OPEN_PROBES {
            self.probes.remove(0);
        }
        self.probes.push(tag);
    }

    fn open_probes(&self) -> Vec<u64> {
        self.probes.clone()
    }

    fn decode(
        &mut self,
        now: Micros,
        input: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError> {
        self.reader.push(input);
        while let Some(message) = self.reader.next_message()? {
            self.incomplete_since = None;
            self.apply(now, message, out, events)?;
        }
        self.incomplete_since = self
            .reader
            .is_mid_message()
            .then_some(self.incomplete_since.unwrap_or(now));
        Ok(())
    }

    fn check_timeouts(
        &mut self,
        now: Micros,
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError> {
        let is_over = |since: Micros, timeout: Micros| now > since + timeout;
        if self
            .incomplete_since
            .is_some_and(|since| is_over(since, MESSAGE_STALL_TIMEOUT))
        {
            return Err(LineError::Stalled.into());
        }
        let mut lost = Vec::new();
        for (id, open) in &mut self.open {
            if open.is_first_page_older_than(now, RESULT_TIMEOUT) {
                lost.push(id.clone());
            } else if open.is_first_page_older_than(now, PAGE_RETRY_DELAY) {
                open.retry_missing_pages(id, out);
            }
        }
        for id in lost {
            let failed = |key| {
                let cause = Cause::MalformedResponse("missing pages timed out".into());
                EngineEvent::Failed(key, cause)
            };
            events.extend(self.retire_id(&id).map(failed));
        }
        Ok(())
    }

    fn handle_eof(&mut self, _events: &mut Vec<EngineEvent>) {}

    fn must_close(&self) -> bool {
        false
    }
}
