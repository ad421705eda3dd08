//! Commands: what a host is to do for the core.

use crate::request::{AttemptKey, RequestId, ResponseChunk, SettledOutcome};
use driftfront_scheduler::{EngineId, Micros};
use std::rc::Rc;

/// What a host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Bring an attempt to an engine; ask [`Core::may_write_attempt`](crate::Core::may_write_attempt) before its first byte.
    StartAttempt(AttemptKey, EngineId),
    /// Stop waiting for an attempt.
    AbandonAttempt(AttemptKey, EngineId),
    /// Probe an engine under this tag.
    Probe(EngineId, u64),
    /// Final answer: rejected; the client should stay away for this long. What the last engine said, if it erred.
    Reject(RequestId, Micros, Option<Rc<str>>),
    /// Final answer: failed, with what the engine said if it said anything.
    Fail(RequestId, Option<Rc<str>>),
    /// Forward a chunk of the response.
    ForwardChunk(RequestId, ResponseChunk),
    /// Final answer: served; all chunks have been forwarded.
    Finish(RequestId),
    /// Final answer: a response that has begun cannot be finished; the client must see that.
    Abort(RequestId, Option<Rc<str>>),
    /// Nothing of the request under this ticket of the frontend's is in flight any more.
    Settled(u64, SettledOutcome),
    /// The engine is gone: its idle connections may close.
    ForgetEngine(EngineId),
    /// A line for the operators' log.
    Log(String),
}

impl Command {
    /// Whether it is a request's final answer.
    pub(crate) fn is_answer_to(&self, request: RequestId) -> bool {
        match self {
            Command::Reject(id, ..)
            | Command::Fail(id, _)
            | Command::Finish(id)
            | Command::Abort(id, _) => *id == request,
            Command::StartAttempt(..)
            | Command::AbandonAttempt(..)
            | Command::Probe(..)
            | Command::ForwardChunk(..)
            | Command::Settled(..)
            | Command::ForgetEngine(_)
            | Command::Log(_) => false,
        }
    }
}
