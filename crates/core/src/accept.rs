//! Stage 1, take in: a request gets its number, and its client's time begins to run.

use crate::{Core, Request, RequestId};
use driftfront_scheduler::interface::{Micros, StickySession};
use std::fmt;
use std::rc::Rc;

/// A request as a front has read it, whatever the wire.
#[derive(Clone)]
pub struct ParsedRequest {
    /// The client's own name for it, passed on to engines.
    pub call: Rc<str>,
    /// The class, by place in the settings.
    pub class: u16,
    /// Estimated work in microseconds on one core.
    pub work: Option<f64>,
    /// Estimated memory, MB.
    pub memory_mb: Option<f64>,
    /// Table group of the statement; 0 if it names none.
    pub tables: u32,
    /// Key of its order.
    pub key: Option<u64>,
    /// Its tenant, by place in the settings; `None` for one that they don't name.
    pub tenant: Option<u32>,
    /// The client's idempotency key, by which engines drop repeats, passed on unchanged: the same for all tries of one request.
    pub token: Option<Rc<str>>,
    /// Time until the client gives up.
    pub budget: Micros,
    /// Names and values that go with the statement, passed on unchanged.
    pub about: Rc<[(String, String)]>,
    /// The statement, passed on unchanged; its beginning where `once` says so.
    pub statement: Rc<[u8]>,
    /// The engine that it has to go to, or should.
    pub pin: Option<StickySession>,
    /// What a client is told whose request could only go to an engine that leaves.
    pub lost: Option<Rc<str>>,
    /// The rest of the statement is passed on as it comes and not kept: once some of that is out, there is no
    /// further attempt, and what an engine has of it may have run.
    pub once: bool,
    /// The front's number for it, told again when nothing of it is out any more; 0 where the front needs no word.
    pub ticket: u64,
}

impl fmt::Debug for ParsedRequest {
    /// Neither the statement nor what goes with it is shown: both may hold secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let size = self.statement.len();
        write!(
            f,
            "Ask({}, class {}, {size} bytes, budget {} µs)",
            self.call, self.class, self.budget
        )
    }
}

impl Default for ParsedRequest {
    /// An empty statement of the first class, with no time at all.
    fn default() -> ParsedRequest {
        ParsedRequest {
            call: "".into(),
            class: 0,
            work: None,
            memory_mb: None,
            tables: 0,
            key: None,
            tenant: None,
            token: None,
            budget: 0,
            about: Rc::new([]),
            statement: Rc::new([]),
            pin: None,
            lost: None,
            once: false,
            ticket: 0,
        }
    }
}

/// A piece of an answer, to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseChunk {
    /// Names and values that describe the answer; with its first piece only.
    pub about: Vec<(String, String)>,
    /// Rows in the engine's form.
    pub rows: Vec<u8>,
    /// It is all of the answer.
    pub whole: bool,
}

/// What a back end needs of a request to send it.
pub struct Accepted<'a> {
    /// The request as it was taken.
    pub ask: &'a ParsedRequest,
    /// When its client gives up.
    pub deadline: Micros,
}

impl Core {
    /// Takes a request in; from here on one final answer is owed.
    pub fn accept_request(&mut self, now: Micros, ask: ParsedRequest) -> RequestId {
        let id = self.enter(now, ask);
        self.admit(now, id);
        id
    }

    /// A request whose client had left before it was read: nothing of it goes to an engine, and nobody is owed an answer.
    pub fn accept_disconnected_request(&mut self, now: Micros, ask: ParsedRequest) {
        let id = self.enter(now, ask);
        if self.close(id) {
            self.counters.left += 1;
        }
        self.drop_if_over(id);
    }

    fn enter(&mut self, now: Micros, ask: ParsedRequest) -> RequestId {
        let id = RequestId(self.next());
        let deadline = now.saturating_add(ask.budget);
        self.counters.taken += 1;
        self.open += 1;
        let request = Request {
            ask,
            deadline,
            closed: false,
            relaying: None,
            attempts: Vec::new(),
            words: None,
            last_failure: None,
            drawn: false,
            called_off: false,
            grant_mb: 0.0,
        };
        self.requests.insert(id, request);
        id
    }

    /// The open request of this name, if there is one.
    pub fn find_request(&self, call: &str) -> Option<RequestId> {
        self.names.get(call).copied()
    }

    /// A request that is not over, for its back end.
    pub fn accepted(&self, id: RequestId) -> Option<Accepted<'_>> {
        self.requests.get(&id).map(|r| Accepted {
            ask: &r.ask,
            deadline: r.deadline,
        })
    }
}
