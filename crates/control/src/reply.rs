//! What a running program answers an operator.

use crate::json::{ObjectReader, ObjectWriter};
use crate::snapshot::Snapshot;

/// A reply: an object with the request's `id`, and the members named below.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// `done`: it was done, for the operator to read.
    Done(String),
    /// `refused`: it was not done, and why.
    Refused(String),
    /// `snapshot`: everything at one moment.
    Snapshot(Box<Snapshot>),
    /// `at`, `event`: something has happened; when (Unix microseconds), and what.
    Event(u64, String),
}

impl Reply {
    /// The reply as a line, under the request's id.
    pub fn line(&self, id: u64) -> String {
        let object = ObjectWriter::new().with("id", &id);
        let object = match self {
            Reply::Done(text) => object.with("done", text),
            Reply::Refused(reason) => object.with("refused", reason),
            Reply::Snapshot(snapshot) => object.with("snapshot", &**snapshot),
            Reply::Event(at, text) => object.with("at", at).with("event", text),
        };
        object.into_line()
    }

    /// Reads a line: its id, and the reply; `None` for what is no known reply.
    pub fn read(line: &str) -> Option<(u64, Reply)> {
        let object = ObjectReader::parse(line)?;
        let id = object.get_whole_number("id")?;
        let reply = if let Some(text) = object.get("done") {
            Reply::Done(text)
        } else if let Some(reason) = object.get("refused") {
            Reply::Refused(reason)
        } else if object.value("snapshot").is_some() {
            Reply::Snapshot(Box::new(object.get("snapshot")?))
        } else {
            Reply::Event(object.get_whole_number("at")?, object.get("event")?)
        };
        Some((id, reply))
    }
}
