//! Replies of a running program.

use crate::json::{ObjectReader, ObjectWriter};
use crate::snapshot::Snapshot;

/// A reply: an object with the `id` of the request, and the members named below.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// `done`: the request was executed; a message for the operator.
    Done(String),
    /// `refused`: the request was refused; the reason.
    Refused(String),
    /// `snapshot`: the complete state.
    Snapshot(Box<Snapshot>),
    /// `at`, `event`: an event, with its time in Unix microseconds.
    Event(u64, String),
}

impl Reply {
    /// Formats the reply as a line, with the id of the request.
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

    /// Parses a line into the id and the reply; `None` if it is not a known reply.
    pub fn read(line: &str) -> Option<(u64, Reply)> {
        let object = ObjectReader::parse(line)?;
        let id = object.get_u64("id")?;
        let reply = if let Some(text) = object.get("done") {
            Reply::Done(text)
        } else if let Some(reason) = object.get("refused") {
            Reply::Refused(reason)
        } else if object.value("snapshot").is_some() {
            Reply::Snapshot(Box::new(object.get("snapshot")?))
        } else {
            Reply::Event(object.get_u64("at")?, object.get("event")?)
        };
        Some((id, reply))
    }
}
