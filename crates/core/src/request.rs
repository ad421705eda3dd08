//! Requests: as a frontend has read them, and what is kept of each until it is settled.

use crate::attempt::{Attempt, AttemptError};
use driftfront_scheduler::{EngineId, Micros, Outcome, StickySession};
use std::fmt;
use std::rc::Rc;

/// A request's number inside this program; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub number: u8,
}

/// A request as a frontend has read it, whatever the wire.
#[derive(Clone)]
pub struct ParsedRequest {
    /// The client's own name for it, passed on to engines.
    pub name: Rc<str>,
    /// The class, by index in the settings.
    pub class: u16,
    /// Estimated work in µs on one core.
    pub work: Option<f64>,
    /// Estimated memory, MB.
    pub memory_mb: Option<f64>,
    /// Table group of the statement; 0 if it names none.
    pub table_group: u32,
    /// Its ordering key.
    pub ordering_key: Option<u64>,
    /// Its tenant, by index in the settings; `None` for one that they don't name.
    pub tenant: Option<u32>,
    /// The client's idempotency key, by which engines drop repeats, passed on unchanged: the same for all retries of one
    /// request.
    pub idempotency_key: Option<Rc<str>>,
    /// Time until the client gives up.
    pub client_timeout: Micros,
    /// Names and values that go with the statement, passed on unchanged.
    pub parameters: Rc<[(String, String)]>,
    /// The statement, passed on unchanged; its beginning where `once` says so.
    pub statement: Rc<[u8]>,
    /// The engine that it has to go to, or should.
    pub sticky_session: Option<StickySession>,
    /// What a client is told whose request could only go to an engine that drains or is gone.
    pub session_lost_error: Option<Rc<str>>,
    /// The rest of the statement is forwarded as it comes and not retained: once some of that is out, there is no further
    /// attempt, and what an engine has of it may have run.
    pub is_body_streamed: bool,
    /// The frontend's number for it, told again once it is settled; 0 where the frontend needs no notice.
    pub ticket: u64,
}

impl fmt::Debug for ParsedRequest {
    /// Neither the statement nor what goes with it is shown: both may hold secrets.
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
    /// An empty statement of the first class, with no time at all.
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

/// A piece of a response, to be forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseChunk {
    /// Names and values that describe the response; with its first chunk only.
    pub headers: Vec<(String, String)>,
    /// Rows in the engine's form.
    pub rows: Vec<u8>,
    /// It is all of the response.
    pub is_only_chunk: bool,
}

/// What a backend needs of a request to send it.
pub struct Accepted<'a> {
    /// The request as it was accepted.
    pub request: &'a ParsedRequest,
    /// When its client gives up.
    pub deadline: Micros,
}

/// What became of a request that is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettledOutcome {
    /// It never ran on any engine.
    NeverRan,
    /// It ran there to its end; `true`: it was served.
    Ran(EngineId, bool),
    /// It may have run there, and may still.
    Unknown(EngineId),
}

/// A request that is not settled yet: it has no final answer, or an attempt is in flight.
pub(crate) struct Request {
    pub parsed: ParsedRequest,
    /// When its client gives up.
    pub deadline: Micros,
    /// It has its final answer, or the client left and none is owed.
    pub is_closed: bool,
    /// The attempt whose response the client is getting, once a chunk has been forwarded.
    pub forwarded_attempt: Option<u8>,
    pub attempts: Vec<Attempt>,
    /// What the last engine said of the error.
    pub error_text: Option<Rc<str>>,
    /// The engine of the attempt that ended last without serving, and why it ended.
    pub last_failure: Option<(EngineId, AttemptError)>,
    /// Some of a body that is not retained has been forwarded.
    pub is_body_forwarded: bool,
    /// Its client wants it ended: no further attempt.
    pub is_cancelled: bool,
    /// Memory that its next attempts are granted, MB; 0 leaves it to the engine.
    pub grant_mb: f64,
}

impl Request {
    /// A request that is accepted now.
    pub(crate) fn new(parsed: ParsedRequest, now: Micros) -> Request {
        Request {
            deadline: now.saturating_add(parsed.client_timeout),
            parsed,
            is_closed: false,
            forwarded_attempt: None,
            attempts: Vec::new(),
            error_text: None,
            last_failure: None,
            is_body_forwarded: false,
            is_cancelled: false,
            grant_mb: 0.0,
        }
    }

    /// When it came.
    pub(crate) fn arrived_at(&self) -> Micros {
        self.deadline.saturating_sub(self.parsed.client_timeout)
    }

    /// The attempt that is in flight, with its number; there is one at most.
    pub(crate) fn in_flight(&self) -> Option<(u8, &Attempt)> {
        let mut attempts = self.attempts.iter().enumerate();
        let (number, attempt) = attempts.find(|(_, a)| a.is_in_flight())?;
        Some((attempt_number(number), attempt))
    }

    /// Whether it is settled: closed, with nothing in flight.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_closed && self.in_flight().is_none()
    }

    /// Whether an attempt's response is being forwarded.
    pub(crate) fn is_forwarding(&self, attempt: u8) -> bool {
        self.forwarded_attempt == Some(attempt)
    }

    /// What became of it, by the last attempt that may have run.
    pub(crate) fn fate(&self) -> SettledOutcome {
        let may_have_run = |a: &&Attempt| a.outcome.is_some_and(|o| !o.never_ran());
        match self.attempts.iter().rev().find(may_have_run) {
            None => SettledOutcome::NeverRan,
            Some(a) if a.may_still_run() => SettledOutcome::Unknown(a.engine),
            Some(a) => SettledOutcome::Ran(a.engine, a.outcome == Some(Outcome::Ok)),
        }
    }
}

/// An attempt's number, which is its index among its request's attempts. The scheduler makes fewer than don't fit.
pub(crate) fn attempt_number(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX)
}
