//! A request's life between a client's front and an engine's back end.
//!
//! [`Core`] owns what [`fernlink`] does not: internal ids, deadlines, attempts, timers, the book and the
//! one final answer. It knows no wire, socket or clock: hosts pass the time in, report what their
//! connections saw, and carry out the [`Command`]s that come back.
//!
//! A request passes six stages, each a file: take in, admit, route, send, relay, book.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod accept;
mod accounting;
mod admission;
mod dispatch;
mod idempotency;
pub mod lifecycle;
mod lost_attempts;
mod response;
mod routing;
mod running;

pub use accept::{Accepted, ParsedRequest, ResponseChunk};
pub use accounting::Counters;
pub use dispatch::{AttemptError, AttemptReport, Cause, Progress, RetryContext};
pub use driftfront_scheduler::interface::{
    EngineId, ListKind, ListedEngine, Micros, Outcome, Phase, ProgressReport, StickySession,
};
pub use driftfront_scheduler::RetryBudgetUsage;
pub use running::RunningQuery;

use driftfront_scheduler::interface::{Action, Event, Idempotency, QueryId, Settings};
use driftfront_scheduler::Controller;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
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

/// Bounds that the host sets, beside the module's settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests open at once; more are refused.
    pub open: usize,
    /// A probe not answered by then has failed.
    pub probe_timeout: Micros,
    /// A final answer leaves at least this long before the client gives up.
    pub answer_margin: Micros,
    /// Attempts of unknown fate that are remembered by name, so that they can be found and killed; 0 for none.
    pub doubts: usize,
    /// Idempotency keys that are remembered; requests with new ones are refused beyond that.
    pub tokens: usize,
    /// Engines tell of each attempt by itself, as often as the settings say: one that nothing is told of is lost.
    pub tells_each: bool,
}

/// What became of a request that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFate {
    /// It never ran on any engine.
    NeverRan,
    /// It ran there to its end; `true`: it was served.
    Ran(EngineId, bool),
    /// It may have run there, and may still.
    Unknown(EngineId),
}

/// What a host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Bring an attempt to an engine; ask [`Core::may_write_attempt`] before its first byte.
    StartAttempt(AttemptKey, EngineId),
    /// Stop waiting for an attempt.
    AbandonAttempt(AttemptKey, EngineId),
    /// Probe an engine under this tag.
    Probe(EngineId, u64),
    /// Final answer: refused; the client should stay away for this long. The last engine's words, if it erred.
    Reject(RequestId, Micros, Option<Rc<str>>),
    /// Final answer: failed, with the engine's words if there were any.
    Fail(RequestId, Option<Rc<str>>),
    /// Pass a piece of the answer on.
    ForwardChunk(RequestId, ResponseChunk),
    /// Final answer: served; all pieces have been passed on.
    Finish(RequestId),
    /// Final answer: an answer begun cannot be finished; the client must see that.
    Abort(RequestId, Option<Rc<str>>),
    /// Nothing of the request under this ticket of the front's is out any more.
    Settled(u64, RequestFate),
    /// The engine is gone: its idle connections may close.
    ForgetEngine(EngineId),
    /// A line for the operators.
    Log(String),
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    SetTimer(u64),
    Attempt(AttemptKey),
    GivenUp(AttemptKey),
    Answer(RequestId),
    Probe(u64),
}

/// A request that is not over yet.
struct Request {
    ask: ParsedRequest,
    deadline: Micros,
    /// It has its final answer, or the client left and none is owed.
    closed: bool,
    /// The attempt whose answer the client is getting, once a piece has been passed on.
    relaying: Option<u8>,
    attempts: Vec<dispatch::Attempt>,
    /// The last engine's words on what went wrong.
    words: Option<Rc<str>>,
    /// The engine of the attempt that ended last without serving, and why it ended.
    last_failure: Option<(EngineId, AttemptError)>,
    /// Some of a body that is not kept has been passed on.
    drawn: bool,
    /// It is to be ended: no further attempt.
    called_off: bool,
    /// Memory that its next attempts are granted, MB; 0 leaves it to the engine.
    grant_mb: f64,
}

/// The coordinator without its sockets.
pub struct Core {
    controller: Controller,
    limits: Limits,
    /// How often each class's effect may happen, by place.
    idempotencies: Vec<Idempotency>,
    has_tenants: bool,
    /// The longest advice with a refusal; `None` where none is heeded.
    advice_most: Option<Micros>,
    /// The process leaves: nothing more is taken on.
    leaves: bool,
    requests: BTreeMap<RequestId, Request>,
    /// Names of requests that have no final answer yet; whoever closes one removes its name.
    names: BTreeMap<Rc<str>, RequestId>,
    open: usize,
    phases: BTreeMap<EngineId, Phase>,
    probes: BTreeMap<u64, EngineId>,
    timers: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    /// One count for request ids, probe tags and the order of timers: none is ever used twice.
    last: u64,
    commands: VecDeque<Command>,
    counters: Counters,
    doubts: running::UnknownOutcomes,
    unheard: lost_attempts::LostAttemptDetector,
    tokens: idempotency::IdempotencyKeys,
}

impl Core {
    /// A core that has taken nothing yet.
    pub fn new(settings: Settings, limits: Limits, seed: u64) -> Core {
        Core {
            idempotencies: settings.classes.iter().map(|c| c.idempotency).collect(),
            has_tenants: !settings.tenants.is_empty(),
            advice_most: settings.retry_after,
            leaves: false,
            unheard: lost_attempts::LostAttemptDetector::new(&settings, limits.tells_each),
            tokens: idempotency::IdempotencyKeys::new(&settings, limits.tokens),
            controller: Controller::new(settings, seed).awaiting_first_bytes(),
            limits,
            requests: BTreeMap::new(),
            names: BTreeMap::new(),
            open: 0,
            phases: BTreeMap::new(),
            probes: BTreeMap::new(),
            timers: BinaryHeap::new(),
            last: 0,
            commands: VecDeque::new(),
            counters: Counters::default(),
            doubts: running::UnknownOutcomes::new(limits.doubts),
        }
    }

    /// The next thing to do, if any.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::fire_timers`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0 .0)
    }

    /// Lets all timers come due that should have by now.
    pub fn fire_timers(&mut self, now: Micros) {
        while self.next_due().is_some_and(|at| at <= now) {
            let Some(Reverse((_, _, due))) = self.timers.pop() else {
                return;
            };
            match due {
                Due::SetTimer(token) => self.tell(now, Event::TimerFired(token)),
                Due::Attempt(key) => self.attempt_timed_out(now, key),
                Due::GivenUp(key) => self.given_up(now, key),
                Due::Answer(id) => self.answer_is_due(now, id),
                Due::Probe(tag) => self.record_probe(now, tag, Outcome::TimedOut, &[]),
            }
        }
        self.end_unheard(now);
    }

    /// From now on each request is refused as it comes: the process leaves.
    pub fn begin_shutdown(&mut self) {
        self.leaves = true;
    }

    /// How often the effect of a class's queries may happen; `None` where there is no such class.
    pub(crate) fn idempotency(&self, class: u16) -> Option<Idempotency> {
        self.idempotencies.get(usize::from(class)).copied()
    }

    /// Requests with no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.open
    }

    /// How far the retry budget is used; `None` where the settings have none.
    pub fn retry_budget_usage(&self, now: Micros) -> Option<RetryBudgetUsage> {
        self.controller.retry_budget_usage(now)
    }

    /// The counts so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    fn set_timer(&mut self, at: Micros, due: Due) {
        let order = self.next();
        self.timers.push(Reverse((at, order, due)));
    }

    /// Tells the module, and carries out what it asks for.
    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions: Vec<Action> = Vec::new();
        self.controller.handle(now, event, &mut actions);
        self.route(now, actions);
    }
}

fn query(id: RequestId) -> QueryId {
    QueryId(id.0)
}
