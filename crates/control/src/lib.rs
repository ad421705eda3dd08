//! The operators' protocol: one JSON object a line, both ways, over a Unix socket of mode 0600 (or, where the
//! operator's file says so, loopback TCP behind a key).
//!
//! The program greets with `{"driftfront":VERSION,"v":1}`, and on TCP with a challenge. A client sends requests with
//! an `id` of its own; each is answered under that id, `follow` and `events` again and again. Nothing here does I/O.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod commands;
mod json;
pub mod key;
pub mod management;
pub mod snapshot;

pub use json::Field;

use std::collections::HashMap;
use tinyjson::JsonValue;

/// The protocol's version: a client of another one is told so.
pub const VERSION: u64 = 1;
/// Longest line that the program reads.
pub const MAX_REQUEST_BYTES: usize = 16 * 1024;
/// Longest line that a client reads: a snapshot of thousands of engines.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Everything, once.
    Snapshot,
    /// Everything, again and again; milliseconds between.
    Follow(u64),
    /// The last events, and with `true` all that come.
    Events(bool),
    /// Nothing new to an engine.
    Drain {
        /// The engine.
        engine: String,
        /// Also the last one that is ready.
        force: bool,
    },
    /// Lifts a drain.
    Resume(String),
    /// Sends the clients away.
    Pause,
    /// Back to work.
    Unpause,
    /// Adds an engine.
    Add {
        /// Its name.
        engine: String,
        /// Where it listens.
        addr: String,
        /// Its building, by name; empty for the first.
        zone: String,
        /// Its machine kind, by name; empty for the first.
        kind: String,
    },
    /// Takes an engine out of the list.
    Remove {
        /// The engine.
        engine: String,
        /// Also while it takes work.
        force: bool,
    },
    /// Begins a roll over these engines, or over all; with `true` only says what it would do.
    Roll(Vec<String>, bool),
    /// The engine that a roll has handed over is back.
    Back,
    /// Takes a hold over the whole fleet.
    Hold {
        /// Its name: of one name only one is held.
        name: String,
        /// For how long, in seconds.
        for_s: u64,
        /// It is held beyond that, until it is given back.
        stays: bool,
        /// Why, in words.
        note: String,
    },
    /// Gives a hold back, whoever took it.
    Unhold(String),
    /// Stops the roll, or lets it go on.
    RollStop,
    /// See [`Request::RollStop`].
    RollGoOn,
    /// The answer to a challenge.
    Auth(String),
}

/// Why a line was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// It is no JSON object.
    NotJson,
    /// Its version is another one.
    Version(u64),
    /// It asks for nothing that is known.
    Unknown(String),
    /// Something it needs is missing.
    Missing(&'static str),
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RequestError::NotJson => f.write_str("the line is no JSON object"),
            RequestError::Version(v) => write!(
                f,
                "this program speaks version {VERSION} of the protocol, not {v}"
            ),
            RequestError::Unknown(what) => write!(f, "nothing is called {what:?} here"),
            RequestError::Missing(what) => write!(f, "{what} is missing"),
        }
    }
}

impl std::error::Error for RequestError {}

fn object(fields: Vec<(&str, JsonValue)>) -> JsonValue {
    JsonValue::Object(
        fields
            .into_iter()
            .map(|(n, v)| (n.to_string(), v))
            .collect(),
    )
}

fn line(value: &JsonValue) -> String {
    value.stringify().unwrap_or_else(|_| "{}".into()) + "\n"
}

/// The program's greeting; a challenge where a key is asked for.
pub fn greeting(version: &str, challenge: Option<&str>) -> String {
    let mut fields = vec![
        ("driftfront", version.to_string().into()),
        ("v", (VERSION as f64).into()),
    ];
    if let Some(challenge) = challenge {
        fields.push(("challenge", challenge.to_string().into()));
    }
    line(&object(fields))
}

/// The challenge in a greeting, if it holds one; `None` where the line is no greeting.
pub fn challenge_in(greeting: &str) -> Option<Option<String>> {
    let Ok(JsonValue::Object(fields)) = greeting.parse::<JsonValue>() else {
        return None;
    };
    Some(
        fields
            .get("challenge")
            .and_then(|c| c.get::<String>().cloned()),
    )
}

impl Request {
    /// As a line.
    pub fn line(&self, id: u64) -> String {
        let text = |s: &str| JsonValue::from(s.to_string());
        let mut fields = vec![("v", (VERSION as f64).into()), ("id", (id as f64).into())];
        let (word, more): (&str, Vec<(&str, JsonValue)>) = match self {
            Request::Snapshot => ("snapshot", vec![]),
            Request::Follow(ms) => ("follow", vec![("every_ms", (*ms as f64).into())]),
            Request::Events(follow) => ("events", vec![("follow", (*follow).into())]),
            Request::Drain { engine, force } => (
                "drain",
                vec![("engine", text(engine)), ("force", (*force).into())],
            ),
            Request::Resume(engine) => ("resume", vec![("engine", text(engine))]),
            Request::Pause => ("pause", vec![]),
            Request::Unpause => ("unpause", vec![]),
            Request::Add {
                engine,
                addr,
                zone,
                kind,
            } => (
                "add",
                vec![
                    ("engine", text(engine)),
                    ("addr", text(addr)),
                    ("zone", text(zone)),
                    ("kind", text(kind)),
                ],
            ),
            Request::Remove { engine, force } => (
                "remove",
                vec![("engine", text(engine)), ("force", (*force).into())],
            ),
            Request::Roll(engines, dry) => {
                let list = engines.iter().map(|e| text(e)).collect::<Vec<_>>();
                (
                    "roll",
                    vec![
                        ("engines", JsonValue::Array(list)),
                        ("dry_run", (*dry).into()),
                    ],
                )
            }
            Request::Hold {
                name,
                for_s,
                stays,
                note,
            } => (
                "hold",
                vec![
                    ("name", text(name)),
                    ("for_s", (*for_s as f64).into()),
                    ("stays", (*stays).into()),
                    ("note", text(note)),
                ],
            ),
            Request::Unhold(name) => ("unhold", vec![("name", text(name))]),
            Request::Back => ("back", vec![]),
            Request::RollStop => ("roll_stop", vec![]),
            Request::RollGoOn => ("roll_go_on", vec![]),
            Request::Auth(answer) => ("auth", vec![("answer", text(answer))]),
        };
        fields.push(("do", text(word)));
        fields.extend(more);
        line(&object(fields))
    }

    /// Reads a line: its id, and what it asks for.
    pub fn read(line: &str) -> (u64, Result<Request, RequestError>) {
        let Ok(JsonValue::Object(fields)) = line.parse::<JsonValue>() else {
            return (0, Err(RequestError::NotJson));
        };
        let id = number(&fields, "id").unwrap_or(0.0) as u64;
        (id, read(&fields))
    }
}

fn number(fields: &HashMap<String, JsonValue>, name: &str) -> Option<f64> {
    fields.get(name)?.get::<f64>().copied()
}

fn read(fields: &HashMap<String, JsonValue>) -> Result<Request, RequestError> {
    let version = number(fields, "v").ok_or(RequestError::Missing("v"))? as u64;
    if version != VERSION {
        return Err(RequestError::Version(version));
    }
    let text = |name: &'static str| fields.get(name).and_then(|v| v.get::<String>().cloned());
    let need = |name: &'static str| {
        text(name)
            .filter(|t| !t.is_empty())
            .ok_or(RequestError::Missing(name))
    };
    let flag = |name: &str| {
        fields
            .get(name)
            .and_then(|v| v.get::<bool>().copied())
            .unwrap_or(false)
    };
    let word = text("do").ok_or(RequestError::Missing("do"))?;
    Ok(match word.as_str() {
        "snapshot" => Request::Snapshot,
        "follow" => Request::Follow(
            number(fields, "every_ms")
                .unwrap_or(1000.0)
                .clamp(50.0, 60_000.0) as u64,
        ),
        "events" => Request::Events(flag("follow")),
        "drain" => Request::Drain {
            engine: need("engine")?,
            force: flag("force"),
        },
        "resume" => Request::Resume(need("engine")?),
        "pause" => Request::Pause,
        "unpause" => Request::Unpause,
        "add" => Request::Add {
            engine: need("engine")?,
            addr: text("addr").unwrap_or_default(),
            zone: text("zone").unwrap_or_default(),
            kind: text("kind").unwrap_or_default(),
        },
        "remove" => Request::Remove {
            engine: need("engine")?,
            force: flag("force"),
        },
        "roll" => {
            let list = fields
                .get("engines")
                .and_then(|v| v.get::<Vec<JsonValue>>().cloned())
                .unwrap_or_default();
            let names = list
                .iter()
                .filter_map(|v| v.get::<String>().cloned())
                .collect();
            Request::Roll(names, flag("dry_run"))
        }
        "hold" => Request::Hold {
            name: need("name")?,
            for_s: number(fields, "for_s").ok_or(RequestError::Missing("for_s"))? as u64,
            stays: flag("stays"),
            note: text("note").unwrap_or_default(),
        },
        "unhold" => Request::Unhold(need("name")?),
        "back" => Request::Back,
        "roll_stop" => Request::RollStop,
        "roll_go_on" => Request::RollGoOn,
        "auth" => Request::Auth(need("answer")?),
        other => return Err(RequestError::Unknown(other.chars().take(40).collect())),
    })
}

/// What the program answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Done, in words.
    Done(String),
    /// Not done, and why.
    Refused(String),
    /// Everything as it stands.
    Snapshot(Box<snapshot::Snapshot>),
    /// Something has happened: when (Unix microseconds), and what.
    Event(u64, String),
}

impl Reply {
    /// As a line.
    pub fn line(&self, id: u64) -> String {
        let mut fields = vec![("id", (id as f64).into())];
        match self {
            Reply::Done(words) => fields.push(("done", words.clone().into())),
            Reply::Refused(words) => fields.push(("refused", words.clone().into())),
            Reply::Snapshot(snapshot) => fields.push(("snapshot", snapshot.to_json())),
            Reply::Event(at, words) => {
                fields.push(("at", (*at as f64).into()));
                fields.push(("event", words.clone().into()));
            }
        }
        line(&object(fields))
    }

    /// Reads a line: its id, and the reply; `None` for what is none that is known.
    pub fn read(line: &str) -> Option<(u64, Reply)> {
        let Ok(JsonValue::Object(fields)) = line.parse::<JsonValue>() else {
            return None;
        };
        let id = number(&fields, "id")? as u64;
        let text = |name: &str| fields.get(name).and_then(|v| v.get::<String>().cloned());
        let reply = if let Some(words) = text("done") {
            Reply::Done(words)
        } else if let Some(words) = text("refused") {
            Reply::Refused(words)
        } else if let Some(snapshot) = fields.get("snapshot") {
            Reply::Snapshot(Box::new(snapshot::Snapshot::from_json(snapshot)?))
        } else {
            Reply::Event(number(&fields, "at")? as u64, text("event")?)
        };
        Some((id, reply))
    }
}

/// Takes lines off bytes as they come.
#[derive(Default)]
pub struct LineReader {
    held: Vec<u8>,
}

/// A line longer than the bound: nothing behind it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl LineReader {
    /// Bytes that have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole line, without its end.
    pub fn next_line(&mut self, most: usize) -> Result<Option<String>, TooLong> {
        match self.held.iter().position(|&b| b == b'\n') {
            Some(end) if end <= most => {
                let line = String::from_utf8_lossy(&self.held[..end])
                    .trim_end_matches('\r')
                    .to_string();
                self.held.drain(..=end);
                Ok(Some(line))
            }
            None if self.held.len() <= most => Ok(None),
            _ => Err(TooLong),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_request_is_read_as_it_was_written() {
        let engine = || "engine-1".to_string();
        for request in [
            Request::Snapshot,
            Request::Follow(250),
            Request::Events(true),
            Request::Drain {
                engine: engine(),
                force: true,
            },
            Request::Resume(engine()),
            Request::Pause,
            Request::Unpause,
            Request::Add {
                engine: engine(),
                addr: "127.0.0.1:1".into(),
                zone: "a".into(),
                kind: String::new(),
            },
            Request::Remove {
                engine: engine(),
                force: false,
            },
            Request::Roll(vec![engine(), "b\"\n".into()], true),
            Request::Hold {
                name: "room-a".into(),
                for_s: 600,
                stays: true,
                note: "a fan".into(),
            },
            Request::Unhold("room-a".into()),
            Request::Back,
            Request::RollStop,
            Request::RollGoOn,
            Request::Auth("00ff".into()),
        ] {
            assert_eq!(
                Request::read(request.line(7).trim_end()),
                (7, Ok(request.clone()))
            );
        }
    }

    #[test]
    fn what_cannot_be_taken_is_told_with_its_id() {
        assert_eq!(Request::read("nonsense"), (0, Err(RequestError::NotJson)));
        assert_eq!(
            Request::read(r#"{"id":3,"v":2,"do":"snapshot"}"#),
            (3, Err(RequestError::Version(2)))
        );
        assert_eq!(
            Request::read(r#"{"id":4,"v":1,"do":"drain"}"#),
            (4, Err(RequestError::Missing("engine")))
        );
        assert_eq!(
            Request::read(r#"{"id":5,"v":1,"do":"dance"}"#),
            (5, Err(RequestError::Unknown("dance".into())))
        );
    }

    #[test]
    fn replies_are_read_back_and_lines_are_bounded() {
        for reply in [
            Reply::Done("a\nb".into()),
            Reply::Refused("no".into()),
            Reply::Event(5, "x".into()),
        ] {
            assert_eq!(Reply::read(reply.line(9).trim_end()), Some((9, reply)));
        }
        let mut lines = LineReader::default();
        lines.push(b"one\r\ntwo");
        assert_eq!(lines.next_line(100), Ok(Some("one".into())));
        assert_eq!(lines.next_line(100), Ok(None));
        lines.push(&[b'x'; 200]);
        assert_eq!(lines.next_line(100), Err(TooLong));
    }
}
