//! The platform's engine wire: lines of words, many requests on one connection.

use super::{AttemptRequest, EngineEvent, EngineSession};
use driftfront_core::{
    AttemptKey, AttemptReport, Cause, Micros, Outcome, ProgressReport, ResponseChunk,
};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::rc::Rc;

/// Longest line, longest page and most pages that an engine may send: a page has at most 6,000 bytes, a
/// result 48,000, and rows are not split.
const LINE_MOST: usize = 4 * 1024;
const PAGE_MOST: usize = 6_000;
const PAGES_MOST: usize = 16;
/// An answer that has begun on the wire is whole by then, else its rest will never come, and nothing behind
/// it either.
const STALL: Micros = 500_000;
/// A page that has not come by then is asked for again; a result that is not whole by then never will be.
const PAGE_AGAIN: Micros = 250_000;
const PAGES_LATE: Micros = 1_200_000;
/// Requests given up on a connection, or failed there, whose ids it does not carry again.
const ENDED_MOST: usize = 64;
/// The largest figure that is believed, of work in ms and of memory in MB, and the largest grant written.
const FIGURE_MOST: f64 = 1e9;
const GRANT_MOST: f64 = 1e9;

/// An answer's words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    id: String,
    word: String,
    fields: String,
    body: Vec<u8>,
}

impl Answer {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
    }

    /// A figure above 0 that can be planned with; what can't counts as not told.
    fn figure(&self, name: &str) -> Option<f64> {
        self.field(name)?
            .parse()
            .ok()
            .filter(|n| *n > 0.0 && *n <= FIGURE_MOST)
    }
}

/// Cuts an engine's bytes into answers.
#[derive(Default)]
pub struct Reader {
    bytes: Vec<u8>,
    used: usize,
}

impl Reader {
    /// Bytes that have come.
    pub fn push(&mut self, input: &[u8]) {
        self.bytes.drain(..self.used);
        self.used = 0;
        self.bytes.extend_from_slice(input);
    }

    /// Whether an answer has begun and is not whole.
    pub fn is_mid_message(&self) -> bool {
        self.used < self.bytes.len()
    }

    /// The next whole answer, if it is there.
    pub fn next_answer(&mut self) -> Result<Option<Answer>, String> {
        let rest = &self.bytes[self.used..];
        let Some(end) = rest.iter().position(|&b| b == b'\n') else {
            return if rest.len() > LINE_MOST {
                Err("line too long".into())
            } else {
                Ok(None)
            };
        };
        let line = rest[..end].strip_suffix(b"\r").ok_or("line without CR")?;
        if line.len() > LINE_MOST {
            return Err("line too long".into());
        }
        let line = std::str::from_utf8(line).map_err(|_| "line is not text")?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, word, fields, length] = words[..] else {
            return Err(format!("line of {} words", words.len()));
        };
        let length: usize = length.parse().map_err(|_| "bad length".to_string())?;
        if length > PAGE_MOST {
            return Err(format!("page of {length} bytes"));
        }
        let body = &rest[end + 1..];
        if body.len() < length + 2 {
            return Ok(None);
        }
        if &body[length..length + 2] != b"\r\n" {
            return Err("no CR LF after a page".into());
        }
        let answer = Answer {
            id: id.into(),
            word: word.into(),
            fields: fields.into(),
            body: body[..length].to_vec(),
        };
        self.used += end + 1 + length + 2;
        Ok(Some(answer))
    }
}

/// An attempt out on a connection, and the pages that have come.
struct Open {
    key: AttemptKey,
    pages: Vec<Option<Vec<u8>>>,
    told: AttemptReport,
    /// When page 0 came, and whether missing pages have been asked for again.
    begun: Micros,
    again: bool,
}

/// A connection's conversation in lines.
pub struct LineSession {
    reader: Reader,
    open: BTreeMap<Rc<str>, Open>,
    /// Ids that ended here without being served, the oldest first. An answer to the earlier attempt may still come, or come a
    /// second time, and would be taken for a later attempt's: that goes by another connection.
    ended: VecDeque<Rc<str>>,
    probes: Vec<u64>,
    most: usize,
    gauges: Rc<[String]>,
    /// The answer on the wire that is not whole began, or went on from a whole one, then.
    within: Option<Micros>,
}

impl LineSession {
    /// A conversation that carries so many requests; `gauges` names a report's values in order.
    pub fn new(most: usize, gauges: Rc<[String]>) -> LineSession {
        let (reader, open, ended, probes) = Default::default();
        LineSession {
            reader,
            open,
            ended,
            probes,
            most,
            gauges,
            within: None,
        }
    }

    /// What was open under this id ended without being served; which attempt that was.
    fn end(&mut self, id: &str) -> Option<AttemptKey> {
        let (id, open) = self.open.remove_entry(id)?;
        if self.ended.len() >= ENDED_MOST {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
        Some(open.key)
    }

    fn report(&self, answer: &Answer) -> Vec<f64> {
        let Some(told) = answer.field("gauges") else {
            return Vec::new();
        };
        let value = |name: &String| {
            let each = told.split(';').filter_map(|g| g.split_once(':'));
            let found = each
                .filter(|g| g.0 == name)
                .find_map(|g| g.1.parse::<f64>().ok());
            // The module takes values out of range as absent.
            found.unwrap_or(-1.0)
        };
        self.gauges.iter().map(value).collect()
    }

    fn take(
        &mut self,
        now: Micros,
        answer: Answer,
        out: &mut Vec<u8>,
        seen: &mut Vec<EngineEvent>,
    ) -> Result<(), String> {
        let report = self.report(&answer);
        let cause = match answer.word.as_str() {
            "PONG" | "SICK" => {
                let tag = answer.id.strip_prefix('p').and_then(|t| t.parse().ok());
                if let Some(n) = self.probes.iter().position(|p| Some(*p) == tag) {
                    let outcome = if answer.word == "PONG" {
                        Outcome::Ok
                    } else {
                        Outcome::Error
                    };
                    seen.push(EngineEvent::ProbeEnded(
                        self.probes.swap_remove(n),
                        outcome,
                        report,
                    ));
                }
                return Ok(());
            }
            "SHED" | "LATE" => Some(Cause::Rejected),
            "FAULT" => Some(Cause::Engine("FAULT".into())),
            "HIT" | "PART" | "INFO" => None,
            // Whose it was can't be told, and where its end is neither.
            other => return Err(format!("unknown word {other}")),
        };
        // What was given up may still be answered, as its answer crossed our STOP; and some answers come
        // twice, or under an id that nobody asked for. None of that may reach another request.
        let Some(open) = self.open.get_mut(&*answer.id) else {
            return Ok(());
        };
        let key = open.key;
        if let Some(cause) = cause {
            self.end(&answer.id);
            seen.push(EngineEvent::AttemptReport(
                key,
                AttemptReport {
                    report,
                    ..AttemptReport::default()
                },
            ));
            seen.push(EngineEvent::Failed(key, cause));
        } else if answer.word == "INFO" {
            seen.extend(note(&answer).map(|note| EngineEvent::ProgressReported(key, note)));
        } else {
            let told = AttemptReport {
                report,
                work: answer.figure("effort").map(|ms| ms * 1000.0),
                memory_mb: answer.figure("high"),
            };
            match open.page(now, &answer, told) {
                Ok(false) => return Ok(()),
                Ok(true) => seen.push(EngineEvent::Begun(key)),
                Err(e) => {
                    self.open.remove(&*answer.id);
                    seen.push(EngineEvent::Failed(key, Cause::MalformedResponse(e.into())));
                    return Err(format!("{}: {e}", answer.word));
                }
            }
            if answer.word == "HIT" {
                // All pages at once: they are lost with their engine.
                open.ask_for_missing(&answer.id, out);
            }
            if open.pages.iter().all(Option::is_some) {
                if open.pages.len() > 1 {
                    out.extend(format!("END {}\r\n", answer.id).bytes());
                }
                if let Some(done) = self.open.remove(&*answer.id) {
                    let rows = done.pages.into_iter().flatten().flatten().collect();
                    seen.push(EngineEvent::ResponseChunk(
                        key,
                        ResponseChunk {
                            about: Vec::new(),
                            whole: true,
                            rows,
                        },
                    ));
                    seen.push(EngineEvent::AttemptReport(key, done.told));
                    seen.push(EngineEvent::Served(key));
                }
            }
        }
        Ok(())
    }
}

impl Open {
    /// Takes a page; false if it is there already.
    fn page(
        &mut self,
        now: Micros,
        answer: &Answer,
        told: AttemptReport,
    ) -> Result<bool, &'static str> {
        let number = |name: &str| answer.field(name).and_then(|n| n.parse::<usize>().ok());
        let first = answer.word == "HIT";
        if first && !self.pages.is_empty() {
            return Ok(false);
        }
        if !is_rows(&answer.body) {
            return Err("a page that is not whole rows of three columns");
        }
        let mut place = 0;
        if first {
            // Without a number of pages a cut result would look whole.
            let pages = number("fetches").ok_or("no number of pages")?.max(1);
            if pages > PAGES_MOST {
                return Err("too many pages");
            }
            self.pages = vec![None; pages];
            (self.told, self.begun) = (told, now);
        } else {
            place = number("fetch_no").ok_or("no page number")?;
        }
        let page = self
            .pages
            .get_mut(place)
            .ok_or("a page that was not asked for")?;
        if page.is_some() {
            return Ok(false);
        }
        *page = Some(answer.body.clone());
        Ok(true)
    }

    fn ask_for_missing(&self, id: &str, out: &mut Vec<u8>) {
        let missing = self
            .pages
            .iter()
            .enumerate()
            .filter(|(_, page)| page.is_none());
        for (page, _) in missing {
            out.extend(format!("FETCH {id} {page}\r\n").bytes());
        }
    }
}

/// Whether a page holds whole rows of three text columns.
fn is_rows(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else {
        return false;
    };
    let row = |row: &str| row.ends_with('\n') && row.matches('\t').count() == 2;
    text.split_inclusive('\n').all(row)
}

fn note(answer: &Answer) -> Option<ProgressReport> {
    let figure: f64 = answer.field("figure")?.parse().ok()?;
    match answer.field("res")? {
        "p" if figure.is_finite() => Some(ProgressReport::Progress(figure.clamp(0.0, 1.0))),
        "s" if figure.is_finite() => Some(ProgressReport::Spills(figure.max(0.0))),
        "w" if figure == 1.0 => Some(ProgressReport::WaitsForMemory),
        "w" if figure == 2.0 => Some(ProgressReport::WaitsForLoad),
        _ => None,
    }
}

impl EngineSession for LineSession {
    fn most(&self) -> usize {
        self.most
    }
    fn open(&self) -> Vec<AttemptKey> {
        self.open.values().map(|o| o.key).collect()
    }
    fn has(&self, key: AttemptKey) -> bool {
        self.open.values().any(|o| o.key == key)
    }
    fn load(&self) -> usize {
        self.open.len()
    }
    fn takes(&self, call: &str) -> bool {
        let known = self.open.contains_key(call) || self.ended.iter().any(|id| **id == *call);
        self.open.len() < self.most && !known
    }
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.probes.is_empty()
    }
    fn start(&mut self, start: &AttemptRequest, out: &mut Vec<u8>) {
        let ms = (start.patience / 1000).max(1);
        let length = start.ask.statement.len();
        let mut fields = format!("kind={},ms={ms}", start.class);
        if let Some(token) = &start.ask.token {
            let _ = write!(fields, ",token={token}");
        }
        if start.grant_mb > 0.0 {
            let _ = write!(fields, ",workmem={}", start.grant_mb.min(GRANT_MOST).ceil());
        }
        out.extend(format!("REQ {} {fields} {length}\r\n", start.ask.call).bytes());
        out.extend_from_slice(&start.ask.statement);
        out.extend_from_slice(b"\r\n");
        let open = Open {
            key: start.key,
            pages: Vec::new(),
            told: AttemptReport::default(),
            begun: 0,
            again: false,
        };
        self.open.insert(start.ask.call.clone(), open);
    }
    fn stop(&mut self, key: AttemptKey, out: &mut Vec<u8>) -> bool {
        if let Some(call) = self
            .open
            .iter()
            .find(|o| o.1.key == key)
            .map(|o| o.0.clone())
        {
            out.extend(format!("STOP {call}\r\n").bytes());
            self.end(&call);
        }
        true
    }
    fn probe(&mut self, tag: u64, out: &mut Vec<u8>) {
        out.extend(format!("STAT p{tag}\r\n").bytes());
        // A probe that timed out is never answered: forget the oldest.
        if self.probes.len() >= 8 {
            self.probes.remove(0);
        }
        self.probes.push(tag);
    }
    fn probes(&self) -> Vec<u64> {
        self.probes.clone()
    }
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        out: &mut Vec<u8>,
        seen: &mut Vec<EngineEvent>,
    ) -> Result<(), String> {
        self.reader.push(input);
        while let Some(answer) = self.reader.next_answer()? {
            self.within = None;
            self.take(now, answer, out, seen)?;
        }
        self.within = self
            .reader
            .is_mid_message()
            .then_some(self.within.unwrap_or(now));
        Ok(())
    }
    fn tend(
        &mut self,
        now: Micros,
        out: &mut Vec<u8>,
        seen: &mut Vec<EngineEvent>,
    ) -> Result<(), String> {
        if self.within.is_some_and(|since| now > since + STALL) {
            return Err("an answer stopped short".into());
        }
        let mut late = Vec::new();
        for (id, open) in self.open.iter_mut().filter(|o| !o.1.pages.is_empty()) {
            if now > open.begun + PAGES_LATE {
                late.push(id.clone());
            } else if now > open.begun + PAGE_AGAIN && !std::mem::replace(&mut open.again, true) {
                open.ask_for_missing(id, out);
            }
        }
        for id in late {
            let failed = |key| {
                EngineEvent::Failed(key, Cause::MalformedResponse("its pages never came".into()))
            };
            seen.extend(self.end(&id).map(failed));
        }
        Ok(())
    }
    fn ended(&mut self, _seen: &mut Vec<EngineEvent>) {}
    fn is_spent(&self) -> bool {
        false
    }
}
