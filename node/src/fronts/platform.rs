//! The platform's front: a thin one. Statements come as POSTs, results go as JSON.

use super::{AnswerWriter, Classes, Front, Intake};
use crate::net::hash;
use crate::net::http::{header, response, Request};
use crate::sql::table_group;
use driftfront_core::{Ask, Micros};
use std::rc::Rc;

/// Largest statement taken.
const BODY_MOST: usize = 256 * 1024;
/// Longest patience believed: an hour.
const PATIENCE_MOST: f64 = 3_600_000.0;

/// Reads the platform's requests.
pub struct Platform {
    /// The classes.
    pub classes: Classes,
}

fn error(status: u16, words: &str) -> Intake {
    Intake::Reply(response(status, &[], format!("{{\"error\":{}}}", quoted(words)).as_bytes(), false))
}

impl Front for Platform {
    fn body_most(&self) -> usize {
        BODY_MOST
    }

    fn intake(&self, request: Request, _now: Micros) -> Intake {
        let path = request.target.split('?').next().unwrap_or_default();
        let Some(class) = path.strip_prefix("/ops/") else {
            return match (request.method.as_str(), path) {
                ("GET", "/alive") => Intake::Ready,
                ("GET", "/counters") => Intake::Counters,
                _ => error(404, "no such path"),
            };
        };
        let Some(class) = self.classes.place(class) else { return error(404, "no such class") };
        if request.method != "POST" {
            return error(405, "statements are posted");
        }
        match ask(request, class) {
            Ok(ask) => Intake::Take(ask, Box::new(Rows::default())),
            Err(words) => error(400, words),
        }
    }
}

fn ask(request: Request, class: u16) -> Result<Ask, &'static str> {
    let field = |name: &str| header(&request.headers, name);
    // The id becomes a word on the engines' wire: a blank or a line break in it would forge commands.
    let call = field("X-Call-Id").ok_or("X-Call-Id is missing")?;
    if call.is_empty() || call.len() > 64 || !call.bytes().all(|b| b.is_ascii_alphanumeric()) {
        return Err("X-Call-Id is not a word");
    }
    let number = |name: &str| match field(name).map(str::parse::<f64>) {
        None => Ok(None),
        Some(Ok(n)) if n.is_finite() && n >= 0.0 => Ok(Some(n)),
        Some(_) => Err("a header's number can't be read"),
    };
    let patience = number("X-Patience-Ms")?.ok_or("X-Patience-Ms is missing")?;
    let statement = std::str::from_utf8(&request.body).map_err(|_| "the statement is not text")?;
    let key = field("X-Entity").map(|k| u64::from_str_radix(k, 16).unwrap_or_else(|_| hash(k.as_bytes())));
    Ok(Ask {
        call: call.into(),
        class,
        work: number("X-Weight-Ms")?.map(|ms| ms * 1000.0).filter(|&w| w > 0.0),
        memory_mb: number("X-Need-Mb")?.filter(|&m| m > 0.0),
        tables: table_group(statement),
        key,
        budget: (patience.min(PATIENCE_MOST) * 1000.0) as Micros,
        statement: Rc::from(request.body),
    })
}

/// Writes a result's rows as JSON.
#[derive(Default)]
struct Rows {
    body: Vec<u8>,
}

impl AnswerWriter for Rows {
    fn piece(&mut self, piece: &[u8], _out: &mut Vec<u8>) {
        let Ok(text) = std::str::from_utf8(piece) else { return };
        for row in text.strip_suffix('\n').unwrap_or(text).split('\n').filter(|_| !text.is_empty()) {
            self.body.push(if self.body.is_empty() { b'[' } else { b',' });
            for (n, column) in row.split('\t').enumerate() {
                self.body.push(if n == 0 { b'[' } else { b',' });
                self.body.extend_from_slice(quoted(column).as_bytes());
            }
            self.body.push(b']');
        }
    }
    fn finish(&mut self, out: &mut Vec<u8>) {
        let rows: &[u8] = if self.body.is_empty() { b"[" } else { &self.body };
        let body = [b"{\"data\":", rows, b"]}"].concat();
        out.extend(response(200, &[("Content-Type", "application/json")], &body, false));
    }
    fn refuse(&mut self, after: Micros, out: &mut Vec<u8>) {
        let ms = after.div_ceil(1000).to_string();
        out.extend(response(429, &[("X-Come-Back-Ms", &ms)], br#"{"error":"Overloaded"}"#, false));
    }
    fn fail(&mut self, _words: Option<&str>, out: &mut Vec<u8>) {
        out.extend(response(500, &[], br#"{"error":"Internal"}"#, false));
    }
    fn cut(&mut self, words: Option<&str>, out: &mut Vec<u8>) -> bool {
        // Nothing has been written yet: rows go out only with the whole answer.
        self.fail(words, out);
        true
    }
}

/// A JSON string.
fn quoted(text: &str) -> String {
    tinyjson::JsonValue::String(text.into()).stringify().unwrap_or_else(|_| "\"\"".into())
}
