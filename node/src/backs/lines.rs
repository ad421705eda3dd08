//! The platform's engine wire: lines of words, many requests on one connection.

use super::{Seen, Session, Start};
use driftfront_core::{AttemptKey, Cause, Note, Outcome, Piece};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Longest line, longest page and most pages that an engine may send.
const LINE_MOST: usize = 8 * 1024;
const PAGE_MOST: usize = 64 * 1024;
const PAGES_MOST: usize = 16;

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
        self.fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
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

    /// The next whole answer, if it is there.
    pub fn next_answer(&mut self) -> Result<Option<Answer>, String> {
        let rest = &self.bytes[self.used..];
        let Some(end) = rest.iter().position(|&b| b == b'\n') else {
            return if rest.len() > LINE_MOST { Err("line too long".into()) } else { Ok(None) };
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
        let answer =
            Answer { id: id.into(), word: word.into(), fields: fields.into(), body: body[..length].to_vec() };
        self.used += end + 1 + length + 2;
        Ok(Some(answer))
    }
}

/// An attempt out on a connection, and the pages that have come.
struct Open {
    key: AttemptKey,
    pages: Vec<Option<Vec<u8>>>,
    report: Vec<f64>,
}

/// A connection's conversation in lines.
pub struct Lines {
    reader: Reader,
    open: BTreeMap<Rc<str>, Open>,
    probes: Vec<u64>,
    most: usize,
    gauges: Rc<[String]>,
}

impl Lines {
    /// A conversation that carries so many requests; `gauges` names a report's values in order.
    pub fn new(most: usize, gauges: Rc<[String]>) -> Lines {
        Lines { reader: Reader::default(), open: BTreeMap::new(), probes: Vec::new(), most, gauges }
    }

    fn report(&self, answer: &Answer) -> Vec<f64> {
        let Some(told) = answer.field("gauges") else { return Vec::new() };
        let value = |name: &String| {
            let each = told.split(';').filter_map(|g| g.split_once(':'));
            let found = each.filter(|g| g.0 == name).find_map(|g| g.1.parse::<f64>().ok());
            // The module takes values out of range as absent.
            found.unwrap_or(-1.0)
        };
        self.gauges.iter().map(value).collect()
    }

    fn take(&mut self, answer: Answer, out: &mut Vec<u8>, seen: &mut Vec<Seen>) -> Result<(), String> {
        let report = self.report(&answer);
        if let "PONG" | "SICK" = answer.word.as_str() {
            let tag = answer.id.strip_prefix('p').and_then(|t| t.parse().ok());
            if let Some(n) = self.probes.iter().position(|p| Some(*p) == tag) {
                let outcome = if answer.word == "PONG" { Outcome::Ok } else { Outcome::Error };
                seen.push(Seen::Probed(self.probes.swap_remove(n), outcome, report));
            }
            return Ok(());
        }
        // What was given up may still be answered: its answer crossed our STOP.
        let Some(open) = self.open.get_mut(&*answer.id) else { return Ok(()) };
        let key = open.key;
        match answer.word.as_str() {
            "HIT" | "PART" => {
                if let Err(e) = open.page(&answer, report) {
                    return Err(format!("{}: {e}", answer.word));
                }
                seen.push(Seen::Begun(key));
                if answer.word == "HIT" {
                    // All pages at once: they are lost with their engine.
                    for page in 1..open.pages.len() {
                        out.extend(format!("FETCH {} {page}\r\n", answer.id).bytes());
                    }
                }
                if open.pages.iter().all(Option::is_some) {
                    if open.pages.len() > 1 {
                        out.extend(format!("END {}\r\n", answer.id).bytes());
                    }
                    if let Some(done) = self.open.remove(&*answer.id) {
                        let whole: Vec<u8> = done.pages.into_iter().flatten().flatten().collect();
                        if std::str::from_utf8(&whole).is_err() {
                            seen.push(Seen::Failed(key, Cause::Engine("result is not text".into())));
                            return Ok(());
                        }
                        seen.push(Seen::Piece(key, Piece { about: Vec::new(), rows: whole }));
                        seen.push(Seen::Served(key, done.report));
                    }
                }
            }
            "INFO" => seen.extend(note(&answer).map(|note| Seen::Noted(key, note))),
            word => {
                let cause = match word {
                    "SHED" | "LATE" => Cause::TurnedAway,
                    "FAULT" => Cause::Engine("FAULT".into()),
                    other => return Err(format!("unknown word {other}")),
                };
                self.open.remove(&*answer.id);
                seen.push(Seen::Failed(key, cause));
            }
        }
        Ok(())
    }
}

impl Open {
    fn page(&mut self, answer: &Answer, report: Vec<f64>) -> Result<(), &'static str> {
        let number = |name: &str| answer.field(name).and_then(|n| n.parse::<usize>().ok());
        let place = if answer.word == "HIT" {
            let pages = number("fetches").unwrap_or(1).max(1);
            if !self.pages.is_empty() || pages > PAGES_MOST {
                return Err("a second result, or too many pages");
            }
            self.pages = vec![None; pages];
            self.report = report;
            0
        } else {
            number("fetch_no").ok_or("no page number")?
        };
        let page = self.pages.get_mut(place).ok_or("a page that was not asked for")?;
        *page = Some(answer.body.clone());
        Ok(())
    }
}

fn note(answer: &Answer) -> Option<Note> {
    let figure: f64 = answer.field("figure")?.parse().ok()?;
    match answer.field("res")? {
        "p" if figure.is_finite() => Some(Note::Progress(figure.clamp(0.0, 1.0))),
        "s" if figure.is_finite() => Some(Note::Spills(figure.max(0.0))),
        "w" if figure == 1.0 => Some(Note::WaitsForMemory),
        "w" if figure == 2.0 => Some(Note::WaitsForLoad),
        _ => None,
    }
}

impl Session for Lines {
    fn most(&self) -> usize {
        self.most
    }
    fn open(&self) -> Vec<AttemptKey> {
        self.open.values().map(|o| o.key).collect()
    }
    fn takes(&self, call: &str) -> bool {
        self.open.len() < self.most && !self.open.contains_key(call)
    }
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.probes.is_empty()
    }
    fn start(&mut self, start: &Start, out: &mut Vec<u8>) {
        let ms = (start.patience / 1000).max(1);
        let length = start.ask.statement.len();
        out.extend(format!("REQ {} kind={},ms={ms} {length}\r\n", start.ask.call, start.class).bytes());
        out.extend_from_slice(&start.ask.statement);
        out.extend_from_slice(b"\r\n");
        let open = Open { key: start.key, pages: Vec::new(), report: Vec::new() };
        self.open.insert(start.ask.call.clone(), open);
    }
    fn stop(&mut self, key: AttemptKey, out: &mut Vec<u8>) -> bool {
        if let Some(call) = self.open.iter().find(|o| o.1.key == key).map(|o| o.0.clone()) {
            out.extend(format!("STOP {call}\r\n").bytes());
            self.open.remove(&call);
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
    fn feed(&mut self, input: &[u8], out: &mut Vec<u8>, seen: &mut Vec<Seen>) -> Result<(), String> {
        self.reader.push(input);
        while let Some(answer) = self.reader.next_answer()? {
            self.take(answer, out, seen)?;
        }
        Ok(())
    }
    fn ended(&mut self, _seen: &mut Vec<Seen>) {}
    fn is_spent(&self) -> bool {
        false
    }
}
