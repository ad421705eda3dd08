//! The platform's front: a thin one. Statements come as POSTs, results go as JSON.

use super::{ConnectionAction, Frontend, Intake, QueryClasses, ResponseWriter};
use driftfront_clickhouse::sql::table_group;
use driftfront_core::{Micros, ParsedRequest, ResponseChunk};
use driftfront_http::{header, response, Request, RequestLimits, MAX_HEAD_BYTES};
use std::rc::Rc;

/// Largest statement taken: with all connections that may be open, these must fit the smallest memory.
const BODY_MOST: usize = 64 * 1024;
/// Longest patience believed, in deadlines of the class, and the largest estimate: no usual client comes near
/// them, and what can't be a figure must not be planned with.
const PATIENCE_MOST: f64 = 2.0;
const FIGURE_MOST: f64 = 1e9;
/// Requests that share a key are written 60 ms apart, and 250 ms after one on a new connection, while the
/// client's patience runs from when it meant to send. So a keyed request may come this much late, and its
/// client leaves that much before the told patience has passed here. It was seen to: 110 to 170 ms; two on
/// new connections before it make more than 500.
const KEY_HOLD_MS: f64 = 600.0;
/// Longest dedupe key taken: the usual ones have 32 characters, and an engine's line has its bound.
const TOKEN_MOST: usize = 128;

/// Reads the platform's requests.
pub struct Platform {
    /// The classes.
    pub classes: QueryClasses,
    /// The tenants' names, by place in the settings.
    pub tenants: Rc<[String]>,
}

fn error(status: u16, words: &str) -> Intake {
    tracing::debug!(status, "not taken: {words}");
    Intake::Bad(response(
        status,
        &[],
        format!("{{\"error\":{}}}", quoted(words)).as_bytes(),
        false,
    ))
}

impl Frontend for Platform {
    fn request_limits(&self) -> RequestLimits {
        RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: BODY_MOST,
            has_more_body: false,
        }
    }

    fn is_sequential(&self) -> bool {
        true
    }

    fn parse_request(&mut self, request: Request, _now: Micros, _kept: usize) -> Intake {
        let path = request.target.split('?').next().unwrap_or_default();
        let Some(class) = path.strip_prefix("/ops/") else {
            return match (request.method.as_str(), path) {
                ("GET", "/alive") => Intake::Ready(
                    response(200, &[], b"", false),
                    response(503, &[], b"", false),
                ),
                ("GET", "/counters") => Intake::Counters,
                _ => error(404, "no such path"),
            };
        };
        let Some(class) = self.classes.place(class) else {
            return error(404, "no such class");
        };
        let call = header(&request.headers, "X-Call-Id").filter(|id| hex16(id).is_some());
        if let ("DELETE", Some(call)) = (request.method.as_str(), call) {
            return Intake::Withdraw(call.into(), response(200, &[], b"", false));
        }
        if request.method != "POST" {
            return error(405, "statements are posted");
        }
        let deadline = self
            .classes
            .patience
            .get(usize::from(class))
            .copied()
            .unwrap_or(Micros::MAX);
        match self.ask(request, class, deadline) {
            Ok(ask) => Intake::Take(ask, Box::new(Rows::default())),
            Err(words) => error(400, words),
        }
    }
}

/// A word of 16 hex digits, as ids and keys are.
fn hex16(word: &str) -> Option<u64> {
    let fits = word.len() == 16 && word.bytes().all(|b| b.is_ascii_hexdigit());
    fits.then(|| u64::from_str_radix(word, 16).ok()).flatten()
}

/// A word that can stand in a list of fields on the engines' wire, where a comma, a blank or a line break would forge
/// others.
fn word(text: &str) -> Option<&str> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
    (!text.is_empty() && text.len() <= TOKEN_MOST && text.bytes().all(fits)).then_some(text)
}

impl Platform {
    fn ask(
        &self,
        request: Request,
        class: u16,
        deadline: Micros,
    ) -> Result<ParsedRequest, &'static str> {
        // Which of two would be meant can't be told.
        let fields = [
            "X-Call-Id",
            "X-Patience-Ms",
            "X-Customer",
            "X-Repeat",
            "X-Dedupe-Key",
            "X-Weight-Ms",
            "X-Need-Mb",
            "X-Entity",
        ];
        let times = |name: &str| {
            request
                .headers
                .iter()
                .filter(|h| h.0.eq_ignore_ascii_case(name))
                .count()
        };
        if fields.iter().any(|name| times(name) > 1) {
            return Err("a field stands twice");
        }
        let field = |name: &str| header(&request.headers, name);
        // The id becomes a word on the engines' wire: a blank or a line break in it would forge commands, and an
        // engine that can't read a line closes the connection with all that is open on it.
        let call = field("X-Call-Id").ok_or("X-Call-Id is missing")?;
        hex16(call).ok_or("X-Call-Id is no id")?;
        if field("X-Repeat").is_some_and(|r| r != "1") {
            return Err("X-Repeat is not 1");
        }
        let number = |name: &str| match field(name).map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(n)) if (0.0..=FIGURE_MOST).contains(&n) => Ok(Some(n)),
            Some(_) => Err("a header's number can't be read"),
        };
        let patience = number("X-Patience-Ms")?.ok_or("X-Patience-Ms is missing")?;
        if patience <= 0.0 || patience * 1000.0 > PATIENCE_MOST * deadline as f64 {
            return Err("X-Patience-Ms is out of range");
        }
        let statement =
            std::str::from_utf8(&request.body).map_err(|_| "the statement is not text")?;
        // Engines answer what they can't use with an error, which would look like a fault of theirs.
        if statement.trim().is_empty()
            || statement
                .chars()
                .any(|c| c.is_control() && !c.is_whitespace())
        {
            return Err("the statement is empty or no text");
        }
        let key = field("X-Entity")
            .map(|k| hex16(k).ok_or("X-Entity is no key"))
            .transpose()?;
        let token = field("X-Dedupe-Key")
            .map(|t| word(t).ok_or("X-Dedupe-Key is no key"))
            .transpose()?;
        // One that the settings don't name has no share, and takes none of another's.
        let tenant = field("X-Customer").and_then(|t| self.tenants.iter().position(|n| n == t));
        let held = if key.is_some() {
            KEY_HOLD_MS.min(patience / 10.0)
        } else {
            0.0
        };
        Ok(ParsedRequest {
            call: call.into(),
            class,
            work: number("X-Weight-Ms")?
                .map(|ms| ms * 1000.0)
                .filter(|&w| w > 0.0),
            memory_mb: number("X-Need-Mb")?.filter(|&m| m > 0.0),
            tables: table_group(statement),
            key,
            tenant: tenant.map(|n| n as u32),
            token: token.map(Rc::from),
            budget: ((patience - held) * 1000.0) as Micros,
            statement: Rc::from(request.body),
            ..ParsedRequest::default()
        })
    }
}

/// Writes a result's rows as JSON.
#[derive(Default)]
struct Rows {
    body: Vec<u8>,
}

impl ResponseWriter for Rows {
    fn write_chunk(&mut self, piece: &ResponseChunk, _out: &mut Vec<u8>) {
        let Ok(text) = std::str::from_utf8(&piece.rows) else {
            return;
        };
        for row in text
            .strip_suffix('\n')
            .unwrap_or(text)
            .split('\n')
            .filter(|_| !text.is_empty())
        {
            self.body
                .push(if self.body.is_empty() { b'[' } else { b',' });
            for (n, column) in row.split('\t').enumerate() {
                self.body.push(if n == 0 { b'[' } else { b',' });
                self.body.extend_from_slice(quoted(column).as_bytes());
            }
            self.body.push(b']');
        }
    }
    fn finish(&mut self, out: &mut Vec<u8>) -> ConnectionAction {
        let rows: &[u8] = if self.body.is_empty() {
            b"["
        } else {
            &self.body
        };
        let body = [b"{\"data\":", rows, b"]}"].concat();
        out.extend(response(
            200,
            &[("Content-Type", "application/json")],
            &body,
            false,
        ));
        ConnectionAction::KeepOpen
    }
    fn reject(&mut self, after: Micros, _words: Option<&str>, out: &mut Vec<u8>) {
        let ms = after.div_ceil(1000).to_string();
        let advice = [("X-Come-Back-Ms", ms.as_str())];
        let advice = &advice[..usize::from(after > 0)];
        out.extend(response(429, advice, br#"{"error":"Overloaded"}"#, false));
    }
    fn fail(&mut self, _words: Option<&str>, out: &mut Vec<u8>) {
        out.extend(response(500, &[], br#"{"error":"Internal"}"#, false));
    }
    fn abort(&mut self, words: Option<&str>, out: &mut Vec<u8>) -> ConnectionAction {
        // Nothing has been written yet: rows go out only with the whole answer.
        self.fail(words, out);
        ConnectionAction::KeepOpen
    }
}

/// A JSON string.
fn quoted(text: &str) -> String {
    tinyjson::JsonValue::String(text.into())
        .stringify()
        .unwrap_or_else(|_| "\"\"".into())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn post(path: &str, headers: &[(&str, &str)], body: &str) -> Intake {
        let headers = headers
            .iter()
            .map(|h| (h.0.to_string(), h.1.to_string()))
            .collect();
        let (method, target, body) = ("POST".into(), path.into(), body.as_bytes().to_vec());
        let names: Vec<String> = vec!["lookup".into(), "member-load".into()];
        let mut front = Platform {
            classes: QueryClasses {
                names: names.into(),
                patience: Rc::from([2_500_000, 25_000_000]),
            },
            tenants: Rc::from(["east".to_string(), "west".to_string(), "east".to_string()]),
        };
        front.parse_request(
            Request {
                method,
                target,
                headers,
                body,
                close: false,
                has_more_body: false,
                version_1_1: true,
            },
            0,
            0,
        )
    }

    const CALL: (&str, &str) = ("X-Call-Id", "9b1f03aa5c7e2d41");

    fn taken(intake: Intake) -> ParsedRequest {
        match intake {
            Intake::Take(ask, _) => ask,
            _ => panic!("not taken in"),
        }
    }

    fn status(intake: Intake) -> String {
        match intake {
            Intake::Bad(bytes) => String::from_utf8_lossy(&bytes[9..12]).into(),
            _ => "none".into(),
        }
    }

    #[test]
    fn a_keyed_request_is_answered_before_its_client_which_was_held_back_leaves() {
        let patience = ("X-Patience-Ms", "25000");
        let keyed = post(
            "/ops/member-load",
            &[CALL, patience, ("X-Entity", "7f3a9c21e0b4d655")],
            "x",
        );
        let ask = taken(keyed);
        assert_eq!(
            (ask.budget, ask.key, ask.class),
            (24_400_000, Some(0x7f3a_9c21_e0b4_d655), 1)
        );
        let lookup = post("/ops/lookup", &[CALL, ("X-Patience-Ms", "2500")], "x");
        assert_eq!(taken(lookup).budget, 2_500_000);
    }

    #[test]
    fn what_cannot_be_a_request_is_answered_at_once() {
        let patience = ("X-Patience-Ms", "2500");
        assert_eq!(status(post("/ops/other", &[CALL, patience], "x")), "404");
        assert_eq!(status(post("/other", &[CALL, patience], "x")), "404");
        assert_eq!(status(post("/ops/lookup", &[patience], "x")), "400");
        assert_eq!(status(post("/ops/lookup", &[CALL], "x")), "400");
        for word in ["a STOP b", "9b1f03aa5c7e2d4", "+b1f03aa5c7e2d41", ""] {
            assert_eq!(
                status(post("/ops/lookup", &[("X-Call-Id", word), patience], "x")),
                "400",
                "{word}"
            );
            assert_eq!(
                status(post(
                    "/ops/lookup",
                    &[CALL, patience, ("X-Entity", word)],
                    "x"
                )),
                "400"
            );
        }
        for figure in ["NaN", "inf", "-1", "0", "5001", "1e300", "12 34", ""] {
            assert_eq!(
                status(post("/ops/lookup", &[CALL, ("X-Patience-Ms", figure)], "x")),
                "400",
                "{figure}"
            );
        }
        for more in [
            ("X-Weight-Ms", "1e10"),
            ("X-Need-Mb", "-3"),
            ("X-Repeat", "yes"),
            CALL,
        ] {
            assert_eq!(
                status(post("/ops/lookup", &[CALL, patience, more], "x")),
                "400",
                "{more:?}"
            );
        }
        for statement in ["", " \r\n", "SELECT \0"] {
            assert_eq!(
                status(post("/ops/lookup", &[CALL, patience], statement)),
                "400"
            );
        }
    }

    #[test]
    fn rows_are_passed_on_unchanged_and_in_order() {
        let (mut writer, mut out) = (Rows::default(), Vec::new());
        let piece = |rows: &str| ResponseChunk {
            about: Vec::new(),
            rows: rows.into(),
            whole: false,
        };
        writer.write_chunk(&piece("a\t1\t\"q\"\nb\t\t\u{e9}\n"), &mut out);
        writer.write_chunk(&piece("c\t2\ty\n"), &mut out);
        assert!(out.is_empty());
        writer.finish(&mut out);
        let text = String::from_utf8(out).unwrap();
        let rows =
            "{\"data\":[[\"a\",\"1\",\"\\\"q\\\"\"],[\"b\",\"\",\"\u{e9}\"],[\"c\",\"2\",\"y\"]]}";
        assert!(text.ends_with(rows), "{text}");
        let mut none = Vec::new();
        Rows::default().finish(&mut none);
        assert!(none.ends_with(b"{\"data\":[]}"));
    }
}
