//! Requests as parsed by a frontend, and the state kept for each until it is settled.

use crate::attempt::{Attempt, AttemptError};
use driftfront_scheduler::{EngineId, Idempotency, Micros, Outcome, StickySession};
use std::fmt;
use std::rc::Rc;

/// A request's internal id, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, starting at 0.
    pub number: u8,
}

/// A request as parsed by a frontend, independent of the client's protocol.
#[derive(Clone)]
pub struct ParsedRequest {
    /// The client's name for the request, passed on to engines.
    pub name: Rc<str>,
    /// Index of the class in the settings.
    pub class: u16,
    /// Estimated work in µs on one core.
    pub work: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Table group of the statement; 0 for none.
    pub table_group: u32,
    /// Requests with the same ordering key run in order of arrival if their class requires it.
    pub ordering_key: Option<u64>,
    /// Index of the tenant in the settings; `None` for an unknown tenant.
    pub tenant: Option<u32>,
    /// The client's idempotency key, passed on unchanged, by which engines deduplicate queries. It is the same for all retries of
    /// a request.
    pub idempotency_key: Option<Rc<str>>,
    /// Whether the statement must not run twice although its class is idempotent: its effect is not known to be the same.
    pub runs_once: bool,
    /// Time until the client gives up.
    pub client_timeout: Micros,
    /// Names and values of the statement's parameters, passed on unchanged.
    pub parameters: Rc<[(String, String)]>,
    /// The statement, passed on unchanged; only its first part if `is_body_streamed` is set.
    pub statement: Rc<[u8]>,
    /// The engine that the request must or should be sent to.
    pub sticky_session: Option<StickySession>,
    /// Error text for the case that the request is bound to an engine that drains or is gone.
    pub session_lost_error: Option<Rc<str>>,
    /// Whether the rest of the statement is forwarded as it arrives and not retained. Once part of it has been forwarded, the
    /// request cannot be retried, and the forwarded part may have run.
    pub is_body_streamed: bool,
    /// The frontend's number for the request, reported in [`Command::Settled`](crate::Command::Settled); 0 if the frontend needs
    /// no notification.
    pub ticket: u64,
}

impl ParsedRequest {
    /// The request's idempotency, given that of its class.
    pub fn idempotency(&self, class: Idempotency) -> Idempotency {
        match class {
            Idempotency::Idempotent if self.runs_once => Idempotency::NotIdempotent,
            class => class,
        }
    }
}

impl fmt::Debug for ParsedRequest {
    /// Omits the statement and its parameters, which may contain secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let size = self.statement.len();
        write!(
            f,
            "ParsedRequest({}, class {}, {size} bytes, budget {} µs)",
            self.name, self.class, self.client_timeout
        )
    }
}

impl Default for ParsedRequest {
    /// A request of the first class with an empty statement and a timeout of 0.
    fn default() -> ParsedRequest {
        ParsedRequest {
            name: "".into(),
            class: 0,
            work: None,
            memory_mb: None,
            table_group: 0,
            ordering_key: None,
            tenant: None,
            idempotency_key: None,
            runs_once: false,
            client_timeout: 0,
            parameters: Rc::new([]),
            statement: Rc::new([]),
            sticky_session: None,
            session_lost_error: None,
            is_body_streamed: false,
            ticket: 0,
        }
    }
}

/// A chunk of a response that is forwarded to the client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseChunk {
    /// Names and values that describe the response; only in the first chunk.
    pub headers: Vec<(String, String)>,
    /// Rows in the engine's encoding.
    pub rows: Vec<u8>,
    /// Whether this chunk is the complete response.
    pub is_only_chunk: bool,
}

/// An accepted request, with what a backend needs to send it.
pub struct Accepted<'a> {
    /// The request as it was accepted.
    pub request: &'a ParsedRequest,
    /// When the client gives up.
    pub deadline: Micros,
}

/// The outcome of a settled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettledOutcome {
    /// The query never ran on any engine.
    NeverRan,
    /// The query ran to its end on this engine; `true` if it succeeded.
    Ran(EngineId, bool),
    /// The query may have run on this engine and may still be running.
    Unknown(EngineId),
}

/// A request that is not settled: it has no final answer, or an attempt is in flight.
pub(crate) struct Request {
    pub parsed: ParsedRequest,
    /// When the client gives up.
    pub deadline: Micros,
    /// Whether the request has its final answer, or needs none because the client disconnected.
    pub is_closed: bool,
    /// Whether its client left without an answer.
    pub has_client_left: bool,
    /// The attempt whose response is forwarded to the client; set with the first chunk.
    pub forwarded_attempt: Option<u8>,
    pub attempts: Vec<Attempt>,
    /// The most recent error text of an engine.
    pub error_text: Option<Rc<str>>,
    /// The engine and the error of the attempt that failed last.
    pub last_failure: Option<(EngineId, AttemptError)>,
    /// Whether part of a streamed body, which is not retained, has been forwarded.
    pub is_body_forwarded: bool,
    /// Whether the client has cancelled the request, so that no further attempt is made.
    pub is_cancelled: bool,
    /// Memory grant of the next attempts in MB; 0 leaves the limit to the engine.
    pub grant_mb: f64,
}

impl Request {
    /// Creates a request that is accepted now.
    pub(crate) fn new(parsed: ParsedRequest, now: Micros) -> Request {
        Request {
            deadline: now.saturating_add(parsed.client_timeout),
            parsed,
            is_closed: false,
            has_client_left: false,
            forwarded_attempt: None,
            attempts: Vec::new(),
            error_text: None,
            last_failure: None,
            is_body_forwarded: false,
            is_cancelled: false,
            grant_mb: 0.0,
        }
    }

    /// When the request arrived.
    pub(crate) fn arrived_at(&self) -> Micros {
        self.deadline.saturating_sub(self.parsed.client_timeout)
    }

    /// The attempt in flight and its number; there is at most one.
    pub(crate) fn in_flight(&self) -> Option<(u8, &Attempt)> {
        let mut attempts = self.attempts.iter().enumerate();
        let (number, attempt) = attempts.find(|(_, a)| a.is_in_flight())?;
        Some((attempt_number(number), attempt))
    }

    /// Whether the request is settled: closed, with no attempt in flight.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_closed && self.in_flight().is_none()
    }

    /// Whether an attempt's response is being forwarded.
    pub(crate) fn is_forwarding(&self, attempt: u8) -> bool {
        self.forwarded_attempt == Some(attempt)
    }

    /// The request's outcome, determined by the last attempt that may have run.
    pub(crate) fn settled_outcome(&self) -> SettledOutcome {
        let may_have_run = |a: &&Attempt| a.outcome.is_some_and(|o| !o.never_ran());
        match self.attempts.iter().rev().find(may_have_run) {
            None => SettledOutcome::NeverRan,
            Some(a) if a.may_still_run() => SettledOutcome::Unknown(a.engine),
            Some(a) => SettledOutcome::Ran(a.engine, a.outcome == Some(Outcome::Ok)),
        }
    }
}

/// Converts an attempt's index among its request's attempts to its number. The scheduler makes too few attempts for an overflow.
pub(crate) fn attempt_number(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX)
}
