//! ClickHouse's HTTP interface towards engines: one query at a time on a connection.

use super::{AttemptRequest, EngineEvent, EngineSession};
use driftfront_clickhouse::coding::Coding;
use driftfront_clickhouse::exception::{code_of, proof, Exception, Proof, MAX_TEXT_BYTES};
use driftfront_clickhouse::params::encode;
use driftfront_clickhouse::watch::{Fault, Watch};
use driftfront_core::{AttemptKey, Cause, Micros, Outcome, ProgressReport, ResponseChunk};
use driftfront_http::{header, ResponseHead, ResponsePart, ResponseReader};
use std::fmt::Write as _;

/// Rows held back before the first is passed on: an error found till then can still be answered by a
/// further attempt or in full.
const HOLD: usize = 32 * 1024;
/// Told for as long as a query runs, before the head of its answer is whole.
const PROGRESS: &str = "X-ClickHouse-Progress";
const CORRUPTED_DATA: u32 = 246;

/// Names in [`driftfront_core::ParsedRequest::about`] of what the front tells this back end: parameters and headers in their
/// wire's form, and whether the result comes in compressed blocks.
pub const TARGET: &str = "target";
/// See [`TARGET`].
pub const HEADERS: &str = "headers";
/// See [`TARGET`].
pub const FRAMES: &str = "frames";

/// What an engine's error text proves.
fn cause(code: Option<u32>, status: u16, words: &str) -> Cause {
    match proof(code, status) {
        Proof::NeverRan => Cause::Rejected,
        Proof::OfTheStatement => Cause::Statement(words.into()),
        Proof::MayHaveRun => Cause::Engine(words.into()),
    }
}

fn cause_of(fault: &Fault) -> Cause {
    match fault {
        Fault::Exception(e) if e.code == 0 => Cause::Engine(Exception::new(210, &e.text).text),
        Fault::Exception(e) => match cause(Some(e.code), 200, &e.text) {
            // It said 200 first, so it had begun.
            Cause::Rejected => Cause::Engine(e.text.clone()),
            cause => cause,
        },
        fault => Cause::Engine(Exception::new(CORRUPTED_DATA, &fault.to_string()).text),
    }
}

/// The share done, by a progress header's value.
fn share_done(value: &str) -> Option<f64> {
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

/// What is out on the connection.
enum Out {
    Nothing,
    Probe(u64),
    Query(AttemptKey),
}

/// The answer so far.
#[derive(Default)]
struct Answer {
    /// The client's name for the query.
    call: String,
    head: Option<ResponseHead>,
    /// Error text, or rows that are not passed on yet.
    held: Vec<u8>,
    watch: Option<Watch>,
    passing: bool,
    /// The last progress told.
    progress: Option<String>,
}

impl Answer {
    /// The exception's code that the head tells, if any.
    fn code(&self) -> Option<u32> {
        header(&self.head.as_ref()?.headers, "X-ClickHouse-Exception-Code")?
            .trim()
            .parse()
            .ok()
    }

    fn is_error(&self) -> bool {
        self.code().is_some() || self.head.as_ref().is_some_and(|h| h.status != 200)
    }

    /// What describes the result, for the client.
    fn about(&mut self, call: &str) -> Vec<(String, String)> {
        let passed = |name: &str| {
            let starts = |with: &str| {
                name.get(..with.len())
                    .is_some_and(|n| n.eq_ignore_ascii_case(with))
            };
            let named = ["content-type", "content-encoding", "content-disposition"];
            let is = |n: &&str| name.eq_ignore_ascii_case(n);
            starts("x-clickhouse-") || starts("access-control-") || named.iter().any(is)
        };
        let headers = self.head.iter().flat_map(|h| &h.headers);
        let mut about: Vec<_> = headers.filter(|h| passed(&h.0)).cloned().collect();
        // A further attempt may have run under another name than its client's.
        let named = about
            .iter_mut()
            .filter(|h| h.0.eq_ignore_ascii_case("X-ClickHouse-Query-Id"));
        named.for_each(|h| h.1 = call.into());
        about.extend(self.progress.take().map(|p| (PROGRESS.to_string(), p)));
        about
    }

    /// A piece of the body has come; an error is for good.
    fn body(
        &mut self,
        key: AttemptKey,
        bytes: Vec<u8>,
        seen: &mut Vec<EngineEvent>,
    ) -> Result<(), Fault> {
        if self.is_error() {
            let room = MAX_TEXT_BYTES.saturating_sub(self.held.len());
            self.held.extend_from_slice(&bytes[..bytes.len().min(room)]);
            return Ok(());
        }
        if let Some(watch) = &mut self.watch {
            watch.push(&bytes)?;
        }
        if self.held.is_empty() {
            self.held = bytes;
        } else {
            self.held.extend(bytes);
        }
        if self.passing || self.held.len() > HOLD {
            self.pass(key, false, seen);
        }
        Ok(())
    }

    fn pass(&mut self, key: AttemptKey, last: bool, seen: &mut Vec<EngineEvent>) {
        let call = std::mem::take(&mut self.call);
        let about = if self.passing {
            Vec::new()
        } else {
            self.about(&call)
        };
        let last = last && !std::mem::replace(&mut self.passing, true);
        let rows = std::mem::take(&mut self.held);
        seen.push(EngineEvent::ResponseChunk(
            key,
            ResponseChunk {
                about,
                rows,
                whole: last,
            },
        ));
    }

    /// The answer is over, or (`cut`) the connection is.
    fn end(&mut self, key: AttemptKey, cut: bool, seen: &mut Vec<EngineEvent>) {
        if self.is_error() {
            let words = String::from_utf8_lossy(&self.held).trim_end().to_string();
            let code = self.code().or_else(|| code_of(&words));
            let status = self.head.as_ref().map_or(0, |h| h.status);
            return seen.push(EngineEvent::Failed(key, cause(code, status, &words)));
        }
        if let Some(Err(fault)) = self.watch.as_mut().map(|w| w.end(cut)) {
            // A connection that is cut says by itself that the result is not whole.
            if cut && !matches!(fault, Fault::Exception(_)) {
                return;
            }
            return seen.push(EngineEvent::Failed(key, cause_of(&fault)));
        }
        if cut {
            return;
        }
        if !self.passing || !self.held.is_empty() {
            self.pass(key, true, seen);
        }
        seen.push(EngineEvent::Served(key));
    }
}

/// A connection's conversation over HTTP.
pub struct HttpSession {
    host: String,
    reader: ResponseReader,
    out: Out,
    /// The name of the query that is out, on its engine.
    name: String,
    /// Its result comes in compressed blocks.
    frames: bool,
    answer: Answer,
    spent: bool,
}

impl HttpSession {
    /// A conversation with the engine at this address.
    pub fn new(host: String) -> HttpSession {
        HttpSession {
            host,
            reader: ResponseReader::with_early_header(PROGRESS),
            out: Out::Nothing,
            name: String::new(),
            frames: false,
            answer: Answer::default(),
            spent: false,
        }
    }

    fn part(&mut self, part: ResponsePart, seen: &mut Vec<EngineEvent>) -> Result<(), String> {
        match part {
            ResponsePart::EarlyHeader(value) => {
                let Out::Query(key) = self.out else {
                    return Ok(());
                };
                if let Some(share) = share_done(&value) {
                    seen.push(EngineEvent::ProgressReported(
                        key,
                        ProgressReport::Progress(share),
                    ));
                }
                self.answer.progress = Some(value);
            }
            ResponsePart::Head(head) => {
                self.spent |= head.close;
                // A second copy of an earlier answer must not be taken for this query's.
                let named = header(&head.headers, "X-ClickHouse-Query-Id");
                if matches!(self.out, Out::Query(_)) && named.is_some_and(|id| id != self.name) {
                    return Err("an answer to another query".into());
                }
                let told = |name: &str| header(&head.headers, name);
                let coding =
                    told("Content-Encoding").filter(|c| !c.eq_ignore_ascii_case("identity"));
                let known = coding
                    .map(|c| Coding::of(c).ok_or(format!("content coding {c} can't be followed")));
                let known = known.transpose()?;
                let tag = told("X-ClickHouse-Exception-Tag");
                if matches!(self.out, Out::Query(_)) {
                    let watch = Watch::new(self.frames, known, tag, told("X-ClickHouse-Format"));
                    self.answer.watch = Some(watch.map_err(|f| f.to_string())?);
                }
                self.answer.head = Some(head);
                match self.out {
                    Out::Query(key) => seen.push(EngineEvent::Begun(key)),
                    Out::Probe(_) => {}
                    Out::Nothing => return Err("an answer that nobody asked for".into()),
                }
            }
            ResponsePart::Body(bytes) => {
                if let Out::Query(key) = self.out {
                    if let Err(fault) = self.answer.body(key, bytes, seen) {
                        (self.out, self.spent) = (Out::Nothing, true);
                        seen.push(EngineEvent::Failed(key, cause_of(&fault)));
                        return Err(fault.to_string());
                    }
                }
            }
            ResponsePart::End => self.over(seen),
        }
        Ok(())
    }

    fn over(&mut self, seen: &mut Vec<EngineEvent>) {
        match std::mem::replace(&mut self.out, Out::Nothing) {
            Out::Query(key) => self.answer.end(key, false, seen),
            Out::Probe(tag) => {
                let fine = !self.answer.is_error();
                seen.push(EngineEvent::ProbeEnded(
                    tag,
                    if fine { Outcome::Ok } else { Outcome::Error },
                    Vec::new(),
                ));
            }
            Out::Nothing => {}
        }
        self.answer = Answer::default();
    }
}

impl EngineSession for HttpSession {
    fn most(&self) -> usize {
        1
    }
    fn open(&self) -> Vec<AttemptKey> {
        if let Out::Query(key) = self.out {
            vec![key]
        } else {
            Vec::new()
        }
    }
    fn has(&self, key: AttemptKey) -> bool {
        matches!(self.out, Out::Query(k) if k == key)
    }
    fn load(&self) -> usize {
        usize::from(matches!(self.out, Out::Query(_)))
    }
    fn takes(&self, _call: &str) -> bool {
        self.is_idle()
    }
    fn is_idle(&self) -> bool {
        matches!(self.out, Out::Nothing)
    }
    fn tells_notes(&self) -> bool {
        false
    }
    fn wants_checks(&self) -> bool {
        matches!(self.out, Out::Query(_))
    }
    fn is_streaming(&self) -> bool {
        matches!(self.out, Out::Query(_)) && self.answer.head.is_some()
    }
    fn start(&mut self, start: &AttemptRequest, out: &mut Vec<u8>) {
        // The engine's own limit follows the coordinator's wait: what nobody waits for should not run on.
        let seconds = start.patience.div_ceil(1_000_000).max(1);
        let mut head = String::with_capacity(512);
        head.push_str("POST /?query_id=");
        encode(start.name, &mut head);
        let _ = write!(head, "&max_execution_time={seconds}");
        if let Some(every) = start.progress_interval {
            let ms = every / 1000;
            let _ = write!(
                head,
                "&send_progress_in_http_headers=1&http_headers_progress_interval_ms={ms}"
            );
        }
        self.frames = false;
        let mut headers = "";
        for (name, value) in start.ask.about.iter() {
            match name.as_str() {
                TARGET => head.push_str(value),
                HEADERS => headers = value,
                FRAMES => self.frames = true,
                _ => {}
            }
        }
        let _ = write!(head, " HTTP/1.1\r\nHost: {}\r\n{headers}", self.host);
        let statement = &start.ask.statement;
        if start.ask.once {
            head.push_str("Transfer-Encoding: chunked\r\n\r\n");
            out.extend(head.bytes());
            out.extend(driftfront_http::chunk(statement));
        } else {
            let _ = write!(head, "Content-Length: {}\r\n\r\n", statement.len());
            out.extend(head.bytes());
            out.extend_from_slice(statement);
        }
        self.out = Out::Query(start.key);
        self.name.clear();
        self.name.push_str(start.name);
        self.answer = Answer {
            call: start.ask.call.to_string(),
            ..Answer::default()
        };
    }
    fn more(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        out.extend(driftfront_http::chunk(bytes));
    }
    fn no_more(&mut self, out: &mut Vec<u8>) {
        out.extend_from_slice(driftfront_http::LAST_CHUNK);
    }
    fn stop(&mut self, key: AttemptKey, _out: &mut Vec<u8>) -> bool {
        if self.has(key) {
            self.out = Out::Nothing;
            self.spent = true;
            return false;
        }
        true
    }
    fn probe(&mut self, tag: u64, out: &mut Vec<u8>) {
        out.extend(format!("GET /ping HTTP/1.1\r\nHost: {}\r\n\r\n", self.host).bytes());
        self.out = Out::Probe(tag);
        self.answer = Answer::default();
    }
    fn probes(&self) -> Vec<u64> {
        if let Out::Probe(tag) = self.out {
            vec![tag]
        } else {
            Vec::new()
        }
    }
    fn feed(
        &mut self,
        _now: Micros,
        input: &[u8],
        _out: &mut Vec<u8>,
        seen: &mut Vec<EngineEvent>,
    ) -> Result<(), String> {
        self.reader.push(input);
        while let Some(part) = self
            .reader
            .next_part()
            .map_err(|e| format!("bad HTTP: {e:?}"))?
        {
            self.part(part, seen)?;
        }
        Ok(())
    }
    fn ended(&mut self, seen: &mut Vec<EngineEvent>) {
        if self.reader.is_complete_at_close() {
            self.over(seen);
        } else if let Out::Query(key) = self.out {
            // Servers cut the chunks after an error that came too late for the status.
            let before = seen.len();
            if self.answer.head.is_some() && !self.answer.is_error() {
                self.answer.end(key, true, seen);
            }
            if seen.len() > before {
                self.out = Out::Nothing;
            }
        }
        self.spent = true;
    }
    fn is_spent(&self) -> bool {
        self.spent
    }
}

#[cfg(test)]
mod tests {
    use super::share_done;

    #[test]
    fn the_share_done_is_read_off_a_progress_header() {
        let told =
            r#"{"read_rows":"2752512","read_bytes":"240570816","total_rows_to_read":"8880128"}"#;
        assert!(share_done(told).is_some_and(|s| (s - 0.31).abs() < 0.001));
        assert_eq!(
            share_done(r#"{"read_rows":"5","total_rows_to_read":"0"}"#),
            None
        );
        assert_eq!(share_done("nonsense"), None);
        assert_eq!(
            share_done(r#"{"read_rows":9, "total_rows_to_read": 3}"#),
            Some(1.0)
        );
    }
}
