//! Commands that the core issues to its host.

use crate::request::{AttemptKey, RequestId, ResponseChunk, SettledOutcome};
use driftfront_scheduler::{EngineId, Micros};
use std::rc::Rc;

/// An operation for the host; commands have to be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to an engine. Call [`Core::may_write_attempt`](crate::Core::may_write_attempt) before its first byte.
    StartAttempt(AttemptKey, EngineId),
    /// Stop waiting for an attempt.
    AbandonAttempt(AttemptKey, EngineId),
    /// Probe an engine; the result carries this tag.
    Probe(EngineId, u64),
    /// Final answer: rejected, with the Retry-After time and the last engine error, if there was one.
    Reject(RequestId, Micros, Option<Rc<str>>),
    /// Final answer: failed, with the engine's error text if there is one.
    Fail(RequestId, Option<Rc<str>>),
    /// Forward a chunk of the response.
    ForwardChunk(RequestId, ResponseChunk),
    /// Final answer: served; all chunks have been forwarded.
    Finish(RequestId),
    /// Final answer: a started response cannot be completed. The client must be able to detect that it is incomplete.
    Abort(RequestId, Option<Rc<str>>),
    /// The request with this ticket, which the frontend assigned, is settled.
    Settled(u64, SettledOutcome),
    /// The engine is gone; its idle connections may be closed.
    ForgetEngine(EngineId),
    /// A line for the operators' log.
    Log(String),
}

impl Command {
    /// Whether this is the final answer to `request`.
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
