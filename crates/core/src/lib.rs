//! A request's life between a client's frontend and an engine's backend.
//!
//! [`Core`] owns what the [`driftfront_scheduler`] does not: internal ids, deadlines, attempts, timers, counters and the one final answer. It
//! knows no wire, socket or clock: hosts pass the time in, report what their connections saw, and carry out the [`Command`]s that
//! come back.
//!
//! A request passes six stages, each a file: `accept`, `admission`, `routing`, `dispatch`, `response`, `accounting`. An attempt's
//! end is in `attempt_end`. Each request has exactly one final answer: whoever closes it gives that. It is settled, and forgotten,
//! once nothing of it is in flight either.
#![forbid(unsafe_code)]

mod accept;
mod accounting;
mod admission;
mod attempt;
mod attempt_end;
mod command;
mod dispatch;
mod engine_list;
mod idempotency;
pub mod lifecycle;
mod lost_attempts;
mod probes;
mod request;
mod response;
mod routing;
mod running;
mod timers;

pub use accounting::Counters;
pub use attempt::{AttemptError, AttemptReport, Cause, Progress, RetryContext};
pub use command::Command;
pub use driftfront_scheduler::RetryBudgetUsage;
pub use driftfront_scheduler::{
    EngineId, ListKind, ListedEngine, Micros, Outcome, Phase, ProgressReport, StickySession,
};
pub use request::{Accepted, AttemptKey, ParsedRequest, RequestId, ResponseChunk, SettledOutcome};
pub use running::RunningQuery;

use crate::idempotency::IdempotencyKeys;
use crate::lost_attempts::LostAttemptDetector;
use crate::request::Request;
use crate::running::UnknownOutcomes;
use crate::timers::ScheduledTimer;
use driftfront_scheduler::Controller;
use driftfront_scheduler::{Idempotency, QueryId, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

impl RequestId {
    /// The scheduler's number for it.
    fn query(self) -> QueryId {
        QueryId(self.0)
    }
}

/// Bounds that the host sets, beside the scheduler's settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests open at once; more are rejected.
    pub max_open_requests: usize,
    /// A probe not answered by then has failed.
    pub probe_timeout: Micros,
    /// A final answer leaves at least this long before the client gives up.
    pub answer_margin: Micros,
    /// Attempts of unknown outcome that are remembered by name, so that they can be found and killed; 0 for none.
    pub max_unknown_outcomes: usize,
    /// Idempotency keys that are remembered; requests with new ones are rejected beyond that.
    pub max_idempotency_keys: usize,
    /// Engines report on each attempt by itself, as often as the settings say: one that nothing is reported of is lost.
    pub engines_report_attempts: bool,
}

/// The coordinator without its sockets.
pub struct Core {
    controller: Controller,
    limits: Limits,
    /// Whether queries may run more than once, by class.
    class_idempotency: Vec<Idempotency>,
    /// The settings name tenants.
    has_tenants: bool,
    /// The longest Retry-After; `None` where none is heeded.
    max_retry_after: Option<Micros>,
    /// Nothing more is accepted.
    is_shutting_down: bool,
    /// Requests that are not settled.
    requests: BTreeMap<RequestId, Request>,
    /// Names of requests that have no final answer yet; whoever closes one removes its name.
    open_names: BTreeMap<Rc<str>, RequestId>,
    /// Requests that have no final answer yet.
    open_count: usize,
    engine_phases: BTreeMap<EngineId, Phase>,
    /// Engines of the probes that are out, by tag.
    probes: BTreeMap<u64, EngineId>,
    /// The next one first.
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// One count for request ids, probe tags and the order of timers: none is ever used twice.
    last_number: u64,
    commands: VecDeque<Command>,
    counters: Counters,
    unknown_outcomes: UnknownOutcomes,
    lost_attempts: LostAttemptDetector,
    idempotency_keys: IdempotencyKeys,
}

impl Core {
    /// A core that has accepted nothing yet. The same seed and calls give the same commands.
    pub fn new(settings: Settings, limits: Limits, seed: u64) -> Core {
        Core {
            class_idempotency: settings.classes.iter().map(|c| c.idempotency).collect(),
            has_tenants: !settings.tenants.is_empty(),
            max_retry_after: settings.max_retry_after,
            is_shutting_down: false,
            lost_attempts: LostAttemptDetector::new(&settings, limits.engines_report_attempts),
            idempotency_keys: IdempotencyKeys::new(&settings, limits.max_idempotency_keys),
            unknown_outcomes: UnknownOutcomes::new(limits.max_unknown_outcomes),
            controller: Controller::new(settings, seed).awaiting_first_bytes(),
            limits,
            requests: BTreeMap::new(),
            open_names: BTreeMap::new(),
            open_count: 0,
            engine_phases: BTreeMap::new(),
            probes: BTreeMap::new(),
            timers: BinaryHeap::new(),
            last_number: 0,
            commands: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// The next thing to do, if any.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// From now on each request is rejected as it comes: the process shuts down.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Whether a class's queries may run more than once; `None` where there is no such class.
    fn idempotency(&self, class: u16) -> Option<Idempotency> {
        self.class_idempotency.get(usize::from(class)).copied()
    }

    /// Number of requests with no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.open_count
    }

    /// How far the retry budget is used; `None` where the settings have none.
    pub fn retry_budget_usage(&self, now: Micros) -> Option<RetryBudgetUsage> {
        self.controller.retry_budget_usage(now)
    }

    /// The counts so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// A number that was never used before.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
